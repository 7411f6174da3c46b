// Package claim lets a request that must not be repeated run at most once for
// each idempotency key, also when the key comes through several entries: the
// first claim in the log wins, and a loser gets the winner's answer.
package claim

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/ident"
	"chervilridge/internal/ledger"
	"chervilridge/internal/request"
)

const (
	// maxClaims bounds how often one hand-over claims anew after the key became
	// free again.
	maxClaims = 3
	// ownIDPrefix makes a key of an id that the client chose: no client's own key
	// begins with a NUL.
	ownIDPrefix = "\x00id:"
	retryAdvice = time.Second
)

// Committer appends a record and returns replay's verdict.
type Committer interface {
	Commit(ctx context.Context, rec *pb.Record) (ledger.Verdict, error)
}

// Keys looks up claims in force; nil if the key is free.
type Keys interface {
	Lookup(client, key string) *pb.KeyClaimed
}

// Agents asks the incarnation of an agent what became of a request.
type Agents interface {
	Ask(ctx context.Context, agent string, q *pb.ResolveRequest) (*pb.ExecuteReply, error)
}

// Filter is the stage behind the choice of the endpoint: a claim names the one
// hand-over that it allows.
type Filter struct {
	next      request.Handler
	committer Committer
	keys      Keys
	agents    Agents
}

// New returns the stage in front of next.
func New(next request.Handler, committer Committer, keys Keys, agents Agents) *Filter {
	return &Filter{next: next, committer: committer, keys: keys, agents: agents}
}

// Handle claims the key of a request that must not be repeated. A request with
// neither a key nor an id of the client's own passes: nobody can send it again.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	if keyOf(r) == "" {
		return f.next.Handle(ctx, r)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	for range maxClaims {
		rejection, err := f.claim(ctx, r)
		if err != nil {
			return nil, notHandedOver(r, err)
		}
		if rejection == nil {
			return f.next.Handle(ctx, r)
		}
		a, free, err := f.lost(ctx, r, rejection)
		if !free {
			return a, err
		}
	}
	return nil, fault.New(fault.CodeConflict, fault.StepClaim, r.Client, "idempotency key is claimed again and again").WithRequest(r.ID)
}

// keyOf returns the key to claim, or none.
func keyOf(r *request.Request) string {
	switch {
	case r.Repeatable:
		return ""
	case r.Key != "":
		return r.Key
	case r.OwnID:
		return ownIDPrefix + r.ID
	}
	return ""
}

// claim binds the key to the hand-over to the request's target.
func (f *Filter) claim(ctx context.Context, r *request.Request) (*ledger.Rejection, error) {
	next := &pb.KeyClaimed{
		Client: r.Client, Key: keyOf(r), RequestId: r.ID, Holder: ident.New(), Digest: digest(r),
		Agent: r.Target.Endpoint.Agent, Incarnation: r.Target.Endpoint.Incarnation,
	}
	if r.Claim != nil {
		next.Holder, next.Move = r.Claim.Holder, r.Claim.Move+1
	}
	v, err := f.committer.Commit(ctx, &pb.Record{Body: &pb.Record_KeyClaimed{KeyClaimed: proto.CloneOf(next)}})
	if err != nil {
		return nil, err
	}
	if v.Rejection == nil {
		r.Claim = next
	}
	return v.Rejection, nil
}

func digest(r *request.Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Service)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// lost handles a rejected claim. It returns free if the key may be claimed again.
func (f *Filter) lost(ctx context.Context, r *request.Request, rejection *ledger.Rejection) (a *request.Answer, free bool, err error) {
	if rejection.Reason == ledger.ReasonOvercommitted {
		return nil, false, fault.New(fault.CodeOverloaded, fault.StepClaim, r.Client, rejection.Detail).WithRetryAfter(retryAdvice).WithRequest(r.ID)
	}
	winner := f.keys.Lookup(r.Client, keyOf(r))
	events.KeyAlreadyClaimed.Log("request", r.ID, "client", r.Client, "winner", rejection.Winner)
	switch {
	case winner == nil:
		return nil, true, nil
	case winner.Digest != digest(r):
		return nil, false, fault.Newf(fault.CodeConflict, fault.StepClaim, r.Client,
			"idempotency key was used for another request, %s", winner.RequestId).WithRequest(r.ID)
	}
	return f.follow(ctx, r)
}

// notHandedOver says that this request did not run: without its claim it was
// not handed over, and this handling of it ends here.
func notHandedOver(r *request.Request, cause error) error {
	code := fault.CodeLogDown
	if fault.Is(cause, fault.CodeOverloaded) {
		code = fault.CodeOverloaded
	}
	return fault.Wrap(cause, code, fault.StepClaim, r.Client, "idempotency key could not be claimed").WithRequest(r.ID)
}
