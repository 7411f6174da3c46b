// Package request defines what flows through the request pipeline of an entry.
// Each stage is a package below this one whose New takes the next stage.
package request

import (
	"context"
	"strings"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/membership"
)

// Request is one client's request to a service.
type Request struct {
	ID      string
	Service string
	Client  string
	// Key is the client's idempotency key; empty if there is none.
	Key string
	// Repeatable allows the system to run the request more than once.
	Repeatable  bool
	Deadline    time.Time
	Body        []byte
	ContentType string
	// OwnID means that the client chose the id and may send it again.
	OwnID bool
	// Claim is the newest claim of the idempotency key in force for this request;
	// nil before the first one.
	Claim *pb.KeyClaimed

	// Weight, ClientLimit and Allowed come from the table. No allowed data
	// centre means all.
	Weight      uint32
	ClientLimit uint32
	Allowed     []string
	// ServiceLimit is the most requests of the service in flight at one entry; 0
	// is no limit.
	ServiceLimit uint32

	// Target is the endpoint chosen for the current hand-over.
	Target *membership.Member
	// Tried are the endpoints of earlier hand-overs.
	Tried []*membership.Member
}

// Remaining returns the time left until the deadline.
func (r *Request) Remaining(now time.Time) time.Duration { return r.Deadline.Sub(now) }

// WasTried reports whether the endpoint had the request before.
func (r *Request) WasTried(m *membership.Member) bool {
	for _, t := range r.Tried {
		if t == m {
			return true
		}
	}
	return false
}

// Answer is a whole answer to a request.
type Answer struct {
	RequestID   string
	Status      int
	Body        []byte
	ContentType string
	Agent       string
	Hops        int
	// Length and Digest are what the agent announced of the body.
	Length uint64
	Digest uint64
}

// Handler is a stage of the pipeline. Errors are of type *fault.Error.
type Handler interface {
	Handle(ctx context.Context, r *Request) (*Answer, error)
}

// AgentRef names one incarnation of an agent, so that it can be asked later for
// an outcome.
func AgentRef(e *pb.Endpoint) string { return JoinAgentRef(e.Agent, e.Incarnation) }

// JoinAgentRef returns the reference of an agent's incarnation.
func JoinAgentRef(agent, incarnation string) string { return agent + "/" + incarnation }

// SplitAgentRef returns agent and incarnation; the latter is empty if the
// reference names none.
func SplitAgentRef(ref string) (agent, incarnation string) {
	agent, incarnation, _ = strings.Cut(ref, "/")
	return agent, incarnation
}
