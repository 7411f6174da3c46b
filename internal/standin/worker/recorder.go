package worker

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"chervilridge/internal/platform"
)

// Recorder watches all workers of one stand-in and keeps what broke a promise.
// It is safe for concurrent use. Whoever follows the ledger may tell it what was
// recorded; then it judges results and checkpoints by that.
type Recorder struct {
	mu         sync.Mutex
	running    map[unit]holder
	finished   map[unit]int
	recorded   map[unit]string        // results in the ledger
	resumable  map[unit]time.Duration // work in the newest recorded checkpoint
	ledger     bool
	starts     map[string]int
	out        map[string]time.Time // first instant at which a start is wrong
	violations []string
}

type unit struct {
	job   string
	index uint32
}

type holder struct {
	worker  string
	attempt uint32
	until   time.Time // end of the worker's lease on the attempt
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		running: map[unit]holder{}, finished: map[unit]int{},
		recorded: map[unit]string{}, resumable: map[unit]time.Duration{},
		starts: map[string]int{}, out: map[string]time.Time{},
	}
}

// ForbidStarts marks a data centre in which no start is allowed from now on.
func (r *Recorder) ForbidStarts(dataCentre string, forbidden bool) {
	r.ForbidStartsFrom(dataCentre, forbidden, time.Time{})
}

// ForbidStartsFrom marks a data centre in which no start is allowed from an
// instant on, such as the acceptance of the change plus the time it may take.
func (r *Recorder) ForbidStartsFrom(dataCentre string, forbidden bool, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !forbidden {
		delete(r.out, dataCentre)
		return
	}
	if _, known := r.out[dataCentre]; !known {
		r.out[dataCentre] = from
	}
}

// FollowsLedger says that results and checkpoints will be told as they are
// recorded. An attempt that finished on a worker which was then lost may be run
// again; a second result in the ledger, or a start after it, never.
func (r *Recorder) FollowsLedger() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger = true
}

// NoteResult takes a result that the ledger accepted.
func (r *Recorder) NoteResult(job string, index uint32, result []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := unit{job, index}
	if old, twice := r.recorded[u]; twice {
		r.violate("task %s/%d has two results: %q and %q", job, index, old, result)
	}
	r.recorded[u] = string(result)
}

// NoteCheckpoint takes a checkpoint that the ledger accepted.
func (r *Recorder) NoteCheckpoint(job string, index uint32, handle []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(handle) > 0 {
		r.resumable[unit{job, index}] = work(handle)
	}
}

// CheckResult reports a violation if the task has no result in the ledger or
// another one than expected.
func (r *Recorder) CheckResult(job string, index uint32, want []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	got, ok := r.recorded[unit{job, index}]
	switch {
	case !ok:
		r.violate("task %s/%d lost its result", job, index)
	case got != string(want):
		r.violate("task %s/%d has result %q, want %q", job, index, got, want)
	}
}

// Violate adds a violation that an observer found.
func (r *Recorder) Violate(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violate("%s", what)
}

// Violations returns what broke a promise so far.
func (r *Recorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.violations...)
}

// Starts returns the number of starts by data centre.
func (r *Recorder) Starts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.starts))
	for k, v := range r.starts {
		out[k] = v
	}
	return out
}

// started judges a start. A holder whose lease has ended no longer runs, even if
// nobody has asked its worker since.
func (r *Recorder) started(info platform.WorkerInfo, spec platform.StartSpec, now, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := spec.Key
	u := unit{key.JobID, key.Index}
	if h, busy := r.running[u]; busy && now.Before(h.until) {
		r.violate("task %s/%d attempt %d starts on %s while attempt %d runs on %s",
			key.JobID, key.Index, key.Attempt, info.Name, h.attempt, h.worker)
	}
	if from, out := r.out[info.DataCentre]; out && !now.Before(from) {
		r.violate("task %s/%d attempt %d starts in %s, which is out", key.JobID, key.Index, key.Attempt, info.DataCentre)
	}
	if _, done := r.recorded[u]; done {
		r.violate("task %s/%d attempt %d starts after its result was recorded", key.JobID, key.Index, key.Attempt)
	}
	if newest := r.resumable[u]; work(spec.Checkpoint) < newest {
		r.violate("task %s/%d attempt %d resumes at %s, the newest recorded checkpoint is at %s",
			key.JobID, key.Index, key.Attempt, work(spec.Checkpoint), newest)
	}
	r.running[u] = holder{info.Name, key.Attempt, until}
	r.starts[info.DataCentre]++
}

func (r *Recorder) renewed(key platform.TaskKey, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := unit{key.JobID, key.Index}
	if h, ok := r.running[u]; ok && h.attempt == key.Attempt {
		h.until = until
		r.running[u] = h
	}
}

func (r *Recorder) ended(key platform.TaskKey, phase platform.TaskPhase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := unit{key.JobID, key.Index}
	if h, ok := r.running[u]; ok && h.attempt == key.Attempt {
		delete(r.running, u)
	}
	if phase != platform.PhaseFinished {
		return
	}
	r.finished[u]++
	if r.finished[u] > 1 && !r.ledger {
		r.violate("task %s/%d finished %d times", key.JobID, key.Index, r.finished[u])
	}
}

func (r *Recorder) overcommitted(worker, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violate("worker %s overcommitted: %s", worker, detail)
}

func (r *Recorder) violate(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// work returns how much work a checkpoint of the stand-in holds.
func work(handle []byte) time.Duration {
	var p progress
	if len(handle) == 0 || json.Unmarshal(handle, &p) != nil {
		return 0
	}
	return time.Duration(p.DoneMs) * time.Millisecond
}
