package shard

import (
	"slices"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
)

// forget drops those of the jobs that have ended; the others stay.
func (s *State) forget(f *pb.JobsForgotten) *ledger.Rejection {
	dropped := 0
	for _, id := range f.JobIds {
		if job := s.jobs[id]; job != nil && ended(job) {
			delete(s.jobs, id)
			dropped++
		}
	}
	if dropped == 0 {
		return ledger.Reject(ledger.ReasonWrongState, "none of %d jobs is known and has ended", len(f.JobIds))
	}
	return nil
}

// EndedBefore returns up to limit ids of jobs that ended before a time in
// milliseconds since 1970, the oldest first.
func (s *State) EndedBefore(beforeMs int64, limit int) []string {
	type endedJob struct {
		id string
		at int64
	}
	var found []endedJob
	for id, job := range s.jobs {
		if at := lastChange(job); at < beforeMs && ended(job) {
			found = append(found, endedJob{id, at})
		}
	}
	slices.SortFunc(found, func(a, b endedJob) int { return int(a.at - b.at) })
	var ids []string
	for _, j := range found[:min(limit, len(found))] {
		ids = append(ids, j.id)
	}
	return ids
}

func ended(job *pb.Job) bool {
	for _, task := range job.Tasks {
		if task.State == pb.TaskState_TASK_STATE_PENDING || task.State == pb.TaskState_TASK_STATE_ASSIGNED {
			return false
		}
	}
	return true
}

func lastChange(job *pb.Job) int64 {
	last := job.SubmittedMs
	for _, task := range job.Tasks {
		last = max(last, task.ChangedMs)
	}
	return last
}
