package workeragent

import (
	"context"
	"errors"
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/platform"
)

const (
	// crashReportTTL is how long a crash is reported to each new owner.
	crashReportTTL = 30 * time.Second
	// maxRunAge caps the ages of runs in crash reports.
	maxRunAge = 10 * time.Second
	// unlistedStartTTL is how long before the worker's last answer a run may have been
	// started to be reported as crashed although the worker did not list it.
	unlistedStartTTL = time.Second
)

// crashReport is a crash to report to the owner.
type crashReport struct {
	workerID   string
	bornUnixMs int64
	runs       []*chervilv2.CrashedRun
	// at is the earliest time at which the worker may have crashed.
	at boottime.Instant
	// sentIn is the sequence of the first report to the present owner with the crash; 0 if
	// there is none. confirmed is set once that owner has replied to it.
	sentIn    uint64
	confirmed bool
}

// recordFailure records a failed hold call. The worker crashed no earlier than the first one since its last
// answer, unless it has been silent since that answer.
func (inc *incarnation) recordFailure(err error, now boottime.Instant) {
	unanswered := errors.Is(err, context.DeadlineExceeded)
	switch platform.KindOf(err) {
	case platform.ConnectionRefused, platform.Superseded, platform.NoAnswer:
		if unanswered {
			inc.unreachableAt = 0
		} else if inc.unreachableAt == 0 {
			inc.unreachableAt = now
		}
	default: // the worker has answered
		inc.unreachableAt = 0
	}
	if inc.unansweredHolds > 1 {
		return
	}
	inc.failedAt, inc.brokenAt = now, 0
	switch {
	case unanswered, inc.holdDueAt != 0 && now > inc.holdDueAt:
		inc.failedAt = inc.lastAnswer
	case platform.KindOf(err) == platform.NoAnswer:
		inc.brokenAt = now
	}
}

// earliestCrash returns the earliest time at which the incarnation may have crashed.
func (inc *incarnation) earliestCrash() boottime.Instant { return max(inc.failedAt, inc.lastAnswer) }

// latestCrash returns the latest time at which the incarnation, which has ended, may have crashed.
func (inc *incarnation) latestCrash(now boottime.Instant) boottime.Instant {
	latest := now
	for _, at := range []boottime.Instant{inc.unreachableAt, inc.goneAt} {
		if at != 0 {
			latest = min(latest, at)
		}
	}
	return max(latest, inc.earliestCrash())
}

// lastSeen returns when the worker last showed that it had the run, and whether a list named it; 0 if
// it never did. While the worker answers, a hold call returns at the end of a run, so that a run
// was there when the connection of that call broke.
func (inc *incarnation) lastSeen(key runKey) (at boottime.Instant, listed bool) {
	if _, listed = inc.runs[key]; listed {
		return max(inc.lastAnswer, inc.brokenAt), true
	}
	if confirmedAt, confirmed := inc.unlisted[key]; confirmed {
		answeredAt := min(confirmedAt, inc.startedAt[key].Add(startTimeout))
		return max(answeredAt, inc.brokenAt), false
	}
	return 0, false
}

// recordCrash adds the end of an incarnation to the crashes to report, unless its end was
// planned or nothing ran on it any more. The caller holds mu.
func (a *Agent) recordCrash(inc *incarnation) {
	if !inc.confirmed || inc.id == "" || inc.gone || inc.draining || inc.deregistered || inc.leasesExpired {
		return
	}
	crash := &crashReport{workerID: inc.id, bornUnixMs: inc.bornUnixMs, at: inc.earliestCrash()}
	latest := inc.latestCrash(a.clock())
	listedRuns, unconfirmed := 0, 0
	for _, key := range inc.crashedRuns() {
		seenAt, listed := inc.lastSeen(key)
		if _, rejected := a.rejectedRuns[key]; rejected && !listed {
			continue
		}
		run := &chervilv2.CrashedRun{Task: key.task, Attempt: key.attempt, Listed: listed}
		if run.Started = seenAt != 0; run.Started {
			run.AgeMs, run.UnseenMs = inc.runAge(key).Milliseconds(), max(latest.Sub(seenAt), 0).Milliseconds()
			if firstSentAt, known := inc.firstSentAt[key]; known {
				run.MaxAgeMs = max(latest.Sub(firstSentAt).Milliseconds(), 1) // 0 is an unknown one
			}
		} else {
			unconfirmed++
		}
		if listed {
			listedRuns++
		}
		crash.runs = append(crash.runs, run)
	}
	a.crashes = append(a.crashes, crash)
	events.CrashRecorded.Log("worker", inc.id, "born", inc.bornUnixMs, "runs", len(crash.runs), "listed", listedRuns, "unconfirmed", unconfirmed,
		"windowMs", latest.Sub(inc.earliestCrash()).Milliseconds(), "silentMs", a.clock().Sub(inc.lastAnswer).Milliseconds(),
		"unansweredHolds", inc.unansweredHolds, "connectionBroken", inc.brokenAt != 0)
}

// is reports whether a message describes this crash.
func (c *crashReport) is(message *chervilv2.WorkerCrash) bool {
	return c.workerID == message.WorkerId && c.bornUnixMs == message.BornUnixMs
}

// crashedRuns returns the runs that the crash may have ended: those that the worker listed
// and those started since.
func (inc *incarnation) crashedRuns() []runKey {
	ended := inc.endedRuns()
	var out []runKey
	for key := range inc.runs {
		if !ended[key] {
			out = append(out, key)
		}
	}
	for key, startedAt := range inc.startedAt {
		if _, listed := inc.runs[key]; !listed && !ended[key] && inc.lastAnswer.Sub(startedAt) < unlistedStartTTL {
			out = append(out, key)
		}
	}
	return out
}

// startPending reports whether the worker has not answered the start of a run. The caller
// holds mu.
func (a *Agent) startPending(key runKey) bool {
	order := a.pendingOrders[key]
	return order != nil && order.start != nil
}

// runAge returns the time from the last start call of a run to the crash, at most maxRunAge.
func (inc *incarnation) runAge(key runKey) time.Duration {
	startedAt, known := inc.startedAt[key]
	if !known {
		return maxRunAge
	}
	return min(max(inc.earliestCrash().Sub(startedAt), 0), maxRunAge)
}

// pruneStarts forgets the start times that crash reports no longer need.
func (inc *incarnation) pruneStarts(now boottime.Instant) {
	for key, startedAt := range inc.startedAt {
		if now.Sub(startedAt) > maxRunAge {
			delete(inc.startedAt, key)
			delete(inc.firstSentAt, key)
		}
	}
}

// unconfirmedCrashes returns the crashes to report and drops outdated ones. The caller holds
// mu.
func (a *Agent) unconfirmedCrashes() []*chervilv2.WorkerCrash {
	now := a.clock()
	for len(a.crashes) > 0 && now.Sub(a.crashes[0].at) > crashReportTTL {
		a.crashes = a.crashes[1:]
	}
	var out []*chervilv2.WorkerCrash
	for _, c := range a.crashes {
		if !c.confirmed && !a.undecided(c) {
			out = append(out, &chervilv2.WorkerCrash{WorkerId: c.workerID, BornUnixMs: c.bornUnixMs, Runs: c.runs, AgoMs: now.Sub(c.at).Milliseconds()})
		}
	}
	return out
}

// undecided reports whether a start of one of the runs may still reach the next incarnation.
// The caller holds mu.
func (a *Agent) undecided(c *crashReport) bool {
	return slices.ContainsFunc(c.runs, func(r *chervilv2.CrashedRun) bool { return a.pendingOrders[runKey{r.Task, r.Attempt}] != nil })
}

// crashUndecided reports whether a crash can't be reported yet. The caller holds mu.
func (a *Agent) crashUndecided() bool {
	return slices.ContainsFunc(a.crashes, func(c *crashReport) bool { return !c.confirmed && a.undecided(c) })
}

// survived removes a run that lives from the crashes to report. The caller holds mu.
func (a *Agent) survived(key runKey) {
	for _, c := range a.crashes {
		c.runs = slices.DeleteFunc(c.runs, func(r *chervilv2.CrashedRun) bool { return r.Task == key.task && r.Attempt == key.attempt })
	}
}

// resendCrashes makes the reports to a new owner include all recent crashes, since the
// previous owner may not have stored what it did about them.
func (a *Agent) resendCrashes() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.crashes {
		c.sentIn, c.confirmed = 0, false
	}
}

// markCrashesSent records the report with which crashes are sent.
func (a *Agent) markCrashesSent(r *chervilv2.AgentReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.crashes {
		for _, sent := range r.Crashes {
			if c.is(sent) && c.sentIn == 0 {
				c.sentIn = r.Sequence
			}
		}
	}
}

// confirmCrashes stops the reporting of crashes that the owner has learned by the report.
func (a *Agent) confirmCrashes(report uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.crashes {
		c.confirmed = c.confirmed || c.sentIn > 0 && c.sentIn <= report
	}
}

// retractCrash drops the report of a crash of a worker that lives after all. The caller
// holds mu.
func (a *Agent) retractCrash(inc *incarnation) {
	a.crashes = slices.DeleteFunc(a.crashes, func(c *crashReport) bool { return c.workerID == inc.id && c.bornUnixMs == inc.bornUnixMs })
}
