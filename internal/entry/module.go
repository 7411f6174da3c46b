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
	"chervilridge/internal/limits"
	"chervilridge/internal/membership"
	"chervilridge/internal/peer"
	"chervilridge/internal/process"
	"chervilridge/internal/recordlog"
	"chervilridge/internal/recordlog/recordloghttp"
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
	drainPollInterval = 20 * time.Millisecond
	retryBurst        = 50 // retries; capacity of the retry budget
	// maxReadyDelay is how long an entry waits for an endpoint before it reports ready
	// without one.
	maxReadyDelay = 3 * time.Second
)

// Module provides the components of an entry and starts its servers.
func Module(set *settings.Set, options *Options) fx.Option {
	return fx.Options(
		fx.Supply(set, options),
		fx.Provide(
			process.NewBackground, telemetry.New, peer.NewPool, newGuard,
			newLog, newTable, newTableCommitter, newView, newRegistry, newPipeline, newHandler,
		),
		fx.Invoke(serveMetrics, serveGRPC, serveHTTP, seedTable),
	)
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

func newTableCommitter(o *Options, log recordlog.Log, f *ledger.Follower[*table.Table], bg *process.Background) *ledger.Committer {
	c := ledger.NewCommitter(log, f, *o.Name, *o.AppendBudget)
	bg.Go(c.Run)
	bg.Go(ledger.NewSnapshotter(o.snapshotOptions(), f, c).Run)
	return c
}

// seedTable loads the table from other entries and from agents if the log cannot be read
// at startup.
func seedTable(o *Options, follower *ledger.Follower[*table.Table], reg *membership.Registry, pool *peer.Pool, bg *process.Background) {
	peers := func() []string {
		out := append([]string(nil), *o.Peers...)
		for _, m := range reg.Statuses() {
			out = append(out, m.Address)
		}
		return out
	}
	bg.Go(statesource.NewSeeder(follower, pool, peers).Run)
}

func newView(f *ledger.Follower[*table.Table]) *view.View { return view.New(f) }

func newRegistry(o *Options, v *view.View, pool *peer.Pool, bg *process.Background) *membership.Registry {
	entries := membership.NewEntryDirectory(*o.GRPCAddress, *o.Peers)
	r := membership.NewRegistry(*o.EndpointLease, entries, v.Version)
	bg.Go(r.Run)
	bg.Go(func(ctx context.Context) { entries.Run(ctx, pool) })
	return r
}

// pipeline is the request path with the controls that a planned stop needs.
type pipeline struct {
	handler  request.Handler
	admit    *admit.Filter // counts the requests in flight and can stop admitting
	stopping atomic.Bool   // fails the load balancer's readiness check
}

// newPipeline builds the stages: classify, observe, admit, release, retry, pick, claim,
// verify, send. The claim follows the choice of the endpoint, as it names the one hand-off
// that it allows.
func newPipeline(o *Options, log recordlog.Log, v *view.View, reg *membership.Registry, pool *peer.Pool,
	t *telemetry.Server, bg *process.Background) *pipeline {
	claimsFollower := ledger.NewFollower(log, claims.Stream, *o.TablePoll, claims.New)
	bg.Go(claimsFollower.Run)
	committer := ledger.NewCommitter(log, claimsFollower, *o.Name, *o.AppendBudget)
	bg.Go(committer.Run)
	bg.Go(ledger.NewSnapshotter(o.snapshotOptions(), claimsFollower, committer).Run)

	claimer := claim.New(verify.New(send.New(pool)), committer, claim.FollowerLookup{Follower: claimsFollower}, claim.EndpointResolver{Endpoints: reg})
	picker := pick.New(claimer, reg, v, newPickOptions(o))
	budget := retry.NewBudget(float64(*o.RetryShareMilli)/1000, retryBurst)
	releaser := claim.NewReleaser(retry.New(picker, budget, int(*o.MaxTries)), committer)
	admission := admit.New(releaser, *o.MaxInFlight)
	observer := observe.New(admission, t.Scope())
	return &pipeline{handler: classify.New(observer, v, reg), admit: admission}
}

func newPickOptions(o *Options) pick.Options {
	distance := pick.Distance{DataCentre: *o.DataCentre, OneWayDelay: *o.DataCentreDelay}
	return pick.Options{Policy: pick.NewPolicy(*o.Policy, pick.SharedRand{}, distance), Distance: distance}
}

func newHandler(o *Options, set *settings.Set, p *pipeline, guard *limits.Guard, reg *membership.Registry,
	v *view.View, c *ledger.Committer) http.Handler {
	return api.New(api.Dependencies{
		Pipeline: p.handler, Limits: o.Limits(), Bodies: guard.Bodies(), Registry: reg, Outcomes: api.NewOutcomeResolver(reg),
		Table: v, Committer: c, EntryName: *o.Name,
		Ready:    newReady(p, reg),
		Settings: func() any { return set.Effective() },
	})
}

// newReady returns the readiness check. An entry is ready once an endpoint has announced
// itself, at the latest after maxReadyDelay, and until it stops.
func newReady(p *pipeline, reg *membership.Registry) func() bool {
	started := time.Now()
	return func() bool {
		return !p.stopping.Load() && (!reg.Empty() || time.Since(started) > maxReadyDelay)
	}
}

func serveMetrics(lc fx.Lifecycle, o *Options, t *telemetry.Server, guard *limits.Guard) {
	process.ServeMetrics(lc, *o.MetricsAddress, t, guard)
}

func serveGRPC(lc fx.Lifecycle, o *Options, reg *membership.Registry, follower *ledger.Follower[*table.Table], guard *limits.Guard) {
	server := peer.NewServer()
	pb.RegisterRegistryServer(server, reg)
	pb.RegisterStateSourceServer(server, statesource.NewServer(follower))
	process.ServeGRPC(lc, *o.GRPCAddress, server, guard)
}

// serveHTTP serves the API. It stops in this order: fail the load balancer's readiness
// check, wait, reject new requests, finish those in flight, close.
func serveHTTP(lc fx.Lifecycle, o *Options, handler http.Handler, p *pipeline, guard *limits.Guard) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := process.Listen(*o.HTTPAddress)
			if err != nil {
				return err
			}
			guard.ServeHTTP(server, l, limits.Clients)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			p.stopping.Store(true)
			wait.For(ctx, *o.DrainWait)
			p.admit.StopAdmitting()
			drain(ctx, p.admit)
			return server.Shutdown(ctx)
		},
	})
}

// drain waits until no request is in flight or the context ends.
func drain(ctx context.Context, f *admit.Filter) {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for f.InFlight() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
