package shard

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/scheduler/blame"
	"chervilridge/internal/scheduler/learn/classes"
)

// maxSlowdownMilli bounds what a record may claim to have learned.
const maxSlowdownMilli = 1_000_000

// learned is what the shard's history taught.
type learned struct {
	classes      map[string]*pb.ClassLearned
	interference map[effectKey]*pb.InterferenceLearned
}

type effectKey struct {
	service  string
	jobClass string
	loadBand uint32
}

func newLearned() learned {
	return learned{classes: map[string]*pb.ClassLearned{}, interference: map[effectKey]*pb.InterferenceLearned{}}
}

// Class returns what finished tasks taught of a job class, or nil. The caller
// must not change it.
func (s *State) Class(name string) *pb.ClassLearned { return s.learned.classes[name] }

// Interference returns what is known of classes beside services, in order.
// The caller must not change it.
func (s *State) Interference() []*pb.InterferenceLearned {
	out := slices.Collect(maps.Values(s.learned.interference))
	slices.SortFunc(out, func(a, b *pb.InterferenceLearned) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.JobClass, b.JobClass), cmp.Compare(a.LoadBand, b.LoadBand))
	})
	return out
}

// Probation reports whether the worker came out of quarantine and has not
// finished a task since.
func (w *Worker) Probation() bool { return !w.Quarantined && w.Reason != "" }

func (s *State) learnInterference(i *pb.InterferenceLearned) *ledger.Rejection {
	if i.Service == "" || i.JobClass == "" || i.SlowdownMilli > maxSlowdownMilli {
		return ledger.Reject(ledger.ReasonInvalid, "an effect names a service and a job class and is in range")
	}
	s.learned.interference[effectKey{i.Service, i.JobClass, i.LoadBand}] = proto.CloneOf(i)
	return nil
}

// learnFinished takes the end of an attempt into what is known of its class and
// of its worker. It must run before the task's worker is freed.
func (s *State) learnFinished(job *pb.Job, task *pb.Task, f *pb.TaskFinished) {
	name := job.Spec.JobClass
	if s.learned.classes[name] == nil {
		s.learned.classes[name] = &pb.ClassLearned{JobClass: name}
	}
	classes.Finished(s.learned.classes[name], f.RanMs, measuredUse(f, task))
	w := s.workers[task.Worker]
	w.outcome(job.Id, task.Index, false)
	if !w.Quarantined {
		w.Reason = ""
	}
}

// measuredUse returns what the task used, or nil if the platform only echoes what
// was reserved: learning from that would raise the reservation by its own margin
// again and again.
func measuredUse(f *pb.TaskFinished, task *pb.Task) *pb.Resources {
	if proto.Equal(f.Used, task.Reserved) {
		return nil
	}
	return f.Used
}

// learnReleased takes a failure into the history of its worker.
func (s *State) learnReleased(job *pb.Job, task *pb.Task, reason pb.ReleaseReason) {
	if reason == pb.ReleaseReason_RELEASE_REASON_FAILED || reason == pb.ReleaseReason_RELEASE_REASON_WORKER_FAULT {
		s.workers[task.Worker].outcome(job.Id, task.Index, true)
	}
}

func (w *Worker) outcome(jobID string, index uint32, failed bool) {
	w.Outcomes = append(w.Outcomes, blame.Outcome{JobID: jobID, Index: index, Failed: failed})
	if len(w.Outcomes) > blame.MaxOutcomes {
		w.Outcomes = w.Outcomes[1:]
	}
}

func (s *State) snapshotLearned(out *pb.ShardState) {
	for _, name := range slices.Sorted(maps.Keys(s.learned.classes)) {
		out.Classes = append(out.Classes, s.learned.classes[name])
	}
	out.Interference = s.Interference()
}

func (s *State) restoreLearned(in *pb.ShardState) {
	for _, c := range in.Classes {
		s.learned.classes[c.JobClass] = c
	}
	for _, i := range in.Interference {
		s.learned.interference[effectKey{i.Service, i.JobClass, i.LoadBand}] = i
	}
	s.restoreOutcomes()
}

// restoreOutcomes rebuilds the workers' histories from those of the tasks. They
// only advise the owner, so their bounded length does no harm.
func (s *State) restoreOutcomes() {
	type ended struct {
		timeMs int64
		worker string
		blame.Outcome
	}
	var all []ended
	for _, id := range s.Jobs() {
		for _, task := range s.jobs[id].Tasks {
			for _, e := range task.History {
				if failed, ok := Outcome(e); ok {
					all = append(all, ended{e.TimeMs, e.Worker, blame.Outcome{JobID: id, Index: task.Index, Failed: failed}})
				}
			}
		}
	}
	slices.SortStableFunc(all, func(a, b ended) int { return cmp.Compare(a.timeMs, b.timeMs) })
	for _, e := range all {
		if w := s.workers[e.worker]; w != nil && !w.Quarantined && !w.Probation() {
			w.outcome(e.JobID, e.Index, e.Failed)
		}
	}
}

// Histories returns what judging blame needs: the workers, and the jobs that
// failed on one of them lately.
func (s *State) Histories() ([]blame.Worker, []blame.Job) {
	var workers []blame.Worker
	failedOn := map[string][]string{}
	for _, name := range sortedNames(s.workers) {
		w := s.workers[name]
		if w.Quarantined {
			continue
		}
		workers = append(workers, blame.Worker{Name: name, Outcomes: w.Outcomes, Probation: w.Probation()})
		for _, o := range w.Outcomes {
			if o.Failed && !slices.Contains(failedOn[o.JobID], name) {
				failedOn[o.JobID] = append(failedOn[o.JobID], name)
			}
		}
	}
	var jobs []blame.Job
	for _, id := range slices.Sorted(maps.Keys(failedOn)) {
		if job := s.jobs[id]; job != nil {
			jobs = append(jobs, blame.Job{ID: id, FailedOn: failedOn[id], Finished: finishedTasks(job)})
		}
	}
	return workers, jobs
}

func finishedTasks(job *pb.Job) int {
	n := 0
	for _, task := range job.Tasks {
		if task.State == pb.TaskState_TASK_STATE_FINISHED {
			n++
		}
	}
	return n
}
