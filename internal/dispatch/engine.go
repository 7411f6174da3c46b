// Package dispatch schedules jobs while this process owns the schedule: it stores what
// it decides, then gives the orders, and takes in what agents report.
package dispatch

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/catalog"
	"chervilridge/internal/events"
	"chervilridge/internal/interference"
	"chervilridge/internal/plan"
	"chervilridge/internal/statelog"
	"chervilridge/internal/urgency"
	"chervilridge/internal/work"
	"chervilridge/platform"
)

const (
	// commitGap is the least time between two appends; it bounds the calls of the
	// store and gathers changes that come together.
	commitGap = 12 * time.Millisecond
	// tickInterval is how often time limits are looked at.
	tickInterval = 100 * time.Millisecond
	// confirmInterval is how often the ownership is confirmed when nothing is stored.
	confirmInterval = 800 * time.Millisecond
	// ConfirmLimit is how long after the last confirmation leases may be granted. A
	// new owner waits that long for agents that it cannot reach.
	ConfirmLimit = 2500 * time.Millisecond
	// clockMargin covers worker clocks that are 2 % slow and what a message takes.
	clockMargin = 400 * time.Millisecond
	// storeAwayAfter is how long an append may take before new jobs are rejected.
	storeAwayAfter = 900 * time.Millisecond
	// extraRetention is how long an ended job is kept beyond the platform's bound, so
	// that a late repeat of its submission is recognized.
	extraRetention = 3 * time.Minute
)

// Settings are what the engine needs of the process.
type Settings struct {
	Node   string
	Bounds platform.Bounds
	// Advisor is nil where no queue has a placement policy.
	Advisor Advisor
	// Machines is nil where the platform offers no machine API.
	Machines Machines
}

// Engine is the schedule of one epoch. It is safe for concurrent use.
type Engine struct {
	settings Settings
	writer   *statelog.Writer
	operator func() *catalog.View
	clock    boottime.Clock
	wall     func() time.Time
	took     boottime.Instant // when the epoch began

	mu       sync.Mutex
	jobs     map[string]*entry
	open     map[string]*entry // jobs that have not ended or still have runs
	nodes    map[string]*node
	batch    *batch
	planDue  bool
	closed   bool
	inFlight boottime.Instant // when the append under way began; 0 if there is none
	// confirmDue is set while somebody waits for the store to confirm the ownership,
	// appended is closed with the next append. Appends are counted as they begin and as
	// they are stored.
	confirmDue                bool
	appended                  chan struct{}
	appendsBegun, appendsDone uint64

	waves     map[string]*wave
	silence   silence
	advice    map[plan.StepKey]*advice
	advising  int // questions under way
	durations *urgency.Durations
	model     *interference.Model
	// modelSent is the revision of the model that agents have, modelAt when it was sent.
	modelSent uint64
	modelAt   boottime.Instant
	// modelStored is the revision that the store has, modelStoredAt when it was stored.
	modelStored   uint64
	modelStoredAt boottime.Instant
	// movedAt is when slowed runs were last looked at.
	movedAt boottime.Instant
	// stateLogged is when the state was last logged.
	stateLogged boottime.Instant

	kick chan struct{}
	gone chan struct{} // closed when the epoch has ended
	stop chan struct{} // closed to end the epoch

	stopOnce sync.Once
}

// entry is a job with what is known of it outside its record.
type entry struct {
	job *work.Job
	// phase and started are what the store has.
	phase   chervilv2.JobPhase
	started bool
	// storedIn is the batch that stores the job; nil once it is stored.
	storedIn *batch
	// failedOn are the workers on which a task failed.
	failedOn map[work.TaskRef]map[string]bool
	// idle is since when tasks wait and none runs; 0 if that is not so.
	idle boottime.Instant
	// nextDue is when the next occurrence begins, in Unix ms; 0 if none is left.
	nextDue int64
}

// New returns an engine for what was restored from a store that was fenced by the writer.
func New(settings Settings, writer *statelog.Writer, restored *statelog.Restored, operator func() *catalog.View, clock boottime.Clock) *Engine {
	e := &Engine{
		settings: settings, writer: writer, operator: operator, clock: clock, wall: time.Now, took: clock(),
		waves: map[string]*wave{}, jobs: map[string]*entry{}, open: map[string]*entry{}, nodes: map[string]*node{},
		batch: newBatch(), planDue: true, model: interference.New(), durations: urgency.NewDurations(),
		advice: map[plan.StepKey]*advice{}, kick: make(chan struct{}, 1), gone: make(chan struct{}), stop: make(chan struct{}), appended: make(chan struct{}),
	}
	e.recall(restored.Interference)
	e.recallWaves(restored.Waves)
	e.silence.before, e.silence.stored = restored.SilentMs, maps.Clone(restored.SilentMs)
	for id, job := range restored.Jobs {
		en := &entry{job: job, phase: job.Phase, started: job.Started}
		e.jobs[id] = en
		if !job.Ended() {
			en.nextDue = job.Open(e.wall().UnixMilli())
		}
		e.reopen(id, en)
		job.Runs(func(r *work.Run) {
			_, task := job.Task(r.Ref)
			h := e.node(r.Worker.Node).add(e, r)
			if r.Stopping = job.Ended() || task.Done; r.Stopping {
				h.ordered = 0 // its stop is due as soon as the agent lists it
			}
		})
	}
	return e
}

// reopen enters a job into the open ones or takes it out.
func (e *Engine) reopen(id string, en *entry) {
	if en.job.Ended() {
		hasRuns := false
		en.job.Runs(func(*work.Run) { hasRuns = true })
		if !hasRuns {
			delete(e.open, id)
			return
		}
	}
	e.open[id] = en
}

// Epoch returns the epoch of the schedule.
func (e *Engine) Epoch() uint64 { return e.writer.Epoch() }

// Gone is closed when the epoch has ended.
func (e *Engine) Gone() <-chan struct{} { return e.gone }

// StoreSilent returns how long ago the store last confirmed the ownership.
func (e *Engine) StoreSilent() time.Duration { return e.writer.ConfirmedFor() }

// Run commits and watches time limits until the context or the epoch ends.
func (e *Engine) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.watchTime(ctx)
	if e.settings.Machines != nil {
		go e.maintain(ctx)
	}
	go func() {
		select {
		case <-e.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := e.commitLoop(ctx)
	e.end(err)
}

// end fails what waits for the store and detaches all agents.
func (e *Engine) end(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.batch.finish(err)
	for _, n := range e.nodes {
		if n.session != nil {
			n.session.close()
		}
	}
	close(e.gone)
	events.OwnershipLost.Log("epoch", e.Epoch(), "node", e.settings.Node, "cause", err)
}

func (e *Engine) wake() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// replan asks for a round of planning.
func (e *Engine) replan() {
	e.planDue = true
	e.wake()
}

func (e *Engine) commitLoop(ctx context.Context) error {
	for {
		select {
		case <-e.kick:
		case <-time.After(confirmInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		b, records := e.seal()
		if b == nil && !e.takeConfirmDue() && e.writer.ConfirmedFor() < confirmInterval {
			continue
		}
		if err := e.commit(ctx, b, records); err != nil {
			return err
		}
		select {
		case <-time.After(commitGap):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Engine) commit(ctx context.Context, b *batch, records []platform.Record) error {
	e.beginAppend()
	err := e.writer.Append(ctx, records)
	e.endAppend()
	if err == nil {
		e.tellAppended()
	}
	if b == nil {
		return err
	}
	if err != nil {
		b.finish(err)
		return err
	}
	e.release(b)
	return nil
}

// takeConfirmDue reports whether somebody waits for a confirmation, and takes that note.
func (e *Engine) takeConfirmDue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	due := e.confirmDue
	e.confirmDue = false
	return due
}

// tellAppended wakes who waits for an append.
func (e *Engine) tellAppended() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.appendsDone = e.appendsBegun
	close(e.appended)
	e.appended = make(chan struct{})
}

func (e *Engine) beginAppend() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight = e.clock()
	e.appendsBegun++
}

func (e *Engine) endAppend() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight = 0
}

// storeAway reports whether the store has not answered for some time.
func (e *Engine) storeAway() bool {
	return e.inFlight != 0 && e.clock().Sub(e.inFlight) > storeAwayAfter
}

// release makes a stored batch visible and gives the orders that waited for it.
func (e *Engine) release(b *batch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, v := range b.visible {
		if en, ok := e.jobs[id]; ok {
			en.phase, en.started = v.phase, v.started
			if en.storedIn == b {
				en.storedIn = nil
			}
		}
	}
	for _, o := range b.orders {
		e.give(o)
	}
	if b.silent != nil {
		e.silence.stored, e.silence.writing = b.silent, nil
	}
	b.finish(nil)
}

// give hands a stored order to its agent. A start is void if its run was dropped while
// the store was slow: the task may have been granted elsewhere since.
func (e *Engine) give(o order) {
	n, ok := e.nodes[o.node]
	if !ok {
		return
	}
	if o.storedEnd > 0 && n.key.ID == o.workerID && n.key.BornUnixMs == o.born {
		n.storedEnd = max(n.storedEnd, o.storedEnd)
	}
	if o.start != nil {
		h := n.runs[o.run]
		if h == nil || h.run.Stopping || h.run.Worker != n.key {
			events.StaleOrderDropped.Log("task", o.start.Task, "attempt", o.start.Attempt, "node", o.node, "known", h != nil)
			return
		}
		h.ordered = e.clock()
	}
	if n.session == nil {
		return
	}
	n.session.push(o)
	if o.start != nil && o.start.TargetLatencyMs > 0 { // the agent may not know what disturbs this image
		known := e.interference(n)
		n.session.edit(func(next *chervilv2.OwnerOrders) { next.Interference = known })
	}
}

func (e *Engine) watchTime(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.tick()
		case <-ctx.Done():
			return
		}
	}
}

// tick looks at all time limits.
func (e *Engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	for _, n := range e.nodes {
		if len(n.runs) > 0 && now.After(n.lapsedAt(e)) {
			e.loseRuns(n, nil, "agent silent beyond the leases")
		}
	}
	wall := e.wall().UnixMilli()
	for id, en := range e.open {
		if en.nextDue > 0 && wall >= en.nextDue && !en.job.Ended() {
			e.openOccurrences(id, en)
		}
	}
	e.forgetOld(wall)
	e.forgetAdvice()
	e.shareModel(now)
	e.storeModel(now)
	e.storeSilence(now)
	e.moveSlowed(now)
	e.replan()
}

func (e *Engine) openOccurrences(id string, en *entry) {
	en.nextDue = en.job.Open(e.wall().UnixMilli())
	if en.job.Scheduled() {
		e.markDirty(id, en)
	}
	e.replan()
}

// forgetOld drops jobs that ended long ago.
func (e *Engine) forgetOld(wallMs int64) {
	keep := (e.settings.Bounds.StatusRetention + extraRetention).Milliseconds()
	for id, en := range e.jobs {
		if en.job.Ended() && wallMs-en.job.EndedUnixMs > keep && e.open[id] == nil {
			delete(e.jobs, id)
			e.batch.forget = append(e.batch.forget, id)
			events.JobForgotten.Log("job", id, "endedUnixMs", en.job.EndedUnixMs)
			e.wake()
		}
	}
}

var errClosed = errors.New("this process no longer owns the schedule")

// Stop stores what has been decided and ends the epoch.
func (e *Engine) Stop(ctx context.Context) {
	e.mu.Lock()
	last := e.batch
	pending := !last.empty() || e.inFlight != 0
	e.mu.Unlock()
	if pending {
		e.wake()
		select {
		case <-last.done:
		case <-ctx.Done():
		case <-e.gone:
		}
	}
	e.Abandon()
	select {
	case <-e.gone:
	case <-ctx.Done():
	}
}

// Lonely returns for how long no agent has been attached.
func (e *Engine) Lonely() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	newest := e.took
	for _, n := range e.nodes {
		if n.session != nil {
			return 0
		}
		newest = max(newest, n.heard)
	}
	return e.clock().Sub(newest)
}

// Abandon ends the epoch at once: another owner has taken over.
func (e *Engine) Abandon() { e.stopOnce.Do(func() { close(e.stop) }) }
