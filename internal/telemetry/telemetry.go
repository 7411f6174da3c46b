// Package telemetry provides the metrics scope of a process and serves metrics, profiles and
// the effective settings over HTTP on the metrics address.
package telemetry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/limits"
	"chervilridge/internal/settings"
)

const (
	reportInterval    = time.Second // from tally to the Prometheus registry
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute // longer than the interval of scrapes
)

// latencyBuckets are the upper bounds, in seconds, of the default histogram buckets.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 120}

// newEventCounter returns a function that counts an event in the counter "events" tagged
// with its number. The counters are created beforehand, so that the map is only read when
// events are logged.
func newEventCounter(scope tally.Scope) func(events.Event) {
	counters := map[int]tally.Counter{}
	for n := range events.All() {
		counters[n] = scope.Tagged(map[string]string{"event": strconv.Itoa(n)}).Counter("events")
	}
	return func(e events.Event) { counters[e.Number].Inc(1) }
}

// Server holds the root metrics scope and the HTTP server of a process.
type Server struct {
	scope  tally.Scope
	closer io.Closer
	http   *http.Server
}

// New returns a server that has not started. Its metric names begin with "chervil". It also
// becomes the observer of all logged events.
func New(set *settings.Set) *Server {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry, DefaultTimerType: prometheus.HistogramTimerType,
		DefaultHistogramBuckets: latencyBuckets,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "chervil", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	events.Observe(newEventCounter(scope))
	mux := http.NewServeMux()
	mux.Handle("/metrics", reporter.HTTPHandler())
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	mux.HandleFunc("/debug/pprof/goroutine", pprof.Handler("goroutine").ServeHTTP)
	mux.HandleFunc("/settings", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(set.Effective())
	})
	return &Server{
		scope: scope, closer: closer,
		http: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout},
	}
}

// Scope returns the root metrics scope.
func (s *Server) Scope() tally.Scope { return s.scope }

// Start listens on the address and serves HTTP in the background, within the limits of the guard. It
// returns an error with CodeBadSetting if it cannot listen.
func (s *Server) Start(address string, guard *limits.Guard) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.CodeBadSetting, fault.StepSettings, address, "cannot listen on the metrics address")
	}
	guard.ServeHTTP(s.http, l, limits.Metrics)
	return nil
}

// Stop shuts the HTTP server down and flushes the metrics scope.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	_ = s.closer.Close()
	return err
}
