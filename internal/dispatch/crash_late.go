package dispatch

import (
	"slices"
	"time"

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
		others := jobstate.OtherRuns{
			Elsewhere:  suspects > 0 || e.crashes.crashedWithout(r.tracked.run.Ref, service, since),
			Unrivalled: e.unrivalledCrashes(r, runs[suspects:]),
		}
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

// unrivalledCrashes returns the number of earlier crashes of the run's task at its age without a rival, see
// jobstate.OtherRuns. The runs are those that have now ended. Who was in the crashes before the owner's
// time is not known, so that these do not count.
func (e *Engine) unrivalledCrashes(r crashedRun, runs []crashedRun) int {
	ref, atAge := r.tracked.run.Ref, e.taskOf(r).CrashesAt(r.age)
	checked, unrivalled := 0, 0
	for _, c := range slices.Backward(e.crashes.records) {
		age, ok := c.ages[ref]
		if checked == atAge {
			break // the older records are of crashes that have been taken back
		}
		if !ok || !c.counts() || !jobstate.SameCrashAge(age, r.age) {
			continue
		}
		checked++
		rivalled := slices.ContainsFunc(c.exposed, func(o jobstate.TaskRef) bool {
			return o != ref && !jobstate.ClearlyFewer(e.crashesAt(o, c.ages[o], runs), atAge+1)
		})
		if !rivalled {
			unrivalled++
		}
	}
	return unrivalled
}

// crashesAt returns the number of crashes of a task at the age, with the one that has now ended the
// runs. Those of a task that is no longer known are counted from the records.
func (e *Engine) crashesAt(ref jobstate.TaskRef, age time.Duration, runs []crashedRun) int {
	crashes := 0
	if slices.ContainsFunc(runs, func(r crashedRun) bool { return r.tracked.run.Ref == ref && jobstate.SameCrashAge(r.age, age) }) {
		crashes = 1
	}
	if en := e.jobs[ref.Job]; en != nil {
		if _, task := en.job.Task(ref); task != nil {
			return crashes + task.CrashesAt(age)
		}
	}
	for _, c := range e.crashes.records {
		if other, ok := c.ages[ref]; ok && c.counts() && jobstate.SameCrashAge(other, age) {
			crashes++
		}
	}
	return crashes
}

// counts reports whether the crash may have been caused by any of the runs that it ended.
func (c *crashRecord) counts() bool { return c.unexplained && !c.retracted }

// removeCrashesCausedBy takes the crashes that a run has caused at its age back from the tasks that
// ended with it.
func (e *Engine) removeCrashesCausedBy(r crashedRun) {
	for _, c := range e.crashes.records {
		if age, ok := c.ages[r.tracked.run.Ref]; !ok || !c.unexplained || !jobstate.SameCrashAge(age, r.age) {
			continue
		}
		for _, ref := range c.exposed {
			if en := e.jobs[ref.Job]; en != nil && en.job.RemoveCrashAge(ref, c.ages[ref]) {
				delete(c.counted, ref)
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
