package agent

import (
	"context"
	"sync/atomic"
	"time"

	"chervilridge/internal/agent/runner"
	"chervilridge/internal/process"
)

// healthChecker probes the endpoint every probeInterval and keeps the last result.
type healthChecker struct {
	agentRunner *runner.Runner
	lastResult  atomic.Bool
}

func newHealthChecker(agentRunner *runner.Runner, bg *process.Background) *healthChecker {
	h := &healthChecker{agentRunner: agentRunner}
	bg.Go(h.loop)
	return h
}

func (h *healthChecker) healthy() bool { return h.lastResult.Load() }

func (h *healthChecker) loop(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		h.lastResult.Store(h.agentRunner.Probe(ctx))
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
