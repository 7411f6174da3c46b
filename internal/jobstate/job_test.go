package jobstate

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chervilv2 "chervilridge/api/chervil/v2"
)

const (
	done    = chervilv2.EndKind_END_KIND_DONE
	failed  = chervilv2.EndKind_END_KIND_FAILED
	stopped = chervilv2.EndKind_END_KIND_STOPPED
	lapsed  = chervilv2.EndKind_END_KIND_LAPSED
)

func waiting(j *Job) []TaskRef {
	var out []TaskRef
	j.ForEachWaitingTask(func(ref TaskRef, _ *Step, _ *Task) { out = append(out, ref) })
	return out
}

func twoSteps() *Job {
	j := NewJob(&chervilv2.JobSpec{Id: "j", Steps: []*chervilv2.Step{{Tasks: 2}, {Tasks: 1, After: []uint32{0}}}})
	j.OpenDueOccurrences(0)
	return j
}

func TestTaskNames(t *testing.T) {
	ref := TaskRef{Job: "5c0e7a21d94b36f8", Occurrence: 3, Step: 1, Index: 17}
	assert.Equal(t, ref.String(), "5c0e7a21d94b36f8.3.1.17")
	back, err := ParseTaskRef(ref.String())
	assert.NilError(t, err)
	assert.Equal(t, back, ref)
	for _, bad := range []string{"", "a.b", "a.1.2.x", ".1.2.3", "a.1.2.3.4", "a.-1.2.3"} {
		_, err := ParseTaskRef(bad)
		assert.Assert(t, err != nil, bad)
	}
}

func TestStepWaitsForTheOneBefore(t *testing.T) {
	j := twoSteps()
	assert.Equal(t, len(waiting(j)), 2)
	for _, ref := range waiting(j) {
		r := j.Grant(ref, WorkerKey{Node: "n"})
		assert.Equal(t, len(waiting(j)) < 2, true)
		j.FinishRun(RunEnd{Ref: ref, Attempt: r.Attempt, Kind: done}, 3, 0)
	}
	assert.Equal(t, len(waiting(j)), 1)
	assert.Equal(t, waiting(j)[0].Step, uint32(1))
}

func TestOnlyFailuresCountAgainstMaxAttempts(t *testing.T) {
	j := twoSteps()
	ref := waiting(j)[0]
	for i, kind := range []chervilv2.EndKind{stopped, lapsed, failed, stopped, failed} {
		assert.Assert(t, !j.Ended(), "after %d ends", i)
		r := j.Grant(ref, WorkerKey{})
		j.FinishRun(RunEnd{Ref: ref, Attempt: r.Attempt, Kind: kind, Checkpoint: fmt.Sprint(i)}, 2, 0)
	}
	assert.Equal(t, j.Phase, chervilv2.JobPhase_JOB_PHASE_FAILED)
	assert.Equal(t, len(waiting(j)), 0)
}

func TestLongRunningTasksRestartHoweverTheyEnd(t *testing.T) {
	j := NewJob(&chervilv2.JobSpec{Id: "j", Steps: []*chervilv2.Step{{Tasks: 1, LongRunning: true}}})
	j.OpenDueOccurrences(0)
	for _, kind := range []chervilv2.EndKind{failed, done, lapsed, failed, failed, failed} {
		r := j.Grant(waiting(j)[0], WorkerKey{})
		j.FinishRun(RunEnd{Ref: r.Ref, Attempt: r.Attempt, Kind: kind}, 2, 0)
		assert.Equal(t, len(waiting(j)), 1)
	}
	effect := j.Cancel(0)
	assert.Assert(t, effect.Changed && j.Ended())
	assert.Equal(t, len(waiting(j)), 0)
}

func TestOccurrencesOpenWhenTheyAreDue(t *testing.T) {
	j := NewJob(&chervilv2.JobSpec{Id: "j", Occurrences: 3, FirstStartUnixMs: 1000, IntervalMs: 500, Steps: []*chervilv2.Step{{Tasks: 1}}})
	assert.Equal(t, j.OpenDueOccurrences(999), int64(1000))
	assert.Equal(t, len(waiting(j)), 0)
	assert.Equal(t, j.OpenDueOccurrences(1500), int64(2000))
	assert.Equal(t, len(waiting(j)), 2)
	assert.Equal(t, j.OpenDueOccurrences(2000), int64(0))
	for _, ref := range waiting(j) {
		r := j.Grant(ref, WorkerKey{})
		j.FinishRun(RunEnd{Ref: ref, Attempt: r.Attempt, Kind: done}, 2, 7)
	}
	assert.Equal(t, j.Phase, chervilv2.JobPhase_JOB_PHASE_COMPLETED)
	assert.Equal(t, j.EndedUnixMs, int64(7))
}

func TestEndOfAGangCountsForAllAndItsFailuresAddUp(t *testing.T) {
	j := NewJob(&chervilv2.JobSpec{Id: "j", Steps: []*chervilv2.Step{{Tasks: 3, Gang: true}}})
	j.OpenDueOccurrences(0)
	runs := j.GrantGang(0, 0, make([]WorkerKey, 3))
	assert.Equal(t, runs[2].Attempt, uint32(1))
	j.FinishRun(RunEnd{Ref: runs[0].Ref, Attempt: 1, Kind: failed}, 2, 0)
	for _, r := range runs[1:] {
		j.FinishRun(RunEnd{Ref: r.Ref, Attempt: 1, Kind: chervilv2.EndKind_END_KIND_BROKEN}, 2, 0)
	}
	assert.Assert(t, !j.Ended())
	runs = j.GrantGang(0, 0, make([]WorkerKey, 3))
	assert.Equal(t, runs[0].Attempt, uint32(2))
	effect := j.FinishRun(RunEnd{Ref: runs[1].Ref, Attempt: 2, Kind: done}, 2, 0)
	assert.Assert(t, effect.JobEnded)
	assert.Equal(t, j.Phase, chervilv2.JobPhase_JOB_PHASE_COMPLETED)
}

func TestLateDoneOfAnOlderAttemptCounts(t *testing.T) {
	j := twoSteps()
	ref := waiting(j)[0]
	first := j.Grant(ref, WorkerKey{Node: "a"})
	j.DropRun(ref, first.Attempt)
	second := j.Grant(ref, WorkerKey{Node: "b"})
	effect := j.FinishRun(RunEnd{Ref: ref, Attempt: first.Attempt, Kind: done}, 2, 0)
	assert.Assert(t, effect.Changed)
	assert.Equal(t, effect.RunsToStop[0].Attempt, second.Attempt, "the newer run has to be stopped")
}

// TestRandomJobHistories applies random events to a job and checks the invariants after
// each, and that the job is restored unchanged from its stored form.
func TestRandomJobHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxAttempts = 3
		spec := &chervilv2.JobSpec{Id: "j"}
		for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
			step := &chervilv2.Step{Tasks: uint32(rapid.IntRange(1, 4).Draw(t, "tasks"))}
			if i > 0 && rapid.Bool().Draw(t, "waits") {
				step.After = []uint32{uint32(rapid.IntRange(0, i-1).Draw(t, "after"))}
			}
			spec.Steps = append(spec.Steps, step)
		}
		j := NewJob(spec)
		j.OpenDueOccurrences(0)
		doneTasks := map[string]bool{}
		attempts := map[string]uint32{}
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			var runs []*Run
			j.ForEachRun(func(r *Run) { runs = append(runs, r) })
			refs := waiting(j)
			switch {
			case rapid.IntRange(0, 40).Draw(t, "cancel") == 0:
				j.Cancel(1)
			case len(refs) > 0 && rapid.Bool().Draw(t, "grant"):
				ref := refs[rapid.IntRange(0, len(refs)-1).Draw(t, "which")]
				name := ref.String()
				assert.Assert(t, !doneTasks[name], "a done task must not wait")
				for _, a := range spec.Steps[ref.Step].After {
					for i := range spec.Steps[a].Tasks {
						assert.Assert(t, doneTasks[TaskRef{Job: "j", Step: a, Index: i}.String()], "granted before its predecessors are done")
					}
				}
				r := j.Grant(ref, WorkerKey{Node: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "node"))})
				assert.Assert(t, r.Attempt > attempts[name], "attempts must rise")
				attempts[name] = r.Attempt
			case len(runs) > 0:
				r := runs[rapid.IntRange(0, len(runs)-1).Draw(t, "run")]
				kind := rapid.SampledFrom([]chervilv2.EndKind{done, failed, stopped, lapsed}).Draw(t, "kind")
				ended := j.Ended()
				j.FinishRun(RunEnd{Ref: r.Ref, Attempt: r.Attempt, Kind: kind, Checkpoint: "c"}, maxAttempts, 1)
				if kind == done && !ended {
					doneTasks[r.Ref.String()] = true
				}
				again := j.FinishRun(RunEnd{Ref: r.Ref, Attempt: r.Attempt, Kind: kind}, maxAttempts, 1)
				assert.Assert(t, !again.Changed, "an end must count once")
			}
			total := uint32(0)
			for _, s := range spec.Steps {
				total += s.Tasks
			}
			if j.Phase == chervilv2.JobPhase_JOB_PHASE_COMPLETED {
				assert.Equal(t, uint32(len(doneTasks)), total)
			}
			checkRestored(t, j)
		}
	})
}

func checkRestored(t *rapid.T, j *Job) {
	encoded, err := proto.Marshal(j.Record())
	assert.NilError(t, err)
	record := &chervilv2.JobProgress{}
	assert.NilError(t, proto.Unmarshal(encoded, record))
	back, err := Restore(j.Spec, record)
	assert.NilError(t, err)
	back.OpenDueOccurrences(0)
	assert.Equal(t, back.Phase, j.Phase)
	assert.DeepEqual(t, waiting(back), waiting(j))
	var before, after []Run
	j.ForEachRun(func(r *Run) { before = append(before, *r) })
	back.ForEachRun(func(r *Run) { after = append(after, *r) })
	assert.DeepEqual(t, after, before)
	if !j.Ended() {
		for _, ref := range waiting(j) {
			_, old := j.Task(ref)
			_, restored := back.Task(ref)
			assert.Equal(t, restored.Attempt, old.Attempt)
			assert.Equal(t, restored.Failures, old.Failures)
			assert.Equal(t, restored.Checkpoint, old.Checkpoint)
		}
	}
}

func TestStoredProgressThatDoesNotFitIsRejected(t *testing.T) {
	spec := &chervilv2.JobSpec{Id: "j", Steps: []*chervilv2.Step{{Tasks: 1}}}
	for _, bad := range []*chervilv2.StepRecord{
		{Step: 1}, {Occurrence: 1}, {Tasks: []*chervilv2.TaskRecord{{Task: 5}}}, {Placements: []*chervilv2.Placement{{Worker: 3}}},
	} {
		_, err := Restore(spec, &chervilv2.JobProgress{Steps: []*chervilv2.StepRecord{bad}})
		assert.Assert(t, err != nil, bad)
	}
}
