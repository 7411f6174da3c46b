package workeragent

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/standin/taskworker"
	"chervilridge/platform"
)

const waitTimeout = 10 * time.Second

// harness is an agent beside a stand-in worker. The test acts as the owner.
type harness struct {
	t       *testing.T
	agent   *Agent
	worker  *taskworker.Worker
	journal *taskworker.Journal
	server  *httptest.Server
	cancel  context.CancelFunc
	reports []*chervilv2.AgentReport
}

const workerID = "i-1"

func newHarness(t *testing.T, runTime time.Duration) *harness {
	h := &harness{t: t, journal: taskworker.NewJournal()}
	h.worker = taskworker.New(taskworker.Config{ID: workerID, Service: "desk"}, func(string) time.Duration { return runTime }, h.journal)
	h.server = httptest.NewServer(h.worker.Handler())
	address := strings.TrimPrefix(h.server.URL, "http://")
	node := &platform.NodeSettings{Name: "side-1", Bounds: platform.Bounds{MaxLease: 6 * time.Second, ReactionTime: time.Minute}}
	h.agent = NewAgent(node, platform.NewWorkerClient(address), boottime.Now)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	t.Cleanup(func() {
		cancel()
		h.server.CloseClientConnections()
		h.worker.Close()
		h.server.Close()
	})
	h.agent.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, Service: "desk", Sequence: 1, CPUMilli: 32000})
	go h.agent.RenewLeases(ctx)
	return h
}

// order sends the orders to the agent with a grant of 6 s to renew leases.
func (h *harness) order(o *chervilv2.OwnerOrders) {
	o.Epoch, o.HoldMs = max(o.Epoch, 1), 6000
	h.agent.HandleOrders(context.Background(), o, boottime.Now())
}

func (h *harness) start(task string, attempt uint32) {
	h.order(&chervilv2.OwnerOrders{Starts: []*chervilv2.StartOrder{{Task: task, Attempt: attempt, WorkerId: workerID}}})
}

// waitFor requests full reports until one satisfies the condition.
func (h *harness) waitFor(what string, condition func(*chervilv2.AgentReport) bool) *chervilv2.AgentReport {
	h.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		h.agent.requestFullReport()
		r := h.agent.buildReport()
		h.reports = append(h.reports, r)
		if condition(r) {
			return r
		}
	}
	h.t.Fatalf("%s: not within %v; last report %v", what, waitTimeout, h.reports[len(h.reports)-1])
	return nil
}

// waitListed waits until the agent has listed the worker's runs, and grants it leases.
func (h *harness) waitListed() {
	h.waitFor("worker listed", func(r *chervilv2.AgentReport) bool { return r.Worker != nil && r.Worker.Listed })
	h.order(&chervilv2.OwnerOrders{})
}

// resultOf returns the start result of a task in the report; UNKNOWN if there is none.
func resultOf(r *chervilv2.AgentReport, task string) chervilv2.StartAnswer {
	for _, x := range r.Results {
		if x.Task == task {
			return x.Answer
		}
	}
	return chervilv2.StartAnswer_START_ANSWER_UNKNOWN
}

const task1 = "0000000000000001.0.0.0"

func TestStartRunsAndItsEndIsReportedUntilStored(t *testing.T) {
	h := newHarness(t, 50*time.Millisecond)
	h.waitListed()
	h.start(task1, 1)
	h.waitFor("started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_STARTED
	})
	r := h.waitFor("ended", func(r *chervilv2.AgentReport) bool { return len(r.Ends) == 1 })
	assert.Equal(t, r.Ends[0].Kind, chervilv2.EndKind_END_KIND_DONE)
	time.Sleep(300 * time.Millisecond)
	h.waitFor("still reported", func(r *chervilv2.AgentReport) bool { return len(r.Ends) == 1 })
	h.order(&chervilv2.OwnerOrders{StoredEnd: 1, WorkerId: workerID, BornUnixMs: h.agent.incarnation.bornUnixMs})
	h.waitFor("forgotten", func(r *chervilv2.AgentReport) bool { return len(r.Ends) == 0 })
}

func TestRepeatedStartIsOneRun(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.waitListed()
	h.start(task1, 1)
	h.start(task1, 1)
	h.waitFor("runs", func(r *chervilv2.AgentReport) bool { return len(r.Runs) == 1 && !r.Runs[0].Starting })
	h.start(task1, 1)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, h.worker.Running(), 1)
	assert.Equal(t, len(h.journal.Violations()), 0)
}

func TestUnansweredStartReportedNotStartedNeverRuns(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.waitListed()
	h.worker.SetFaults(taskworker.Faults{StartDelay: 3 * time.Second})
	h.start(task1, 1)
	h.waitFor("not started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	time.Sleep(4 * time.Second)
	assert.Equal(t, h.worker.Running(), 0, "the late order is rejected")
}

func TestStopOfARunThatNeverBeganIsConfirmed(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.waitListed()
	h.order(&chervilv2.OwnerOrders{Stops: []*chervilv2.StopOrder{{Task: task1, Attempt: 4}}})
	h.waitFor("not started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	h.start(task1, 4)
	h.waitFor("rejected", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	// The worker rejects the run too, so it stays fenced off if the agent has lost its
	// state.
	h.agent.mu.Lock()
	clear(h.agent.rejectedRuns)
	h.agent.mu.Unlock()
	h.start(task1, 4)
	h.waitFor("fenced off", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_OLD
	})
}

func TestLeasesRunOutWithoutAnOwner(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.waitListed()
	h.start(task1, 1)
	h.waitFor("runs", func(r *chervilv2.AgentReport) bool { return len(r.Runs) == 1 && !r.Runs[0].Starting })
	r := h.waitFor("lapsed", func(r *chervilv2.AgentReport) bool { return len(r.Ends) == 1 })
	assert.Equal(t, r.Ends[0].Kind, chervilv2.EndKind_END_KIND_LAPSED)
}

func TestOlderOwnerIsIgnored(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.waitListed()
	h.order(&chervilv2.OwnerOrders{Epoch: 5})
	ok := h.agent.HandleOrders(context.Background(), &chervilv2.OwnerOrders{
		Epoch: 4, Starts: []*chervilv2.StartOrder{{Task: task1, Attempt: 1, WorkerId: workerID}},
	}, boottime.Now())
	assert.Assert(t, !ok)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, h.worker.Running(), 0)
}

func TestDrainingWorkerGetsNoStart(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.waitListed()
	h.agent.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, Service: "desk", Sequence: 2, Draining: true})
	h.start(task1, 1)
	h.waitFor("not started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	assert.Equal(t, h.worker.Running(), 0)
}

func TestCrashedWorkerIsReportedGone(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.waitListed()
	h.start(task1, 1)
	h.waitFor("runs", func(r *chervilv2.AgentReport) bool { return len(r.Runs) == 1 })
	h.server.CloseClientConnections()
	_ = h.server.Listener.Close()
	h.worker.Close()
	h.server.CloseClientConnections()
	h.waitFor("gone", func(r *chervilv2.AgentReport) bool { return r.Worker.Gone })
}

// A restarted agent whose worker does not come back must release the runs that the owner
// still counts there.
func TestRestartedAgentReportsThatNoWorkerListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	h := &harness{t: t, agent: NewAgent(&platform.NodeSettings{Name: "side-1"}, platform.NewWorkerClient(address), boottime.Now)}
	assert.Assert(t, h.agent.buildReport().Worker == nil, "nothing is known yet")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h.agent.RenewLeases(ctx)
	h.waitFor("gone", func(r *chervilv2.AgentReport) bool { return r.Worker.GetGone() })
	h.agent.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, Service: "desk", Sequence: 1})
	assert.Equal(t, h.agent.incarnation.id, workerID)
	r := h.agent.buildReport()
	assert.Assert(t, !r.Worker.GetGone())
	assert.Assert(t, r.Worker == nil, "it has not answered a call yet")
}

func TestHeartbeatOfAnEarlierIncarnationIsRejected(t *testing.T) {
	h := newAddressHarness(t, "i-2", time.Minute)
	h.register("i-2")
	born := h.born("i-2")
	h.beat("i-0", 100, 9)
	h.neverReported(born)
	r := h.agent.buildReport()
	assert.Equal(t, r.Worker.Id, "i-2")
	assert.Assert(t, r.Worker.Listed)
}

// Guards against a task that is executed twice: a run ended just before its worker was
// gone, and the agent dropped the end together with the worker's state.
func TestEndsOfAWorkerThatIsGoneAreStillReported(t *testing.T) {
	h := newAddressHarness(t, workerID, 50*time.Millisecond)
	h.register(workerID)
	h.start(task1, 1)
	h.waitFor("ended", func(r *chervilv2.AgentReport) bool { return len(r.Ends) == 1 })
	born := h.born(workerID)
	h.replaceWorker("i-2")
	r := h.waitFor("gone", func(r *chervilv2.AgentReport) bool { return r.Worker.Gone })
	assert.Equal(t, len(r.Ends), 1)
	h.beat("i-2", h.born("i-2"), 1)
	time.Sleep(300 * time.Millisecond)
	r = h.agent.buildReport()
	assert.Equal(t, r.Worker.Id, workerID, "the new incarnation waits until the ends are stored")
	assert.Equal(t, len(r.Ends), 1)
	h.order(&chervilv2.OwnerOrders{StoredEnd: 1, WorkerId: workerID, BornUnixMs: born})
	h.waitFor("new incarnation", func(r *chervilv2.AgentReport) bool { return r.Worker.Id == "i-2" })
}

func TestFinalReadCollectsTheEndsOfALeavingWorker(t *testing.T) {
	h := newHarness(t, 50*time.Millisecond)
	h.waitListed()
	h.cancel() // stops the regular hold calls
	h.start(task1, 1)
	time.Sleep(200 * time.Millisecond)
	h.agent.ReadFinalRuns(context.Background(), workerID)
	r := h.agent.buildReport()
	assert.Equal(t, len(r.Ends), 1)
}

// Guards against a task that is executed twice: the agent reported a start as not tried
// while the owner's repetition of the order was in flight, and the run started after the
// owner had granted another attempt.
func TestRunReportedNotStartedNeverStarts(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.waitListed()
	h.agent.mu.Lock()
	h.agent.renewUntil = 0
	h.agent.mu.Unlock()
	start := &chervilv2.StartOrder{Task: task1, Attempt: 1, WorkerId: workerID}
	h.agent.HandleOrders(context.Background(), &chervilv2.OwnerOrders{Epoch: 1, Starts: []*chervilv2.StartOrder{start}}, 0)
	h.waitFor("not started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	h.start(task1, 1)
	h.waitFor("still not started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, h.worker.Running(), 0)
	h.start(task1, 2)
	h.waitFor("the next attempt runs", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_STARTED
	})
}
