package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/operatorconfig"
)

// Guards against serving tasks that an upkeep ends without a stop.
func TestNewOwnerDoesNotTakeAMachineForIdleWhoseAgentHasNotReportedYet(t *testing.T) {
	r, machines := rigWithWave(t, "side-1")
	wave := r.view.Waves["7"]
	r.view.Waves = nil // not requested yet
	a := r.attach("side-1", 4000)
	r.submit(&chervilv2.JobSpec{Id: jobID(1), Queue: testQueue, Steps: []*chervilv2.Step{{Tasks: 1, CpuMilli: 1000, LongRunning: true, TargetLatencyMs: 50, MayMiss: 1}}})
	eventually(t, "starts", func() bool { return len(a.started()) == 1 })
	s := a.started()[0]
	a.report(&chervilv2.AgentReport{Full: true, Runs: []*chervilv2.Run{{Task: s.Task, Attempt: s.Attempt, Percent: 100}}})
	r.settle()
	r.engine.Abandon()
	<-r.engine.Done()
	r.view = testView(operatorconfig.Queue{})
	r.view.Waves = map[string]operatorconfig.Wave{"7": wave}
	r.start(2)
	time.Sleep(3 * waveInterval) // an agent attaches within a second or so
	assert.Equal(t, machines.startedCount(), 0, "upkeep began on a machine whose serving task was not stopped")
}

// Guards against a worker that gets no task while it lists a run whose size its restarted agent does
// not know.
func TestListedRunIsDescribedAgainOrStopped(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	start := a.started()[0]
	odd := &chervilv2.Run{Task: "of another writer", Attempt: 1}
	a.report(&chervilv2.AgentReport{Full: true, Runs: []*chervilv2.Run{{Task: start.Task, Attempt: start.Attempt}, odd}})
	eventually(t, "described", func() bool { return a.describes(start) })
	eventually(t, "stopped", func() bool { return len(a.stopped()) == 1 })
	assert.Equal(t, a.stopped()[0].Task, odd.Task)
}

// Guards against two runs of a task: a start call of the previous agent process reaches the next life.
func TestRunWithoutAConfirmedStartIsStoppedOnTheLifeThatFollowsWhileItsAgentRestarts(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	b := r.attach("side-2", 32000)
	r.disconnect(a)
	r.clock.advance(500 * time.Millisecond)
	c := r.attachIncarnation("side-1", "2", nextIncarnation(a.worker)) // knows nothing of the calls of its predecessor
	r.settle()
	again := len(b.started()) + len(c.started())
	assert.Assert(t, again == 0 || len(c.stopped()) > 0, "started again, though a call of the previous agent may reach the new life")
}

// Guards against a task that is not started again, or whose crash is not counted, once the stop on the next life is answered.
func TestRunStoppedOnTheLifeThatFollowsStartsAgainOnceItCanNotStartThere(t *testing.T) {
	for name, newOwner := range map[string]bool{"same owner": false, "next owner": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := r.attach("side-1", 32000)
			r.submit(spec(jobID(1), 1))
			eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
			r.disconnect(a)
			if newOwner {
				r.takeOver(2)
			}
			c := r.attachIncarnation("side-1", "2", nextIncarnation(a.worker))
			eventually(t, "stopped first", func() bool { return len(c.stopped()) == 1 })
			r.settle()
			assert.Equal(t, len(c.started()), 0)
			c.report(&chervilv2.AgentReport{Full: true, Results: c.answerStops()})
			eventually(t, "started again", func() bool { return len(c.started()) == 1 })
			assert.Equal(t, c.started()[0].Attempt, a.started()[0].Attempt+1)
			counted := uint32(1)
			if newOwner { // which has not seen the earlier life
				counted = 0
			}
			assert.Equal(t, r.task(jobID(1)).UnconfirmedCrashes, counted)
		})
	}
}

// Guards against two runs of a task: its start was answered at the second call, and the first call of the
// previous agent process reaches the next life.
func TestRunWhoseStartWasConfirmedLatelyIsStoppedOnTheLifeThatFollows(t *testing.T) {
	for name, age := range map[string]time.Duration{"lately": time.Second, "long ago": lateCallTime} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := r.attach("side-1", 32000)
			r.submit(spec(jobID(1), 1))
			start, _ := r.awaitStart(jobID(1), 0, a)
			r.confirm(a, age, start)
			r.disconnect(a)
			c := r.attachIncarnation("side-1", "2", nextIncarnation(a.worker))
			r.settle()
			if age < lateCallTime {
				eventually(t, "stopped first", func() bool { return len(c.stopped()) == 1 })
				assert.Equal(t, len(c.started()), 0)
			} else {
				assert.Equal(t, len(c.stopped()), 0)
			}
			c.report(&chervilv2.AgentReport{Full: true, Results: c.answerStops()})
			eventually(t, "started again", func() bool { return len(c.started()) == 1 })
		})
	}
}

// awaitAgent waits until a report of the agent process has been handled.
func (r *rig) awaitAgent(a *testAgent) {
	r.t.Helper()
	eventually(r.t, "report handled", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		n := r.engine.nodes[a.node]
		return n != nil && n.agentIncarnation == a.incarnation
	})
}

// Guards against two runs of a task: the wall clock was set back between two lives of a worker, and the
// owner was paused and reads what the earlier agent process sent last after the reports of the present one.
func TestLastReportOfAnEarlierAgentProcessDoesNotEndTheRunsOfThePresentLife(t *testing.T) {
	r := newRig(t)
	a := r.attachWith("side-1", life(&chervilv2.Worker{Id: "worker", Service: testService, Zone: "pnw-a", CpuMilli: 32000, MemoryMb: 64000}, 9, true))
	r.awaitAgent(a)
	c := r.attachIncarnation("side-1", "2", life(a.worker, 3, true))
	r.awaitAgent(c)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started())+len(c.started()) == 1 })
	b := r.attach("side-2", 32000)
	a.worker = gone(life(a.worker, 9, false))
	a.report(&chervilv2.AgentReport{})
	r.settle()
	assert.Equal(t, len(b.started()), 0, "the run still runs on the present life")
}

// Guards against a task that starts in an evacuated data centre, since the order for it is repeated.
func TestStartIsNotRepeatedInAnEvacuatedDataCentre(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	r.engine.mu.Lock()
	next := *r.view
	next.Evacuated = map[string]bool{"pnw-a": true}
	r.view = &next
	r.engine.mu.Unlock()
	r.clock.advance(2 * repeatOrderAfter)
	a.report(&chervilv2.AgentReport{Full: true})
	eventually(t, "stopped", func() bool { return len(a.stopped()) == 1 })
	assert.Equal(t, len(a.started()), 1)
	b := r.attachWith("side-2", &chervilv2.Worker{Id: "worker-side-2", BornUnixMs: 1, Service: testService, Zone: "pnw-b", CpuMilli: 32000, MemoryMb: 64000, Listed: true})
	a.report(&chervilv2.AgentReport{Full: true, Results: a.answerStops()})
	eventually(t, "starts elsewhere", func() bool { return len(b.started()) == 1 })
}
