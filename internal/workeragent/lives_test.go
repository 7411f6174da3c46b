package workeragent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/standin/taskworker"
	"chervilridge/platform"
)

// addressHarness is an agent whose worker can be replaced by another one at the same address.
type addressHarness struct {
	*harness
	runTime time.Duration
	handler atomic.Pointer[http.Handler]
}

// newAddressHarness returns an agent without heartbeats, at whose worker address a worker with
// the id listens.
func newAddressHarness(t *testing.T, id string, runTime time.Duration) *addressHarness {
	h := &addressHarness{harness: &harness{t: t, journal: taskworker.NewJournal()}, runTime: runTime}
	h.replaceWorker(id)
	h.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*h.handler.Load()).ServeHTTP(w, r) }))
	node := &platform.NodeSettings{Name: "side-1", Bounds: platform.Bounds{MaxLease: 6 * time.Second, ReactionTime: time.Minute}}
	h.agent = NewAgent(node, platform.NewWorkerClient(strings.TrimPrefix(h.server.URL, "http://")), boottime.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		h.server.CloseClientConnections()
		h.worker.Close()
		h.server.Close()
	})
	go h.agent.RenewLeases(ctx)
	return h
}

// replaceWorker ends the worker, if there is one, and starts another one at its address.
func (h *addressHarness) replaceWorker(id string) {
	if h.worker != nil {
		h.worker.Close()
		time.Sleep(5 * time.Millisecond) // so that they differ in their time of birth
	}
	h.worker = taskworker.New(taskworker.Config{ID: id, Service: "desk"}, func(string) time.Duration { return h.runTime }, h.journal)
	handler := h.worker.Handler()
	h.handler.Store(&handler)
}

// born returns the time of birth that the worker reports.
func (h *addressHarness) born(id string) int64 {
	h.t.Helper()
	runs, err := platform.NewWorkerClient(strings.TrimPrefix(h.server.URL, "http://")).RenewLease(context.Background(), id, platform.LeaseRenewal{})
	assert.NilError(h.t, err)
	return runs.BornUnixMs
}

// beat sends a heartbeat of the worker with the id and time of birth to the agent.
func (h *addressHarness) beat(id string, born, sequence int64) {
	h.agent.HandleHeartbeat(platform.Heartbeat{WorkerID: id, BornUnixMs: born, Service: "desk", Sequence: sequence, CPUMilli: 32000})
}

// register sends the heartbeat of the present worker and waits until its runs are listed.
func (h *addressHarness) register(id string) {
	h.t.Helper()
	born := h.born(id)
	h.beat(id, born, 1)
	h.waitFor("worker listed", func(r *chervilv2.AgentReport) bool {
		return r.Worker.GetListed() && r.Worker.GetBornUnixMs() == born
	})
	h.order(&chervilv2.OwnerOrders{})
}

// releases reports whether the owner may start the run elsewhere after the report.
func releases(r *chervilv2.AgentReport, task string, granted int64) bool {
	for _, crash := range r.Crashes {
		if slices.ContainsFunc(crash.Runs, func(run *chervilv2.CrashedRun) bool { return run.Task == task }) {
			return true
		}
	}
	if resultOf(r, task) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED || r.Worker.GetGone() {
		return true
	}
	named := slices.ContainsFunc(r.Runs, func(run *chervilv2.Run) bool { return run.Task == task })
	return r.Worker.GetBornUnixMs() != granted && r.Full && !named
}

// Guards against two runs of a task: a repeated start reaches the next life, and is reported as ended.
func TestRunIsNotReportedAsEndedWhileTheNextLifeOfItsWorkerRunsIt(t *testing.T) {
	h := newAddressHarness(t, workerID, time.Minute)
	h.register(workerID)
	granted := h.born(workerID)
	h.worker.SetFaults(taskworker.Faults{Hang: true})
	h.start(task1, 1)
	time.Sleep(startTimeout / 2)
	h.replaceWorker(workerID)
	released := false
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		h.agent.requestFullReport()
		released = released || releases(h.agent.buildReport(), task1, granted)
		if released {
			assert.Equal(t, h.worker.Running(), 0, "the next life of the worker runs a task that was reported as ended")
		}
	}
}

// Guards against two runs of a task: a restarted agent takes a delayed heartbeat for the newest one.
func TestDelayedHeartbeatDoesNotReplaceTheWorkerThatAnswers(t *testing.T) {
	for name, heartbeatFirst := range map[string]bool{"after the first list of runs": false, "before it": true} {
		t.Run(name, func(t *testing.T) {
			h := newAddressHarness(t, workerID, time.Minute)
			born := h.born(workerID)
			if !heartbeatFirst {
				h.waitFor("time of birth known", func(*chervilv2.AgentReport) bool {
					h.agent.mu.Lock()
					defer h.agent.mu.Unlock()
					return h.agent.incarnation != nil && h.agent.incarnation.bornUnixMs != 0
				})
			}
			h.beat(workerID, born-7000, 9)
			h.neverReported(born)
			h.register(workerID)
		})
	}
}

// neverReported fails the test if a report says that a worker is listed or gone that was not
// born at the time.
func (h *addressHarness) neverReported(born int64) {
	h.t.Helper()
	for end := time.Now().Add(700 * time.Millisecond); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		r := h.agent.buildReport()
		if w := r.Worker; w.GetBornUnixMs() != born && (w.GetListed() || w.GetGone()) {
			h.t.Fatalf("another worker than the one that answers is reported: %v", w)
		}
	}
}

// Guards against two runs of a task: a heartbeat of another writer replaces the present worker.
func TestHeartbeatOfAWorkerElsewhereDoesNotReplaceTheOneThatAnswers(t *testing.T) {
	h := newAddressHarness(t, workerID, time.Minute)
	h.register(workerID)
	h.start(task1, 1)
	h.waitRunning(1)
	born := h.born(workerID)
	h.beat("i-elsewhere", born+7000, 1)
	h.neverReported(born)
	r := h.agent.buildReport()
	assert.Equal(t, r.Worker.Id, workerID)
	assert.Equal(t, len(r.Crashes), 0)
}

// scriptedWorker records renewals and stops. It answers as the life born at the time, refuses
// connections if that is 0, and leaves calls unanswered while silent is set.
type scriptedWorker struct {
	Worker
	silent          atomic.Bool
	stopsUnanswered atomic.Bool
	born            atomic.Int64
	renewals        chan platform.LeaseRenewal
	stops           chan string
	// entered is closed by the first renewal, which then waits for release; nil lets it pass.
	entered, release chan struct{}
}

func newScriptedWorker(born int64) *scriptedWorker {
	w := &scriptedWorker{renewals: make(chan platform.LeaseRenewal, 100), stops: make(chan string, 100)}
	w.born.Store(born)
	return w
}

func (w *scriptedWorker) failure() error {
	switch {
	case w.silent.Load():
		return &platform.Error{Kind: platform.NoAnswer, Cause: context.DeadlineExceeded}
	case w.born.Load() == 0:
		return &platform.Error{Kind: platform.ConnectionRefused}
	}
	return nil
}

func (w *scriptedWorker) RenewLease(_ context.Context, _ string, r platform.LeaseRenewal) (platform.RunReport, error) {
	if w.entered != nil {
		close(w.entered)
		<-w.release
		w.entered = nil
	}
	w.renewals <- r
	return platform.RunReport{Clock: time.Second, BornUnixMs: w.born.Load()}, w.failure()
}

func (w *scriptedWorker) Start(context.Context, string, platform.StartRequest) (time.Duration, error) {
	return time.Second, w.failure()
}

func (w *scriptedWorker) Stop(_ context.Context, _, task string, _ uint32, _ uint64) (time.Duration, error) {
	if err := w.failure(); err != nil {
		return 0, err
	}
	if w.stopsUnanswered.Load() {
		return 0, &platform.Error{Kind: platform.NoAnswer, Cause: context.DeadlineExceeded}
	}
	w.stops <- task
	return time.Second, nil
}

// newScriptedAgent returns an agent that knows the life of the worker born at the time.
func newScriptedAgent(t *testing.T, w *scriptedWorker, born int64) *Agent {
	a := NewAgent(&platform.NodeSettings{Name: "side-1", Bounds: platform.Bounds{MaxLease: 6 * time.Second, ReactionTime: time.Minute}}, w, boottime.Now)
	a.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, BornUnixMs: born, Service: "desk", Sequence: 1, CPUMilli: 1000})
	a.holdOnce(t.Context())
	<-w.renewals
	return a
}

// Guards against two runs of a task: a start call that its worker left unanswered is executed by the next life.
func TestStartWithoutAnswerIsStoppedOnTheNextLife(t *testing.T) {
	w := newScriptedWorker(7)
	a := newScriptedAgent(t, w, 7)
	w.silent.Store(true)
	start := &chervilv2.StartOrder{Task: task1, Attempt: 1, WorkerId: workerID}
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000, Starts: []*chervilv2.StartOrder{start}}, boottime.Now())
	eventually(t, "the start stays without answer", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.unansweredStarts) == 1
	})
	w.silent.Store(false)
	w.born.Store(0)
	a.holdOnce(t.Context())
	a.holdOnce(t.Context())
	eventually(t, "the start counts as not carried out", func() bool {
		return resultOf(a.buildReport(), task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	w.born.Store(8)
	a.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, BornUnixMs: 8, Service: "desk", Sequence: 1, CPUMilli: 1000})
	a.confirmPendingHeartbeat(t.Context())
	select {
	case task := <-w.stops:
		assert.Equal(t, task, task1)
	case <-time.After(waitTimeout):
		t.Fatal("the next life would carry out the start")
	}
}

// Guards against a crash that counts against no task, and a task that crashes workers without limit.
func TestNextLifeIsNotReportedBeforeTheCrashOfTheLastOne(t *testing.T) {
	w := newScriptedWorker(7)
	a := newScriptedAgent(t, w, 7)
	order := func(task string) {
		start := &chervilv2.StartOrder{Task: task, Attempt: 1, WorkerId: workerID}
		a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000, Starts: []*chervilv2.StartOrder{start}}, boottime.Now())
	}
	order(task1)
	eventually(t, "started", func() bool {
		return resultOf(a.buildReport(), task1) == chervilv2.StartAnswer_START_ANSWER_STARTED
	})
	w.silent.Store(true)
	order(task2)
	eventually(t, "the start stays without answer", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.unansweredStarts) == 1
	})
	w.stopsUnanswered.Store(true)
	w.silent.Store(false)
	w.born.Store(8)
	a.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, BornUnixMs: 8, Service: "desk", Sequence: 1, CPUMilli: 1000})
	a.confirmPendingHeartbeat(t.Context())
	a.requestFullReport()
	r := a.buildReport()
	assert.Assert(t, !r.Full && !r.Worker.GetListed() && !r.Worker.GetGone(), "the owner would end runs whose crash it does not know: %v", r)
	w.stopsUnanswered.Store(false)
	eventually(t, "the next life is reported", func() bool {
		a.holdOnce(t.Context())
		r = a.buildReport()
		return r.Worker.GetListed()
	})
	assert.Assert(t, r.Full)
	assert.Equal(t, len(r.Crashes), 1)
	assert.Equal(t, len(r.Crashes[0].Runs), 2)
}

// Guards against ends that the next life of a worker forgets before they are stored.
func TestEndsOfAnEarlierLifeAreNotAcknowledgedToTheNextOne(t *testing.T) {
	w := newScriptedWorker(7)
	a := newScriptedAgent(t, w, 7)
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, StoredEnd: 40, WorkerId: workerID, BornUnixMs: 7}, 0)
	a.holdOnce(t.Context())
	assert.Equal(t, (<-w.renewals).AckedEndNumber, int64(40))
	w.silent.Store(true)
	a.holdOnce(t.Context())
	<-w.renewals
	a.holdOnce(t.Context())
	assert.Equal(t, (<-w.renewals).AckedEndNumber, int64(0), "another life may answer after a call without an answer")
}

// Guards against a delayed heartbeat that an answer to an earlier call, without an id, seems to confirm.
func TestAnswerToACallWithoutAnIDProvesNoID(t *testing.T) {
	w := newScriptedWorker(9)
	w.entered, w.release = make(chan struct{}), make(chan struct{})
	a := NewAgent(&platform.NodeSettings{Name: "side-1", Bounds: platform.Bounds{MaxLease: 6 * time.Second}}, w, boottime.Now)
	done := make(chan struct{})
	go func() { a.holdOnce(t.Context()); close(done) }()
	<-w.entered
	a.HandleHeartbeat(platform.Heartbeat{WorkerID: "i-earlier", BornUnixMs: 7, Service: "desk", Sequence: 9})
	close(w.release)
	<-done
	assert.Assert(t, a.buildReport().Worker == nil, "the worker that answered is not the one of the heartbeat")
	a.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, BornUnixMs: 9, Service: "desk", Sequence: 1})
	r := a.buildReport()
	assert.Equal(t, r.Worker.GetId(), workerID)
	assert.Assert(t, r.Worker.GetListed())
}

// eventually fails the test if the condition does not become true within waitTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: condition not met within %v", what, waitTimeout)
}
