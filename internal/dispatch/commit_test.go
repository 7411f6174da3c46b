package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/platform"
)

// submitAsync submits a job in the background and returns its reply.
func (r *rig) submitAsync(ctx context.Context, spec *chervilv2.JobSpec) <-chan *chervilv2.JobReply {
	engine, reply := r.engine, make(chan *chervilv2.JobReply, 1)
	go func() { reply <- engine.Submit(ctx, spec) }()
	return reply
}

// awaitReply advances the clock until there is a reply.
func (r *rig) awaitReply(replies <-chan *chervilv2.JobReply) *chervilv2.JobReply {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		select {
		case reply := <-replies:
			return reply
		case <-time.After(10 * time.Millisecond):
			r.clock.advance(20 * time.Millisecond)
		}
	}
	r.t.Fatal("no reply")
	return nil
}

// awaitAppendAttempt waits until the append of the job has begun.
func (r *rig) awaitAppendAttempt(id string) {
	r.t.Helper()
	eventually(r.t, "append with the job has begun", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.jobs[id] != nil && r.engine.jobs[id].appended
	})
}

// recoverStore makes appends succeed again and waits until the failing one has.
func (r *rig) recoverStore() {
	r.t.Helper()
	r.store.fail("")
	eventually(r.t, "append succeeds", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.appendStart == 0
	})
}

// Answers the load of a store that turns all calls away for seconds: the jobs of the append
// that was under way are rejected as soon as the outage lasts, instead of at their deadline.
func TestJobsAreRejectedOnceTheStoreHasCertainlyNotStoredThem(t *testing.T) {
	for _, kind := range []platform.ErrorKind{platform.Unavailable, platform.Throttled, platform.ConnectionRefused} {
		t.Run(string(kind), func(t *testing.T) {
			r := newRig(t)
			a := r.attach("side-1", 32000)
			r.store.fail(kind)
			began := r.clock.read()
			reply := r.awaitReply(r.submitAsync(context.Background(), spec(jobID(1), 2)))
			assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_REJECTED)
			assert.Assert(t, reply.RetryAfterMs > 0)
			assert.Assert(t, r.clock.read().Sub(began) < time.Second, "took %v", r.clock.read().Sub(began))
			r.recoverStore()
			r.submit(spec(jobID(2), 1))
			eventually(t, "the other job starts", func() bool { return len(a.started()) == 1 })
			assert.Equal(t, r.engine.Lookup(context.Background(), jobID(1)).Outcome, chervilv2.Outcome_OUTCOME_NO_SUCH_JOB)
			assert.Assert(t, !r.store.holds("s/"+jobID(1)))
			assert.Assert(t, strings.HasPrefix(a.started()[0].Task, jobID(2)))
			r.engine.mu.Lock()
			defer r.engine.mu.Unlock()
			assert.Equal(t, len(r.engine.nodes["side-1"].runs), 1, "runs of the rejected job keep no room")
		})
	}
}

// A job that was sent to the store without an answer may be stored; one that was not sent
// yet is certainly not.
func TestOnlyJobsThatWereNotSentAreRejectedAfterAnUnansweredAppend(t *testing.T) {
	r := newRig(t)
	r.store.fail(platform.NoAnswer)
	ctx, cancel := context.WithCancel(context.Background())
	sent := r.submitAsync(ctx, spec(jobID(1), 1))
	r.awaitAppendAttempt(jobID(1))
	eventually(t, "first attempt without an answer", func() bool { return r.store.failedAppends() > 0 })
	r.store.fail(platform.Unavailable) // from now on; the first attempt stays in doubt
	reply := r.awaitReply(r.submitAsync(context.Background(), spec(jobID(2), 1)))
	assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_REJECTED)
	r.clock.advance(time.Second)
	time.Sleep(2 * tickInterval)
	cancel()
	assert.Equal(t, (<-sent).Outcome, chervilv2.Outcome_OUTCOME_UNKNOWN)
	r.recoverStore()
	r.submit(spec(jobID(1), 1)) // the retry of the client joins the job in doubt
	assert.Assert(t, r.store.holds("s/"+jobID(1)))
}

// When the owner is replaced, callers whose jobs are certainly not stored are sent to the next
// owner; for the others the outcome is unknown.
func TestReplyWhenTheOwnerIsReplacedDuringAnAppend(t *testing.T) {
	cases := []struct {
		failure platform.ErrorKind
		want    chervilv2.Outcome
	}{{platform.Unavailable, chervilv2.Outcome_OUTCOME_NOT_OWNER}, {platform.NoAnswer, chervilv2.Outcome_OUTCOME_UNKNOWN}}
	for _, c := range cases {
		t.Run(string(c.failure), func(t *testing.T) {
			r := newRig(t)
			r.store.fail(c.failure)
			reply := r.submitAsync(context.Background(), spec(jobID(1), 1))
			r.awaitAppendAttempt(jobID(1))
			eventually(t, "a failed attempt", func() bool { return r.store.failedAppends() > 0 })
			r.store.mu.Lock()
			r.store.fenced = true
			r.store.mu.Unlock()
			assert.Equal(t, r.awaitReply(reply).Outcome, c.want)
		})
	}
}

// A job that was rejected and submitted again must not be started by the order of the first
// time, which names the same run. New jobs are rejected until that batch is stored.
func TestResubmittedJobStartsOnlyOnceStored(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.store.fail(platform.Unavailable)
	assert.Equal(t, r.awaitReply(r.submitAsync(context.Background(), spec(jobID(1), 1))).Outcome, chervilv2.Outcome_OUTCOME_REJECTED)
	r.recoverStore()
	release := r.store.block()
	reply := r.submitAsync(context.Background(), spec(jobID(1), 1))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(a.started()), 0)
	release()
	assert.Equal(t, (<-reply).Outcome, chervilv2.Outcome_OUTCOME_OK)
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
}

func TestJobThatCannotBeEncodedIsRejected(t *testing.T) {
	r := newRig(t)
	bad := spec(jobID(1), 1)
	bad.Payload = "\xff" // not UTF-8
	good := r.submitAsync(context.Background(), spec(jobID(2), 1))
	reply := r.engine.Submit(context.Background(), bad)
	assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_REJECTED)
	assert.Equal(t, (<-good).Outcome, chervilv2.Outcome_OUTCOME_OK)
	assert.Equal(t, r.engine.Lookup(context.Background(), jobID(1)).Outcome, chervilv2.Outcome_OUTCOME_NO_SUCH_JOB)
}

// Jobs that exceed the size of one append are stored by the next one, and acknowledged only
// then.
func TestPostponedJobsAreAcknowledgedOnceStored(t *testing.T) {
	const jobs, payloadBytes = 4, 600 << 10
	r := newRig(t)
	release := r.store.block()
	go func() { _ = r.engine.Submit(context.Background(), spec(jobID(100), 1)) }() // keeps the first append busy
	r.awaitAppendAttempt(jobID(100))
	type outcome struct {
		reply  *chervilv2.JobReply
		stored bool
	}
	outcomes := make(chan outcome, jobs)
	for i := range jobs {
		go func() {
			job := spec(jobID(i), 1)
			job.Payload = strings.Repeat("x", payloadBytes)
			reply := r.engine.Submit(context.Background(), job)
			outcomes <- outcome{reply, r.store.holds("s/" + jobID(i))}
		}()
	}
	eventually(t, "all jobs wait", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return len(r.engine.jobs) == jobs+1
	})
	release()
	for range jobs {
		o := <-outcomes
		assert.Equal(t, o.reply.Outcome, chervilv2.Outcome_OUTCOME_OK)
		assert.Assert(t, o.stored, "acknowledged before it was stored")
	}
}

// A planned stop while an append is in flight, with nothing else to store, ends with that
// append.
func TestStopWaitsForTheAppendInFlightOnly(t *testing.T) {
	r := newRig(t)
	release := r.store.block()
	reply := r.submitAsync(context.Background(), spec(jobID(1), 1))
	r.awaitAppendAttempt(jobID(1))
	stopped := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		r.engine.Stop(ctx)
		close(stopped)
	}()
	time.Sleep(50 * time.Millisecond)
	release()
	select {
	case <-stopped:
	case <-time.After(testTimeout / 2):
		t.Fatal("the stop waits for a batch that is never stored")
	}
	assert.Equal(t, (<-reply).Outcome, chervilv2.Outcome_OUTCOME_OK)
}
