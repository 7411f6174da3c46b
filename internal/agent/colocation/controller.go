package colocation

import (
	"context"
	"time"

	"chervilridge/internal/events"
	"chervilridge/internal/platform"
)

// Service tells how the service beside the worker does.
type Service interface {
	// Recent returns the 99th percentile over a short window, its target and the
	// number of answers in it; no target is 0.
	Recent() (p99, target time.Duration, samples int64)
	LoadMilli() uint32
	Name() string
	// Alone returns the latency that the service would have without batch work; 0
	// if that is not known.
	Alone() time.Duration
}

// Batch is the batch work on the worker.
type Batch interface {
	Attempts(ctx context.Context) ([]Attempt, error)
	Throttle(ctx context.Context, key platform.TaskKey, shareMilli uint32) error
	// Evict checkpoints and stops an attempt; the next heartbeat reports it.
	Evict(ctx context.Context, key platform.TaskKey) error
	Clock() time.Duration
}

// Controller runs the control in rounds. Only one goroutine may use it.
type Controller struct {
	policy  Policy
	service Service
	batch   Batch
	state   State
	spent   bool // whether the spent budget was logged
}

// New returns a controller that throttles nothing yet.
func New(policy Policy, service Service, batch Batch) *Controller {
	return &Controller{policy: policy, service: service, batch: batch, state: NewState()}
}

// Run decides and acts at each interval until the context ends.
func (c *Controller) Run(ctx context.Context, interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.Round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Round decides once and carries the decision out. What fails is decided anew in
// the next round, since an attempt's share changes only when its worker took it.
func (c *Controller) Round(ctx context.Context) {
	attempts, err := c.batch.Attempts(ctx)
	if err != nil {
		return
	}
	p99, target, samples := c.service.Recent()
	snap := Snapshot{
		Now: c.batch.Clock(), P99: p99, Target: target, Alone: c.service.Alone(), Samples: samples,
		LoadMilli: c.service.LoadMilli(), Attempts: attempts,
	}
	var actions Actions
	actions, c.state = Decide(c.policy, snap, c.state)
	for _, s := range actions.Shares {
		c.share(ctx, snap, s)
	}
	if actions.Evict != nil {
		c.evict(ctx, snap, actions.Evict)
	}
	if actions.Spent && !c.spent {
		events.EvictionSpent.Log("service", c.service.Name(), "p99", snap.P99, "target", snap.Target, "budget", c.policy.MaxEvictions)
	}
	c.spent = actions.Spent
}

func (c *Controller) share(ctx context.Context, snap Snapshot, s Share) {
	if err := c.batch.Throttle(ctx, s.Key, s.ToMilli); err != nil {
		events.ColocationUndone.LogError(err, "job", s.Key.JobID, "index", s.Key.Index, "attempt", s.Key.Attempt, "shareMilli", s.ToMilli)
		return
	}
	event := events.BatchThrottled
	if s.ToMilli > s.FromMilli {
		event = events.BatchRestored
	}
	event.Log("job", s.Key.JobID, "index", s.Key.Index, "attempt", s.Key.Attempt, "fromMilli", s.FromMilli, "toMilli", s.ToMilli,
		"service", c.service.Name(), "p99", snap.P99, "target", snap.Target, "alone", snap.Alone, "samples", snap.Samples, "loadMilli", snap.LoadMilli)
}

func (c *Controller) evict(ctx context.Context, snap Snapshot, a *Attempt) {
	if err := c.batch.Evict(ctx, a.Key); err != nil {
		events.ColocationUndone.LogError(err, "job", a.Key.JobID, "index", a.Key.Index, "attempt", a.Key.Attempt, "evict", true)
		return
	}
	events.BatchEvicted.Log("job", a.Key.JobID, "index", a.Key.Index, "attempt", a.Key.Attempt, "jobClass", a.JobClass,
		"ran", a.Ran, "unsaved", a.Unsaved, "cpuMilli", a.CPUMilli,
		"service", c.service.Name(), "p99", snap.P99, "target", snap.Target, "samples", snap.Samples)
}
