package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/interference"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/schedulestore"
)

const (
	done   = chervilv2.EndKind_END_KIND_DONE
	failed = chervilv2.EndKind_END_KIND_FAILED
)

func (r *rig) phase(id string) chervilv2.JobPhase {
	return r.engine.Lookup(context.Background(), id).Phase
}

func TestJobRunsToItsEnd(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	job := spec(jobID(1), 2)
	job.Steps = append(job.Steps, &chervilv2.Step{Tasks: 1, CpuMilli: 1000, After: []uint32{0}})
	r.submit(job)
	eventually(t, "first step starts", func() bool { return len(a.started()) == 2 })
	a.end(1, a.started()[0], done)
	assert.Equal(t, len(a.started()), 2, "the second step waits for the whole first one")
	a.end(2, a.started()[1], done)
	eventually(t, "second step starts", func() bool { return len(a.started()) == 3 })
	a.end(3, a.started()[2], done)
	eventually(t, "job completed", func() bool { return r.phase(jobID(1)) == chervilv2.JobPhase_JOB_PHASE_COMPLETED })
	eventually(t, "ends acknowledged", func() bool { return a.storedEnd() == 3 })
}

func TestStartIsNotSentBeforeGrantIsStored(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	release := r.store.block()
	go r.engine.Submit(context.Background(), spec(jobID(1), 1))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(a.started()), 0)
	release()
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
}

// Guards against running a task twice: the append with a grant was answered only after
// the leases had expired and the task had been granted again.
func TestStartOfDroppedRunIsNotSent(t *testing.T) {
	r := newRig(t)
	first := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "first task starts", func() bool { return len(first.started()) == 1 })
	release := r.store.block()
	first.end(1, first.started()[0], failed)
	// The next attempt is granted and its append blocks; the agent is unreachable until
	// all its leases have expired.
	time.Sleep(100 * time.Millisecond)
	first.detach()
	r.clock.advance(30 * time.Second)
	eventually(t, "run dropped", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return len(r.engine.nodes["side-1"].runs) == 0
	})
	second := r.attach("side-1", 32000)
	release()
	const droppedAttempt = 2
	eventually(t, "task granted again", func() bool {
		second.report(&chervilv2.AgentReport{})
		orders := second.started()
		return len(orders) > 0 && orders[len(orders)-1].Attempt > droppedAttempt
	})
	for _, o := range second.started() {
		assert.Assert(t, o.Attempt != droppedAttempt, "start order of the expired grant was sent: %v", o)
	}
}

// An agent that attaches while the store is unresponsive has no lease yet.
func TestNothingIsPlacedWithoutALease(t *testing.T) {
	r := newRig(t)
	release := r.store.block()
	defer release()
	go r.engine.Submit(context.Background(), spec(jobID(1), 1))
	eventually(t, "append under way", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.appendStart != 0
	})
	r.clock.advance(MaxConfirmationAge + time.Second)
	r.attach("side-1", 32000)
	time.Sleep(100 * time.Millisecond)
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	ok, why := r.engine.nodes["side-1"].usable(r.view, r.clock.read())
	assert.Assert(t, !ok, why)
}

func TestSameIDIsOneJob(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	a.end(1, a.started()[0], done)
	eventually(t, "job completed", func() bool { return r.phase(jobID(1)) == chervilv2.JobPhase_JOB_PHASE_COMPLETED })
	r.submit(spec(jobID(1), 1))
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(a.started()), 1)
}

func TestCapacityIsNeverExceeded(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 3000)
	r.submit(spec(jobID(1), 8))
	eventually(t, "worker full", func() bool { return len(a.started()) == 3 })
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(a.started()), 3)
	a.end(1, a.started()[0], done)
	eventually(t, "next task starts", func() bool { return len(a.started()) == 4 })
}

func TestFailedTaskIsTriedElsewhereAndThenFailsTheJob(t *testing.T) {
	r := newRig(t)
	a, b := r.attach("side-1", 32000), r.attach("side-2", 32000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started())+len(b.started()) == 1 })
	first, second := a, b
	if len(b.started()) == 1 {
		first, second = b, a
	}
	first.end(1, first.started()[0], failed)
	eventually(t, "second attempt on the other worker", func() bool { return len(second.started()) == 1 })
	assert.Equal(t, second.started()[0].Attempt, uint32(2))
	second.end(1, second.started()[0], failed)
	eventually(t, "job failed", func() bool { return r.phase(jobID(1)) == chervilv2.JobPhase_JOB_PHASE_FAILED })
}

func TestCancelStopsWhatRuns(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 2))
	eventually(t, "tasks start", func() bool { return len(a.started()) == 2 })
	reply := r.engine.Cancel(context.Background(), jobID(1))
	assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_OK)
	eventually(t, "stops ordered", func() bool { return len(a.stopped()) == 2 })
	assert.Equal(t, r.phase(jobID(1)), chervilv2.JobPhase_JOB_PHASE_CANCELLED)
	assert.Equal(t, r.engine.Cancel(context.Background(), jobID(9)).Outcome, chervilv2.Outcome_OUTCOME_NO_SUCH_JOB)
}

func TestDrainingAndEvacuatedWorkersGetNothing(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	a.worker.Draining = true
	a.report(&chervilv2.AgentReport{Full: true})
	r.submit(spec(jobID(1), 1))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(a.started()), 0)
	b := r.attach("side-2", 32000)
	eventually(t, "task starts on the other worker", func() bool { return len(b.started()) == 1 })
	evacuated := *r.view
	evacuated.Evacuated = map[string]bool{"pnw-a": true}
	r.engine.mu.Lock()
	r.view = &evacuated
	r.engine.mu.Unlock()
	r.submit(spec(jobID(2), 1))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(b.started()), 1)
}

func TestNewIncarnationOfAWorkerEndsTheRunsOfThePreviousOne(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	a.worker = &chervilv2.Worker{Id: a.worker.Id, BornUnixMs: 2, Service: testService, Zone: "pnw-a", CpuMilli: 32000, MemoryMb: 64000, Listed: true}
	a.report(&chervilv2.AgentReport{Full: true})
	eventually(t, "task starts again", func() bool { return len(a.started()) == 2 })
	assert.Equal(t, a.started()[1].Attempt, uint32(2))
}

func TestEndReportedWithTheLossOfTheWorkerCounts(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	b := r.attach("side-2", 500) // too small for the task
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	a.worker.Gone, a.worker.Listed = true, false
	a.end(1, a.started()[0], done)
	eventually(t, "job completed", func() bool { return r.phase(jobID(1)) == chervilv2.JobPhase_JOB_PHASE_COMPLETED })
	assert.Equal(t, len(b.started())+len(a.started()), 1)
}

func TestNewOwnerContinuesRunningJob(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 2))
	eventually(t, "tasks start", func() bool { return len(a.started()) == 2 })
	a.end(1, a.started()[0], done)
	eventually(t, "end stored", func() bool { return a.storedEnd() == 1 })
	left := a.started()[1]
	a.detach()
	r.start(2)
	b := r.attach("side-1", 32000)
	b.report(&chervilv2.AgentReport{Full: true, Runs: []*chervilv2.Run{{Task: left.Task, Attempt: left.Attempt}}})
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(b.started()), 0, "a running task is not started again")
	b.end(2, left, done)
	eventually(t, "job completed", func() bool { return r.phase(jobID(1)) == chervilv2.JobPhase_JOB_PHASE_COMPLETED })
}

func TestNewOwnerRepeatsOrdersThatGotLost(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	a.detach()
	r.start(2)
	b := r.attach("side-1", 32000)
	r.clock.advance(2 * time.Second)
	b.report(&chervilv2.AgentReport{Full: true})
	eventually(t, "order repeated", func() bool { return len(b.started()) == 1 })
	assert.Equal(t, b.started()[0].Attempt, a.started()[0].Attempt, "the worker recognizes the order by its attempt")
}

// Guards against a delayed stop: all processes were killed right after a cancellation was
// acknowledged, and the new owner waited before it ordered the stops.
func TestNewOwnerStopsCancelledRunsAtOnce(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 2))
	eventually(t, "tasks start", func() bool { return len(a.started()) == 2 })
	a.detach()
	assert.Equal(t, r.engine.Cancel(context.Background(), jobID(1)).Outcome, chervilv2.Outcome_OUTCOME_OK)
	r.start(2)
	b := r.attach("side-1", 32000)
	var runs []*chervilv2.Run
	for _, s := range a.started() {
		runs = append(runs, &chervilv2.Run{Task: s.Task, Attempt: s.Attempt})
	}
	b.report(&chervilv2.AgentReport{Full: true, Runs: runs})
	eventually(t, "stops ordered", func() bool { return len(b.stopped()) >= 2 })
}

func TestUnreachableAgentKeepsItsTasksUntilItsLeasesExpire(t *testing.T) {
	r := newRig(t)
	a, b := r.attach("side-1", 1000), r.attach("side-2", 1000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started())+len(b.started()) == 1 })
	first, second := a, b
	if len(b.started()) == 1 {
		first, second = b, a
	}
	first.detach()
	r.clock.advance(5 * time.Second)
	for range 20 {
		second.report(&chervilv2.AgentReport{Full: true})
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, len(second.started()), 0, "the lease of 6 s has not expired")
	r.clock.advance(6 * time.Second)
	eventually(t, "task starts on the other worker", func() bool {
		second.report(&chervilv2.AgentReport{Full: true})
		return len(second.started()) == 1
	})
}

func TestDeposedOwnerOrdersNothing(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.store.mu.Lock()
	r.store.fenced = true
	r.store.mu.Unlock()
	reply := r.engine.Submit(context.Background(), spec(jobID(1), 1))
	assert.Assert(t, reply.Outcome != chervilv2.Outcome_OUTCOME_OK && reply.Outcome != chervilv2.Outcome_OUTCOME_REJECTED)
	<-r.engine.Done()
	assert.Equal(t, len(a.started()), 0)
	assert.Equal(t, r.engine.Lookup(context.Background(), jobID(1)).Outcome, chervilv2.Outcome_OUTCOME_NOT_OWNER)
}

// Guards against starvation: best-effort tasks waited for headroom that never came, and
// their jobs had nothing running while half of the CPU was free.
func TestIdleJobIsForcedOntoAWorker(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	servingJob := &chervilv2.JobSpec{Id: jobID(1), Queue: testQueue, Steps: []*chervilv2.Step{{Tasks: 1, CpuMilli: 4000, LongRunning: true, TargetLatencyMs: 50, Image: "x"}}}
	r.submit(servingJob)
	eventually(t, "serving task starts", func() bool { return len(a.started()) == 1 })
	r.engine.mu.Lock()
	r.engine.model.SetSlope(interference.Pair{Serving: "x", BestEffort: "heavy"}, 10)
	r.engine.mu.Unlock()
	r.submit(&chervilv2.JobSpec{Id: jobID(2), Queue: testQueue, Steps: []*chervilv2.Step{{Tasks: 3, CpuMilli: 4000, Fills: true, Image: "heavy"}}})
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, len(a.started()), 1, "best-effort tasks wait for headroom")
	r.clock.advance(forceAfter)
	eventually(t, "one best-effort task starts", func() bool { return len(a.started()) == 2 })
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, len(a.started()), 2, "the other best-effort tasks wait")
}

func TestUnknownRunsAreStopped(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	a.report(&chervilv2.AgentReport{Full: true, Runs: []*chervilv2.Run{{Task: jobID(7) + ".0.0.0", Attempt: 3}}})
	eventually(t, "stop ordered", func() bool { return len(a.stopped()) == 1 })
}

func TestGangStartsAsAWhole(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 2000)
	job := spec(jobID(1), 3)
	job.Steps[0].Gang = true
	r.submit(job)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(a.started()), 0, "two of three would wait for the third")
	b := r.attach("side-2", 2000)
	eventually(t, "all start", func() bool { return len(a.started())+len(b.started()) == 3 })
	a.end(1, a.started()[0], done)
	eventually(t, "one end counts for all", func() bool { return r.phase(jobID(1)) == chervilv2.JobPhase_JOB_PHASE_COMPLETED })
}

// Guards against a gang that never starts again: after one member had failed on a worker,
// the others could be placed there and it could not, so that each part waited for the rest.
func TestGangStartsAgainAfterAMemberFailed(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 2000)
	job := spec(jobID(1), 2)
	job.Steps[0].Gang = true
	r.submit(job)
	eventually(t, "gang starts", func() bool { return len(a.started()) == 2 })
	a.end(1, a.started()[0], failed)
	a.end(2, a.started()[1], chervilv2.EndKind_END_KIND_BROKEN)
	eventually(t, "gang starts again on its only worker", func() bool { return len(a.started()) == 4 })
	b := r.attach("side-2", 2000)
	a.end(3, a.started()[2], chervilv2.EndKind_END_KIND_BROKEN)
	a.end(4, a.started()[3], chervilv2.EndKind_END_KIND_BROKEN)
	eventually(t, "gang starts on the worker without failures", func() bool { return len(b.started()) == 2 })
}

func TestNewJobsAreRejectedWhileTheStoreIsUnresponsive(t *testing.T) {
	r := newRig(t)
	release := r.store.block()
	defer release()
	go r.engine.Submit(context.Background(), spec(jobID(1), 1))
	eventually(t, "append under way", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.appendStart != 0
	})
	r.clock.advance(2 * time.Second)
	reply := r.engine.Submit(context.Background(), spec(jobID(2), 1))
	assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_REJECTED)
	assert.Assert(t, reply.RetryAfterMs > 0)
}

// policy is a placement policy that permits the workers in permits.
type policy struct {
	mu      sync.Mutex
	permits map[string]string
	asked   int
}

func (p *policy) Advise(_ context.Context, _ string, workers []string) (map[string]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	out := map[string]string{}
	for _, w := range workers {
		if ticket, ok := p.permits[w]; ok {
			out[w] = ticket
		}
	}
	return out, nil
}

func TestPlacementPolicyIsAskedAndItsTicketsAreCarried(t *testing.T) {
	p := &policy{permits: map[string]string{"worker-side-2": "ticket-1"}}
	r := newRigWith(t, operatorconfig.Queue{Advisor: &operatorconfig.PlacementAdvisor{TicketValidity: 5 * time.Second}}, p)
	a, b := r.attach("side-1", 32000), r.attach("side-2", 4000)
	r.submit(spec(jobID(1), 3))
	eventually(t, "tasks start on the permitted worker", func() bool { return len(b.started()) == 3 })
	assert.Equal(t, len(a.started()), 0)
	assert.Equal(t, b.started()[0].Ticket, "ticket-1")
	// A ticket that the worker rejects is requested again.
	p.mu.Lock()
	p.permits["worker-side-2"] = "ticket-2"
	p.mu.Unlock()
	start := b.started()[0]
	b.report(&chervilv2.AgentReport{Results: []*chervilv2.StartResult{{Task: start.Task, Attempt: start.Attempt, Answer: chervilv2.StartAnswer_START_ANSWER_TICKET}}})
	eventually(t, "started with a new ticket", func() bool { return len(b.started()) == 4 && b.started()[3].Ticket == "ticket-2" })
}

// A worker counts as slow once its runs take five times as long, but not if its work only
// varies by half.
func TestSlowWorkerIsChosenLast(t *testing.T) {
	h := health{}
	now := boottime.Instant(time.Hour)
	for range 20 {
		h.recordDuration(0.5, now)
		h.recordDuration(1.5, now)
	}
	assert.Equal(t, h.currentSlowness(now), 0.0, "varying work does not make a worker slow")
	for range 4 {
		h.recordDuration(5, now)
	}
	assert.Assert(t, h.currentSlowness(now) > slownessThreshold)
	assert.Equal(t, h.currentSlowness(now.Add(slownessTTL+time.Second)), 0.0, "slowness expires")
}

// After a restart of all processes, the next owner must have the interference model
// before its first plan, because serving tasks are placed by it.
func TestNewOwnerRestoresTheInterferenceModel(t *testing.T) {
	r := newRig(t)
	pair := interference.Pair{Serving: "x", BestEffort: "heavy"}
	r.engine.mu.Lock()
	r.engine.model.SetSlope(pair, 7.5)
	r.engine.modelStoredRevision = 1 // any value other than the model's revision
	r.engine.mu.Unlock()
	r.clock.advance(modelStoreInterval)
	eventually(t, "stored", func() bool {
		restored, err := schedulestore.Load(context.Background(), r.store)
		return err == nil && len(restored.Interference) == 1
	})
	r.engine.Abandon()
	<-r.engine.Done()
	r.start(2)
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	assert.Equal(t, r.engine.model.Slope(pair), 7.5)
	assert.Equal(t, r.engine.model.HarmfulImages("x").Count(), 1)
}

// Guards against a wrong reply: an owner that had been suspended for 4.7 s replied that a
// job did not exist, which another owner had accepted meanwhile. Seen in the soak test
// with seed 400, 8 entries and 95 agents.
func TestSuspendedOwnerDoesNotDenyJobs(t *testing.T) {
	r := newRig(t)
	assert.Equal(t, r.engine.Lookup(context.Background(), jobID(1)).Outcome, chervilv2.Outcome_OUTCOME_NO_SUCH_JOB)
	r.store.mu.Lock()
	r.store.fenced = true // another owner has taken over
	r.store.mu.Unlock()
	assert.Equal(t, r.engine.Lookup(context.Background(), jobID(1)).Outcome, chervilv2.Outcome_OUTCOME_NOT_OWNER)
	r = newRig(t)
	r.store.mu.Lock()
	r.store.fenced = true
	r.store.mu.Unlock()
	assert.Equal(t, r.engine.Cancel(context.Background(), jobID(1)).Outcome, chervilv2.Outcome_OUTCOME_NOT_OWNER)
}

// Each of some hundred agents gets several messages a second, and the list of entries is the
// largest part of most of them.
func TestEntriesAreSentOnlyWhenTheyChange(t *testing.T) {
	r := newRig(t)
	r.setEntries("10.0.0.1:7720")
	a := r.attach("side-1", 1000)
	replies := func(n int) {
		for range n {
			a.report(&chervilv2.AgentReport{})
		}
	}
	replies(20)
	lists := func() [][]string {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.entryLists
	}
	eventually(t, "list sent", func() bool { return len(lists()) == 1 })
	r.setEntries("10.0.0.1:7720", "10.0.0.2:7720")
	replies(20)
	eventually(t, "changed list sent", func() bool { return len(lists()) == 2 })
	assert.DeepEqual(t, lists(), [][]string{{"10.0.0.1:7720"}, {"10.0.0.1:7720", "10.0.0.2:7720"}})
}
