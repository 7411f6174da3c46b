package workeragent

import (
	"context"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/events"
	"chervilridge/internal/wait"
)

const (
	// stopMargin is the part of the grace period before SIGKILL that a planned stop leaves
	// unused.
	stopMargin          = 700 * time.Millisecond
	releasePollInterval = 20 * time.Millisecond
)

// awaitRelease waits until the owner knows that the worker has ended and has stored the
// ends of its runs. It returns at once while the worker lives, since the next agent process
// finds it and its runs. If the agent stopped earlier, the owner would wait until all
// leases on the runs have expired.
func (a *Agent) awaitRelease(ctx context.Context) {
	for a.lossUnconfirmed() {
		if ctx.Err() != nil {
			events.WorkerLossNotReported.LogError(ctx.Err(), "node", a.node.Name)
			return
		}
		wait.For(ctx, releasePollInterval)
	}
}

// lossUnconfirmed reports whether the worker has ended, or is about to, and the owner has
// not confirmed that it knows.
func (a *Agent) lossUnconfirmed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	inc := a.incarnation
	if inc == nil || inc.id == "" || !inc.gone && !inc.deregistered {
		return false
	}
	return !inc.lossConfirmed || len(inc.pendingEnds) > 0
}

// confirmLoss records that the owner has processed a report of the worker's end.
func (a *Agent) confirmLoss(workerID string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation != nil && a.incarnation.id == workerID {
		a.incarnation.lossConfirmed = true
	}
}

// trackLoss records the first report of a worker that is gone.
func (t *reportTracker) trackLoss(r *chervilv2.AgentReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !r.Worker.GetGone():
		t.lostWorker = ""
	case t.lostWorker != r.Worker.Id:
		t.lossSequence, t.lostWorker = r.Sequence, r.Worker.Id
	}
}

// confirmedLoss returns the ID of the worker whose end the owner has learned by a reply to
// the report, or "".
func (t *reportTracker) confirmedLoss(report uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lostWorker == "" || report < t.lossSequence {
		return ""
	}
	return t.lostWorker
}
