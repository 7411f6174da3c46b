package jobentry

import (
	"context"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/dispatch"
	"chervilridge/internal/election"
	"chervilridge/internal/peer"
)

const (
	// tryTimeout limits one try to reach the owner. It allows for a slow store, which
	// delays a reply by some hundred milliseconds.
	tryTimeout = 1300 * time.Millisecond
	// retryPause is the pause before the next try, which may reach a new owner.
	retryPause = 60 * time.Millisecond
	// relayAfterFailures is the number of failed tries after which the call is relayed
	// through other entries.
	relayAfterFailures = 1
	// noOwnerTimeout is how long a call is retried if it cannot have reached an owner. It
	// exceeds the time of a takeover, so that a change of owners rejects no request.
	noOwnerTimeout = 1800 * time.Millisecond
	// maxRelays is how many other entries a try is relayed through, one after the other.
	maxRelays = 3
)

// Router sends calls about jobs to the owner of the schedule.
type Router struct {
	elector *election.Elector
	peers   *Peers
}

// NewRouter returns a router.
func NewRouter(elector *election.Elector, peers *Peers) *Router {
	return &Router{elector: elector, peers: peers}
}

// jobCall is a call about a job: local executes it on this process's engine, remote
// sends it to another entry. A call with relayed set is not relayed again.
type jobCall struct {
	local  func(ctx context.Context, e *dispatch.Engine) *chervilv2.JobReply
	remote func(ctx context.Context, c chervilv2.SchedulerClient, relayed bool) (*chervilv2.JobReply, error)
}

func submitCall(spec *chervilv2.JobSpec) jobCall {
	return jobCall{
		local: func(ctx context.Context, e *dispatch.Engine) *chervilv2.JobReply { return e.Submit(ctx, spec) },
		remote: func(ctx context.Context, c chervilv2.SchedulerClient, relayed bool) (*chervilv2.JobReply, error) {
			return c.Submit(ctx, &chervilv2.SubmitRequest{Spec: spec, Relayed: relayed})
		},
	}
}

func cancelCall(id string) jobCall {
	return jobCall{
		local: func(ctx context.Context, e *dispatch.Engine) *chervilv2.JobReply { return e.Cancel(ctx, id) },
		remote: func(ctx context.Context, c chervilv2.SchedulerClient, relayed bool) (*chervilv2.JobReply, error) {
			return c.Cancel(ctx, &chervilv2.JobRequest{Id: id, Relayed: relayed})
		},
	}
}

func lookupCall(id string) jobCall {
	return jobCall{
		local: func(ctx context.Context, e *dispatch.Engine) *chervilv2.JobReply { return e.Lookup(ctx, id) },
		remote: func(ctx context.Context, c chervilv2.SchedulerClient, relayed bool) (*chervilv2.JobReply, error) {
			return c.Lookup(ctx, &chervilv2.JobRequest{Id: id, Relayed: relayed})
		},
	}
}

// Result is the outcome of a call.
type Result struct {
	*chervilv2.JobReply
	// MaybeApplied is set if a try whose outcome is unknown may have been executed.
	MaybeApplied bool
}

// Do sends a call to the owner and retries it until it gets a definite reply or the
// context ends. It gives up after noOwnerTimeout if no try can have reached an owner.
func (r *Router) Do(ctx context.Context, c jobCall) Result {
	began := time.Now()
	maybeApplied := false
	for tries := 0; ; tries++ {
		reply, sent := r.tryOnce(ctx, c, tries)
		if reply != nil && reply.Outcome != chervilv2.Outcome_OUTCOME_NOT_OWNER && reply.Outcome != chervilv2.Outcome_OUTCOME_UNKNOWN {
			return Result{JobReply: reply, MaybeApplied: maybeApplied}
		}
		maybeApplied = maybeApplied || sent && (reply == nil || reply.Outcome == chervilv2.Outcome_OUTCOME_UNKNOWN)
		if ctx.Err() != nil || (!maybeApplied && time.Since(began) > noOwnerTimeout) {
			return Result{JobReply: &chervilv2.JobReply{}, MaybeApplied: maybeApplied}
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
}

// tryOnce makes one try after the given number of earlier ones; sent reports whether it
// may have reached an owner.
func (r *Router) tryOnce(ctx context.Context, c jobCall, tries int) (reply *chervilv2.JobReply, sent bool) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if engine := r.elector.Engine(); engine != nil {
		return c.local(ctx, engine), true
	}
	reply, err := r.callOwner(ctx, c, false)
	sent = err != errNoPeer
	if err == nil || tries < relayAfterFailures {
		return r.dropStale(reply), sent
	}
	for _, address := range r.peers.Sample(maxRelays) {
		reply, err = r.callEntry(ctx, address, c, false)
		sent = sent || err != errNoPeer && reply.GetOutcome() != chervilv2.Outcome_OUTCOME_NOT_OWNER
		if err == nil && reply.Outcome != chervilv2.Outcome_OUTCOME_NOT_OWNER {
			return r.dropStale(reply), true
		}
	}
	return nil, sent
}

// dropStale returns nil for a reply from an owner whose epoch is lower than that of the
// owner that this process knows, otherwise the reply.
func (r *Router) dropStale(reply *chervilv2.JobReply) *chervilv2.JobReply {
	owner := r.elector.Owner()
	if reply != nil && owner != nil && reply.Epoch < owner.Epoch && reply.Outcome != chervilv2.Outcome_OUTCOME_NOT_OWNER {
		return nil
	}
	return reply
}

// callOwner sends a call to the owner that this process knows. The outcome is NOT_OWNER
// if it knows none; the error is errNoPeer if nothing was sent.
func (r *Router) callOwner(ctx context.Context, c jobCall, relayed bool) (*chervilv2.JobReply, error) {
	owner := r.elector.Owner()
	if owner == nil || owner.Released || owner.Address == r.peers.self {
		return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	return r.callEntry(ctx, owner.Address, c, relayed)
}

// callEntry sends a call to another entry. The error is errNoPeer if nothing was sent.
func (r *Router) callEntry(ctx context.Context, address string, c jobCall, relayed bool) (*chervilv2.JobReply, error) {
	client, err := r.peers.client(address)
	if err != nil {
		return nil, errNoPeer
	}
	tracked, call := peer.TrackCall(ctx)
	reply, err := c.remote(tracked, client, relayed)
	if err != nil && !call.StreamOpened() {
		return nil, errNoPeer
	}
	return reply, err
}

// CountPending returns the number of jobs in a queue that have not started; false if no
// owner replied before the context ended.
func (r *Router) CountPending(ctx context.Context, queue string) (uint32, bool) {
	for ctx.Err() == nil {
		if engine := r.elector.Engine(); engine != nil {
			if reply := engine.CountPending(queue); reply.Outcome == chervilv2.Outcome_OUTCOME_OK {
				return reply.Pending, true
			}
		}
		tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		reply, err := r.countAtOwner(tryCtx, queue, false)
		if err != nil || reply.Outcome != chervilv2.Outcome_OUTCOME_OK {
			reply = r.countRelayed(tryCtx, queue)
		}
		cancel()
		if reply.GetOutcome() == chervilv2.Outcome_OUTCOME_OK {
			return reply.Pending, true
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
	return 0, false
}

// countRelayed asks some other entries to forward the query to the owner.
func (r *Router) countRelayed(ctx context.Context, queue string) *chervilv2.CountReply {
	for _, address := range r.peers.Sample(maxRelays) {
		client, err := r.peers.client(address)
		if err != nil {
			continue
		}
		reply, err := client.CountPending(ctx, &chervilv2.CountRequest{Queue: queue})
		if err == nil && reply.Outcome == chervilv2.Outcome_OUTCOME_OK {
			return reply
		}
	}
	return nil
}

func (r *Router) countAtOwner(ctx context.Context, queue string, relayed bool) (*chervilv2.CountReply, error) {
	owner := r.elector.Owner()
	if owner == nil || owner.Released || owner.Address == r.peers.self {
		return &chervilv2.CountReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	client, err := r.peers.client(owner.Address)
	if err != nil {
		return nil, errNoPeer
	}
	return client.CountPending(ctx, &chervilv2.CountRequest{Queue: queue, Relayed: relayed})
}
