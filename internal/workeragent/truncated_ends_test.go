package workeragent

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/platform"
)

// listedEnds is how many ends a worker lists in one response.
const listedEnds = 500

// newUnlistedEndHarness returns an agent that makes a hold call only when the test does. Its worker has the
// end of task1 behind as many other ends as it lists. The clock of the agent is ahead by the time.
func newUnlistedEndHarness(t *testing.T, ahead *atomic.Int64) *harness {
	h := newHarness(t, time.Millisecond)
	h.cancel()
	client := platform.NewWorkerClient(strings.TrimPrefix(h.server.URL, "http://"))
	start := func(task string) {
		_, err := client.Start(t.Context(), workerID, platform.StartRequest{Task: task, Attempt: 1, LeaseExpiresAt: time.Minute, Fence: 1})
		assert.NilError(t, err)
	}
	idle := func() bool { return h.worker.Running() == 0 }
	for i := range listedEnds {
		start(fmt.Sprintf("00000000000000aa.0.0.%d", i))
	}
	eventually(t, "the other runs have ended", idle)
	start(task1)
	eventually(t, "the run of the task has ended", idle)
	node := &platform.NodeSettings{Name: "side-1", Bounds: platform.Bounds{MaxLease: 6 * time.Second, ReactionTime: time.Minute}}
	h.agent = NewAgent(node, client, func() boottime.Instant { return boottime.Now().Add(time.Duration(ahead.Load())) })
	return h
}

// Guards against a second run of a task that has ended done: the worker refuses to start the run again, and its
// end stands behind the ends that one list names (review/12).
func TestRunWhoseEndIsNotListedYetIsNotReportedAsNotStarted(t *testing.T) {
	start := &chervilv2.OwnerOrders{Starts: []*chervilv2.StartOrder{{Task: task1, Attempt: 1, WorkerId: workerID}}}
	stop := &chervilv2.OwnerOrders{Stops: []*chervilv2.StopOrder{{Task: task1, Attempt: 1}}}
	for name, c := range map[string]struct {
		orders *chervilv2.OwnerOrders
		// age is the age of the agent process: a young one fences off what it does not start.
		age time.Duration
		// draining keeps the agent from calling the worker.
		draining bool
	}{
		"refused by the worker":          {orders: start, age: unansweredStartTTL},
		"refused to a restarted agent":   {orders: start},
		"not tried":                      {orders: start, age: unansweredStartTTL, draining: true},
		"not tried by a restarted agent": {orders: start, draining: true},
		"stopped":                        {orders: stop, age: unansweredStartTTL},
	} {
		t.Run(name, func(t *testing.T) {
			ahead := &atomic.Int64{}
			h := newUnlistedEndHarness(t, ahead)
			a := h.agent
			ahead.Store(int64(c.age))
			a.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, Service: "desk", Sequence: 1, CPUMilli: 32000, Draining: c.draining})
			a.holdOnce(t.Context())
			order := func(o *chervilv2.OwnerOrders) {
				o.Epoch, o.HoldMs = 1, 6000
				a.HandleOrders(t.Context(), o, a.clock())
			}
			order(c.orders)
			eventually(t, "outcome known", func() bool {
				a.mu.Lock()
				defer a.mu.Unlock()
				return len(a.unconfirmedResults) == 1
			})
			for range 3 {
				a.holdOnce(t.Context())
				r := a.buildReport()
				assert.Equal(t, len(r.Ends), listedEnds)
				assert.Equal(t, resultOf(r, task1), chervilv2.StartAnswer_START_ANSWER_UNKNOWN, "the run has ended done, and its end is not listed yet")
			}
			order(&chervilv2.OwnerOrders{WorkerId: workerID, BornUnixMs: a.incarnation.bornUnixMs, StoredEnd: listedEnds})
			a.holdOnce(t.Context())
			r := a.buildReport()
			assert.Equal(t, len(r.Ends), 1)
			assert.Equal(t, r.Ends[0].Task, task1)
			assert.Equal(t, r.Ends[0].Kind, chervilv2.EndKind_END_KIND_DONE)
			assert.Equal(t, resultOf(r, task1), chervilv2.StartAnswer_START_ANSWER_UNKNOWN)
		})
	}
}

// Guards against a start that stays unresolved: the worker has refused it, and has more ends than it lists.
func TestRefusedStartIsReportedOnceAllEndsAreListed(t *testing.T) {
	const neverStarted = "00000000000000bb.0.0.0"
	ahead := &atomic.Int64{}
	h := newUnlistedEndHarness(t, ahead)
	a := h.agent
	a.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, Service: "desk", Sequence: 1, CPUMilli: 32000})
	a.holdOnce(t.Context())
	order := func(o *chervilv2.OwnerOrders) {
		o.Epoch, o.HoldMs = 1, 6000
		a.HandleOrders(context.WithoutCancel(t.Context()), o, a.clock())
	}
	order(&chervilv2.OwnerOrders{Stops: []*chervilv2.StopOrder{{Task: neverStarted, Attempt: 1}}})
	eventually(t, "outcome known", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.unconfirmedResults) == 1
	})
	a.holdOnce(t.Context())
	a.requestFullReport()
	r := a.buildReport()
	assert.Equal(t, resultOf(r, neverStarted), chervilv2.StartAnswer_START_ANSWER_UNKNOWN)
	assert.Assert(t, len(r.Runs) == 1 && r.Runs[0].Starting, "the owner would repeat the order")
	order(&chervilv2.OwnerOrders{WorkerId: workerID, BornUnixMs: a.incarnation.bornUnixMs, StoredEnd: listedEnds})
	a.holdOnce(t.Context())
	assert.Equal(t, resultOf(a.buildReport(), neverStarted), chervilv2.StartAnswer_START_ANSWER_NOT_STARTED)
}
