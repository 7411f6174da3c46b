package jobstate

import (
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
)

const (
	// crashesToIsolate is the number of crashes from which a task is isolated although none
	// of them came just after it had started.
	crashesToIsolate = 3
	// minConfirmedCrashes is the number of crashes under a run of the task from which it may be given
	// up. It is if it was alone in being started at the last one.
	minConfirmedCrashes = 2
	// maxCrashes is the number of crashes at which a task is given up otherwise, unconfirmed ones
	// included.
	maxCrashes = 4
	// maxCrashesAndExposures is the same including the crashes of which others are suspected
	// more. The platform allows no further start.
	maxCrashesAndExposures = 5
)

// CrashEvidence is what the crash of a worker says about a run that ended with it.
type CrashEvidence int

// Evidence of a crash.
const (
	// CrashExplained means that the cause is known to lie elsewhere.
	CrashExplained CrashEvidence = iota
	// CrashExposed means that other runs are suspected, since they had just started.
	CrashExposed
	// CrashUnexplained means that no run had just started, so that each may be the cause.
	CrashUnexplained
	// CrashSuspected means that the run had just started, CrashAlone that besides no other run
	// had, since the run was isolated.
	CrashSuspected
	CrashAlone
	// CrashUnconfirmed means that the run may just have started, but also that it may not have been
	// there: it never started, or had ended before the crash.
	CrashUnconfirmed
	// CrashUnreported means the same of a worker whose agent could not report the crash, as when
	// the machine of both fails.
	CrashUnreported
	// CrashUnseen means that the run had not just started, and may have ended before the crash, since the
	// worker had not shown it for some time.
	CrashUnseen
	// CrashAged means that the crash is kept by the age of the run, see Job.AddCrashAge.
	CrashAged
	// CrashRepeated means that the crash is one too many for the task, see Task.RepeatsCrash.
	CrashRepeated
)

// evidenceNames are the names of evidence in logs.
var evidenceNames = map[CrashEvidence]string{
	CrashExplained: "explained", CrashExposed: "exposed", CrashUnexplained: "unexplained", CrashSuspected: "suspected", CrashAlone: "alone",
	CrashUnconfirmed: "start unconfirmed", CrashUnreported: "crash unreported", CrashUnseen: "not seen before the crash", CrashAged: "kept by age", CrashRepeated: "repeated",
}

// RaisesSuspicion reports whether a crash with the evidence makes the task a suspect.
func (e CrashEvidence) RaisesSuspicion() bool {
	return e == CrashSuspected || e == CrashAlone || e == CrashUnconfirmed
}

// String returns the name of the evidence in logs.
func (e CrashEvidence) String() string { return evidenceNames[e] }

// NeedsIsolation reports whether no other task may be started beside the task's next run,
// so that a further crash has only one possible cause.
func (t *Task) NeedsIsolation() bool {
	return t.CrashesAtStart() || len(t.CrashAges) >= agedCrashesToIsolate
}

// CrashesAtStart reports whether the task needs isolation because of crashes that are counted, not
// kept by age.
func (t *Task) CrashesAtStart() bool { return t.Suspect || t.allCrashes() >= crashesToIsolate }

// AtCrashLimit reports whether the task has met as many crashes as it takes to give it up, but too few of
// them while it certainly ran.
func (t *Task) AtCrashLimit() bool {
	return t.Crashes+t.Exposures < minConfirmedCrashes && t.allCrashes() >= maxCrashes
}

// allCrashes returns the number of crashes that ended a run of the task and whose cause is not
// known to lie elsewhere.
func (t *Task) allCrashes() uint32 { return t.Crashes + t.UnconfirmedCrashes + t.Exposures }

// addCrash counts a crash by its evidence.
func (t *Task) addCrash(evidence CrashEvidence) {
	switch evidence {
	case CrashExplained, CrashAged:
	case CrashExposed:
		t.Exposures++
	case CrashUnexplained, CrashRepeated:
		t.Crashes++
	case CrashSuspected, CrashAlone:
		t.Crashes, t.Suspect = t.Crashes+1, true
	case CrashUnconfirmed:
		t.UnconfirmedCrashes, t.Suspect = t.UnconfirmedCrashes+1, true
	case CrashUnreported, CrashUnseen:
		t.UnconfirmedCrashes++
	}
}

// CrashRun ends a run whose worker crashed. The job fails if the task has certainly caused
// crashes; see Task.crashesWorkers.
func (j *Job) CrashRun(ref TaskRef, attempt uint32, evidence CrashEvidence, nowUnixMs int64) EndEffect {
	run := j.FindRun(ref, attempt)
	if run == nil {
		return EndEffect{}
	}
	_, task := j.Task(ref)
	task.Runs = removeRun(task.Runs, attempt)
	j.updateStarted()
	out := EndEffect{Changed: true}
	if evidence == CrashExplained || j.Ended() || task.Done {
		return out
	}
	task.addCrash(evidence)
	if task.crashesWorkers(evidence, run.Isolated) {
		j.endEarly(chervilv2.JobPhase_JOB_PHASE_FAILED, &out, nowUnixMs)
	}
	return out
}

// crashesWorkers reports whether the task has certainly caused crashes, the last one with the
// evidence: from the second one on if the task was alone in being started at the last,
// otherwise at maxCrashes. Exposures count if the last run was isolated, so that no other
// run is suspected, and in any case at maxCrashesAndExposures. Unconfirmed crashes alone show
// nothing, since the task may not have run.
func (t *Task) crashesWorkers(evidence CrashEvidence, isolated bool) bool {
	switch {
	case evidence == CrashAged:
		return false
	case evidence == CrashRepeated:
		return true
	case t.Crashes+t.Exposures < minConfirmedCrashes:
		return false
	case t.allCrashes() >= maxCrashesAndExposures:
		return true
	case isolated && evidence != CrashExposed && t.allCrashes() >= maxCrashes:
		return true
	case t.Crashes < minConfirmedCrashes:
		return false
	}
	return evidence == CrashAlone || t.Crashes+t.UnconfirmedCrashes >= maxCrashes
}

// CountCrash counts or keeps a crash to which the task was exposed at the age as one that it may
// have caused, once the suspects have turned out not to be its cause. It reports whether that changed the
// job.
func (j *Job) CountCrash(ref TaskRef, age time.Duration) bool {
	forgotten := j.ForgetExposure(ref)
	if j.AddCrashAge(ref, age) {
		return true
	}
	if !forgotten {
		return false
	}
	_, task := j.Task(ref)
	task.Crashes = min(task.Crashes+1, maxCrashes-1)
	return true
}

// ForgetExposure takes back a crash to which the task was exposed, once its cause is known. It
// reports whether that changed the job.
func (j *Job) ForgetExposure(ref TaskRef) bool {
	_, task := j.Task(ref)
	if task == nil || task.Done || j.Ended() || task.Exposures == 0 {
		return false
	}
	task.Exposures--
	return true
}

// RetractCrash takes back a crash of unknown cause. It reports whether that changed the job.
func (j *Job) RetractCrash(ref TaskRef) bool {
	_, task := j.Task(ref)
	if task == nil || task.Done || j.Ended() || task.Crashes == 0 {
		return false
	}
	task.Crashes--
	return true
}

// ClearSuspect takes back the suspicion of a task, and the crash that raised it. It reports
// whether the task was a suspect.
func (j *Job) ClearSuspect(ref TaskRef) bool {
	_, task := j.Task(ref)
	if task == nil || !task.Suspect {
		return false
	}
	task.Suspect = false
	switch {
	case task.UnconfirmedCrashes > 0:
		task.UnconfirmedCrashes--
	case task.Crashes > 0:
		task.Crashes--
	}
	return true
}

// ExposeSuspect turns the crash that made the task a suspect into an exposure, or leaves it
// unconfirmed if the start was. The suspicion ends unless another crash raises it. It reports
// whether the task was a suspect.
func (j *Job) ExposeSuspect(ref TaskRef, suspectedOtherwise bool) bool {
	_, task := j.Task(ref)
	if task == nil || !task.Suspect {
		return false
	}
	task.Suspect = suspectedOtherwise
	if task.UnconfirmedCrashes == 0 && task.Crashes > 0 {
		task.Crashes--
		task.Exposures++
	}
	return true
}

// DropRetainedCrash takes back a crash that ExposeSuspect left with the task. It reports whether
// that changed the job.
func (j *Job) DropRetainedCrash(ref TaskRef) bool {
	if j.ForgetExposure(ref) {
		return true
	}
	_, task := j.Task(ref)
	if task == nil || task.Done || j.Ended() || task.UnconfirmedCrashes == 0 {
		return false
	}
	task.UnconfirmedCrashes--
	return true
}

// TakeBackCrash takes back a crash that was counted with the evidence, since the worker has not crashed. The
// age is that of a crash that is kept by it. It reports whether that changed the job.
func (j *Job) TakeBackCrash(ref TaskRef, evidence CrashEvidence, age time.Duration) bool {
	_, task := j.Task(ref)
	if task == nil || task.Done || j.Ended() {
		return false
	}
	counts := []*uint32{&task.Crashes, &task.Exposures}
	switch evidence {
	case CrashExplained, CrashRepeated:
		return false
	case CrashAged:
		return j.RemoveCrashAge(ref, age)
	case CrashUnexplained:
		if j.RemoveCrashAge(ref, age) {
			return true
		}
	case CrashExposed:
		slices.Reverse(counts)
	case CrashUnconfirmed, CrashUnreported, CrashUnseen:
		counts = []*uint32{&task.UnconfirmedCrashes}
	}
	for _, count := range counts {
		if *count > 0 {
			*count--
			return true
		}
	}
	return false
}

// EndSuspicion clears the suspicion of a task without a change of its counts, unless one of them may be
// what raised it.
func (j *Job) EndSuspicion(ref TaskRef) {
	if _, task := j.Task(ref); task != nil && task.Crashes+task.UnconfirmedCrashes == 0 {
		task.Suspect = false
	}
}

// ForgetCrashes clears the crashes of a task that are counted. It reports whether there were any.
func (j *Job) ForgetCrashes(ref TaskRef) bool {
	_, task := j.Task(ref)
	if task == nil || task.allCrashes() == 0 && !task.Suspect {
		return false
	}
	task.Crashes, task.UnconfirmedCrashes, task.Exposures, task.Suspect = 0, 0, 0, false
	return true
}
