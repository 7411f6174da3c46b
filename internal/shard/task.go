package shard

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/resources"
)

// assign grants the next attempt of a waiting task to a worker, within the
// worker's capacity.
func (s *State) assign(rec *pb.Record, a *pb.TaskAssigned) *ledger.Rejection {
	ref := TaskRef{a.JobId, a.Index}
	_, task := s.Task(ref)
	worker := s.workers[a.Worker]
	switch {
	case task == nil:
		return ledger.Reject(ledger.ReasonNotFound, "no task %s/%d", a.JobId, a.Index)
	case worker == nil:
		return ledger.Reject(ledger.ReasonNotFound, "no worker %s", a.Worker)
	case task.State != pb.TaskState_TASK_STATE_PENDING:
		return ledger.Reject(ledger.ReasonWrongState, "task %s/%d is %s", a.JobId, a.Index, task.State)
	case a.Attempt != task.Attempt+1:
		return ledger.Reject(ledger.ReasonStaleVersion, "attempt %d of %s/%d, the last is %d", a.Attempt, a.JobId, a.Index, task.Attempt)
	case worker.Quarantined:
		return ledger.Reject(ledger.ReasonWrongState, "worker %s is quarantined", a.Worker)
	case !resources.Valid(a.Reserved) || !resources.Fits(a.Reserved, worker.Free()):
		return ledger.Reject(ledger.ReasonOvercommitted, "worker %s has no room for %s/%d", a.Worker, a.JobId, a.Index)
	}
	task.State = pb.TaskState_TASK_STATE_ASSIGNED
	task.Attempt = a.Attempt
	task.Worker = a.Worker
	task.Reserved = proto.CloneOf(a.Reserved)
	worker.Reserved = resources.Add(worker.Reserved, a.Reserved)
	worker.Assigned[ref] = task
	delete(s.pending, ref)
	note(rec, task, eventAssigned, a.Detail)
	return nil
}

// current returns the task if the attempt is the one granted now.
func (s *State) current(ref TaskRef, attempt uint32) (*pb.Job, *pb.Task, *ledger.Rejection) {
	job, task := s.Task(ref)
	switch {
	case task == nil:
		return nil, nil, ledger.Reject(ledger.ReasonNotFound, "no task %s/%d", ref.JobID, ref.Index)
	case task.State != pb.TaskState_TASK_STATE_ASSIGNED:
		return nil, nil, ledger.Reject(ledger.ReasonWrongState, "task %s/%d is %s", ref.JobID, ref.Index, task.State)
	case task.Attempt != attempt:
		return nil, nil, ledger.Reject(ledger.ReasonStaleVersion, "attempt %d of %s/%d, the last is %d", attempt, ref.JobID, ref.Index, task.Attempt)
	}
	return job, task, nil
}

// release ends an attempt without a result; the task waits again, fails for
// good, or is cancelled.
func (s *State) release(rec *pb.Record, r *pb.TaskReleased) *ledger.Rejection {
	ref := TaskRef{r.JobId, r.Index}
	job, task, rej := s.current(ref, r.Attempt)
	if rej != nil {
		return rej
	}
	s.learnReleased(job, task, r.Reason)
	s.freeWorker(ref, task)
	if len(r.Checkpoint) > 0 {
		task.Checkpoint = r.Checkpoint
	}
	if r.Reason == pb.ReleaseReason_RELEASE_REASON_FAILED {
		task.Failures++
	}
	task.Reason = r.Detail
	note(rec, task, eventReleased+reasonName(r.Reason), releaseDetail(r))
	s.settle(ref, job, task)
	if task.State != pb.TaskState_TASK_STATE_PENDING {
		note(rec, task, eventEnded+stateName(task.State), task.Reason)
	}
	return nil
}

// What the history of a task calls its steps.
const (
	eventSubmitted = "submitted"
	eventAssigned  = "assigned"
	eventReleased  = "released: "
	eventFinished  = "finished"
	eventCancel    = "cancel requested"
	eventEnded     = "ended: "
	eventFailed    = eventReleased + "failed"
	eventFault     = eventReleased + "worker fault"
)

func reasonName(r pb.ReleaseReason) string {
	name := strings.TrimPrefix(r.String(), "RELEASE_REASON_")
	return strings.ReplaceAll(strings.ToLower(name), "_", " ")
}

func stateName(s pb.TaskState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "TASK_STATE_"))
}

func releaseDetail(r *pb.TaskReleased) string {
	if len(r.Checkpoint) == 0 {
		return r.Detail
	}
	return strings.TrimPrefix(fmt.Sprintf("%s, checkpoint of %d bytes", r.Detail, len(r.Checkpoint)), ", ")
}

// settle decides what a released task becomes.
func (s *State) settle(ref TaskRef, job *pb.Job, task *pb.Task) {
	switch {
	case job.Cancelled:
		task.State = pb.TaskState_TASK_STATE_CANCELLED
	case job.Rejected != "":
		task.State, task.Reason = pb.TaskState_TASK_STATE_FAILED, job.Rejected
	case failedForGood(job, task):
		task.State = pb.TaskState_TASK_STATE_FAILED
	default:
		task.State = pb.TaskState_TASK_STATE_PENDING
		s.pending[ref] = task
	}
}

// failedForGood reports whether a task is stopped. Failures on several workers
// are the task's own fault; on one and the same worker they may be the worker's,
// so that more of them are allowed.
func failedForGood(job *pb.Job, task *pb.Task) bool {
	if task.Failures >= job.Spec.MaxFailures*sameWorkerFailures {
		return true
	}
	workers := map[string]bool{}
	for _, e := range task.History {
		if e.What == eventFailed {
			workers[e.Worker] = true
		}
	}
	return len(workers) >= int(job.Spec.MaxFailures)
}

// Outcome reports whether a step of a task's history ended an attempt on its
// worker, by success or by a failure of the task or the worker.
func Outcome(e *pb.TaskEvent) (failed, ok bool) {
	switch e.What {
	case eventFinished:
		return false, true
	case eventFailed, eventFault:
		return true, true
	}
	return false, false
}

// finish ends a task with its result, also one whose job was cancelled while
// it ran: work that is done is not thrown away.
func (s *State) finish(rec *pb.Record, f *pb.TaskFinished) *ledger.Rejection {
	ref := TaskRef{f.JobId, f.Index}
	job, task, rej := s.current(ref, f.Attempt)
	if rej != nil {
		return rej
	}
	if len(f.Result) > MaxResultBytes {
		return ledger.Reject(ledger.ReasonInvalid, "result has %d bytes, allowed are %d", len(f.Result), MaxResultBytes)
	}
	s.learnFinished(job, task, f)
	s.freeWorker(ref, task)
	task.State = pb.TaskState_TASK_STATE_FINISHED
	task.Result = f.Result
	task.Reason = ""
	task.Checkpoint = nil
	note(rec, task, eventFinished, fmt.Sprintf("ran %d ms, result of %d bytes", f.RanMs, len(f.Result)))
	return nil
}

func (s *State) freeWorker(ref TaskRef, task *pb.Task) {
	w := s.workers[task.Worker]
	w.Reserved = resources.Sub(w.Reserved, task.Reserved)
	delete(w.Assigned, ref)
	task.Reserved = nil
}

// note adds a step to the task's history; the oldest goes when it is full.
func note(rec *pb.Record, task *pb.Task, what, detail string) {
	task.ChangedMs = rec.TimeMs
	task.History = append(task.History, &pb.TaskEvent{
		TimeMs: rec.TimeMs, What: what, Attempt: task.Attempt,
		Worker: task.Worker, Detail: detail, Epoch: rec.Epoch,
	})
	if len(task.History) > maxHistory {
		task.History = task.History[1:]
	}
}
