package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/plan"
)

const (
	// overdueAfter is the wait from which on a long-running task is placed despite obstacles, overdueRoomTime for how
	// long there must have been room for it. The platform expects it to run within 9 s after its last run, and within 3 s
	// once there is room.
	overdueAfter    = 5 * time.Second
	overdueRoomTime = 2 * time.Second
	// overdueInterval is the minimum interval between two placements of overdue tasks.
	overdueInterval = 500 * time.Millisecond
	// loggedWait is how long a long-running task has waited when it is logged with the obstacles to it.
	loggedWait = 3 * time.Second
	// waitLogInterval is the minimum interval between two logs of waiting tasks, maxLoggedWaits the most
	// steps that each names, of the maxExaminedWaits that have waited longest.
	waitLogInterval  = time.Second
	maxLoggedWaits   = 3
	maxExaminedWaits = 20
)

// Obstacles beside those that the planner knows.
const (
	obstacleQuarantine  plan.Obstacle = "quarantined"
	obstacleUnconfirmed plan.Obstacle = "start not confirmed"
	obstacleUnknown     plan.Obstacle = "not known"
)

// taskWait is the wait of a long-running task since its last confirmed start. A new owner does not know
// earlier waits.
type taskWait struct {
	since boottime.Instant
	// roomSince is since when there has been room for the task; 0 if there is none.
	roomSince boottime.Instant
	// notStarted counts the grants since then whose start was rejected.
	notStarted int
}

// observeWait records that a task has no run.
func (e *Engine) observeWait(en *jobEntry, ref jobstate.TaskRef, step *jobstate.Step) {
	if !step.Spec.LongRunning || en.waits[ref] != nil {
		return
	}
	if en.waits == nil {
		en.waits = map[jobstate.TaskRef]*taskWait{}
	}
	en.waits[ref] = &taskWait{since: e.clock()}
}

// obstructedTask is a long-running task that waits although workers have room for it.
type obstructedTask struct {
	ref  jobstate.TaskRef
	step *chervilv2.Step
	wait *taskWait
	// request is nil for a task that has a run, whose start is not confirmed.
	request *plan.Request
	// obstacles counts these workers by what keeps the task from them.
	obstacles map[plan.Obstacle]int
	node      string // of one of these workers
}

// add counts an obstacle on a worker.
func (t *obstructedTask) add(node string, obstacles ...plan.Obstacle) {
	for _, o := range obstacles {
		t.obstacles[o]++
		t.node = node
	}
}

// obstacleNames returns the obstacles with their counts, sorted.
func (t *obstructedTask) obstacleNames() []string {
	names := make([]string, 0, len(t.obstacles))
	for o, workers := range t.obstacles {
		names = append(names, fmt.Sprintf("%s: %d", o, workers))
	}
	slices.Sort(names)
	return names
}

// logWaits logs the long-running tasks that have waited for loggedWait although a worker has room, longest first, at
// most once per waitLogInterval. It is for the state after a planning round.
func (e *Engine) logWaits(view *operatorconfig.View, requests []plan.Request, planned plan.Plan, workers, quarantined []plan.Worker) {
	now := e.clock()
	if now.Sub(e.waitsLoggedAt) < waitLogInterval {
		return
	}
	e.waitsLoggedAt = now
	tasks := e.unconfirmedTasks(now)
	unplaced := map[plan.StepKey]bool{}
	for _, u := range planned.Unplaced {
		unplaced[u.Key] = true
	}
	for i := range requests {
		r := &requests[i]
		if !r.Step.LongRunning || !unplaced[r.Key] {
			continue
		}
		if t, ok := e.longestWait(r); ok && now.Sub(t.wait.since) >= loggedWait {
			tasks = append(tasks, t)
		}
	}
	slices.SortStableFunc(tasks, func(a, b obstructedTask) int { return cmp.Compare(a.wait.since, b.wait.since) })
	tasks = tasks[:min(len(tasks), maxExaminedWaits)]
	for i := range tasks {
		if tasks[i].request != nil {
			e.addObstacles(&tasks[i], view, workers, quarantined)
		}
	}
	tasks = slices.DeleteFunc(tasks, func(t obstructedTask) bool { return len(t.obstacles) == 0 })
	for _, t := range tasks[:min(len(tasks), maxLoggedWaits)] {
		for o := range t.obstacles {
			obstructedTasks.increment(string(o))
		}
		events.TaskObstructed.Log("task", t.ref.String(), "waited", now.Sub(t.wait.since), "workers", t.obstacleNames(), "node", t.node, "notStarted", t.wait.notStarted,
			"cpuMilli", t.step.CpuMilli, "memoryMB", t.step.MemoryMb, "steps", len(tasks))
	}
}

// placeOverdue adds grants for long-running tasks that have waited for overdueAfter, despite the obstacles to them.
// all are the workers that grants refer to, those of the round first, overdue the steps for which obstacles on them do
// not count.
func (e *Engine) placeOverdue(view *operatorconfig.View, planned *plan.Plan, requests []plan.Request, workers, quarantined []plan.Worker) (all []plan.Worker, overdue map[plan.StepKey]bool) {
	now := e.clock()
	if e.overduePlacedAt != 0 && now.Sub(e.overduePlacedAt) < overdueInterval {
		return workers, nil
	}
	e.overduePlacedAt = now
	waiting := e.longWaitingRequests(requests, planned.Grants)
	if len(waiting) == 0 {
		return workers, nil
	}
	all = slices.Concat(workers, quarantined)
	grants := plan.PlaceOverdue(all, waiting, e.model)
	hasRoom := map[jobstate.TaskRef]bool{}
	for _, g := range grants {
		hasRoom[taskRef(g.Key, g.Index)] = true
	}
	overdue = map[plan.StepKey]bool{}
	byKey := map[plan.StepKey]*plan.Request{}
	for i := range waiting {
		r := &waiting[i]
		overdue[r.Key], byKey[r.Key] = true, r
		for _, index := range r.Indexes {
			ref := taskRef(r.Key, index)
			wait := e.jobs[ref.Job].waits[ref]
			switch {
			case !hasRoom[ref]:
				wait.roomSince = 0
			case wait.roomSince == 0:
				wait.roomSince = now
			}
		}
	}
	for _, g := range grants {
		r, ref := byKey[g.Key], taskRef(g.Key, g.Index)
		wait := e.jobs[ref.Job].waits[ref]
		if !wait.overdue(now) || r.Step.Gang && !e.allOverdue(r, now) { // a gang starts as a whole
			continue
		}
		planned.Add(g)
		t := obstructedTask{ref: ref, step: r.Step, wait: wait, request: r, obstacles: map[plan.Obstacle]int{}}
		e.addObstacles(&t, view, workers, quarantined)
		events.OverdueTaskPlaced.Log("task", ref.String(), "waited", now.Sub(wait.since), "workers", t.obstacleNames(), "node", all[g.Worker].Key.Node,
			"notStarted", wait.notStarted)
	}
	return all, overdue
}

// overdue reports whether the task is to be placed despite obstacles.
func (w *taskWait) overdue(now boottime.Instant) bool {
	return now.Sub(w.since) >= overdueAfter && w.roomSince != 0 && now.Sub(w.roomSince) >= overdueRoomTime
}

// allOverdue reports whether all tasks of the request are overdue. They must wait.
func (e *Engine) allOverdue(r *plan.Request, now boottime.Instant) bool {
	waits := e.jobs[r.Key.Job].waits
	return !slices.ContainsFunc(r.Indexes, func(index uint32) bool { return !waits[taskRef(r.Key, index)].overdue(now) })
}

// longWaitingRequests returns the requests for the long-running tasks that will soon be overdue, or are, and have
// no grant.
func (e *Engine) longWaitingRequests(requests []plan.Request, grants []plan.Grant) []plan.Request {
	now := e.clock()
	granted := map[jobstate.TaskRef]bool{}
	for _, g := range grants {
		granted[taskRef(g.Key, g.Index)] = true
	}
	var out []plan.Request
	for _, r := range requests {
		if !r.Step.LongRunning || r.Isolated {
			continue
		}
		waits := e.jobs[r.Key.Job].waits
		var waiting []uint32
		for _, index := range r.Indexes {
			ref := taskRef(r.Key, index)
			if wait := waits[ref]; wait != nil && now.Sub(wait.since) >= overdueAfter-overdueRoomTime && !granted[ref] {
				waiting = append(waiting, index)
			}
		}
		if r.Step.Gang && len(waiting) < len(r.Indexes) || len(waiting) == 0 { // members of a gang are placed together
			continue
		}
		r.Indexes = waiting
		out = append(out, r)
	}
	return out
}

func taskRef(key plan.StepKey, index uint32) jobstate.TaskRef {
	return jobstate.TaskRef{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: index}
}

// unconfirmedTasks returns the tasks that have been granted a run whose start has not been confirmed for
// loggedWait.
func (e *Engine) unconfirmedTasks(now boottime.Instant) []obstructedTask {
	var out []obstructedTask
	for _, en := range e.activeJobs {
		for ref, wait := range en.waits {
			step, task := en.job.Task(ref)
			if en.job.Ended() || len(task.Runs) == 0 || now.Sub(wait.since) < loggedWait {
				continue
			}
			t := obstructedTask{ref: ref, step: step.Spec, wait: wait, obstacles: map[plan.Obstacle]int{}}
			for _, r := range task.Runs {
				t.add(r.Worker.Node, obstacleUnconfirmed)
			}
			out = append(out, t)
		}
	}
	return out
}

// longestWait returns the task of the request that has waited longest, if any waits.
func (e *Engine) longestWait(r *plan.Request) (obstructedTask, bool) {
	en := e.jobs[r.Key.Job]
	out := obstructedTask{step: r.Step, request: r, obstacles: map[plan.Obstacle]int{}}
	for _, index := range r.Indexes {
		ref := taskRef(r.Key, index)
		if wait := en.waits[ref]; wait != nil && (out.wait == nil || wait.since < out.wait.since) {
			out.ref, out.wait = ref, wait
		}
	}
	return out, out.wait != nil
}

// addObstacles counts what keeps the task from the workers that have room for it. Workers out of service do
// not count.
func (e *Engine) addObstacles(t *obstructedTask, view *operatorconfig.View, workers, quarantined []plan.Worker) {
	r, inUse := t.request, map[string]bool{}
	atIsolationLimit := r.AtIsolationLimit(workers)
	for i := range workers {
		w := &workers[i]
		inUse[w.Key.Node] = true
		obstacles := w.Obstacles(r, atIsolationLimit)
		if len(obstacles) == 0 && !r.Step.Gang && w.HasRoom(r) {
			obstacles = []plan.Obstacle{obstacleUnknown}
		}
		t.add(w.Key.Node, obstacles...)
	}
	for i := range quarantined {
		w := &quarantined[i]
		inUse[w.Key.Node] = true
		if w.HasRoom(r) {
			t.add(w.Key.Node, obstacleQuarantine)
		}
	}
	now := e.clock()
	for name, n := range e.nodes {
		if inUse[name] || n.outOfService(view) != "" {
			continue
		}
		if w := n.plannerWorker(e.model, now); w.HasRoom(r) {
			_, why := n.usable(view, now)
			t.add(name, plan.Obstacle(why))
		}
	}
}
