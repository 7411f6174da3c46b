package owner

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/resources"
	"chervilridge/internal/shard"
	"chervilridge/internal/table"
)

// action is what a granted attempt needs now.
type action int

const (
	actionNone action = iota
	actionStop
	actionFence
	actionLose
)

// step is one action on one attempt.
type step struct {
	key     attemptKey
	action  action
	reason  pb.ReleaseReason
	detail  string
	address string
	worker  string
	// checkpoint is the newest that a report of the running attempt named.
	checkpoint []byte
}

// reconcile compares the granted attempts with what beats reported and acts on
// those that should stop, are in doubt, or are lost.
func (o *Owner) reconcile(ctx context.Context, epoch uint64) {
	for _, s := range o.steps() {
		if !o.occupy(s.key) {
			continue
		}
		go func() {
			defer o.vacate(s.key)
			o.act(ctx, epoch, s)
		}()
	}
}

// steps decides for each granted attempt; it also forgets views of attempts
// that the ledger no longer grants.
func (o *Owner) steps() []step {
	var out []step
	o.mu.Lock()
	defer o.mu.Unlock()
	o.walk++
	o.table.View(func(t *table.Table) {
		o.state.View(func(s *shard.State) {
			for name, w := range s.Workers() {
				excess := excessOn(w)
				for ref, task := range w.Assigned {
					key := attemptKey{ref, task.Attempt}
					o.view(key).walk = o.walk
					if st := o.decide(t, s.Job(ref.JobID), key, name, w, excess[ref]); st.action != actionNone {
						out = append(out, st)
					}
				}
			}
		})
	})
	for key, v := range o.attempts {
		if v.walk != o.walk && !v.busy {
			delete(o.attempts, key)
		}
	}
	return out
}

// decide says what one granted attempt needs. A lost attempt comes first: it may
// be given to another worker only now, and only by this release.
func (o *Owner) decide(t *table.Table, job *pb.Job, key attemptKey, name string, w *shard.Worker, excess bool) step {
	v := o.view(key)
	s := step{key: key, worker: name, address: w.Registered.Address, checkpoint: v.checkpoint}
	if wv := o.workers[name]; wv != nil {
		s.address = wv.address
	}
	now := time.Now()
	switch {
	case v.busy:
	case now.After(v.mayRunUntil):
		s.action, s.reason = actionLose, pb.ReleaseReason_RELEASE_REASON_LOST
		s.detail = "worker " + name + " was silent for longer than the grant"
	case v.unanswered.waits(now):
	case job.Cancelled:
		s.action, s.reason, s.detail = actionStop, pb.ReleaseReason_RELEASE_REASON_CANCELLED, "job cancelled"
	case t.DataCentreOut(w.Registered.DataCentre):
		s.action, s.reason = actionStop, pb.ReleaseReason_RELEASE_REASON_DRAINED
		s.detail = "data centre " + w.Registered.DataCentre + " is out of service"
	case excess:
		s.action, s.reason = actionStop, pb.ReleaseReason_RELEASE_REASON_EVICTED
		s.detail = "worker " + name + " has less than is reserved on it"
	case now.Sub(later(v.granted, v.confirmed)) > o.options.ConfirmAfter:
		s.action = actionFence
	}
	return s
}

// excessOn returns the attempts that must go from a worker that came back with
// a smaller capacity, the newest first.
func excessOn(w *shard.Worker) map[shard.TaskRef]bool {
	if resources.Fits(w.Reserved, w.Registered.Capacity) {
		return nil
	}
	refs := slices.SortedFunc(maps.Keys(w.Assigned), func(a, b shard.TaskRef) int {
		return cmp.Or(cmp.Compare(w.Assigned[b].ChangedMs, w.Assigned[a].ChangedMs),
			cmp.Compare(a.JobID, b.JobID), cmp.Compare(a.Index, b.Index))
	})
	out := map[shard.TaskRef]bool{}
	left := w.Reserved
	for _, ref := range refs {
		if resources.Fits(left, w.Registered.Capacity) {
			break
		}
		out[ref] = true
		left = resources.Sub(left, w.Assigned[ref].Reserved)
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (o *Owner) act(ctx context.Context, epoch uint64, s step) {
	switch s.action {
	case actionLose:
		o.release(ctx, epoch, s.key, s.reason, s.checkpoint, s.detail)
	case actionStop:
		o.stop(ctx, epoch, s)
	case actionFence:
		o.fence(ctx, epoch, s)
	}
}

func (o *Owner) stop(ctx context.Context, epoch uint64, s step) {
	conn, err := o.pool.Get(s.address)
	if err != nil || !o.holds(epoch) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := pb.NewTaskRunnerClient(conn).StopTask(callCtx, &pb.StopTaskRequest{
		Attempt: o.message(s.key), Epoch: epoch, Checkpoint: true, Reason: s.reason,
	})
	if err != nil {
		o.noteUnanswered(s.key)
		events.TaskStopUnanswered.LogError(err, "job", s.key.ref.JobID, "index", s.key.ref.Index, "attempt", s.key.attempt,
			"reason", s.reason.String(), "peer", s.worker)
		return
	}
	if report.Detail == "" {
		report.Detail = s.detail
	}
	o.record(ctx, epoch, s.key, report, s.reason)
}

func (o *Owner) fence(ctx context.Context, epoch uint64, s step) {
	conn, err := o.pool.Get(s.address)
	if err != nil || !o.holds(epoch) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := pb.NewTaskRunnerClient(conn).FenceTask(callCtx, &pb.FenceTaskRequest{Attempt: o.message(s.key), Epoch: epoch})
	if err != nil {
		o.noteUnanswered(s.key)
		events.TaskFenceUnanswered.LogError(err, "job", s.key.ref.JobID, "index", s.key.ref.Index, "attempt", s.key.attempt, "peer", s.worker)
		return
	}
	if report.State == pb.AttemptState_ATTEMPT_STATE_RUNNING {
		o.confirm(s.key)
		return
	}
	o.record(ctx, epoch, s.key, report, pb.ReleaseReason_RELEASE_REASON_NOT_STARTED)
}

// noteUnanswered makes further calls about the attempt wait.
func (o *Owner) noteUnanswered(key attemptKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view(key).unanswered.fail(time.Now(), longestPause)
}

// record writes what became of an attempt into the ledger. An agent that knows
// a newer epoch is not believed.
func (o *Owner) record(ctx context.Context, epoch uint64, key attemptKey, r *pb.AttemptReport, reason pb.ReleaseReason) {
	if r.Epoch > epoch {
		return
	}
	switch r.State {
	case pb.AttemptState_ATTEMPT_STATE_FINISHED:
		if len(r.Result) > shard.MaxResultBytes {
			detail := fmt.Sprintf("result has %d bytes, allowed are %d", len(r.Result), shard.MaxResultBytes)
			o.release(ctx, epoch, key, pb.ReleaseReason_RELEASE_REASON_FAILED, nil, detail)
			return
		}
		o.finish(ctx, epoch, key, r)
	case pb.AttemptState_ATTEMPT_STATE_FAILED:
		o.release(ctx, epoch, key, pb.ReleaseReason_RELEASE_REASON_FAILED, r.Checkpoint, r.Detail)
	case pb.AttemptState_ATTEMPT_STATE_NEVER_STARTED:
		o.release(ctx, epoch, key, pb.ReleaseReason_RELEASE_REASON_NOT_STARTED, nil, r.Detail)
	case pb.AttemptState_ATTEMPT_STATE_STOPPED:
		if r.Reason != pb.ReleaseReason_RELEASE_REASON_UNSPECIFIED {
			reason = r.Reason
		}
		o.release(ctx, epoch, key, reason, r.Checkpoint, r.Detail)
	}
}

func (o *Owner) finish(ctx context.Context, epoch uint64, key attemptKey, r *pb.AttemptReport) {
	v, err := o.commit(ctx, epoch, &pb.Record{Body: &pb.Record_TaskFinished{TaskFinished: &pb.TaskFinished{
		JobId: key.ref.JobID, Index: key.ref.Index, Attempt: key.attempt, Result: r.Result, RanMs: r.RanMs, Used: r.Used,
	}}})
	if err == nil && v.Rejection == nil {
		o.noteRan(key.ref, o.workerOf(key.ref))
		events.TaskFinished.Log("job", key.ref.JobID, "index", key.ref.Index, "attempt", key.attempt, "ranMs", r.RanMs, "offset", v.Offset)
	}
}

func (o *Owner) release(ctx context.Context, epoch uint64, key attemptKey, reason pb.ReleaseReason, checkpoint []byte, detail string) {
	v, err := o.commit(ctx, epoch, &pb.Record{Body: &pb.Record_TaskReleased{TaskReleased: &pb.TaskReleased{
		JobId: key.ref.JobID, Index: key.ref.Index, Attempt: key.attempt, Reason: reason, Checkpoint: checkpoint, Detail: detail,
	}}})
	if err == nil && v.Rejection == nil {
		o.noteRelease(key, reason)
		events.TaskReleased.Log("job", key.ref.JobID, "index", key.ref.Index, "attempt", key.attempt,
			"reason", reason.String(), "detail", detail, "offset", v.Offset)
	}
}

// noteRelease holds back what failed.
func (o *Owner) noteRelease(key attemptKey, reason pb.ReleaseReason) {
	switch reason {
	case pb.ReleaseReason_RELEASE_REASON_EVICTED:
		o.noteEvicted(o.workerOf(key.ref))
	case pb.ReleaseReason_RELEASE_REASON_NOT_STARTED:
		o.noteNotStarted(key.ref)
	case pb.ReleaseReason_RELEASE_REASON_WORKER_FAULT:
		o.noteNotStarted(key.ref)
		o.noteFailed(key.ref, o.workerOf(key.ref), true)
	case pb.ReleaseReason_RELEASE_REASON_FAILED:
		o.noteNotStarted(key.ref)
		o.noteFailed(key.ref, o.workerOf(key.ref), false)
	}
}

// workerOf returns the worker of the task's last attempt.
func (o *Owner) workerOf(ref shard.TaskRef) string {
	name := ""
	o.state.View(func(s *shard.State) {
		_, task := s.Task(ref)
		name = task.GetWorker()
	})
	return name
}
