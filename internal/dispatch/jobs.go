package dispatch

import (
	"context"
	"errors"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/events"
	"chervilridge/internal/jobstate"
)

// storeRetryAfter is the retry delay returned to clients while the store is unresponsive.
// Outages shorter than a second are over by then.
const storeRetryAfter = time.Second

// unknownQueueRetryAfter is the retry delay returned to clients if an older entry accepts the
// queue of a job and the owner does not know it. A new configuration is in effect by then.
const unknownQueueRetryAfter = time.Second

// Submit adds a job and returns once it is stored, or certainly is not. It is idempotent: a
// job with a known ID is not added again. The outcome is unknown if the store may have
// stored the job when the epoch or ctx ends.
func (e *Engine) Submit(ctx context.Context, spec *chervilv2.JobSpec) *chervilv2.JobReply {
	en, known, early := e.findOrAddJob(spec)
	if early != nil {
		return e.confirmReply(ctx, early)
	}
	reply := e.awaitStored(ctx, en, 1)
	if !known && reply.Outcome == chervilv2.Outcome_OUTCOME_OK {
		events.JobStored.Log("job", spec.Id, "queue", spec.Queue, "steps", len(spec.Steps), "epoch", e.Epoch())
	}
	return reply
}

// earlyReply is the reply to a call that changes nothing. It holds once the append with the number
// confirm has succeeded, or at once if that is 0.
type earlyReply struct {
	*chervilv2.JobReply
	confirm uint64
}

// confirmReply returns the reply once it holds.
func (e *Engine) confirmReply(ctx context.Context, early *earlyReply) *chervilv2.JobReply {
	if early.confirm == 0 {
		return early.JobReply
	}
	return e.confirmOwnership(ctx, early.JobReply, early.confirm)
}

// findOrAddJob returns the job with the ID of the spec, which it adds if it is not known, or the reply
// if the job is not added.
func (e *Engine) findOrAddJob(spec *chervilv2.JobSpec) (en *jobEntry, known bool, early *earlyReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en, known = e.jobs[spec.GetId()]; known || e.closed || e.unreadable[spec.GetId()] {
		en, early = e.findJob(spec.GetId())
		return en, known, early
	}
	reply, refused := e.checkNewJob(spec)
	if refused {
		// The next owner may have accepted the job if this process has been replaced.
		return nil, false, &earlyReply{reply, e.appendsBegun + 1}
	}
	if reply != nil {
		return nil, false, &earlyReply{JobReply: reply}
	}
	return e.addJob(spec), false, nil
}

// checkNewJob returns the reply that rejects a new job, or nil if it may be added. refused is set
// if the reply is a refusal by the forecast, which holds only once the ownership is confirmed.
func (e *Engine) checkNewJob(spec *chervilv2.JobSpec) (reply *chervilv2.JobReply, refused bool) {
	if err := jobstate.CheckSpec(spec); err != nil {
		return e.reject(spec.GetId(), err.Error(), 0), false
	}
	if e.storeUnresponsive() {
		return e.reject(spec.Id, "the store does not answer", storeRetryAfter), false
	}
	if spec.QueueSettings == nil && e.configuredSettings(spec) == nil {
		return e.reject(spec.Id, "the configuration has no such queue", unknownQueueRetryAfter), false
	}
	reply = e.refuseNewJob(spec)
	return reply, reply != nil
}

// unknownOutcome returns the reply to calls whose outcome is unknown, for example about a stored job that
// cannot be read.
func (e *Engine) unknownOutcome() *chervilv2.JobReply {
	return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_UNKNOWN, Epoch: e.Epoch()}
}

func (e *Engine) reject(id, reason string, retryAfter time.Duration) *chervilv2.JobReply {
	events.JobRejected.Log("job", id, "reason", reason, "retryAfter", retryAfter, "epoch", e.Epoch())
	return &chervilv2.JobReply{
		Outcome: chervilv2.Outcome_OUTCOME_REJECTED, Reason: reason, RetryAfterMs: retryAfter.Milliseconds(), Epoch: e.Epoch(),
	}
}

// addJob adds a new job to the schedule and to the next batch.
func (e *Engine) addJob(spec *chervilv2.JobSpec) *jobEntry {
	spec.AcceptedUnixMs = e.wall().UnixMilli() - e.forecasts.refusals.takeAge(spec.Id, e.clock()).Milliseconds()
	if settings := e.configuredSettings(spec); settings != nil {
		spec.QueueSettings = settings
	}
	en := &jobEntry{job: jobstate.NewJob(spec), queue: storedQueue(spec)}
	e.jobs[spec.Id] = en
	e.batch.newJobs[spec.Id] = true
	e.markDirty(spec.Id, en)
	e.openOccurrences(spec.Id, en)
	e.addToForecast(en)
	return en
}

// awaitStored waits until the given number of changes of the job is stored, or the job is
// rejected. If the epoch ends before any append with the job, the next owner may be asked.
func (e *Engine) awaitStored(ctx context.Context, en *jobEntry, changes uint64) *chervilv2.JobReply {
	for {
		stored, rejected, settled := e.storeProgress(en, changes)
		if rejected != nil {
			return rejected
		}
		if stored {
			return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_OK, Epoch: e.Epoch()}
		}
		select {
		case <-settled:
		case <-e.ended:
			return e.outcomeAfterEpoch(en)
		case <-ctx.Done():
			return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_UNKNOWN, Epoch: e.Epoch()}
		}
	}
}

// storeProgress returns whether the given number of changes of the job is stored, the reply if the job
// is rejected, and the channel that is closed when either may have changed.
func (e *Engine) storeProgress(en *jobEntry, changes uint64) (stored bool, rejected *chervilv2.JobReply, settled <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return en.storedChanges >= changes, en.rejected, e.settled
}

// outcomeAfterEpoch returns the reply for a change that was not stored when the epoch ended.
func (e *Engine) outcomeAfterEpoch(en *jobEntry) *chervilv2.JobReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en.appended {
		return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_UNKNOWN, Epoch: e.Epoch()}
	}
	return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER}
}

// Cancel ends a job and returns once the cancellation is stored.
func (e *Engine) Cancel(ctx context.Context, id string) *chervilv2.JobReply {
	en, changes, early := e.cancelJob(id)
	if early != nil {
		return e.confirmReply(ctx, early)
	}
	return e.awaitStored(ctx, en, changes)
}

// cancelJob ends a job and returns it with the number of its changes, the end among them, or the reply
// if there is no such job.
func (e *Engine) cancelJob(id string) (en *jobEntry, changes uint64, early *earlyReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	en, early = e.findJob(id)
	if early != nil {
		return nil, 0, early
	}
	if effect := en.job.Cancel(e.wall().UnixMilli()); effect.Changed {
		e.orderStops(effect.RunsToStop, "job cancelled")
		e.markDirty(id, en)
		events.JobEnded.Log("job", id, "phase", en.job.Phase, "runs", len(effect.RunsToStop))
	}
	return en, en.changes, nil
}

// Lookup returns the stored phase of a job.
func (e *Engine) Lookup(ctx context.Context, id string) *chervilv2.JobReply {
	return e.confirmReply(ctx, e.lookUpPhase(id))
}

func (e *Engine) lookUpPhase(id string) *earlyReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	en, early := e.findJob(id)
	if early != nil {
		return early
	}
	return &earlyReply{JobReply: &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_OK, Epoch: e.Epoch(), Phase: en.storedPhase}}
}

// findJob returns the job, or the reply if there is none. That there is none has to be confirmed: while
// this process was suspended, another one may have become the owner and accepted the job.
func (e *Engine) findJob(id string) (*jobEntry, *earlyReply) {
	if e.closed {
		return nil, &earlyReply{JobReply: &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER, Epoch: e.Epoch()}}
	}
	if e.unreadable[id] {
		return nil, &earlyReply{JobReply: e.unknownOutcome()}
	}
	en, known := e.jobs[id]
	if !known {
		reply := &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_NO_SUCH_JOB, Epoch: e.Epoch()}
		return nil, &earlyReply{reply, e.appendsBegun + 1} // the first append that begins after this call
	}
	return en, nil
}

// confirmOwnership returns the reply once the append with the number has succeeded, or one
// without a statement about the job if the epoch or ctx ends first.
func (e *Engine) confirmOwnership(ctx context.Context, reply *chervilv2.JobReply, number uint64) *chervilv2.JobReply {
	switch err := e.awaitAppend(ctx, number); {
	case errors.Is(err, errNotOwner):
		return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER, Epoch: e.Epoch()}
	case err != nil:
		return e.unknownOutcome()
	}
	return reply
}

// CountPending returns the number of accepted jobs in the queue that have not started.
func (e *Engine) CountPending(queue string) *chervilv2.CountReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := &chervilv2.CountReply{Outcome: chervilv2.Outcome_OUTCOME_OK, Epoch: e.Epoch()}
	if e.closed {
		reply.Outcome = chervilv2.Outcome_OUTCOME_NOT_OWNER
	}
	for _, en := range e.activeJobs {
		if en.job.Spec.Queue == queue && !en.job.HasStarted() && en.storedChanges > 0 && !en.job.Ended() {
			reply.Pending++
		}
	}
	return reply
}
