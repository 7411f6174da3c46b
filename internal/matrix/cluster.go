package matrix

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/agent/grants"
	"chervilridge/internal/ledger"
	"chervilridge/internal/peer"
	"chervilridge/internal/platform"
	"chervilridge/internal/scheduler/owner"
	"chervilridge/internal/scheduler/ownership"
	"chervilridge/internal/shard"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/standin/worker"
	"chervilridge/internal/table"
)

// Times of the small system; the proportions are those of the real one.
const (
	lease           = 300 * time.Millisecond
	grant           = 800 * time.Millisecond
	beatEvery       = 40 * time.Millisecond
	callDelay       = 50 * time.Millisecond
	startAllowance  = 120 * time.Millisecond
	tableFreshness  = 250 * time.Millisecond
	confirmAfter    = 200 * time.Millisecond
	checkpointEvery = 30 * time.Millisecond
	poll            = 40 * time.Millisecond
	evictPause      = 100 * time.Millisecond
	// outGrace is how long after its acceptance a start may still happen in a
	// data centre that was taken out.
	outGrace         = tableFreshness + startAllowance + callDelay
	appendsPerSecond = 200

	// retention is how long the log keeps a record on its own clock, which jumps.
	retention = time.Hour

	workerCPU    = 4000
	workerMemory = 4096
	drained      = "dc-b"
)

// cluster is three agents with their workers over one log, in this process.
type cluster struct {
	ctx      context.Context
	jumped   atomic.Int64 // nanoseconds that the log's clock is ahead
	store    *logstore.Store
	recorder *worker.Recorder
	workers  map[string]*worker.Worker
	pool     *peer.Pool

	state    *ledger.Follower[*shard.State] // the observer's own view
	rows     *ledger.Follower[*table.Table]
	operator *ledger.Committer
	opGate   *gate

	slow    atomic.Bool
	gap     atomic.Bool // whether a node missed what the log has forgotten
	stepped atomic.Bool

	mu     sync.Mutex
	nodes  map[string]*node
	epochs map[uint64]*gate // who acted as owner under an epoch
	armed  Step
	fault  func(step Step, node string) directive
	met    chan struct{}
}

// node is one life of an agent's process.
type node struct {
	cluster *cluster
	name    string
	gate    *gate
	stop    context.CancelFunc
	server  *grpc.Server
	pool    *peer.Pool
	address string
	lease   *ownership.Lease
	grants  *grants.Grants
	state   *ledger.Follower[*shard.State]
}

var names = []string{"n1", "n2", "n3"}

var dataCentres = map[string]string{"n1": "dc-a", "n2": "dc-a", "n3": drained}

func newCluster(ctx context.Context) (*cluster, error) {
	c := &cluster{
		ctx: ctx, recorder: worker.NewRecorder(), pool: peer.NewPool(),
		workers: map[string]*worker.Worker{}, nodes: map[string]*node{}, epochs: map[uint64]*gate{},
		opGate: &gate{}, met: make(chan struct{}),
	}
	c.store = logstore.New(logstore.Options{RetainFor: retention, Now: c.logNow})
	c.recorder.FollowsLedger()
	c.observe()
	for _, name := range names {
		c.workers[name] = worker.New(worker.Options{Recorder: c.recorder, Info: platform.WorkerInfo{
			Name: name, DataCentre: dataCentres[name], Rack: "r-" + name,
			Capacity: &pb.Resources{CpuMilli: workerCPU, MemoryMb: workerMemory},
		}})
	}
	if err := c.addRow(ctx); err != nil {
		return nil, err
	}
	for _, name := range names {
		if err := c.startNode(name); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// observe follows the ledger from outside and tells the recorder what counts.
func (c *cluster) observe() {
	c.state = ledger.NewFollower[*shard.State](c.store, shard.Stream(0), poll, shard.New)
	c.state.OnApply(c.noteRecord)
	c.rows = ledger.NewFollower[*table.Table](c.store, table.Stream, poll, table.New)
	c.rows.OnApply(c.noteRow)
	port := &logPort{cluster: c, gate: c.opGate, node: "operator"}
	c.operator = ledger.NewCommitter(port, c.rows, "operator", appendsPerSecond)
	go c.state.Run(c.ctx)
	go c.rows.Run(c.ctx)
	go c.operator.Run(c.ctx)
}

func (c *cluster) noteRecord(rec *pb.Record, v ledger.Verdict) {
	if v.Rejection != nil {
		return
	}
	switch body := rec.Body.(type) {
	case *pb.Record_ShardClaim:
		c.noteOwner(body.ShardClaim)
	case *pb.Record_TaskFinished:
		f := body.TaskFinished
		c.recorder.NoteResult(f.JobId, f.Index, f.Result)
	case *pb.Record_TaskReleased:
		r := body.TaskReleased
		c.recorder.NoteCheckpoint(r.JobId, r.Index, r.Checkpoint)
	}
}

func (c *cluster) noteOwner(claim *pb.ShardClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n.address == claim.Address {
			c.epochs[claim.Epoch] = n.gate
		}
	}
}

func (c *cluster) noteRow(rec *pb.Record, v ledger.Verdict) {
	change := rec.GetDataCentreChange()
	if v.Rejection == nil && change != nil {
		c.recorder.ForbidStartsFrom(change.Name, change.Out, time.Now().Add(outGrace))
	}
}

func (c *cluster) addRow(ctx context.Context) error {
	_, err := c.operator.Commit(ctx, &pb.Record{Body: &pb.Record_RowPut{RowPut: &pb.RowPut{
		Row: &pb.Row{Kind: pb.RowKind_ROW_KIND_DATA_CENTRE, Name: drained, Region: "r", Weight: 1},
	}}})
	return err
}

// startNode starts a new life of an agent beside its worker.
func (c *cluster) startNode(name string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(c.ctx)
	n := &node{cluster: c, name: name, gate: &gate{}, stop: stop, pool: peer.NewPool(), address: listener.Addr().String()}
	n.server = grpc.NewServer(grpc.UnaryInterceptor(n.intercept))
	incarnation := fmt.Sprintf("%s-%s", name, n.address)
	n.runOwner(ctx, incarnation)
	n.runAgent(ctx, incarnation)
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	go func() { _ = n.server.Serve(listener) }()
	return nil
}

func (n *node) runOwner(ctx context.Context, incarnation string) {
	port := &logPort{cluster: n.cluster, gate: n.gate, node: n.name}
	rows := ledger.NewFollower[*table.Table](port, table.Stream, poll, table.New)
	n.state = ledger.NewFollower[*shard.State](port, shard.Stream(0), poll, shard.New)
	committer := ledger.NewCommitter(port, n.state, incarnation, appendsPerSecond)
	n.lease = ownership.New(ownership.Options{Owner: incarnation, Address: n.address, Lease: lease}, n.state, committer)
	scheduler := owner.New(owner.Options{
		Grant: grant, WorkerSilence: 4 * beatEvery, Lease: lease, StartAllowance: startAllowance,
		TableFreshness: tableFreshness, ConfirmAfter: confirmAfter, EvictPause: evictPause,
	}, n.lease, n.state, rows, committer, n.pool)
	pb.RegisterShardOwnerServiceServer(n.server, scheduler)
	for _, run := range []func(context.Context){rows.Run, n.state.Run, committer.Run, n.lease.Run, scheduler.Run} {
		go run(ctx)
	}
}

func (n *node) runAgent(ctx context.Context, incarnation string) {
	port := &workerPort{Worker: n.cluster.workers[n.name], cluster: n.cluster, gate: n.gate, node: n.name}
	n.grants = grants.New(grants.Options{
		Incarnation: incarnation, Began: time.Now(), CallDelay: callDelay, CheckpointEvery: checkpointEvery,
	}, port)
	pb.RegisterTaskRunnerServer(n.server, n.grants)
	go grants.NewBeater(n.grants, n, idleService{}, n.pool, n.address, beatEvery).Run(ctx)
}

// Owner implements grants.Owners from the node's own view of the ledger.
func (n *node) Owner(uint32) *pb.ShardOwner {
	var out *pb.ShardOwner
	n.state.View(func(s *shard.State) {
		if _, address := s.Owner(); address != "" {
			out = &pb.ShardOwner{Epoch: s.Epoch(), Address: address}
		}
	})
	return out
}

// kill ends a process at once: nothing it has under way takes effect any more.
func (n *node) kill() {
	n.gate.die()
	n.gate.resume()
	n.stop()
	n.server.Stop()
	n.pool.Close()
}

func (c *cluster) node(name string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

func (c *cluster) all() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*node
	for _, name := range names {
		if n := c.nodes[name]; n != nil {
			out = append(out, n)
		}
	}
	return out
}

// owner returns the node of the newest claim, or nil.
func (c *cluster) owner() *node {
	address := ""
	c.state.View(func(s *shard.State) { _, address = s.Owner() })
	for _, n := range c.all() {
		if n.address == address {
			return n
		}
	}
	return nil
}

// sender returns the gate of the process that sent a message, if it is known.
func (c *cluster) sender(req any) *gate {
	switch m := req.(type) {
	case *pb.BeatRequest:
		if n := c.node(m.Worker.GetWorker()); n != nil {
			return n.gate
		}
	case interface{ GetEpoch() uint64 }:
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.epochs[m.GetEpoch()]
	}
	return nil
}

// arm makes the next call at the step meet the fault, once.
func (c *cluster) arm(step Step, fault func(Step, string) directive) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed, c.fault = step, fault
}

// meet runs the armed fault if the step is the armed one.
func (c *cluster) meet(step Step, node string) (directive, bool) {
	c.mu.Lock()
	if step == "" || step != c.armed {
		c.mu.Unlock()
		return directive{}, false
	}
	fault := c.fault
	c.armed = ""
	c.mu.Unlock()
	d := fault(step, node)
	close(c.met)
	return d, true
}

// crawl delays a call while everything is slow.
func (c *cluster) crawl() {
	if c.slow.Load() {
		time.Sleep(slowBy)
	}
}

// stepClocks rewrites the wall clock of records after a clock step.
func (c *cluster) stepClocks(batch *pb.Batch) ([]byte, error) {
	if c.stepped.Load() {
		for _, rec := range batch.Records {
			rec.TimeMs += clockStepMs
		}
	}
	return proto.Marshal(batch)
}

// idleService is a service without requests or a target.
type idleService struct{}

func (idleService) Latency() (p99, target time.Duration) { return 0, 0 }
func (idleService) LoadMilli() uint32                    { return 0 }
func (idleService) Name() string                         { return "idle" }
func (idleService) Leaving() bool                        { return false }
func (idleService) NoteAlone(time.Duration)              {}
