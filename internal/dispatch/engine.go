// Package dispatch schedules jobs while this process owns the schedule. It plans runs,
// stores each decision before it sends the orders, and processes the reports of agents.
//
// A best-effort task is one whose step sets Fills: it uses CPU that other tasks leave
// unused. A serving task is one with a target for its tail latency.
package dispatch

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/interference"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/plan"
	"chervilridge/internal/schedulestore"
	"chervilridge/internal/urgency"
	"chervilridge/platform"
)

const (
	// minCommitInterval is the minimum pause between two appends. It bounds the call rate
	// of the store and lets concurrent changes share an append.
	minCommitInterval = 12 * time.Millisecond
	// tickInterval is how often timeouts are checked.
	tickInterval = 100 * time.Millisecond
	// confirmInterval is how often ownership is confirmed with an empty append when
	// nothing is stored.
	confirmInterval = 800 * time.Millisecond
	// MaxConfirmationAge is the age of the last confirmation of ownership up to which
	// leases may be granted. A new owner adds it to the time it waits for the leases of
	// unreachable agents.
	MaxConfirmationAge = 2500 * time.Millisecond
	// leaseExpiryMargin is added to a lease for message delays, besides the 2 % by which a
	// worker's clock may be slow.
	leaseExpiryMargin = 400 * time.Millisecond
	// storeUnresponsiveAfter is how long an append may take before new jobs are rejected;
	// storeFailingAfter replaces it once an attempt has failed.
	storeUnresponsiveAfter = 900 * time.Millisecond
	storeFailingAfter      = 250 * time.Millisecond
	// extraRetention is how long an ended job is kept beyond the platform's retention, so
	// that a late retry of its submission is recognized as a duplicate.
	extraRetention = 3 * time.Minute
)

// Settings configure an Engine.
type Settings struct {
	Node   string
	Bounds platform.Bounds
	// Advisor is nil if no queue has a placement policy.
	Advisor Advisor
	// MaxRecordBytes is the size of a record that the store accepts; 0 is no limit.
	MaxRecordBytes int
	// Machines is nil if the platform has no machine API.
	Machines Machines
	// Stalled is called if the engine has made no progress for MaxLease. Its lock may be held for ever,
	// so that only the end of the process ends the epoch. It may be nil.
	Stalled func(reason string)
}

// Engine runs the schedule for one epoch. It is safe for concurrent use.
type Engine struct {
	settings     Settings
	writer       *schedulestore.Writer
	operatorView func() *operatorconfig.View
	clock        boottime.Clock
	wall         func() time.Time
	epochStart   boottime.Instant
	progress     progress

	mu         sync.Mutex
	jobs       map[string]*jobEntry
	activeJobs map[string]*jobEntry // jobs that have not ended or still have runs
	unreadable map[string]bool      // IDs of stored jobs that cannot be read
	nodes      map[string]*node
	batch      *batch
	planDue    bool
	closed     bool
	// appendStart is when the append in flight began; 0 if there is none. appendFailed is
	// set once an attempt of it has failed.
	appendStart  boottime.Instant
	appendFailed bool
	// confirmRequested is set while a caller waits for the store to confirm ownership.
	// settled is closed and replaced after each successful append, and when jobs are
	// rejected. appendsBegun counts the appends begun; appendsDone is the number of the
	// last one that succeeded.
	confirmRequested          bool
	settled                   chan struct{}
	appendsBegun, appendsDone uint64

	waves             map[string]*wave
	crashes           crashLog
	unreachableAgents unreachableAgents
	advisor           advisorState
	durations         *urgency.DurationEstimator
	boundConfig       *operatorconfig.Config // whose queues the jobs have; nil at first
	model             *interference.Model
	// modelSentRevision is the model revision last sent to agents.
	modelSentRevision uint64
	modelSentAt       boottime.Instant
	// modelStoredRevision is the model revision last handed to a batch.
	modelStoredRevision uint64
	modelStoredAt       boottime.Instant
	lastMoveCheck       boottime.Instant
	stateLoggedAt       boottime.Instant
	waitsLoggedAt       boottime.Instant
	overduePlacedAt     boottime.Instant
	forecasts           forecasts
	lookahead           lookahead

	wakeCh chan struct{}
	ended  chan struct{} // closed when the epoch has ended
	stop   chan struct{} // closed to end the epoch

	stopOnce sync.Once
}

// jobEntry is a job and what the owner tracks about it in memory only.
type jobEntry struct {
	job *jobstate.Job
	// queue is the job's queue by the settings bound to the job; nil if there are none.
	// queueUnknown is set once that is logged.
	queue        *operatorconfig.Queue
	queueUnknown bool
	// storedPhase is that of the job's last stored record; clients see only this one.
	storedPhase chervilv2.JobPhase
	// changes counts the changes of the job, storedChanges those that are stored; 0 while
	// the job itself is not. appended is set once an append with the job has begun.
	changes, storedChanges uint64
	appended               bool
	// rejected is the reply to the job's callers if it was rejected before it was stored.
	rejected *chervilv2.JobReply
	// failedOn holds the IDs of the workers on which each task has failed.
	failedOn map[jobstate.TaskRef]map[string]bool
	// refusedAt is when workers last refused to start each task, by worker ID.
	refusedAt map[jobstate.TaskRef]map[string]boottime.Instant
	// crashedAt is when the last run of each task ended with its worker.
	crashedAt map[jobstate.TaskRef]boottime.Instant
	// waits holds the long-running tasks that have been seen waiting since their last confirmed start.
	waits map[jobstate.TaskRef]*taskWait
	// idleSince is when the job was first seen with waiting tasks and no run; 0
	// otherwise.
	idleSince boottime.Instant
	// nextDueUnixMs is when the next occurrence begins; 0 if there is none left.
	nextDueUnixMs int64
	// expectedEnd is the first forecast end; 0 if there is none yet.
	expectedEnd boottime.Instant
}

// New returns an engine for the state that was restored from the store. The writer must
// have fenced the store before the state was loaded.
func New(settings Settings, writer *schedulestore.Writer, restored *schedulestore.State, operatorView func() *operatorconfig.View, clock boottime.Clock) *Engine {
	e := &Engine{
		settings: settings, writer: writer, operatorView: operatorView, clock: clock, wall: time.Now, epochStart: clock(),
		waves: map[string]*wave{}, jobs: map[string]*jobEntry{}, activeJobs: map[string]*jobEntry{}, nodes: map[string]*node{},
		unreadable: restored.Unreadable, batch: newBatch(), planDue: true, model: interference.New(), durations: urgency.NewDurationEstimator(),
		advisor: advisorState{steps: map[plan.StepKey]*placementAdvice{}}, wakeCh: make(chan struct{}, 1), ended: make(chan struct{}), stop: make(chan struct{}), settled: make(chan struct{}),
	}
	e.progress.record(e.epochStart, e.epochStart)
	e.restoreModel(restored.Interference)
	e.restoreWaves(restored.Waves)
	e.unreachableAgents.inherited, e.unreachableAgents.stored = restored.UngrantedMs, maps.Clone(restored.UngrantedMs)
	for id, job := range restored.Jobs {
		en := &jobEntry{job: job, queue: storedQueue(job.Spec), storedPhase: job.Phase, changes: 1, storedChanges: 1}
		e.jobs[id] = en
		if !job.Ended() {
			en.nextDueUnixMs = job.OpenDueOccurrences(e.wall().UnixMilli())
		}
		e.updateActive(id, en)
		job.ForEachRun(func(r *jobstate.Run) {
			_, task := job.Task(r.Ref)
			tr := e.node(r.Worker.Node).addRun(e, r)
			tr.inherited = true
			if r.Stopping = job.Ended() || task.Done; r.Stopping {
				tr.orderedAt = 0 // so that its stop is repeated as soon as the agent lists the run
			}
		})
	}
	return e
}

// updateActive adds the job to the active ones, or removes it once it has ended and has
// no runs.
func (e *Engine) updateActive(id string, en *jobEntry) {
	if en.job.Ended() {
		hasRuns := false
		en.job.ForEachRun(func(*jobstate.Run) { hasRuns = true })
		if !hasRuns {
			delete(e.activeJobs, id)
			return
		}
	}
	e.activeJobs[id] = en
}

// Epoch returns the epoch of the schedule.
func (e *Engine) Epoch() uint64 { return e.writer.Epoch() }

// Done returns a channel that is closed when the epoch has ended.
func (e *Engine) Done() <-chan struct{} { return e.ended }

// ConfirmationAge returns the time since the store last confirmed this owner's epoch.
func (e *Engine) ConfirmationAge() time.Duration { return e.writer.SinceConfirmed() }

// Run commits batches and checks timeouts until the context is cancelled or the epoch
// ends.
func (e *Engine) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.tickLoop(ctx)
	go e.watchProgress()
	if e.settings.Machines != nil {
		go e.maintenanceLoop(ctx)
	}
	go func() {
		select {
		case <-e.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := e.commitLoop(ctx)
	e.shutDown(err)
}

// shutDown ends the epoch, detaches all agents and wakes all waiting callers.
func (e *Engine) shutDown(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, n := range e.nodes {
		if n.session != nil {
			n.session.close()
		}
	}
	close(e.ended)
	events.OwnershipLost.Log("epoch", e.Epoch(), "node", e.settings.Node, "cause", err)
}

func (e *Engine) wake() {
	select {
	case e.wakeCh <- struct{}{}:
	default:
	}
}

// replan requests a planning round before the next commit.
func (e *Engine) replan() {
	e.planDue = true
	e.wake()
}

// sendOrder queues a stored order for its agent. A start whose run was dropped while the
// append was in flight is discarded: the task may have been granted to another worker
// since.
func (e *Engine) sendOrder(o order) {
	n, ok := e.nodes[o.node]
	if !ok {
		return
	}
	if o.storedEnd > 0 {
		if n.key != o.worker {
			return // the worker has been replaced
		}
		n.storedEnd = max(n.storedEnd, o.storedEnd)
	}
	if o.workerEnd {
		if n.endedWorker != o.worker || n.workerEnd != workerEndPending {
			return // the worker has been replaced, or lives
		}
		n.workerEnd = workerEndStored
	}
	if o.start != nil {
		tr := n.runs[o.run]
		if tr == nil || tr.run.Stopping || tr.run.Worker != n.key {
			events.StaleOrderDiscarded.Log("task", o.start.Task, "attempt", o.start.Attempt, "node", o.node, "known", tr != nil)
			return
		}
		tr.orderedAt = e.clock()
	}
	if n.session == nil {
		if tr := n.runs[o.run]; tr != nil {
			tr.orderedAt = e.clock().Add(-2 * repeatOrderAfter) // is repeated once the agent reports its runs
		}
		return
	}
	n.session.addOrder(o)
	if o.start != nil && o.start.TargetLatencyMs > 0 { // the agent may not have the slopes for this image
		pairs := e.interferenceFor(n)
		n.session.update(func(next *chervilv2.OwnerOrders) { next.Interference = pairs })
	}
}

func (e *Engine) tickLoop(ctx context.Context) {
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

// tick checks all timeouts and runs the periodic work.
func (e *Engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	if e.storeUnresponsive() {
		e.rejectNewJobs(e.batch)
	}
	for _, n := range e.nodes {
		if len(n.runs) > 0 && now.After(n.leasesExpireAt(e)) {
			e.countUnreportedEnd(n, anyRun, n.lastListed)
			e.dropRuns(n, anyRun, "agent unreachable until its leases expired")
		}
	}
	wall := e.wall().UnixMilli()
	for id, en := range e.activeJobs {
		if en.nextDueUnixMs > 0 && wall >= en.nextDueUnixMs && !en.job.Ended() {
			e.openOccurrences(id, en)
		}
	}
	e.pruneEndedJobs(wall)
	e.pruneAdvice()
	e.sendModel(now)
	e.storeModel(now)
	e.recordUnreachable(now)
	e.moveSlowedRuns(now)
	e.replan()
	e.progress.record(e.clock(), e.lastAgentSeen(now))
}

func (e *Engine) openOccurrences(id string, en *jobEntry) {
	en.nextDueUnixMs = en.job.OpenDueOccurrences(e.wall().UnixMilli())
	if en.job.Scheduled() {
		e.markDirty(id, en)
	}
	e.replan()
}

// pruneEndedJobs deletes jobs whose retention has passed.
func (e *Engine) pruneEndedJobs(wallMs int64) {
	retentionMs := (e.settings.Bounds.StatusRetention + extraRetention).Milliseconds()
	for id, en := range e.jobs {
		if en.job.Ended() && wallMs-en.job.EndedUnixMs > retentionMs && e.activeJobs[id] == nil {
			delete(e.jobs, id)
			e.batch.deletedJobs = append(e.batch.deletedJobs, id)
			events.JobDeleted.Log("job", id, "endedUnixMs", en.job.EndedUnixMs)
			e.wake()
		}
	}
}

var errNotOwner = errors.New("this process no longer owns the schedule")

// Stop waits until pending changes are stored, then ends the epoch.
func (e *Engine) Stop(ctx context.Context) {
	if err := e.awaitAppend(ctx, e.lastAppend()); err != nil {
		events.ChangesNotStored.LogError(err, "epoch", e.Epoch(), "node", e.settings.Node)
	}
	e.Abandon()
	select {
	case <-e.ended:
	case <-ctx.Done():
	}
}

// lastAppend returns the number of the append after which all pending changes are stored.
func (e *Engine) lastAppend() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.batch.empty() {
		return e.appendsBegun
	}
	return e.appendsBegun + 1
}

// Abandon ends the epoch at once, without storing pending changes, for example because
// another process has become the owner.
func (e *Engine) Abandon() { e.stopOnce.Do(func() { close(e.stop) }) }
