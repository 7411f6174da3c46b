// Package workeragent implements the agent that runs beside a worker. It renews the leases
// of the worker's runs, executes the owner's start and stop orders, paces best-effort runs
// beside serving ones, and reports to the owner which runs are active and how others
// ended.
//
// A run is one attempt of a task on the worker. The agent keeps runs alive by hold calls
// (Worker.RenewLease): each renews the leases, acknowledges stored run ends, and returns
// the list of active runs and of unacknowledged ends.
package workeragent

import (
	"cmp"
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
	// holdWait is how long the worker may keep a hold call open until a run ends.
	holdWait = 400 * time.Millisecond
	// holdReplySlack is the time allowed for the reply on top of the wait.
	holdReplySlack = 700 * time.Millisecond
	// pendingEndsPause is the pause between hold calls while run ends are not yet stored
	// by the owner.
	pendingEndsPause = 40 * time.Millisecond
	// holdReplyDelay is the time after the wait of a hold call in which the worker answers, unless it is
	// silent.
	holdReplyDelay = 150 * time.Millisecond
	// unansweredPause is the pause before the next hold call if the worker does not
	// answer.
	unansweredPause = 150 * time.Millisecond
	// minClockRateMilli is the lowest assumed rate of the worker's clock, in thousandths
	// of the rate of the agent's clock.
	minClockRateMilli = 980
	// leaseExpiryMargin covers the delay of a message and of a late timer.
	leaseExpiryMargin = 150 * time.Millisecond
	// maxRefusedConnections is the number of consecutive refused connections after which
	// a worker counts as gone.
	maxRefusedConnections = 2
	// maxUnansweredHolds is the number of consecutive unanswered hold calls after which
	// leases are no longer renewed, so that they expire.
	maxUnansweredHolds = 3
	// goneEndsTimeout is how long the run ends of a gone incarnation are reported.
	goneEndsTimeout = 3 * time.Second
	// finalHoldTimeout bounds the last hold call to a worker that deregisters.
	finalHoldTimeout = 250 * time.Millisecond
	// drainingHoldWait replaces holdWait for a draining worker, which may exit at any
	// moment.
	drainingHoldWait = 100 * time.Millisecond
)

// Worker is the API of the worker beside the agent. Fence is the epoch of the owner on
// whose behalf the call is made; percent is the pace of a run. Start and Stop return the
// time on the worker's clock.
type Worker interface {
	Start(ctx context.Context, workerID string, s platform.StartRequest) (time.Duration, error)
	Stop(ctx context.Context, workerID, task string, attempt uint32, fence uint64) (time.Duration, error)
	Pace(ctx context.Context, workerID, task string, attempt, percent uint32, fence uint64) error
	RenewLease(ctx context.Context, workerID string, h platform.LeaseRenewal) (platform.RunReport, error)
}

// runKey identifies a run.
type runKey struct {
	task    string
	attempt uint32
}

// incarnation is the state of one incarnation of the worker. Its id is empty until the
// first heartbeat.
type incarnation struct {
	id         string
	bornUnixMs int64
	// confirmed is set once the worker has answered a hold call as this incarnation. Until
	// then its id and time of birth are what a heartbeat claims.
	confirmed     bool
	heartbeat     platform.Heartbeat // the newest one
	heartbeatAt   boottime.Instant   // when it was received
	draining      bool
	deregistered  bool             // the worker announced its exit
	gone          bool             // nothing runs on it any more, and it is not expected to return
	goneAt        boottime.Instant // when it ended; 0 if it lives
	leasesExpired bool             // all leases expired while it was unreachable
	lossConfirmed bool             // the owner has stored that it is gone
	listed        bool             // runs is the list that a hold call returned, and is still valid
	// workerClock is the newest reading of the worker's clock, which the agent received
	// at workerClockAt on its own clock. The reading may be older than that, so the
	// computed lease ends are early rather than late.
	workerClock   time.Duration
	workerClockAt boottime.Instant
	// latestLeaseEnd is the latest lease end ever sent to the worker, on the worker's
	// clock.
	latestLeaseEnd     time.Duration
	lastAnswer         boottime.Instant
	unansweredHolds    int // consecutive
	refusedConnections int // consecutive
	// failedAt is the earliest time at which the worker may have crashed, by the first hold
	// call that failed since its last answer.
	failedAt boottime.Instant
	// holdDueAt is when the worker should have answered the present hold call.
	holdDueAt boottime.Instant
	// brokenAt is when the first call that failed since the last answer lost its connection; 0 if it
	// failed otherwise, or was overdue. unreachableAt is when the first of the latest calls failed that
	// were all refused or lost their connection; 0 if the latest was answered, or left without an answer.
	brokenAt, unreachableAt boottime.Instant
	// startedAt is when the agent last sent the start of each recent run, firstSentAt when it first did.
	startedAt, firstSentAt map[runKey]boottime.Instant
	// unlisted is when the worker confirmed the start of each run that no list has covered since.
	unlisted    map[runKey]boottime.Instant
	runs        map[runKey]platform.Run
	pendingEnds []platform.RunEnd // not yet stored by the owner, sorted by number
	storedEnd   int64             // number of the newest run end that the owner has stored
	// listedEnds is how many run ends the newest list names, lastListedEnd the highest number of them; 0
	// if it names none.
	listedEnds    int
	lastListedEnd int64
	// endsTruncated is set if the worker may have more run ends than the newest list names.
	endsTruncated bool
	// awaitedEnds are the runs that have ended on the worker, but whose ends no list has named yet.
	awaitedEnds map[runKey]bool
}

// newIncarnation returns an incarnation of which nothing is known yet.
func newIncarnation(now boottime.Instant) *incarnation {
	return &incarnation{
		runs: map[runKey]platform.Run{}, startedAt: map[runKey]boottime.Instant{}, firstSentAt: map[runKey]boottime.Instant{}, unlisted: map[runKey]boottime.Instant{}, lastAnswer: now,
		awaitedEnds: map[runKey]bool{},
	}
}

// Agent manages the runs of one worker. It is safe for concurrent use.
type Agent struct {
	node      *platform.NodeSettings
	worker    Worker
	clock     boottime.Clock
	startedAt boottime.Instant // of this process

	mu               sync.Mutex
	incarnation      *incarnation
	pendingHeartbeat *platform.Heartbeat // of another incarnation, which no call has confirmed yet
	ownerEpoch       uint64
	renewUntil       boottime.Instant // end of the owner's grant: no lease may last longer
	pendingOrders    map[runKey]*pendingOrder
	startResults     []*chervilv2.StartResult
	// rejectedRuns are the runs reported as not started, with the time of the decision.
	rejectedRuns map[runKey]boottime.Instant
	// unconfirmedResults are start results that are reported only after a newer list of
	// runs and of all ends confirms that the run is not active and has not ended.
	unconfirmedResults []*chervilv2.StartResult
	// unansweredStarts are the starts that a call may still carry out, with the time of the
	// last call.
	unansweredStarts map[runKey]boottime.Instant
	runInfos         map[runKey]runInfo
	paceOrders       map[runKey]*paceOrder
	pacers           map[string]*pacer // by image of best-effort runs
	model            *interference.Model
	servingStates    map[runKey]*servingState
	lastUsage        map[string]float64 // usage of best-effort runs in the previous list, by image
	reportAllRuns    bool               // the next report includes the list of runs
	crashes          []*crashReport     // recent ones, oldest first
	wakeReport       chan struct{}
	wakeHold         chan struct{}
	orderSlots       chan struct{}
}

// NewAgent returns an agent that knows no worker yet.
func NewAgent(node *platform.NodeSettings, worker Worker, clock boottime.Clock) *Agent {
	a := &Agent{
		node: node, worker: worker, clock: clock, startedAt: clock(), pendingOrders: map[runKey]*pendingOrder{}, paceOrders: map[runKey]*paceOrder{}, runInfos: map[runKey]runInfo{},
		pacers: map[string]*pacer{}, model: interference.New(), servingStates: map[runKey]*servingState{}, rejectedRuns: map[runKey]boottime.Instant{}, unansweredStarts: map[runKey]boottime.Instant{},
		wakeReport: make(chan struct{}, 1), wakeHold: make(chan struct{}, 1), orderSlots: make(chan struct{}, orderConcurrency),
	}
	return a
}

// wake sends on c without blocking; one pending signal is enough.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Deregister records that the worker is about to exit. It gets no more starts.
func (a *Agent) Deregister(workerID string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation != nil && a.incarnation.id == workerID {
		events.WorkerEnded.Log("worker", workerID, "reason", "worker deregistered")
		a.incarnation.deregistered, a.incarnation.draining = true, true
		wake(a.wakeReport)
	}
}

// ReadFinalRuns makes a last hold call to a worker that deregisters, to collect its run
// ends. The worker exits once its deregistration is answered.
func (a *Agent) ReadFinalRuns(ctx context.Context, workerID string) {
	a.mu.Lock()
	inc, ownerEpoch := a.incarnation, a.ownerEpoch
	if inc == nil || inc.id != workerID || inc.gone {
		a.mu.Unlock()
		return
	}
	hold, sentAt := platform.LeaseRenewal{Fence: ownerEpoch, AckedEndNumber: inc.endToAcknowledge()}, a.clock()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, finalHoldTimeout)
	defer cancel()
	runs, err := a.worker.RenewLease(ctx, workerID, hold)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		events.WorkerUnresponsive.LogError(err, "worker", workerID, "last", true)
		return
	}
	if a.incarnation == inc {
		a.handleHoldReply(ctx, inc, workerID, sentAt, runs, nil)
		wake(a.wakeReport)
	}
}

// RenewLeases makes hold calls until ctx ends. They renew the leases and keep the list of
// runs current.
func (a *Agent) RenewLeases(ctx context.Context) {
	for ctx.Err() == nil {
		a.confirmPendingHeartbeat(ctx)
		pause := a.holdOnce(ctx)
		if pause == 0 {
			continue
		}
		select {
		case <-time.After(pause):
		case <-a.wakeHold:
		case <-ctx.Done():
		}
	}
}

// holdOnce makes one hold call and returns the pause before the next one.
func (a *Agent) holdOnce(ctx context.Context) time.Duration {
	a.mu.Lock()
	inc := a.incarnation
	if inc == nil {
		inc = newIncarnation(a.clock())
		a.incarnation = inc
	}
	if inc.gone {
		a.mu.Unlock()
		return unansweredPause
	}
	unconfirmed := a.unconfirmedResults
	hold := platform.LeaseRenewal{ExpiresAt: a.leaseEnd(inc), Fence: a.ownerEpoch, AckedEndNumber: inc.endToAcknowledge()}
	if len(inc.pendingEnds) == 0 && len(unconfirmed) == 0 && inc.listed && inc.unansweredHolds == 0 {
		hold.Wait = holdWait
		if inc.draining {
			hold.Wait = drainingHoldWait
		}
	}
	inc.latestLeaseEnd = max(inc.latestLeaseEnd, hold.ExpiresAt)
	id, sentAt := inc.id, a.clock()
	inc.holdDueAt = sentAt.Add(hold.Wait + holdReplyDelay)
	a.mu.Unlock()

	callCtx, cancel := context.WithTimeout(ctx, hold.Wait+holdReplySlack)
	runs, err := a.worker.RenewLease(callCtx, id, hold)
	cancel()

	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation != inc || ctx.Err() != nil {
		return 0
	}
	if err != nil {
		return a.handleHoldError(inc, err)
	}
	a.handleHoldReply(ctx, inc, id, sentAt, runs, unconfirmed)
	if len(inc.pendingEnds) > 0 {
		return pendingEndsPause
	}
	return 0
}

// leaseEnd returns the end of the leases to send to the worker, on the worker's clock. 0
// renews no lease.
func (a *Agent) leaseEnd(inc *incarnation) time.Duration {
	now := a.clock()
	if inc.workerClockAt == 0 || !a.renewUntil.After(now) || inc.unansweredHolds >= maxUnansweredHolds {
		return 0
	}
	end := min(a.renewUntil, now.Add(a.node.Bounds.MaxLease))
	return inc.workerClock + end.Sub(inc.workerClockAt)*minClockRateMilli/1000
}

// allLeasesExpired reports whether all leases ever sent to the worker have expired by the
// agent's clock, even if the worker's clock runs at the lowest assumed rate.
func (inc *incarnation) allLeasesExpired(now boottime.Instant) bool {
	if inc.workerClockAt == 0 {
		return false
	}
	return now.Sub(inc.workerClockAt) > (inc.latestLeaseEnd-inc.workerClock)*1000/minClockRateMilli+leaseExpiryMargin
}

// handleHoldError processes a failed hold call and returns the pause before the next one.
// The caller holds mu.
func (a *Agent) handleHoldError(inc *incarnation, err error) time.Duration {
	inc.unansweredHolds++
	inc.recordFailure(err, a.clock())
	kind := platform.KindOf(err)
	if inc.unansweredHolds == 2 {
		events.WorkerUnresponsive.LogError(err, "worker", inc.id, "silent", a.clock().Sub(inc.lastAnswer))
	}
	inc.refusedConnections++
	if kind != platform.ConnectionRefused {
		inc.refusedConnections = 0
	}
	switch {
	case inc.id == "":
		// No worker has registered; it may be starting.
	case kind == platform.Superseded && !inc.confirmed:
		rejectHeartbeat(&inc.heartbeat, "another worker answers at the address")
		a.incarnation = newIncarnation(a.clock())
	case inc.refusedConnections >= maxRefusedConnections || kind == platform.Superseded:
		a.markGone(inc, string(kind))
	case inc.unansweredHolds >= maxUnansweredHolds && !inc.leasesExpired && inc.allLeasesExpired(a.clock()):
		events.WorkerEnded.Log("worker", inc.id, "born", inc.bornUnixMs, "reason", "all leases expired", "runs", len(inc.runs), "silent", a.clock().Sub(inc.lastAnswer))
		inc.leasesExpired, inc.listed = true, false
		inc.runs = map[runKey]platform.Run{}
		clear(inc.unlisted)
	}
	wake(a.wakeReport)
	return unansweredPause
}

// markGone records that nothing runs on this incarnation any more. Its run ends that are
// not yet stored are still reported. The caller holds mu.
func (a *Agent) markGone(inc *incarnation, reason string) {
	events.WorkerEnded.Log("worker", inc.id, "born", inc.bornUnixMs, "reason", reason, "runs", len(inc.runs), "ends", len(inc.pendingEnds), "silent", a.clock().Sub(inc.lastAnswer))
	a.recordCrash(inc)
	inc.runs = map[runKey]platform.Run{}
	inc.gone, inc.listed, inc.goneAt, inc.lossConfirmed = true, false, a.clock(), false
	a.reportAllRuns = true
	a.confirmResults(inc, a.unconfirmedResults)
}

// handleHoldReply processes the reply to a hold call to the worker with the id, or to any worker
// at the address if that is empty, which was sent at the time: it updates runs and run ends, decides on the unconfirmed start results, and adjusts the paces. The caller holds mu.
func (a *Agent) handleHoldReply(ctx context.Context, inc *incarnation, calledID string, sentAt boottime.Instant, runs platform.RunReport, unconfirmed []*chervilv2.StartResult) {
	now := a.clock()
	if inc.bornUnixMs != 0 && runs.BornUnixMs != 0 && runs.BornUnixMs != inc.bornUnixMs {
		if inc = a.replaceIncarnation(ctx, inc, calledID, sentAt, runs); inc == nil {
			return
		}
	}
	if inc.unansweredHolds >= 2 {
		events.WorkerResponsive.Log("worker", inc.id, "silent", now.Sub(inc.lastAnswer), "runs", len(runs.Running), "ends", len(runs.Ended))
	}
	if !inc.gone {
		inc.goneAt = 0
	}
	inc.confirm(calledID, runs.BornUnixMs)
	if runs.Clock < inc.workerClock {
		return // a newer reply was processed before
	}
	if inc.workerClockAt == 0 { // calls of an earlier process, or for an earlier incarnation, may have renewed the leases
		inc.latestLeaseEnd = max(inc.latestLeaseEnd, runs.Clock+a.node.Bounds.MaxLease)
	}
	inc.workerClock, inc.workerClockAt = runs.Clock, now
	// A reply may be read long after it was sent, by an agent that was paused.
	inc.lastAnswer = max(inc.lastAnswer, min(now, sentAt.Add(holdWait+holdReplyDelay)))
	inc.brokenAt, inc.unreachableAt = 0, 0
	if inc.unansweredHolds > 0 || inc.refusedConnections > 0 || !inc.listed {
		a.reportAllRuns = true
		wake(a.wakeReport)
	}
	inc.unansweredHolds, inc.refusedConnections, inc.listed, inc.leasesExpired = 0, 0, true, false
	previousRuns := inc.runs
	inc.runs = make(map[runKey]platform.Run, len(runs.Running))
	for _, r := range runs.Running {
		inc.runs[runKey{r.Task, r.Attempt}] = r
	}
	inc.recordListedEnds(runs, len(unconfirmed))
	fresh := slices.DeleteFunc(runs.Ended, func(e platform.RunEnd) bool { return e.Number <= inc.storedEnd })
	slices.SortFunc(fresh, func(x, y platform.RunEnd) int { return cmp.Compare(x.Number, y.Number) })
	if len(fresh) > len(inc.pendingEnds) || len(fresh) > 0 && len(inc.pendingEnds) > 0 && fresh[len(fresh)-1].Number != inc.pendingEnds[len(inc.pendingEnds)-1].Number {
		wake(a.wakeReport)
	}
	inc.pendingEnds = fresh
	inc.updateAwaitedEnds(previousRuns, runs, sentAt)
	inc.pruneUnlisted(runs, sentAt)
	inc.pruneStarts(now)
	a.confirmResults(inc, unconfirmed)
	a.pruneRunInfos(inc)
	a.adjustPaces(ctx, inc)
}

// pruneRunInfos drops the data of runs that are neither listed nor being started and were
// not described by the owner for runInfoTTL.
func (a *Agent) pruneRunInfos(inc *incarnation) {
	for key := range a.runInfos {
		if _, listed := inc.runs[key]; !listed && a.pendingOrders[key] == nil && a.clock().Sub(a.runInfos[key].updatedAt) > runInfoTTL {
			delete(a.runInfos, key)
			delete(a.paceOrders, key)
			delete(a.servingStates, key)
		}
	}
}
