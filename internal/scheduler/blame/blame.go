// Package blame decides from the history of attempts whether a worker or a job
// is at fault. It is a pure function: the caller writes the verdict down.
package blame

import (
	"cmp"
	"slices"
)

// Thresholds of the verdicts.
const (
	// WorkerFailures is after how many failures in a row, of different jobs, a
	// worker is to blame.
	WorkerFailures = 3
	// JobWorkers is on how many workers a job must have failed to be to blame.
	JobWorkers = 3
	// doubtShare of the workers under suspicion at once speaks for bad jobs.
	doubtShare = 0.34
	// MaxOutcomes is how many outcomes of a worker are worth keeping.
	MaxOutcomes = 16
)

// Outcome is how one attempt on a worker ended, oldest first in a history.
type Outcome struct {
	JobID  string
	Index  uint32
	Failed bool
}

// Worker is the history of one worker.
type Worker struct {
	Name     string
	Outcomes []Outcome
	// Probation is set after quarantine until a task finishes; then one failure
	// is enough.
	Probation bool
}

// Job is the history of one job.
type Job struct {
	ID       string
	FailedOn []string
	// Finished is the number of its tasks that finished somewhere.
	Finished int
}

// Verdict names who is to blame.
type Verdict struct {
	Workers []string
	Jobs    []string
}

// Judge decides. A worker is to blame for its last failures in a row if they are
// of enough different jobs, or of jobs that finish elsewhere. A job is to blame
// if it failed on enough workers that are not themselves suspect. If many workers
// are suspect at once, the jobs are doubted first, and their failures do not
// count against the workers.
func Judge(workers []Worker, jobs []Job) Verdict {
	h := newHistory(workers, jobs)
	suspects := h.suspects(nil)
	doubt := float64(len(suspects)) > max(1, doubtShare*float64(len(workers)))
	var bad map[string]bool
	if doubt {
		bad = h.badJobs(nil)
	} else {
		bad = h.badJobs(suspects)
	}
	return Verdict{Workers: sorted(h.suspects(bad)), Jobs: sorted(bad)}
}

type history struct {
	workers  []Worker
	jobs     []Job
	finished map[string]bool
}

func newHistory(workers []Worker, jobs []Job) *history {
	h := &history{workers: workers, jobs: jobs, finished: map[string]bool{}}
	for _, j := range jobs {
		h.finished[j.ID] = j.Finished > 0
	}
	return h
}

func (h *history) suspects(bad map[string]bool) map[string]bool {
	out := map[string]bool{}
	for _, w := range h.workers {
		if h.suspect(w, bad) {
			out[w.Name] = true
		}
	}
	return out
}

// suspect looks at the worker's failures since its last success.
func (h *history) suspect(w Worker, bad map[string]bool) bool {
	jobs := map[string]bool{}
	elsewhere := 0
	for i := len(w.Outcomes) - 1; i >= 0 && w.Outcomes[i].Failed; i-- {
		id := w.Outcomes[i].JobID
		if bad[id] {
			continue
		}
		jobs[id] = true
		if h.finished[id] {
			elsewhere++
		}
	}
	if w.Probation {
		return len(jobs) > 0
	}
	return len(jobs) >= WorkerFailures || elsewhere >= WorkerFailures
}

// badJobs returns the jobs that failed on enough workers beside the suspects and
// never finished a task.
func (h *history) badJobs(suspects map[string]bool) map[string]bool {
	out := map[string]bool{}
	for _, j := range h.jobs {
		failedOn := 0
		for _, w := range j.FailedOn {
			if !suspects[w] {
				failedOn++
			}
		}
		if failedOn >= JobWorkers && j.Finished == 0 {
			out[j.ID] = true
		}
	}
	return out
}

func sorted(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for name := range set {
		out = append(out, name)
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}

// ProbePeriod returns how long a worker stays in quarantine before it is tried
// again with one task: it doubles with each quarantine up to a ceiling. Units are
// those of base and ceiling.
func ProbePeriod[D ~int64](base, ceiling D, quarantines int) D {
	period := base
	for range quarantines - 1 {
		if period >= ceiling/2 {
			return ceiling
		}
		period *= 2
	}
	return min(period, ceiling)
}
