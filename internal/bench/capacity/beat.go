package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/agent/grants"
	"chervilridge/internal/ident"
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

const (
	beatRounds   = 20
	beatPoll     = 50 * time.Millisecond
	beatLease    = time.Minute
	beatGrant    = 10 * time.Minute
	taskRun      = time.Hour
	beatBudget   = 1000 // appends a second
	setupTimeout = time.Minute
	idleFor      = 3 * time.Second
)

// idleService is a service without load beside a worker.
type idleService struct{}

func (idleService) Latency() (p99, target time.Duration) { return 0, 0 }
func (idleService) LoadMilli() uint32                    { return 0 }
func (idleService) Name() string                         { return "quotedesk" }
func (idleService) Leaving() bool                        { return false }
func (idleService) NoteAlone(time.Duration)              {}

// fixedOwner names the one owner.
type fixedOwner struct{ address string }

// Owner implements grants.Owners.
func (f fixedOwner) Owner(shard uint32) *pb.ShardOwner {
	return &pb.ShardOwner{Shard: shard, Epoch: 1, Agent: "agent-1", Address: f.address}
}

// bench is one shard's owner with workers that beat to it.
type bench struct {
	owner   *owner.Owner
	state   *ledger.Follower[*shard.State]
	beaters []*grants.Beater
	cancel  context.CancelFunc
	stops   []func()
}

// Beats measures one beat of a worker with ten tasks, and what the shard's owner
// uses while nothing changes.
func Beats(workers int) ([]Row, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	b, err := newBench(listener, workers)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	tasks := workers * tasksPerWorker
	if err := b.fill(tasks); err != nil {
		return nil, err
	}
	cpu := cpuTime()
	time.Sleep(idleFor)
	idle := cpuTime() - cpu
	cpu, bytes := cpuTime(), listener.bytes.Load()
	for range beatRounds {
		b.beatAll()
	}
	beats := float64(workers * beatRounds)
	used, moved := cpuTime()-cpu, listener.bytes.Load()-bytes
	return []Row{
		{"beat with 10 tasks, both ends: processor time", workers, "us", float64(used.Microseconds()) / beats},
		{"beat with 10 tasks: bytes on the wire", workers, "bytes", float64(moved) / beats},
		{"shard owner without changes: processor", workers, "% of a core", 100 * idle.Seconds() / idleFor.Seconds()},
	}, nil
}

func newBench(listener *countingListener, workers int) (*bench, error) {
	ctx, cancel := context.WithCancel(context.Background())
	log := logstore.New(logstore.Options{})
	rows := ledger.NewFollower[*table.Table](log, table.Stream, beatPoll, table.New)
	state := ledger.NewFollower[*shard.State](log, shard.Stream(0), beatPoll, shard.New)
	committer := ledger.NewCommitter(log, state, "agent-1", beatBudget)
	address := listener.Addr().String()
	lease := ownership.New(ownership.Options{Owner: "agent-1", Address: address, Lease: beatLease}, state, committer)
	pool := peer.NewPool()
	scheduler := owner.New(owner.Options{Grant: beatGrant, WorkerSilence: beatLease}, lease, state, rows, committer, pool)
	server := peer.NewServer()
	pb.RegisterShardOwnerServiceServer(server, scheduler)
	b := &bench{owner: scheduler, state: state, cancel: cancel, stops: []func(){server.Stop, pool.Close}}
	for i := range workers {
		b.addWorker(ctx, address, i)
	}
	for _, loop := range []func(context.Context){rows.Run, state.Run, committer.Run, lease.Run, scheduler.Run} {
		go loop(ctx)
	}
	go func() { _ = server.Serve(listener) }()
	return b, b.await("shard claimed", func(s *shard.State) bool { return s.Epoch() > 0 })
}

// addWorker adds a worker with its own agent side, served on its own address.
func (b *bench) addWorker(ctx context.Context, owner string, i int) {
	w := worker.New(worker.Options{Info: platform.WorkerInfo{
		Name: fmt.Sprintf("worker-%d", i), DataCentre: "pnw-a", Rack: fmt.Sprintf("pnw-a-rack-%d", i/3),
		Capacity: &pb.Resources{CpuMilli: workerCPUMilli, MemoryMb: workerMemoryMB},
	}})
	g := grants.New(grants.Options{Incarnation: ident.New(), Began: time.Now()}, w)
	server := peer.NewServer()
	pb.RegisterTaskRunnerServer(server, g)
	l, err := listen()
	if err != nil {
		return
	}
	go func() { _ = server.Serve(l) }()
	pool := peer.NewPool()
	b.beaters = append(b.beaters, grants.NewBeater(g, fixedOwner{owner}, idleService{}, pool, l.Addr().String(), time.Second))
	b.stops = append(b.stops, server.Stop, pool.Close)
}

// fill submits long tasks until every worker runs ten.
func (b *bench) fill(tasks int) error {
	b.beatAll()
	if err := b.await("workers registered", func(s *shard.State) bool { return len(s.Workers()) == len(b.beaters) }); err != nil {
		return err
	}
	for first := 0; first < tasks; first += tasksPerJob {
		reply, err := b.owner.SubmitJob(context.Background(), &pb.SubmitJobRequest{JobId: jobOf(first), Spec: &pb.JobSpec{
			Team: "cascade", JobClass: "layout-quote", Tasks: uint32(min(tasksPerJob, tasks-first)), DurationMs: taskRun.Milliseconds(),
			Resources: &pb.Resources{CpuMilli: workerCPUMilli / tasksPerWorker, MemoryMb: workerMemoryMB / tasksPerWorker},
		}})
		if err != nil || reply.Outcome != pb.Outcome_OUTCOME_DONE {
			return fmt.Errorf("submit: %v %v", reply, err)
		}
	}
	return b.await("tasks placed", func(s *shard.State) bool { return len(s.Pending()) == 0 })
}

// await beats until the shard's state is as wanted.
func (b *bench) await(what string, ok func(*shard.State) bool) error {
	for end := time.Now().Add(setupTimeout); time.Now().Before(end); time.Sleep(beatPoll) {
		b.beatAll()
		good := false
		b.state.View(func(s *shard.State) { good = ok(s) })
		if good {
			return nil
		}
	}
	return fmt.Errorf("did not come about: %s", what)
}

func (b *bench) beatAll() {
	var wg sync.WaitGroup
	for part := range parallelCalls {
		wg.Go(func() {
			for i := part; i < len(b.beaters); i += parallelCalls {
				b.beaters[i].Beat(context.Background())
			}
		})
	}
	wg.Wait()
}

func (b *bench) stop() {
	b.cancel()
	for _, stop := range b.stops {
		stop()
	}
}
