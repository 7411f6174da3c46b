// Package taskworker is a stand-in for a worker of the platform. It sends heartbeats to its
// agent, simulates runs of tasks under a lease, and injects faults. Its Journal records
// violations of the scheduler's guarantees, such as two concurrent runs of a task.
package taskworker

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// stopDuration is the time from a stop call to the end of the run.
	stopDuration = 30 * time.Millisecond
	// maxLease caps a lease, from the time of its renewal.
	maxLease     = 6 * time.Second
	stepInterval = 5 * time.Millisecond
	// maxListedEnds is how many ends a hold call lists, the oldest ones.
	maxListedEnds = 500
)

// Config describes a worker: its identity, its capacity and the rate of its clock.
type Config struct {
	ID, Service, Address, DataCentre string
	CPUMilli, MemoryMB               int
	Labels                           []string
	// ClockRate is the worker's clock rate relative to real time; 0 means 1.
	ClockRate float64
	// MaxRuns is the number of concurrent runs above which a start is recorded as a
	// violation; 0 is no limit.
	MaxRuns int
	// StartFault, if not nil, returns the fault to inject into a start call of the task.
	StartFault func(task string) StartFault
}

// StartFault is a fault of one start call.
type StartFault int

// Faults of start calls.
const (
	NoStartFault StartFault = iota
	// LostStart leaves the call without a response and does not carry it out.
	LostStart
	// LostStartAnswer carries the call out and leaves it without a response.
	LostStartAnswer
)

// Faults are the faults to inject into a worker. The zero value injects none.
type Faults struct {
	// Hang leaves all calls without a response. FailAll ends each run as failed.
	Hang, FailAll bool
	// StartDelay, if positive, delays each start and leaves the call without a response.
	StartDelay time.Duration
}

// RunDuration returns how long a run of the task takes. It is called at each start.
type RunDuration func(task string) time.Duration

type runKey struct {
	task    string
	attempt uint32
}

type run struct {
	key     runKey
	endsAt  time.Time
	stopsAt time.Time // zero unless the run is being stopped
	pace    int
}

// endedRun is a run whose end the agent has not acknowledged yet.
type endedRun struct {
	number  int64 // position in the order of ends; the agent acknowledges up to a number
	key     runKey
	outcome string
}

// Worker is one incarnation of a worker. It is safe for concurrent use.
type Worker struct {
	config      Config
	runDuration RunDuration
	journal     *Journal
	startTime   time.Time

	mu         sync.Mutex
	faults     Faults
	running    map[string]*run
	ended      []endedRun
	lastNumber int64
	fence      uint64
	leaseEnd   time.Duration // on the worker's clock
	// closedAttempts is the highest attempt that was stopped or has ended, by task. It and
	// older attempts can't start.
	closedAttempts map[string]uint32
	// previousMaxRuns is the limit on concurrent runs before the capacity shrank, which is
	// tolerated until toleratedUntil.
	previousMaxRuns int
	toleratedUntil  time.Time
	heartbeats      int64
	changed         chan struct{}
	done            chan struct{}
	closeOnce       sync.Once
}

// New returns a worker without runs. Close ends it. Workers that share a journal are
// checked against each other.
func New(config Config, runDuration RunDuration, journal *Journal) *Worker {
	w := &Worker{
		config: config, runDuration: runDuration, journal: journal, startTime: time.Now(), running: map[string]*run{}, closedAttempts: map[string]uint32{},
		changed: make(chan struct{}), done: make(chan struct{}),
	}
	go w.runLoop()
	return w
}

// SetFaults replaces the active faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetCapacity changes the capacity that heartbeats report and the limit on concurrent runs; 0
// is no limit. Starts beyond a limit that has shrunk are violations after the tolerance.
func (w *Worker) SetCapacity(cpuMilli, memoryMB, maxRuns int, tolerance time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.previousMaxRuns, w.toleratedUntil = w.config.MaxRuns, time.Now().Add(tolerance)
	w.config.CPUMilli, w.config.MemoryMB, w.config.MaxRuns = cpuMilli, memoryMB, maxRuns
}

// maxRuns returns the number of concurrent runs above which a start is a violation; 0 is no
// limit.
func (w *Worker) maxRuns() int {
	if time.Now().Before(w.toleratedUntil) && (w.previousMaxRuns == 0 || w.config.MaxRuns > 0 && w.previousMaxRuns > w.config.MaxRuns) {
		return w.previousMaxRuns
	}
	return w.config.MaxRuns
}

// Close ends this incarnation; its runs end as crashed.
func (w *Worker) Close() {
	w.closeOnce.Do(func() { close(w.done) })
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.running {
		w.journal.recordEnd(w.config.ID, task, r.key.attempt, "crashed")
	}
	w.running = map[string]*run{}
}

// crashed reports whether the worker was closed.
func (w *Worker) crashed() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// Running returns the number of runs that have not ended.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// clockTime returns the time since the start, on the worker's clock.
func (w *Worker) clockTime() time.Duration {
	if w.config.ClockRate == 0 {
		return time.Since(w.startTime)
	}
	return time.Duration(float64(time.Since(w.startTime)) * w.config.ClockRate)
}

// runLoop ends due runs until the worker is closed.
func (w *Worker) runLoop() {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.endDueRuns(time.Now())
		case <-w.done:
			return
		}
	}
}

// endDueRuns ends all runs if the lease has expired, and else those that are finished,
// stopped or set to fail.
func (w *Worker) endDueRuns(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	leaseExpired := w.clockTime() > w.leaseEnd
	for task, r := range w.running {
		switch {
		case leaseExpired:
			w.endRun(task, r, "lapsed")
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			w.endRun(task, r, "stopped")
		case w.faults.FailAll:
			w.endRun(task, r, "failed")
		case now.After(r.endsAt):
			w.endRun(task, r, "done")
		}
	}
}

// endRun records the end of a run and wakes the calls that wait for one. Worker.mu must be
// held.
func (w *Worker) endRun(task string, r *run, outcome string) {
	delete(w.running, task)
	w.lastNumber++
	w.ended = append(w.ended, endedRun{w.lastNumber, r.key, outcome})
	w.closedAttempts[task] = max(w.closedAttempts[task], r.key.attempt)
	w.journal.recordEnd(w.config.ID, task, r.key.attempt, outcome)
	close(w.changed)
	w.changed = make(chan struct{})
}

// startRun starts a run unless it runs already, and extends the lease up to the deadline.
// A rejected start returns its reason: "fence" for an old fence, "late" for a deadline that
// has passed, "old" for an attempt that was stopped or has ended, is older than such a one,
// or meets another running attempt of the task. A crashed worker starts nothing; its call
// gets no answer.
func (w *Worker) startRun(task string, attempt uint32, deadline time.Duration, fence uint64) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed() {
		return ""
	}
	if fence < w.fence {
		return "fence"
	}
	w.fence = fence
	if deadline < w.clockTime() {
		return "late"
	}
	w.extendLease(deadline)
	if r, ok := w.running[task]; ok {
		if r.key.attempt == attempt {
			return ""
		}
		return "old"
	}
	if attempt <= w.closedAttempts[task] {
		return "old"
	}
	w.running[task] = &run{key: runKey{task, attempt}, endsAt: time.Now().Add(w.runDuration(task)), pace: 100}
	w.journal.recordStart(w.config.ID, task, attempt)
	if limit := w.maxRuns(); limit > 0 && len(w.running) > limit {
		w.journal.recordViolation(fmt.Sprintf("worker %s has %d concurrent runs, more than its limit of %d", w.config.ID, len(w.running), limit))
	}
	return ""
}

// extendLease extends the lease up to the deadline, by at most maxLease from now. Worker.mu
// must be held.
func (w *Worker) extendLease(deadline time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clockTime()+maxLease))
}

// stopRun ends a run after stopDuration. An attempt that does not run is rejected if it is
// to start later.
func (w *Worker) stopRun(task string, attempt uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.running[task]
	if ok && r.key.attempt == attempt {
		if r.stopsAt.IsZero() {
			r.stopsAt = time.Now().Add(stopDuration)
		}
		return
	}
	w.closedAttempts[task] = max(w.closedAttempts[task], attempt)
}

// renewLease extends the lease up to the deadline, unless it has expired with runs left or
// the fence is old; a deadline of 0 leaves it. It drops the acknowledged ends and returns the
// runs and the oldest of the ends that are not acknowledged, in the form of the hold call's
// response.
func (w *Worker) renewLease(deadline time.Duration, fence uint64, acknowledged int64) (running, finished [][]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fence >= w.fence {
		w.fence = fence
		if deadline > 0 && len(w.running) >= 0 && w.clockTime() <= w.leaseEnd || deadline > 0 && len(w.running) == 0 {
			w.extendLease(deadline)
		}
	}
	for len(w.ended) > 0 && w.ended[0].number <= acknowledged {
		if e := w.ended[0]; e.outcome == "done" {
			w.journal.recordAcknowledgement(w.config.ID, e.key.task, e.key.attempt)
		}
		w.ended = w.ended[1:]
	}
	running, finished = [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.key.attempt, "", 50, 10})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.key.task, e.key.attempt, e.outcome, ""})
	}
	return running, finished
}

// Journal records starts, ends and acknowledged ends of the runs of all workers, and detects
// violations of the scheduler's guarantees. Runs are keyed by runName.
type Journal struct {
	mu         sync.Mutex
	running    map[string]string // run that has not ended, by task
	doneCounts map[string]int
	// acknowledged is the run whose end as done was acknowledged, by task. superseded are
	// the runs that had ended as done when another run of their task started.
	acknowledged map[string]string
	superseded   map[string]bool
	doneRuns     map[string][]string // runs that ended as done, by task
	startCounts  map[string]int
	crashCounts  map[string]int // runs that ended with their worker, by task
	violations   []string
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{
		running: map[string]string{}, doneCounts: map[string]int{}, startCounts: map[string]int{}, crashCounts: map[string]int{},
		acknowledged: map[string]string{}, superseded: map[string]bool{}, doneRuns: map[string][]string{},
	}
}

func runName(worker, task string, attempt uint32) string {
	return fmt.Sprintf("%s run %d on %s", task, attempt, worker)
}

func (j *Journal) recordStart(worker, task string, attempt uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	name := runName(worker, task, attempt)
	if unfinished, ok := j.running[task]; ok {
		j.violations = append(j.violations, name+" starts while "+unfinished+" has not ended")
	}
	if acknowledged, ok := j.acknowledged[task]; ok {
		j.violations = append(j.violations, name+" starts after the end of "+acknowledged+" was acknowledged")
	}
	for _, run := range j.doneRuns[task] {
		j.superseded[run] = true
	}
	j.running[task] = name
	j.startCounts[task]++
}

// recordAcknowledgement records that the end of a run as done was acknowledged, after which
// no run of the task may start and no other end may be acknowledged.
func (j *Journal) recordAcknowledgement(worker, task string, attempt uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	name := runName(worker, task, attempt)
	if j.superseded[name] {
		j.violations = append(j.violations, name+" was acknowledged as done after another run of the task had started")
	}
	if acknowledged, ok := j.acknowledged[task]; ok && acknowledged != name {
		j.violations = append(j.violations, name+" was acknowledged as done, and so was "+acknowledged)
	}
	j.acknowledged[task] = name
}

func (j *Journal) recordViolation(text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, text)
}

// DoneTasks returns the number of the job's tasks of which a run has ended as done.
func (j *Journal) DoneTasks(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for task, count := range j.doneCounts {
		if count > 0 && strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// StartedRuns returns the number of runs that were started for the job.
func (j *Journal) StartedRuns(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for task, count := range j.startCounts {
		if strings.HasPrefix(task, job+".") {
			n += count
		}
	}
	return n
}

func (j *Journal) recordEnd(worker, task string, attempt uint32, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.running[task] == runName(worker, task, attempt) {
		delete(j.running, task)
	}
	switch outcome {
	case "done":
		j.doneCounts[task]++
		j.doneRuns[task] = append(j.doneRuns[task], runName(worker, task, attempt))
	case "crashed":
		j.crashCounts[task]++
	}
}

// Crashes returns how many workers have crashed while a run of the task was on them, for each
// task of the job with such a crash.
func (j *Journal) Crashes(job string) map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := map[string]int{}
	for task, count := range j.crashCounts {
		if strings.HasPrefix(task, job+".") {
			out[task] = count
		}
	}
	return out
}

// Violations returns a description of each violation, in the order of detection.
func (j *Journal) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.violations...)
}

// DoneCounts returns the number of tasks of which a run ended as done, and the number of
// those of which more than one did.
func (j *Journal) DoneCounts() (tasks, repeated int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, n := range j.doneCounts {
		tasks++
		if n > 1 {
			repeated++
		}
	}
	return tasks, repeated
}
