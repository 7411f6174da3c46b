package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
)

// Guards against steps that never start beside a wide step of their job that no worker suits: its tasks
// used up the runs that the job may have, although none of them ran.
func TestWideStepThatNoWorkerSuitsKeepsNoOtherStepWaiting(t *testing.T) {
	const tasks = 8
	for name, wide := range map[string]*chervilv2.Step{
		"label":       {Tasks: jobstate.MaxRuns, CpuMilli: 10, MemoryMb: 1, RequiredLabel: "b"},
		"memory":      {Tasks: 2 * jobstate.MaxRuns, CpuMilli: 10, MemoryMb: 1 << 20},
		"gang":        {Tasks: jobstate.MaxRuns, CpuMilli: 1000, MemoryMb: 1, Gang: true},
		"best effort": {Tasks: jobstate.MaxRuns, CpuMilli: 10, MemoryMb: 1 << 20, Fills: true},
		"GPUs":        {Tasks: jobstate.MaxRuns + tasks, CpuMilli: 10, MemoryMb: 1, Gpus: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := r.attach("side-1", 32000)
			job := spec(jobID(1), tasks)
			job.Steps = append([]*chervilv2.Step{wide}, job.Steps...)
			r.submit(job)
			eventually(t, "the other step starts", func() bool { return len(a.started()) == tasks })
		})
	}
}

// Guards against a record that exceeds what the store accepts: the bound on the runs of a job holds over
// all of its steps.
func TestRunsOfAJobAreBoundedOverAllItsSteps(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 4000*jobstate.MaxRuns)
	small := func() *chervilv2.Step { return &chervilv2.Step{Tasks: jobstate.MaxRuns - 100, CpuMilli: 1} }
	job := &chervilv2.JobSpec{Id: jobID(1), Queue: testQueue, Steps: []*chervilv2.Step{small(), small(), small()}}
	r.submit(job)
	eventually(t, "runs started", func() bool { return len(a.started()) >= jobstate.MaxRuns })
	r.settle()
	runs := 0
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	r.engine.jobs[jobID(1)].job.ForEachRun(func(*jobstate.Run) { runs++ })
	assert.Equal(t, runs, jobstate.MaxRuns)
}
