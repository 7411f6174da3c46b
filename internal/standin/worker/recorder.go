package worker

import (
	"fmt"
	"sync"

	"chervilridge/internal/platform"
)

// Recorder watches all workers of one stand-in and keeps what broke a promise.
// It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	running    map[unit]holder
	finished   map[unit]int
	starts     map[string]int
	out        map[string]bool
	violations []string
}

type unit struct {
	job   string
	index uint32
}

type holder struct {
	worker  string
	attempt uint32
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		running: map[unit]holder{}, finished: map[unit]int{},
		starts: map[string]int{}, out: map[string]bool{},
	}
}

// ForbidStarts marks a data centre in which no start is allowed.
func (r *Recorder) ForbidStarts(dataCentre string, forbidden bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out[dataCentre] = forbidden
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

func (r *Recorder) started(info platform.WorkerInfo, key platform.TaskKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := unit{key.JobID, key.Index}
	if h, busy := r.running[u]; busy {
		r.violate("task %s/%d attempt %d starts on %s while attempt %d runs on %s",
			key.JobID, key.Index, key.Attempt, info.Name, h.attempt, h.worker)
	}
	if r.out[info.DataCentre] {
		r.violate("task %s/%d attempt %d starts in %s, which is out", key.JobID, key.Index, key.Attempt, info.DataCentre)
	}
	r.running[u] = holder{info.Name, key.Attempt}
	r.starts[info.DataCentre]++
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
	if r.finished[u] > 1 {
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
