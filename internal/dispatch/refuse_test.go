package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/forecast"
	"chervilridge/internal/operatorconfig"
)

const (
	// taskTime is so long that the time a test takes does not matter. A job of one step is in
	// time within 2 x 140 + 1 s, and of use for three times that.
	taskTime = 100 * time.Second
	// jobTasks is the tasks of a job, each of one core; bulkJobs as many of them as 10 cores serve
	// in 3,000 s, and roomyJobs in 200 s.
	jobTasks  = 10
	bulkJobs  = 30
	roomyJobs = 2

	batchQueue = "batch" // without an objective
	freshQueue = "fresh" // without a learned duration
	firstQueue = "first" // of a better priority than testQueue
	nextQueue  = "next"  // of a priority between these
)

// newOverloadRig returns a rig whose owner may refuse jobs, with one worker per node of 10 cores.
func newOverloadRig(t *testing.T, nodes ...string) (*rig, []*testAgent) {
	r := &rig{t: t, store: newTestStore(), clock: &testClock{now: boottime.Instant(time.Hour)}}
	queue := func(name string, stretch float64, priority int) operatorconfig.Queue {
		return operatorconfig.Queue{Name: name, Service: testService, MaxAttempts: 2, Stretch: stretch, TargetLatency: time.Second, Priority: priority}
	}
	r.view = &operatorconfig.View{
		Evacuated: map[string]bool{},
		Config: operatorconfig.NewConfig(1,
			[]operatorconfig.Queue{queue(testQueue, 2, 3), queue(batchQueue, 0, 3), queue(freshQueue, 2, 3), queue(firstQueue, 2, 1), queue(nextQueue, 2, 2)},
			map[string]operatorconfig.Service{testService: {Name: testService}}, operatorconfig.Limits{}),
	}
	r.start(1)
	var agents []*testAgent
	for _, n := range nodes {
		agents = append(agents, r.attach(n, 10000))
	}
	r.learn()
	r.clock.advance(minOwnerAge + time.Second)
	for _, a := range agents {
		r.grantLease(a)
	}
	return r, agents
}

// learn lets the owner learn the durations of the queues, except freshQueue.
func (r *rig) learn() {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	for _, q := range []string{testQueue, batchQueue, firstQueue, nextQueue} {
		r.engine.durations.Observe(q, taskTime)
	}
}

func queued(id int, queue string) *chervilv2.JobSpec {
	s := spec(jobID(id), jobTasks)
	s.Queue = queue
	return s
}

// fill submits jobs, from jobID(first) on, and waits for a forecast that has them.
func (r *rig) fill(first, jobs int) {
	r.t.Helper()
	for i := range jobs {
		r.submit(queued(first+i, testQueue))
	}
	r.forecast()
}

// forecast waits for a forecast of the present state.
func (r *rig) forecast() {
	r.t.Helper()
	r.settle()
	r.clock.advance(forecastInterval)
	now := r.clock.read()
	eventually(r.t, "forecast", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.forecasts.at >= now
	})
}

func (r *rig) try(spec *chervilv2.JobSpec) *chervilv2.JobReply {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return r.engine.Submit(ctx, spec)
}

func (r *rig) refused(spec *chervilv2.JobSpec) bool {
	r.t.Helper()
	reply := r.try(spec)
	if reply.Outcome == chervilv2.Outcome_OUTCOME_REJECTED {
		retryAfter := time.Duration(reply.RetryAfterMs) * time.Millisecond
		assert.Assert(r.t, retryAfter >= forecast.MinRetryAfter && retryAfter <= forecast.MaxRetryAfter, "%v", retryAfter)
		return true
	}
	assert.Equal(r.t, reply.Outcome, chervilv2.Outcome_OUTCOME_OK)
	return false
}

// check returns whether a new job would be refused at this moment, after a change of the engine that no
// other work of it sees.
func (r *rig) check(spec *chervilv2.JobSpec, change func(e *Engine)) bool {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	forecasts, start := e.forecasts, e.epochStart
	defer func() { e.forecasts, e.epochStart = forecasts, start }()
	e.forecasts.refusals.ids = nil
	change(e)
	_, refused := e.checkNewJob(spec)
	return refused
}

// Guards against jobs that are accepted though they can only end after they are of no use, and against
// a trace of refused ones.
func TestJobThatWouldEndTooLateIsRefused(t *testing.T) {
	r, _ := newOverloadRig(t, "side-1")
	r.fill(0, bulkJobs)
	assert.Assert(t, r.refused(queued(100, testQueue)))
	r.settle()
	r.engine.mu.Lock()
	_, known := r.engine.jobs[jobID(100)]
	r.engine.mu.Unlock()
	assert.Assert(t, !known)
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	for key := range r.store.records {
		assert.Assert(t, !strings.HasSuffix(key, jobID(100)), "stored as %s", key)
	}
}

// Guards against refusals where capacity suffices, also of a burst.
func TestNothingIsRefusedWhereCapacitySuffices(t *testing.T) {
	r, _ := newOverloadRig(t, "side-1")
	for round := range 4 {
		r.fill(round*roomyJobs, roomyJobs)
	}
	assert.Assert(t, !r.refused(queued(100, testQueue)), "ends in use")
}

// Guards against a burst on a busy service that passes between two planning rounds.
func TestJobsAcceptedSinceTheForecastCount(t *testing.T) {
	r, _ := newOverloadRig(t, "side-1")
	r.fill(0, roomyJobs)
	e := r.engine
	e.mu.Lock() // no round meanwhile
	defer e.mu.Unlock()
	accepted := 0
	for i := range 3 * bulkJobs {
		job := queued(100+i, testQueue)
		if reply, _ := e.checkNewJob(job); reply == nil {
			e.addJob(job)
			accepted++
		}
	}
	// Of use for 843 s, alone done in 140 s: 15 cores do 10 to 13 jobs of 1,000 core-seconds meanwhile.
	assert.Assert(t, accepted >= 10-roomyJobs && accepted <= 13, "%d accepted", accepted)
}

// Guards against refusals of jobs that are known.
func TestKnownJobIsNotRefused(t *testing.T) {
	r, _ := newOverloadRig(t, "side-1")
	r.fill(0, bulkJobs)
	assert.Assert(t, r.refused(queued(100, testQueue)))
	assert.Assert(t, !r.refused(queued(bulkJobs-1, testQueue)))
}

// Guards against refusals of an ID of which a record exists that cannot be read: the job may have run.
func TestUnreadableJobIsNotRefused(t *testing.T) {
	r, _ := newOverloadRig(t, "side-1")
	r.fill(0, bulkJobs)
	r.engine.mu.Lock()
	r.engine.unreadable = map[string]bool{jobID(100): true}
	r.engine.mu.Unlock()
	assert.Equal(t, r.try(queued(100, testQueue)).Outcome, chervilv2.Outcome_OUTCOME_UNKNOWN)
}

func TestWhatIsNeverRefused(t *testing.T) {
	r, _ := newOverloadRig(t, "side-1")
	for i := range bulkJobs {
		r.submit(queued(i, nextQueue)) // ahead of all but firstQueue, also of jobs without slack
	}
	r.forecast()
	none := func(*Engine) {}
	assert.Assert(t, r.check(queued(100, testQueue), none), "else this test shows nothing")
	cases := map[string]struct {
		queue  string
		job    func(*chervilv2.JobSpec)
		change func(*Engine)
	}{
		"scheduled":                     {job: func(s *chervilv2.JobSpec) { s.Occurrences, s.IntervalMs = 2, 1000 }},
		"long-running":                  {job: func(s *chervilv2.JobSpec) { s.Steps[0].LongRunning = true }},
		"with a long-running step":      {job: func(s *chervilv2.JobSpec) { s.Steps = append(s.Steps, &chervilv2.Step{Tasks: 1, LongRunning: true}) }},
		"no objective":                  {queue: batchQueue},
		"duration not learned":          {queue: freshQueue},
		"better priority":               {queue: firstQueue},
		"fits on no worker":             {job: func(s *chervilv2.JobSpec) { s.Steps[0].CpuMilli = 10001 }},
		"too large even alone":          {job: func(s *chervilv2.JobSpec) { s.Steps[0].Tasks = 9000 }},
		"huge estimate of the client":   {job: func(s *chervilv2.JobSpec) { s.Steps[0].EstimateMs = 1<<32 - 1 }},
		"no CPU":                        {job: func(s *chervilv2.JobSpec) { s.Steps[0].CpuMilli = 0 }},
		"owner is young":                {change: func(e *Engine) { e.epochStart = e.clock().Add(-minOwnerAge + time.Millisecond) }},
		"forecast is stale":             {change: func(e *Engine) { e.forecasts.at = e.clock().Add(-maxForecastAge - time.Millisecond) }},
		"no forecast":                   {change: func(e *Engine) { e.forecasts.at = 0 }},
		"too many refused IDs":          {change: func(e *Engine) { e.forecasts.refusals.ids = manyRefusals() }},
		"estimate above the mean":       {job: func(s *chervilv2.JobSpec) { s.Steps[0].EstimateMs = 4 * uint32(taskTime.Milliseconds()) }},
		"no worker, capacity not known": {change: func(e *Engine) { e.forecasts.services = nil }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			job := queued(100, testQueue)
			if c.queue != "" {
				job.Queue = c.queue
			}
			if c.job != nil {
				c.job(job)
			}
			if c.change == nil {
				c.change = none
			}
			assert.Assert(t, !r.check(job, c.change))
		})
	}
}

func manyRefusals() map[string]refusal {
	out := map[string]refusal{}
	for i := range maxRefusedIDs {
		out[jobID(1000+i)] = refusal{}
	}
	return out
}

// Guards against refusals by capacity that a service no longer has, or has again.
func TestRefusalsFollowTheCapacity(t *testing.T) {
	r, agents := newOverloadRig(t, "side-1", "side-2")
	r.fill(0, 15)
	assert.Assert(t, !r.check(queued(100, testQueue), func(*Engine) {}), "two workers")
	drain := func(draining bool) {
		agents[1].worker = withDraining(agents[1].worker, draining)
		agents[1].report(&chervilv2.AgentReport{Full: true})
		eventually(t, "report handled", func() bool {
			r.engine.mu.Lock()
			defer r.engine.mu.Unlock()
			return r.engine.nodes["side-2"].worker.Draining == draining
		})
		if !draining {
			r.grantLease(agents[1])
		}
		r.forecast()
	}
	drain(true)
	assert.Assert(t, r.refused(queued(100, testQueue)), "one of two workers drains")
	drain(false)
	assert.Assert(t, !r.refused(queued(101, testQueue)), "two workers again")
}

func withDraining(w *chervilv2.Worker, draining bool) *chervilv2.Worker {
	return &chervilv2.Worker{
		Id: w.Id, BornUnixMs: w.BornUnixMs, Service: w.Service, Zone: w.Zone, CpuMilli: w.CpuMilli, MemoryMb: w.MemoryMb, Listed: w.Listed, Draining: draining,
	}
}

// Guards against refusals during an interruption of a worker's agent.
func TestWorkerThatIsAwayForAMomentCounts(t *testing.T) {
	r, agents := newOverloadRig(t, "side-1", "side-2")
	r.fill(0, 15)
	r.disconnect(agents[1])
	r.forecast()
	assert.Assert(t, !r.check(queued(100, testQueue), func(*Engine) {}), "away for a moment")
	r.clock.advance(absentAfter)
	r.grantLease(agents[0])
	r.forecast()
	assert.Assert(t, r.check(queued(100, testQueue), func(*Engine) {}), "away for long")
}

// Guards against tasks that wait for something else than capacity and make the service look full.
func TestTasksThatFitOnNoWorkerRefuseNothing(t *testing.T) {
	r, _ := newOverloadRig(t, "side-1")
	for i := range bulkJobs {
		job := queued(i, firstQueue)
		job.Steps[0].CpuMilli = 20000
		r.submit(job)
	}
	r.fill(bulkJobs, roomyJobs)
	assert.Assert(t, !r.refused(queued(100, testQueue)))
}

// Guards against a copy of a refused submission that is accepted while its caller takes the job as
// refused.
func TestRefusalHoldsForItsRetryAfter(t *testing.T) {
	r, agents := newOverloadRig(t, "side-1")
	r.fill(0, bulkJobs)
	reply := r.try(queued(100, testQueue))
	assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_REJECTED)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for i := range bulkJobs {
		r.engine.Cancel(ctx, jobID(i))
	}
	a := agents[0]
	eventually(t, "runs stopped", func() bool {
		a.report(&chervilv2.AgentReport{Results: a.answerStops()})
		return a.answeredStops >= jobTasks
	})
	r.forecast()
	assert.Assert(t, !r.refused(queued(101, testQueue)), "there is room")
	reply = r.try(queued(100, testQueue))
	assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_REJECTED, "a copy that was under way")
	waited := time.Duration(reply.RetryAfterMs) * time.Millisecond
	r.clock.advance(waited)
	r.grantLease(a)
	r.forecast()
	assert.Assert(t, !r.refused(queued(100, testQueue)), "repeated as told")
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	age := time.Since(time.UnixMilli(r.engine.jobs[jobID(100)].job.Spec.AcceptedUnixMs))
	assert.Assert(t, age >= waited, "%v: a job that comes back keeps its age", age)
	assert.Equal(t, len(r.engine.forecasts.refusals.ids), 0)
}

// Guards against refused jobs that never come back and fill the memory of refusals permanently.
func TestRefusedJobsThatDoNotComeBackAreForgotten(t *testing.T) {
	var r refusals
	now := boottime.Instant(time.Hour)
	for i := range 100 {
		r.add(jobID(i), now, forecast.MinRetryAfter)
	}
	r.prune(now.Add(forecast.MinRetryAfter))
	assert.Equal(t, len(r.ids), 100)
	r.prune(now.Add(forecast.MinRetryAfter + returnWithin + 1))
	assert.Equal(t, len(r.ids), 0)
}

// Guards against refusals that outlast their owner, and against accepted jobs that do not.
func TestRefusalsAreForgottenAtATakeoverAndAcceptedJobsKept(t *testing.T) {
	r, _ := newOverloadRig(t, "side-1")
	r.fill(0, bulkJobs)
	assert.Assert(t, r.refused(queued(100, testQueue)))
	r.engine.Abandon()
	<-r.engine.Done()
	r.start(2)
	r.attach("side-1", 10000)
	r.learn()
	r.forecast()
	assert.Assert(t, !r.refused(queued(100, testQueue)), "the new owner is young")
	for i := range bulkJobs {
		assert.Equal(t, r.engine.Lookup(context.Background(), jobID(i)).Outcome, chervilv2.Outcome_OUTCOME_OK, "job %d", i)
	}
}

// Guards against a refusal of a job that an owner has accepted, but not stored, as it was replaced: the
// next owner does not know, so that the first must not refuse it and it must not run twice.
func TestOwnerReplacedBetweenDecisionAndRecordRefusesNothing(t *testing.T) {
	r, _ := newOverloadRig(t, "side-1")
	r.fill(0, roomyJobs)
	release := r.store.block()
	replies := make(chan *chervilv2.JobReply)
	go func() { replies <- r.try(queued(100, testQueue)) }()
	eventually(t, "added", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.jobs[jobID(100)] != nil
	})
	r.engine.Abandon()
	<-r.engine.Done()
	reply := <-replies
	release()
	assert.Assert(t, reply.Outcome == chervilv2.Outcome_OUTCOME_NOT_OWNER || reply.Outcome == chervilv2.Outcome_OUTCOME_UNKNOWN, "%v", reply.Outcome)
	r.start(2)
	assert.Assert(t, !r.refused(queued(100, testQueue)))
	r.settle()
	assert.Assert(t, r.store.holds("s/"+jobID(100)), "accepted and stored by the second owner")
}

// Guards against a forecast that holds jobs which have ended.
func TestForecastDoesNotGrowWithEndedJobs(t *testing.T) {
	r, _ := newOverloadRig(t, "side-1")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for i := range 50 {
		r.submit(queued(i, testQueue))
		r.engine.Cancel(ctx, jobID(i))
	}
	r.forecast()
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	assert.Equal(t, len(r.engine.forecasts.services[testService].jobs.ExpectedEnds()), 0)
}

// Guards against refusals and errors of the forecast that no metric shows.
func TestRefusalsAndForecastErrorsAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	RegisterMetrics(scope)
	r, agents := newOverloadRig(t, "side-1")
	r.fill(0, bulkJobs)
	assert.Assert(t, r.refused(queued(100, testQueue)))
	assert.Assert(t, r.refused(queued(100, testQueue)))
	a := agents[0]
	eventually(t, "first jobs start", func() bool { return len(a.started()) == jobTasks })
	for i, s := range a.started() {
		a.end(int64(i+1), s, done)
	}
	eventually(t, "ended", func() bool { return len(a.started()) > jobTasks })
	counters := scope.Snapshot().Counters()
	assert.Equal(t, counters["jobs_refused+reason=too-late"].Value(), int64(1))
	assert.Equal(t, counters["jobs_refused+reason=repeated"].Value(), int64(1))
	errors := int64(0)
	for _, count := range scope.Snapshot().Histograms()["forecast_error+direction=early"].Durations() {
		errors += count
	}
	assert.Equal(t, errors, int64(1), "the job ended at once, its forecast end is after some 100 s")
}
