package claim

import (
	"context"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/request"
	"chervilridge/internal/request/send"
	"chervilridge/internal/request/verify"
	"chervilridge/internal/wait"
)

const (
	followPause = 50 * time.Millisecond
	followWait  = 500 * time.Millisecond
	// orphanAfter is how long a claim may stand without its hand-over before it
	// is fenced: the claimant has died, or never learned that it won.
	orphanAfter = 2 * time.Second
	// clockMargin is how far the wall clocks of two entries may differ when the
	// age of a claim is judged.
	clockMargin    = 5 * time.Minute
	releaseTimeout = time.Second
)

// follow waits for the answer of the request that holds the key. If that one
// certainly did not run, it gives the key back and returns free.
func (f *Filter) follow(ctx context.Context, r *request.Request) (a *request.Answer, free bool, err error) {
	began := time.Now()
	for ctx.Err() == nil {
		winner := f.keys.Lookup(r.Client, keyOf(r))
		if winner == nil {
			return nil, true, nil
		}
		reply, askErr := f.agents.Ask(ctx, winner.Agent, question(winner, time.Since(began) < orphanAfter))
		if askErr != nil {
			wait.For(ctx, followPause)
			continue
		}
		switch reply.Outcome {
		case pb.Outcome_OUTCOME_DONE:
			a, err := fetched(r, winner, reply)
			return a, false, err
		case pb.Outcome_OUTCOME_NOT_RUN:
			f.release(ctx, winner)
		}
		wait.For(ctx, followPause)
	}
	return nil, false, pointer(r, f.keys.Lookup(r.Client, keyOf(r)))
}

// question asks for the claimed hand-over: first without disturbing it, later so
// that it cannot take place any more.
func question(claim *pb.KeyClaimed, peek bool) *pb.ResolveRequest {
	age := time.Since(time.UnixMilli(claim.TimeMs)) + clockMargin
	return &pb.ResolveRequest{
		RequestId: claim.RequestId, Incarnation: claim.Incarnation, WaitMs: followWait.Milliseconds(),
		AgeMs: max(age, clockMargin).Milliseconds(), Peek: peek, Once: true,
	}
}

func fetched(r *request.Request, winner *pb.KeyClaimed, reply *pb.ExecuteReply) (*request.Answer, error) {
	a := send.ToAnswer(reply, winner.Agent, len(r.Tried))
	if reply.AnswerGone || !verify.Whole(a, winner.RequestId) {
		return nil, fault.New(fault.CodeAnswerGone, fault.StepClaim, winner.Agent, "request of the idempotency key ran; its answer is no longer kept").
			WithOutcome(fault.Done).WithRequest(winner.RequestId)
	}
	events.KeyAnswerFetched.Log("request", r.ID, "client", r.Client, "winner", winner.RequestId, "peer", winner.Agent)
	return a, nil
}

// pointer tells whom to ask for the outcome of the request that holds the key.
func pointer(r *request.Request, winner *pb.KeyClaimed) error {
	if winner == nil {
		return fault.New(fault.CodeTooLate, fault.StepClaim, r.Client, "idempotency key became free too late").WithRequest(r.ID)
	}
	return fault.Newf(fault.CodeConflict, fault.StepClaim, r.Client, "idempotency key belongs to request %s", winner.RequestId).
		WithOutcome(fault.Unknown).WithRequest(winner.RequestId).WithAgent(request.JoinAgentRef(winner.Agent, winner.Incarnation))
}

// release gives back the key of a hand-over that certainly did not run. Replay
// rejects it if the claim has moved on.
func (f *Filter) release(ctx context.Context, claim *pb.KeyClaimed) {
	release(ctx, f.committer, claim)
}

func release(ctx context.Context, committer Committer, claim *pb.KeyClaimed) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := committer.Commit(ctx, &pb.Record{Body: &pb.Record_KeyReleased{KeyReleased: &pb.KeyReleased{
		Client: claim.Client, Key: claim.Key, RequestId: claim.RequestId,
		Agent: claim.Agent, Incarnation: claim.Incarnation,
	}}})
	if err != nil {
		events.KeyReleaseFailed.LogError(err, "request", claim.RequestId, "client", claim.Client)
		return
	}
	events.KeyReleased.Log("request", claim.RequestId, "client", claim.Client)
}

// Releaser is the stage in front of the retries: when a request has failed as
// "not run", it gives the key back at once.
type Releaser struct {
	next      request.Handler
	committer Committer
}

// NewReleaser returns the stage in front of next.
func NewReleaser(next request.Handler, committer Committer) *Releaser {
	return &Releaser{next: next, committer: committer}
}

// Handle passes the request on.
func (s *Releaser) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	a, err := s.next.Handle(ctx, r)
	if err != nil && r.Claim != nil && fault.As(err).Outcome == fault.NotRun {
		// The client may have gone; the key is given back all the same.
		release(context.WithoutCancel(ctx), s.committer, r.Claim)
	}
	return a, err
}
