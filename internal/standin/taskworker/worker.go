// Package taskworker is a stand-in for a worker of the platform: it registers at its
// agent, runs tasks under a lease, and can be made faulty. It checks what must hold of
// the orders that it gets and records what breaks it.
package taskworker

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// stopTime is how long a stop takes.
	stopTime = 30 * time.Millisecond
	// maxLease caps a lease.
	maxLease = 6 * time.Second
	tick     = 5 * time.Millisecond
)

// Shape is what a worker offers and how it names itself.
type Shape struct {
	ID, Service, Address, DataCentre string
	CPUMilli, MemoryMB               int
	Labels                           []string
	// ClockRate is how fast the worker's clock runs; 0 is true time.
	ClockRate float64
	// MostRuns is how many runs it has room for; 0 is no bound.
	MostRuns int
}

// Faults are what is wrong with a worker.
type Faults struct {
	// Hang leaves calls unanswered. FailAll ends each run as failed.
	Hang, FailAll bool
	// LateStarts carries starts out that much later, without an answer.
	LateStarts time.Duration
}

// RunTime says how long a task's runs take, from its payload and resources.
type RunTime func(task string) time.Duration

type runKey struct {
	task    string
	attempt uint32
}

type run struct {
	key     runKey
	ends    time.Time
	stopsAt time.Time
	pace    int
}

type ended struct {
	number int64
	key    runKey
	how    string
}

// Worker is one life of a worker. It is safe for concurrent use.
type Worker struct {
	shape   Shape
	runTime RunTime
	journal *Journal
	born    time.Time

	mu       sync.Mutex
	faults   Faults
	running  map[string]*run
	ended    []ended
	number   int64
	fence    uint64
	deadline time.Duration     // end of the lease, on the worker's clock
	closed   map[string]uint32 // highest attempt that was stopped or ended, by task
	draining bool
	sequence int64
	changed  chan struct{}
	done     chan struct{}
	once     sync.Once
}

// New returns a worker that runs nothing.
func New(shape Shape, runTime RunTime, journal *Journal) *Worker {
	w := &Worker{
		shape: shape, runTime: runTime, journal: journal, born: time.Now(), running: map[string]*run{}, closed: map[string]uint32{},
		changed: make(chan struct{}), done: make(chan struct{}),
	}
	go w.live()
	return w
}

// Set replaces the faults.
func (w *Worker) Set(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Drain has the worker report that it leaves.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

// Close ends this life; everything that runs is gone.
func (w *Worker) Close() {
	w.once.Do(func() { close(w.done) })
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.running {
		w.journal.end(w.shape.ID, task, r.key.attempt, "crashed")
	}
	w.running = map[string]*run{}
}

// Running returns how many runs there are.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

func (w *Worker) clock() time.Duration {
	if w.shape.ClockRate == 0 {
		return time.Since(w.born)
	}
	return time.Duration(float64(time.Since(w.born)) * w.shape.ClockRate)
}

// live ends runs whose time or lease is over.
func (w *Worker) live() {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.step(time.Now())
		case <-w.done:
			return
		}
	}
}

func (w *Worker) step(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lapsed := w.clock() > w.deadline
	for task, r := range w.running {
		switch {
		case lapsed:
			w.finish(task, r, "lapsed")
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			w.finish(task, r, "stopped")
		case w.faults.FailAll:
			w.finish(task, r, "failed")
		case now.After(r.ends):
			w.finish(task, r, "done")
		}
	}
}

func (w *Worker) finish(task string, r *run, how string) {
	delete(w.running, task)
	w.number++
	w.ended = append(w.ended, ended{w.number, r.key, how})
	w.closed[task] = max(w.closed[task], r.key.attempt)
	w.journal.end(w.shape.ID, task, r.key.attempt, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// start begins a run; reason is empty if it runs.
func (w *Worker) start(task string, attempt uint32, deadline time.Duration, fence uint64) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fence < w.fence {
		return "fence"
	}
	w.fence = fence
	if deadline < w.clock() {
		return "late"
	}
	w.extend(deadline)
	if r, ok := w.running[task]; ok {
		if r.key.attempt == attempt {
			return ""
		}
		return "old"
	}
	if attempt <= w.closed[task] {
		return "old"
	}
	w.running[task] = &run{key: runKey{task, attempt}, ends: time.Now().Add(w.runTime(task)), pace: 100}
	w.journal.start(w.shape.ID, task, attempt)
	if most := w.shape.MostRuns; most > 0 && len(w.running) > most {
		w.journal.problem(fmt.Sprintf("%s has %d runs, room for %d", w.shape.ID, len(w.running), most))
	}
	return ""
}

func (w *Worker) extend(deadline time.Duration) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxLease))
}

// stop ends a run after a while, and fences it off if it is not there.
func (w *Worker) stop(task string, attempt uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.running[task]
	if ok && r.key.attempt == attempt {
		if r.stopsAt.IsZero() {
			r.stopsAt = time.Now().Add(stopTime)
		}
		return
	}
	w.closed[task] = max(w.closed[task], attempt)
}

// hold renews the lease, forgets acknowledged ends and returns the lists.
func (w *Worker) hold(deadline time.Duration, fence uint64, acknowledged int64) (running, finished [][]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fence >= w.fence {
		w.fence = fence
		if deadline > 0 && len(w.running) >= 0 && w.clock() <= w.deadline || deadline > 0 && len(w.running) == 0 {
			w.extend(deadline)
		}
	}
	for len(w.ended) > 0 && w.ended[0].number <= acknowledged {
		if e := w.ended[0]; e.how == "done" {
			w.journal.note(w.shape.ID, e.key.task, e.key.attempt)
		}
		w.ended = w.ended[1:]
	}
	running, finished = [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.key.attempt, "", 50, 10})
	}
	for _, e := range w.ended {
		finished = append(finished, []any{e.number, e.key.task, e.key.attempt, e.how, ""})
	}
	return running, finished
}

// Journal records starts and ends of all workers, and what must never happen.
type Journal struct {
	mu   sync.Mutex
	open map[string]string // task to the run that works on it
	done map[string]int
	// noted are the runs whose end as done was acknowledged, by task; doubtful the runs
	// that had ended as done, not acknowledged, when another run started.
	noted    map[string]string
	doubtful map[string]bool
	ended    map[string][]string // runs that ended as done, by task
	starts   map[string]int
	problems []string
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{
		open: map[string]string{}, done: map[string]int{}, starts: map[string]int{},
		noted: map[string]string{}, doubtful: map[string]bool{}, ended: map[string][]string{},
	}
}

func runName(worker, task string, attempt uint32) string {
	return fmt.Sprintf("%s run %d on %s", task, attempt, worker)
}

func (j *Journal) start(worker, task string, attempt uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	name := runName(worker, task, attempt)
	if other, ok := j.open[task]; ok {
		j.problems = append(j.problems, name+" starts while "+other+" works")
	}
	if noted, ok := j.noted[task]; ok {
		j.problems = append(j.problems, name+" starts after the end of "+noted+" was acknowledged")
	}
	for _, run := range j.ended[task] {
		j.doubtful[run] = true
	}
	j.open[task] = name
	j.starts[task]++
}

// note records that the end of a run as done was acknowledged: it counts for good.
func (j *Journal) note(worker, task string, attempt uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	name := runName(worker, task, attempt)
	if j.doubtful[name] {
		j.problems = append(j.problems, name+" was acknowledged as done, though another run had started since")
	}
	if noted, ok := j.noted[task]; ok && noted != name {
		j.problems = append(j.problems, name+" was acknowledged as done beside "+noted)
	}
	j.noted[task] = name
}

func (j *Journal) problem(text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.problems = append(j.problems, text)
}

// DoneOf returns how many tasks of a job have ended as done.
func (j *Journal) DoneOf(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for task, times := range j.done {
		if times > 0 && strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// StartsOf returns how many runs of a job were started.
func (j *Journal) StartsOf(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for task, times := range j.starts {
		if strings.HasPrefix(task, job+".") {
			n += times
		}
	}
	return n
}

func (j *Journal) end(worker, task string, attempt uint32, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.open[task] == runName(worker, task, attempt) {
		delete(j.open, task)
	}
	if how == "done" {
		j.done[task]++
		j.ended[task] = append(j.ended[task], runName(worker, task, attempt))
	}
}

// Problems returns what must never have happened.
func (j *Journal) Problems() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.problems...)
}

// Done returns how many tasks were done, and how often a task was done twice.
func (j *Journal) Done() (tasks, twice int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, n := range j.done {
		tasks++
		if n > 1 {
			twice++
		}
	}
	return tasks, twice
}
