package workeragent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
)

// Guards against an agent that stops while only an owner that may be replaced knows that its worker has ended.
func TestStoppingAgentWaitsUntilTheEndOfItsWorkerIsStored(t *testing.T) {
	h := newAddressHarness(t, workerID, time.Minute)
	h.register(workerID)
	born := h.born(workerID)
	h.worker.Close()
	h.server.Close()
	h.waitFor("gone", func(r *chervilv2.AgentReport) bool { return r.Worker.GetGone() })
	tracker := &reportTracker{agent: h.agent, sentAt: map[uint64]boottime.Instant{}}
	for _, c := range []struct {
		name      string
		orders    *chervilv2.OwnerOrders
		confirmed bool
	}{
		{"processed", &chervilv2.OwnerOrders{}, false},
		{"another worker", &chervilv2.OwnerOrders{WorkerEndStored: true, WorkerId: "i-other", BornUnixMs: born}, false},
		{"earlier incarnation", &chervilv2.OwnerOrders{WorkerEndStored: true, WorkerId: workerID, BornUnixMs: born - 1}, false},
		{"stored", &chervilv2.OwnerOrders{WorkerEndStored: true, WorkerId: workerID, BornUnixMs: born}, true},
	} {
		c.orders.Epoch, c.orders.Report = 1, tracker.nextSequence()
		assert.Assert(t, tracker.handleOrders(c.orders))
		assert.Equal(t, h.agent.lossUnconfirmed(), !c.confirmed, c.name)
	}
}
