package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
)

// pending returns the number of jobs that count as waiting, once all changes are stored.
func (r *rig) pending() int32 {
	r.settle()
	return int32(r.engine.CountPending(testQueue).Pending)
}

func TestJobWhoseStartFailedCountsAsPendingAgain(t *testing.T) {
	for name, fail := range map[string]func(*testAgent, *chervilv2.StartOrder){
		"rejected start": func(a *testAgent, s *chervilv2.StartOrder) {
			a.worker = gone(a.worker)
			a.report(&chervilv2.AgentReport{Results: []*chervilv2.StartResult{{Task: s.Task, Attempt: s.Attempt, Answer: chervilv2.StartAnswer_START_ANSWER_NOT_STARTED}}})
		},
		"worker crashed before the start": func(a *testAgent, s *chervilv2.StartOrder) {
			crash := &chervilv2.WorkerCrash{
				WorkerId: a.worker.Id, BornUnixMs: a.worker.BornUnixMs, Runs: []*chervilv2.CrashedRun{{Task: s.Task, Attempt: s.Attempt}},
			}
			a.worker = gone(a.worker)
			a.report(&chervilv2.AgentReport{Crashes: []*chervilv2.WorkerCrash{crash}})
		},
		"worker gone": func(a *testAgent, _ *chervilv2.StartOrder) {
			a.worker = gone(a.worker)
			a.report(&chervilv2.AgentReport{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := r.attach("side-1", 1000)
			r.submit(spec(jobID(1), 1))
			start, _ := r.awaitStart(jobID(1), 0, a)
			assert.Equal(t, r.pending(), int32(1), "granted, and not started yet")
			fail(a, start)
			a.report(&chervilv2.AgentReport{}) // is received once the one before has been processed
			assert.Equal(t, r.pending(), int32(1))
		})
	}
}

func TestStartedJobIsNotPendingAfterItsWorkerHasCrashed(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 1000)
	r.submit(spec(jobID(1), 1))
	start, _ := r.awaitStart(jobID(1), 0, a)
	assert.Equal(t, r.pending(), int32(1))
	r.confirm(a, 2*suspectAge, start)
	assert.Equal(t, r.pending(), int32(0))
	a.worker = gone(a.worker)
	a.report(&chervilv2.AgentReport{})
	a.report(&chervilv2.AgentReport{})
	assert.Equal(t, r.pending(), int32(0))
}

// Guards against a job that a new owner counts as started because an earlier one had granted it.
func TestGrantedJobIsPendingAtTheNextOwnerUntilItHasStarted(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 1000)
	r.submit(spec(jobID(1), 1))
	start, _ := r.awaitStart(jobID(1), 0, a)
	r.takeOver(2)
	assert.Equal(t, r.pending(), int32(1))
	b := r.attachIncarnation("side-1", a.incarnation, a.worker)
	b.report(&chervilv2.AgentReport{Full: true, Runs: []*chervilv2.Run{{Task: start.Task, Attempt: start.Attempt}}})
	b.report(&chervilv2.AgentReport{}) // is received once the one before has been processed
	assert.Equal(t, r.pending(), int32(0))
	r.takeOver(3)
	assert.Equal(t, r.pending(), int32(1), "the confirmation is stored with the next change of the job only")
	c := r.attachIncarnation("side-1", a.incarnation, a.worker)
	c.end(1, start, failed)
	c.report(&chervilv2.AgentReport{})
	r.settle()
	r.takeOver(4)
	assert.Equal(t, r.pending(), int32(0))
}

// gone describes the worker as gone.
func gone(w *chervilv2.Worker) *chervilv2.Worker {
	return &chervilv2.Worker{Id: w.Id, BornUnixMs: w.BornUnixMs, Service: w.Service, Gone: true}
}
