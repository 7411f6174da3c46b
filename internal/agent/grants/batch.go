package grants

import (
	"context"
	"time"

	"chervilridge/internal/agent/colocation"
	"chervilridge/internal/platform"
)

// Attempts implements colocation.Batch. The share of an attempt that an earlier
// incarnation started is not known.
func (g *Grants) Attempts(ctx context.Context) ([]colocation.Attempt, error) {
	list, err := g.worker.List(ctx)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []colocation.Attempt
	for _, s := range list {
		if s.Phase == platform.PhaseRunning {
			out = append(out, g.batchAttempt(s))
		}
	}
	return out, nil
}

func (g *Grants) batchAttempt(s platform.TaskStatus) colocation.Attempt {
	a := colocation.Attempt{Key: s.Key, CPUMilli: s.Used.GetCpuMilli(), Ran: s.Ran, Unsaved: s.Ran}
	h := g.held[s.Key]
	if h == nil {
		return a
	}
	a.JobClass, a.ShareMilli = h.jobClass, h.shareMilli
	if h.reserved != nil {
		a.CPUMilli = h.reserved.CpuMilli
	}
	if len(h.checkpoint) > 0 {
		a.Unsaved = min(s.Ran, time.Since(h.checkpointed))
	}
	return a
}

// Throttle implements colocation.Batch.
func (g *Grants) Throttle(ctx context.Context, key platform.TaskKey, shareMilli uint32) error {
	callCtx, cancel := g.callContext(ctx)
	defer cancel()
	if err := g.worker.Throttle(callCtx, key, shareMilli); err != nil {
		return err
	}
	g.change(key, func(h *hold) { h.shareMilli = shareMilli })
	return nil
}
