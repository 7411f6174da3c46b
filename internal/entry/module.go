package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/claims"
	"chervilridge/internal/entry/api"
	"chervilridge/internal/ledger"
	"chervilridge/internal/membership"
	"chervilridge/internal/peer"
	"chervilridge/internal/platform"
	"chervilridge/internal/platform/platformhttp"
	"chervilridge/internal/process"
	"chervilridge/internal/request"
	"chervilridge/internal/request/admit"
	"chervilridge/internal/request/claim"
	"chervilridge/internal/request/classify"
	"chervilridge/internal/request/observe"
	"chervilridge/internal/request/pick"
	"chervilridge/internal/request/retry"
	"chervilridge/internal/request/send"
	"chervilridge/internal/request/verify"
	"chervilridge/internal/settings"
	"chervilridge/internal/statesource"
	"chervilridge/internal/table"
	"chervilridge/internal/table/view"
	"chervilridge/internal/telemetry"
	"chervilridge/internal/wait"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	drainPoll         = 20 * time.Millisecond
	retryBurst        = 50 // repeats allowed at once
	// readyLimit is the longest that an entry keeps the balancer waiting.
	readyLimit = 3 * time.Second
)

// Module returns the parts of an entry.
func Module(set *settings.Set, options *Options) fx.Option {
	return fx.Options(
		fx.Supply(set, options),
		fx.Provide(
			process.NewBackground, telemetry.New, peer.NewPool,
			newLog, newTable, newTableCommitter, newView, newRegistry, newPipeline, newHandler,
		),
		fx.Invoke(serveMetrics, serveGRPC, serveHTTP, seedTable),
	)
}

func newLog(o *Options) platform.Log { return platformhttp.NewLog(*o.LogAddress) }

func newTable(o *Options, log platform.Log, bg *process.Background) *ledger.Follower[*table.Table] {
	f := view.Follow(log, *o.TablePoll)
	bg.Go(f.Run)
	return f
}

func newTableCommitter(o *Options, log platform.Log, f *ledger.Follower[*table.Table], bg *process.Background) *ledger.Committer {
	c := ledger.NewCommitter(log, f, *o.Name, *o.AppendBudget)
	bg.Go(c.Run)
	bg.Go(ledger.NewSnapshotter(o.snapshots(), f, c).Run)
	return c
}

// seedTable takes the table from other entries and from agents if the log cannot
// be read at the start.
func seedTable(o *Options, rows *ledger.Follower[*table.Table], reg *membership.Registry, pool *peer.Pool, bg *process.Background) {
	peers := func() []string {
		out := append([]string(nil), *o.Peers...)
		for _, m := range reg.Statuses() {
			out = append(out, m.Address)
		}
		return out
	}
	bg.Go(statesource.NewSeeder(rows, pool, peers).Run)
}

func newView(f *ledger.Follower[*table.Table]) *view.View { return view.New(f) }

func newRegistry(o *Options, v *view.View, pool *peer.Pool, bg *process.Background) *membership.Registry {
	entries := membership.NewEntryDirectory(*o.GRPCAddress, *o.Peers)
	r := membership.NewRegistry(*o.EndpointLease, entries, v.Version)
	bg.Go(r.Run)
	bg.Go(func(ctx context.Context) { entries.Run(ctx, pool) })
	return r
}

// pipeline is the request path with the stage that a planned stop needs.
type pipeline struct {
	head    request.Handler
	admit   *admit.Filter
	leaving atomic.Bool // fails the balancer's check
}

// newPipeline joins the stages: classify, observe, admit, release, retry, pick,
// claim, verify, send. The claim comes behind the choice of the endpoint, so that
// it names the one hand-over that it allows.
func newPipeline(o *Options, log platform.Log, v *view.View, reg *membership.Registry, pool *peer.Pool,
	t *telemetry.Server, bg *process.Background) *pipeline {
	keys := ledger.NewFollower(log, claims.Stream, *o.TablePoll, claims.New)
	bg.Go(keys.Run)
	committer := ledger.NewCommitter(log, keys, *o.Name, *o.AppendBudget)
	bg.Go(committer.Run)
	bg.Go(ledger.NewSnapshotter(o.snapshots(), keys, committer).Run)

	claimed := claim.New(verify.New(send.New(pool)), committer, claim.FollowerLookup{Follower: keys}, claim.EndpointResolver{Endpoints: reg})
	picked := pick.New(claimed, reg, v, newPickOptions(o))
	budget := retry.NewBudget(float64(*o.RetryShareMilli)/1000, retryBurst)
	released := claim.NewReleaser(retry.New(picked, budget, int(*o.MaxTries)), committer)
	admitted := admit.New(released, *o.MaxInFlight)
	observed := observe.New(admitted, t.Scope())
	return &pipeline{head: classify.New(observed, v, reg), admit: admitted}
}

func newPickOptions(o *Options) pick.Options {
	distance := pick.Distance{DataCentre: *o.DataCentre, OneWayDelay: *o.Hop}
	return pick.Options{Policy: pick.NewPolicy(*o.Policy, pick.SharedRand{}, distance), Distance: distance}
}

func newHandler(o *Options, set *settings.Set, p *pipeline, reg *membership.Registry,
	v *view.View, c *ledger.Committer) http.Handler {
	return api.New(api.Parts{
		Pipeline: p.head, Limits: o.Limits(), Registry: reg, Asker: api.NewAsker(reg),
		Table: v, Writer: c, Entry: *o.Name,
		Ready:    newReady(p, reg),
		Settings: func() any { return set.InForce() },
	})
}

// newReady tells the balancer to send requests once an endpoint has announced
// itself, but at the latest when it should have.
func newReady(p *pipeline, reg *membership.Registry) func() bool {
	began := time.Now()
	return func() bool {
		return !p.leaving.Load() && (!reg.Empty() || time.Since(began) > readyLimit)
	}
}

func serveMetrics(lc fx.Lifecycle, o *Options, t *telemetry.Server) {
	process.ServeMetrics(lc, *o.MetricsAddress, t)
}

func serveGRPC(lc fx.Lifecycle, o *Options, reg *membership.Registry, rows *ledger.Follower[*table.Table]) {
	server := peer.NewServer()
	pb.RegisterRegistryServer(server, reg)
	pb.RegisterStateSourceServer(server, statesource.NewServer(rows))
	process.ServeGRPC(lc, *o.GRPCAddress, server)
}

// serveHTTP stops in the order: fail the balancer's check, wait, refuse new
// requests, finish those in flight, close.
func serveHTTP(lc fx.Lifecycle, o *Options, handler http.Handler, p *pipeline) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := process.Listen(*o.HTTPAddress)
			if err != nil {
				return err
			}
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			p.leaving.Store(true)
			wait.For(ctx, *o.DrainWait)
			p.admit.StopAdmitting()
			drain(ctx, p.admit)
			return server.Shutdown(ctx)
		},
	})
}

func drain(ctx context.Context, f *admit.Filter) {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for f.InFlight() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
