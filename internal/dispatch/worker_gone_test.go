package dispatch

import (
	"testing"

	chervilv2 "chervilridge/api/chervil/v2"
)

// Guards against an owner that panics in a submission after an agent restart: until its worker
// answers, a restarted agent reports no worker, while the forecast is still of the time before.
func TestSubmissionAfterAWorkerHasGoneSinceTheForecast(t *testing.T) {
	r, agents := newOverloadRig(t, "side-1")
	r.fill(0, bulkJobs)
	agents[0].worker = nil
	agents[0].incarnation = "2"
	agents[0].report(&chervilv2.AgentReport{Full: true})
	eventually(t, "worker gone", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.nodes["side-1"].worker == nil
	})
	job := queued(100, testQueue)
	job.Steps[0].MemoryMb++ // needs that the forecast has not compared with the workers yet
	r.refused(job)
	r.submit(queued(101, batchQueue))
}
