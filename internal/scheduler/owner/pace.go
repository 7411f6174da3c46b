package owner

import (
	"time"

	"chervilridge/internal/events"
	"chervilridge/internal/scheduler/placement"
	"chervilridge/internal/shard"
)

const (
	// maxStarts bounds the assignments and starts under way at once, so that
	// recovery from an outage is no storm.
	maxStarts = 64
	// maxStartsPerWorker bounds those on one worker.
	maxStartsPerWorker = 4

	firstPause     = 250 * time.Millisecond
	longestPause   = 5 * time.Second
	longestBlocked = time.Minute // a worker that fails everything

	// A worker is held back when its attempts failed that often, in that many
	// jobs, with none finished in between.
	suspectFailures = 3
	suspectJobs     = 2
)

// backoff doubles a pause with each failure in a row.
type backoff struct {
	failures int
	until    time.Time
}

func (b *backoff) fail(now time.Time, longest time.Duration) {
	pause := firstPause << min(b.failures, 16)
	b.failures++
	b.until = now.Add(min(pause, longest))
}

func (b *backoff) waits(now time.Time) bool { return now.Before(b.until) }

// pace bounds how fast the owner starts tasks. The owner's lock guards it.
type pace struct {
	starts  int
	on      map[string]int // by worker
	log     backoff
	tasks   map[shard.TaskRef]*backoff
	workers map[string]*workerFaults
}

// workerFaults are the failures on a worker since an attempt finished there.
type workerFaults struct {
	backoff
	attempts int
	jobs     map[string]bool
	// rests is the end of the pause after an eviction.
	rests time.Time
}

func newPace() *pace {
	return &pace{on: map[string]int{}, tasks: map[shard.TaskRef]*backoff{}, workers: map[string]*workerFaults{}}
}

// holdBack takes out of a snapshot the tasks that wait after a failure and
// marks the workers that do as not ready.
func (o *Owner) holdBack(snap *placement.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	ready := snap.Tasks[:0]
	for _, t := range snap.Tasks {
		if b := o.pace.tasks[t.Ref]; b == nil || !b.waits(now) {
			ready = append(ready, t)
		}
	}
	snap.Tasks = ready
	for ref, b := range o.pace.tasks {
		if now.Sub(b.until) > longestBlocked {
			delete(o.pace.tasks, ref)
		}
	}
	for i, w := range snap.Workers {
		if f := o.pace.workers[w.Name]; f != nil && (f.waits(now) || now.Before(f.rests)) {
			snap.Workers[i].Ready = false
		}
	}
}

// admit takes one of the bounded places for a start and returns where to give it
// back; nil if none is free.
func (o *Owner) admit(key attemptKey, worker string) *pace {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view(key)
	if v.busy || o.pace.log.waits(time.Now()) || o.pace.starts >= maxStarts || o.pace.on[worker] >= maxStartsPerWorker {
		return nil
	}
	v.busy = true
	o.pace.starts++
	o.pace.on[worker]++
	return o.pace
}

// discharge gives the place back.
func (o *Owner) discharge(p *pace, key attemptKey, worker string) {
	o.vacate(key)
	o.mu.Lock()
	defer o.mu.Unlock()
	p.starts--
	p.on[worker]--
}

// noteLog counts an append that failed, so that no further starts are planned
// for a while, or that succeeded.
func (o *Owner) noteLog(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.pace.log = backoff{}
		return
	}
	if o.pace.log.waits(time.Now()) {
		return
	}
	o.pace.log.fail(time.Now(), longestPause)
	events.TaskStartsHeld.LogError(err, "shard", o.options.Shard, "until", o.pace.log.until)
}

// noteNotStarted makes a task wait before it is placed again.
func (o *Owner) noteNotStarted(ref shard.TaskRef) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.pace.taskOf(ref)
	b.fail(time.Now(), longestPause)
}

// noteRan forgets what held back a task and the worker that finished it.
func (o *Owner) noteRan(ref shard.TaskRef, worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pace.tasks, ref)
	if f := o.pace.workers[worker]; f != nil {
		o.pace.workers[worker] = &workerFaults{jobs: map[string]bool{}, rests: f.rests}
	}
}

// noteEvicted keeps new work from a worker whose service had to be relieved.
func (o *Owner) noteEvicted(worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pace.faultsOf(worker).rest(time.Now().Add(o.options.EvictPause))
}

func (f *workerFaults) rest(until time.Time) {
	if until.After(f.rests) {
		f.rests = until
	}
}

func (p *pace) taskOf(ref shard.TaskRef) *backoff {
	b := p.tasks[ref]
	if b == nil {
		b = &backoff{}
		p.tasks[ref] = b
	}
	return b
}

func (p *pace) faultsOf(worker string) *workerFaults {
	f := p.workers[worker]
	if f == nil {
		f = &workerFaults{jobs: map[string]bool{}}
		p.workers[worker] = f
	}
	return f
}

// noteFailed counts a failed attempt on a worker. One that is the worker's own
// fault holds the worker back at once, others when they look like its fault.
func (o *Owner) noteFailed(ref shard.TaskRef, worker string, workerFault bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.pace.faultsOf(worker)
	f.attempts++
	f.jobs[ref.JobID] = true
	suspect := f.attempts >= suspectFailures && len(f.jobs) >= suspectJobs
	if (workerFault || suspect) && !f.waits(time.Now()) {
		f.fail(time.Now(), longestBlocked)
		events.WorkerHeldBack.Log("worker", worker, "failures", f.attempts, "jobs", len(f.jobs), "until", f.until)
	}
}
