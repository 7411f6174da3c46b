// Package telemetry gives a process its metrics scope and serves metrics,
// profiles and the settings in force on the metrics address.
package telemetry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"chervilridge/internal/fault"
	"chervilridge/internal/settings"
)

const (
	reportInterval    = time.Second
	readHeaderTimeout = 5 * time.Second
)

// Server owns the root scope and the admin listener of one process.
type Server struct {
	scope  tally.Scope
	closer io.Closer
	http   *http.Server
}

// New returns a server whose metric names begin with the program's name.
func New(set *settings.Set) *Server {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "chervil", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	mux := http.NewServeMux()
	mux.Handle("/metrics", reporter.HTTPHandler())
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	mux.HandleFunc("/debug/pprof/goroutine", pprof.Handler("goroutine").ServeHTTP)
	mux.HandleFunc("/settings", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(set.InForce())
	})
	return &Server{
		scope: scope, closer: closer,
		http: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout},
	}
}

// Scope returns the root scope.
func (s *Server) Scope() tally.Scope { return s.scope }

// Start listens on the address and serves in the background.
func (s *Server) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.CodeBadSetting, fault.StepSettings, address, "cannot listen on the metrics address")
	}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// Stop closes the listener and the reporter.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	_ = s.closer.Close()
	return err
}
