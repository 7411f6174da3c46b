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

// Guards against a busy worker whose runs the owner never sees as a whole.
func TestFullReportsAreMadeWhileEventsFollowEachOther(t *testing.T) {
	const reports = 3
	h := newHarness(t, time.Minute)
	h.waitListed()
	ctx, cancel := context.WithTimeout(context.Background(), 4*reports*reportInterval)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			wake(h.agent.wakeReport)
			time.Sleep(reportInterval / 10)
		}
	}()
	full := 0
	for lastFull := time.Now(); ctx.Err() == nil && full < reports; {
		lastFull = h.agent.awaitNextReport(ctx, lastFull)
		if h.agent.buildReport().Full {
			full++
		}
	}
	assert.Equal(t, full, reports)
}

// Guards against an end that the worker forgets before it is stored, since a higher one was acknowledged.
func TestEndsAreReportedInTheOrderOfTheirNumbers(t *testing.T) {
	ends := []platform.RunEnd{
		{Number: 3, Task: "0000000000000003.0.0.0", Attempt: 1, Kind: platform.EndDone},
		{Number: 1, Task: "0000000000000001.0.0.0", Attempt: 1, Kind: platform.EndDone},
		{Number: 2, Task: "0000000000000002.0.0.0", Attempt: 1, Kind: platform.EndFailed},
	}
	w := &listingWorker{report: platform.RunReport{Clock: time.Second, BornUnixMs: 7, Ended: ends}}
	a := freshAgent(w)
	freshBeat(a, 1)
	a.holdOnce(t.Context())
	reported := func() (numbers []int64) {
		for _, end := range a.buildReport().Ends {
			numbers = append(numbers, end.Number)
		}
		return numbers
	}
	assert.DeepEqual(t, reported(), []int64{1, 2, 3})
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, WorkerId: workerID, BornUnixMs: 7, StoredEnd: 2}, boottime.Now())
	assert.DeepEqual(t, reported(), []int64{3})
}
