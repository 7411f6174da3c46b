package agent

import (
	"context"
	"time"

	"go.uber.org/fx"
	"google.golang.org/grpc"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/agent/admission"
	"chervilridge/internal/agent/announce"
	"chervilridge/internal/agent/execution"
	"chervilridge/internal/agent/latency"
	"chervilridge/internal/agent/runner"
	"chervilridge/internal/ident"
	"chervilridge/internal/ledger"
	"chervilridge/internal/limits"
	"chervilridge/internal/peer"
	"chervilridge/internal/process"
	"chervilridge/internal/recordlog"
	"chervilridge/internal/recordlog/recordloghttp"
	"chervilridge/internal/settings"
	"chervilridge/internal/statesource"
	"chervilridge/internal/table"
	"chervilridge/internal/table/view"
	"chervilridge/internal/telemetry"
	"chervilridge/internal/wait"
)

const (
	latencyWindow = 10 * time.Second
	probeInterval = time.Second
	// initialServiceTime is used to estimate the wait for a slot until one was measured.
	initialServiceTime = 5 * time.Millisecond
	// drainLinger is longer than entries take to detect an unresponsive connection.
	drainLinger = 2 * time.Second
	// maxAnswerMemoryBytes limits the memory of outcomes kept for duplicates and Resolve calls.
	maxAnswerMemoryBytes = 64 << 20
)

// Identity identifies an agent process. The incarnation is new at each start.
type Identity struct {
	Name        string
	Incarnation string
	StartedAt   time.Time
}

// Module returns the fx options of an agent process.
func Module(set *settings.Set, options *Options) fx.Option {
	return fx.Options(
		fx.Supply(set, options),
		fx.Provide(
			process.NewBackground, telemetry.New, peer.NewPool, peer.NewServer, newGuard,
			newIdentity, newLog, newTable, newView, newRunner, newGate, newStore, newLatencyWindow,
			newHealthChecker, newAnnouncer,
		),
		fx.Invoke(serveMetrics, serveGRPC, drainOnStop, seedTable),
	)
}

func newIdentity(o *Options) Identity {
	return Identity{Name: *o.Name, Incarnation: ident.New(), StartedAt: time.Now()}
}

func newGuard(o *Options, t *telemetry.Server, bg *process.Background) *limits.Guard {
	return process.NewGuard(*o.MemoryMB, *o.MaxDescriptors, t, bg)
}

func newLog(o *Options) recordlog.Log { return recordloghttp.NewLog(*o.LogAddress) }

func newTable(o *Options, log recordlog.Log, bg *process.Background) *ledger.Follower[*table.Table] {
	f := view.NewFollower(log, *o.TablePoll)
	bg.Go(f.Run)
	return f
}

// seedTable loads the table from the entries if the log cannot be read at startup.
func seedTable(o *Options, tableFollower *ledger.Follower[*table.Table], pool *peer.Pool, bg *process.Background) {
	bg.Go(statesource.NewSeeder(tableFollower, pool, func() []string { return *o.Entries }).Run)
}

func newView(f *ledger.Follower[*table.Table]) *view.View { return view.New(f) }

func newGate(o *Options) *admission.Gate {
	return admission.New(admission.Options{Slots: int(*o.Slots), MaxQueue: int(*o.Queue), InitialServiceTime: initialServiceTime})
}

func newStore(o *Options) *execution.Store {
	return execution.NewStore(execution.Options{Retention: *o.AnswerRetention, MaxBytes: maxAnswerMemoryBytes})
}

func newLatencyWindow() *latency.Window { return latency.NewWindow(latencyWindow) }

func newRunner(o *Options, id Identity, gate *admission.Gate, store *execution.Store, window *latency.Window) *runner.Runner {
	return runner.New(runner.Options{
		Agent: id.Name, Incarnation: id.Incarnation, Service: *o.Service,
		Endpoint: *o.Endpoint, Connections: int(*o.Connections),
	}, gate, store, latency.Windows{window})
}

func newAnnouncer(o *Options, id Identity, gate *admission.Gate, agentRunner *runner.Runner, h *healthChecker,
	v *view.View, pool *peer.Pool, bg *process.Background) *announce.Announcer {
	describe := func() *pb.AnnounceRequest {
		running, queued := gate.Load()
		return &pb.AnnounceRequest{
			Endpoint: &pb.Endpoint{
				Agent: id.Name, Incarnation: id.Incarnation, Address: *o.GRPCAddress, Service: *o.Service,
				Region: *o.Region, DataCentre: *o.DataCentre, Slots: uint32(*o.Slots), Connections: uint32(*o.Connections),
			},
			Leaving: agentRunner.Leaving(), Running: uint32(running), Queued: uint32(queued),
			TableVersion: v.Version(), Healthy: h.healthy(),
		}
	}
	a := announce.New(pool, *o.Entries, *o.AnnounceEvery, describe)
	bg.Go(a.Run)
	return a
}

func serveMetrics(lc fx.Lifecycle, o *Options, t *telemetry.Server, guard *limits.Guard) {
	process.ServeMetrics(lc, *o.MetricsAddress, t, guard)
}

func serveGRPC(lc fx.Lifecycle, o *Options, server *grpc.Server, agentRunner *runner.Runner, tableFollower *ledger.Follower[*table.Table], guard *limits.Guard) {
	pb.RegisterRunnerServer(server, agentRunner)
	pb.RegisterStateSourceServer(server, statesource.NewServer(tableFollower))
	process.ServeGRPC(lc, *o.GRPCAddress, server, guard)
}

// drainOnStop runs first at a planned stop. It rejects new requests, announces that the agent
// is leaving and waits for the requests in flight. It then lingers for drainLinger: requests
// that entries sent before they saw the announcement are rejected as not run, and an answer
// that was lost on its way can still be resolved.
func drainOnStop(lc fx.Lifecycle, agentRunner *runner.Runner, a *announce.Announcer) {
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		agentRunner.StopAdmitting()
		a.Announce(ctx)
		if err := agentRunner.WaitForInFlight(ctx); err != nil {
			return err
		}
		wait.For(ctx, drainLinger)
		return nil
	}})
}
