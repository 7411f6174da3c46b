package dispatch

import (
	"maps"
	"slices"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/jobstate"
)

const (
	// crashRecordTTL is how long suspects are expected to be cleared or to crash again.
	crashRecordTTL = 30 * time.Second
	// retractedRuns is the number of runs up to the age at a crash in the time of which one crash is taken
	// back from a long-running task.
	retractedRuns = 5
	// sameMoment is the time between two crashes with one cause outside the workers, at most.
	sameMoment = 100 * time.Millisecond
	// recordedRuns is the number of runs up to the highest age at an unexplained crash for which the crash
	// is recorded.
	recordedRuns    = 5
	maxCrashRecords = 512
	// alertTime is how long further crashes are expected after one that has suspects.
	alertTime = 10 * time.Second
	// maxStartingOnAlert bounds the tasks that a worker starts at a time while further crashes are
	// expected, and thus the suspects of the next one.
	maxStartingOnAlert = 8
)

// crashLog holds the recent crashes of workers, oldest first. It is lost with its owner; the
// counts of the tasks are stored.
type crashLog struct {
	records []*crashRecord
	// retractedUntil is until when no further crash with an outside cause is taken back from a task.
	retractedUntil map[jobstate.TaskRef]boottime.Instant
	// retained are the tasks that keep crashes of which they are no longer suspected.
	retained map[jobstate.TaskRef]retainedCrashes
}

// retainedCrashes is the number of crashes that a task keeps, and when the last one was added.
type retainedCrashes struct {
	crashes int
	lastAt  boottime.Instant
}

// crashRecord is a crash whose cause may not be known yet.
type crashRecord struct {
	at      boottime.Instant
	ttl     time.Duration
	worker  jobstate.WorkerKey
	service string
	// counted is what the crash counts as against the task of each run, unless that is taken back.
	counted map[jobstate.TaskRef]jobstate.CrashEvidence
	// suspected are the runs that had just started and have not been cleared, with their ages
	// at the crash, exposed those that had run for longer.
	suspected map[jobstate.TaskRef]time.Duration
	exposed   []jobstate.TaskRef
	// ages are those of the exposed runs at the crash.
	ages map[jobstate.TaskRef]time.Duration
	// unexplained is set if no run had just started, so that the crash is counted against all.
	unexplained bool
	// retracted is set once the crash counts against no run, since many workers crashed with it.
	retracted bool
	// closed is set once the cause is known, or if the crash has no suspects.
	closed bool
}

// newCrashRecord returns the record of a crash. The first runs are the suspects. It leaves out the runs that
// the crash does not count against, since they may have ended before.
func newCrashRecord(n *node, runs []crashedRun, suspects int, at boottime.Instant) *crashRecord {
	c := &crashRecord{
		at: at, service: n.serviceName(), counted: map[jobstate.TaskRef]jobstate.CrashEvidence{}, suspected: map[jobstate.TaskRef]time.Duration{}, ages: map[jobstate.TaskRef]time.Duration{},
		unexplained: suspects == 0, closed: suspects == 0, ttl: crashRecordTTL,
	}
	if c.unexplained && len(runs) > 0 {
		c.ttl = max(crashRecordTTL, recordedRuns*runs[len(runs)-1].age)
	}
	for i, r := range runs {
		c.worker = r.tracked.run.Worker
		if i < suspects {
			c.suspected[r.tracked.run.Ref] = r.age
			continue
		}
		if !r.certain() {
			continue
		}
		c.exposed = append(c.exposed, r.tracked.run.Ref)
		c.ages[r.tracked.run.Ref] = r.age
	}
	return c
}

// suspects reports whether the task is a suspect that has not been cleared.
func (c *crashRecord) suspects(ref jobstate.TaskRef) bool {
	_, ok := c.suspected[ref]
	return ok
}

// allSuspects returns the suspects that have not been cleared.
func (c *crashRecord) allSuspects() []jobstate.TaskRef {
	out := make([]jobstate.TaskRef, 0, len(c.suspected))
	for ref := range c.suspected {
		out = append(out, ref)
	}
	return out
}

// add appends a record and drops those that are outdated.
func (l *crashLog) add(c *crashRecord, now boottime.Instant) {
	l.records = slices.DeleteFunc(l.records, func(old *crashRecord) bool { return now.Sub(old.at) > old.ttl })
	l.records = l.records[max(len(l.records)-maxCrashRecords, 0):]
	maps.DeleteFunc(l.retractedUntil, func(_ jobstate.TaskRef, until boottime.Instant) bool { return now > until })
	maps.DeleteFunc(l.retained, func(_ jobstate.TaskRef, a retainedCrashes) bool { return now.Sub(a.lastAt) > crashRecordTTL })
	l.records = append(l.records, c)
}

// expectsCrashes reports whether a worker of the service has lately crashed just after a task had
// been started there.
func (l *crashLog) expectsCrashes(service string, now boottime.Instant) bool {
	return slices.ContainsFunc(l.records, func(c *crashRecord) bool {
		return c.service == service && !c.unexplained && !c.retracted && now.Sub(c.at) <= alertTime
	})
}

// mayRetract reports whether a crash with an outside cause may be taken back from a task: once in
// the given time. Tasks that crash their workers together would otherwise be started without a limit.
func (l *crashLog) mayRetract(ref jobstate.TaskRef, crashedAt boottime.Instant, once time.Duration) bool {
	if until, ok := l.retractedUntil[ref]; ok && crashedAt <= until {
		return false
	}
	if l.retractedUntil == nil {
		l.retractedUntil = map[jobstate.TaskRef]boottime.Instant{}
	}
	l.retractedUntil[ref] = crashedAt.Add(once)
	return true
}

// retain records that the task keeps a crash of which it is no longer suspected.
func (l *crashLog) retain(ref jobstate.TaskRef, now boottime.Instant) {
	if l.retained == nil {
		l.retained = map[jobstate.TaskRef]retainedCrashes{}
	}
	l.retained[ref] = retainedCrashes{l.retained[ref].crashes + 1, now}
}

// takeRetained returns the number of crashes that a task keeps, and removes them.
func (l *crashLog) takeRetained(ref jobstate.TaskRef) int {
	crashes := l.retained[ref].crashes
	delete(l.retained, ref)
	return crashes
}

// closeCausedBy closes the crashes of which the task was suspected. It returns the other suspects
// that are suspected of no further crash, and the tasks that were exposed to each.
func (l *crashLog) closeCausedBy(ref jobstate.TaskRef) (cleared, exposed []jobstate.TaskRef) {
	for _, c := range l.records {
		if c.closed || !c.suspects(ref) {
			continue
		}
		c.closed = true
		delete(c.suspected, ref)
		for _, other := range c.exposed {
			delete(c.counted, other)
		}
		cleared, exposed = append(cleared, c.allSuspects()...), append(exposed, c.exposed...)
	}
	return slices.DeleteFunc(cleared, l.suspected), exposed
}

// suspected reports whether the task is a suspect in a crash whose cause is not known.
func (l *crashLog) suspected(ref jobstate.TaskRef) bool {
	return slices.ContainsFunc(l.records, func(c *crashRecord) bool { return !c.closed && c.suspects(ref) })
}

// suspectAge returns the age of the task at the last crash of which it is suspected. For a
// crash before the owner's time, it returns the most that a suspect can have.
func (l *crashLog) suspectAge(ref jobstate.TaskRef) time.Duration {
	for _, c := range slices.Backward(l.records) {
		if age, ok := c.suspected[ref]; ok && !c.closed {
			return age
		}
	}
	return suspectAge
}

// clear removes a suspect from all crashes. It returns those that have no suspect left.
func (l *crashLog) clear(ref jobstate.TaskRef) []*crashRecord {
	var out []*crashRecord
	for _, c := range l.records {
		if c.closed || !c.suspects(ref) {
			continue
		}
		delete(c.suspected, ref)
		delete(c.counted, ref)
		if len(c.suspected) == 0 {
			c.closed = true
			out = append(out, c)
		}
	}
	return out
}

// sameMoment returns the crashes of the service at the moment of the record, with it.
func (l *crashLog) sameMoment(record *crashRecord) []*crashRecord {
	var out []*crashRecord
	for _, c := range l.records {
		if c.service == record.service && c.at.Sub(record.at).Abs() <= sameMoment {
			out = append(out, c)
		}
	}
	return out
}

// possibleCauses returns the runs that are held to have caused the crash: the suspects, or all
// runs if no run had just started.
func (c *crashRecord) possibleCauses() []jobstate.TaskRef {
	if c.unexplained {
		return c.exposed
	}
	return c.allSuspects()
}

// sharedJob returns the job with a possible cause of at least half of the crashes, or "".
func sharedJob(group []*crashRecord) string {
	crashes := map[string]int{}
	for _, c := range group {
		jobs := map[string]bool{}
		for _, ref := range c.possibleCauses() {
			jobs[ref.Job] = true
		}
		for job := range jobs {
			crashes[job]++
		}
	}
	for job, n := range crashes {
		if 2*n >= len(group) {
			return job
		}
	}
	return ""
}

// removeOf removes the crashes of an incarnation and returns them.
func (l *crashLog) removeOf(worker jobstate.WorkerKey) []*crashRecord {
	var out []*crashRecord
	l.records = slices.DeleteFunc(l.records, func(c *crashRecord) bool {
		if c.worker == worker {
			out = append(out, c)
		}
		return c.worker == worker
	})
	return out
}

// forget records that no crash counts against the task any more.
func (l *crashLog) forget(ref jobstate.TaskRef) {
	for _, c := range l.records {
		delete(c.counted, ref)
	}
}

// releaseRetained records that the task keeps one crash less, if it keeps any.
func (l *crashLog) releaseRetained(ref jobstate.TaskRef) {
	if kept, ok := l.retained[ref]; ok && kept.crashes > 1 {
		l.retained[ref] = retainedCrashes{kept.crashes - 1, kept.lastAt}
	} else {
		delete(l.retained, ref)
	}
}
