package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
)

// Guards against a task that is granted to the same worker for ever, although that refuses it and another one has room.
func TestTaskThatAWorkerRefusesIsStartedOnAnother(t *testing.T) {
	for _, answer := range []chervilv2.StartAnswer{chervilv2.StartAnswer_START_ANSWER_NOT_STARTED, chervilv2.StartAnswer_START_ANSWER_NO_ROOM} {
		t.Run(answer.String(), func(t *testing.T) {
			r := newRig(t)
			a, b := r.attach("side-1", 32000), r.attach("side-2", 16000)
			r.submit(lasting(jobID(1), 1, 1000))
			answered := 0
			ok := r.awaitIn(maxIdleInCalm, func() {
				report := &chervilv2.AgentReport{Full: true}
				for _, s := range a.started()[answered:] {
					report.Results = append(report.Results, &chervilv2.StartResult{Task: s.Task, Attempt: s.Attempt, Answer: answer})
				}
				answered += len(report.Results)
				a.report(report)
				b.report(listing(b.started()...))
			}, func() bool { return len(b.started()) > 0 })
			assert.Assert(t, ok, "granted to the worker that refuses it %d times", len(a.started()))
		})
	}
}
