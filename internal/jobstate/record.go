package jobstate

import (
	"fmt"
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
)

// maxStoredUnconfirmed is the most unconfirmed crashes in the field that earlier versions read too; one more
// would make them fail the job.
const maxStoredUnconfirmed = 3

// Record returns the job's progress in its stored form, without steps that have no progress.
func (j *Job) Record() *chervilv2.JobProgress {
	out := &chervilv2.JobProgress{Phase: j.Phase, Started: j.Started, EndedUnixMs: j.EndedUnixMs}
	workers := map[WorkerKey]uint32{}
	numbers := make([]uint32, 0, len(j.Occurrences))
	for k := range j.Occurrences {
		numbers = append(numbers, k)
	}
	slices.Sort(numbers)
	for _, k := range numbers {
		for s := range j.Occurrences[k].Steps {
			if r := j.stepRecord(k, uint32(s), out, workers); r != nil {
				out.Steps = append(out.Steps, r)
			}
		}
	}
	return out
}

// stepRecord returns the stored form of a step, or nil if the step has no progress. It adds
// the workers of the step's runs to out.Workers; workers holds their indexes there.
func (j *Job) stepRecord(k, s uint32, out *chervilv2.JobProgress, workers map[WorkerKey]uint32) *chervilv2.StepRecord {
	step := &j.Occurrences[k].Steps[s]
	record := &chervilv2.StepRecord{Occurrence: k, Step: s, Done: step.Done}
	for i := range step.Tasks {
		t := &step.Tasks[i]
		for _, r := range t.Runs {
			n, ok := workers[r.Worker]
			if !ok {
				n = uint32(len(out.Workers))
				workers[r.Worker] = n
				out.Workers = append(out.Workers, &chervilv2.WorkerRef{Node: r.Worker.Node, WorkerId: r.Worker.ID, BornUnixMs: r.Worker.BornUnixMs})
			}
			record.Placements = append(record.Placements, &chervilv2.Placement{Task: uint32(i), Attempt: r.Attempt, Worker: n, Started: r.Started, Isolated: r.Isolated})
		}
		if j.Ended() {
			continue // only runs to be stopped matter
		}
		if (t.Done && !step.Done) || t.Failures > 0 || t.Crashes > 0 || t.Suspect || t.Checkpoint != "" || (t.Attempt > 0 && !t.Done) {
			checkpoint := t.Checkpoint
			if t.Done {
				checkpoint = ""
			}
			record.Tasks = append(record.Tasks, &chervilv2.TaskRecord{
				Task: uint32(i), Done: t.Done, Attempt: t.Attempt, Failures: t.Failures, Checkpoint: checkpoint,
				Crashes: t.Crashes, Exposures: t.Exposures, Suspect: t.Suspect,
				UnconfirmedCrashes: min(t.UnconfirmedCrashes, maxStoredUnconfirmed), MoreUnconfirmedCrashes: t.UnconfirmedCrashes - min(t.UnconfirmedCrashes, maxStoredUnconfirmed),
				CrashAgesMs: milliseconds(t.CrashAges),
			})
		}
	}
	if !record.Done && len(record.Tasks) == 0 && len(record.Placements) == 0 {
		return nil
	}
	return record
}

// milliseconds returns durations in milliseconds.
func milliseconds(durations []time.Duration) []uint32 {
	var out []uint32
	for _, d := range durations {
		out = append(out, uint32(d.Milliseconds()))
	}
	return out
}

// durations is the inverse of milliseconds.
func durations(milliseconds []uint32) []time.Duration {
	var out []time.Duration
	for _, ms := range milliseconds {
		out = append(out, time.Duration(ms)*time.Millisecond)
	}
	return out
}

// RecordWithoutCheckpoints returns the stored form of the job's progress, from which its tasks
// begin again instead of resuming.
func (j *Job) RecordWithoutCheckpoints() *chervilv2.JobProgress {
	progress := j.Record()
	for _, s := range progress.Steps {
		for _, t := range s.Tasks {
			t.Checkpoint = ""
		}
	}
	return progress
}

// Restore returns a job from its stored specification and progress; progress may be nil. It
// fails if the specification cannot be executed, or if the progress refers to a step, task or
// worker that does not exist.
func Restore(spec *chervilv2.JobSpec, progress *chervilv2.JobProgress) (*Job, error) {
	if err := CheckSpec(spec); err != nil {
		return nil, err
	}
	j := NewJob(spec)
	if progress == nil {
		return j, nil
	}
	j.Phase, j.Started, j.EndedUnixMs = progress.Phase, progress.Started, progress.EndedUnixMs
	for _, r := range progress.Steps {
		if int(r.Step) >= len(spec.Steps) || r.Occurrence >= j.OccurrenceCount() {
			return nil, fmt.Errorf("job %s has no step %d of occurrence %d", spec.Id, r.Step, r.Occurrence)
		}
		if err := j.restoreStep(r, progress.Workers); err != nil {
			return nil, err
		}
	}
	for _, o := range j.Occurrences {
		o.Done = !slices.ContainsFunc(o.Steps, func(s Step) bool { return !s.Done })
	}
	j.startConfirmed = j.Started && j.showsStart()
	return j, nil
}

// showsStart reports whether the restored runs show that the job has started: one is confirmed, a task
// has ended, or there are none, since Started would have been cleared with the last one otherwise.
func (j *Job) showsStart() bool {
	runs, shown := false, false
	for _, o := range j.Occurrences {
		for i := range o.Steps {
			for k := range o.Steps[i].Tasks {
				t := &o.Steps[i].Tasks[k]
				runs = runs || len(t.Runs) > 0
				shown = shown || t.Done || t.Failures > 0 || slices.ContainsFunc(t.Runs, func(r *Run) bool { return r.Started })
			}
		}
	}
	return shown || !runs
}

func (j *Job) restoreStep(r *chervilv2.StepRecord, workers []*chervilv2.WorkerRef) error {
	step := &j.ensureOccurrence(r.Occurrence).Steps[r.Step]
	step.Done = r.Done
	if r.Done {
		for i := range step.Tasks {
			step.markDone(&step.Tasks[i])
		}
	}
	for _, t := range r.Tasks {
		if int(t.Task) >= len(step.Tasks) {
			return fmt.Errorf("job %s has no task %d in step %d", j.Spec.Id, t.Task, r.Step)
		}
		task := &step.Tasks[t.Task]
		if t.Done {
			step.markDone(task)
		}
		task.Attempt, task.Failures, task.Checkpoint = t.Attempt, t.Failures, t.Checkpoint
		task.Crashes, task.UnconfirmedCrashes, task.Exposures, task.Suspect = t.Crashes, t.UnconfirmedCrashes+t.MoreUnconfirmedCrashes, t.Exposures, t.Suspect
		task.CrashAges = durations(t.CrashAgesMs)
	}
	for _, p := range r.Placements {
		if int(p.Task) >= len(step.Tasks) || int(p.Worker) >= len(workers) {
			return fmt.Errorf("job %s has a run of an unknown task or worker in step %d", j.Spec.Id, r.Step)
		}
		task, w := &step.Tasks[p.Task], workers[p.Worker]
		task.Attempt = max(task.Attempt, p.Attempt)
		task.Runs = append(task.Runs, &Run{
			Ref:     TaskRef{Job: j.Spec.Id, Occurrence: r.Occurrence, Step: r.Step, Index: p.Task},
			Attempt: p.Attempt, Started: p.Started, Isolated: p.Isolated,
			Worker: WorkerKey{Node: w.Node, ID: w.WorkerId, BornUnixMs: w.BornUnixMs},
		})
	}
	return nil
}
