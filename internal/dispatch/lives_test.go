package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
)

// life returns the worker with another time of birth.
func life(w *chervilv2.Worker, born int64, listed bool) *chervilv2.Worker {
	return &chervilv2.Worker{
		Id: w.Id, BornUnixMs: born, Service: w.Service, Zone: w.Zone, CpuMilli: w.CpuMilli, MemoryMb: w.MemoryMb, Labels: w.Labels, Listed: listed,
	}
}

// Guards against two runs of a task: a heartbeat names another life, and the present one runs on.
func TestRunsAreNotStartedAgainForALifeThatOnlyAHeartbeatNames(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	known, run := a.worker, a.started()[0]
	for _, born := range []int64{0, 7} { // an earlier life, and a later one
		a.worker = life(known, born, false)
		a.report(&chervilv2.AgentReport{})
		r.settle()
		assert.Equal(t, len(a.started()), 1, "born %d", born)
	}
	a.worker = known
	a.report(&chervilv2.AgentReport{Full: true, Runs: []*chervilv2.Run{{Task: run.Task, Attempt: run.Attempt}}})
	r.settle()
	assert.Equal(t, len(a.started()), 1)
	assert.Equal(t, len(a.stopped()), 0)
}

// Guards against two runs of a task: a report of an earlier life ends the runs of the present one.
func TestEndOfAnEarlierLifeDoesNotEndTheRunsOfALaterOne(t *testing.T) {
	r := newRig(t)
	a := r.attachWith("side-1", life(&chervilv2.Worker{Id: "worker", Service: testService, Zone: "pnw-a", CpuMilli: 32000, MemoryMb: 64000}, 9, true))
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	b := r.attach("side-2", 32000)
	a.worker = gone(life(a.worker, 3, false))
	a.report(&chervilv2.AgentReport{})
	r.settle()
	assert.Equal(t, len(b.started()), 0)
}

// Guards against two runs of a task: a start that was granted to an earlier life runs on the next one.
func TestRunThatReachedTheNextLifeIsNotStartedElsewhere(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	b := r.attach("side-2", 500) // too small for the task
	r.submit(spec(jobID(1), 2))
	eventually(t, "tasks start", func() bool { return len(a.started()) == 2 })
	running, starting := a.started()[0], a.started()[1]
	a.worker = nextIncarnation(a.worker)
	listed := []*chervilv2.Run{{Task: running.Task, Attempt: running.Attempt}, {Task: starting.Task, Attempt: starting.Attempt, Starting: true}}
	a.report(&chervilv2.AgentReport{Full: true, Runs: listed})
	r.settle()
	assert.Equal(t, len(a.started())+len(b.started()), 2)
	a.report(&chervilv2.AgentReport{Results: []*chervilv2.StartResult{{Task: starting.Task, Attempt: starting.Attempt, Answer: chervilv2.StartAnswer_START_ANSWER_NOT_STARTED}}})
	eventually(t, "the run that never started starts again", func() bool { return len(a.started()) == 3 })
	assert.Equal(t, a.started()[2].Task, starting.Task)
	a.end(1, running, done)
	eventually(t, "end stored", func() bool { return a.storedEnd() == 1 })
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(a.started()), 3)
}

// Guards against ends that a worker forgets before they are stored, since the next life numbers them from 1 again.
func TestEndsOfALifeAreNotAcknowledgedByTheNumbersOfAnother(t *testing.T) {
	s := newSession()
	s.addOrder(order{storedEnd: 40, worker: jobstate.WorkerKey{ID: "worker", BornUnixMs: 1}})
	s.addOrder(order{storedEnd: 2, worker: jobstate.WorkerKey{ID: "worker", BornUnixMs: 2}})
	out := s.takePending()
	assert.Equal(t, out.BornUnixMs, int64(2))
	assert.Equal(t, out.StoredEnd, int64(2))
}
