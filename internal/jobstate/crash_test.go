package jobstate

import (
	"testing"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
)

func crashJob() (*Job, TaskRef) {
	j := NewJob(&chervilv2.JobSpec{Id: "j", Steps: []*chervilv2.Step{{Tasks: 1}}})
	j.OpenDueOccurrences(0)
	return j, TaskRef{Job: "j"}
}

func TestCrashesAreKeptInTheRecord(t *testing.T) {
	j, ref := crashJob()
	j.CrashRun(ref, j.Grant(ref, WorkerKey{Node: "n"}).Attempt, CrashSuspected, 0)
	j.CrashRun(ref, j.Grant(ref, WorkerKey{Node: "n"}).Attempt, CrashUnconfirmed, 0)
	j.Grant(ref, WorkerKey{Node: "n"}).Isolated = true
	restored, err := Restore(j.Spec, j.Record())
	assert.NilError(t, err)
	_, want := j.Task(ref)
	_, got := restored.Task(ref)
	assert.DeepEqual(t, got, want)
}

func TestOnlyAnIsolatedRunIsGivenUpAtItsSecondCrash(t *testing.T) {
	for name, isolated := range map[string]bool{"isolated": true, "beside others": false} {
		t.Run(name, func(t *testing.T) {
			j, ref := crashJob()
			for range 2 {
				run := j.Grant(ref, WorkerKey{})
				run.Isolated = isolated
				j.CrashRun(ref, run.Attempt, CrashSuspected, 7)
			}
			assert.Equal(t, j.Phase == chervilv2.JobPhase_JOB_PHASE_FAILED, isolated)
		})
	}
}

func TestRunThatEndsByItselfIsNoSuspect(t *testing.T) {
	j, ref := crashJob()
	j.CrashRun(ref, j.Grant(ref, WorkerKey{}).Attempt, CrashSuspected, 0)
	_, task := j.Task(ref)
	assert.Assert(t, task.NeedsIsolation())
	j.FinishRun(RunEnd{Ref: ref, Attempt: j.Grant(ref, WorkerKey{}).Attempt, Kind: failed}, 4, 0)
	assert.Assert(t, !task.NeedsIsolation())
	assert.Equal(t, task.Crashes, uint32(0))
}

func TestExplainedCrashLeavesNoTrace(t *testing.T) {
	j, ref := crashJob()
	for range 9 {
		j.CrashRun(ref, j.Grant(ref, WorkerKey{}).Attempt, CrashExplained, 0)
	}
	_, task := j.Task(ref)
	assert.Assert(t, !j.Ended() && task.Crashes == 0 && task.Waiting())
}
