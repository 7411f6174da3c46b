package workeragent

import (
	"context"
	"maps"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/platform"
)

// unansweredStartTTL is how long after a start call without an answer the worker may still carry
// it out.
const unansweredStartTTL = 15 * time.Second

// HandleHeartbeat processes a heartbeat of the worker. One of another incarnation than the
// present one changes nothing until the worker has answered a call as that incarnation: it may
// be delayed, or of another writer.
func (a *Agent) HandleHeartbeat(h platform.Heartbeat) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation == nil {
		a.incarnation = newIncarnation(a.clock())
	}
	if a.incarnation.matches(h) {
		a.updateHeartbeat(a.incarnation, h)
		return
	}
	if p := a.pendingHeartbeat; p == nil || p.WorkerID != h.WorkerID || p.BornUnixMs != h.BornUnixMs || p.Sequence <= h.Sequence {
		a.pendingHeartbeat = &h
		wake(a.wakeHold)
	}
}

// updateHeartbeat stores the newest heartbeat of an incarnation. The caller holds mu.
func (a *Agent) updateHeartbeat(inc *incarnation, h platform.Heartbeat) {
	if inc.heartbeatAt == 0 {
		inc.id = h.WorkerID
		inc.confirmed = inc.confirmed || inc.listed && h.BornUnixMs != 0 && h.BornUnixMs == inc.bornUnixMs
		inc.bornUnixMs = max(inc.bornUnixMs, h.BornUnixMs)
		events.WorkerRegistered.Log("worker", h.WorkerID, "born", inc.bornUnixMs, "service", h.Service, "sequence", h.Sequence,
			"cpuMilli", h.CPUMilli, "memoryMB", h.MemoryMB, "labels", h.Labels, "confirmed", inc.confirmed)
		inc.refusedConnections = 0
		wake(a.wakeHold)
		wake(a.wakeReport)
	}
	if h.Sequence < inc.heartbeat.Sequence {
		return
	}
	if inc.gone && h.Sequence > inc.heartbeat.Sequence {
		inc.revive() // it is alive after all, but runs nothing
		inc.leasesExpired = true
		a.retractCrash(inc)
	}
	if h.Sequence > inc.heartbeat.Sequence && !h.Draining {
		inc.deregistered = false // the deregistration was of an earlier incarnation
	}
	if h.Draining && !inc.draining {
		events.WorkerDraining.Log("worker", h.WorkerID, "remaining", h.DrainRemaining, "sequence", h.Sequence)
	}
	if h.Draining != inc.draining {
		wake(a.wakeReport)
	}
	inc.heartbeat, inc.heartbeatAt, inc.draining = h, a.clock(), h.Draining
}

// confirm records that the worker has answered a hold call to the id. Without an id the answer
// proves the time of birth only; 0 is an unknown one.
func (inc *incarnation) confirm(calledID string, bornUnixMs int64) {
	if calledID == inc.id && inc.bornUnixMs == 0 {
		inc.bornUnixMs = bornUnixMs
	}
	if inc.id != "" && (calledID == inc.id || bornUnixMs != 0 && bornUnixMs == inc.bornUnixMs) {
		inc.confirmed = true
	}
}

// revive takes back that the incarnation has ended.
func (inc *incarnation) revive() {
	inc.gone, inc.goneAt, inc.leasesExpired, inc.refusedConnections, inc.lossConfirmed = false, 0, false, 0, false
}

// awaitsStoredEnds reports whether the owner still has to store run ends of this
// incarnation. Ends that are not stored within goneEndsTimeout after it is gone count as
// lost runs.
func (inc *incarnation) awaitsStoredEnds(now boottime.Instant) bool {
	return len(inc.pendingEnds) > 0 && (inc.goneAt == 0 || now.Sub(inc.goneAt) < goneEndsTimeout)
}

// endToAcknowledge returns the number of the newest run end to acknowledge to the worker; 0
// acknowledges none. Another incarnation with the same id may have taken the place of one that
// left a call unanswered, and would take the number for its own ends.
func (inc *incarnation) endToAcknowledge() int64 {
	if !inc.confirmed || inc.unansweredHolds > 0 {
		return 0
	}
	return inc.storedEnd
}

// matches reports whether the heartbeat is of this incarnation. Unknown values match any.
func (inc *incarnation) matches(h platform.Heartbeat) bool {
	return (inc.id == "" || inc.id == h.WorkerID) && (inc.bornUnixMs == 0 || h.BornUnixMs == 0 || inc.bornUnixMs == h.BornUnixMs)
}

// confirmPendingHeartbeat calls the worker as the incarnation that a heartbeat has named, and
// begins that incarnation if the worker answers as such. The run ends of the present one have
// to be stored before.
func (a *Agent) confirmPendingHeartbeat(ctx context.Context) {
	a.mu.Lock()
	h, sentAt := a.pendingHeartbeat, a.clock()
	if h == nil || a.incarnation.awaitsStoredEnds(sentAt) {
		a.mu.Unlock()
		return
	}
	hold := platform.LeaseRenewal{Fence: a.ownerEpoch}
	a.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, holdReplySlack)
	runs, err := a.worker.RenewLease(callCtx, h.WorkerID, hold)
	cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.pendingHeartbeat != h:
		return
	case err != nil && platform.KindOf(err) != platform.Superseded:
		return // asked again before the next hold call
	case err != nil:
		rejectHeartbeat(h, "another worker answers at the address")
	case runs.BornUnixMs != 0 && h.BornUnixMs != 0 && runs.BornUnixMs != h.BornUnixMs:
		rejectHeartbeat(h, "another incarnation answers")
	case a.incarnation.matches(*h): // begun by a hold call meanwhile
		a.updateHeartbeat(a.incarnation, *h)
	default:
		inc := a.beginIncarnation(ctx, h.WorkerID, max(h.BornUnixMs, runs.BornUnixMs), sentAt, runs)
		a.updateHeartbeat(inc, *h)
		a.handleHoldReply(ctx, inc, h.WorkerID, sentAt, runs, nil)
	}
	a.pendingHeartbeat = nil
}

func rejectHeartbeat(h *platform.Heartbeat, reason string) {
	events.HeartbeatRejected.Log("worker", h.WorkerID, "born", h.BornUnixMs, "service", h.Service, "sequence", h.Sequence, "reason", reason)
}

// replaceIncarnation begins the incarnation that answered a hold call for another one. The call was
// to the worker with the id; if that is empty, the id of the answering one is not known. It returns
// nil while run ends of the present one are not stored. The caller holds mu.
func (a *Agent) replaceIncarnation(ctx context.Context, inc *incarnation, calledID string, sentAt boottime.Instant, runs platform.RunReport) *incarnation {
	if inc.goneAt == 0 {
		events.WorkerAnsweredAsAnother.Log("worker", inc.id, "known", inc.bornUnixMs, "answered", runs.BornUnixMs, "confirmed", inc.confirmed,
			"runs", len(inc.runs), "listed", len(runs.Running), "pendingOrders", len(a.pendingOrders))
		inc.goneAt = a.clock()
	}
	if inc.awaitsStoredEnds(a.clock()) {
		inc.listed = false
		inc.unansweredHolds = max(inc.unansweredHolds, maxUnansweredHolds) // its leases are not renewed, nor its ends acknowledged
		wake(a.wakeReport)
		return nil
	}
	return a.beginIncarnation(ctx, calledID, runs.BornUnixMs, sentAt, runs)
}

// beginIncarnation replaces the present incarnation by one that has answered a hold call sent at
// the time. Starts granted to the earlier one may have reached the new one, since a worker may
// keep its id: what the list does not show is stopped before it is reported as ended. The caller
// holds mu.
func (a *Agent) beginIncarnation(ctx context.Context, id string, bornUnixMs int64, sentAt boottime.Instant, list platform.RunReport) *incarnation {
	old, inc := a.incarnation, newIncarnation(a.clock())
	inc.id, inc.bornUnixMs = id, bornUnixMs
	a.recordCrash(old)
	a.incarnation, a.reportAllRuns = inc, true
	for key, confirmedAt := range old.unlisted {
		if confirmedAt >= sentAt {
			a.unansweredStarts[key] = confirmedAt
		}
	}
	for _, end := range list.Ended {
		a.survived(runKey{end.Task, end.Attempt})
	}
	infos := map[runKey]runInfo{}
	for _, run := range list.Running {
		key := runKey{run.Task, run.Attempt}
		a.survived(key)
		delete(a.unansweredStarts, key)
		if info, known := a.runInfos[key]; known {
			infos[key] = info
		}
		if startedAt, known := old.startedAt[key]; known {
			inc.startedAt[key], inc.firstSentAt[key] = startedAt, old.firstSentAt[key]
		}
	}
	for key := range a.pendingOrders {
		infos[key] = a.runInfos[key]
	}
	a.runInfos = infos
	clear(a.paceOrders)
	clear(a.servingStates)
	a.lastUsage = nil
	a.pruneUnansweredStarts()
	for key := range a.unansweredStarts {
		if a.pendingOrders[key] == nil {
			a.beginStop(context.WithoutCancel(ctx), key)
		}
	}
	return inc
}

// pruneUnansweredStarts forgets the starts that no call carries out any more. The caller holds mu.
func (a *Agent) pruneUnansweredStarts() {
	now := a.clock()
	maps.DeleteFunc(a.unansweredStarts, func(_ runKey, calledAt boottime.Instant) bool { return now.Sub(calledAt) > unansweredStartTTL })
}

// hasStarted reports whether the worker has listed the run, or has confirmed its start since. The run may have ended
// if no list has named its end yet.
func (inc *incarnation) hasStarted(key runKey) bool {
	if inc == nil {
		return false
	}
	_, listed := inc.runs[key]
	_, unlisted := inc.unlisted[key]
	return listed || unlisted || inc.awaitedEnds[key]
}

// confirmResults ends the orders whose outcome was known before the list of runs was made. A
// result is reported only if the list shows neither the run nor its end. If the list of ends is
// truncated, the result of a run that it does not show is kept for a later list.
func (a *Agent) confirmResults(inc *incarnation, unconfirmed []*chervilv2.StartResult) {
	if len(unconfirmed) == 0 {
		return
	}
	ended := inc.endedRuns()
	var undecided []*chervilv2.StartResult
	for _, r := range unconfirmed {
		key := runKey{r.Task, r.Attempt}
		started := inc.hasStarted(key) || ended[key]
		if !started && inc.endsTruncated && !inc.gone {
			undecided = append(undecided, r)
			continue
		}
		delete(a.pendingOrders, key)
		events.StartResultChecked.Log("task", r.Task, "attempt", r.Attempt, "answer", r.Answer, "worker", inc.id, "born", inc.bornUnixMs, "gone", inc.gone,
			"reported", !started, "listedRuns", len(inc.runs), "listedEnds", inc.listedEnds, "lastListedEnd", inc.lastListedEnd, "storedEnd", inc.storedEnd)
		if started { // its end is, or will be, reported instead
			a.survived(key)
			delete(a.rejectedRuns, key)
			continue
		}
		a.startResults = append(a.startResults, r)
	}
	a.unconfirmedResults = append(undecided, a.unconfirmedResults[len(unconfirmed):]...)
	if len(undecided) == len(unconfirmed) {
		return // nothing new to report
	}
	a.reportAllRuns = true
	wake(a.wakeReport)
}
