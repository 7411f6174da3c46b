// Package claim lets a request that must not be repeated run at most once for
// each idempotency key, also when the key comes through several entries: the
// first claim in the log wins.
package claim

import (
	"context"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/ledger"
	"chervilridge/internal/request"
)

// Committer appends a record and returns replay's verdict.
type Committer interface {
	Commit(ctx context.Context, rec *pb.Record) (ledger.Verdict, error)
}

// Filter is the stage.
type Filter struct {
	next      request.Handler
	committer Committer
}

// New returns the stage in front of next.
func New(next request.Handler, committer Committer) *Filter {
	return &Filter{next: next, committer: committer}
}

// Handle claims the key of a request that must not be repeated. A request
// without a key passes: it has one hand-over.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	if r.Repeatable || r.Key == "" {
		return f.next.Handle(ctx, r)
	}
	claimCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	v, err := f.committer.Commit(claimCtx, &pb.Record{Body: &pb.Record_KeyClaimed{KeyClaimed: &pb.KeyClaimed{
		Client: r.Client, Key: r.Key, RequestId: r.ID,
	}}})
	if err != nil {
		return nil, notHandedOver(r, err)
	}
	if v.Rejection == nil {
		return f.next.Handle(ctx, r)
	}
	winner := v.Rejection.Winner
	events.KeyAlreadyClaimed.Log("request", r.ID, "client", r.Client, "winner", winner)
	return nil, fault.Newf(fault.CodeConflict, fault.StepClaim, r.Client,
		"idempotency key belongs to request %s", winner).WithOutcome(fault.Unknown).WithRequest(winner)
}

// notHandedOver says that this request did not run: without its claim it was
// not handed over, and its id cannot be handed over later.
func notHandedOver(r *request.Request, cause error) error {
	return fault.Wrap(cause, fault.CodeLogDown, fault.StepClaim, r.Client, "idempotency key could not be claimed").WithRequest(r.ID)
}
