// Package jobentry implements the process on an entry machine. It serves the clients'
// job API and forwards calls to the owner of the schedule, which may be itself.
package jobentry

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
	"chervilridge/internal/failfast"
	"chervilridge/internal/fault"
	"chervilridge/internal/limits"
	"chervilridge/internal/logsink"
	"chervilridge/internal/operator"
	"chervilridge/internal/peer"
	"chervilridge/internal/schedulestore"
	"chervilridge/internal/settings"
	"chervilridge/internal/telemetry"
	"chervilridge/platform"
)

const (
	// memoryShare is the fraction of the process's memory limit that is set as the soft
	// limit of the Go runtime.
	memoryShare = 0.7
	// drainDelay is how long an entry still accepts connections after its readiness
	// probe begins to fail: the platform probes once a second and takes the entry out
	// after two failures.
	drainDelay = 2200 * time.Millisecond
	// stopMargin is the part of the grace period before SIGKILL that a graceful stop
	// leaves unused.
	stopMargin = 700 * time.Millisecond
	// answerTime is the part of a graceful stop that is left for answering the requests which no
	// owner has answered by then.
	answerTime = 500 * time.Millisecond
	// storeReachableWithin is how recently the store must have responded to count as
	// reachable.
	storeReachableWithin = 1800 * time.Millisecond
	// maxOwnerUnseen is how long the owner may be unreachable before the entry is no
	// longer ready.
	maxOwnerUnseen     = 2500 * time.Millisecond
	defaultMetricsPort = 9464
	readHeaderTimeout  = 3 * time.Second
	idleTimeout        = 15 * time.Second
	// readinessIdleTimeout exceeds the interval of any probe, so that probes may keep their
	// connection.
	readinessIdleTimeout = 2 * time.Minute
)

// Options are the process's own settings.
type Options struct {
	MetricsPort *int64
}

// NewOptions registers the settings in the set.
func NewOptions(set *settings.Set) *Options {
	return &Options{MetricsPort: set.Int("metrics-port", defaultMetricsPort, 1, 65535, "port", "port of the metrics address")}
}

// Entry holds the servers and the components of the process.
type Entry struct {
	node            *platform.NodeSettings
	guard           *limits.Guard
	elector         *election.Elector
	operator        *operator.Follower
	router          *Router
	peers           *Peers
	draining        atomic.Bool
	clientServer    *http.Server
	endRequests     context.CancelFunc // ends the clients' requests in progress with an answer
	readinessServer *http.Server
	peerServer      *grpc.Server
}

// Module provides the components of the process and runs them in its lifecycle.
func Module(set *settings.Set, options *Options) fx.Option {
	gin.SetMode(gin.ReleaseMode)
	return fx.Options(
		fx.Provide(
			func() (*platform.NodeSettings, error) { return platform.LoadNodeSettings(platform.SettingsPath()) },
			func(n *platform.NodeSettings) *platform.Store { return platform.NewStore(n.StoreAddress) },
			func() *telemetry.Server { return telemetry.New(set) }, NewGuard,
			peer.NewPool, NewPeers, newFollower, newElector, NewRouter, NewService, newEntry,
		),
		fx.Invoke(func(lc fx.Lifecycle, e *Entry, t *telemetry.Server, n *platform.NodeSettings) {
			dispatch.RegisterMetrics(t.Scope())
			registerHooks(lc, e, t, net.JoinHostPort(n.IP, strconv.FormatInt(*options.MetricsPort, 10)))
		}),
	)
}

// NewGuard returns the guard of a process on the platform.
func NewGuard(n *platform.NodeSettings, t *telemetry.Server) *limits.Guard {
	machine := limits.Machine{MemoryBytes: int64(n.MemoryMB) << 20, Descriptors: n.MaxDescriptors}
	return limits.New(machine.Detect(), t.Scope())
}

func newFollower(store *platform.Store, peers *Peers) *operator.Follower {
	return operator.NewFollower(store, peers.FetchOperatorRecords)
}

// maintenanceAPI is what the dispatch engine calls for maintenance: it lists machines and
// starts their maintenance through the machine API, and publishes the state of waves in
// the store.
type maintenanceAPI struct {
	*platform.MachineClient
	waves *schedulestore.WavePublisher
}

// PublishWave publishes the state of a maintenance wave; see schedulestore.WavePublisher.
func (m maintenanceAPI) PublishWave(ctx context.Context, epoch uint64, wave string, completed bool) error {
	return m.waves.Publish(ctx, epoch, wave, completed)
}

func newElector(n *platform.NodeSettings, store *platform.Store, peers *Peers, f *operator.Follower) *election.Elector {
	identity := election.Identity{Node: n.Name, Address: InternalAddress(n), CPUShare: n.CPUShare, LinkMbps: n.LinkMbps}
	settings := dispatch.Settings{Node: n.Name, Bounds: n.Bounds, MaxRecordBytes: n.StoreRecordBytes, Stalled: failfast.Stalled}
	if n.AdvisorAddress != "" {
		settings.Advisor = platform.NewAdvisor(n.AdvisorAddress)
	}
	if n.MachinesAddress != "" {
		settings.Machines = maintenanceAPI{platform.NewMachineClient(n.MachinesAddress, n.Name), schedulestore.NewWavePublisher(store, boottime.Now)}
	}
	newEngine := func(w *schedulestore.Writer, restored *schedulestore.State) *dispatch.Engine {
		return dispatch.New(settings, w, restored, f.View, boottime.Now)
	}
	storeReachable := func() bool { return f.SinceStoreAnswer() < storeReachableWithin }
	return election.New(identity, store, peers, boottime.Now, storeReachable, newEngine)
}

func newEntry(n *platform.NodeSettings, x *election.Elector, f *operator.Follower, r *Router, p *Peers, s *Service, t *telemetry.Server, guard *limits.Guard) *Entry {
	e := &Entry{node: n, guard: guard, elector: x, operator: f, router: r, peers: p, peerServer: peer.NewServer()}
	chervilv2.RegisterSchedulerServer(e.peerServer, s)
	requests, endRequests := context.WithCancel(context.Background())
	e.endRequests = endRequests
	e.clientServer = &http.Server{
		Handler: NewClientAPI(f, r, n.StoreRecordBytes, guard, e.draining.Load, t.Scope()).Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return requests },
	}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathReadiness, e.readiness)
	e.readinessServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: readinessIdleTimeout}
	return e
}

// readiness handles the load balancer's probe: status 200 if the entry can serve
// clients, otherwise 503 with the reason.
func (e *Entry) readiness(w http.ResponseWriter, _ *http.Request) {
	seen := e.elector.SinceOwnerSeen()
	switch {
	case e.draining.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case e.operator.View() == nil || e.operator.View().Config == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case seen < 0 || seen > maxOwnerUnseen:
		http.Error(w, "owner of the schedule is unreachable", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func registerHooks(lc fx.Lifecycle, e *Entry, t *telemetry.Server, metricsAddress string) {
	ctx, cancel := context.WithCancel(context.Background())
	sink := logsink.Install(os.Stdout)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			debug.SetMemoryLimit(int64(float64(e.node.MemoryMB) * memoryShare * (1 << 20)))
			if err := t.Start(metricsAddress, e.guard); err != nil {
				return err
			}
			go e.guard.Run(ctx)
			go e.operator.Run(ctx)
			go e.elector.Run(ctx)
			go WatchSettings(ctx, e.node)
			return e.listen()
		},
		OnStop: func(stopCtx context.Context) error {
			err := e.stop(stopCtx)
			cancel()
			sink.FlushLast()
			return err
		},
	})
}

func (e *Entry) listen() error {
	peerListener, err := net.Listen("tcp", InternalAddress(e.node))
	if err != nil {
		return fault.Wrap(err, fault.CodeBadSetting, fault.StepSettings, InternalAddress(e.node), "cannot listen for calls from peers")
	}
	go func() { _ = e.peerServer.Serve(e.guard.ListenGRPC(peerListener)) }()
	if e.node.ClientAddress == "" || e.node.ReadinessAddress == "" {
		return fault.New(fault.CodeBadSetting, fault.StepSettings, e.node.Name, "listen.front and listen.ready must be set on an entry")
	}
	if err := e.serveHTTP(e.clientServer, e.node.ClientAddress, limits.Clients); err != nil {
		return err
	}
	return e.serveHTTP(e.readinessServer, e.node.ReadinessAddress, limits.Readiness)
}

// serveHTTP listens on an address and serves requests in the background.
func (e *Entry) serveHTTP(server *http.Server, address string, kind limits.Kind) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.CodeBadSetting, fault.StepSettings, address, "cannot listen for HTTP requests")
	}
	e.guard.ServeHTTP(server, l, kind)
	return nil
}

// stop shuts the process down gracefully: it fails the readiness probe, gives up the
// ownership of the schedule and finishes requests in progress.
func (e *Entry) stop(ctx context.Context) error {
	deadline := time.Now().Add(e.node.Bounds.TerminationGrace - stopMargin - peer.CloseTimeout - logsink.LastFlushTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	e.draining.Store(true)
	defer time.AfterFunc(time.Until(deadline.Add(-answerTime)), e.endRequests).Stop()
	go e.elector.Resign()
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	err := e.clientServer.Shutdown(ctx)
	_ = e.readinessServer.Close()
	peer.CloseServer(e.peerServer)
	return err
}

// WatchSettings reloads the settings file on SIGHUP and logs the result. A running
// process keeps its settings; changes take effect when it restarts.
func WatchSettings(ctx context.Context, current *platform.NodeSettings) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	for {
		select {
		case <-changed:
			next, err := platform.LoadNodeSettings(platform.SettingsPath())
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
