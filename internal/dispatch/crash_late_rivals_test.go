package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
)

// recordedCrash is a crash, its time since the start, and the ages of the runs that it ended, in
// seconds, by task.
type recordedCrash struct {
	at   float64
	ages map[int]float64
}

// playCrashes plays the crashes one after the other on an engine with the number of tasks and no other
// workers. It returns the tasks that have been given up.
func playCrashes(t *testing.T, tasks int, crashes []recordedCrash) (givenUp []int) {
	t.Helper()
	r := newRig(t)
	for i := range tasks {
		r.submit(&chervilv2.JobSpec{Id: jobID(i), Queue: testQueue, Steps: []*chervilv2.Step{{Tasks: 1, CpuMilli: 500, MemoryMb: 100, LongRunning: true, Image: "x"}}})
	}
	e, start := r.engine, r.clock.read()
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, c := range crashes {
		r.clock.advance(start.Add(time.Duration(c.at * float64(time.Second))).Sub(r.clock.read()))
		e.crashWorker(fmt.Sprintf("side-%d", i), c.ages)
	}
	for i := range tasks {
		if e.jobs[jobID(i)].job.Phase == jobFailed {
			givenUp = append(givenUp, i)
		}
	}
	return givenUp
}

// crashWorker lets a worker crash that had the runs, with their ages in seconds by task.
func (e *Engine) crashWorker(node string, ages map[int]float64) {
	crash := &chervilv2.WorkerCrash{WorkerId: node, BornUnixMs: 1}
	for _, task := range slices.Sorted(maps.Keys(ages)) {
		ref, age := jobstate.TaskRef{Job: jobID(task)}, ages[task]
		run := e.jobs[ref.Job].job.Grant(ref, jobstate.WorkerKey{Node: node, ID: crash.WorkerId, BornUnixMs: crash.BornUnixMs})
		e.node(node).addRun(e, run)
		crash.Runs = append(crash.Runs, &chervilv2.CrashedRun{Task: ref.String(), Attempt: run.Attempt, AgeMs: int64(age * 1000), Started: true})
	}
	e.handleCrash(e.node(node), crash)
}

// Recorded from a failed play of TestLastingTasksStartedTogetherThatCrashTheirWorkersLateAreGivenUp: the
// culprits are 20, 21 and 22.
func TestCulpritIsGivenUpAlthoughAnInnocentTaskMetAnotherCulpritAsOften(t *testing.T) {
	all := func(age float64) map[int]float64 {
		ages := map[int]float64{}
		for i := range 23 {
			ages[i] = age
		}
		return ages
	}
	crashes := []recordedCrash{
		{12, all(12)},
		{24.5, all(12)},
		{37, map[int]float64{20: 12}},
		{41.5, map[int]float64{21: 16, 15: 17, 10: 18, 5: 19, 1: 20}},
		{46, map[int]float64{21: 4, 22: 20, 16: 21, 11: 22, 6: 23, 2: 24}},
		{51, map[int]float64{21: 4, 15: 8, 20: 12, 19: 25, 14: 26, 9: 27, 0: 28}},
		{67.5, map[int]float64{9: 16, 15: 16, 21: 16, 6: 20, 1: 24}},
		{68, map[int]float64{9: 0.5, 22: 20, 11: 21, 5: 25, 17: 42, 12: 43, 7: 44, 3: 45}},
		{84, map[int]float64{11: 15, 21: 16, 16: 36.5, 10: 40.5, 18: 57.5, 13: 58.5, 8: 59.5, 4: 60.5}},
		{92, map[int]float64{21: 5, 22: 20, 1: 21}},
		{109, map[int]float64{21: 16, 11: 21.5}},
	}
	assert.DeepEqual(t, playCrashes(t, 23, crashes[:len(crashes)-1]), []int{20})
	assert.DeepEqual(t, playCrashes(t, 23, crashes), []int{20, 21})
}

// The tasks 0 and 1 might each be the cause, by the number of their crashes at one age.
func TestNoTaskIsGivenUpForCrashesThatAnotherExplains(t *testing.T) {
	for name, crashes := range map[string][]recordedCrash{
		"always together": {
			{20, map[int]float64{0: 16, 1: 20}}, {50, map[int]float64{0: 16, 1: 20}},
			{80, map[int]float64{0: 16, 1: 20}}, {110, map[int]float64{0: 16, 1: 20}},
		},
		"each of three with another that crashes as often": {
			{20, map[int]float64{0: 16, 1: 20}}, {50, map[int]float64{0: 16, 1: 20}}, {60, map[int]float64{1: 20}},
			{80, map[int]float64{0: 16, 2: 30}}, {81, map[int]float64{2: 30}}, {83, map[int]float64{2: 30}},
			{110, map[int]float64{0: 16, 2: 30}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, slices.Contains(playCrashes(t, 3, crashes), 0), false)
		})
	}
}
