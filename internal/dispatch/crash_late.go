package dispatch

import (
	"slices"

	"chervilridge/internal/boottime"
	"chervilridge/internal/jobstate"
)

// repeatedCause returns the run that has caused the crash as its task has caused others long after
// their starts, or nil if there is none. The first runs are the suspects.
func (e *Engine) repeatedCause(service string, runs []crashedRun, suspects int, at boottime.Instant) *trackedRun {
	if alone(runs[:suspects]) {
		return nil
	}
	for i, r := range runs[suspects:] {
		task := e.taskOf(r)
		if !r.certain() || len(task.CrashAges) == 0 {
			continue
		}
		since := at.Add(-2 * (task.CrashTime() + r.age))
		others := jobstate.OtherRuns{Elsewhere: suspects > 0 || e.crashes.crashedWithout(r.tracked.run.Ref, service, since)}
		for k, o := range runs[suspects:] {
			if k != i {
				other := e.taskOf(o)
				others.MostCrashes = max(others.MostCrashes, len(other.CrashAges))
				others.MostAtAge = max(others.MostAtAge, other.CrashesAt(o.age))
			}
		}
		if task.RepeatsCrash(r.age, others) {
			return r.tracked
		}
	}
	return nil
}

// removeCrashesCausedBy takes the crashes that a run has caused at its age back from the tasks that
// ended with it.
func (e *Engine) removeCrashesCausedBy(r crashedRun) {
	for _, c := range e.crashes.records {
		if age, ok := c.ages[r.tracked.run.Ref]; !ok || !c.unexplained || !jobstate.SameCrashAge(age, r.age) {
			continue
		}
		for _, ref := range c.exposed {
			if en := e.jobs[ref.Job]; en != nil && en.job.RemoveCrashAge(ref, c.ages[ref]) {
				e.markDirty(ref.Job, en)
			}
		}
	}
}

// taskOf returns the task of a run.
func (e *Engine) taskOf(r crashedRun) *jobstate.Task {
	_, task := e.jobs[r.tracked.run.Ref.Job].job.Task(r.tracked.run.Ref)
	return task
}

// crashedWithout reports whether a worker of the service has crashed without a run of the task and for
// no known reason, after the given time.
func (l *crashLog) crashedWithout(ref jobstate.TaskRef, service string, since boottime.Instant) bool {
	return slices.ContainsFunc(l.records, func(c *crashRecord) bool {
		return c.service == service && c.unexplained && c.at > since && !slices.Contains(c.exposed, ref)
	})
}
