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
	// loggedWait is how long a long-running task has waited when it is logged with the obstacles to it.
	loggedWait = 3 * time.Second
	// waitLogInterval is the minimum interval between two logs of waiting tasks, maxLoggedWaits the most
	// steps that each names.
	waitLogInterval = time.Second
	maxLoggedWaits  = 3
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
			e.addObstacles(&t, view, r, workers, quarantined)
			tasks = append(tasks, t)
		}
	}
	tasks = slices.DeleteFunc(tasks, func(t obstructedTask) bool { return len(t.obstacles) == 0 })
	slices.SortStableFunc(tasks, func(a, b obstructedTask) int { return cmp.Compare(a.wait.since, b.wait.since) })
	for _, t := range tasks[:min(len(tasks), maxLoggedWaits)] {
		var names []string
		for o, workers := range t.obstacles {
			names = append(names, fmt.Sprintf("%s: %d", o, workers))
			obstructedTasks.increment(string(o))
		}
		slices.Sort(names)
		events.TaskObstructed.Log("task", t.ref.String(), "waited", now.Sub(t.wait.since), "workers", names, "node", t.node, "notStarted", t.wait.notStarted,
			"cpuMilli", t.step.CpuMilli, "memoryMB", t.step.MemoryMb, "steps", len(tasks))
	}
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
	out := obstructedTask{step: r.Step, obstacles: map[plan.Obstacle]int{}}
	for _, index := range r.Indexes {
		ref := jobstate.TaskRef{Job: r.Key.Job, Occurrence: r.Key.Occurrence, Step: r.Key.Step, Index: index}
		if wait := en.waits[ref]; wait != nil && (out.wait == nil || wait.since < out.wait.since) {
			out.ref, out.wait = ref, wait
		}
	}
	return out, out.wait != nil
}

// addObstacles counts what keeps the task from the workers that have room for it. Workers out of service do
// not count.
func (e *Engine) addObstacles(t *obstructedTask, view *operatorconfig.View, r *plan.Request, workers, quarantined []plan.Worker) {
	inUse := map[string]bool{}
	for i := range workers {
		w := &workers[i]
		inUse[w.Key.Node] = true
		obstacles := w.Obstacles(workers, r)
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
