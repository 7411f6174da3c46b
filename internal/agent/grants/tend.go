package grants

import (
	"context"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/platform"
)

// DefaultCheckpointEvery is the time between checkpoints of a running attempt.
const DefaultCheckpointEvery = 10 * time.Second

// guardShare is the part of a grant that may be given up to stop in time.
const guardShare = 4

// Tend looks after the running attempts: it saves their progress now and then,
// and stops those whose grant is about to run out while the worker still takes
// orders. guard is how long before the end of the grant an attempt is stopped, at
// most a guardShare of the grant.
func (g *Grants) Tend(ctx context.Context, guard time.Duration) {
	list, err := g.worker.List(ctx)
	if err != nil {
		return
	}
	for _, s := range list {
		if s.Phase == platform.PhaseRunning {
			g.tendOne(ctx, s.Key, guard)
		}
	}
}

func (g *Grants) tendOne(ctx context.Context, key platform.TaskKey, guard time.Duration) {
	var since, until, saved time.Time
	g.change(key, func(h *hold) { since, until, saved = h.since, h.until, h.checkpointed })
	now := time.Now()
	guard = min(guard, until.Sub(since)/guardShare)
	switch {
	case !until.IsZero() && until.Sub(now) < guard:
		g.lapse(ctx, key)
	case now.Sub(saved) >= g.options.CheckpointEvery:
		g.save(ctx, key)
	}
}

// lapse stops an attempt that nobody renewed. A renewal may have come meanwhile.
func (g *Grants) lapse(ctx context.Context, key platform.TaskKey) {
	g.serial.Lock()
	defer g.serial.Unlock()
	if _, err := g.end(ctx, key, pb.ReleaseReason_RELEASE_REASON_LOST); err == nil {
		events.TaskGrantLapsed.Log("job", key.JobID, "index", key.Index, "attempt", key.Attempt)
	}
}

func (g *Grants) save(ctx context.Context, key platform.TaskKey) {
	callCtx, cancel := g.callContext(ctx)
	defer cancel()
	handle, err := g.worker.Checkpoint(callCtx, key)
	if err != nil {
		return
	}
	g.change(key, func(h *hold) { h.checkpoint, h.checkpointed = handle, time.Now() })
}

// renew extends an attempt on the worker up to the end of its grant, counted
// from when the heartbeat was sent. The lease is measured just before the call
// and leaves room for a call that takes effect late.
func (g *Grants) renew(ctx context.Context, key platform.TaskKey, end time.Time) {
	lease := time.Until(end) - g.options.CallDelay
	if lease <= 0 || ctx.Err() != nil {
		return
	}
	callCtx, cancel := g.callContext(ctx)
	defer cancel()
	if g.worker.Renew(callCtx, key, lease) != nil {
		return
	}
	g.change(key, func(h *hold) { h.since, h.until, h.doubtful = time.Now(), end, false })
}
