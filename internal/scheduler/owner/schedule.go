package owner

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/scheduler/placement"
	"chervilridge/internal/shard"
	"chervilridge/internal/table"
)

func cloneJob(j *pb.Job) *pb.Job { return proto.CloneOf(j) }

// schedule plans the waiting tasks and carries the plan out.
func (o *Owner) schedule(ctx context.Context, epoch uint64) {
	o.govern(ctx, epoch)
	if !o.table.FreshWithin(o.options.TableFreshness) || !o.planDue(time.Now()) {
		return
	}
	snapshot := o.snapshot()
	o.holdBack(&snapshot)
	if len(snapshot.Tasks) == 0 {
		return
	}
	plan := o.plan(snapshot)
	for _, a := range plan.Assignments {
		key := attemptKey{a.Task.Ref, a.Task.Attempt + 1}
		if p := o.admit(key, a.Worker); p != nil {
			o.insight.begin(key, a)
			go func() {
				defer o.discharge(p, key, a.Worker)
				o.assign(ctx, epoch, key, a)
			}()
		}
	}
	for _, u := range plan.Impossible {
		o.rejectJob(ctx, epoch, u)
	}
}

// assign commits one assignment and, once replay has accepted it, starts it.
func (o *Owner) assign(ctx context.Context, epoch uint64, key attemptKey, a placement.Assignment) {
	defer o.insight.end(key)
	v, err := o.commit(ctx, epoch, &pb.Record{Body: &pb.Record_TaskAssigned{TaskAssigned: &pb.TaskAssigned{
		JobId: key.ref.JobID, Index: key.ref.Index, Attempt: key.attempt, Worker: a.Worker, Reserved: a.Reserved,
		Detail: whyThere(a),
	}}})
	o.noteLog(err)
	if err != nil || v.Rejection != nil {
		events.TaskUnplaced.Log("job", key.ref.JobID, "index", key.ref.Index, "worker", a.Worker, "error", err, "rejection", v.Rejection)
		return
	}
	events.TaskPlaced.Log("job", key.ref.JobID, "index", key.ref.Index, "attempt", key.attempt,
		"worker", a.Worker, "score", a.Score, "epoch", epoch, "offset", v.Offset)
	o.start(ctx, epoch, key, a.Worker)
}

// whyThere tells people why a task was given to its worker.
func whyThere(a placement.Assignment) string {
	urgent := ""
	if a.Task.Urgent {
		urgent = ", urgent"
	}
	return fmt.Sprintf("best score %.3f for %d m cores, %d MB, %d accelerators%s", a.Score,
		a.Reserved.GetCpuMilli(), a.Reserved.GetMemoryMb(), a.Reserved.GetAccelerators(), urgent)
}

// start sends the start, unless the lease, the worker or its data centre have
// gone meanwhile; then the attempt is given back as never started.
func (o *Owner) start(ctx context.Context, epoch uint64, key attemptKey, worker string) {
	req, address, ok := o.startRequest(epoch, key, worker)
	if !o.holds(epoch) {
		return
	}
	if !ok {
		o.release(ctx, epoch, key, pb.ReleaseReason_RELEASE_REASON_NOT_STARTED, nil, "worker, job or data centre went away before the start")
		return
	}
	conn, err := o.pool.Get(address)
	if err != nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := pb.NewTaskRunnerClient(conn).StartTask(callCtx, req)
	switch {
	case err != nil:
		events.TaskStartRefused.LogError(err, "job", key.ref.JobID, "index", key.ref.Index, "attempt", key.attempt, "peer", worker)
	case reply.Started:
		o.confirm(key)
	case reply.WorkerFault:
		o.release(ctx, epoch, key, pb.ReleaseReason_RELEASE_REASON_WORKER_FAULT, nil, reply.Reason)
	default:
		o.release(ctx, epoch, key, pb.ReleaseReason_RELEASE_REASON_NOT_STARTED, nil, reply.Reason)
	}
}

// startRequest makes the start of an attempt; false if it must not be sent. The
// order matters: the clock is read first, so that the not-after time bounds how
// old the view of the table can be when the start takes effect, and freshness
// is asked before the view is read, since a view only gets newer.
func (o *Owner) startRequest(epoch uint64, key attemptKey, worker string) (*pb.StartTaskRequest, string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	view := o.workers[worker]
	if view == nil || view.leaving || !o.table.FreshWithin(o.options.TableFreshness) {
		return nil, "", false
	}
	allowance := o.options.StartAllowance
	o.view(key).mayRunUntil = now.Add(allowance + o.options.Grant + o.margin())
	req := &pb.StartTaskRequest{
		Attempt: o.message(key), Epoch: epoch, Incarnation: view.incarnation,
		NotAfterMs: (view.clock + now.Sub(view.seen) + allowance).Milliseconds(),
		GrantMs:    o.options.Grant.Milliseconds(),
	}
	return req, view.address, o.fill(req, key, worker)
}

// fill adds what the ledger has of the task; false if the worker's data centre
// is out.
func (o *Owner) fill(req *pb.StartTaskRequest, key attemptKey, worker string) bool {
	usable := false
	o.table.View(func(t *table.Table) {
		o.state.View(func(s *shard.State) {
			job, task := s.Task(key.ref)
			w := s.Workers()[worker]
			if task == nil || w == nil {
				return
			}
			req.Reserved, req.Checkpoint = task.Reserved, task.Checkpoint
			req.Payload, req.JobClass, req.DurationMs = job.Spec.Payload, job.Spec.JobClass, job.Spec.DurationMs
			req.DataCentre = w.Registered.DataCentre
			usable = !t.DataCentreOut(w.Registered.DataCentre) && !job.Cancelled
		})
	})
	return usable
}

func (o *Owner) message(key attemptKey) *pb.Attempt {
	return &pb.Attempt{Shard: o.options.Shard, JobId: key.ref.JobID, Index: key.ref.Index, Attempt: key.attempt}
}

func (o *Owner) confirm(key attemptKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view(key).confirmed = time.Now()
}

// rejectJob ends a job that can never run, so that it blocks nobody.
func (o *Owner) rejectJob(ctx context.Context, epoch uint64, u placement.Unplaced) {
	v, err := o.commit(ctx, epoch, &pb.Record{Body: &pb.Record_JobRejected{JobRejected: &pb.JobRejected{
		JobId: u.Task.Ref.JobID, Reason: u.Reason,
	}}})
	if err == nil && v.Rejection == nil {
		events.JobRefused.Log("job", u.Task.Ref.JobID, "reason", u.Reason)
	}
}
