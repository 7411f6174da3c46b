package workeragent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
