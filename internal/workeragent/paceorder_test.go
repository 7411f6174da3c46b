package workeragent

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/boottime"
	"chervilridge/platform"
)

// paceWorker records the paces that it executes. While gate is set, a call is executed only
// once that is closed.
type paceWorker struct {
	Worker
	mu       sync.Mutex
	executed []uint32
	calls    int
	gate     chan struct{}
	err      error // the answer to all calls
}

func (w *paceWorker) Pace(_ context.Context, _, _ string, _, percent uint32, _ uint64) error {
	w.mu.Lock()
	w.calls++
	gate := w.gate
	w.mu.Unlock()
	if gate != nil {
		<-gate
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executed = append(w.executed, percent)
	return w.err
}

func (w *paceWorker) paces() []uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]uint32(nil), w.executed...)
}

func (w *paceWorker) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, waitTimeout)
}

// Guards against a serving run that is harmed: a slow call with an older pace was executed
// after a newer one had halted the best-effort run.
func TestPaceCallsOfARunDoNotOvertakeEachOther(t *testing.T) {
	gate := make(chan struct{})
	worker := &paceWorker{gate: gate}
	a := NewAgent(&platform.NodeSettings{Name: "side-1"}, worker, boottime.Now)
	inc, key := &incarnation{id: workerID}, runKey{task1, 1}
	order := func(percent uint32) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.orderPace(context.Background(), inc, key, percent)
	}
	order(40)
	waitUntil(t, "first call under way", func() bool { return worker.started() == 1 })
	order(20)
	order(0)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, worker.started(), 1, "a second call while the first one is in flight")
	close(gate)
	waitUntil(t, "last pace executed", func() bool { return len(worker.paces()) == 2 })
	assert.DeepEqual(t, worker.paces(), []uint32{40, 0})
}

func TestPaceIsOrderedAgainWhileAnOlderCallMayArrive(t *testing.T) {
	clock := boottime.Instant(time.Hour)
	worker := &paceWorker{err: &platform.Error{Kind: platform.NoAnswer}}
	a := NewAgent(&platform.NodeSettings{Name: "side-1"}, worker, func() boottime.Instant { return clock })
	key := runKey{task1, 1}
	order := func(percent uint32) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.orderPace(context.Background(), &incarnation{id: workerID}, key, percent)
	}
	needed := func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.paceOrders[key].needed(0, clock)
	}
	ended := func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return !a.paceOrders[key].inFlight
	}
	order(40)
	waitUntil(t, "unanswered call", ended)
	worker.mu.Lock()
	worker.err = nil
	worker.mu.Unlock()
	order(0)
	waitUntil(t, "answered call", ended)
	assert.Assert(t, !needed())
	clock = clock.Add(paceRepeatInterval)
	assert.Assert(t, needed(), "the unanswered call may still be executed")
	clock = clock.Add(paceRepeatTime)
	assert.Assert(t, !needed())
}
