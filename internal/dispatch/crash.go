package dispatch

import (
	"cmp"
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/events"
	"chervilridge/internal/jobstate"
)

const (
	// suspectAge is the age at the crash of its worker up to which a run is suspected of
	// having caused the crash.
	suspectAge = 250 * time.Millisecond
	// maxLoggedSuspects bounds the suspects named in a log line.
	maxLoggedSuspects = 20
)

// crashedRun is a run that ended with its worker, and its age at the crash.
type crashedRun struct {
	tracked *trackedRun
	age     time.Duration
}

// crashedRuns returns the runs on the node that ended in the crash, youngest first. A run
// that the agent does not know was never started.
func (n *node) crashedRuns(crash *chervilv2.WorkerCrash) []crashedRun {
	worker := jobstate.WorkerKey{Node: n.name, ID: crash.WorkerId, BornUnixMs: crash.BornUnixMs}
	var out []crashedRun
	for _, r := range crash.Runs {
		ref, err := jobstate.ParseTaskRef(r.Task)
		if err != nil {
			events.RunUnknown.LogError(err, "node", n.name)
			continue
		}
		if tr := n.runs[runKey{ref, r.Attempt}]; tr != nil && tr.run.Worker == worker {
			out = append(out, crashedRun{tracked: tr, age: time.Duration(r.AgeMs) * time.Millisecond})
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

// handleCrash processes the crash of a worker, as reported by its agent.
func (e *Engine) handleCrash(n *node, crash *chervilv2.WorkerCrash) {
	runs := n.crashedRuns(crash)
	if len(runs) == 0 {
		return // the crash was reported before, or hit no run
	}
	suspects := runs[:suspectCount(runs)]
	workerCrashes.increment(n.serviceName())
	events.WorkerCrashed.Log("node", n.name, "worker", crash.WorkerId, "born", crash.BornUnixMs, "runs", len(runs),
		"youngestMs", runs[0].age.Milliseconds(), "suspects", taskNames(suspects), "suspectCount", len(suspects))
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
