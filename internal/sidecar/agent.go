// Package sidecar is the agent beside a worker: it holds the worker's runs, carries the
// owner's orders out, and reports what runs and how runs ended.
package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/interference"
	"chervilridge/platform"
)

const (
	// holdWait is how long the worker may hold a call open until a run ends.
	holdWait = 400 * time.Millisecond
	// holdSlack is what an answer may take beyond that.
	holdSlack = 700 * time.Millisecond
	// holdPause is the pause between calls while ends wait to be stored.
	holdPause = 40 * time.Millisecond
	// idlePause is the pause between calls to a worker that does not answer.
	idlePause = 150 * time.Millisecond
	// clockRateMilli is how slow a worker's clock may be, in thousandths of ours.
	clockRateMilli = 980
	// clockMargin covers what a message and a late timer take.
	clockMargin = 150 * time.Millisecond
	// refusedLimit is how many connections in a row a worker must refuse to be gone.
	refusedLimit = 2
	// silentLimit is after how many unanswered calls leases are no longer renewed, so
	// that they run out.
	silentLimit = 3
	// oweTime is how long the ends of a life that is gone are reported.
	oweTime = 3 * time.Second
	// lastHoldTimeout bounds the last look at a worker that leaves.
	lastHoldTimeout = 250 * time.Millisecond
	// drainingWait is how long a draining worker may hold a call open: it may end at any
	// moment.
	drainingWait = 100 * time.Millisecond
)

// Worker is what the agent calls of the worker beside it.
type Worker interface {
	Start(ctx context.Context, workerID string, s platform.StartRequest) (time.Duration, error)
	Stop(ctx context.Context, workerID, task string, attempt uint32, fence uint64) (time.Duration, error)
	Pace(ctx context.Context, workerID, task string, attempt, percent uint32, fence uint64) error
	RenewLease(ctx context.Context, workerID string, h platform.LeaseRenewal) (platform.RunReport, error)
}

type runKey struct {
	task    string
	attempt uint32
}

// life is one life of the worker.
type life struct {
	id       string
	born     int64
	beat     platform.Heartbeat
	draining bool
	left     bool // it has said that it ends
	gone     bool // nothing runs on it any more, and it does not come back
	goneAt   boottime.Instant
	lapsed   bool // all leases ran out while it was silent
	listed   bool
	// clock is a reading of the worker's clock and clockAt a time not before it.
	clock   time.Duration
	clockAt boottime.Instant
	// until is the latest end of a lease that was ever sent, on the worker's clock.
	until    time.Duration
	answered boottime.Instant
	silent   int // unanswered calls in a row
	refused  int
	runs     map[runKey]platform.Run
	ends     []platform.RunEnd
	stored   int64 // ends up to it are stored by the owner
}

// Agent is the state of the agent. It is safe for concurrent use.
type Agent struct {
	node   *platform.NodeSettings
	worker Worker
	clock  boottime.Clock

	mu        sync.Mutex
	life      *life
	next      *platform.Heartbeat // of a new life that has to wait
	epoch     uint64
	authority boottime.Instant // until when leases may be renewed
	tasks     map[runKey]*task
	results   []*chervilv2.StartResult
	// refused are runs that were said not to have started, and when.
	refused map[runKey]boottime.Instant
	// settled are results that wait for a full list newer than themselves.
	settled []*chervilv2.StartResult
	info    map[runKey]runInfo
	paced   map[runKey]uint32
	pacers  map[string]*pacer // by filling image
	model   *interference.Model
	watches map[runKey]*watched // serving runs
	lastUse map[string]float64  // what filling runs used by the list before, by image
	full    bool                // the next report lists all runs
	changed chan struct{}
	holdNow chan struct{}
	slots   chan struct{}
}

// NewAgent returns an agent that knows no worker yet.
func NewAgent(node *platform.NodeSettings, worker Worker, clock boottime.Clock) *Agent {
	a := &Agent{
		node: node, worker: worker, clock: clock, tasks: map[runKey]*task{}, paced: map[runKey]uint32{}, info: map[runKey]runInfo{},
		pacers: map[string]*pacer{}, model: interference.New(), watches: map[runKey]*watched{}, refused: map[runKey]boottime.Instant{},
		changed: make(chan struct{}, 1), holdNow: make(chan struct{}, 1), slots: make(chan struct{}, orderConcurrency),
	}
	return a
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Heartbeat takes in what the worker says of itself.
func (a *Agent) Heartbeat(h platform.Heartbeat) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.life
	if l == nil || !l.is(h) {
		if l != nil && l.id != "" && h.BornUnixMs < l.born {
			events.HeartbeatRejected.Log("worker", h.WorkerID, "born", h.BornUnixMs, "known", l.id, "knownBorn", l.born, "reason", "of an earlier life")
			return
		}
		if l != nil && l.owes(a.clock()) {
			a.next = &h // taken in once the ends of the life before are stored
			return
		}
		a.next = nil
		l = &life{runs: map[runKey]platform.Run{}, answered: a.clock()}
		a.life = l
		clear(a.info)
		clear(a.paced)
		clear(a.watches)
		a.lastUse = nil
	}
	if l.id == "" {
		l.id, l.born = h.WorkerID, h.BornUnixMs
		events.WorkerSeen.Log("worker", h.WorkerID, "born", h.BornUnixMs, "service", h.Service, "sequence", h.Sequence,
			"cpuMilli", h.CPUMilli, "memoryMB", h.MemoryMB, "labels", h.Labels)
		signal(a.holdNow)
		signal(a.changed)
	}
	if h.Sequence < l.beat.Sequence {
		return
	}
	if l.gone && h.Sequence > l.beat.Sequence {
		l.gone, l.lapsed, l.refused = false, true, 0 // it lives after all, but runs nothing
	}
	if h.Draining && !l.draining {
		events.WorkerDraining.Log("worker", h.WorkerID, "remaining", h.DrainRemaining, "sequence", h.Sequence)
	}
	if h.Draining != l.draining {
		signal(a.changed)
	}
	l.beat, l.draining = h, h.Draining
}

// owes reports whether ends of this life wait to be stored. What the owner does not
// store within oweTime it learns as lost.
func (l *life) owes(now boottime.Instant) bool {
	return len(l.ends) > 0 && (!l.gone || now.Sub(l.goneAt) < oweTime)
}

// takeNext takes in the heartbeat of a new life that waited for the one before.
func (a *Agent) takeNext() {
	a.mu.Lock()
	h := a.next
	ready := h != nil && (a.life == nil || !a.life.owes(a.clock()))
	a.mu.Unlock()
	if ready {
		a.Heartbeat(*h)
	}
}

// is reports whether the heartbeat is of this life of the worker.
func (l *life) is(h platform.Heartbeat) bool {
	return (l.id == "" || l.id == h.WorkerID) && (l.born == 0 || h.BornUnixMs == 0 || l.born == h.BornUnixMs)
}

// Left takes in that the worker ends.
func (a *Agent) Left(workerID string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life != nil && a.life.id == workerID {
		events.WorkerGone.Log("worker", workerID, "reason", "it left")
		a.life.left, a.life.draining = true, true
		signal(a.changed)
	}
}

// LastLook reads the ends of a worker that is about to end, before it is answered.
func (a *Agent) LastLook(ctx context.Context, workerID string) {
	a.mu.Lock()
	l, epoch := a.life, a.epoch
	if l == nil || l.id != workerID || l.gone {
		a.mu.Unlock()
		return
	}
	hold := platform.LeaseRenewal{Fence: epoch, AckedEndNumber: l.stored}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, lastHoldTimeout)
	defer cancel()
	runs, err := a.worker.RenewLease(ctx, workerID, hold)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		events.HoldUnanswered.LogError(err, "worker", workerID, "last", true)
		return
	}
	if a.life == l {
		a.holdAnswered(ctx, l, hold, runs, nil)
		signal(a.changed)
	}
}

// Hold renews leases and follows the worker's runs until the context ends.
func (a *Agent) Hold(ctx context.Context) {
	for ctx.Err() == nil {
		a.takeNext()
		pause := a.holdOnce(ctx)
		if pause == 0 {
			continue
		}
		select {
		case <-time.After(pause):
		case <-a.holdNow:
		case <-ctx.Done():
		}
	}
}

// holdOnce makes one call and returns the pause before the next one.
func (a *Agent) holdOnce(ctx context.Context) time.Duration {
	a.mu.Lock()
	l := a.life
	if l == nil {
		l = &life{runs: map[runKey]platform.Run{}, answered: a.clock()}
		a.life = l
	}
	if l.gone {
		a.mu.Unlock()
		return idlePause
	}
	settling := a.settled
	hold := platform.LeaseRenewal{ExpiresAt: a.leaseEnd(l), Fence: a.epoch, AckedEndNumber: l.stored}
	if len(l.ends) == 0 && len(settling) == 0 && l.listed && l.silent == 0 {
		hold.Wait = holdWait
		if l.draining {
			hold.Wait = drainingWait
		}
	}
	l.until = max(l.until, hold.ExpiresAt)
	a.mu.Unlock()

	callCtx, cancel := context.WithTimeout(ctx, hold.Wait+holdSlack)
	runs, err := a.worker.RenewLease(callCtx, l.id, hold)
	cancel()

	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life != l || ctx.Err() != nil {
		return 0
	}
	if err != nil {
		return a.holdFailed(l, err)
	}
	a.holdAnswered(ctx, l, hold, runs, settling)
	if len(l.ends) > 0 {
		return holdPause
	}
	return 0
}

// leaseEnd returns until when the worker's runs may be held, on the worker's clock;
// 0 renews nothing.
func (a *Agent) leaseEnd(l *life) time.Duration {
	now := a.clock()
	if l.clockAt == 0 || !a.authority.After(now) || l.silent >= silentLimit {
		return 0
	}
	end := min(a.authority, now.Add(a.node.Bounds.MaxLease))
	return l.clock + end.Sub(l.clockAt)*clockRateMilli/1000
}

// allLapsed reports whether all leases that were ever sent have run out by now, judged by
// our clock.
func (l *life) allLapsed(now boottime.Instant) bool {
	if l.clockAt == 0 {
		return false
	}
	return now.Sub(l.clockAt) > (l.until-l.clock)*1000/clockRateMilli+clockMargin
}

func (a *Agent) holdFailed(l *life, err error) time.Duration {
	l.silent++
	kind := platform.KindOf(err)
	if l.silent == 2 {
		events.HoldUnanswered.LogError(err, "worker", l.id, "silent", a.clock().Sub(l.answered))
	}
	l.refused++
	if kind != platform.ConnectionRefused {
		l.refused = 0
	}
	switch {
	case l.id == "":
		// No worker has registered; it may be starting.
	case l.refused >= refusedLimit || kind == platform.Superseded && l.listed:
		a.markGone(l, string(kind))
	case l.silent >= silentLimit && !l.lapsed && l.allLapsed(a.clock()):
		events.WorkerGone.Log("worker", l.id, "born", l.born, "reason", "all leases have run out", "runs", len(l.runs), "silent", a.clock().Sub(l.answered))
		l.lapsed, l.listed = true, false
		l.runs = map[runKey]platform.Run{}
	}
	signal(a.changed)
	return idlePause
}

// markGone notes that nothing runs on this life of the worker any more. Its ends that are
// not stored yet are still reported.
func (a *Agent) markGone(l *life, reason string) {
	events.WorkerGone.Log("worker", l.id, "born", l.born, "reason", reason, "runs", len(l.runs), "ends", len(l.ends), "silent", a.clock().Sub(l.answered))
	l.runs = map[runKey]platform.Run{}
	l.gone, l.listed, l.goneAt = true, false, a.clock()
	a.full = true
}

func (a *Agent) holdAnswered(ctx context.Context, l *life, hold platform.LeaseRenewal, runs platform.RunReport, settling []*chervilv2.StartResult) {
	now := a.clock()
	if l.silent >= 2 {
		events.HoldAnswered.Log("worker", l.id, "silent", now.Sub(l.answered), "runs", len(runs.Running), "ends", len(runs.Ended))
	}
	if l.born != 0 && runs.BornUnixMs != 0 && runs.BornUnixMs != l.born {
		// Another life answers at the address: its heartbeat brings the rest.
		a.markGone(l, "another life answers")
		signal(a.changed)
		return
	}
	if l.born == 0 {
		l.born = runs.BornUnixMs
	}
	if runs.Clock < l.clock {
		return // overtaken by a newer answer
	}
	l.clock, l.clockAt, l.answered = runs.Clock, now, now
	if l.silent > 0 || l.refused > 0 || !l.listed {
		a.full = true
		signal(a.changed)
	}
	l.silent, l.refused, l.listed, l.lapsed = 0, 0, true, false
	l.runs = make(map[runKey]platform.Run, len(runs.Running))
	for _, r := range runs.Running {
		l.runs[runKey{r.Task, r.Attempt}] = r
	}
	fresh := slices.DeleteFunc(runs.Ended, func(e platform.RunEnd) bool { return e.Number <= l.stored })
	if len(fresh) > len(l.ends) || len(fresh) > 0 && len(l.ends) > 0 && fresh[len(fresh)-1].Number != l.ends[len(l.ends)-1].Number {
		signal(a.changed)
	}
	l.ends = fresh
	a.settle(l, settling)
	a.forgetEnded(l)
	a.share(ctx, l)
}

// settle decides on orders that were answered before the list was made.
func (a *Agent) settle(l *life, settling []*chervilv2.StartResult) {
	if len(settling) == 0 {
		return
	}
	a.settled = a.settled[len(settling):]
	for _, r := range settling {
		key := runKey{r.Task, r.Attempt}
		delete(a.tasks, key)
		if _, runs := l.runs[key]; runs {
			continue // its end is still to come
		}
		if slices.ContainsFunc(l.ends, func(e platform.RunEnd) bool { return e.Task == r.Task && e.Attempt == r.Attempt }) {
			continue // its end says more
		}
		a.results = append(a.results, r)
	}
	a.full = true
	signal(a.changed)
}

// forgetEnded drops what is known of runs that are neither listed nor being started.
func (a *Agent) forgetEnded(l *life) {
	for key := range a.info {
		if _, listed := l.runs[key]; !listed && a.tasks[key] == nil && a.clock().Sub(a.info[key].since) > infoKept {
			delete(a.info, key)
			delete(a.paced, key)
			delete(a.watches, key)
		}
	}
}
