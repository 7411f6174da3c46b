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
	for name, crashes := range map[string][]CrashEvidence{
		"one of each":      {CrashSuspected, CrashUnconfirmed, CrashExposed},
		"many unconfirmed": {CrashSuspected, CrashUnconfirmed, CrashUnconfirmed, CrashUnconfirmed, CrashUnconfirmed, CrashUnseen},
	} {
		t.Run(name, func(t *testing.T) {
			j, ref := crashJob()
			for _, evidence := range crashes {
				j.CrashRun(ref, j.Grant(ref, WorkerKey{Node: "n"}).Attempt, evidence, 0)
			}
			j.Grant(ref, WorkerKey{Node: "n"}).Isolated = true
			record := j.Record()
			restored, err := Restore(j.Spec, record)
			assert.NilError(t, err)
			_, want := j.Task(ref)
			_, got := restored.Task(ref)
			assert.DeepEqual(t, got, want)
			assert.Assert(t, record.Steps[0].Tasks[0].UnconfirmedCrashes <= maxStoredUnconfirmed, "an owner of an earlier version would fail the job")
		})
	}
}

func TestOnlyARunThatStartedAloneIsGivenUpAtItsSecondCrash(t *testing.T) {
	for evidence, givenUp := range map[CrashEvidence]bool{CrashAlone: true, CrashSuspected: false, CrashUnconfirmed: false} {
		j, ref := crashJob()
		j.CrashRun(ref, j.Grant(ref, WorkerKey{}).Attempt, CrashSuspected, 7)
		j.CrashRun(ref, j.Grant(ref, WorkerKey{}).Attempt, evidence, 7)
		assert.Equal(t, j.Phase == chervilv2.JobPhase_JOB_PHASE_FAILED, givenUp, "%d", evidence)
	}
}

func TestUnconfirmedCrashesCountOnlyBesideTwoConfirmedOnes(t *testing.T) {
	const u, c = CrashUnconfirmed, CrashSuspected
	for name, test := range map[string]struct {
		crashes []CrashEvidence
		givenUp bool
	}{
		"one confirmed":   {[]CrashEvidence{u, u, u, c}, false},
		"two confirmed":   {[]CrashEvidence{u, c, u, c}, true},
		"none confirmed":  {[]CrashEvidence{u, u, u, u, u, u, u, u}, false},
		"one, after many": {[]CrashEvidence{u, u, u, u, u, u, u, c}, false},
		"two, after many": {[]CrashEvidence{u, u, u, u, u, u, c, c}, true},
	} {
		t.Run(name, func(t *testing.T) {
			j, ref := crashJob()
			for i, evidence := range test.crashes {
				assert.Assert(t, !j.Ended(), "after %d crashes", i)
				j.CrashRun(ref, j.Grant(ref, WorkerKey{}).Attempt, evidence, 0)
			}
			assert.Equal(t, j.Ended(), test.givenUp)
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

func TestExposedTaskIsGivenUpOnceItCrashesAlone(t *testing.T) {
	const exposed, unexplained = CrashExposed, CrashUnexplained
	for name, test := range map[string]struct {
		crashes  []CrashEvidence
		isolated bool
		givenUp  bool
	}{
		"beside others":           {[]CrashEvidence{exposed, exposed, exposed, exposed}, false, false},
		"alone":                   {[]CrashEvidence{exposed, exposed, exposed, unexplained}, true, true},
		"isolation broken":        {[]CrashEvidence{exposed, exposed, exposed, exposed}, true, false},
		"beside others, too many": {[]CrashEvidence{exposed, exposed, exposed, exposed, exposed}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			j, ref := crashJob()
			for i, evidence := range test.crashes {
				_, task := j.Task(ref)
				assert.Equal(t, task.NeedsIsolation(), i >= crashesToIsolate, "after %d crashes", i)
				run := j.Grant(ref, WorkerKey{})
				run.Isolated = test.isolated && i >= crashesToIsolate
				assert.Assert(t, !j.Ended(), "after %d crashes", i)
				j.CrashRun(ref, run.Attempt, evidence, 0)
			}
			assert.Equal(t, j.Ended(), test.givenUp)
		})
	}
}

// Whatever the order of the crashes, only two under a run that was there make the job fail, and five of
// any kind make it fail if two of them were.
func TestJobIsFailedOnlyByTwoCrashesUnderItsRuns(t *testing.T) {
	const crashes = 5
	kinds := []CrashEvidence{CrashExposed, CrashUnexplained, CrashSuspected, CrashAlone, CrashUnconfirmed, CrashUnreported, CrashUnseen}
	sequences := 1
	for range crashes {
		sequences *= len(kinds)
	}
	for sequence := range sequences {
		for _, isolated := range []bool{false, true} {
			j, ref := crashJob()
			confirmed := 0
			for n, rest := 0, sequence; n < crashes && !j.Ended(); n, rest = n+1, rest/len(kinds) {
				evidence := kinds[rest%len(kinds)]
				if evidence < CrashUnconfirmed {
					confirmed++
				}
				run := j.Grant(ref, WorkerKey{})
				run.Isolated = isolated
				j.CrashRun(ref, run.Attempt, evidence, 0)
			}
			assert.Equal(t, j.Ended(), confirmed >= minConfirmedCrashes, "sequence %d, isolated %v", sequence, isolated)
		}
	}
}
