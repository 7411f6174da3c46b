package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/schedulestore"
)

// testLease is the time after a grant at which all leases on a worker have expired for
// certain.
const testLease = 6*time.Second + 6*time.Second/50 + leaseExpiryMargin

// Guards against an unbounded wait: a data centre lost power while some of its workers were
// leaving. Their agents came back without a worker, and each of their reports extended a
// lease that no agent could renew, so that the lost tasks were not restarted. It broke the
// rule LOST in the sweep of the large deployment.
func TestAgentWithoutWorkerDoesNotKeepLostRuns(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 1000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	r.clock.advance(MaxConfirmationAge)
	r.grantLease(a)
	r.disconnect(a)
	r.clock.advance(2 * time.Second)
	restarted, b := r.attachWith("side-1", nil), r.attach("side-2", 1000)
	const reportInterval = 400 * time.Millisecond
	for waited := 2 * time.Second; waited < testLease; waited += reportInterval {
		r.grantLease(b)
		restarted.report(&chervilv2.AgentReport{})
		assert.Equal(t, len(b.started()), 0, "a lease may still hold the run")
		r.clock.advance(reportInterval)
	}
	r.grantLease(b)
	eventually(t, "task starts on another worker", func() bool { return len(b.started()) == 1 })
	restarted.mu.Lock()
	defer restarted.mu.Unlock()
	assert.Equal(t, restarted.leases, 0, "no lease for an agent without a worker")
}

func TestRunsAreDroppedWhenAgentFindsNoWorker(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 1000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	r.disconnect(a)
	r.attachWith("side-1", &chervilv2.Worker{Gone: true})
	b := r.attach("side-2", 1000)
	eventually(t, "task starts on another worker", func() bool { return len(b.started()) == 1 })
}

// The owner before recorded an agent that had reported to it, and the new one waits only
// for the rest of the agent's leases.
func TestSilenceOfAnAttachedAgentIsInherited(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 1000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	r.clock.advance(5 * time.Second)
	r.grantLease(a)
	r.disconnect(a)
	const silentTime = 4 * time.Second
	r.clock.advance(silentTime)
	eventually(t, "silent agent recorded", func() bool {
		restored, err := schedulestore.Load(context.Background(), r.store)
		return err == nil && restored.UngrantedMs["side-1"] == (silentTime+MaxConfirmationAge).Milliseconds()
	})
	r.start(2)
	b := r.attach("side-2", 1000)
	r.clock.advance(testLease - silentTime - 100*time.Millisecond)
	r.grantLease(b)
	r.assertStartsShortlyAfter(b)
}

// An owner may have been granted the last lease by its predecessor's confirmation, so that
// the recorded time never reaches back before its epoch.
func TestRecordedSilenceDoesNotPrecedeTheEpoch(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 1000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	r.disconnect(a)
	r.clock.advance(unreachableAfter + unreachableInterval)
	eventually(t, "silent agent recorded", func() bool {
		restored, err := schedulestore.Load(context.Background(), r.store)
		return err == nil && restored.UngrantedMs["side-1"] == (unreachableAfter+unreachableInterval).Milliseconds()
	})
}

// Guards against a repeated wait: a machine was lost for good, two owners followed each
// other within eight seconds, and each began the wait for its leases again. It broke the rule
// LOST (see docs/PROOFS.md) in a run of a day with 300 machines.
func TestUnreachableTimeIsInheritedByNextOwner(t *testing.T) {
	const lease = 6*time.Second + 6*time.Second/50 + leaseExpiryMargin
	r := newRig(t)
	a := r.attach("side-1", 1000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	a.detach()
	r.start(2)
	const unreachableTime = 6 * time.Second
	r.clock.advance(unreachableAfter)
	for range int((unreachableTime - unreachableAfter) / unreachableInterval) {
		r.clock.advance(unreachableInterval)
		eventually(t, "unreachable agent recorded", func() bool {
			r.engine.mu.Lock()
			defer r.engine.mu.Unlock()
			return r.engine.unreachableAgents.stored["side-1"] >= r.clock.read().Sub(r.engine.epochStart).Milliseconds()
		})
	}
	r.start(3)
	b := r.attach("side-2", 1000)
	r.clock.advance(MaxConfirmationAge + lease - unreachableTime - 100*time.Millisecond)
	b.report(&chervilv2.AgentReport{Full: true})
	r.assertStartsShortlyAfter(b)
}

// An agent on the record of unreachable agents must not be granted a lease until the
// record without it is stored.
func TestNoLeaseWhileAgentIsRecordedUnreachable(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 1000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	a.detach()
	r.start(2)
	r.clock.advance(unreachableAfter)
	eventually(t, "unreachable agent recorded", func() bool {
		restored, err := schedulestore.Load(context.Background(), r.store)
		return err == nil && restored.UngrantedMs["side-1"] > 0
	})
	release := r.store.block()
	b := r.attach("side-1", 1000)
	b.report(&chervilv2.AgentReport{Full: true})
	time.Sleep(100 * time.Millisecond)
	b.mu.Lock()
	leases := b.leases
	b.mu.Unlock()
	assert.Equal(t, leases, 0, "lease granted while the agent is on the record")
	release()
	eventually(t, "granted", func() bool {
		b.report(&chervilv2.AgentReport{Full: true})
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.leases > 0
	})
	restored, err := schedulestore.Load(context.Background(), r.store)
	assert.NilError(t, err)
	assert.Equal(t, len(restored.UngrantedMs), 0)
}

// assertStartsShortlyAfter checks that the agent gets its first start between now, 100 ms
// before all leases have expired, and 100 ms after that.
func (r *rig) assertStartsShortlyAfter(b *testAgent) {
	r.t.Helper()
	time.Sleep(300 * time.Millisecond)
	assert.Equal(r.t, len(b.started()), 0, "a lease may still hold the run")
	r.clock.advance(200 * time.Millisecond)
	b.report(&chervilv2.AgentReport{Full: true})
	eventually(r.t, "task starts on another worker", func() bool { return len(b.started()) == 1 })
}

// Guards against runs of cancelled jobs that go on since the stop was dropped with a connection.
func TestStopOrderedWithoutAConnectionIsSentAtTheNextOne(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	start, _ := r.awaitStart(jobID(1), 0, a)
	r.disconnect(a)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.Equal(t, r.engine.Cancel(ctx, jobID(1)).Outcome, chervilv2.Outcome_OUTCOME_OK)
	next := r.attachWith("side-1", a.worker)
	next.report(&chervilv2.AgentReport{Full: true, Runs: []*chervilv2.Run{{Task: start.Task, Attempt: start.Attempt}}})
	eventually(t, "stop sent", func() bool { return len(next.stopped()) > 0 })
}

// Guards against a task that waits for the lease of a lost machine for longer than it may be without a run.
func TestTaskOfALostMachineStartsElsewhereInTime(t *testing.T) {
	for name, c := range map[string]struct {
		maxLease, contactTime time.Duration // bounds of deployments
		newOwner              bool
	}{
		"lease of 6 s":                 {6 * time.Second, 3 * time.Second, false},
		"lease of 6 s and next owner":  {6 * time.Second, 3 * time.Second, true},
		"lease of 10 s":                {10 * time.Second, 4 * time.Second, false},
		"lease of 10 s and next owner": {10 * time.Second, 4 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := &rig{t: t, store: newTestStore(), clock: &testClock{now: newRig(t).clock.read()}, view: testView(operatorconfig.Queue{}), maxLease: c.maxLease}
			r.start(1)
			a := r.attach("side-1", 32000)
			r.submit(lasting(jobID(1), 1, 1000))
			eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
			a.report(listing(a.started()...))
			r.awaitIn(2*MaxConfirmationAge, func() { a.report(listing(a.started()...)) }, func() bool { return false })
			r.disconnect(a)
			if c.newOwner {
				r.takeOver(2)
			}
			lost := r.clock.read()
			b := r.attach("side-2", 32000)
			report, started := func() { b.report(listing(b.started()...)) }, func() bool { return len(b.started()) > 0 }
			if !r.awaitIn(c.contactTime+maxIdleInCalm, report, started) {
				r.awaitIn(time.Minute, report, started)
				t.Fatalf("started %v after the machine was lost", r.clock.read().Sub(lost))
			}
		})
	}
}
