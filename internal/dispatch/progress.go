package dispatch

import (
	"fmt"
	"sync/atomic"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
)

// stallCheckInterval is how often the progress is checked.
const stallCheckInterval = 250 * time.Millisecond

// progress is what the ticks of an engine leave for readers that must not wait for its lock: while the
// engine stands still, whoever holds the lock does not give it back.
type progress struct {
	ticks atomic.Uint64
	// tickedAt is the boottime.Instant of the last completed tick, agentsSeenAt the one at which an
	// agent was last attached.
	tickedAt, agentsSeenAt atomic.Int64
}

// record records a completed tick. agentsSeenAt is when an agent was last attached.
func (p *progress) record(now, agentsSeenAt boottime.Instant) {
	p.agentsSeenAt.Store(int64(agentsSeenAt))
	p.tickedAt.Store(int64(now))
	p.ticks.Add(1)
}

// SinceProgress returns the time since the engine last completed a tick. It exceeds tickInterval by
// much only if the engine stands still or the process was suspended.
func (e *Engine) SinceProgress() time.Duration {
	return e.clock().Sub(boottime.Instant(e.progress.tickedAt.Load()))
}

// TimeWithoutAgents returns for how long no agent has been attached.
func (e *Engine) TimeWithoutAgents() time.Duration {
	return e.clock().Sub(boottime.Instant(e.progress.agentsSeenAt.Load()))
}

// lastAgentSeen returns when an agent was last attached: now if one is.
func (e *Engine) lastAgentSeen(now boottime.Instant) boottime.Instant {
	last := e.epochStart
	for _, n := range e.nodes {
		if n.session != nil {
			return now
		}
		last = max(last, n.lastReport)
	}
	return last
}

// watchProgress calls Settings.Stalled if no tick completes for MaxLease, until the epoch has ended. By
// then all leases that this owner has granted have expired. The time is counted in checks, so
// that the time for which the process was suspended does not count.
func (e *Engine) watchProgress() {
	t := time.NewTicker(stallCheckInterval)
	defer t.Stop()
	seen, idle := e.progress.ticks.Load(), time.Duration(0)
	for {
		select {
		case <-t.C:
		case <-e.ended:
			return
		}
		ticks := e.progress.ticks.Load()
		if ticks != seen {
			seen, idle = ticks, 0
			continue
		}
		if idle += stallCheckInterval; idle < e.settings.Bounds.MaxLease {
			continue
		}
		events.EngineStalled.Log("epoch", e.Epoch(), "node", e.settings.Node, "for", idle)
		if e.settings.Stalled == nil {
			return
		}
		e.settings.Stalled(fmt.Sprintf("the engine of epoch %d has made no progress for %v", e.Epoch(), idle))
		return
	}
}
