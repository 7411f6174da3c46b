package workeragent

import (
	"context"
	"time"

	"chervilridge/internal/events"
	"chervilridge/internal/wait"
)

const (
	// stopMargin is the part of the grace period before SIGKILL that a planned stop leaves
	// unused.
	stopMargin          = 700 * time.Millisecond
	releasePollInterval = 20 * time.Millisecond
)

// awaitRelease waits until the owner has stored that the worker and its runs have ended. It
// returns at once while the worker lives, since the next agent process finds it and its runs.
// If the agent stopped earlier, the next owner would wait until all leases on the runs have
// expired. Owners of earlier versions never confirm it.
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
// not confirmed that it has stored that.
func (a *Agent) lossUnconfirmed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	inc := a.incarnation
	if inc == nil {
		return false
	}
	if _, _, ended := inc.reportedEnd(); !ended && (inc.id == "" || !inc.deregistered) {
		return false
	}
	return !inc.lossConfirmed || len(inc.pendingEnds) > 0
}

// reportedEnd reports whether reports say that the worker is gone, and by which ID and time of birth they name it. They
// name none that has not answered a call.
func (inc *incarnation) reportedEnd() (id string, bornUnixMs int64, ended bool) {
	if inc.id == "" || !inc.confirmed {
		return "", 0, inc.refusedConnections >= maxRefusedConnections
	}
	return inc.id, inc.bornUnixMs, inc.gone || inc.leasesExpired
}
