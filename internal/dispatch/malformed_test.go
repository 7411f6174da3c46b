package dispatch

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/schedulestore"
)

// malformedSpecs are specifications that a peer of another version, or a fault, may send.
func malformedSpecs() map[string]*chervilv2.JobSpec {
	step := func(change func(*chervilv2.Step)) *chervilv2.JobSpec {
		job := spec(jobID(1), 1)
		change(job.Steps[0])
		return job
	}
	return map[string]*chervilv2.JobSpec{
		"no steps":             {Id: jobID(1), Queue: testQueue},
		"step without tasks":   step(func(s *chervilv2.Step) { s.Tasks = 0 }),
		"after itself":         step(func(s *chervilv2.Step) { s.After = []uint32{0} }),
		"after a missing step": step(func(s *chervilv2.Step) { s.After = []uint32{7} }),
	}
}

func TestMalformedSubmissionEndsNoOwner(t *testing.T) {
	specs := malformedSpecs()
	specs["nothing"] = nil
	for name, malformed := range specs {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := r.attach("side-1", 32000)
			reply := r.engine.Submit(context.Background(), malformed)
			assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_REJECTED)
			r.completes(jobID(2), a, 1)
		})
	}
}

func TestMalformedStoredJobEndsNoOwner(t *testing.T) {
	for name, malformed := range malformedSpecs() {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.engine.Abandon()
			<-r.engine.Done()
			record, err := schedulestore.SpecRecord(malformed)
			assert.NilError(t, err)
			r.store.mu.Lock()
			r.store.records[record.Key] = record.Value
			r.store.mu.Unlock()
			r.start(2)
			r.completes(jobID(2), r.attach("side-1", 32000), 1)
		})
	}
}

func TestMalformedReportEndsNoOwner(t *testing.T) {
	for name, report := range map[string]*chervilv2.AgentReport{
		"end of no task":      {Ends: []*chervilv2.RunEnd{{Number: 1, Task: "x"}}},
		"end of a large task": {Ends: []*chervilv2.RunEnd{{Number: 1, Task: jobID(1) + ".4294967295.4294967295.4294967295", Attempt: 1, Kind: done}}},
		"run of no task":      {Full: true, Runs: []*chervilv2.Run{{Task: ""}, {Task: jobID(1) + ".9.9.9"}}},
		"crash of no worker":  {Crashes: []*chervilv2.WorkerCrash{{Runs: []*chervilv2.CrashedRun{{Task: "x"}, {Task: jobID(1) + ".0.0.0", Attempt: 1, AgeMs: -1 << 63}}}}},
		"result of no task":   {Results: []*chervilv2.StartResult{{Task: "x"}, {Task: jobID(1) + ".0.9.0", Attempt: 9}}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := r.attach("side-1", 32000)
			r.submit(spec(jobID(1), 1))
			r.awaitStart(jobID(1), 0, a)
			a.report(report)
			worker := a.worker
			a.worker = nil
			a.report(&chervilv2.AgentReport{Full: true, Ends: report.Ends, Runs: report.Runs, Crashes: report.Crashes, Results: report.Results})
			a.worker = worker
			a.report(&chervilv2.AgentReport{Full: true})
			r.completes(jobID(2), a, 2)
		})
	}
}
