package jobstate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
)

func lastingJob() (*Job, TaskRef) {
	j := NewJob(&chervilv2.JobSpec{Id: "j", Steps: []*chervilv2.Step{{Tasks: 1, LongRunning: true}}})
	j.OpenDueOccurrences(0)
	return j, TaskRef{Job: "j"}
}

func TestRunOutlivesCrashesAtLowerAgesOnly(t *testing.T) {
	j, ref := lastingJob()
	_, task := j.Task(ref)
	for _, age := range []time.Duration{12 * time.Second, 30 * time.Second, 20 * time.Second} {
		assert.Assert(t, j.AddCrashAge(ref, age))
	}
	assert.Assert(t, !j.OutliveCrashes(ref, 24*time.Second))
	assert.Assert(t, j.OutliveCrashes(ref, 41*time.Second))
	assert.DeepEqual(t, task.CrashAges, []time.Duration{30 * time.Second})
	assert.Assert(t, j.OutliveCrashes(ref, 61*time.Second))
	assert.Equal(t, len(task.CrashAges), 0)
}

func TestCrashAgesAreStoredWithinBounds(t *testing.T) {
	j, ref := lastingJob()
	j.Grant(ref, WorkerKey{})
	_, task := j.Task(ref)
	for i := range 3 * maxCrashAges {
		assert.Assert(t, j.AddCrashAge(ref, minCrashAge+time.Duration(i)*time.Second))
	}
	assert.Assert(t, j.AddCrashAge(ref, maxCrashAge+time.Second))
	assert.Assert(t, !j.AddCrashAge(ref, minCrashAge-time.Millisecond), "a crash at a low age is counted")
	assert.Equal(t, len(task.CrashAges), maxCrashAges)
	restored, err := Restore(j.Spec, j.Record())
	assert.NilError(t, err)
	_, got := restored.Task(ref)
	assert.DeepEqual(t, got.CrashAges, task.CrashAges)
}

func TestTaskRepeatsCrashes(t *testing.T) {
	const s = time.Second
	three, four := []time.Duration{12 * s, 12 * s, 12500 * time.Millisecond}, []time.Duration{12 * s, 30 * s, 12 * s, 12 * s, 12 * s}
	varied := []time.Duration{20 * s, 25 * s, 30 * s, 40 * s}
	for name, c := range map[string]struct {
		ages   []time.Duration
		next   time.Duration
		others OtherRuns
		want   bool
	}{
		"three at the age, alone":                   {three, 12 * s, OtherRuns{Elsewhere: true}, true},
		"three at the age, another nearly as often": {three, 12 * s, OtherRuns{MostCrashes: 3, MostAtAge: 2}, false},
		"three at the age, another at other ages":   {three, 12 * s, OtherRuns{MostCrashes: 3, MostAtAge: 1}, true},
		"four at the age, another at other ages":    {four, 12 * s, OtherRuns{MostCrashes: 5, MostAtAge: 3, Elsewhere: true}, true},
		"four at the age, another as often":         {four, 12 * s, OtherRuns{MostCrashes: 5, MostAtAge: 4}, false},
		"three without a rival, another as often":   {three, 12 * s, OtherRuns{MostCrashes: 5, MostAtAge: 4, Unrivalled: 3, Elsewhere: true}, true},
		"two of three without a rival":              {three, 12 * s, OtherRuns{MostCrashes: 5, MostAtAge: 4, Unrivalled: 2}, false},
		"three without a rival, two kept":           {three[:2], 12 * s, OtherRuns{MostCrashes: 5, MostAtAge: 4, Unrivalled: 3}, false},
		"three at another age":                      {three, 20 * s, OtherRuns{}, false},
		"three at various ages":                     {varied[1:], 12 * s, OtherRuns{}, false},
		"four at various ages":                      {varied, 35 * s, OtherRuns{MostCrashes: 2}, true},
		"four at various ages, another as often":    {varied, 35 * s, OtherRuns{MostCrashes: 3}, false},
		"four at various ages and a low one":        {varied, 12 * s, OtherRuns{}, false},
		"four at various ages, crashes without it":  {varied, 35 * s, OtherRuns{Elsewhere: true}, false},
		"minutes after the start":                   {[]time.Duration{200 * s, 205 * s, 208 * s}, 200 * s, OtherRuns{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			task := Task{CrashAges: c.ages}
			assert.Equal(t, task.RepeatsCrash(c.next, c.others), c.want)
		})
	}
}

func TestExposureTurnsIntoACrashAtItsAge(t *testing.T) {
	j, ref := lastingJob()
	j.CrashRun(ref, j.Grant(ref, WorkerKey{}).Attempt, CrashExposed, 0)
	_, task := j.Task(ref)
	assert.Assert(t, j.CountCrash(ref, 12*time.Second))
	assert.Assert(t, task.Exposures == 0 && task.Crashes == 0, "%+v", task)
	assert.DeepEqual(t, task.CrashAges, []time.Duration{12 * time.Second})
	assert.Assert(t, j.RemoveCrashAge(ref, 12*time.Second))
	assert.Equal(t, len(task.CrashAges), 0)
}
