package workeragent

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/platform"
)

// silentWorker answers holds, and leaves starts and stops unanswered while silent is set. It records
// the tasks that it is called to start.
type silentWorker struct {
	Worker
	silent  atomic.Bool
	started sync.Map
}

func (w *silentWorker) RenewLease(context.Context, string, platform.LeaseRenewal) (platform.RunReport, error) {
	return platform.RunReport{Clock: time.Second, BornUnixMs: 7}, nil
}

func (w *silentWorker) Start(_ context.Context, _ string, s platform.StartRequest) (time.Duration, error) {
	w.started.Store(s.Task, true)
	return time.Second, w.failure()
}

func (w *silentWorker) Stop(context.Context, string, string, uint32, uint64) (time.Duration, error) {
	return time.Second, w.failure()
}

func (w *silentWorker) failure() error {
	if w.silent.Load() {
		return &platform.Error{Kind: platform.NoAnswer, Cause: context.DeadlineExceeded}
	}
	return nil
}

// Guards against starts that wait in the agent for a worker without answers, and reach it after its data
// centre was evacuated.
func TestStartThatWaitedTooLongIsNotTried(t *testing.T) {
	var advanced atomic.Int64
	clock := func() boottime.Instant { return boottime.Now().Add(time.Duration(advanced.Load())) }
	w := &silentWorker{}
	a := NewAgent(&platform.NodeSettings{Name: "side-1", Bounds: platform.Bounds{MaxLease: 6 * time.Second, ReactionTime: time.Minute}}, w, clock)
	a.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, BornUnixMs: 7, Service: "desk", Sequence: 1, CPUMilli: 1000})
	a.holdOnce(t.Context())
	w.silent.Store(true)
	order := func(task string) {
		start := &chervilv2.StartOrder{Task: task, Attempt: 1, WorkerId: workerID}
		a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000, Starts: []*chervilv2.StartOrder{start}}, clock())
	}
	for i := range orderConcurrency {
		order(fmt.Sprintf("00000000000000aa.0.0.%d", i))
	}
	eventually(t, "all slots are taken", func() bool { return len(a.orderSlots) == orderConcurrency })
	order(task1)
	advanced.Store(int64(maxOrderAge + time.Millisecond))
	w.silent.Store(false)
	eventually(t, "reported as not started", func() bool {
		a.holdOnce(t.Context())
		return resultOf(a.buildReport(), task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	_, called := w.started.Load(task1)
	assert.Assert(t, !called, "the worker was called to start it")
	order(task2)
	eventually(t, "a later order is carried out", func() bool {
		_, called := w.started.Load(task2)
		return called
	})
}
