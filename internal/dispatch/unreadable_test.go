package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/schedulestore"
)

// Guards against a stored record that stops each owner that loads it.
func TestUnreadableJobStopsNoOwner(t *testing.T) {
	for name, key := range map[string]string{"specification": "s/" + jobID(1), "progress": "p/" + jobID(1), "wave": "w/1"} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.submit(spec(jobID(1), 1))
			r.submit(spec(jobID(2), 1))
			r.engine.Abandon()
			<-r.engine.Done()
			r.store.mu.Lock()
			r.store.records[key] = []byte{0xff, 0xff}
			r.store.mu.Unlock()
			r.start(2)
			a := r.attach("side-1", 32000)
			second, _ := r.awaitStart(jobID(2), 0, a)
			a.end(1, second, done)
			r.waitPhase(jobID(2), jobCompleted)
			if name == "wave" {
				return
			}
			started, _ := startOf(jobID(1), 0, a)
			assert.Assert(t, started == nil, "an unreadable job was run")
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			for call, reply := range map[string]*chervilv2.JobReply{
				"lookup": r.engine.Lookup(ctx, jobID(1)), "cancel": r.engine.Cancel(ctx, jobID(1)), "submit": r.engine.Submit(ctx, spec(jobID(1), 1)),
			} {
				assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_UNKNOWN, call)
			}
		})
	}
}

// Guards against a stored job that exhausts the memory of each owner that loads it.
func TestStoredJobWithTooManyOccurrencesStopsNoOwner(t *testing.T) {
	r := newRig(t)
	r.submit(spec(jobID(1), 1))
	r.engine.Abandon()
	<-r.engine.Done()
	stored := spec(jobID(2), 1)
	stored.Occurrences = jobstate.MaxTasks + 1
	record, err := schedulestore.SpecRecord(stored)
	assert.NilError(t, err)
	r.store.mu.Lock()
	r.store.records[record.Key] = record.Value
	r.store.mu.Unlock()
	r.start(2)
	a := r.attach("side-1", 32000)
	first, _ := r.awaitStart(jobID(1), 0, a)
	a.end(1, first, done)
	r.waitPhase(jobID(1), jobCompleted)
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	assert.Assert(t, r.engine.jobs[jobID(2)] == nil, "the job is in memory")
}
