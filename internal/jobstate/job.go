// Package jobstate is the state machine of jobs: which tasks may run, how the end of a run
// changes a job, and when a job is complete. It neither chooses workers nor reads a clock.
package jobstate

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
)

// TaskRef identifies a task.
type TaskRef struct {
	Job        string
	Occurrence uint32
	Step       uint32
	Index      uint32
}

const taskNameParts = 4

// String returns the task name used on the wire: job.occurrence.step.index.
func (r TaskRef) String() string {
	b := make([]byte, 0, len(r.Job)+12)
	b = append(b, r.Job...)
	for _, n := range [...]uint32{r.Occurrence, r.Step, r.Index} {
		b = append(b, '.')
		b = strconv.AppendUint(b, uint64(n), 10)
	}
	return string(b)
}

// ParseTaskRef parses a task name as returned by TaskRef.String.
func ParseTaskRef(name string) (TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != taskNameParts || parts[0] == "" {
		return TaskRef{}, fmt.Errorf("%q is not a task name", name)
	}
	ref := TaskRef{Job: parts[0]}
	for i, target := range []*uint32{&ref.Occurrence, &ref.Step, &ref.Index} {
		n, err := strconv.ParseUint(parts[i+1], 10, 32)
		if err != nil {
			return TaskRef{}, fmt.Errorf("%q is not a task name: %w", name, err)
		}
		*target = uint32(n)
	}
	return ref, nil
}

// WorkerKey identifies one incarnation of a worker. BornUnixMs is when that began.
type WorkerKey struct {
	Node       string
	ID         string
	BornUnixMs int64
}

// Run is a run of a task. It exists from its grant until its end is known.
type Run struct {
	Ref     TaskRef
	Attempt uint32
	Worker  WorkerKey
	Started bool
	// Stopping is set once a stop is ordered. It is not stored, so a new owner orders the
	// stop again.
	Stopping bool
	// Isolated is set while no other task may be started on the worker beside this one.
	Isolated bool
}

// Task is the progress of one task of a step.
type Task struct {
	Done     bool
	Attempt  uint32 // highest attempt granted
	Failures uint32 // number of runs that failed
	// Crashes is the number of worker crashes that the task may have caused,
	// UnconfirmedCrashes that of further ones before its start was confirmed, and Exposures that
	// of those of which other tasks are suspected more. Suspect is set if the last crash came just after
	// the task had started.
	Crashes, UnconfirmedCrashes, Exposures uint32
	Suspect                                bool
	// CrashAges are the ages at which runs of a long-running task ended in further crashes that it
	// may have caused, oldest crash first; see Job.AddCrashAge.
	CrashAges  []time.Duration
	Checkpoint string
	Runs       []*Run
}

// Waiting reports whether the task is neither done nor has a run.
func (t *Task) Waiting() bool { return !t.Done && len(t.Runs) == 0 }

// Step is the progress of a step.
type Step struct {
	Spec       *chervilv2.Step
	Tasks      []Task
	Done       bool
	unfinished int // number of tasks that are not done
}

// Unfinished returns the number of tasks that are not done.
func (s *Step) Unfinished() int { return s.unfinished }

// Occurrence is one pass through all steps of a job. A job without a schedule has one.
type Occurrence struct {
	Number uint32
	Steps  []Step
	Done   bool
}

// Job is a job and its progress. It is not safe for concurrent use.
type Job struct {
	Spec  *chervilv2.JobSpec
	Phase chervilv2.JobPhase
	// Started is set while the job has a run, and stays set once a run has certainly started.
	Started     bool
	EndedUnixMs int64
	// Occurrences holds the occurrences that have begun, by number; done ones stay in it.
	Occurrences map[uint32]*Occurrence
	// startConfirmed is set once a run has certainly started.
	startConfirmed bool
}

// NewJob returns a queued job without progress.
func NewJob(spec *chervilv2.JobSpec) *Job {
	return &Job{Spec: spec, Occurrences: map[uint32]*Occurrence{}}
}

// Ended reports whether the job is completed, failed or cancelled.
func (j *Job) Ended() bool { return j.Phase > chervilv2.JobPhase_JOB_PHASE_RUNNING }

// OccurrenceCount returns the number of occurrences; 1 for a job without a schedule.
func (j *Job) OccurrenceCount() uint32 { return max(j.Spec.Occurrences, 1) }

// Scheduled reports whether the job's occurrences have start times.
func (j *Job) Scheduled() bool { return j.Spec.Occurrences > 0 }

// DueUnixMs returns the time from which on an occurrence may start, in Unix milliseconds;
// 0 for a job without a schedule.
func (j *Job) DueUnixMs(occurrence uint32) int64 {
	if !j.Scheduled() {
		return 0
	}
	return j.Spec.FirstStartUnixMs + int64(occurrence)*j.Spec.IntervalMs
}

// OpenDueOccurrences begins each occurrence that is due and returns when the next one is due,
// or 0 if there is none.
func (j *Job) OpenDueOccurrences(nowUnixMs int64) (nextUnixMs int64) {
	for k := uint32(0); k < j.OccurrenceCount(); k++ {
		if _, ok := j.Occurrences[k]; ok {
			continue
		}
		if due := j.DueUnixMs(k); due > nowUnixMs {
			return due
		}
		j.ensureOccurrence(k)
	}
	return 0
}

// ensureOccurrence returns occurrence k and adds it if it has not begun.
func (j *Job) ensureOccurrence(k uint32) *Occurrence {
	o, ok := j.Occurrences[k]
	if !ok {
		o = &Occurrence{Number: k, Steps: make([]Step, len(j.Spec.Steps))}
		for i, s := range j.Spec.Steps {
			o.Steps[i] = Step{Spec: s, Tasks: make([]Task, s.Tasks), unfinished: int(s.Tasks)}
		}
		j.Occurrences[k] = o
	}
	return o
}

// StepReady reports whether the predecessors of a step are done.
func (o *Occurrence) StepReady(step int) bool {
	for _, a := range o.Steps[step].Spec.After {
		if !o.Steps[a].Done {
			return false
		}
	}
	return true
}

// ForEachWaitingTask calls visit for each waiting task whose step is ready, in the order of
// occurrences, steps and tasks.
func (j *Job) ForEachWaitingTask(visit func(ref TaskRef, step *Step, task *Task)) {
	if j.Ended() {
		return
	}
	for k := range j.OccurrenceCount() {
		o := j.Occurrences[k]
		if o == nil || o.Done {
			continue
		}
		for s := range o.Steps {
			step := &o.Steps[s]
			if step.Done || !o.StepReady(s) {
				continue
			}
			for i := range step.Tasks {
				if step.Tasks[i].Waiting() {
					visit(TaskRef{Job: j.Spec.Id, Occurrence: o.Number, Step: uint32(s), Index: uint32(i)}, step, &step.Tasks[i])
				}
			}
		}
	}
}

// ForEachRun calls visit for each run that has not ended.
func (j *Job) ForEachRun(visit func(*Run)) {
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s].Tasks {
				for _, r := range o.Steps[s].Tasks[i].Runs {
					visit(r)
				}
			}
		}
	}
}

// Task returns a task and its step, or nil if the occurrence has not begun or has no such
// task.
func (j *Job) Task(ref TaskRef) (*Step, *Task) {
	o, ok := j.Occurrences[ref.Occurrence]
	if !ok || int(ref.Step) >= len(o.Steps) || int(ref.Index) >= len(o.Steps[ref.Step].Tasks) {
		return nil, nil
	}
	step := &o.Steps[ref.Step]
	return step, &step.Tasks[ref.Index]
}

// FindRun returns the run of a task with the attempt number, or nil.
func (j *Job) FindRun(ref TaskRef, attempt uint32) *Run {
	_, task := j.Task(ref)
	if task == nil {
		return nil
	}
	for _, r := range task.Runs {
		if r.Attempt == attempt {
			return r
		}
	}
	return nil
}

// Grant adds a run of a waiting task on a worker with a new attempt number.
func (j *Job) Grant(ref TaskRef, worker WorkerKey) *Run {
	_, task := j.Task(ref)
	task.Attempt++
	return j.addRun(task, ref, worker)
}

// GrantGang adds a run for each task of a step, on the worker of the same index, all with
// one new attempt number.
func (j *Job) GrantGang(occurrence, step uint32, workers []WorkerKey) []*Run {
	s := &j.Occurrences[occurrence].Steps[step]
	attempt := uint32(0)
	for i := range s.Tasks {
		attempt = max(attempt, s.Tasks[i].Attempt)
	}
	runs := make([]*Run, len(workers))
	for i := range s.Tasks {
		s.Tasks[i].Attempt = attempt + 1
		runs[i] = j.addRun(&s.Tasks[i], TaskRef{Job: j.Spec.Id, Occurrence: occurrence, Step: step, Index: uint32(i)}, workers[i])
	}
	return runs
}

// addRun adds a run of the task's current attempt and marks the job as running.
func (j *Job) addRun(task *Task, ref TaskRef, worker WorkerKey) *Run {
	r := &Run{Ref: ref, Attempt: task.Attempt, Worker: worker}
	task.Runs = append(task.Runs, r)
	if j.Phase == chervilv2.JobPhase_JOB_PHASE_QUEUED {
		j.Phase = chervilv2.JobPhase_JOB_PHASE_RUNNING
	}
	j.Started = true
	return r
}

// RunEnd is how a run ended.
type RunEnd struct {
	Ref        TaskRef
	Attempt    uint32
	Kind       chervilv2.EndKind
	Checkpoint string
}

// EndEffect is what the end of a run, or of the job, changed.
type EndEffect struct {
	// Changed is false if the end had no effect, such as one that was known already.
	Changed bool
	// JobEnded is set if the job ended by this.
	JobEnded bool
	// RunsToStop are the other runs that are no longer needed.
	RunsToStop []*Run
}

// FinishRun applies the end of a run. The job fails once a task, or all members of a gang
// together, failed maxAttempts times; 0 means no limit. Long-running tasks run again instead.
func (j *Job) FinishRun(e RunEnd, maxAttempts int, nowUnixMs int64) EndEffect {
	step, task := j.Task(e.Ref)
	if task == nil {
		return EndEffect{}
	}
	// A run that was dropped counts only if it completed the task and the task needs that.
	needed := !task.Done && !j.Ended() && !step.Spec.LongRunning
	if j.FindRun(e.Ref, e.Attempt) == nil && (!needed || e.Kind != chervilv2.EndKind_END_KIND_DONE) {
		return EndEffect{}
	}
	task.Runs = removeRun(task.Runs, e.Attempt)
	j.startConfirmed = true
	out := EndEffect{Changed: true}
	if e.Checkpoint != "" {
		task.Checkpoint = e.Checkpoint
	}
	if e.Kind == chervilv2.EndKind_END_KIND_DONE || e.Kind == chervilv2.EndKind_END_KIND_FAILED {
		j.ClearSuspect(e.Ref)
	}
	switch {
	case j.Ended():
	case step.Spec.LongRunning:
		task.Checkpoint = e.Checkpoint
	case e.Kind == chervilv2.EndKind_END_KIND_DONE:
		j.completeTask(e.Ref, step, task, &out, nowUnixMs)
	case e.Kind == chervilv2.EndKind_END_KIND_FAILED:
		task.Failures++
		if maxAttempts > 0 && failureCount(step, task) >= maxAttempts {
			j.endEarly(chervilv2.JobPhase_JOB_PHASE_FAILED, &out, nowUnixMs)
		}
	}
	return out
}

// completeTask marks a task as done, or all tasks of a gang, and then the step, the
// occurrence and the job if nothing is left of them.
func (j *Job) completeTask(ref TaskRef, step *Step, task *Task, out *EndEffect, nowUnixMs int64) {
	if step.Spec.Gang {
		for i := range step.Tasks {
			step.markDone(&step.Tasks[i])
		}
	} else {
		step.markDone(task)
		out.RunsToStop = append(out.RunsToStop, task.Runs...)
	}
	if step.unfinished > 0 {
		return
	}
	step.Done = true
	o := j.Occurrences[ref.Occurrence]
	for i := range o.Steps {
		if !o.Steps[i].Done {
			return
		}
	}
	o.Done = true
	for k := uint32(0); k < j.OccurrenceCount(); k++ {
		if other, ok := j.Occurrences[k]; !ok || !other.Done {
			return
		}
	}
	j.Phase, j.EndedUnixMs = chervilv2.JobPhase_JOB_PHASE_COMPLETED, nowUnixMs
	out.JobEnded = true
}

func (s *Step) markDone(t *Task) {
	if !t.Done {
		t.Done = true
		s.unfinished--
	}
}

// endEarly ends the job before it is complete; all its runs are to be stopped.
func (j *Job) endEarly(phase chervilv2.JobPhase, out *EndEffect, nowUnixMs int64) {
	j.Phase, j.EndedUnixMs = phase, nowUnixMs
	out.JobEnded = true
	j.ForEachRun(func(r *Run) { out.RunsToStop = append(out.RunsToStop, r) })
}

// Cancel ends the job as cancelled unless it has ended.
func (j *Job) Cancel(nowUnixMs int64) EndEffect {
	return j.endUnlessEnded(chervilv2.JobPhase_JOB_PHASE_CANCELLED, nowUnixMs)
}

// Fail ends the job as failed unless it has ended.
func (j *Job) Fail(nowUnixMs int64) EndEffect {
	return j.endUnlessEnded(chervilv2.JobPhase_JOB_PHASE_FAILED, nowUnixMs)
}

func (j *Job) endUnlessEnded(phase chervilv2.JobPhase, nowUnixMs int64) EndEffect {
	if j.Ended() {
		return EndEffect{}
	}
	out := EndEffect{Changed: true}
	j.endEarly(phase, &out, nowUnixMs)
	return out
}

// DropRun removes a run that certainly does not run any more and reports whether it was
// known.
func (j *Job) DropRun(ref TaskRef, attempt uint32) bool {
	_, task := j.Task(ref)
	if task == nil {
		return false
	}
	before := len(task.Runs)
	task.Runs = removeRun(task.Runs, attempt)
	j.updateStarted()
	return len(task.Runs) < before
}

// ConfirmStart records that a run has started.
func (j *Job) ConfirmStart(run *Run) {
	run.Started, j.startConfirmed = true, true
}

// HasStarted reports whether a run of the job has certainly started.
func (j *Job) HasStarted() bool { return j.startConfirmed }

// updateStarted clears Started if all runs of the job have ended without having started.
func (j *Job) updateStarted() {
	if j.startConfirmed {
		return
	}
	j.Started = false
	j.ForEachRun(func(*Run) { j.Started = true })
}

func removeRun(runs []*Run, attempt uint32) []*Run {
	for i, r := range runs {
		if r.Attempt == attempt {
			return append(runs[:i:i], runs[i+1:]...)
		}
	}
	return runs
}
