package agent

import (
	"context"
	"sync/atomic"
	"time"

	"chervilridge/internal/agent/runner"
	"chervilridge/internal/process"
)

// health probes the endpoint and keeps the newest answer.
type health struct {
	run *runner.Runner
	ok  atomic.Bool
}

func newHealth(run *runner.Runner, bg *process.Background) *health {
	h := &health{run: run}
	bg.Go(h.loop)
	return h
}

func (h *health) good() bool { return h.ok.Load() }

func (h *health) loop(ctx context.Context) {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		h.ok.Store(h.run.Probe(ctx))
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
