package workeragent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"chervilridge/internal/bodylimit"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/jobentry"
	"chervilridge/internal/limits"
	"chervilridge/internal/logsink"
	"chervilridge/internal/peer"
	"chervilridge/internal/settings"
	"chervilridge/internal/telemetry"
	"chervilridge/platform"
)

const (
	// memoryLimitShare is the share of the granted memory set as the soft limit of the Go
	// runtime.
	memoryLimitShare   = 0.7
	defaultMetricsPort = 9465
	readHeaderTimeout  = 2 * time.Second
	// idleTimeout exceeds any interval of heartbeats, so that a worker may keep its connection.
	idleTimeout = 2 * time.Minute
	// heartbeatBodyTimeout bounds the time of reading a heartbeat and of its wait for decoding; a later one
	// is due by then.
	heartbeatBodyTimeout = 10 * time.Second
	heartbeatRetryAfter  = "1" // seconds, in a refusal
	// shutdownTimeout bounds a planned shutdown. Pending orders are answered within it,
	// and the leases of the worker's runs last longer.
	shutdownTimeout = 800 * time.Millisecond
)

// Options are the settings of the agent process.
type Options struct {
	MetricsPort *int64
}

// NewOptions registers the settings in set.
func NewOptions(set *settings.Set) *Options {
	return &Options{MetricsPort: set.Int("metrics-port", defaultMetricsPort, 1, 65535, "port", "port of the metrics address")}
}

// Module provides the agent's components and its lifecycle hooks.
func Module(set *settings.Set, options *Options) fx.Option {
	gin.SetMode(gin.ReleaseMode)
	return fx.Options(
		fx.Provide(
			func() (*platform.NodeSettings, error) { return platform.LoadNodeSettings(platform.SettingsPath()) },
			func() *telemetry.Server { return telemetry.New(set) }, jobentry.NewGuard,
			peer.NewPool,
			func(n *platform.NodeSettings) *Agent {
				return NewAgent(n, platform.NewWorkerClient(n.WorkerAddress), boottime.Now)
			},
			func(a *Agent, n *platform.NodeSettings, pool *peer.Pool) *OwnerLink {
				return NewOwnerLink(a, platform.NewStore(n.StoreAddress), pool, n)
			},
		),
		fx.Invoke(func(lc fx.Lifecycle, a *Agent, link *OwnerLink, t *telemetry.Server, guard *limits.Guard, n *platform.NodeSettings) {
			registerLifecycle(lc, a, link, t, guard, n, net.JoinHostPort(n.IP, strconv.FormatInt(*options.MetricsPort, 10)))
		}),
	)
}

// registerLifecycle adds the hooks that start and stop the servers and loops of the
// process.
func registerLifecycle(lc fx.Lifecycle, a *Agent, link *OwnerLink, t *telemetry.Server, guard *limits.Guard, n *platform.NodeSettings, metricsAddress string) {
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: registrationHandler(a, guard), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	sink := logsink.Install(os.Stdout)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if n.ControlAddress == "" || n.WorkerAddress == "" {
				return fault.New(fault.CodeBadSetting, fault.StepSettings, n.Name, "listen.control and app must be set beside a worker")
			}
			debug.SetMemoryLimit(int64(float64(n.MemoryMB) * memoryLimitShare * (1 << 20)))
			if err := t.Start(metricsAddress, guard); err != nil {
				return err
			}
			l, err := net.Listen("tcp", n.ControlAddress)
			if err != nil {
				return fault.Wrap(err, fault.CodeBadSetting, fault.StepSettings, n.ControlAddress, "cannot listen for the worker")
			}
			guard.ServeHTTP(server, l, limits.Control)
			go guard.Run(ctx)
			go a.RenewLeases(ctx)
			go link.Run(ctx)
			go jobentry.WatchSettings(ctx, n)
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			releaseCtx, release := context.WithTimeout(stopCtx, n.Bounds.TerminationGrace-shutdownTimeout-stopMargin-logsink.LastFlushTimeout)
			defer release()
			a.awaitRelease(releaseCtx)
			stopCtx, stop := context.WithTimeout(stopCtx, shutdownTimeout)
			defer stop()
			err := server.Shutdown(stopCtx)
			cancel()
			sink.FlushLast()
			if stopCtx.Err() != nil {
				return nil // an open connection of the worker must not fail the shutdown
			}
			return err
		},
	})
}

// registrationHandler serves the worker's heartbeats and its deregistration.
func registrationHandler(a *Agent, guard *limits.Guard) http.Handler {
	engine := gin.New()
	path := platform.PathWorkerPrefix + ":id"
	engine.PUT(path, func(g *gin.Context) {
		h, err := readHeartbeat(g, guard)
		if status := heartbeatRefusal(err); status != 0 {
			g.Header("Retry-After", heartbeatRetryAfter)
			g.JSON(status, platform.ErrorBody{Error: err.Error()})
			return
		}
		if err == nil {
			err = checkSender(a.node, h)
		}
		if err != nil {
			events.HeartbeatRejected.LogError(err, "worker", fmt.Sprintf("%.100q", g.Param("id")))
			g.JSON(http.StatusBadRequest, platform.ErrorBody{Error: err.Error()})
			return
		}
		a.HandleHeartbeat(h)
		g.JSON(http.StatusOK, struct{}{})
	})
	engine.DELETE(path, func(g *gin.Context) {
		a.ReadFinalRuns(g.Request.Context(), g.Param("id"))
		a.Deregister(g.Param("id"))
		g.JSON(http.StatusOK, struct{}{})
	})
	return engine
}

// readHeartbeat reads a heartbeat within the guard's limits.
func readHeartbeat(g *gin.Context, guard *limits.Guard) (platform.Heartbeat, error) {
	deadline := time.Now().Add(heartbeatBodyTimeout)
	body, err := guard.Bodies().Read(g.Writer, g.Request, platform.MaxHeartbeatBytes, deadline)
	if err != nil {
		return platform.Heartbeat{}, err
	}
	defer body.Release()
	ctx, cancel := context.WithDeadline(g.Request.Context(), deadline)
	defer cancel()
	done, err := guard.StartDecoding(ctx, len(body.Bytes))
	if err != nil {
		return platform.Heartbeat{}, bodylimit.ErrExhausted
	}
	defer done()
	return platform.DecodeHeartbeat(g.Param("id"), body.Bytes)
}

// heartbeatRefusal returns the status of a heartbeat that the limits refused, or 0.
func heartbeatRefusal(err error) int {
	switch {
	case errors.Is(err, bodylimit.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, bodylimit.ErrExhausted), errors.Is(err, bodylimit.ErrDeadline):
		return http.StatusServiceUnavailable
	}
	return 0
}
