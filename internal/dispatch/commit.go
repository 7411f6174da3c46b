package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/schedulestore"
	"chervilridge/internal/wait"
	"chervilridge/platform"
)

// commitLoop appends pending changes, and confirms the ownership while there are none, until
// ctx ends or the store rejects an append.
func (e *Engine) commitLoop(ctx context.Context) error {
	for {
		select {
		case <-e.wakeCh:
		case <-time.After(confirmInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		b, records := e.nextBatch()
		if b == nil && !e.takeConfirmRequest() && e.writer.SinceConfirmed() < confirmInterval {
			continue
		}
		if err := e.commit(ctx, b, records); err != nil {
			return err
		}
		if !wait.For(ctx, minCommitInterval) {
			return ctx.Err()
		}
	}
}

// commit appends the records of a batch, or none to confirm the ownership if the batch is
// nil. It retries until the outcome is known.
func (e *Engine) commit(ctx context.Context, b *batch, records []platform.Record) error {
	e.beginAppend()
	defer e.endAppend()
	var pause schedulestore.RetryPause
	for {
		err := e.writer.Try(ctx, records)
		var retry *schedulestore.RetryError
		switch {
		case err == nil:
			e.publish(b)
			return nil
		case !errors.As(err, &retry):
			e.abortBatch(b)
			return err
		}
		records = e.handleFailedTry(b, records, retry)
		if !wait.For(ctx, pause.Next()) {
			e.abortBatch(b)
			return ctx.Err()
		}
	}
}

// handleFailedTry rejects new jobs once the store has failed for storeFailingAfter: those
// that no append has contained yet, and those of the batch if the store has certainly not
// stored it. It returns the records to append next.
func (e *Engine) handleFailedTry(b *batch, records []platform.Record, retry *schedulestore.RetryError) []platform.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.appendFailed = true
	if !e.storeUnresponsive() {
		return records
	}
	e.rejectNewJobs(e.batch)
	if b == nil || !retry.NothingStored || len(b.newJobs) == 0 {
		return records
	}
	e.rejectNewJobs(b)
	return e.encode(b)
}

// rejectNewJobs takes the new jobs of a batch out of the schedule and replies to their
// callers. The store must not have stored the batch, nor may it do so later.
func (e *Engine) rejectNewJobs(b *batch) {
	if len(b.newJobs) == 0 {
		return
	}
	for id := range b.newJobs {
		e.rejectJob(b, id, e.reject(id, "the store does not answer", storeRetryAfter))
	}
	e.notifySettled()
}

// rejectJob takes a new job out of the schedule with the reply to its callers. Its runs have
// not been ordered, since the job is not stored.
func (e *Engine) rejectJob(b *batch, id string, reply *chervilv2.JobReply) {
	en := e.jobs[id]
	en.rejected = reply
	en.job.ForEachRun(func(r *jobstate.Run) { e.node(r.Worker.Node).removeRun(runKey{r.Ref, r.Attempt}) })
	delete(e.jobs, id)
	delete(e.activeJobs, id)
	delete(b.newJobs, id)
	delete(b.changedJobs, id)
	delete(b.jobStatus, id)
	b.orders = slices.DeleteFunc(b.orders, func(o order) bool { return o.run.ref.Job == id })
}

// takeConfirmRequest reports whether a confirmation was requested, and clears the
// request.
func (e *Engine) takeConfirmRequest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	requested := e.confirmRequested
	e.confirmRequested = false
	return requested
}

// notifySettled wakes the callers that wait for changes to be stored.
func (e *Engine) notifySettled() {
	close(e.settled)
	e.settled = make(chan struct{})
}

func (e *Engine) beginAppend() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.appendStart, e.appendFailed = e.clock(), false
	e.appendsBegun++
}

func (e *Engine) endAppend() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.appendStart = 0
}

// storeUnresponsive reports whether the append in flight is overdue.
func (e *Engine) storeUnresponsive() bool {
	limit := storeUnresponsiveAfter
	if e.appendFailed {
		limit = storeFailingAfter
	}
	return e.appendStart != 0 && e.clock().Sub(e.appendStart) > limit
}

// publish makes the job phases of a stored batch visible to clients and sends its orders. A
// nil batch only confirmed the ownership.
func (e *Engine) publish(b *batch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.appendsDone = e.appendsBegun
	e.notifySettled()
	if b == nil {
		return
	}
	for id, stored := range b.jobStatus {
		if en, ok := e.jobs[id]; ok {
			en.storedPhase, en.storedChanges = stored.phase, stored.changes
		}
	}
	for _, o := range b.orders {
		e.sendOrder(o)
	}
	if b.unreachable != nil {
		e.unreachableAgents.stored, e.unreachableAgents.appending = b.unreachable, nil
	}
}

// abortBatch is called when the epoch ends during the append of a batch. If the store has
// certainly not stored the batch, its jobs can be submitted to the next owner.
func (e *Engine) abortBatch(b *batch) {
	if b == nil || e.writer.Uncertain() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range b.newJobs {
		e.jobs[id].appended = false
	}
}

// awaitAppend waits until the append with the number, counted from the start of the epoch,
// has succeeded. It returns errNotOwner if the epoch ends first, or the context's error.
func (e *Engine) awaitAppend(ctx context.Context, number uint64) error {
	for {
		done, settled := e.requestAppend(number)
		if done {
			return nil
		}
		e.wake()
		select {
		case <-settled:
		case <-e.ended:
			return errNotOwner
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// requestAppend reports whether the append with the number has succeeded, and otherwise requests a
// confirmation of the ownership. The channel is closed when that may have changed.
func (e *Engine) requestAppend(number uint64) (done bool, settled <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	done = e.appendsDone >= number
	e.confirmRequested = e.confirmRequested || !done
	return done, e.settled
}
