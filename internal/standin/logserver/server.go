// Package logserver serves a logstore.Store over HTTP, with paths to inject faults and to
// read totals.
package logserver

import (
	"encoding/json"
	"errors"
	"net/http"

	"chervilridge/internal/recordlog"
	"chervilridge/internal/recordlog/recordloghttp"
	"chervilridge/internal/standin/logstore"
)

// Paths of the stand-in's own API.
const (
	PathLogFaults = "/faults/log" // GET returns logstore.Faults, any other method replaces them
	PathTotals    = "/totals"     // returns Totals
)

// Totals counts the appends that took effect and their payload bytes.
type Totals struct {
	Appends  uint64 `json:"appends"`
	LogBytes uint64 `json:"log_bytes"`
}

// Server is the http.Handler of a log.
type Server struct {
	store *logstore.Store
	mux   *http.ServeMux
}

// New returns a handler that serves the store.
func New(store *logstore.Store) *Server {
	s := &Server{store: store, mux: http.NewServeMux()}
	s.mux.HandleFunc(recordloghttp.PathAppend, s.handleAppend)
	s.mux.HandleFunc(recordloghttp.PathRead, s.handleRead)
	s.mux.HandleFunc(PathLogFaults, s.handleLogFaults)
	s.mux.HandleFunc(PathTotals, s.handleTotals)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	var in recordloghttp.AppendRequest
	if !decodeBody(w, r, &in) {
		return
	}
	offset, err := s.store.Append(r.Context(), in.Stream, in.Payload)
	if errors.Is(err, recordlog.ErrUnknownOutcome) {
		// The connection is closed without a response, so the caller can't know the outcome.
		panic(http.ErrAbortHandler)
	}
	writeReply(w, recordloghttp.AppendResponse{Offset: offset}, err)
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	var in recordloghttp.ReadRequest
	if !decodeBody(w, r, &in) {
		return
	}
	res, err := s.store.Read(r.Context(), in.Stream, in.From, in.Limit, in.Wait)
	writeReply(w, res, err)
}

func (s *Server) handleLogFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writeReply(w, s.store.Faults(), nil)
		return
	}
	var in logstore.Faults
	if !decodeBody(w, r, &in) {
		return
	}
	s.store.SetFaults(in)
	writeReply(w, in, nil)
}

func (s *Server) handleTotals(w http.ResponseWriter, _ *http.Request) {
	appends, bytes := s.store.Totals()
	writeReply(w, Totals{Appends: appends, LogBytes: bytes}, nil)
}

// decodeBody decodes the JSON body into in. On failure it answers with status 400 and
// returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := json.NewDecoder(r.Body).Decode(in); err != nil {
		http.Error(w, "body is not the expected JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeReply sends out as JSON, or, if err is not nil, status 503 and the name of err.
func writeReply(w http.ResponseWriter, out any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err == nil {
		_ = json.NewEncoder(w).Encode(out)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	for name, known := range recordloghttp.ErrorsByName {
		if errors.Is(err, known) {
			_ = json.NewEncoder(w).Encode(recordloghttp.ErrorBody{Error: name})
			return
		}
	}
}
