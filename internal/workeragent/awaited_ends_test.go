package workeragent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/platform"
)

// endingWorker is a worker whose lists the test sets. After crash, it refuses connections.
type endingWorker struct {
	listingWorker
	crashed bool
}

func (w *endingWorker) RenewLease(ctx context.Context, id string, r platform.LeaseRenewal) (platform.RunReport, error) {
	w.mu.Lock()
	crashed := w.crashed
	w.mu.Unlock()
	if crashed {
		return platform.RunReport{}, &platform.Error{Kind: platform.ConnectionRefused}
	}
	return w.listingWorker.RenewLease(ctx, id, r)
}

// list sets the list that the worker answers with.
func (w *endingWorker) list(report platform.RunReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	report.Clock, report.BornUnixMs = w.report.Clock+time.Millisecond, 7
	w.report = report
}

// endRuns makes the worker list no run, and only the end of another one of several that it has.
func (w *endingWorker) endRuns() {
	w.list(platform.RunReport{Ended: []platform.RunEnd{{Number: 1, Task: task2, Attempt: 1, Kind: platform.EndDone}}, EndsTruncated: true})
}

func (w *endingWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed = true
}

// newAwaitedEnd returns an agent that has started task1 on its worker, where the run has ended, and whose lists do not
// name the end yet. listed is set if a list has named the run before.
func newAwaitedEnd(t *testing.T, listed bool) (*endingWorker, *Agent) {
	w := &endingWorker{}
	w.list(platform.RunReport{})
	a := freshAgent(w)
	freshBeat(a, 1)
	a.holdOnce(t.Context())
	startTask1(t, a)
	eventually(t, "started", func() bool {
		return resultOf(a.buildReport(), task1) == chervilv2.StartAnswer_START_ANSWER_STARTED
	})
	if listed {
		w.list(platform.RunReport{Running: []platform.Run{{Task: task1, Attempt: 1}}})
		a.holdOnce(t.Context())
	}
	w.endRuns()
	a.holdOnce(t.Context())
	return w, a
}

func startTask1(t *testing.T, a *Agent) {
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000, Starts: []*chervilv2.StartOrder{{Task: task1, Attempt: 1, WorkerId: workerID}}}, boottime.Now())
}

// Guards against repeated starts of runs that have ended, for which the worker has to be called in vain.
func TestRunWhoseEndIsNotListedYetIsNotStartedAgain(t *testing.T) {
	for name, listed := range map[string]bool{"listed before": true, "confirmed only": false} {
		t.Run(name, func(t *testing.T) {
			w, a := newAwaitedEnd(t, listed)
			for range 2 {
				a.holdOnce(t.Context())
				a.requestFullReport()
				r := a.buildReport()
				assert.Assert(t, len(r.Runs) == 1 && r.Runs[0].Task == task1 && r.Runs[0].Starting, "the owner would repeat the order")
			}
			startTask1(t, a)
			assert.Equal(t, resultOf(a.buildReport(), task1), chervilv2.StartAnswer_START_ANSWER_STARTED)
			assert.Equal(t, len(w.calls), 1, "%v", w.calls)
			w.list(platform.RunReport{Ended: []platform.RunEnd{{Number: 2, Task: task1, Attempt: 1, Kind: platform.EndDone}}})
			a.holdOnce(t.Context())
			a.requestFullReport()
			r := a.buildReport()
			assert.Equal(t, len(r.Runs), 0)
			assert.Equal(t, len(r.Ends), 1)
		})
	}
}

// Guards against a crash that counts against tasks whose runs had ended before it.
func TestCrashDoesNotNameRunsWhoseEndsAreNotListedYet(t *testing.T) {
	for name, listed := range map[string]bool{"listed before": true, "confirmed only": false} {
		t.Run(name, func(t *testing.T) {
			w, a := newAwaitedEnd(t, listed)
			w.crash()
			for range maxRefusedConnections {
				a.holdOnce(t.Context())
			}
			r := a.buildReport()
			assert.Assert(t, r.Worker.Gone)
			assert.Equal(t, len(r.Crashes), 1)
			assert.Equal(t, len(r.Crashes[0].Runs), 0, "%v", r.Crashes[0].Runs)
		})
	}
}
