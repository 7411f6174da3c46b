package dispatch

import (
	"slices"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/jobstate"
)

const (
	// soundAge is the age from which a long-running task has no part in earlier crashes at lower
	// ages, and up to which a task is isolated because of many crashes.
	soundAge = 10 * time.Second
	// maxIsolatedPercent bounds the workers of a service with isolated tasks at once, and thus
	// the loss to a burst of tasks that crash their workers.
	maxIsolatedPercent = 40
	// maxIsolationAge bounds the isolation because of the ages at crashes, maxLongIsolations the
	// tasks for each worker that may be isolated for so long.
	maxIsolationAge   = 5 * time.Second
	maxLongIsolations = 2
	// uncertainRetryInterval is the time between the starts of a task that may have crashed many workers, or
	// none. Workers that leave starts unanswered may recover in it.
	uncertainRetryInterval = 2 * time.Second
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
		tr.outlivedStart = true
		if task.Suspect {
			e.clearSuspect(tr.run.Ref)
		}
		e.dropRetainedCrashes(tr.run.Ref)
	}
	if tr.step.LongRunning && outlived > soundAge {
		forgotten := en.job.ForgetCrashes(tr.run.Ref)
		if forgotten {
			e.crashes.forget(tr.run.Ref)
		}
		if en.job.OutliveCrashes(tr.run.Ref, outlived) || forgotten {
			e.markDirty(tr.run.Ref.Job, en)
		}
	}
	if tr.run.Isolated && (outlived > soundAge || outlived > max(suspectAge, e.isolationAge(task)) && !task.CrashesAtStart()) {
		tr.run.Isolated = false
		e.replan()
	}
}

// isolationAge returns the age up to which a run of the task is isolated because of the ages at its
// crashes, so that it can be told from runs that are started after it on its worker. If many tasks need
// that, they are spread over the workers without.
func (e *Engine) isolationAge(task *jobstate.Task) time.Duration {
	age := task.IsolationAge()
	if age == 0 {
		return 0
	}
	tasks := 0
	count := func(t *jobstate.Task) {
		if t.IsolationAge() > 0 {
			tasks++
		}
	}
	for _, en := range e.activeJobs {
		en.job.ForEachWaitingTask(func(_ jobstate.TaskRef, _ *jobstate.Step, t *jobstate.Task) { count(t) })
		en.job.ForEachRun(func(r *jobstate.Run) {
			_, t := en.job.Task(r.Ref)
			count(t)
		})
	}
	if tasks > maxLongIsolations*len(e.nodes) {
		return 0
	}
	return min(age, maxIsolationAge)
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

// awaitsRetry reports whether the task is not to be started yet, because it has met so many crashes of
// workers of which none shows that it was there. A new owner does not know the time of the last one.
func (e *Engine) awaitsRetry(en *jobEntry, ref jobstate.TaskRef, task *jobstate.Task) bool {
	return task.AtCrashLimit() && e.clock().Sub(max(en.crashedAt[ref], e.epochStart)) < uncertainRetryInterval
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
