package dispatch

import (
	"cmp"
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/jobstate"
)

const (
	// suspectAge is the age at the crash of its worker up to which a run is suspected of
	// having caused the crash.
	suspectAge = 250 * time.Millisecond
	// maxLoneAge bounds the highest possible age of a run that was started alone for its task to be the
	// cause of the crash. The time in which its start was called and repeated counts.
	maxLoneAge = 2 * suspectAge
	// minCommonCause and commonCausePercent are the number of workers, and the part of a
	// service, that crash at the same moment if the cause lies outside of them.
	minCommonCause     = 3
	commonCausePercent = 10
	// maxUnseen is how long before its crash a worker may last have shown a run for the run to count as
	// there. Agents call a worker that answers more often.
	maxUnseen = 500 * time.Millisecond
	// maxReportedAge caps the ages of runs in the reports of agents.
	maxReportedAge = 10 * time.Second
	// maxLoggedSuspects bounds the suspects named in a log line.
	maxLoggedSuspects = 20
)

// crashedRun is a run that ended with its worker.
type crashedRun struct {
	tracked *trackedRun
	// age is the age of the run at the crash, at least; maxAge is the same, at most, or 0 if that is not
	// known.
	age, maxAge time.Duration
	// started is set if the worker had confirmed the start, listed if a list of the worker named the run.
	started, listed bool
	// unseen is the time from the worker's last sign of the run to the crash, at most.
	unseen time.Duration
}

// certain reports whether the run was on the worker when it crashed.
func (r crashedRun) certain() bool { return r.started && r.unseen <= maxUnseen }

// ageAt returns the age of the run at the crash of its worker, at least. Agents report ages up to
// maxReportedAge.
func (tr *trackedRun) ageAt(crash boottime.Instant, reported time.Duration) time.Duration {
	if reported < maxReportedAge || tr.startedAt == 0 {
		return reported
	}
	return max(reported, crash.Sub(tr.startedAt))
}

// crashedRuns returns the runs on the node that ended in the crash at the given time, youngest
// first. A run that the agent does not know was never started.
func (n *node) crashedRuns(crash *chervilv2.WorkerCrash, at boottime.Instant) []crashedRun {
	worker := jobstate.WorkerKey{Node: n.name, ID: crash.WorkerId, BornUnixMs: crash.BornUnixMs}
	var out []crashedRun
	for _, r := range crash.Runs {
		ref, err := jobstate.ParseTaskRef(r.Task)
		if err != nil {
			events.RunUnknown.LogError(err, "node", n.name)
			continue
		}
		if tr := n.runs[runKey{ref, r.Attempt}]; tr != nil && tr.run.Worker == worker {
			out = append(out, crashedRun{
				tracked: tr, age: tr.ageAt(at, time.Duration(r.AgeMs)*time.Millisecond), maxAge: time.Duration(r.MaxAgeMs) * time.Millisecond,
				started: r.Started, listed: r.Listed, unseen: time.Duration(r.UnseenMs) * time.Millisecond,
			})
		}
	}
	slices.SortFunc(out, func(a, b crashedRun) int { return cmp.Compare(a.age, b.age) })
	return out
}

// suspectCount returns how many of the runs, youngest first, may have caused the crash.
func suspectCount(runs []crashedRun) int {
	n := slices.IndexFunc(runs, func(r crashedRun) bool { return r.age > suspectAge })
	if n < 0 {
		return len(runs)
	}
	return n
}

// handleCrash ends the runs of a crashed worker, as reported by its agent, with what the
// crash says about their tasks.
func (e *Engine) handleCrash(n *node, crash *chervilv2.WorkerCrash) {
	now := e.clock()
	at := now.Add(-time.Duration(crash.AgoMs) * time.Millisecond)
	runs := n.crashedRuns(crash, at)
	if len(runs) == 0 {
		return // the crash was reported before, or hit no run
	}
	if n.drainingSince != 0 { // ended by its maintenance
		for _, r := range runs {
			e.crashRun(n, r, jobstate.CrashExplained)
		}
		return
	}
	suspects := suspectCount(runs)
	cause := e.repeatedCause(n.serviceName(), runs, suspects, at)
	record := newCrashRecord(n, runs, suspects, at)
	if cause != nil {
		record = newCrashRecord(n, runs, 0, at)
		record.retracted = true
	}
	n.crashed = runs[0].tracked.run.Worker
	n.isolationCrashedAt = max(n.isolationCrashedAt, isolationCrash(runs, now))
	e.crashes.add(record, now)
	workerCrashes.increment(n.serviceName())
	events.WorkerCrashed.Log("node", n.name, "worker", crash.WorkerId, "born", crash.BornUnixMs, "runs", len(runs),
		"agoMs", crash.AgoMs, "youngestMs", runs[0].age.Milliseconds(), "suspects", taskNames(runs[:suspects]), "suspectCount", suspects)
	for i, r := range runs {
		switch {
		case cause == nil:
			record.counted[r.tracked.run.Ref] = e.crashRun(n, r, evidence(runs, suspects, i))
		case r.tracked == cause:
			e.crashRun(n, r, jobstate.CrashRepeated)
			e.removeCrashesCausedBy(r)
		default:
			e.crashRun(n, r, jobstate.CrashExplained)
		}
	}
	e.retractCommonCause(record)
	e.replan()
}

// alone reports whether the only suspect was isolated and had certainly just started. Agents of earlier
// versions report no highest age.
func alone(suspects []crashedRun) bool {
	if len(suspects) != 1 {
		return false
	}
	r := suspects[0]
	return r.certain() && r.maxAge > 0 && r.maxAge <= maxLoneAge && r.tracked.run.Isolated
}

// evidence returns what the crash says about the run with the index. The first runs are the
// suspects.
func evidence(runs []crashedRun, suspects, index int) jobstate.CrashEvidence {
	r := runs[index]
	switch {
	case index < suspects && alone(runs[:suspects]):
		return jobstate.CrashAlone
	case index < suspects && r.certain():
		return jobstate.CrashSuspected
	case index < suspects:
		return jobstate.CrashUnconfirmed
	case alone(runs[:suspects]):
		return jobstate.CrashExplained
	case !r.certain():
		return jobstate.CrashUnseen
	case suspects > 0:
		return jobstate.CrashExposed
	}
	return jobstate.CrashUnexplained
}

// crashRun ends a run with its worker, and gives up its job if the task is the cause. It returns the
// evidence by which the crash was counted.
func (e *Engine) crashRun(n *node, r crashedRun, evidence jobstate.CrashEvidence) jobstate.CrashEvidence {
	run := r.tracked.run
	n.removeRun(runKey{run.Ref, run.Attempt})
	en := e.jobs[run.Ref.Job]
	if r.started {
		delete(en.waits, run.Ref)
		en.job.ConfirmStart(run)
	}
	if evidence == jobstate.CrashUnexplained && en.job.AddCrashAge(run.Ref, r.age) {
		evidence = jobstate.CrashAged
	}
	if en.crashedAt == nil {
		en.crashedAt = map[jobstate.TaskRef]boottime.Instant{}
	}
	en.crashedAt[run.Ref] = e.clock()
	effect := en.job.CrashRun(run.Ref, run.Attempt, evidence, e.wall().UnixMilli())
	_, task := en.job.Task(run.Ref)
	events.RunLost.Log("task", run.Ref.String(), "attempt", run.Attempt, "node", n.name, "worker", run.Worker.ID, "born", run.Worker.BornUnixMs, "cause", "worker crashed",
		"evidence", evidence.String(), "ageMs", r.age.Milliseconds(), "maxAgeMs", r.maxAge.Milliseconds(), "unseenMs", r.unseen.Milliseconds(),
		"started", r.started, "listed", r.listed, "isolated", run.Isolated,
		"crashes", task.Crashes, "unconfirmedCrashes", task.UnconfirmedCrashes, "exposures", task.Exposures, "lateCrashes", len(task.CrashAges), "suspect", task.Suspect)
	if task.Suspect {
		taskSuspects.increment(en.job.Spec.Queue)
	}
	e.orderStops(effect.RunsToStop, "job given up")
	if effect.JobEnded {
		suspects, exposed := e.crashes.closeCausedBy(run.Ref)
		for _, cleared := range suspects {
			e.exposeSuspect(cleared, "another task caused the crash")
		}
		e.forgetExposures(exposed)
		tasksGivenUp.increment(en.job.Spec.Queue)
		events.TaskGivenUp.Log("task", run.Ref.String(), "crashes", task.Crashes, "unconfirmedCrashes", task.UnconfirmedCrashes, "exposures", task.Exposures, "lateCrashes", len(task.CrashAges),
			"attempt", run.Attempt, "node", n.name, "worker", run.Worker.ID, "born", run.Worker.BornUnixMs, "evidence", evidence.String(), "isolated", run.Isolated)
		events.JobEnded.Log("job", run.Ref.Job, "phase", en.job.Phase, "queue", en.job.Spec.Queue, "cause", "a task crashed its workers",
			"tookMs", en.job.EndedUnixMs-en.job.Spec.AcceptedUnixMs)
	}
	e.markDirty(run.Ref.Job, en)
	return evidence
}

// takeBackCrash takes back what the crash of the node's worker was counted as, since the worker lives.
func (e *Engine) takeBackCrash(n *node) {
	worker := n.crashed
	n.crashed = jobstate.WorkerKey{}
	if worker.BornUnixMs == 0 {
		return // another incarnation may have the same id
	}
	for _, c := range e.crashes.removeOf(worker) {
		events.CrashTakenBack.Log("node", worker.Node, "worker", worker.ID, "born", worker.BornUnixMs, "runs", len(c.counted), "agoMs", e.clock().Sub(c.at).Milliseconds())
		for ref, evidence := range c.counted {
			en := e.jobs[ref.Job]
			if en == nil || !en.job.TakeBackCrash(ref, evidence, c.ages[ref]) {
				continue
			}
			e.crashes.releaseRetained(ref)
			if evidence.RaisesSuspicion() && !e.crashes.suspected(ref) {
				en.job.EndSuspicion(ref)
			}
			e.markDirty(ref.Job, en)
		}
	}
}

// retractCommonCause takes back the suspicion that the crash of the record and those at the same
// moment raise, and what they count against older runs, if these crashes are so many that a
// cause outside of the workers is likely. A job that ran on most of the workers is such a
// cause itself: its tasks keep theirs.
func (e *Engine) retractCommonCause(record *crashRecord) {
	group := e.crashes.sameMoment(record)
	if len(group) < max(minCommonCause, e.serviceWorkers(record.service)*commonCausePercent/100) {
		return
	}
	shared := sharedJob(group)
	for _, c := range group {
		if !c.retracted {
			e.retract(c, shared)
		}
	}
}

// retract ends the suspicion that a crash raises, and takes back what it counts against older
// runs, except for those of the job keep.
func (e *Engine) retract(c *crashRecord, keep string) {
	c.closed, c.retracted = true, true
	others := func(refs []jobstate.TaskRef) []jobstate.TaskRef {
		return slices.DeleteFunc(slices.Clone(refs), func(r jobstate.TaskRef) bool { return r.Job == keep })
	}
	for _, ref := range others(c.allSuspects()) {
		e.exposeSuspect(ref, "many workers crashed at once")
	}
	for _, ref := range others(c.exposed) {
		en, age := e.jobs[ref.Job], c.ages[ref]
		if en == nil || !e.crashes.mayRetract(ref, c.at, retractionTime(en, ref, age)) {
			continue
		}
		changed := false
		if c.unexplained {
			changed = en.job.RemoveCrashAge(ref, age) || en.job.RetractCrash(ref)
		} else {
			changed = en.job.ForgetExposure(ref)
		}
		if changed {
			delete(c.counted, ref)
			e.markDirty(ref.Job, en)
		}
	}
}

// retractionTime returns the time in which one crash with an outside cause may be taken back from the
// task, whose run had the age at the crash.
func retractionTime(en *jobEntry, ref jobstate.TaskRef, age time.Duration) time.Duration {
	if step, _ := en.job.Task(ref); step == nil || !step.Spec.LongRunning {
		return crashRecordTTL
	}
	return max(crashRecordTTL, retractedRuns*age)
}

// clearSuspect takes back the suspicion of a task whose run has outlived its start. The crashes
// that raised it are then counted against the other runs that they ended, once no suspect is left.
func (e *Engine) clearSuspect(ref jobstate.TaskRef) {
	en := e.jobs[ref.Job]
	if en == nil || !en.job.ClearSuspect(ref) {
		return
	}
	events.SuspectCleared.Log("task", ref.String(), "reason", "outlived the start")
	suspectsCleared.increment(en.job.Spec.Queue)
	e.markDirty(ref.Job, en)
	for _, c := range e.crashes.clear(ref) {
		for _, other := range c.exposed {
			if en := e.jobs[other.Job]; en != nil && en.job.CountCrash(other, c.ages[other]) {
				c.counted[other] = jobstate.CrashUnexplained
				e.markDirty(other.Job, en)
			}
		}
	}
}

// exposeSuspect ends the suspicion of a task by a crash that has another cause, unless a further
// crash raises it too. A crash may have several causes, and they may come together each time, so
// that the task keeps it as an exposure until one of its runs has outlived its start.
func (e *Engine) exposeSuspect(ref jobstate.TaskRef, reason string) {
	en := e.jobs[ref.Job]
	if en == nil || !en.job.ExposeSuspect(ref, e.crashes.suspected(ref)) {
		return
	}
	e.crashes.retain(ref, e.clock())
	events.SuspectCleared.Log("task", ref.String(), "reason", reason)
	suspectsCleared.increment(en.job.Spec.Queue)
	e.markDirty(ref.Job, en)
}

// dropRetainedCrashes takes back the crashes that exposeSuspect left with a task, since a run of it
// has outlived its start.
func (e *Engine) dropRetainedCrashes(ref jobstate.TaskRef) {
	en := e.jobs[ref.Job]
	for range e.crashes.takeRetained(ref) {
		if en != nil && en.job.DropRetainedCrash(ref) {
			e.crashes.forget(ref)
			e.markDirty(ref.Job, en)
		}
	}
}

// forgetExposures takes back a crash to which the tasks were exposed.
func (e *Engine) forgetExposures(exposed []jobstate.TaskRef) {
	for _, ref := range exposed {
		if en := e.jobs[ref.Job]; en != nil && en.job.ForgetExposure(ref) {
			e.markDirty(ref.Job, en)
		}
	}
}

// taskNames returns the names of the tasks, at most maxLoggedSuspects.
func taskNames(runs []crashedRun) []string {
	out := make([]string, 0, min(len(runs), maxLoggedSuspects))
	for _, r := range runs[:cap(out)] {
		out = append(out, r.tracked.run.Ref.String())
	}
	return out
}

// serviceName returns the service of the node's worker, or "" if no worker is known.
func (n *node) serviceName() string { return n.worker.GetService() }
