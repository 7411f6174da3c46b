package sidecar

import (
	"context"
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

const patience = 10 * time.Second

// bench is an agent beside a stand-in worker, without an owner.
type bench struct {
	t       *testing.T
	agent   *Agent
	worker  *taskworker.Worker
	journal *taskworker.Journal
	server  *httptest.Server
	cancel  context.CancelFunc
	reports []*chervilv2.AgentReport
}

const workerID = "i-1"

func newBench(t *testing.T, runTime time.Duration) *bench {
	b := &bench{t: t, journal: taskworker.NewJournal()}
	b.worker = taskworker.New(taskworker.Shape{ID: workerID, Service: "desk"}, func(string) time.Duration { return runTime }, b.journal)
	b.server = httptest.NewServer(b.worker.Handler())
	address := strings.TrimPrefix(b.server.URL, "http://")
	node := &platform.NodeSettings{Name: "side-1", Bounds: platform.Bounds{MaxLease: 6 * time.Second}}
	b.agent = NewAgent(node, platform.NewWorkerClient(address), boottime.Now)
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	t.Cleanup(func() {
		cancel()
		b.server.CloseClientConnections()
		b.worker.Close()
		b.server.Close()
	})
	b.agent.Heartbeat(platform.Heartbeat{WorkerID: workerID, Service: "desk", Sequence: 1, CPUMilli: 32000})
	go b.agent.Hold(ctx)
	return b
}

// order hands orders over as an owner that grants leases does.
func (b *bench) order(o *chervilv2.OwnerOrders) {
	o.Epoch, o.HoldMs = max(o.Epoch, 1), 6000
	b.agent.Orders(context.Background(), o, boottime.Now())
}

func (b *bench) start(task string, attempt uint32) {
	b.order(&chervilv2.OwnerOrders{Starts: []*chervilv2.StartOrder{{Task: task, Attempt: attempt, WorkerId: workerID}}})
}

// wait reads reports until one satisfies the condition.
func (b *bench) wait(what string, holds func(*chervilv2.AgentReport) bool) *chervilv2.AgentReport {
	b.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		b.agent.relist()
		r := b.agent.report()
		b.reports = append(b.reports, r)
		if holds(r) {
			return r
		}
	}
	b.t.Fatalf("%s: not within %v; last report %v", what, patience, b.reports[len(b.reports)-1])
	return nil
}

func (b *bench) listed() {
	b.wait("worker listed", func(r *chervilv2.AgentReport) bool { return r.Worker != nil && r.Worker.Listed })
	b.order(&chervilv2.OwnerOrders{})
}

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
	b := newBench(t, 50*time.Millisecond)
	b.listed()
	b.start(task1, 1)
	b.wait("started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_STARTED
	})
	r := b.wait("ended", func(r *chervilv2.AgentReport) bool { return len(r.Ends) == 1 })
	assert.Equal(t, r.Ends[0].Kind, chervilv2.EndKind_END_KIND_DONE)
	time.Sleep(300 * time.Millisecond)
	b.wait("still reported", func(r *chervilv2.AgentReport) bool { return len(r.Ends) == 1 })
	b.order(&chervilv2.OwnerOrders{StoredEnd: 1, WorkerId: workerID, BornUnixMs: b.agent.life.born})
	b.wait("forgotten", func(r *chervilv2.AgentReport) bool { return len(r.Ends) == 0 })
}

func TestRepeatedStartIsOneRun(t *testing.T) {
	b := newBench(t, time.Minute)
	b.listed()
	b.start(task1, 1)
	b.start(task1, 1)
	b.wait("runs", func(r *chervilv2.AgentReport) bool { return len(r.Runs) == 1 && !r.Runs[0].Starting })
	b.start(task1, 1)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, b.worker.Running(), 1)
	assert.Equal(t, len(b.journal.Problems()), 0)
}

func TestUnansweredStartNeverRunsOnceItIsReportedSo(t *testing.T) {
	b := newBench(t, time.Minute)
	b.listed()
	b.worker.Set(taskworker.Faults{LateStarts: 3 * time.Second})
	b.start(task1, 1)
	b.wait("not started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	time.Sleep(4 * time.Second)
	assert.Equal(t, b.worker.Running(), 0, "the late order is rejected")
}

func TestStopOfARunThatNeverBeganIsSettled(t *testing.T) {
	b := newBench(t, time.Minute)
	b.listed()
	b.order(&chervilv2.OwnerOrders{Stops: []*chervilv2.StopOrder{{Task: task1, Attempt: 4}}})
	b.wait("settled", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	b.start(task1, 4)
	b.wait("refused", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	// The worker refuses it too, also to an agent that has forgotten.
	b.agent.mu.Lock()
	clear(b.agent.refused)
	b.agent.mu.Unlock()
	b.start(task1, 4)
	b.wait("fenced off", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_OLD
	})
}

func TestLeasesRunOutWithoutAnOwner(t *testing.T) {
	b := newBench(t, time.Minute)
	b.listed()
	b.start(task1, 1)
	b.wait("runs", func(r *chervilv2.AgentReport) bool { return len(r.Runs) == 1 && !r.Runs[0].Starting })
	r := b.wait("lapsed", func(r *chervilv2.AgentReport) bool { return len(r.Ends) == 1 })
	assert.Equal(t, r.Ends[0].Kind, chervilv2.EndKind_END_KIND_LAPSED)
}

func TestOlderOwnerIsIgnored(t *testing.T) {
	b := newBench(t, time.Minute)
	b.listed()
	b.order(&chervilv2.OwnerOrders{Epoch: 5})
	ok := b.agent.Orders(context.Background(), &chervilv2.OwnerOrders{
		Epoch: 4, Starts: []*chervilv2.StartOrder{{Task: task1, Attempt: 1, WorkerId: workerID}},
	}, boottime.Now())
	assert.Assert(t, !ok)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, b.worker.Running(), 0)
}

func TestDrainingWorkerGetsNoStart(t *testing.T) {
	b := newBench(t, time.Minute)
	b.listed()
	b.agent.Heartbeat(platform.Heartbeat{WorkerID: workerID, Service: "desk", Sequence: 2, Draining: true})
	b.start(task1, 1)
	b.wait("not started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	assert.Equal(t, b.worker.Running(), 0)
}

func TestCrashedWorkerIsReportedGone(t *testing.T) {
	b := newBench(t, time.Minute)
	b.listed()
	b.start(task1, 1)
	b.wait("runs", func(r *chervilv2.AgentReport) bool { return len(r.Runs) == 1 })
	b.server.CloseClientConnections()
	_ = b.server.Listener.Close()
	b.worker.Close()
	b.server.CloseClientConnections()
	b.wait("gone", func(r *chervilv2.AgentReport) bool { return r.Worker.Gone })
}

func TestHeartbeatOfAnEarlierLifeIsRejected(t *testing.T) {
	b := newBench(t, time.Minute)
	b.agent.Heartbeat(platform.Heartbeat{WorkerID: "i-2", BornUnixMs: 1 << 50, Service: "desk", Sequence: 1})
	b.agent.Heartbeat(platform.Heartbeat{WorkerID: "i-0", BornUnixMs: 100, Service: "desk", Sequence: 9})
	r := b.agent.report()
	assert.Equal(t, r.Worker.Id, "i-2")
}

// A play broke TWICE: a run was done just before its worker left, and the agent dropped
// that end with the worker.
func TestEndsOfAWorkerThatIsGoneAreStillReported(t *testing.T) {
	b := newBench(t, 50*time.Millisecond)
	b.listed()
	b.start(task1, 1)
	b.wait("ended", func(r *chervilv2.AgentReport) bool { return len(r.Ends) == 1 })
	_ = b.server.Listener.Close()
	b.worker.Close()
	b.server.CloseClientConnections()
	r := b.wait("gone", func(r *chervilv2.AgentReport) bool { return r.Worker.Gone })
	assert.Equal(t, len(r.Ends), 1)
	born := b.agent.life.born
	b.agent.Heartbeat(platform.Heartbeat{WorkerID: "i-2", BornUnixMs: born + 5000, Service: "desk", Sequence: 1})
	r = b.agent.report()
	assert.Equal(t, r.Worker.Id, workerID, "a new life waits until the ends are stored")
	b.order(&chervilv2.OwnerOrders{StoredEnd: 1, WorkerId: workerID, BornUnixMs: born})
	b.wait("new life", func(r *chervilv2.AgentReport) bool { return r.Worker.Id == "i-2" })
}

func TestLastLookReadsTheEndsOfAWorkerThatLeaves(t *testing.T) {
	b := newBench(t, 50*time.Millisecond)
	b.listed()
	b.cancel() // the regular calls have stopped
	b.start(task1, 1)
	time.Sleep(200 * time.Millisecond)
	b.agent.LastLook(context.Background(), workerID)
	r := b.agent.report()
	assert.Equal(t, len(r.Ends), 1)
}

// A grown day broke TWICE: a start was said not to have been tried, the owner's repeat of
// it was on its way, and the run began after the owner had granted another.
func TestRunSaidNotToHaveStartedNeverStarts(t *testing.T) {
	b := newBench(t, time.Minute)
	b.listed()
	b.agent.mu.Lock()
	b.agent.authority = 0
	b.agent.mu.Unlock()
	start := &chervilv2.StartOrder{Task: task1, Attempt: 1, WorkerId: workerID}
	b.agent.Orders(context.Background(), &chervilv2.OwnerOrders{Epoch: 1, Starts: []*chervilv2.StartOrder{start}}, 0)
	b.wait("not started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	b.start(task1, 1)
	b.wait("still not", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, b.worker.Running(), 0)
	b.start(task1, 2)
	b.wait("the next attempt runs", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_STARTED
	})
}
