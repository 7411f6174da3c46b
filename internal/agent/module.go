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
	"chervilridge/internal/peer"
	"chervilridge/internal/platform"
	"chervilridge/internal/platform/platformhttp"
	"chervilridge/internal/process"
	"chervilridge/internal/settings"
	"chervilridge/internal/statesource"
	"chervilridge/internal/table"
	"chervilridge/internal/table/view"
	"chervilridge/internal/telemetry"
	"chervilridge/internal/wait"
)

const (
	latencyWindow = 10 * time.Second
	probeEvery    = time.Second
	// firstServiceTime judges the wait for a slot before any was measured.
	firstServiceTime = 5 * time.Millisecond
	// leaveLinger outlasts the time in which entries notice a silent connection.
	leaveLinger = 2 * time.Second
	// maxAnswerMemory bounds the answers kept for those who ask again.
	maxAnswerMemory = 64 << 20 // bytes
)

// Identity is what an agent is called; the incarnation is new at each start.
type Identity struct {
	Name        string
	Incarnation string
	Began       time.Time
}

// Module returns the parts of an agent.
func Module(set *settings.Set, options *Options) fx.Option {
	return fx.Options(
		fx.Supply(set, options),
		fx.Provide(
			process.NewBackground, telemetry.New, peer.NewPool, peer.NewServer,
			newIdentity, newLog, newTable, newView, newRunner, newGate, newStore, newLatency,
			newHealth, newAnnouncer,
		),
		fx.Invoke(serveMetrics, serveGRPC, leave, seedTable),
	)
}

func newIdentity(o *Options) Identity {
	return Identity{Name: *o.Name, Incarnation: ident.New(), Began: time.Now()}
}

func newLog(o *Options) platform.Log { return platformhttp.NewLog(*o.LogAddress) }

func newTable(o *Options, log platform.Log, bg *process.Background) *ledger.Follower[*table.Table] {
	f := view.Follow(log, *o.TablePoll)
	bg.Go(f.Run)
	return f
}

// seedTable takes the table from the entries if the log cannot be read at the
// start.
func seedTable(o *Options, rows *ledger.Follower[*table.Table], pool *peer.Pool, bg *process.Background) {
	bg.Go(statesource.NewSeeder(rows, pool, func() []string { return *o.Entries }).Run)
}

func newView(f *ledger.Follower[*table.Table]) *view.View { return view.New(f) }

func newGate(o *Options) *admission.Gate {
	return admission.New(admission.Options{Slots: int(*o.Slots), MaxQueue: int(*o.Queue), MaxPerSlot: firstServiceTime})
}

func newStore(o *Options) *execution.Store {
	return execution.NewStore(execution.Options{Retention: *o.AnswerRetention, MaxBytes: maxAnswerMemory})
}

func newLatency() *latency.Window { return latency.NewWindow(latencyWindow) }

func newRunner(o *Options, id Identity, gate *admission.Gate, store *execution.Store, window *latency.Window) *runner.Runner {
	return runner.New(runner.Options{
		Agent: id.Name, Incarnation: id.Incarnation, Service: *o.Service,
		Endpoint: *o.Endpoint, Connections: int(*o.Connections),
	}, gate, store, latency.Windows{window})
}

func newAnnouncer(o *Options, id Identity, gate *admission.Gate, run *runner.Runner, h *health,
	v *view.View, pool *peer.Pool, bg *process.Background) *announce.Announcer {
	describe := func() *pb.AnnounceRequest {
		running, queued := gate.Load()
		return &pb.AnnounceRequest{
			Endpoint: &pb.Endpoint{
				Agent: id.Name, Incarnation: id.Incarnation, Address: *o.GRPCAddress, Service: *o.Service,
				Region: *o.Region, DataCentre: *o.DataCentre, Slots: uint32(*o.Slots), Connections: uint32(*o.Connections),
			},
			Leaving: run.Leaving(), Running: uint32(running), Queued: uint32(queued),
			TableVersion: v.Version(), Healthy: h.good(),
		}
	}
	a := announce.New(pool, *o.Entries, *o.AnnounceEvery, describe)
	bg.Go(a.Run)
	return a
}

func serveMetrics(lc fx.Lifecycle, o *Options, t *telemetry.Server) {
	process.ServeMetrics(lc, *o.MetricsAddress, t)
}

func serveGRPC(lc fx.Lifecycle, o *Options, server *grpc.Server, run *runner.Runner, rows *ledger.Follower[*table.Table]) {
	pb.RegisterRunnerServer(server, run)
	pb.RegisterStateSourceServer(server, statesource.NewServer(rows))
	process.ServeGRPC(lc, *o.GRPCAddress, server)
}

// leave runs first at a planned stop: refuse new requests, announce, finish the
// requests in flight. Then it lingers: what entries sent
// before they heard is refused with proof, and an answer lost on its way can
// still be asked for.
func leave(lc fx.Lifecycle, run *runner.Runner, a *announce.Announcer) {
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		run.BeginLeave()
		a.Announce(ctx)
		if err := run.FinishLeave(ctx); err != nil {
			return err
		}
		wait.For(ctx, leaveLinger)
		return nil
	}})
}
