package workeragent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/platform"
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

// refusingWorker refuses connections once it is gone; until then it lists no runs.
type refusingWorker struct {
	Worker
	err error
}

func (w *refusingWorker) RenewLease(context.Context, string, platform.LeaseRenewal) (platform.RunReport, error) {
	if w.err != nil {
		return platform.RunReport{}, w.err
	}
	return platform.RunReport{Clock: time.Second, BornUnixMs: 7}, nil
}

// Guards against an agent that stops before the store has the end of a worker that it reports without an ID, or as gone since
// its leases have expired.
func TestAgentStaysWhileALossItReportsIsNotStored(t *testing.T) {
	t.Run("restarted agent", func(t *testing.T) {
		a := freshAgent(&refusingWorker{err: &platform.Error{Kind: platform.ConnectionRefused}})
		for range maxRefusedConnections {
			a.holdOnce(t.Context())
		}
		assert.Assert(t, a.buildReport().Worker.GetGone(), "the owner drops all runs of the node")
		assert.Assert(t, a.lossUnconfirmed(), "the agent stops although no owner has stored that")
	})
	t.Run("expired leases", func(t *testing.T) {
		now := boottime.Instant(time.Hour)
		w := &refusingWorker{}
		a := NewAgent(&platform.NodeSettings{Name: "side-1", Bounds: platform.Bounds{MaxLease: 6 * time.Second, ReactionTime: time.Minute}}, w, func() boottime.Instant { return now })
		freshBeat(a, 1)
		a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000}, now)
		a.holdOnce(t.Context())
		a.holdOnce(t.Context())
		w.err = &platform.Error{Kind: platform.NoAnswer, Cause: context.DeadlineExceeded}
		for range 20 {
			now = now.Add(time.Second)
			a.holdOnce(t.Context())
		}
		assert.Assert(t, a.buildReport().Worker.GetGone(), "the owner drops all runs of the node")
		assert.Assert(t, a.lossUnconfirmed(), "the agent stops although no owner has stored that")
	})
}
