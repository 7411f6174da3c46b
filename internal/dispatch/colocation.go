package dispatch

import (
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/interference"
	"chervilridge/internal/plan"
	"chervilridge/internal/work"
)

const (
	// modelInterval is the least time between two sendings of what was learned.
	modelInterval = time.Second
	// modelStoreInterval is the least time between two records of it: learning it anew
	// takes some tens of seconds.
	modelStoreInterval = 3 * time.Second
	// slopeMilli is the unit of slopes in messages and records.
	slopeMilli = 1000
)

// recall takes in what an owner before this one learned.
func (e *Engine) recall(pairs []*chervilv2.Interference) {
	for _, p := range pairs {
		e.model.Set(interference.Pair{Serving: p.Serving, Filling: p.Filling}, float64(p.SlopeMilli)/slopeMilli)
	}
}

// storeModel has what was learned stored with the next batch, if it has changed.
func (e *Engine) storeModel(now boottime.Instant) {
	if e.model.Revision() == e.modelStored || now.Sub(e.modelStoredAt) < modelStoreInterval {
		return
	}
	e.modelStored, e.modelStoredAt = e.model.Revision(), now
	e.batch.learned = true
	e.wake()
}

// learned returns what was learned, of the serving images given or of all if that is nil.
func (e *Engine) learned(serves map[string]bool) []*chervilv2.Interference {
	var out []*chervilv2.Interference
	for _, p := range e.model.Pairs() {
		if serves == nil || serves[p.Serving] {
			out = append(out, &chervilv2.Interference{Serving: p.Serving, Filling: p.Filling, SlopeMilli: uint32(e.model.Slope(p) * slopeMilli)})
		}
	}
	return out
}

// atWork is the percentage at which a serving task serves.
const atWork = 100

// learn takes the tails of a worker's serving tasks in, one sample a job: its tasks share
// the load, and the median leaves out one that has a load of its own for a while.
func (e *Engine) learn(n *node) {
	now := e.clock()
	current := n.fillShares(func(h *held) uint32 { return h.gauge })
	use := interference.Upper(current, n.lastUse)
	n.lastUse = current
	tails := map[string][]uint32{}
	steps := map[string]*chervilv2.Step{}
	for key, h := range n.runs {
		if h.step.TargetLatencyMs > 0 && h.gauge > 0 && h.percent >= atWork {
			tails[key.ref.Job] = append(tails[key.ref.Job], h.gauge)
			steps[key.ref.Job] = h.step
		}
	}
	for job, seen := range tails {
		slices.Sort(seen)
		e.model.Observe(interference.Sample{
			At: now, Service: job, Image: steps[job].Image, Tasks: len(seen), Use: use,
			Headroom: float64(steps[job].TargetLatencyMs) / float64(seen[(len(seen)-1)/2]),
		})
	}
}

// fillShares returns what filling runs use, by image, as shares of the worker's
// processors.
func (n *node) fillShares(milli func(*held) uint32) map[string]float64 {
	out := map[string]float64{}
	if n.worker == nil || n.worker.CpuMilli == 0 {
		return out // it has not said what it offers
	}
	whole := float64(n.worker.CpuMilli)
	for _, h := range n.runs {
		if used := milli(h); h.step.Fills && used > 0 {
			out[h.step.Image] += float64(used) / whole
		}
	}
	return out
}

// shareModel tells the agents what was learned.
func (e *Engine) shareModel(now boottime.Instant) {
	e.model.Refresh(now)
	if e.model.Revision() == e.modelSent || now.Sub(e.modelAt) < modelInterval {
		return
	}
	e.modelSent, e.modelAt = e.model.Revision(), now
	for _, n := range e.nodes {
		if n.session != nil && n.serving > 0 {
			known := e.interference(n)
			n.session.edit(func(next *chervilv2.OwnerOrders) { next.Interference = known })
		}
	}
}

// interference returns what was learned of the images that serve on the node.
func (e *Engine) interference(n *node) []*chervilv2.Interference {
	serves := map[string]bool{}
	for _, h := range n.runs {
		if h.step.TargetLatencyMs > 0 {
			serves[h.step.Image] = true
		}
	}
	return e.learned(serves)
}

const (
	// slowPace is the pace, in percent, at which a filling run is better off elsewhere.
	slowPace = 30
	// slowLimit is for how long a run is slowed before it is moved: longer than a new
	// pace needs to show and to be taken back.
	slowLimit = 900 * time.Millisecond
	// moveInterval is the pause between two rounds of moves.
	moveInterval = 300 * time.Millisecond
)

// moveSlowed stops filling runs that are kept slow beside serving ones, if another
// worker could run them at full pace. Their checkpoints are taken along.
func (e *Engine) moveSlowed(now boottime.Instant) {
	view := e.operator()
	if now.Sub(e.movedAt) < moveInterval || view == nil || view.Config == nil {
		return
	}
	e.movedAt = now
	var workers []plan.Worker
	for _, n := range e.nodes {
		for _, h := range n.runs {
			if h.slow == 0 || now.Sub(h.slow) < slowLimit || h.run.Stopping || !h.step.Fills {
				continue
			}
			en := e.jobs[h.run.Ref.Job]
			queue := view.Config.Queue(en.job.Spec.Queue)
			if queue == nil || h.percent >= nearlyDone || !h.step.Checkpointable && h.percent > littleDone {
				continue
			}
			if workers == nil {
				workers = e.workers(view)
			}
			request := plan.Request{
				Key: stepKey(h.run.Ref), Step: h.step, Service: queue.Service, Indexes: []uint32{h.run.Ref.Index},
				Avoid: map[string]bool{n.key.ID: true}, Strict: true,
			}
			made := plan.Make(workers, []plan.Request{request}, e.model)
			if len(made.Grants) == 0 {
				continue
			}
			events.RunMoved.Log("task", h.run.Ref.String(), "attempt", h.run.Attempt, "node", n.name, "image", h.step.Image, "pace", h.pace,
				"slowFor", now.Sub(h.slow), "to", workers[made.Grants[0].Worker].Key.Node)
			e.stopAll([]*work.Run{h.run}, "slowed beside serving tasks")
		}
	}
}

// nearlyDone is the progress, in percent, from which a run is not moved any more,
// littleDone that up to which a run without checkpoints is.
const nearlyDone, littleDone = 85, 25
