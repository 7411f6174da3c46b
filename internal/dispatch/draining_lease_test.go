package dispatch

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"chervilridge/internal/boottime"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/schedulestore"
)

const (
	// longLease and longContact are the longest lease and the time to be in touch of some deployments.
	longLease   = 10 * time.Second
	longContact = 4 * time.Second
)

// rigWithLongLeases returns a rig with longLease and an agent with a running task.
func rigWithLongLeases(t *testing.T) (*rig, *testAgent) {
	r := &rig{t: t, store: newTestStore(), clock: &testClock{now: boottime.Instant(time.Hour)}, view: testView(operatorconfig.Queue{}), maxLease: longLease}
	r.start(1)
	a := r.attach("side-1", 4000)
	r.submit(lasting(jobID(1), 1, 1000))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	r.awaitIn(2*MaxConfirmationAge, func() { a.report(listing(a.started()...)) }, func() bool { return false })
	return r, a
}

// startDraining makes the agent report that its worker drains.
func (r *rig) startDraining(a *testAgent) {
	a.worker = proto.CloneOf(a.worker)
	a.worker.Draining = true
	a.report(listing(a.started()...))
}

// leaseEnd returns when the last lease of the node ends.
func (r *rig) leaseEnd(node string) boottime.Instant {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	return r.engine.nodes[node].leaseUntil
}

// Guards against an owner that waits too long for the leases of workers that left, with their agents, while there was none.
func TestTaskOfAWorkerThatLeftWithoutAnOwnerStartsElsewhereInTime(t *testing.T) {
	r, a := rigWithLongLeases(t)
	r.startDraining(a)
	r.engine.tick()
	eventually(t, "draining worker recorded", func() bool {
		restored, err := schedulestore.Load(context.Background(), r.store)
		return err == nil && restored.UngrantedMs["side-1"] > 0
	})
	leaseEnd := r.leaseEnd("side-1")
	r.disconnect(a)
	r.takeOver(2)
	b := r.attach("side-2", 4000)
	started := r.awaitIn(longContact+maxIdleInCalm, func() {
		b.report(listing(b.started()...))
		if r.clock.read() < leaseEnd {
			assert.Equal(t, len(b.started()), 0, "the worker may still run the task")
		}
	}, func() bool { return len(b.started()) > 0 })
	assert.Assert(t, started)
}

// Guards against runs that lapse on a worker that drains for long, or leases that another owner does not wait for.
func TestDrainingWorkerKeepsALease(t *testing.T) {
	r, a := rigWithLongLeases(t)
	r.startDraining(a)
	const drainTime = 4 * longLease
	granted := map[boottime.Instant]bool{}
	r.awaitIn(drainTime, func() {
		a.report(listing(a.started()...))
		leaseEnd := r.leaseEnd("side-1")
		assert.Assert(t, leaseEnd.Sub(r.clock.read()) > drainingLeaseLeft-3*reportPause, "%v left", leaseEnd.Sub(r.clock.read()))
		granted[leaseEnd] = true
		restored, err := schedulestore.Load(context.Background(), r.store)
		assert.NilError(t, err)
		age := time.Duration(restored.UngrantedMs["side-1"]) * time.Millisecond
		earliest := r.clock.read().Add(MaxConfirmationAge + longLease - age)
		assert.Assert(t, earliest >= leaseEnd, "another owner would wait until %v before the end of the lease", leaseEnd.Sub(earliest))
	}, func() bool { return false })
	assert.Assert(t, len(granted) >= int(drainTime/longLease), "%d leases", len(granted))
}
