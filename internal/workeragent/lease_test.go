package workeragent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/standin/taskworker"
	"chervilridge/platform"
)

// A worker that falls silent right after its agent was restarted still holds the leases that the
// previous agent renewed.
func TestRestartedAgentDoesNotReportRunsAsEndedThatAPreviousLeaseKeepsAlive(t *testing.T) {
	h := newAddressHarness(t, workerID, time.Minute)
	h.waitFor("time of birth known", func(*chervilv2.AgentReport) bool {
		h.agent.mu.Lock()
		defer h.agent.mu.Unlock()
		return h.agent.incarnation != nil && h.agent.incarnation.workerClockAt != 0
	})
	h.worker.SetFaults(taskworker.Faults{Hang: true})
	born := h.agent.incarnation.bornUnixMs
	silentSince := time.Now()
	h.server.CloseClientConnections()
	for {
		h.agent.mu.Lock()
		unanswered := h.agent.incarnation.unansweredHolds
		h.agent.mu.Unlock()
		if unanswered >= maxUnansweredHolds {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	h.agent.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, BornUnixMs: born, Service: "desk", Sequence: 1, CPUMilli: 32000})
	h.waitFor("gone", func(r *chervilv2.AgentReport) bool { return r.Worker.GetGone() })
	assert.Assert(t, time.Since(silentSince) >= h.agent.node.Bounds.MaxLease, "after %v", time.Since(silentSince))
}
