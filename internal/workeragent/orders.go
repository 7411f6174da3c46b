package workeragent

import (
	"context"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/interference"
	"chervilridge/platform"
)

const (
	// orderConcurrency bounds the concurrent orders. The worker accepts 64 connections.
	orderConcurrency = 24
	// startTimeout bounds one start call. A healthy worker answers within milliseconds.
	startTimeout = 450 * time.Millisecond
	// stopTimeout bounds one stop call.
	stopTimeout = 600 * time.Millisecond
	// startValidity is the length of the initial lease of a run. The worker rejects a
	// start that it processes after the lease has ended.
	startValidity = 1500 * time.Millisecond
	// maxStartCalls is how often a start call is made before a stop fences the run off.
	maxStartCalls = 3
	// maxOrderAge is how long after its receipt a start order is valid: the data centre may have been
	// evacuated since.
	maxOrderAge        = 2 * time.Second
	orderRetryInterval = 60 * time.Millisecond
	// rejectedRunTTL is how long a rejected run is remembered. No order takes that long
	// to arrive.
	rejectedRunTTL = time.Minute
)

// pendingOrder is a start or stop order that is being executed. start is nil for a stop.
type pendingOrder struct {
	start *chervilv2.StartOrder
	// bornUnixMs is the birth of the incarnation that the run was granted to; 0 if the owner did
	// not name it and the agent does not know it.
	bornUnixMs int64
	receivedAt boottime.Instant
	stopping   bool
	calling    bool // a start call is in flight
}

// HandleOrders processes a message of the owner. It extends the grant to renew leases,
// which counts from sentAt, and executes starts and stops in the background. It returns
// false if a newer owner is known; the message is then ignored.
func (a *Agent) HandleOrders(ctx context.Context, o *chervilv2.OwnerOrders, sentAt boottime.Instant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Epoch < a.ownerEpoch {
		events.StaleOrdersIgnored.Log("epoch", o.Epoch, "known", a.ownerEpoch)
		return false
	}
	a.ownerEpoch = o.Epoch
	if o.HoldMs > 0 && sentAt != 0 {
		a.renewUntil = max(a.renewUntil, sentAt.Add(time.Duration(o.HoldMs)*time.Millisecond))
	}
	inc := a.incarnation
	if inc != nil && o.StoredEnd > inc.storedEnd && o.WorkerId == inc.id && o.BornUnixMs == inc.bornUnixMs {
		inc.storedEnd = o.StoredEnd
		for len(inc.pendingEnds) > 0 && inc.pendingEnds[0].Number <= inc.storedEnd {
			inc.pendingEnds = inc.pendingEnds[1:]
		}
		wake(a.wakeHold)
	}
	if inc != nil && o.WorkerEndStored {
		if id, bornUnixMs, ended := inc.reportedEnd(); ended && o.WorkerId == id && o.BornUnixMs == bornUnixMs {
			inc.lossConfirmed = true
		}
	}
	for _, i := range o.Interference {
		a.model.SetSlope(interference.Pair{Serving: i.Serving, BestEffort: i.Filling}, float64(i.SlopeMilli)/1000)
	}
	for _, r := range o.Runs {
		a.runInfos[runKey{r.Task, r.Attempt}] = runInfo{
			bestEffort: r.Fills, targetMs: r.TargetLatencyMs, image: r.Image, cpuMilli: r.CpuMilli,
			reserved: reserved(r.Fills, r.CpuMilli, r.MemoryMb, r.Gpus), updatedAt: a.clock(),
			startedHere: a.runInfos[runKey{r.Task, r.Attempt}].startedHere,
		}
	}
	for _, s := range o.Starts {
		key := runKey{s.Task, s.Attempt}
		if inc.hasStarted(key) {
			a.startResults = append(a.startResults, &chervilv2.StartResult{Task: key.task, Attempt: key.attempt, Answer: chervilv2.StartAnswer_START_ANSWER_STARTED})
			wake(a.wakeReport)
			continue
		}
		if _, rejected := a.rejectedRuns[key]; rejected && a.pendingOrders[key] == nil { // otherwise a list decides
			a.startResults = append(a.startResults, &chervilv2.StartResult{Task: key.task, Attempt: key.attempt, Answer: chervilv2.StartAnswer_START_ANSWER_NOT_STARTED})
			wake(a.wakeReport)
			continue
		}
		a.runInfos[key] = runInfo{
			bestEffort: s.Fills, targetMs: s.TargetLatencyMs, image: s.Image, cpuMilli: s.CpuMilli,
			reserved: reserved(s.Fills, s.CpuMilli, s.MemoryMb, s.Gpus), updatedAt: a.clock(),
			startedHere: a.runInfos[key].startedHere,
		}
		if a.pendingOrders[key] == nil {
			order := &pendingOrder{start: s, bornUnixMs: a.grantedBirth(o, s), receivedAt: a.clock()}
			a.pendingOrders[key] = order
			go a.executeStart(ctx, key, order)
		}
	}
	for _, s := range o.Stops {
		key := runKey{s.Task, s.Attempt}
		order := a.pendingOrders[key]
		if order == nil {
			a.beginStop(ctx, key)
			continue
		}
		if !order.stopping { // executeStart turns the start into a stop
			order.stopping = true
		}
	}
	return true
}

// grantedBirth returns the birth of the incarnation to which a start of the message was granted. An
// owner that does not name it grants to the one that it knows. The caller holds mu.
func (a *Agent) grantedBirth(o *chervilv2.OwnerOrders, s *chervilv2.StartOrder) int64 {
	if o.WorkerId == s.WorkerId && o.BornUnixMs != 0 {
		return o.BornUnixMs
	}
	if a.incarnation != nil && a.incarnation.id == s.WorkerId {
		return a.incarnation.bornUnixMs
	}
	return 0
}

// beginStop stops a run in the background. The caller holds mu.
func (a *Agent) beginStop(ctx context.Context, key runKey) {
	a.pendingOrders[key] = &pendingOrder{stopping: true}
	go a.executeStop(ctx, key)
}

// recordOutcome records the outcome of an order. A successful start is reported at once;
// any other outcome waits for a list of runs that confirms it.
func (a *Agent) recordOutcome(ctx context.Context, key runKey, answer chervilv2.StartAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &chervilv2.StartResult{Task: key.task, Attempt: key.attempt, Answer: answer}
	if answer == chervilv2.StartAnswer_START_ANSWER_STARTED {
		delete(a.pendingOrders, key)
		if a.incarnation != nil {
			a.incarnation.unlisted[key] = a.clock()
		}
		a.startResults = append(a.startResults, r)
		info := a.runInfos[key]
		info.startedHere = !a.predecessorMayCall()
		a.runInfos[key] = info
		a.paceStartedRun(ctx, key)
		wake(a.wakeReport)
		return
	}
	a.rejectRun(key)
	a.unconfirmedResults = append(a.unconfirmedResults, r)
	if inc := a.incarnation; inc != nil && inc.gone {
		a.confirmResults(inc, a.unconfirmedResults) // no list will follow
	}
	wake(a.wakeHold)
}

// rejectRun makes the agent reject later starts of a run that it reports as not started,
// since the owner may have repeated the order in the meantime. The caller holds mu.
func (a *Agent) rejectRun(key runKey) {
	now := a.clock()
	a.rejectedRuns[key] = now
	for old, at := range a.rejectedRuns {
		if now.Sub(at) > rejectedRunTTL {
			delete(a.rejectedRuns, old)
		}
	}
}

// executeStart starts a run. If the outcome stays unknown or a stop was ordered
// meanwhile, it stops the run, which also fences off start calls that are still in
// flight.
func (a *Agent) executeStart(ctx context.Context, key runKey, order *pendingOrder) {
	a.orderSlots <- struct{}{}
	defer func() { <-a.orderSlots }()
	for try := 1; try <= maxStartCalls; try++ {
		start, id, reason := a.prepareStart(key, order)
		if reason != "" {
			if try == 1 && !a.predecessorMayCall() { // no start call was made
				events.StartResolved.Log("task", key.task, "attempt", key.attempt, "answer", "not tried", "reason", reason)
				a.recordOutcome(ctx, key, chervilv2.StartAnswer_START_ANSWER_NOT_STARTED)
				return
			}
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, startTimeout)
		_, err := a.worker.Start(callCtx, id, start)
		cancel()
		if a.endStartCall(key, order, err) {
			break
		}
		if answer, known := startAnswer(err, try); known && try == 1 && answer != chervilv2.StartAnswer_START_ANSWER_STARTED && a.predecessorMayCall() {
			a.fenceOff(ctx, key, answer)
			return
		} else if known {
			events.StartResolved.Log("task", key.task, "attempt", key.attempt, "worker", id, "born", a.bornOf(id), "answer", answer, "try", try, "err", err)
			if answer == chervilv2.StartAnswer_START_ANSWER_STARTED && a.stopRequested(order) {
				break
			}
			a.recordOutcome(ctx, key, answer)
			return
		}
		events.StartUnconfirmed.LogError(err, "task", key.task, "attempt", key.attempt, "worker", id, "try", try)
		if ctx.Err() != nil {
			return
		}
		time.Sleep(orderRetryInterval)
	}
	a.fenceOff(ctx, key, chervilv2.StartAnswer_START_ANSWER_NOT_STARTED)
}

// predecessorMayCall reports whether start calls of an earlier agent process may still be carried
// out.
func (a *Agent) predecessorMayCall() bool { return a.clock().Sub(a.startedAt) < unansweredStartTTL }

// bornOf returns the time of birth of the worker with the id, as known now; 0 if it is unknown.
func (a *Agent) bornOf(workerID string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation == nil || a.incarnation.id != workerID {
		return 0
	}
	return a.incarnation.bornUnixMs
}

// stopRequested reports whether a stop was ordered while the run was being started.
func (a *Agent) stopRequested(order *pendingOrder) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return order.stopping
}

// prepareStart returns the start to send and the worker's ID, or else the reason why the
// run may not be started.
func (a *Agent) prepareStart(key runKey, order *pendingOrder) (platform.StartRequest, string, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	inc, now := a.incarnation, a.clock()
	switch {
	case order.stopping:
		return platform.StartRequest{}, "", "stop ordered"
	case now.Sub(order.receivedAt) > maxOrderAge:
		return platform.StartRequest{}, "", "order has waited too long"
	case inc == nil || inc.gone || inc.leasesExpired || !order.grantedTo(inc):
		return platform.StartRequest{}, "", "worker is gone or was replaced"
	case inc.draining || inc.deregistered:
		return platform.StartRequest{}, "", "worker is draining"
	case inc.workerClockAt == 0 || !a.renewUntil.After(now):
		return platform.StartRequest{}, "", "no valid lease grant of the owner"
	case now.Sub(inc.capacityReportedAt()) > a.maxCapacityAge():
		return platform.StartRequest{}, "", "worker's capacity was not reported lately"
	case a.listsRunOfUnknownSize(inc, key):
		return platform.StartRequest{}, "", "worker lists a run that the owner has not described"
	case !a.fits(inc, key, order.start):
		return platform.StartRequest{}, "", "beyond the worker's capacity"
	}
	end := min(a.renewUntil, now.Add(startValidity))
	until := inc.workerClock + end.Sub(inc.workerClockAt)*minClockRateMilli/1000
	inc.latestLeaseEnd = max(inc.latestLeaseEnd, until)
	inc.startedAt[key] = now
	if _, sent := inc.firstSentAt[key]; !sent {
		inc.firstSentAt[key] = now
	}
	order.calling = true
	return platform.StartRequest{
		Task: key.task, Attempt: key.attempt, Payload: order.start.Payload, LeaseExpiresAt: until, Fence: a.ownerEpoch,
		Checkpoint: order.start.Checkpoint, Ticket: order.start.Ticket,
	}, inc.id, ""
}

// grantedTo reports whether the run was granted to the incarnation.
func (o *pendingOrder) grantedTo(inc *incarnation) bool {
	return o.start != nil && o.start.WorkerId == inc.id && (o.bornUnixMs == 0 || inc.bornUnixMs == 0 || o.bornUnixMs == inc.bornUnixMs)
}

// callingStart reports whether a start call is in flight. The caller holds mu.
func (a *Agent) callingStart() bool {
	for _, order := range a.pendingOrders {
		if order.calling {
			return true
		}
	}
	return false
}

// endStartCall records the end of a start call. It reports whether the call may have started the
// run on another incarnation than the one that it was granted to, so that it has to be stopped
// there.
func (a *Agent) endStartCall(key runKey, order *pendingOrder, err error) (doubtful bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	order.calling = false
	wake(a.wakeReport)
	inc := a.incarnation
	if err != nil {
		if kind := platform.KindOf(err); kind == platform.NoAnswer || kind == platform.Undecodable {
			a.pruneUnansweredStarts()
			a.unansweredStarts[key] = a.clock()
		}
		return false
	}
	if order.grantedTo(inc) && !inc.gone && !inc.leasesExpired {
		return false
	}
	inc.revive()
	a.retractCrash(inc)
	return true
}

// startAnswer returns the answer to report for the result of a start call. known is false
// if the run may have started or may still start.
func startAnswer(err error, try int) (answer chervilv2.StartAnswer, known bool) {
	if err == nil {
		return chervilv2.StartAnswer_START_ANSWER_STARTED, true
	}
	// After an unanswered call, only answers that also cover the earlier calls are
	// definite.
	switch platform.KindOf(err) {
	case platform.Superseded:
		return chervilv2.StartAnswer_START_ANSWER_OLD, true
	case platform.InsufficientResources:
		return chervilv2.StartAnswer_START_ANSWER_NO_ROOM, try == 1
	case platform.InvalidTicket:
		return chervilv2.StartAnswer_START_ANSWER_TICKET, try == 1
	case platform.Fenced, platform.Unavailable, platform.LeaseExpired, platform.Invalid, platform.ConnectionRefused:
		return chervilv2.StartAnswer_START_ANSWER_NOT_STARTED, try == 1
	}
	return chervilv2.StartAnswer_START_ANSWER_UNKNOWN, false
}

// executeStop stops a run that the worker may be running.
func (a *Agent) executeStop(ctx context.Context, key runKey) {
	a.orderSlots <- struct{}{}
	defer func() { <-a.orderSlots }()
	a.fenceOff(ctx, key, chervilv2.StartAnswer_START_ANSWER_NOT_STARTED)
}

// fenceOff repeats a stop call until the worker answers or is gone, and records the outcome.
// Afterwards the run has ended, is ending, or can never start.
func (a *Agent) fenceOff(ctx context.Context, key runKey, outcome chervilv2.StartAnswer) {
	for ctx.Err() == nil {
		workerID, ownerEpoch, canRun := a.stopTarget()
		if !canRun {
			a.recordOutcome(ctx, key, outcome)
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		_, err := a.worker.Stop(callCtx, workerID, key.task, key.attempt, ownerEpoch)
		cancel()
		kind := platform.ErrorKind("")
		if err != nil {
			kind = platform.KindOf(err)
		}
		if err == nil || kind == platform.Superseded {
			a.recordOutcome(ctx, key, outcome)
			return
		}
		events.StopUnconfirmed.LogError(err, "task", key.task, "attempt", key.attempt, "worker", workerID)
		time.Sleep(orderRetryInterval)
	}
}

// stopTarget returns the ID of the worker to stop runs on and the owner's epoch. The ID is empty
// if it is not known yet; a call then reaches any worker at the address. canRun is false if
// nothing can run there.
func (a *Agent) stopTarget() (workerID string, ownerEpoch uint64, canRun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	inc := a.incarnation
	if inc == nil {
		return "", a.ownerEpoch, true
	}
	absent := inc.id == "" && inc.refusedConnections >= maxRefusedConnections
	return inc.id, a.ownerEpoch, !inc.gone && !inc.leasesExpired && !absent
}
