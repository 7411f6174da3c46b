package workeragent

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/platform"
)

// listingWorker answers holds with a list, and records all other calls.
type listingWorker struct {
	Worker
	mu       sync.Mutex
	report   platform.RunReport
	startErr error
	calls    []string
}

func (w *listingWorker) record(call string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, call)
}

func (w *listingWorker) called(call string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.calls, call)
}

func (w *listingWorker) RenewLease(context.Context, string, platform.LeaseRenewal) (platform.RunReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report, nil
}

func (w *listingWorker) Start(_ context.Context, _ string, s platform.StartRequest) (time.Duration, error) {
	w.record("start " + s.Task)
	return time.Second, w.startErr
}

func (w *listingWorker) Stop(_ context.Context, _, task string, _ uint32, _ uint64) (time.Duration, error) {
	w.record("stop " + task)
	return time.Second, nil
}

func (w *listingWorker) Pace(_ context.Context, _, task string, _, _ uint32, _ uint64) error {
	w.record("pace " + task)
	return nil
}

func freshAgent(w Worker) *Agent {
	return NewAgent(&platform.NodeSettings{Name: "side-1", Bounds: platform.Bounds{MaxLease: 6 * time.Second, ReactionTime: time.Minute}}, w, boottime.Now)
}

func freshBeat(a *Agent, sequence int64) {
	a.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, BornUnixMs: 7, Service: "desk", Sequence: sequence, CPUMilli: 1000, MemoryMB: 1000})
}

// notStarted drives the agent until it reports the run as not started.
func notStarted(t *testing.T, a *Agent) {
	t.Helper()
	eventually(t, "reported as not started", func() bool {
		a.holdOnce(t.Context())
		return resultOf(a.buildReport(), task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
}

// Guards against a run that stays paced down although nothing disturbs it.
func TestRestartedAgentRestoresThePaceThatItsPredecessorLowered(t *testing.T) {
	w := &listingWorker{report: platform.RunReport{Clock: time.Second, BornUnixMs: 7, Running: []platform.Run{{Task: task1, Attempt: 1}}}}
	a := freshAgent(w)
	freshBeat(a, 1)
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000, Runs: []*chervilv2.RunInfo{{Task: task1, Attempt: 1, Fills: true, Image: "x", CpuMilli: 500}}}, boottime.Now())
	for range 20 {
		a.holdOnce(t.Context())
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, w.called("pace "+task1), "the predecessor may have halted the run; nobody sets its pace again")
}

// Guards against two runs of a task: a start call of the previous agent process comes late.
func TestRestartedAgentFencesOffAStartThatItRefuses(t *testing.T) {
	w := &listingWorker{report: platform.RunReport{Clock: time.Second, BornUnixMs: 7}}
	a := freshAgent(w)
	freshBeat(a, 1)
	a.holdOnce(t.Context())
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, Starts: []*chervilv2.StartOrder{{Task: task1, Attempt: 1, WorkerId: workerID}}}, boottime.Now()) // no lease yet
	notStarted(t, a)
	assert.Assert(t, w.called("stop "+task1), "a call of the predecessor may still be carried out")
}

// Guards against two runs of a task: the worker refuses a start, and an earlier call comes late.
func TestRestartedAgentFencesOffAStartThatTheWorkerRefuses(t *testing.T) {
	w := &listingWorker{report: platform.RunReport{Clock: time.Second, BornUnixMs: 7}, startErr: &platform.Error{Kind: platform.Unavailable}}
	a := freshAgent(w)
	freshBeat(a, 1)
	a.holdOnce(t.Context())
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000, Starts: []*chervilv2.StartOrder{{Task: task1, Attempt: 1, WorkerId: workerID}}}, boottime.Now())
	notStarted(t, a)
	assert.Assert(t, w.called("stop "+task1), "a call of the predecessor may still be carried out")
}

// Guards against a run that goes on after its stop was confirmed.
func TestRestartedAgentAnswersNoStopBeforeItHasCalledTheWorker(t *testing.T) {
	w := &listingWorker{report: platform.RunReport{Clock: time.Second, BornUnixMs: 7}}
	a := freshAgent(w)
	a.holdOnce(t.Context()) // listed, but no heartbeat yet
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000, Stops: []*chervilv2.StopOrder{{Task: task1, Attempt: 1}}}, boottime.Now())
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) && !w.called("stop "+task1) {
		a.holdOnce(t.Context())
		if resultOf(a.buildReport(), task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED {
			t.Fatal("the stop is answered, but the worker was not called")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a start beyond the capacity of the worker.
func TestRestartedAgentCountsListedRunsOfUnknownSize(t *testing.T) {
	w := &listingWorker{report: platform.RunReport{Clock: time.Second, BornUnixMs: 7, Running: []platform.Run{{Task: "0000000000000002.0.0.0", Attempt: 1}}}}
	a := freshAgent(w)
	freshBeat(a, 1)
	a.holdOnce(t.Context())
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000, Starts: []*chervilv2.StartOrder{{Task: task1, Attempt: 1, WorkerId: workerID, CpuMilli: 1000, MemoryMb: 1000}}}, boottime.Now())
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !w.called("start "+task1), "started beside a run of unknown size, with the worker's whole capacity")
}

// Guards against a worker that gets no task any more.
func TestDeregistrationOfAnEarlierLifeDoesNotEndTheNextOneForGood(t *testing.T) {
	w := &listingWorker{report: platform.RunReport{Clock: time.Second, BornUnixMs: 7}}
	a := freshAgent(w)
	freshBeat(a, 1)
	a.holdOnce(t.Context())
	a.Deregister(workerID) // late, of the life before
	freshBeat(a, 2)
	a.holdOnce(t.Context())
	freshBeat(a, 3)
	a.holdOnce(t.Context())
	assert.Assert(t, !a.buildReport().Worker.Draining, "the worker goes on, but gets no task ever again")
}

// Guards against a start beyond a capacity that has shrunk.
func TestFirstHeartbeatIsNotOlderThanTheListOfRuns(t *testing.T) {
	w := &listingWorker{report: platform.RunReport{Clock: 10 * time.Second, BornUnixMs: 7}}
	a := freshAgent(w)
	a.node.Bounds.ReactionTime = time.Second
	a.holdOnce(t.Context())
	a.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, BornUnixMs: 7, Service: "desk", Sequence: 1, Clock: 3 * time.Second, CPUMilli: 4000, MemoryMB: 4000}) // 7 s late
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000, Starts: []*chervilv2.StartOrder{{Task: task1, Attempt: 1, WorkerId: workerID, CpuMilli: 4000, MemoryMb: 4000}}}, boottime.Now())
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !w.called("start "+task1), "started by a capacity that is 7 s old")
}

// Guards against a run that is counted as crashed although it has ended.
func TestRunThatEndedOnTheNextLifeIsNotReportedAsCrashedWithTheLast(t *testing.T) {
	w := &listingWorker{report: platform.RunReport{Clock: time.Second, BornUnixMs: 7}}
	a := freshAgent(w)
	freshBeat(a, 1)
	a.holdOnce(t.Context())
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000, Starts: []*chervilv2.StartOrder{{Task: task1, Attempt: 1, WorkerId: workerID}}}, boottime.Now())
	eventually(t, "started", func() bool { return resultOf(a.buildReport(), task1) == chervilv2.StartAnswer_START_ANSWER_STARTED })
	w.mu.Lock()
	w.report = platform.RunReport{Clock: time.Second, BornUnixMs: 8, Ended: []platform.RunEnd{{Number: 1, Task: task1, Attempt: 1, Kind: platform.EndFailed}}}
	w.mu.Unlock()
	a.holdOnce(t.Context())
	r := a.buildReport()
	assert.Equal(t, len(r.Ends), 1)
	for _, crash := range r.Crashes {
		for _, run := range crash.Runs {
			assert.Assert(t, run.Task != task1, "its end was listed by the life that ran it")
		}
	}
}

// Guards against runs that an owner of an earlier release drops for a life that a heartbeat claims.
func TestUnconfirmedLifeIsNotNamedToTheOwner(t *testing.T) {
	a := freshAgent(&listingWorker{})
	freshBeat(a, 1)
	assert.Assert(t, a.buildReport().Worker == nil, "an owner of the previous release drops the runs of the present life for it")
}

// Guards against two runs of a task: one that has started is reported as not started.
func TestRepeatedStartOfARunThatIsNotListedYetIsNotReportedAsNotStarted(t *testing.T) {
	for name, copies := range map[string]int{"one message": 3, "after the list": 1} {
		t.Run(name, func(t *testing.T) {
			w := &listingWorker{report: platform.RunReport{Clock: time.Second, BornUnixMs: 7}}
			a := freshAgent(w)
			a.startedAt = a.startedAt.Add(-2 * unansweredStartTTL)
			freshBeat(a, 1)
			a.holdOnce(t.Context())
			order := func(copies int) {
				o := &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000}
				for range copies {
					o.Starts = append(o.Starts, &chervilv2.StartOrder{Task: task1, Attempt: 1, WorkerId: workerID, CpuMilli: 600, MemoryMb: 600})
				}
				a.HandleOrders(t.Context(), o, boottime.Now())
			}
			order(1)
			eventually(t, "started", func() bool {
				return resultOf(a.buildReport(), task1) == chervilv2.StartAnswer_START_ANSWER_STARTED
			})
			freshBeatOf(a, 2, 500) // no room for a start
			never := func(what string) {
				for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
					a.requestFullReport()
					r := a.buildReport()
					assert.Assert(t, resultOf(r, task1) != chervilv2.StartAnswer_START_ANSWER_NOT_STARTED, what)
					named := slices.ContainsFunc(r.Runs, func(run *chervilv2.Run) bool { return run.Task == task1 })
					assert.Assert(t, named, "a run whose start is confirmed is missing from the report")
				}
			}
			for range copies {
				order(2)
				never("reported as not started before a list")
			}
			w.mu.Lock()
			w.report.Running = []platform.Run{{Task: task1, Attempt: 1}}
			w.mu.Unlock()
			a.holdOnce(t.Context())
			order(2)
			never("reported as not started though it is listed")
		})
	}
}

func freshBeatOf(a *Agent, sequence int64, cpuMilli uint32) {
	a.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, BornUnixMs: 7, Service: "desk", Sequence: sequence, CPUMilli: cpuMilli, MemoryMB: 1000})
}

// Guards against starts that are refused although the heartbeat is recent.
func TestHeartbeatMadeJustBeforeTheListSetsTheCapacity(t *testing.T) {
	w := &listingWorker{report: platform.RunReport{Clock: 10 * time.Second, BornUnixMs: 7}}
	a := freshAgent(w)
	a.node.Bounds.ReactionTime = time.Second
	a.holdOnce(t.Context())
	a.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, BornUnixMs: 7, Service: "desk", Sequence: 1, Clock: 9800 * time.Millisecond, CPUMilli: 4000, MemoryMB: 4000})
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000, Starts: []*chervilv2.StartOrder{{Task: task1, Attempt: 1, WorkerId: workerID, CpuMilli: 4000, MemoryMb: 4000}}}, boottime.Now())
	eventually(t, "started", func() bool { return w.called("start " + task1) })
}
