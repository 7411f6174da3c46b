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

const task2 = "0000000000000002.0.0.0"

// crashWorker makes the worker refuse all connections, after its runs have ended.
func (h *harness) crashWorker() {
	h.worker.Close()
	h.server.Listener.Close()
	h.server.CloseClientConnections()
}

func (h *harness) waitRunning(tasks int) {
	h.waitFor("runs listed", func(r *chervilv2.AgentReport) bool {
		started := 0
		for _, run := range r.Runs {
			if !run.Starting {
				started++
			}
		}
		return started == tasks
	})
}

func hasCrash(r *chervilv2.AgentReport) bool { return len(r.Crashes) > 0 }

func TestCrashIsReportedWithTheAgesOfItsRuns(t *testing.T) {
	const between = 400 * time.Millisecond
	h := newHarness(t, time.Minute)
	h.waitListed()
	h.start(task1, 1)
	h.waitRunning(1)
	time.Sleep(between)
	h.start(task2, 1)
	h.waitRunning(2)
	h.crashWorker()
	r := h.waitFor("crash", hasCrash)
	assert.Equal(t, len(r.Crashes), 1)
	ages := map[string]int64{}
	for _, run := range r.Crashes[0].Runs {
		ages[run.Task] = run.AgeMs
	}
	assert.Equal(t, len(ages), 2)
	assert.Assert(t, ages[task1]-ages[task2] >= between.Milliseconds()/2, "%v", ages)
}

// An owner that has replied may have failed before it stored what it did about the crash.
func TestCrashIsReportedOnceToEachOwner(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.waitListed()
	h.start(task1, 1)
	h.waitRunning(1)
	h.crashWorker()
	h.waitFor("crash", hasCrash)
	r := h.waitFor("crash repeated without a reply", hasCrash)
	r.Sequence = 7
	h.agent.markCrashesSent(r)
	h.agent.confirmCrashes(6)
	h.waitFor("crash repeated after the reply to an earlier report", hasCrash)
	h.agent.confirmCrashes(7)
	assert.Assert(t, !hasCrash(h.agent.buildReport()))
	h.agent.resendCrashes()
	assert.Assert(t, hasCrash(h.agent.buildReport()), "the next owner must learn of the crash")
}

func TestNewIncarnationIsACrashOfTheLast(t *testing.T) {
	h := newAddressHarness(t, workerID, time.Minute)
	h.register(workerID)
	h.start(task1, 1)
	h.waitRunning(1)
	h.replaceWorker("i-2")
	h.beat("i-2", h.born("i-2"), 1)
	r := h.waitFor("new incarnation", func(r *chervilv2.AgentReport) bool { return r.Worker.Id == "i-2" })
	assert.Equal(t, len(r.Crashes), 1)
	assert.Equal(t, r.Crashes[0].WorkerId, workerID)
	assert.Equal(t, len(r.Crashes[0].Runs), 1)
}

func TestPlannedEndOfAWorkerIsNoCrash(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"draining": func(h *harness) {
			h.agent.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, Service: "desk", Sequence: 2, Draining: true})
		},
		"deregistered": func(h *harness) { h.agent.Deregister(workerID) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, time.Minute)
			h.waitListed()
			h.start(task1, 1)
			h.waitRunning(1)
			end(h)
			h.crashWorker()
			r := h.waitFor("gone", func(r *chervilv2.AgentReport) bool { return r.Worker.GetGone() })
			assert.Assert(t, !hasCrash(r))
		})
	}
}

// While a worker is silent, it may have crashed at any time since its last answer.
func TestSilentWorkerMayHaveCrashedSinceItsLastAnswer(t *testing.T) {
	started := boottime.Instant(time.Hour)
	inc := newIncarnation(started)
	key := runKey{task1, 1}
	inc.startedAt[key] = started
	inc.lastAnswer = started.Add(100 * time.Millisecond)
	inc.unansweredHolds = 1
	inc.recordFailure(&platform.Error{Kind: platform.NoAnswer, Cause: context.DeadlineExceeded}, started.Add(1200*time.Millisecond))
	assert.Equal(t, inc.runAge(key), 100*time.Millisecond)
	inc.recordFailure(&platform.Error{Kind: platform.ConnectionRefused}, started.Add(400*time.Millisecond))
	assert.Equal(t, inc.runAge(key), 400*time.Millisecond)
}

// recordedRun returns what an agent reports of the only run of a worker that has crashed at the time.
func recordedRun(inc *incarnation, at boottime.Instant, orders map[runKey]*pendingOrder) *chervilv2.CrashedRun {
	a := NewAgent(&platform.NodeSettings{}, nil, func() boottime.Instant { return at })
	inc.id, inc.confirmed = workerID, true
	a.pendingOrders = orders
	a.recordCrash(inc)
	return a.crashes[0].runs[0]
}

func TestRunOfWhichNoAnswerToldIsNotReportedAsStarted(t *testing.T) {
	started, key := boottime.Instant(time.Hour), runKey{task1, 1}
	for name, orders := range map[string]map[runKey]*pendingOrder{
		"start without an answer": {key: {start: &chervilv2.StartOrder{}}},
		"stop under way":          {key: {stopping: true}},
		"no order":                {},
	} {
		t.Run(name, func(t *testing.T) {
			inc := newIncarnation(started)
			inc.startedAt[key] = started
			assert.Assert(t, !recordedRun(inc, started.Add(time.Second), orders).Started)
			inc.unlisted[key] = started
			assert.Assert(t, recordedRun(inc, started.Add(time.Second), orders).Started)
		})
	}
}

func TestRunIsReportedWithTheTimeForWhichItWasNotSeen(t *testing.T) {
	const listedFor, refusedAfter, goneAfter = time.Second, 1200 * time.Millisecond, 1500 * time.Millisecond
	started, key := boottime.Instant(time.Hour), runKey{task1, 1}
	broken := &platform.Error{Kind: platform.NoAnswer}
	unanswered := &platform.Error{Kind: platform.NoAnswer, Cause: context.DeadlineExceeded}
	for name, c := range map[string]struct {
		failure error
		// unseen is the time for which the run was not seen, crashAfter that from the start to the crash.
		unseen, crashAfter time.Duration
	}{
		"connection broken": {broken, 0, listedFor + 100*time.Millisecond},
		"no answer":         {unanswered, refusedAfter - listedFor, refusedAfter},
	} {
		t.Run(name, func(t *testing.T) {
			inc := newIncarnation(started)
			inc.startedAt[key], inc.firstSentAt[key] = started, started.Add(-300*time.Millisecond)
			inc.runs[key] = platform.Run{}
			inc.lastAnswer = started.Add(listedFor)
			inc.unansweredHolds = 1
			inc.recordFailure(c.failure, started.Add(listedFor+100*time.Millisecond))
			inc.unansweredHolds = 2
			inc.recordFailure(&platform.Error{Kind: platform.ConnectionRefused}, started.Add(refusedAfter))
			run := recordedRun(inc, started.Add(goneAfter), nil)
			assert.Assert(t, run.Started && run.Listed)
			assert.Equal(t, run.UnseenMs, c.unseen.Milliseconds())
			assert.Equal(t, run.MaxAgeMs, (c.crashAfter + 300*time.Millisecond).Milliseconds())
		})
	}
}

// failHolds makes an incarnation that listed its run 50 ms after the start, and whose hold calls then fail.
func failHolds(started boottime.Instant, failures ...failedHold) *incarnation {
	key := runKey{task1, 1}
	inc := newIncarnation(started)
	inc.startedAt[key], inc.firstSentAt[key] = started, started
	inc.runs[key] = platform.Run{}
	inc.lastAnswer = started.Add(50 * time.Millisecond)
	inc.holdDueAt = inc.lastAnswer.Add(holdWait + holdReplyDelay)
	a := NewAgent(&platform.NodeSettings{}, nil, func() boottime.Instant { return started })
	for _, f := range failures {
		a.clock = func() boottime.Instant { return started.Add(f.at) }
		a.handleHoldError(inc, &platform.Error{Kind: f.kind, Cause: f.cause})
	}
	return inc
}

// failedHold is the failure of a hold call, at a time since the start.
type failedHold struct {
	kind  platform.ErrorKind
	cause error
	at    time.Duration
}

func TestRunIsNotSeenWhileItsWorkerIsSilent(t *testing.T) {
	const unanswered, refused = platform.NoAnswer, platform.ConnectionRefused
	timeout := context.DeadlineExceeded
	started := boottime.Instant(time.Hour)
	for name, c := range map[string]struct {
		failures  []failedHold
		minUnseen time.Duration
	}{
		"overdue call cut off":                 {[]failedHold{{unanswered, nil, 1100 * time.Millisecond}, {refused, nil, 1250 * time.Millisecond}}, time.Second},
		"refused call long before the silence": {[]failedHold{{refused, nil, 100 * time.Millisecond}, {unanswered, timeout, 950 * time.Millisecond}, {unanswered, timeout, 1800 * time.Millisecond}, {refused, nil, 2 * time.Second}}, 1900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inc := failHolds(started, c.failures...)
			run := recordedRun(inc, started.Add(c.failures[len(c.failures)-1].at), nil)
			assert.Assert(t, run.UnseenMs >= c.minUnseen.Milliseconds(), "%v", run)
			assert.Assert(t, run.AgeMs <= 100, "%v", run)
		})
	}
}

func TestRunIsNotSeenWhileItsAgentIsPaused(t *testing.T) {
	started, key := boottime.Instant(time.Hour), runKey{task1, 1}
	now := started
	a := NewAgent(&platform.NodeSettings{}, nil, func() boottime.Instant { return now })
	inc := newIncarnation(now)
	inc.id, inc.bornUnixMs, inc.confirmed, inc.listed, inc.workerClockAt = workerID, 7, true, true, now
	inc.startedAt[key], inc.firstSentAt[key] = now, now
	a.incarnation = inc
	now = started.Add(3 * time.Second)
	list := platform.RunReport{BornUnixMs: 7, Clock: holdWait, Running: []platform.Run{{Task: task1, Attempt: 1}}}
	a.handleHoldReply(context.Background(), inc, workerID, started, list, nil)
	a.handleHoldError(inc, &platform.Error{Kind: platform.ConnectionRefused})
	a.handleHoldError(inc, &platform.Error{Kind: platform.ConnectionRefused})
	assert.Assert(t, a.crashes[0].runs[0].UnseenMs >= 2000, "%v", a.crashes[0].runs[0])
}

func TestRunIsSeenUntilItsWorkerIsFoundReplaced(t *testing.T) {
	started := boottime.Instant(time.Hour)
	inc := failHolds(started, failedHold{platform.NoAnswer, nil, 60 * time.Millisecond})
	inc.goneAt = started.Add(260 * time.Millisecond)
	run := recordedRun(inc, started.Add(1260*time.Millisecond), nil)
	assert.Assert(t, run.UnseenMs <= 200, "%v", run)
}

// A link may accept connections for a worker that is gone, and close them.
func TestRunIsSeenUntilConnectionsToItsWorkerBreak(t *testing.T) {
	started := boottime.Instant(time.Hour)
	var failures []failedHold
	for at := 60 * time.Millisecond; at < 3*time.Second; at += unansweredPause {
		failures = append(failures, failedHold{platform.NoAnswer, nil, at})
	}
	run := recordedRun(failHolds(started, failures...), started.Add(3*time.Second), nil)
	assert.Equal(t, run.UnseenMs, int64(0))
	assert.Equal(t, run.MaxAgeMs, int64(60))
}
