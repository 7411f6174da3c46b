package dispatch

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/schedulestore"
)

// endOfWorkerConfirmed reports whether the agent has received the confirmation that the end of its worker is stored.
func (a *testAgent) endOfWorkerConfirmed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.workerEndStored
}

// reportGone reports that the worker is gone, and waits for the reply.
func (r *rig) reportGone(a *testAgent) {
	r.t.Helper()
	a.worker = proto.CloneOf(a.worker)
	a.worker.Listed, a.worker.Gone = false, true
	a.report(&chervilv2.AgentReport{})
	eventually(r.t, "report answered", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.answered >= a.sequence
	})
}

// Guards against an agent that stops before the store has the end of its worker: the next owner would wait for
// leases on the runs.
func TestEndOfAWorkerIsConfirmedOnceItIsStored(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 4000)
	r.grantLease(a)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	r.settle()
	release := r.store.block()
	r.reportGone(a)
	r.reportGone(a)
	assert.Assert(t, !a.endOfWorkerConfirmed(), "before the store has it")
	release()
	eventually(t, "end confirmed", a.endOfWorkerConfirmed)
	restored, err := schedulestore.Load(context.Background(), r.store)
	assert.NilError(t, err)
	restored.Jobs[jobID(1)].ForEachRun(func(run *jobstate.Run) { assert.Assert(t, run.Worker.Node != "side-1", "the run is stored") })
}

// Guards against an agent that waits for a confirmation that got lost with its connection.
func TestStoredEndOfAWorkerIsConfirmedAgain(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 4000)
	r.grantLease(a)
	r.reportGone(a)
	eventually(t, "end confirmed", a.endOfWorkerConfirmed)
	r.disconnect(a)
	release := r.store.block()
	defer release()
	b := r.attachWith("side-1", a.worker)
	eventually(t, "end confirmed again", b.endOfWorkerConfirmed)
}

// Guards against a confirmation of an end that was taken back: the worker lives and may run tasks again.
func TestEndOfAWorkerThatLivesIsNotConfirmed(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 4000)
	r.grantLease(a)
	release := r.store.block()
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		r.engine.Submit(t.Context(), spec(jobID(1), 1))
	}()
	eventually(t, "append in flight", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.appendStart != 0
	})
	r.reportGone(a)
	a.worker = proto.CloneOf(a.worker)
	a.worker.Listed, a.worker.Gone = true, false
	r.grantLease(a)
	release()
	<-submitted
	r.settle()
	assert.Assert(t, !a.endOfWorkerConfirmed())
}

// Guards against a confirmation that reaches an agent together with starts on the worker, which lives.
func TestConfirmationOfAnEndIsWithdrawnWhenTheWorkerLives(t *testing.T) {
	s := newSession()
	key := jobstate.WorkerKey{Node: "side-1", ID: "w", BornUnixMs: 1}
	s.addOrder(order{workerEnd: true, worker: key})
	s.addOrder(order{start: &chervilv2.StartOrder{Task: "t"}, worker: key})
	assert.Assert(t, !s.takePending().WorkerEndStored)
}

// Guards against an agent that waits for ever for the end of a worker whose ID it never learned.
func TestEndOfAWorkerWithoutAnIDIsConfirmed(t *testing.T) {
	r := newRig(t)
	a := r.attachWith("side-1", &chervilv2.Worker{Gone: true})
	eventually(t, "end confirmed", a.endOfWorkerConfirmed)
}
