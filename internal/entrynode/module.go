// Package entrynode is the process on an entry machine: it takes the clients' jobs and
// may own the schedule.
package entrynode

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/dispatch"
	"chervilridge/internal/election"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/logsink"
	"chervilridge/internal/operator"
	"chervilridge/internal/peer"
	"chervilridge/internal/settings"
	"chervilridge/internal/statelog"
	"chervilridge/internal/telemetry"
	"chervilridge/platform"
)

const (
	// memoryShare is the part of the memory limit that the runtime aims to stay below.
	memoryShare = 0.7
	// drainTime is how long a leaving entry still takes connections: the platform
	// looks at its readiness once a second and needs two misses.
	drainTime = 2200 * time.Millisecond
	// stopMargin is what a planned stop leaves of the grace before SIGKILL.
	stopMargin = 700 * time.Millisecond
	// storeFresh is how lately the store must have answered to count as reachable.
	storeFresh = 1800 * time.Millisecond
	// readyOwnerLimit is how long the owner may be out of reach of a ready entry.
	readyOwnerLimit   = 2500 * time.Millisecond
	defaultMetrics    = 9464
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
)

// Options are the process's own settings.
type Options struct {
	MetricsPort *int64
}

// NewOptions adds the settings to the set.
func NewOptions(set *settings.Set) *Options {
	return &Options{MetricsPort: set.Int("metrics-port", defaultMetrics, 1, 65535, "port", "port of the metrics address")}
}

// Entry is the running process.
type Entry struct {
	node     *platform.Node
	elector  *election.Elector
	operator *operator.Follower
	router   *Router
	peers    *Peers
	leaving  atomic.Bool
	front    *http.Server
	ready    *http.Server
	grpc     *grpc.Server
}

// Module wires the process.
func Module(set *settings.Set, options *Options) fx.Option {
	gin.SetMode(gin.ReleaseMode)
	return fx.Options(
		fx.Provide(
			func() (*platform.Node, error) { return platform.LoadNode(platform.SettingsPath()) },
			func(n *platform.Node) *platform.Store { return platform.NewStore(n.StoreAddress) },
			func() *telemetry.Server { return telemetry.New(set) },
			peer.NewPool, NewPeers, newFollower, newElector, NewRouter, NewService, newEntry,
		),
		fx.Invoke(func(lc fx.Lifecycle, e *Entry, t *telemetry.Server, n *platform.Node) {
			dispatch.RegisterMetrics(t.Scope())
			run(lc, e, t, net.JoinHostPort(n.IP, strconv.FormatInt(*options.MetricsPort, 10)))
		}),
	)
}

func newFollower(store *platform.Store, peers *Peers) *operator.Follower {
	return operator.NewFollower(store, peers.Operator)
}

// machineAPI is where the owner lists machines, orders upkeep and tells how a wave goes.
type machineAPI struct {
	*platform.Machines
	store *platform.Store
}

// PublishWave publishes the state of a wave.
func (m machineAPI) PublishWave(ctx context.Context, wave string, completed bool) error {
	return m.store.PutStatus(ctx, wave, completed)
}

func newElector(n *platform.Node, store *platform.Store, peers *Peers, f *operator.Follower) *election.Elector {
	me := election.Identity{Node: n.Name, Address: InnerAddress(n), CPUShare: n.CPUShare, LinkMbps: n.LinkMbps}
	settings := dispatch.Settings{Node: n.Name, Bounds: n.Bounds}
	if n.AdvisorAddress != "" {
		settings.Advisor = platform.NewAdvisor(n.AdvisorAddress)
	}
	if n.MachinesAddress != "" {
		settings.Machines = machineAPI{platform.NewMachines(n.MachinesAddress, n.Name), store}
	}
	build := func(w *statelog.Writer, restored *statelog.Restored) *dispatch.Engine {
		return dispatch.New(settings, w, restored, f.View, boottime.Now)
	}
	storeOK := func() bool { return f.StoreSilent() < storeFresh }
	return election.New(me, store, peers, boottime.Now, storeOK, build)
}

func newEntry(n *platform.Node, x *election.Elector, f *operator.Follower, r *Router, p *Peers, s *Service, t *telemetry.Server) *Entry {
	e := &Entry{node: n, elector: x, operator: f, router: r, peers: p, grpc: peer.NewServer()}
	chervilv2.RegisterSchedulerServer(e.grpc, s)
	e.front = &http.Server{
		Handler: NewClients(f, r, e.leaving.Load, t.Scope()).Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
	}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathReadiness, e.readiness)
	e.ready = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return e
}

// readiness tells the balancer whether this entry can serve clients.
func (e *Entry) readiness(w http.ResponseWriter, _ *http.Request) {
	seen := e.elector.OwnerSeen()
	switch {
	case e.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case e.operator.View() == nil || e.operator.View().Config == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case seen < 0 || seen > readyOwnerLimit:
		http.Error(w, "owner of the schedule out of reach", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func run(lc fx.Lifecycle, e *Entry, t *telemetry.Server, metrics string) {
	ctx, cancel := context.WithCancel(context.Background())
	sink := logsink.Install(os.Stdout)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			debug.SetMemoryLimit(int64(float64(e.node.MemoryMB) * memoryShare * (1 << 20)))
			if err := t.Start(metrics); err != nil {
				return err
			}
			go e.operator.Run(ctx)
			go e.elector.Run(ctx)
			go WatchSettings(ctx, e.node)
			return e.listen()
		},
		OnStop: func(stopCtx context.Context) error {
			err := e.stop(stopCtx)
			cancel()
			sink.Flush()
			return err
		},
	})
}

func (e *Entry) listen() error {
	inner, err := net.Listen("tcp", InnerAddress(e.node))
	if err != nil {
		return fault.Wrap(err, fault.CodeBadSetting, fault.StepSettings, InnerAddress(e.node), "cannot listen for peers")
	}
	go func() { _ = e.grpc.Serve(inner) }()
	for address, server := range map[string]*http.Server{e.node.ClientAddress: e.front, e.node.ReadinessAddress: e.ready} {
		if address == "" {
			return fault.New(fault.CodeBadSetting, fault.StepSettings, e.node.Name, "listen.front and listen.ready must be set on an entry")
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fault.Wrap(err, fault.CodeBadSetting, fault.StepSettings, address, "cannot listen")
		}
		go func() { _ = server.Serve(l) }()
	}
	return nil
}

// stop ends the process gracefully: it hands the schedule over, is no longer ready,
// and finishes requests under way.
func (e *Entry) stop(ctx context.Context) error {
	deadline := time.Now().Add(e.node.Bounds.TerminationGrace - stopMargin)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	e.leaving.Store(true)
	go e.elector.Leave()
	select {
	case <-time.After(drainTime):
	case <-ctx.Done():
	}
	err := e.front.Shutdown(ctx)
	_ = e.ready.Close()
	e.grpc.Stop()
	return err
}

// WatchSettings notes that the settings file has changed. Addresses of a running
// process stay as they are; what changes takes effect with its next start.
func WatchSettings(ctx context.Context, current *platform.Node) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	for {
		select {
		case <-changed:
			next, err := platform.LoadNode(platform.SettingsPath())
			if err != nil {
				events.SettingsReloaded.LogError(err, "node", current.Name)
				continue
			}
			events.SettingsReloaded.Log("node", next.Name, "seeds", next.Seeds, "store", next.StoreAddress, "storeChanged", next.StoreAddress != current.StoreAddress)
		case <-ctx.Done():
			return
		}
	}
}
