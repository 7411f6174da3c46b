package dispatch

import (
	"slices"
	"time"

	"chervilridge/internal/boottime"
)

const (
	// soundAge is the age from which a long-running task has no part in earlier crashes, and up
	// to which a task is isolated because of many crashes.
	soundAge = 10 * time.Second
	// maxIsolatedPercent bounds the workers of a service with isolated tasks at once, and thus
	// the loss to a burst of tasks that crash their workers.
	maxIsolatedPercent = 40
	// workerReturnTime is how long a crashed worker usually takes to return, at most.
	workerReturnTime = 5 * time.Second
)

// checkSuspect ends the isolation of a run, and the suspicion of its task, once the worker
// has outlived the time in which suspects crash. The worker was seen alive at lastSeen.
func (e *Engine) checkSuspect(tr *trackedRun, lastSeen boottime.Instant) {
	en := e.jobs[tr.run.Ref.Job]
	_, task := en.job.Task(tr.run.Ref)
	if tr.startedAt == 0 || task == nil {
		return
	}
	outlived := lastSeen.Sub(tr.startedAt)
	if outlived > suspectAge {
		if task.Suspect {
			e.clearSuspect(tr.run.Ref)
		}
		e.dropRetainedCrashes(tr.run.Ref)
	}
	if tr.step.LongRunning && outlived > soundAge && en.job.ForgetCrashes(tr.run.Ref) {
		e.markDirty(tr.run.Ref.Job, en)
	}
	if tr.run.Isolated && (outlived > soundAge || outlived > suspectAge && !task.NeedsIsolation()) {
		tr.run.Isolated = false
		e.replan()
	}
}

// maxIsolated returns the most workers of a service that may have an isolated task, without
// those that such tasks have crashed and that are not back yet: maxIsolatedPercent of the
// service, or the idle part of it if that is more.
func (e *Engine) maxIsolated(service string, now boottime.Instant) int {
	percent := max(maxIsolatedPercent, e.idlePercent(service))
	limit := max(1, e.serviceWorkers(service)*percent/100)
	for _, n := range e.nodes {
		if n.serviceName() == service && n.isolationCrashedAt != 0 && now.Sub(n.isolationCrashedAt) < workerReturnTime && !n.worker.GetListed() {
			limit--
		}
	}
	return limit
}

// idlePercent returns the part of the CPU of a service's workers that nothing uses.
func (e *Engine) idlePercent(service string) int {
	var used, capacity int64
	for _, n := range e.nodes {
		if n.worker != nil && n.serviceName() == service {
			used += n.used.CPUMilli + n.bestEffortCPUMilli
			capacity += n.capacity().CPUMilli
		}
	}
	return 100 - int(100*min(used, capacity)/max(capacity, 1))
}

// serviceWorkers returns the number of known workers of a service.
func (e *Engine) serviceWorkers(service string) int {
	count := 0
	for _, n := range e.nodes {
		if n.worker != nil && n.serviceName() == service {
			count++
		}
	}
	return count
}

// isolationCrash returns now if one of the runs was isolated, and 0 otherwise.
func isolationCrash(runs []crashedRun, now boottime.Instant) boottime.Instant {
	if slices.ContainsFunc(runs, func(r crashedRun) bool { return r.tracked.run.Isolated }) {
		return now
	}
	return 0
}
