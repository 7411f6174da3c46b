package dispatch

import (
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/plan"
	"chervilridge/internal/work"
)

// fullPace is the pace of a run that is not slowed, in percent.
const fullPace = 100

const (
	// suspectAfter is how long a worker may be silent before it gets no new tasks; it
	// answers at least every half second when it is sound.
	suspectAfter = 1200 * time.Millisecond
	// leastGrant is what must be left of the right to hold runs on a worker for a task
	// to be placed there.
	leastGrant = 2 * time.Second
	// repeatAfter is how old an order must be to be given again when the worker does
	// not list the run: longer than an order and a report take.
	repeatAfter = 900 * time.Millisecond
	// rackPrefix marks the label that names a worker's rack.
	rackPrefix = "r"
)

type runKey struct {
	ref     work.TaskRef
	attempt uint32
}

// node is an agent and the worker beside it.
type node struct {
	name    string
	session *session
	heard   boottime.Instant
	// granted is until when the leases that this owner granted may last.
	granted boottime.Instant
	worker  *chervilv2.Worker
	key     work.WorkerKey
	runs    map[runKey]*held
	used    plan.Resources
	serving int
	servingMilli,
	fillMilli int64
	perStep map[plan.StepKey]int
	// lastEnd is the newest end taken in, storedEnd the newest one stored.
	lastEnd, storedEnd int64
	health             health
	// emptying is since when the node gets no tasks, for an upkeep; 0 if it does.
	emptying boottime.Instant
	// lastUse is what filling runs used by the list before, by image.
	lastUse map[string]float64
}

// held is a run as the owner accounts for it.
type held struct {
	run     *work.Run
	step    *chervilv2.Step
	ordered boottime.Instant
	percent uint32
	gauge   uint32
	// pace is the percentage at which the agent lets the run work, slow since when it is
	// below slowPace.
	paced bool
	pace  uint32
	slow  boottime.Instant
}

// node returns the node of the name.
func (e *Engine) node(name string) *node {
	n, ok := e.nodes[name]
	if !ok {
		n = &node{name: name, runs: map[runKey]*held{}, perStep: map[plan.StepKey]int{}}
		e.nodes[name] = n
	}
	return n
}

// lapsedAt is when everything on the node has certainly ended if its agent stays
// silent: the owner before this one may have granted leases until ConfirmLimit after
// its last confirmation, which was before this epoch. What owners before this one are
// known to have granted nothing for counts.
func (n *node) lapsedAt(e *Engine) boottime.Instant {
	lease := e.settings.Bounds.MaxHold + e.settings.Bounds.MaxHold/50 + clockMargin
	inherited := e.took.Add(ConfirmLimit + lease - e.silence.known(n.name))
	return max(inherited, n.granted.Add(e.settings.Bounds.MaxHold/50+clockMargin))
}

func stepKey(r work.TaskRef) plan.StepKey {
	return plan.StepKey{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step}
}

// add accounts for a run.
func (n *node) add(e *Engine, r *work.Run) *held {
	step, _ := e.jobs[r.Ref.Job].job.Task(r.Ref)
	h := &held{run: r, step: step.Spec, ordered: e.clock()}
	n.runs[runKey{r.Ref, r.Attempt}] = h
	n.account(h, 1)
	return h
}

// remove takes a run that has ended out of the account.
func (n *node) remove(key runKey) {
	if h, ok := n.runs[key]; ok {
		n.account(h, -1)
		delete(n.runs, key)
	}
}

func (n *node) account(h *held, sign int64) {
	needs := plan.Needs(h.step)
	n.used = n.used.Add(plan.Resources{CPUMilli: sign * needs.CPUMilli, MemoryMB: sign * needs.MemoryMB, GPUs: sign * needs.GPUs})
	if h.step.Fills {
		n.fillMilli += sign * int64(h.step.CpuMilli)
	}
	if h.step.TargetLatencyMs > 0 {
		n.serving += int(sign)
		n.servingMilli += sign * int64(h.step.CpuMilli)
	}
	if h.step.MaxPerWorker > 0 {
		key := stepKey(h.run.Ref)
		if n.perStep[key] += int(sign); n.perStep[key] == 0 {
			delete(n.perStep, key)
		}
	}
}

// capacity returns what the worker offers.
func (n *node) capacity() plan.Resources {
	return plan.Resources{CPUMilli: int64(n.worker.CpuMilli), MemoryMB: int64(n.worker.MemoryMb), GPUs: int64(n.worker.Gpus)}
}

// usable reports whether the worker may get tasks now, and why not.
func (n *node) usable(evacuated map[string]bool, now boottime.Instant) (bool, string) {
	switch {
	case n.session == nil:
		return false, "agent not attached"
	case n.granted.Sub(now) < leastGrant:
		return false, "no lease granted"
	case n.worker == nil || n.worker.Gone || !n.worker.Listed:
		return false, "worker unknown"
	case n.worker.Draining:
		return false, "draining"
	case n.emptying != 0:
		return false, "emptied for its upkeep"
	case evacuated[n.worker.Zone]:
		return false, "data centre evacuated"
	case time.Duration(n.worker.SilentMs)*time.Millisecond > suspectAfter:
		return false, "worker silent"
	}
	return true, ""
}

func (n *node) rack() string {
	for _, l := range n.worker.Labels {
		if len(l) > 1 && l[:1] == rackPrefix && slices.Contains([]byte("0123456789"), l[1]) {
			return l
		}
	}
	return ""
}

// loseRuns drops the runs of a node's worker, of all its lives or of all but the given
// one: they have certainly ended.
func (e *Engine) loseRuns(n *node, but *work.WorkerKey, cause string) {
	for key, h := range n.runs {
		if but != nil && h.run.Worker == *but {
			continue
		}
		n.remove(key)
		en := e.jobs[key.ref.Job]
		en.job.Drop(key.ref, key.attempt)
		e.markDirty(key.ref.Job, en)
		events.RunLost.Log("task", key.ref.String(), "attempt", key.attempt, "node", n.name, "worker", h.run.Worker.ID, "cause", cause)
	}
	e.replan()
}

// runInfos tells an agent that attaches how the runs on its worker share it.
func (n *node) runInfos() []*chervilv2.RunInfo {
	out := make([]*chervilv2.RunInfo, 0, len(n.runs))
	for key, h := range n.runs {
		out = append(out, &chervilv2.RunInfo{
			Task: key.ref.String(), Attempt: key.attempt, Fills: h.step.Fills, TargetLatencyMs: h.step.TargetLatencyMs,
			Image: h.step.Image, CpuMilli: h.step.CpuMilli,
		})
	}
	return out
}

// paceMilli returns the processors that a filling run uses at its pace, in thousandths.
func (h *held) paceMilli() int64 {
	if !h.paced {
		return int64(h.step.CpuMilli)
	}
	return int64(h.step.CpuMilli) * int64(min(h.pace, fullPace)) / fullPace
}
