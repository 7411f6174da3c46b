package shard

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/resources"
)

// CheckSpec returns the first mistake in a job's specification, or nil.
func CheckSpec(spec *pb.JobSpec) error {
	switch {
	case spec == nil:
		return fmt.Errorf("job has no specification")
	case spec.Team == "":
		return fmt.Errorf("job names no team")
	case spec.JobClass == "":
		return fmt.Errorf("job names no job class")
	case spec.Tasks < 1 || spec.Tasks > MaxTasksPerJob:
		return fmt.Errorf("job has %d tasks, allowed are 1 to %d", spec.Tasks, MaxTasksPerJob)
	case !resources.Valid(spec.Resources):
		return fmt.Errorf("resources of a task must be positive")
	case spec.DurationMs < 0:
		return fmt.Errorf("declared run time is negative")
	case len(spec.Payload) > MaxPayloadBytes:
		return fmt.Errorf("payload has %d bytes, allowed are %d", len(spec.Payload), MaxPayloadBytes)
	}
	return nil
}

func (s *State) submit(rec *pb.Record, j *pb.JobSubmitted) *ledger.Rejection {
	if err := CheckSpec(j.Spec); err != nil {
		return ledger.Reject(ledger.ReasonInvalid, "%v", err)
	}
	if s.jobs[j.JobId] != nil {
		return ledger.Reject(ledger.ReasonDuplicate, "job %s is known", j.JobId)
	}
	job := &pb.Job{Id: j.JobId, Spec: proto.CloneOf(j.Spec), SubmittedMs: rec.TimeMs}
	if job.Spec.MaxFailures == 0 {
		job.Spec.MaxFailures = DefaultMaxFailures
	}
	for i := range j.Spec.Tasks {
		task := &pb.Task{Index: i, State: pb.TaskState_TASK_STATE_PENDING}
		note(rec, task, eventSubmitted, "by team "+j.Spec.Team+" as job class "+j.Spec.JobClass)
		job.Tasks = append(job.Tasks, task)
		s.pending[TaskRef{j.JobId, i}] = task
	}
	s.jobs[j.JobId] = job
	return nil
}

// cancel marks jobs; waiting tasks end at once, granted ones when the owner has
// stopped them.
func (s *State) cancel(rec *pb.Record, c *pb.JobsCancelled) *ledger.Rejection {
	known := 0
	for _, id := range c.JobIds {
		if job := s.jobs[id]; job != nil {
			known++
			noteCancel(rec, job)
			job.Cancelled = true
			s.endWaiting(rec, job, pb.TaskState_TASK_STATE_CANCELLED, "job cancelled")
		}
	}
	if known == 0 {
		return ledger.Reject(ledger.ReasonNotFound, "none of %d jobs is known", len(c.JobIds))
	}
	return nil
}

func (s *State) rejectJob(rec *pb.Record, r *pb.JobRejected) *ledger.Rejection {
	job := s.jobs[r.JobId]
	if job == nil {
		return ledger.Reject(ledger.ReasonNotFound, "no job %s", r.JobId)
	}
	job.Rejected = r.Reason
	s.endWaiting(rec, job, pb.TaskState_TASK_STATE_FAILED, r.Reason)
	return nil
}

func (s *State) endWaiting(rec *pb.Record, job *pb.Job, state pb.TaskState, reason string) {
	for _, task := range job.Tasks {
		if task.State != pb.TaskState_TASK_STATE_PENDING {
			continue
		}
		task.State = state
		task.Reason = reason
		delete(s.pending, TaskRef{job.Id, task.Index})
		note(rec, task, eventEnded+stateName(state), reason)
	}
}

// noteCancel tells the granted tasks' history of the first cancellation.
func noteCancel(rec *pb.Record, job *pb.Job) {
	for _, task := range job.Tasks {
		if !job.Cancelled && task.State == pb.TaskState_TASK_STATE_ASSIGNED {
			note(rec, task, eventCancel, "")
		}
	}
}

// Snapshot implements ledger.Machine.
func (s *State) Snapshot() ([]byte, error) {
	out := &pb.ShardState{Epoch: s.epoch, Owner: s.owner, Address: s.address, Renewals: s.renewals}
	for _, id := range s.Jobs() {
		out.Jobs = append(out.Jobs, s.jobs[id])
	}
	for _, name := range sortedNames(s.workers) {
		w := s.workers[name]
		out.Workers = append(out.Workers, &pb.WorkerEntry{Registered: w.Registered, Quarantined: w.Quarantined, QuarantineReason: w.Reason})
	}
	s.snapshotLearned(out)
	return proto.MarshalOptions{Deterministic: true}.Marshal(out)
}

// Restore implements ledger.Machine. What is reserved and what waits is derived
// from the tasks.
func (s *State) Restore(data []byte) error {
	in := &pb.ShardState{}
	if err := proto.Unmarshal(data, in); err != nil {
		return err
	}
	*s = *New()
	s.epoch, s.owner, s.address, s.renewals = in.Epoch, in.Owner, in.Address, in.Renewals
	for _, w := range in.Workers {
		s.workers[w.Registered.Worker] = &Worker{
			Registered: w.Registered, Reserved: &pb.Resources{}, Assigned: map[TaskRef]*pb.Task{},
			Quarantined: w.Quarantined, Reason: w.QuarantineReason,
		}
	}
	for _, job := range in.Jobs {
		if err := s.restoreJob(job); err != nil {
			return err
		}
	}
	s.restoreLearned(in)
	return nil
}

func (s *State) restoreJob(job *pb.Job) error {
	s.jobs[job.Id] = job
	for _, task := range job.Tasks {
		ref := TaskRef{job.Id, task.Index}
		switch task.State {
		case pb.TaskState_TASK_STATE_PENDING:
			s.pending[ref] = task
		case pb.TaskState_TASK_STATE_ASSIGNED:
			w := s.workers[task.Worker]
			if w == nil {
				return fmt.Errorf("task %s/%d is assigned to unknown worker %s", job.Id, task.Index, task.Worker)
			}
			w.Reserved = resources.Add(w.Reserved, task.Reserved)
			w.Assigned[ref] = task
		}
	}
	return nil
}
