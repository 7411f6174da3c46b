package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
)

// quarantine lets runs fail until the worker is quarantined, and returns for how long.
func quarantine(h *health, now boottime.Instant) time.Duration {
	for !h.recordFailure(now) {
	}
	return h.quarantineTime
}

func TestQuarantinesGrowUntilTheWorkerIsSound(t *testing.T) {
	h := &health{}
	now := boottime.Instant(time.Hour)
	assert.Equal(t, quarantine(h, now), firstQuarantine)
	now = now.Add(firstQuarantine)
	assert.Equal(t, quarantine(h, now), 2*firstQuarantine, "it fails right after the first one")
	const manySuccesses = 10
	for range manySuccesses {
		h.recordSuccess()
	}
	now = now.Add(maxQuarantine)
	assert.Equal(t, quarantine(h, now), firstQuarantine, "it was sound in between")
}

// Guards against a service that loses all its workers: the bound on quarantined workers
// counted those of all services.
func TestQuarantineLeavesWorkersOfEachService(t *testing.T) {
	r := newRig(t)
	for _, node := range []string{"side-1", "side-2", "side-3", "side-4"} {
		r.attachWith(node, &chervilv2.Worker{Id: "worker-" + node, BornUnixMs: 1, Service: "other", Zone: "pnw-a", CpuMilli: 1000, MemoryMb: 1000, Listed: true})
	}
	a := r.attach("side-5", 1000)
	r.grantLease(a)
	r.engine.mu.Lock()
	quarantine(&r.engine.nodes["side-5"].health, r.clock.read())
	r.engine.mu.Unlock()
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts on the only worker of its service", func() bool { return len(a.started()) == 1 })
}
