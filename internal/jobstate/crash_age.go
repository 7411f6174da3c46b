package jobstate

import (
	"slices"
	"time"
)

const (
	// minCrashAge and maxCrashAge bound the ages that are kept. Crashes at lower ones are
	// counted; at higher ones ordinary failures of workers are likelier than a task that fails so late.
	minCrashAge = time.Second
	maxCrashAge = time.Hour
	// maxCrashAges bounds the crashes that are kept by age; the newest stay.
	maxCrashAges = 8
	// outlivedFactor is how many times the age at a crash a run has to reach to show that the
	// task did not cause that crash.
	outlivedFactor = 2
	// Two crashes are at one age if it differs by ageTolerance at most, or by one part in
	// ageToleranceParts.
	ageTolerance      = 500 * time.Millisecond
	ageToleranceParts = 16
	// isolationParts is the part of the age at a crash by which two starts on one worker have
	// to differ so that their ages at the next crash differ by more than the tolerance.
	isolationParts = 15
	// agedCrashesToIsolate is the number of crashes kept by age from which a task is isolated
	// during its start.
	agedCrashesToIsolate = 2
	// minRepeatedCrashes is the number of earlier crashes from which a task may be given up at the
	// next one, maxRepeatedCrashes that from which it is. The platform allows no further start.
	minRepeatedCrashes = 3
	maxRepeatedCrashes = 4
)

// AddCrashAge keeps a crash that a long-running task may have caused at the age. It reports
// whether the crash is one to keep by its age; otherwise it is to be counted.
func (j *Job) AddCrashAge(ref TaskRef, age time.Duration) bool {
	step, task := j.Task(ref)
	if task == nil || j.Ended() || !step.Spec.LongRunning || age < minCrashAge {
		return false
	}
	if age > maxCrashAge {
		return true
	}
	task.CrashAges = append(task.CrashAges, age.Truncate(time.Millisecond))
	if len(task.CrashAges) > maxCrashAges {
		task.CrashAges = slices.Delete(task.CrashAges, 0, 1)
	}
	return true
}

// RemoveCrashAge takes back the newest crash at exactly the age. It reports whether there was
// one.
func (j *Job) RemoveCrashAge(ref TaskRef, age time.Duration) bool {
	_, task := j.Task(ref)
	if task == nil {
		return false
	}
	for i, kept := range slices.Backward(task.CrashAges) {
		if kept == age.Truncate(time.Millisecond) {
			task.CrashAges = slices.Delete(task.CrashAges, i, i+1)
			return true
		}
	}
	return false
}

// OutliveCrashes takes back the crashes that a run of the task would have caused before the age, if
// the task had caused them. It reports whether there were any.
func (j *Job) OutliveCrashes(ref TaskRef, age time.Duration) bool {
	_, task := j.Task(ref)
	if task == nil {
		return false
	}
	before := len(task.CrashAges)
	task.CrashAges = slices.DeleteFunc(task.CrashAges, func(a time.Duration) bool { return age > outlivedFactor*a })
	return len(task.CrashAges) < before
}

// CrashesAt returns the number of crashes of the task at the age or close to it.
func (t *Task) CrashesAt(age time.Duration) int {
	n := 0
	for _, a := range t.CrashAges {
		if SameCrashAge(a, age) {
			n++
		}
	}
	return n
}

// SameCrashAge reports whether two crashes are at one age.
func SameCrashAge(a, b time.Duration) bool {
	return (a - b).Abs() <= max(ageTolerance, max(a, b)/ageToleranceParts)
}

// OtherRuns is what the tasks of the other runs on a crashed worker have in common with one
// that may have caused the crash.
type OtherRuns struct {
	// MostCrashes and MostAtAge are the most crashes of one of them, in all and at its age.
	MostCrashes, MostAtAge int
	// Elsewhere is set if there have been crashes of which the task is not a possible cause.
	Elsewhere bool
	// Unrivalled is the number of earlier crashes at this age in which each other task that lost a run has
	// had clearly fewer at its own age, see ClearlyFewer.
	Unrivalled int
}

// ClearlyFewer reports whether a task with the number of crashes at one age, the newest included, is no rival
// of a task with the other number.
func ClearlyFewer(crashes, than int) bool { return crashes+1 < than }

// RepeatsCrash reports whether a further crash at the age has the task as its cause. It has if
//   - it may have caused minRepeatedCrashes at this age, and each other run clearly fewer,
//   - or minRepeatedCrashes without a rival, even if one of the other runs is a rival now,
//   - or maxRepeatedCrashes, and each other run fewer,
//   - or maxRepeatedCrashes at ages within outlivedFactor of each other, while none of the other runs
//     may have caused several and no other crash came since the first one.
func (t *Task) RepeatsCrash(age time.Duration, others OtherRuns) bool {
	atAge := t.CrashesAt(age)
	switch {
	case atAge >= minRepeatedCrashes && atAge > min(others.MostCrashes, others.MostAtAge+1):
		return true
	case min(atAge, others.Unrivalled) >= minRepeatedCrashes:
		return true
	case atAge >= maxRepeatedCrashes && atAge > others.MostAtAge:
		return true
	}
	return len(t.CrashAges) >= maxRepeatedCrashes && t.agesWithinFactor(age) && others.MostCrashes < minRepeatedCrashes && !others.Elsewhere
}

// agesWithinFactor reports whether the ages at all crashes, and the given one, are within
// outlivedFactor of each other.
func (t *Task) agesWithinFactor(age time.Duration) bool {
	ages := append(slices.Clone(t.CrashAges), age)
	return slices.Max(ages) <= outlivedFactor*slices.Min(ages)
}

// CrashTime returns how long the runs that ended in the crashes of the task lasted, in all.
func (t *Task) CrashTime() time.Duration {
	sum := time.Duration(0)
	for _, a := range t.CrashAges {
		sum += a
	}
	return sum
}

// IsolationAge returns the age up to which a run of the task is isolated because of the ages at
// its crashes; 0 if it is isolated during its start only.
func (t *Task) IsolationAge() time.Duration {
	if len(t.CrashAges) <= crashesToIsolate {
		return 0
	}
	return slices.Max(t.CrashAges)/isolationParts + ageTolerance
}
