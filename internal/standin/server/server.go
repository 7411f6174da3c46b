// Package server serves the stand-in platform over HTTP: the log and the
// switches of its faults.
package server

import (
	"encoding/json"
	"errors"
	"net/http"

	"chervilridge/internal/platform"
	"chervilridge/internal/platform/platformhttp"
	"chervilridge/internal/standin/logstore"
)

// Paths of the fault switches and of the totals.
const (
	PathLogFaults = "/faults/log"
	PathTotals    = "/totals"
)

// Totals is what the log took so far.
type Totals struct {
	Appends  uint64 `json:"appends"`
	LogBytes uint64 `json:"log_bytes"`
}

// Server is the stand-in's http.Handler.
type Server struct {
	store *logstore.Store
	mux   *http.ServeMux
}

// New returns a handler for a store.
func New(store *logstore.Store) *Server {
	s := &Server{store: store, mux: http.NewServeMux()}
	s.mux.HandleFunc(platformhttp.PathAppend, s.append)
	s.mux.HandleFunc(platformhttp.PathRead, s.read)
	s.mux.HandleFunc(PathLogFaults, s.logFaults)
	s.mux.HandleFunc(PathTotals, s.report)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	var in platformhttp.AppendRequest
	if !decode(w, r, &in) {
		return
	}
	offset, err := s.store.Append(r.Context(), in.Stream, in.Payload)
	if errors.Is(err, platform.ErrUnknownOutcome) {
		panic(http.ErrAbortHandler)
	}
	reply(w, platformhttp.AppendResponse{Offset: offset}, err)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	var in platformhttp.ReadRequest
	if !decode(w, r, &in) {
		return
	}
	res, err := s.store.Read(r.Context(), in.Stream, in.From, in.Limit, in.Wait)
	reply(w, res, err)
}

func (s *Server) logFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		reply(w, s.store.Faults(), nil)
		return
	}
	var in logstore.Faults
	if !decode(w, r, &in) {
		return
	}
	s.store.SetFaults(in)
	reply(w, in, nil)
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	appends, bytes := s.store.Totals()
	reply(w, Totals{Appends: appends, LogBytes: bytes}, nil)
}

func decode(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := json.NewDecoder(r.Body).Decode(in); err != nil {
		http.Error(w, "body is not the expected JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, out any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err == nil {
		_ = json.NewEncoder(w).Encode(out)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	for name, known := range platformhttp.ErrorsByName {
		if errors.Is(err, known) {
			_ = json.NewEncoder(w).Encode(platformhttp.ErrorBody{Error: name})
			return
		}
	}
}
