// Package shard is the replayed state of one shard: its lease, its workers, and
// its jobs with the life of each task. Every change is a record of the shard's
// stream whose precondition Apply checks.
package shard

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/resources"
	"chervilridge/internal/scheduler/blame"
)

// StreamPrefix begins the name of each shard's log stream.
const StreamPrefix = "shard-"

// Bounds of what a shard keeps and accepts.
const (
	MaxTasksPerJob     = 10_000
	MaxPayloadBytes    = 64 << 10
	MaxResultBytes     = 64 << 10
	DefaultMaxFailures = 3
	maxHistory         = 32 // events kept per task
	// sameWorkerFailures is how many times the allowed failures a task may have
	// while fewer workers than that failed it.
	sameWorkerFailures = 2
)

// Stream returns the name of a shard's log stream.
func Stream(shard uint32) string { return fmt.Sprintf("%s%d", StreamPrefix, shard) }

// TaskRef names a task.
type TaskRef struct {
	JobID string
	Index uint32
}

// Worker is a worker of the shard with what is reserved on it.
type Worker struct {
	Registered  *pb.WorkerRegistered
	Reserved    *pb.Resources
	Assigned    map[TaskRef]*pb.Task
	Quarantined bool
	Reason      string
	// Outcomes are how the last attempts on it ended, oldest first.
	Outcomes []blame.Outcome
}

// Free returns the capacity that is not reserved.
func (w *Worker) Free() *pb.Resources {
	return resources.Sub(w.Registered.Capacity, w.Reserved)
}

// State is the replayed state. It is not safe for concurrent use; its follower
// guards it.
type State struct {
	epoch    uint64
	owner    string
	address  string
	renewals uint64
	jobs     map[string]*pb.Job
	workers  map[string]*Worker
	pending  map[TaskRef]*pb.Task
	learned  learned
}

// New returns an empty state.
func New() *State {
	return &State{jobs: map[string]*pb.Job{}, workers: map[string]*Worker{}, pending: map[TaskRef]*pb.Task{}, learned: newLearned()}
}

// Epoch returns the epoch of the newest claim; 0 before the first.
func (s *State) Epoch() uint64 { return s.epoch }

// Owner returns the name and the gRPC address of the newest claim's author.
func (s *State) Owner() (name, address string) { return s.owner, s.address }

// Renewals returns how often the lease was renewed in this epoch.
func (s *State) Renewals() uint64 { return s.renewals }

// Job returns a job, or nil. The caller must not change it.
func (s *State) Job(id string) *pb.Job { return s.jobs[id] }

// JobCount returns the number of jobs kept.
func (s *State) JobCount() int { return len(s.jobs) }

// Jobs returns the ids of all jobs in order of their ids.
func (s *State) Jobs() []string { return slices.Sorted(maps.Keys(s.jobs)) }

// Workers returns the workers by name. The caller must not change them.
func (s *State) Workers() map[string]*Worker { return s.workers }

// Pending returns the tasks that wait for a worker. The caller must not change them.
func (s *State) Pending() map[TaskRef]*pb.Task { return s.pending }

// Task returns a task with its job, or nils.
func (s *State) Task(ref TaskRef) (*pb.Job, *pb.Task) {
	job := s.jobs[ref.JobID]
	if job == nil || int(ref.Index) >= len(job.Tasks) {
		return job, nil
	}
	return job, job.Tasks[ref.Index]
}

// Apply implements ledger.Machine.
func (s *State) Apply(rec *pb.Record) *ledger.Rejection {
	switch body := rec.Body.(type) {
	case *pb.Record_ShardClaim:
		return s.claim(body.ShardClaim)
	case *pb.Record_JobSubmitted:
		return s.submit(rec, body.JobSubmitted)
	case *pb.Record_JobsCancelled:
		return s.cancel(rec, body.JobsCancelled)
	}
	if rec.Epoch != s.epoch {
		return ledger.Reject(ledger.ReasonStaleEpoch, "record of epoch %d, the shard is at %d", rec.Epoch, s.epoch)
	}
	return s.applyOwned(rec)
}

// applyOwned takes a record that only the shard's owner may write.
func (s *State) applyOwned(rec *pb.Record) *ledger.Rejection {
	switch body := rec.Body.(type) {
	case *pb.Record_ShardRenew:
		s.renewals++
		return nil
	case *pb.Record_WorkerRegistered:
		return s.register(body.WorkerRegistered)
	case *pb.Record_WorkerQuarantined:
		return s.quarantine(body.WorkerQuarantined)
	case *pb.Record_JobsForgotten:
		return s.forget(body.JobsForgotten)
	case *pb.Record_JobRejected:
		return s.rejectJob(rec, body.JobRejected)
	case *pb.Record_TaskAssigned:
		return s.assign(rec, body.TaskAssigned)
	case *pb.Record_TaskReleased:
		return s.release(rec, body.TaskReleased)
	case *pb.Record_TaskFinished:
		return s.finish(rec, body.TaskFinished)
	case *pb.Record_InterferenceLearned:
		return s.learnInterference(body.InterferenceLearned)
	}
	return ledger.Reject(ledger.ReasonForeign, "not a record of a shard")
}

func (s *State) claim(c *pb.ShardClaim) *ledger.Rejection {
	if c.Epoch != s.epoch+1 {
		rej := ledger.Reject(ledger.ReasonStaleEpoch, "claim of epoch %d, the shard is at %d", c.Epoch, s.epoch)
		rej.Winner = s.owner
		return rej
	}
	s.epoch, s.owner, s.address, s.renewals = c.Epoch, c.Owner, c.Address, 0
	return nil
}

// register takes a worker as it is now. One that came back smaller than what is
// reserved on it gets nothing new until its owner has stopped the excess.
func (s *State) register(r *pb.WorkerRegistered) *ledger.Rejection {
	if r.Worker == "" || !resources.Valid(r.Capacity) {
		return ledger.Reject(ledger.ReasonInvalid, "a worker has a name and a capacity")
	}
	known := s.workers[r.Worker]
	if known == nil {
		s.workers[r.Worker] = &Worker{Registered: proto.CloneOf(r), Reserved: &pb.Resources{}, Assigned: map[TaskRef]*pb.Task{}}
		return nil
	}
	known.Registered = proto.CloneOf(r)
	return nil
}

func (s *State) quarantine(q *pb.WorkerQuarantined) *ledger.Rejection {
	w := s.workers[q.Worker]
	if w == nil {
		return ledger.Reject(ledger.ReasonNotFound, "no worker %s", q.Worker)
	}
	w.Quarantined, w.Reason = q.Quarantined, q.Reason
	w.Outcomes = nil
	return nil
}

func sortedNames(workers map[string]*Worker) []string { return slices.Sorted(maps.Keys(workers)) }
