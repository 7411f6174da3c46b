package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
)

func TestTaskThatEndsItsAgentsTooIsGivenUpOnceItCertainlyCrashesItsWorkers(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	r.requireGivenUpOnceProved(jobID(1), a, func(a *testAgent, _ *chervilv2.StartOrder) *testAgent {
		r.disconnect(a)
		return r.attachIncarnation("side-1", a.incarnation+"x", nextIncarnation(a.worker))
	})
}

func TestTaskThatEndsItsMachineForLongIsGivenUpOnceItCertainlyCrashesItsWorkers(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	r.requireGivenUpOnceProved(jobID(1), a, func(a *testAgent, _ *chervilv2.StartOrder) *testAgent {
		r.disconnect(a)
		r.clock.advance(2 * r.engine.settings.Bounds.MaxLease)
		return r.attach(a.node+"x", 32000)
	})
}

func TestTaskThatSilencesItsWorkerUntilItsLeasesEndIsGivenUpOnceItCertainlyCrashesItsWorkers(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	r.requireGivenUpOnceProved(jobID(1), a, func(a *testAgent, _ *chervilv2.StartOrder) *testAgent {
		silent := 2 * r.engine.settings.Bounds.MaxLease
		for range silent / time.Second {
			r.clock.advance(time.Second)
			a.report(&chervilv2.AgentReport{})
		}
		worker := a.worker
		a.worker = &chervilv2.Worker{Id: worker.Id, BornUnixMs: worker.BornUnixMs, Service: testService, Gone: true, SilentMs: silent.Milliseconds()}
		a.report(&chervilv2.AgentReport{})
		a.worker = nextIncarnation(worker)
		return a
	})
}

// nextIncarnation returns the worker after a restart.
func nextIncarnation(w *chervilv2.Worker) *chervilv2.Worker {
	return &chervilv2.Worker{
		Id: w.Id, BornUnixMs: w.BornUnixMs + 1, Service: w.Service, Zone: w.Zone, CpuMilli: w.CpuMilli, MemoryMb: w.MemoryMb, Labels: w.Labels, Listed: true,
	}
}

func TestPlannedEndOfAnAgentIsNoCrash(t *testing.T) {
	r, a, _, _ := startBoth(t)
	a.report(&chervilv2.AgentReport{Leaving: true})
	r.disconnect(a)
	r.clock.advance(2 * r.engine.settings.Bounds.MaxLease)
	eventually(t, "run dropped", func() bool { return len(r.task(jobID(1)).Runs) == 0 })
	assert.Equal(t, r.task(jobID(1)).UnconfirmedCrashes, uint32(0))
}

func TestWorkerThatTheOwnerHasNotSeenCountsAgainstNoRun(t *testing.T) {
	r, a, start, _ := startBoth(t)
	r.confirm(a, long, start)
	r.engine.Abandon()
	<-r.engine.Done()
	r.start(2)
	r.clock.advance(3 * r.engine.settings.Bounds.MaxLease)
	eventually(t, "run dropped", func() bool { return len(r.task(jobID(1)).Runs) == 0 })
	assert.Equal(t, r.task(jobID(1)).UnconfirmedCrashes, uint32(0))
}
