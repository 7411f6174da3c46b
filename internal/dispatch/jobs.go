package dispatch

import (
	"context"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/events"
	"chervilridge/internal/work"
)

// storeRetryAfter is what a client is told to wait when the store is away: outages
// shorter than a second are over by then.
const storeRetryAfter = time.Second

// Submit stores a job and returns once it is stored. The same id is one job.
func (e *Engine) Submit(ctx context.Context, spec *chervilv2.JobSpec) *chervilv2.JobReply {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER}
	}
	en, known := e.jobs[spec.Id]
	if !known {
		if e.storeAway() {
			e.mu.Unlock()
			return e.reject(spec.Id, "the store does not answer", storeRetryAfter)
		}
		en = e.enter(spec)
	}
	b := en.storedIn
	e.mu.Unlock()
	reply := e.await(ctx, b)
	if !known && reply.Outcome == chervilv2.Outcome_OUTCOME_OK {
		events.JobStored.Log("job", spec.Id, "queue", spec.Queue, "steps", len(spec.Steps), "epoch", e.Epoch())
	}
	return reply
}

func (e *Engine) reject(id, reason string, retryAfter time.Duration) *chervilv2.JobReply {
	events.JobRejected.Log("job", id, "reason", reason, "retryAfter", retryAfter, "epoch", e.Epoch())
	return &chervilv2.JobReply{
		Outcome: chervilv2.Outcome_OUTCOME_REJECTED, Reason: reason, RetryAfterMs: retryAfter.Milliseconds(), Epoch: e.Epoch(),
	}
}

// enter adds a new job to the schedule.
func (e *Engine) enter(spec *chervilv2.JobSpec) *entry {
	spec.AcceptedUnixMs = e.wall().UnixMilli()
	en := &entry{job: work.NewJob(spec), storedIn: e.batch}
	e.jobs[spec.Id] = en
	e.batch.specs[spec.Id] = true
	e.markDirty(spec.Id, en)
	e.openOccurrences(spec.Id, en)
	return en
}

// await waits until a batch is stored; nil is stored already.
func (e *Engine) await(ctx context.Context, b *batch) *chervilv2.JobReply {
	reply := &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_OK, Epoch: e.Epoch()}
	if b == nil {
		return reply
	}
	select {
	case <-b.done:
		if b.err != nil {
			reply.Outcome = chervilv2.Outcome_OUTCOME_UNKNOWN
		}
	case <-ctx.Done():
		reply.Outcome = chervilv2.Outcome_OUTCOME_UNKNOWN
	}
	return reply
}

// Cancel ends a job and returns once that is stored.
func (e *Engine) Cancel(ctx context.Context, id string) *chervilv2.JobReply {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER}
	}
	en, ok := e.jobs[id]
	if !ok {
		e.mu.Unlock()
		return e.noSuchJob(ctx)
	}
	b := en.storedIn
	if effect := en.job.Cancel(e.wall().UnixMilli()); effect.Changed {
		e.stopAll(effect.Surplus, "job cancelled")
		e.markDirty(id, en)
		events.JobEnded.Log("job", id, "phase", en.job.Phase, "runs", len(effect.Surplus))
		b = e.batch
	} else if en.phase != en.job.Phase {
		b = e.batch // the end is not stored yet; this batch comes after the one that stores it
		e.markDirty(id, en)
	}
	e.mu.Unlock()
	return e.await(ctx, b)
}

// Lookup returns a job's stored phase.
func (e *Engine) Lookup(ctx context.Context, id string) *chervilv2.JobReply {
	e.mu.Lock()
	reply := &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_OK, Epoch: e.Epoch()}
	en, ok := e.jobs[id]
	switch {
	case e.closed:
		reply.Outcome = chervilv2.Outcome_OUTCOME_NOT_OWNER
	case !ok:
		e.mu.Unlock()
		return e.noSuchJob(ctx)
	default:
		reply.Phase = en.phase
	}
	e.mu.Unlock()
	return reply
}

// noSuchJob answers for a job that this owner does not know, once the store has confirmed
// that it was still the owner when it was asked: while a process stands still, another one
// may have taken the schedule over and accepted the job.
func (e *Engine) noSuchJob(ctx context.Context) *chervilv2.JobReply {
	reply := &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_NO_SUCH_JOB, Epoch: e.Epoch()}
	e.mu.Lock()
	enough := e.appendsBegun + 1 // the first append that begins from now on
	e.mu.Unlock()
	for {
		e.mu.Lock()
		confirmed, stored := e.appendsDone >= enough, e.appended
		e.confirmDue = e.confirmDue || !confirmed
		e.mu.Unlock()
		if confirmed {
			return reply
		}
		e.wake()
		select {
		case <-stored:
		case <-e.gone:
			reply.Outcome = chervilv2.Outcome_OUTCOME_NOT_OWNER
			return reply
		case <-ctx.Done():
			reply.Outcome = chervilv2.Outcome_OUTCOME_UNKNOWN
			return reply
		}
	}
}

// Pending returns how many accepted jobs of a queue have not begun.
func (e *Engine) Pending(queue string) *chervilv2.CountReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := &chervilv2.CountReply{Outcome: chervilv2.Outcome_OUTCOME_OK, Epoch: e.Epoch()}
	if e.closed {
		reply.Outcome = chervilv2.Outcome_OUTCOME_NOT_OWNER
	}
	for _, en := range e.open {
		if en.job.Spec.Queue == queue && !en.started && en.storedIn == nil && !en.job.Ended() {
			reply.Pending++
		}
	}
	return reply
}
