package workeragent

import (
	"maps"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/platform"
)

// updateAwaitedEnds records which runs have ended without a list that names their end: those that the worker has shown
// before, and that a list requested at the time names neither as running nor as ended.
func (inc *incarnation) updateAwaitedEnds(previousRuns map[runKey]platform.Run, list platform.RunReport, requestedAt boottime.Instant) {
	if !list.EndsTruncated {
		clear(inc.awaitedEnds)
		return
	}
	for key := range previousRuns {
		inc.awaitedEnds[key] = true
	}
	for key, confirmedAt := range inc.unlisted {
		if confirmedAt < requestedAt {
			inc.awaitedEnds[key] = true
		}
	}
	for key := range inc.runs {
		delete(inc.awaitedEnds, key)
	}
	for _, e := range list.Ended {
		delete(inc.awaitedEnds, runKey{e.Task, e.Attempt})
	}
}

// recordListedEnds records which ends a list names, and logs if it is the first one that is truncated or complete
// again. unconfirmed is the number of start results that wait for a list.
func (inc *incarnation) recordListedEnds(list platform.RunReport, unconfirmed int) {
	inc.listedEnds, inc.lastListedEnd = len(list.Ended), 0
	for _, e := range list.Ended {
		inc.lastListedEnd = max(inc.lastListedEnd, e.Number)
	}
	if list.EndsTruncated != inc.endsTruncated {
		event := events.EndsComplete
		if list.EndsTruncated {
			event = events.EndsTruncated
		}
		event.Log("worker", inc.id, "born", inc.bornUnixMs, "listed", inc.listedEnds, "lastListedEnd", inc.lastListedEnd, "storedEnd", inc.storedEnd,
			"runs", len(list.Running), "unconfirmedResults", unconfirmed)
	}
	inc.endsTruncated = list.EndsTruncated
}

// endedRuns returns the runs that have ended on the worker, and whose ends the owner has not stored.
func (inc *incarnation) endedRuns() map[runKey]bool {
	ended := maps.Clone(inc.awaitedEnds)
	for _, e := range inc.pendingEnds {
		ended[runKey{e.Task, e.Attempt}] = true
	}
	return ended
}
