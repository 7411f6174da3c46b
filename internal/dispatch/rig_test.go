package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/schedulestore"
	"chervilridge/platform"
)

// testTimeout bounds every wait of these tests.
const testTimeout = 10 * time.Second

// testStore is an in-memory store whose appends can be blocked.
type testStore struct {
	mu      sync.Mutex
	records map[string][]byte
	blocked chan struct{} // appends wait until it is closed; nil lets them pass
	fenced  bool
	epoch   uint64 // the highest seen; appends of lower ones are rejected
	appends int
	// failure is the answer to appends with records that does not store them; empty stores
	// them.
	failure platform.ErrorKind
	// failed is the number of appends that failure has answered.
	failed int
	// maxRecordBytes is the size from which on records are rejected as invalid; 0 is no limit.
	maxRecordBytes int
}

func newTestStore() *testStore { return &testStore{records: map[string][]byte{}} }

func (s *testStore) Append(ctx context.Context, a platform.AppendRequest) (int64, error) {
	s.mu.Lock()
	blocked := s.blocked
	s.mu.Unlock()
	if blocked != nil && len(a.Records) > 0 {
		select {
		case <-blocked:
		case <-ctx.Done():
			return 0, &platform.Error{Kind: platform.NoAnswer, Cause: ctx.Err()}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced || a.Producer.Epoch < s.epoch {
		return 0, &platform.Error{Kind: platform.Fenced}
	}
	s.epoch = a.Producer.Epoch
	if s.failure != "" && len(a.Records) > 0 {
		s.failed++
		return 0, &platform.Error{Kind: s.failure}
	}
	for _, r := range a.Records {
		if s.maxRecordBytes > 0 && platform.RecordSize(r) > s.maxRecordBytes {
			return 0, &platform.Error{Kind: platform.Invalid}
		}
	}
	s.appends++
	for _, r := range a.Records {
		if r.Value == nil {
			delete(s.records, r.Key)
			continue
		}
		s.records[r.Key] = r.Value
	}
	return int64(s.appends), nil
}

func (s *testStore) Newest(context.Context, string, string) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var page platform.Page
	for k, v := range s.records {
		page.Records = append(page.Records, platform.Record{Key: k, Value: v})
	}
	return page, nil
}

// fail makes appends with records fail, or succeed again if the kind is empty.
func (s *testStore) fail(kind platform.ErrorKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = kind
}

// failedAppends returns the number of appends that have failed by fail.
func (s *testStore) failedAppends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// holds reports whether the store holds a record.
func (s *testStore) holds(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.records[key]
	return ok
}

// block makes appends wait until the returned function is called.
func (s *testStore) block() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	blocked := make(chan struct{})
	s.blocked = blocked
	return func() {
		s.mu.Lock()
		s.blocked = nil
		s.mu.Unlock()
		close(blocked)
	}
}

// testClock is a manual clock.
type testClock struct {
	mu  sync.Mutex
	now boottime.Instant
}

func (c *testClock) read() boottime.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *testClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// rig is an engine with a test store and a manual clock.
type rig struct {
	t      *testing.T
	store  *testStore
	clock  *testClock
	engine *Engine
	view   *operatorconfig.View
	// advisor is the placement policy; nil if there is none.
	advisor  Advisor
	machines *testMachines
	// maxLease is the longest lease; 0 is 6 s.
	maxLease time.Duration

	entriesMu sync.Mutex
	entries   []string // that agents are sent
}

func (r *rig) liveEntries() []string {
	r.entriesMu.Lock()
	defer r.entriesMu.Unlock()
	return r.entries
}

func (r *rig) setEntries(entries ...string) {
	r.entriesMu.Lock()
	defer r.entriesMu.Unlock()
	r.entries = entries
}

const (
	testService = "desk"
	testQueue   = "quotes"
)

func newRig(t *testing.T) *rig { return newRigWith(t, operatorconfig.Queue{}, nil) }

// newRigWith is newRig with the given queue and its placement policy.
func newRigWith(t *testing.T, queue operatorconfig.Queue, advisor Advisor) *rig {
	r := &rig{t: t, advisor: advisor, store: newTestStore(), clock: &testClock{now: boottime.Instant(time.Hour)}}
	r.view = testView(queue)
	r.start(1)
	return r
}

func testView(queue operatorconfig.Queue) *operatorconfig.View {
	queue.Name, queue.Service, queue.MaxAttempts, queue.Stretch, queue.TargetLatency = testQueue, testService, 2, 2, time.Second
	return &operatorconfig.View{
		Evacuated: map[string]bool{},
		Config: operatorconfig.NewConfig(1,
			[]operatorconfig.Queue{queue},
			map[string]operatorconfig.Service{testService: {Name: testService}}, operatorconfig.Limits{}),
	}
}

// start loads the stored state and runs an engine for the epoch.
func (r *rig) start(epoch uint64) {
	writer := schedulestore.NewWriter(r.store, epoch, r.clock.read)
	assert.NilError(r.t, writer.Fence(context.Background()))
	restored, err := schedulestore.Load(context.Background(), r.store)
	assert.NilError(r.t, err)
	settings := Settings{Node: "entry", Bounds: platform.Bounds{MaxLease: cmp.Or(r.maxLease, 6*time.Second), StatusRetention: 2 * time.Minute}, Advisor: r.advisor}
	if r.machines != nil {
		settings.Machines = r.machines
	}
	r.engine = New(settings, writer, restored, func() *operatorconfig.View { return r.view }, r.clock.read)
	ctx, cancel := context.WithCancel(context.Background())
	go r.engine.Run(ctx)
	r.t.Cleanup(func() {
		cancel()
		<-r.engine.Done()
	})
}

// spec returns a job of one step with the given number of equal tasks.
func spec(id string, tasks uint32) *chervilv2.JobSpec {
	return &chervilv2.JobSpec{Id: id, Queue: testQueue, Steps: []*chervilv2.Step{{Tasks: tasks, CpuMilli: 1000, MemoryMb: 100}}}
}

func (r *rig) submit(spec *chervilv2.JobSpec) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	reply := r.engine.Submit(ctx, spec)
	assert.Equal(r.t, reply.Outcome, chervilv2.Outcome_OUTCOME_OK)
}

// testAgent is an agent with one worker; it records all orders it receives.
type testAgent struct {
	t      *testing.T
	node   string
	worker *chervilv2.Worker
	// incarnation is that of the agent, not of its worker.
	incarnation string
	reports     chan *chervilv2.AgentReport
	mu          sync.Mutex
	starts      []*chervilv2.StartOrder
	// startBirths are the births of the incarnations that the starts are for.
	startBirths []int64
	stops       []*chervilv2.StopOrder
	described   []*chervilv2.RunInfo
	// answeredStops is the number of stops that answerStops has answered.
	answeredStops int
	ackedEnd      int64
	leases        int
	// answered is the newest report that was answered, workerEndStored whether the end of the worker was confirmed.
	answered        uint64
	workerEndStored bool
	// entryLists are the lists of live entries received.
	entryLists [][]string
	sequence   uint64
	closed     chan struct{}
	// ended is the number of start orders whose runs endRandomly has ended.
	ended int
}

func (a *testAgent) Send(o *chervilv2.OwnerOrders) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts = append(a.starts, o.Starts...)
	for range o.Starts {
		a.startBirths = append(a.startBirths, o.BornUnixMs)
	}
	a.stops = append(a.stops, o.Stops...)
	a.described = append(a.described, o.Runs...)
	a.ackedEnd = max(a.ackedEnd, o.StoredEnd)
	a.answered, a.workerEndStored = max(a.answered, o.Report), a.workerEndStored || o.WorkerEndStored
	if len(o.Entries) > 0 {
		a.entryLists = append(a.entryLists, o.Entries)
	}
	if o.HoldMs > 0 {
		a.leases++
	}
	return nil
}

func (a *testAgent) Recv() (*chervilv2.AgentReport, error) {
	select {
	case r := <-a.reports:
		return r, nil
	case <-a.closed:
		return nil, io.EOF
	}
}

// attach connects an agent whose worker has the given CPU.
func (r *rig) attach(node string, cpuMilli uint32) *testAgent {
	return r.attachWith(node, &chervilv2.Worker{
		Id: "worker-" + node, BornUnixMs: 1, Service: testService, Zone: "pnw-a", CpuMilli: cpuMilli, MemoryMb: 64000, Listed: true,
	})
}

// attachMany connects agents side-0, side-1 and so on, whose workers have the given CPU.
func (r *rig) attachMany(agents int, cpuMilli uint32) []*testAgent {
	out := make([]*testAgent, agents)
	for i := range out {
		out[i] = r.attach(fmt.Sprintf("side-%d", i), cpuMilli)
	}
	return out
}

// attachWith connects an agent that reports the worker; nil if it knows none.
func (r *rig) attachWith(node string, worker *chervilv2.Worker) *testAgent {
	return r.attachIncarnation(node, "1", worker)
}

// attachIncarnation is attachWith for an incarnation of the agent.
func (r *rig) attachIncarnation(node, incarnation string, worker *chervilv2.Worker) *testAgent {
	a := &testAgent{t: r.t, node: node, incarnation: incarnation, reports: make(chan *chervilv2.AgentReport), closed: make(chan struct{}), worker: worker}
	engine := r.engine
	go func() { _ = engine.Attach(a, r.liveEntries) }()
	r.t.Cleanup(func() { a.detach() })
	a.report(&chervilv2.AgentReport{Full: true})
	return a
}

// disconnect closes the agent's connection and waits until the engine has handled all its
// reports.
func (r *rig) disconnect(a *testAgent) {
	r.t.Helper()
	a.detach()
	eventually(r.t, "agent detached", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.nodes[a.node].session == nil
	})
}

// grantLease sends reports of the agent until one is granted a lease at the present time.
func (r *rig) grantLease(a *testAgent) {
	r.t.Helper()
	eventually(r.t, "lease granted", func() bool {
		a.report(&chervilv2.AgentReport{Full: true})
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.nodes[a.node].leaseUntil == r.clock.read().Add(r.engine.settings.Bounds.MaxLease)
	})
}

func (a *testAgent) detach() {
	select {
	case <-a.closed:
	default:
		close(a.closed)
	}
}

func (a *testAgent) report(r *chervilv2.AgentReport) {
	a.sequence++
	r.Node, r.Incarnation, r.Worker, r.Sequence = a.node, a.incarnation, a.worker, a.sequence
	a.reports <- r
}

func (a *testAgent) end(number int64, start *chervilv2.StartOrder, kind chervilv2.EndKind) {
	a.report(&chervilv2.AgentReport{Ends: []*chervilv2.RunEnd{{Number: number, Task: start.Task, Attempt: start.Attempt, Kind: kind}}})
}

func (a *testAgent) started() []*chervilv2.StartOrder {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*chervilv2.StartOrder(nil), a.starts...)
}

func (a *testAgent) stopped() []*chervilv2.StopOrder {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*chervilv2.StopOrder(nil), a.stops...)
}

// answerStops returns the results of the stops received since the last call, for runs that the worker
// does not have.
func (a *testAgent) answerStops() (results []*chervilv2.StartResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.stops[a.answeredStops:] {
		results = append(results, &chervilv2.StartResult{Task: s.Task, Attempt: s.Attempt, Answer: chervilv2.StartAnswer_START_ANSWER_NOT_STARTED})
	}
	a.answeredStops = len(a.stops)
	return results
}

// describes reports whether a message has described the run of the start.
func (a *testAgent) describes(start *chervilv2.StartOrder) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.described, func(r *chervilv2.RunInfo) bool {
		return r.Task == start.Task && r.Attempt == start.Attempt && r.CpuMilli == start.CpuMilli && r.MemoryMb == start.MemoryMb
	})
}

func (a *testAgent) storedEnd() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ackedEnd
}

// eventually fails the test if the condition does not become true within testTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: condition not met within %v", what, testTimeout)
}

// settle waits until the engine has planned and stored all that it has been told.
func (r *rig) settle() {
	r.t.Helper()
	e := r.engine
	e.mu.Lock()
	e.replan()
	e.mu.Unlock()
	eventually(r.t, "engine idle", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !e.planDue && e.batch.empty() && e.appendStart == 0
	})
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

const (
	// maxIdleInCalm is how long a long-running task may be without a run while a worker has room for it and
	// all machines are in touch (rule LOST).
	maxIdleInCalm = 7 * time.Second
	reportPause   = 400 * time.Millisecond
)

// lasting returns a job of one step with the given number of long-running tasks.
func lasting(id string, tasks, cpuMilli uint32) *chervilv2.JobSpec {
	return &chervilv2.JobSpec{Id: id, Queue: testQueue, Steps: []*chervilv2.Step{{
		Tasks: tasks, CpuMilli: cpuMilli, MemoryMb: 100, LongRunning: true, TargetLatencyMs: 50, MayMiss: 1,
	}}}
}

// startsOf returns the starts of tasks of the job that the agent has received.
func (a *testAgent) startsOf(job string) []*chervilv2.StartOrder {
	return slices.DeleteFunc(a.started(), func(s *chervilv2.StartOrder) bool { return !strings.HasPrefix(s.Task, job+".") })
}

// listing returns a full report of the runs.
func listing(starts ...*chervilv2.StartOrder) *chervilv2.AgentReport {
	r := &chervilv2.AgentReport{Full: true}
	for _, s := range starts {
		r.Runs = append(r.Runs, &chervilv2.Run{Task: s.Task, Attempt: s.Attempt, Percent: servingPercent})
	}
	return r
}

// awaitIn lets the time pass in steps in which the agents report, until the condition holds or the time is over.
func (r *rig) awaitIn(limit time.Duration, report func(), holds func() bool) bool {
	r.t.Helper()
	for waited := time.Duration(0); ; waited += reportPause {
		report()
		r.engine.tick()
		r.settle()
		if holds() {
			return true
		}
		if waited+reportPause > limit {
			return false
		}
		r.clock.advance(reportPause)
	}
}
