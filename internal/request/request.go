// Package request defines the request, the answer and the stage interface of an
// entry's request pipeline. Each stage is a subpackage whose New takes the next stage.
package request

import (
	"context"
	"strings"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/membership"
)

// Request is one client's request to a service, with the state of its handling.
type Request struct {
	ID      string
	Service string
	Client  string
	// Key is the client's idempotency key, or empty.
	Key string
	// Repeatable marks a request that may run more than once.
	Repeatable  bool
	Deadline    time.Time
	Body        []byte
	ContentType string
	// IDFromClient means that the client chose ID and may send a request with it again.
	IDFromClient bool
	// Claim is the claim on the idempotency key that this request holds; nil before
	// the first one.
	Claim *pb.KeyClaimed

	// Weight and ClientLimit (requests in flight, 0 for no limit) come from the
	// client's table row, Allowed from the service's. Allowed lists data centres;
	// an empty list allows all.
	Weight      uint32
	ClientLimit uint32
	Allowed     []string
	// ServiceLimit is the maximum number of the service's requests in flight at
	// one entry; 0 means no limit.
	ServiceLimit uint32

	// Target is the endpoint picked for the current hand-off.
	Target *membership.Member
	// Tried lists the endpoints of all hand-offs so far, including the current one.
	Tried []*membership.Member
}

// Remaining returns the time left until the deadline; negative after it.
func (r *Request) Remaining(now time.Time) time.Duration { return r.Deadline.Sub(now) }

// WasTried reports whether the request was already handed off to the endpoint.
func (r *Request) WasTried(m *membership.Member) bool {
	for _, t := range r.Tried {
		if t == m {
			return true
		}
	}
	return false
}

// Answer is an agent's response to a request. The verify stage checks that it is
// complete.
type Answer struct {
	RequestID   string
	Status      int
	Body        []byte
	ContentType string
	Agent       string
	// Attempts counts the hand-offs that it took to get the answer.
	Attempts int
	// Length in bytes and Digest (xxHash64) describe the body as the agent sent it.
	Length uint64
	Digest uint64
}

// Handler is a stage of the pipeline. Its errors are of type *fault.Error.
type Handler interface {
	Handle(ctx context.Context, r *Request) (*Answer, error)
}

// AgentRef returns a reference to the incarnation of the endpoint's agent, which can
// be asked later for the outcome of a request.
func AgentRef(e *pb.Endpoint) string { return JoinAgentRef(e.Agent, e.Incarnation) }

// JoinAgentRef returns the reference "agent/incarnation".
func JoinAgentRef(agent, incarnation string) string { return agent + "/" + incarnation }

// SplitAgentRef splits a reference into agent and incarnation; incarnation is empty
// if the reference has none.
func SplitAgentRef(ref string) (agent, incarnation string) {
	agent, incarnation, _ = strings.Cut(ref, "/")
	return agent, incarnation
}
