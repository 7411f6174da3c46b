package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
)

// Guards against a task that waits for the isolation of another one, which lasts longer than it may be without a run.
func TestTaskDoesNotWaitForTheIsolationOfAnotherBeyondItsTime(t *testing.T) {
	const crashesToIsolate = 3
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(lasting(jobID(1), 2, 1000))
	for crash := range crashesToIsolate {
		eventually(t, "both start", func() bool { return len(a.startsOf(jobID(1))) >= 2 })
		r.disconnect(a)
		a = r.attachIncarnation("side-1", fmt.Sprint(2+crash), nextIncarnation(a.worker))
		eventually(t, "both stopped", func() bool { return len(a.stopped()) == 2 })
		a.report(&chervilv2.AgentReport{Full: true, Results: a.answerStops()})
	}
	ok := r.awaitIn(maxIdleInCalm, func() { a.report(listing(a.started()...)) }, func() bool { return len(a.startsOf(jobID(1))) > 1 })
	assert.Assert(t, ok, "one of two tasks runs, on a worker with room for both: %v", a.started())
}
