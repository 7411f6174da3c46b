package owner

import (
	"context"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
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
	address string
	worker  string
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
	granted := map[attemptKey]bool{}
	o.table.View(func(t *table.Table) {
		o.state.View(func(s *shard.State) {
			for name, w := range s.Workers() {
				for ref, task := range w.Assigned {
					key := attemptKey{ref, task.Attempt}
					granted[key] = true
					if st := o.decide(t, s.Job(ref.JobID), key, name, w); st.action != actionNone {
						out = append(out, st)
					}
				}
			}
		})
	})
	for key, v := range o.attempts {
		if !granted[key] && !v.busy {
			delete(o.attempts, key)
		}
	}
	return out
}

func (o *Owner) decide(t *table.Table, job *pb.Job, key attemptKey, name string, w *shard.Worker) step {
	v := o.view(key)
	s := step{key: key, worker: name, address: w.Registered.Address}
	if wv := o.workers[name]; wv != nil {
		s.address = wv.address
	}
	now := time.Now()
	switch {
	case v.busy:
	case now.After(v.mayRunUntil):
		s.action, s.reason = actionLose, pb.ReleaseReason_RELEASE_REASON_LOST
	case job.Cancelled:
		s.action, s.reason = actionStop, pb.ReleaseReason_RELEASE_REASON_CANCELLED
	case t.DataCentreOut(w.Registered.DataCentre):
		s.action, s.reason = actionStop, pb.ReleaseReason_RELEASE_REASON_DRAINED
	case now.Sub(later(v.granted, v.confirmed)) > confirmAfter:
		s.action = actionFence
	}
	return s
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
		o.release(ctx, epoch, s.key, s.reason, nil, "worker "+s.worker+" was silent for longer than the grant")
	case actionStop:
		o.stop(ctx, epoch, s)
	case actionFence:
		o.fence(ctx, epoch, s)
	}
}

func (o *Owner) stop(ctx context.Context, epoch uint64, s step) {
	conn, err := o.pool.Get(s.address)
	if err != nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := pb.NewTaskRunnerClient(conn).StopTask(callCtx, &pb.StopTaskRequest{
		Attempt: o.message(s.key), Epoch: epoch, Checkpoint: true, Reason: s.reason,
	})
	if err == nil {
		o.record(ctx, epoch, s.key, report, s.reason)
	}
}

func (o *Owner) fence(ctx context.Context, epoch uint64, s step) {
	conn, err := o.pool.Get(s.address)
	if err != nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := pb.NewTaskRunnerClient(conn).FenceTask(callCtx, &pb.FenceTaskRequest{Attempt: o.message(s.key), Epoch: epoch})
	if err != nil {
		return
	}
	if report.State == pb.AttemptState_ATTEMPT_STATE_RUNNING {
		o.confirm(s.key)
		return
	}
	o.record(ctx, epoch, s.key, report, pb.ReleaseReason_RELEASE_REASON_NOT_STARTED)
}

// record writes what became of an attempt into the ledger. An agent that knows
// a newer epoch is not believed.
func (o *Owner) record(ctx context.Context, epoch uint64, key attemptKey, r *pb.AttemptReport, reason pb.ReleaseReason) {
	if r.Epoch > epoch {
		return
	}
	switch r.State {
	case pb.AttemptState_ATTEMPT_STATE_FINISHED:
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
		events.TaskFinished.Log("job", key.ref.JobID, "index", key.ref.Index, "attempt", key.attempt, "ranMs", r.RanMs, "offset", v.Offset)
	}
}

func (o *Owner) release(ctx context.Context, epoch uint64, key attemptKey, reason pb.ReleaseReason, checkpoint []byte, detail string) {
	v, err := o.commit(ctx, epoch, &pb.Record{Body: &pb.Record_TaskReleased{TaskReleased: &pb.TaskReleased{
		JobId: key.ref.JobID, Index: key.ref.Index, Attempt: key.attempt, Reason: reason, Checkpoint: checkpoint, Detail: detail,
	}}})
	if err == nil && v.Rejection == nil {
		events.TaskReleased.Log("job", key.ref.JobID, "index", key.ref.Index, "attempt", key.attempt,
			"reason", reason.String(), "detail", detail, "offset", v.Offset)
	}
}
