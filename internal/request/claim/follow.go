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
	followPollInterval = 50 * time.Millisecond
	// resolveWait is how long the agent may wait for a running request to end before it
	// replies.
	resolveWait = 500 * time.Millisecond
	// orphanTimeout is how long a claim may be held without its hand-off reaching the
	// agent before the hand-off is fenced: the claimant has died, or never learned that
	// its claim won.
	orphanTimeout = 2 * time.Second
	// maxClockSkew is the largest assumed difference between the wall clocks of two entries.
	// It is added to the age of a claim, whose timestamp may come from another entry.
	maxClockSkew   = 5 * time.Minute
	releaseTimeout = time.Second
)

// awaitWinner polls until the request that holds the key is answered or ctx ends. If that
// request certainly did not run, it releases the key and, once the key is free,
// returns keyFree.
func (f *Filter) awaitWinner(ctx context.Context, r *request.Request) (a *request.Answer, keyFree bool, err error) {
	start := time.Now()
	for ctx.Err() == nil {
		winner := f.keys.Lookup(r.Client, claimKey(r))
		if winner == nil {
			return nil, true, nil
		}
		reply, resolveErr := f.resolver.Resolve(ctx, winner.Agent, newResolveRequest(winner, time.Since(start) < orphanTimeout))
		if resolveErr != nil {
			wait.For(ctx, followPollInterval)
			continue
		}
		switch reply.Outcome {
		case pb.Outcome_OUTCOME_DONE:
			a, err := winnerAnswer(r, winner, reply)
			return a, false, err
		case pb.Outcome_OUTCOME_NOT_RUN:
			f.releaseKey(ctx, winner)
		}
		wait.For(ctx, followPollInterval)
	}
	return nil, false, unresolvedError(r, f.keys.Lookup(r.Client, claimKey(r)))
}

// newResolveRequest returns the query for the outcome of the claimed hand-off. With peek
// it has no side effect; without, it fences a hand-off that the agent has not seen.
func newResolveRequest(claim *pb.KeyClaimed, peek bool) *pb.ResolveRequest {
	age := time.Since(time.UnixMilli(claim.TimeMs)) + maxClockSkew
	return &pb.ResolveRequest{
		RequestId: claim.RequestId, Incarnation: claim.Incarnation, WaitMs: resolveWait.Milliseconds(),
		AgeMs: max(age, maxClockSkew).Milliseconds(), Peek: peek, Once: true,
	}
}

// winnerAnswer returns the winner's answer, or CodeAnswerGone if the agent no longer
// keeps it or it fails verification.
func winnerAnswer(r *request.Request, winner *pb.KeyClaimed, reply *pb.ExecuteReply) (*request.Answer, error) {
	a := send.ToAnswer(reply, winner.Agent, len(r.Tried))
	if reply.AnswerGone || !verify.Valid(a, winner.RequestId) {
		return nil, fault.New(fault.CodeAnswerGone, fault.StepClaim, winner.Agent, "request that holds the idempotency key ran; its answer is no longer available").
			WithOutcome(fault.Done).WithRequest(winner.RequestId)
	}
	events.KeyAnswerFetched.Log("request", r.ID, "client", r.Client, "winner", winner.RequestId, "peer", winner.Agent)
	return a, nil
}

// unresolvedError returns an error that names the request that holds the key and its
// agent, so that the client can query the outcome later.
func unresolvedError(r *request.Request, winner *pb.KeyClaimed) error {
	if winner == nil {
		return fault.New(fault.CodeTooLate, fault.StepClaim, r.Client, "idempotency key was released too close to the deadline").WithRequest(r.ID)
	}
	return fault.Newf(fault.CodeConflict, fault.StepClaim, r.Client, "idempotency key is held by request %s, whose outcome is unknown", winner.RequestId).
		WithOutcome(fault.Unknown).WithRequest(winner.RequestId).WithAgent(request.JoinAgentRef(winner.Agent, winner.Incarnation))
}

// releaseKey releases the key of a hand-off that certainly did not run. Replay rejects
// the release if the claim has moved to another hand-off since.
func (f *Filter) releaseKey(ctx context.Context, claim *pb.KeyClaimed) {
	releaseKey(ctx, f.committer, claim)
}

func releaseKey(ctx context.Context, committer Committer, claim *pb.KeyClaimed) {
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

// Releaser is the pipeline stage that releases the key of a request that failed with
// outcome "not run", so that the next request with the key need not resolve the
// outcome first. It comes before the retry stage: the key is held until the last attempt.
type Releaser struct {
	next      request.Handler
	committer Committer
}

// NewReleaser returns a Releaser that passes requests to next.
func NewReleaser(next request.Handler, committer Committer) *Releaser {
	return &Releaser{next: next, committer: committer}
}

// Handle passes the request to the next stage and releases its key if it did not run.
func (s *Releaser) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	a, err := s.next.Handle(ctx, r)
	if err != nil && r.Claim != nil && fault.As(err).Outcome == fault.NotRun {
		// ctx may be cancelled because the client disconnected; release the key anyway.
		releaseKey(context.WithoutCancel(ctx), s.committer, r.Claim)
	}
	return a, err
}
