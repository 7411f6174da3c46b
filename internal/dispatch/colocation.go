package dispatch

import (
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/interference"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/plan"
)

const (
	// modelSendInterval is the minimum interval between two updates of the model to the
	// agents.
	modelSendInterval = time.Second
	// modelStoreInterval is the minimum interval between two writes of the model to the
	// store. The model is stored because learning it again takes tens of seconds.
	modelStoreInterval = 3 * time.Second
	// slopeScale converts slopes to the thousandths used in messages and records.
	slopeScale = 1000
)

// restoreModel loads the slopes that an earlier owner stored.
func (e *Engine) restoreModel(pairs []*chervilv2.Interference) {
	for _, p := range pairs {
		e.model.SetSlope(interference.Pair{Serving: p.Serving, BestEffort: p.Filling}, float64(p.SlopeMilli)/slopeScale)
	}
}

// storeModel stores the model with the next batch if it has changed.
func (e *Engine) storeModel(now boottime.Instant) {
	if e.model.Revision() == e.modelStoredRevision || now.Sub(e.modelStoredAt) < modelStoreInterval {
		return
	}
	e.modelStoredRevision, e.modelStoredAt = e.model.Revision(), now
	e.batch.modelChanged = true
	e.wake()
}

// encodeModel returns the model's slopes for the given serving images, or for all if
// images is nil.
func (e *Engine) encodeModel(images map[string]bool) []*chervilv2.Interference {
	var out []*chervilv2.Interference
	for _, p := range e.model.Pairs() {
		if images == nil || images[p.Serving] {
			out = append(out, &chervilv2.Interference{Serving: p.Serving, Filling: p.BestEffort, SlopeMilli: uint32(e.model.Slope(p) * slopeScale)})
		}
	}
	return out
}

// servingPercent is the progress, in percent, at which a serving task has started
// serving.
const servingPercent = 100

// observeLatency feeds the tail latencies of a worker's serving tasks to the model, one
// sample per job: the tasks of a job share the load, and their median ignores a task with
// a temporary load of its own.
func (e *Engine) observeLatency(n *node) {
	now := e.clock()
	current := n.bestEffortShares(func(tr *trackedRun) uint32 { return tr.gauge })
	usage := interference.MaxUse(current, n.lastBestEffort)
	n.lastBestEffort = current
	latencies := map[string][]uint32{}
	steps := map[string]*chervilv2.Step{}
	for key, tr := range n.runs {
		if tr.step.TargetLatencyMs > 0 && tr.gauge > 0 && tr.percent >= servingPercent {
			latencies[key.ref.Job] = append(latencies[key.ref.Job], tr.gauge)
			steps[key.ref.Job] = tr.step
		}
	}
	for job, sorted := range latencies {
		slices.Sort(sorted)
		e.model.Observe(interference.Sample{
			At: now, Service: job, Image: steps[job].Image, Tasks: len(sorted), BestEffortUse: usage,
			Headroom: float64(steps[job].TargetLatencyMs) / float64(sorted[(len(sorted)-1)/2]),
		})
	}
}

// bestEffortShares returns the CPU use of best-effort runs by image, as fractions of the
// worker's CPU. cpuMilli gives the use of one run in thousandths of a CPU.
func (n *node) bestEffortShares(cpuMilli func(*trackedRun) uint32) map[string]float64 {
	out := map[string]float64{}
	if n.worker == nil || n.worker.CpuMilli == 0 {
		return out // the worker has not reported its capacity
	}
	capacity := float64(n.worker.CpuMilli)
	for _, tr := range n.runs {
		if used := cpuMilli(tr); tr.step.Fills && used > 0 {
			out[tr.step.Image] += float64(used) / capacity
		}
	}
	return out
}

// sendModel sends the model to the agents that run serving tasks, if it has changed.
func (e *Engine) sendModel(now boottime.Instant) {
	e.model.Refresh(now)
	if e.model.Revision() == e.modelSentRevision || now.Sub(e.modelSentAt) < modelSendInterval {
		return
	}
	e.modelSentRevision, e.modelSentAt = e.model.Revision(), now
	for _, n := range e.nodes {
		if n.session != nil && n.servingRuns > 0 {
			pairs := e.interferenceFor(n)
			n.session.update(func(next *chervilv2.OwnerOrders) { next.Interference = pairs })
		}
	}
}

// interferenceFor returns the model's slopes for the serving images on the node.
func (e *Engine) interferenceFor(n *node) []*chervilv2.Interference {
	images := map[string]bool{}
	for _, tr := range n.runs {
		if tr.step.TargetLatencyMs > 0 {
			images[tr.step.Image] = true
		}
	}
	return e.encodeModel(images)
}

const (
	// slowPacePercent is the pace at or below which a best-effort run counts as slowed.
	slowPacePercent = 30
	// maxSlowTime is how long a run may be slowed before it is moved. It is longer than a
	// new pace takes to show an effect and to be reverted.
	maxSlowTime = 900 * time.Millisecond
	// moveInterval is the minimum interval between two checks for runs to move.
	moveInterval = 300 * time.Millisecond
)

// moveSlowedRuns stops best-effort runs that have been slowed by serving tasks for too
// long, if another worker has room to run them at full pace. They resume there from their
// checkpoints.
func (e *Engine) moveSlowedRuns(now boottime.Instant) {
	view := e.operatorView()
	if now.Sub(e.lastMoveCheck) < moveInterval || view == nil || view.Config == nil {
		return
	}
	e.lastMoveCheck = now
	var workers []plan.Worker
	for _, n := range e.nodes {
		for _, tr := range n.runs {
			if tr.slowSince == 0 || now.Sub(tr.slowSince) < maxSlowTime || tr.run.Stopping || !tr.step.Fills {
				continue
			}
			queue := e.jobs[tr.run.Ref.Job].queue
			if queue == nil || tr.percent >= maxMovePercent || !tr.step.Checkpointable && tr.percent > maxRestartPercent {
				continue
			}
			if workers == nil {
				workers, _ = e.workers(view)
			}
			request := plan.Request{
				Key: stepKey(tr.run.Ref), Step: tr.step, Service: queue.Service, Indexes: []uint32{tr.run.Ref.Index},
				Avoid: map[string]bool{n.key.ID: true}, StrictAvoid: true,
			}
			planned := plan.Place(workers, []plan.Request{request}, e.model)
			if len(planned.Grants) == 0 {
				continue
			}
			events.RunMoved.Log("task", tr.run.Ref.String(), "attempt", tr.run.Attempt, "node", n.name, "image", tr.step.Image, "pace", tr.pacePercent,
				"slowFor", now.Sub(tr.slowSince), "to", workers[planned.Grants[0].Worker].Key.Node)
			e.orderStops([]*jobstate.Run{tr.run}, "slowed by serving tasks on the same worker")
		}
	}
}

// A run is not moved from maxMovePercent of its progress on, one without checkpoints only
// up to maxRestartPercent, as it has to start over.
const maxMovePercent, maxRestartPercent = 85, 25
