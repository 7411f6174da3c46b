package entrynode

import (
	"context"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/dispatch"
	"chervilridge/internal/election"
)

const (
	// tryTimeout bounds one try to reach the owner; a slow store delays an answer by
	// some hundred milliseconds.
	tryTimeout = 1300 * time.Millisecond
	// retryPause is the pause before the next try, which may meet a new owner.
	retryPause = 60 * time.Millisecond
	// relayAfter is the number of failed tries after which other entries are asked to
	// pass the call on.
	relayAfter = 1
	// noOwnerLimit is how long a call waits while no owner is known at all: longer than
	// a takeover, so that a change of owners rejects nobody.
	noOwnerLimit = 1800 * time.Millisecond
)

// Router brings calls about jobs to the owner of the schedule.
type Router struct {
	elector *election.Elector
	peers   *Peers
}

// NewRouter returns a router.
func NewRouter(elector *election.Elector, peers *Peers) *Router {
	return &Router{elector: elector, peers: peers}
}

// call is one call about a job, at this process's own engine or at another entry.
type call struct {
	local  func(ctx context.Context, e *dispatch.Engine) *chervilv2.JobReply
	remote func(ctx context.Context, c chervilv2.SchedulerClient, relayed bool) (*chervilv2.JobReply, error)
}

func submitCall(spec *chervilv2.JobSpec) call {
	return call{
		local: func(ctx context.Context, e *dispatch.Engine) *chervilv2.JobReply { return e.Submit(ctx, spec) },
		remote: func(ctx context.Context, c chervilv2.SchedulerClient, relayed bool) (*chervilv2.JobReply, error) {
			return c.Submit(ctx, &chervilv2.SubmitRequest{Spec: spec, Relayed: relayed})
		},
	}
}

func cancelCall(id string) call {
	return call{
		local: func(ctx context.Context, e *dispatch.Engine) *chervilv2.JobReply { return e.Cancel(ctx, id) },
		remote: func(ctx context.Context, c chervilv2.SchedulerClient, relayed bool) (*chervilv2.JobReply, error) {
			return c.Cancel(ctx, &chervilv2.JobRequest{Id: id, Relayed: relayed})
		},
	}
}

func lookupCall(id string) call {
	return call{
		local: func(ctx context.Context, e *dispatch.Engine) *chervilv2.JobReply { return e.Lookup(ctx, id) },
		remote: func(ctx context.Context, c chervilv2.SchedulerClient, relayed bool) (*chervilv2.JobReply, error) {
			return c.Lookup(ctx, &chervilv2.JobRequest{Id: id, Relayed: relayed})
		},
	}
}

// Result is what became of a call.
type Result struct {
	*chervilv2.JobReply
	// MaybeDone is set if the call may have been carried out although no answer says so.
	MaybeDone bool
}

// Do brings a call to the owner and repeats it until it is answered or the context
// ends. Without any owner it gives up earlier.
func (r *Router) Do(ctx context.Context, c call) Result {
	began := time.Now()
	maybeDone := false
	for try := 0; ; try++ {
		reply, sent := r.try(ctx, c, try)
		if reply != nil && reply.Outcome != chervilv2.Outcome_OUTCOME_NOT_OWNER && reply.Outcome != chervilv2.Outcome_OUTCOME_UNKNOWN {
			return Result{JobReply: reply, MaybeDone: maybeDone}
		}
		maybeDone = maybeDone || sent && (reply == nil || reply.Outcome == chervilv2.Outcome_OUTCOME_UNKNOWN)
		if ctx.Err() != nil || (!maybeDone && time.Since(began) > noOwnerLimit) {
			return Result{JobReply: &chervilv2.JobReply{}, MaybeDone: maybeDone}
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
}

// try makes one call; sent reports whether it may have reached an owner.
func (r *Router) try(ctx context.Context, c call, try int) (reply *chervilv2.JobReply, sent bool) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if engine := r.elector.Engine(); engine != nil {
		return c.local(ctx, engine), true
	}
	reply, err := r.atOwner(ctx, c, false)
	if err == nil || try < relayAfter {
		return r.current(reply), err != errNoPeer
	}
	for _, address := range r.peers.Entries() {
		client, err := r.peers.client(address)
		if err != nil {
			continue
		}
		if reply, err = c.remote(ctx, client, false); err == nil && reply.Outcome != chervilv2.Outcome_OUTCOME_NOT_OWNER {
			return r.current(reply), true
		}
	}
	return nil, true
}

// current drops an answer of an owner older than one that this process knows.
func (r *Router) current(reply *chervilv2.JobReply) *chervilv2.JobReply {
	owner := r.elector.Owner()
	if reply != nil && owner != nil && reply.Epoch < owner.Epoch && reply.Outcome != chervilv2.Outcome_OUTCOME_NOT_OWNER {
		return nil
	}
	return reply
}

// atOwner calls the owner that is known.
func (r *Router) atOwner(ctx context.Context, c call, relayed bool) (*chervilv2.JobReply, error) {
	owner := r.elector.Owner()
	if owner == nil || owner.Released || owner.Address == r.peers.self {
		return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	client, err := r.peers.client(owner.Address)
	if err != nil {
		return nil, errNoPeer
	}
	return c.remote(ctx, client, relayed)
}

// Count returns how many jobs of a queue wait; false if no owner says so.
func (r *Router) Count(ctx context.Context, queue string) (uint32, bool) {
	for ctx.Err() == nil {
		if engine := r.elector.Engine(); engine != nil {
			if reply := engine.CountPending(queue); reply.Outcome == chervilv2.Outcome_OUTCOME_OK {
				return reply.Pending, true
			}
		}
		try, cancel := context.WithTimeout(ctx, tryTimeout)
		reply, err := r.countAtOwner(try, queue, false)
		if err != nil || reply.Outcome != chervilv2.Outcome_OUTCOME_OK {
			reply = r.countRelayed(try, queue)
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

func (r *Router) countRelayed(ctx context.Context, queue string) *chervilv2.CountReply {
	for _, address := range r.peers.Entries() {
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
