// Package server serves the stand-in platform over HTTP: the log, the workers
// and the switches of their faults.
package server

import (
	"encoding/json"
	"errors"
	"net/http"

	"chervilridge/internal/platform"
	"chervilridge/internal/platform/platformhttp"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/standin/worker"
)

// Paths of the fault switches and of the recorder.
const (
	PathLogFaults    = "/faults/log"
	PathWorkerFaults = "/faults/worker"
	PathRecorder     = "/recorder"
	PathForbid       = "/recorder/forbid"
)

// WorkerFaultsCall switches the faults of one worker.
type WorkerFaultsCall struct {
	Worker string        `json:"worker"`
	Faults worker.Faults `json:"faults"`
}

// ForbidCall tells the recorder that a data centre must see no start.
type ForbidCall struct {
	DataCentre string `json:"data_centre"`
	Forbidden  bool   `json:"forbidden"`
}

// RecorderAnswer is what the recorder and the log saw so far.
type RecorderAnswer struct {
	Violations []string       `json:"violations"`
	Starts     map[string]int `json:"starts"`
	Appends    uint64         `json:"appends"`
	LogBytes   uint64         `json:"log_bytes"`
}

// Server is the stand-in's http.Handler.
type Server struct {
	store    *logstore.Store
	workers  map[string]*worker.Worker
	recorder *worker.Recorder
	mux      *http.ServeMux
}

// New returns a handler for a store and workers by name.
func New(store *logstore.Store, workers map[string]*worker.Worker, recorder *worker.Recorder) *Server {
	s := &Server{store: store, workers: workers, recorder: recorder, mux: http.NewServeMux()}
	s.mux.HandleFunc(platformhttp.PathAppend, s.append)
	s.mux.HandleFunc(platformhttp.PathRead, s.read)
	s.mux.HandleFunc(PathLogFaults, s.logFaults)
	s.mux.HandleFunc(PathWorkerFaults, s.workerFaults)
	s.mux.HandleFunc(PathRecorder, s.report)
	s.mux.HandleFunc(PathForbid, s.forbid)
	for path, op := range workerOps {
		s.mux.HandleFunc(path, s.workerCall(op))
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	var in platformhttp.AppendCall
	if !decode(w, r, &in) {
		return
	}
	offset, err := s.store.Append(r.Context(), in.Stream, in.Payload)
	if errors.Is(err, platform.ErrUnknownOutcome) {
		panic(http.ErrAbortHandler)
	}
	reply(w, platformhttp.AppendAnswer{Offset: offset}, err)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	var in platformhttp.ReadCall
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

func (s *Server) workerFaults(w http.ResponseWriter, r *http.Request) {
	var in WorkerFaultsCall
	if !decode(w, r, &in) {
		return
	}
	target, ok := s.workers[in.Worker]
	if !ok {
		http.Error(w, "no such worker", http.StatusNotFound)
		return
	}
	target.SetFaults(in.Faults)
	reply(w, in, nil)
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	appends, bytes := s.store.Totals()
	reply(w, RecorderAnswer{
		Violations: s.recorder.Violations(), Starts: s.recorder.Starts(),
		Appends: appends, LogBytes: bytes,
	}, nil)
}

func (s *Server) forbid(w http.ResponseWriter, r *http.Request) {
	var in ForbidCall
	if !decode(w, r, &in) {
		return
	}
	s.recorder.ForbidStarts(in.DataCentre, in.Forbidden)
	reply(w, in, nil)
}

type workerOp func(r *http.Request, target *worker.Worker, in platformhttp.WorkerCall) (platformhttp.WorkerAnswer, error)

var workerOps = map[string]workerOp{
	platformhttp.PathDescribe: func(r *http.Request, t *worker.Worker, _ platformhttp.WorkerCall) (platformhttp.WorkerAnswer, error) {
		info, err := t.Describe(r.Context())
		return platformhttp.WorkerAnswer{Info: &info}, err
	},
	platformhttp.PathStart: func(r *http.Request, t *worker.Worker, in platformhttp.WorkerCall) (platformhttp.WorkerAnswer, error) {
		if in.Spec == nil {
			return platformhttp.WorkerAnswer{}, platform.ErrNoSuchTask
		}
		return platformhttp.WorkerAnswer{}, t.Start(r.Context(), *in.Spec)
	},
	platformhttp.PathRenew: func(r *http.Request, t *worker.Worker, in platformhttp.WorkerCall) (platformhttp.WorkerAnswer, error) {
		return platformhttp.WorkerAnswer{}, t.Renew(r.Context(), in.Key, in.Lease)
	},
	platformhttp.PathThrottle: func(r *http.Request, t *worker.Worker, in platformhttp.WorkerCall) (platformhttp.WorkerAnswer, error) {
		return platformhttp.WorkerAnswer{}, t.Throttle(r.Context(), in.Key, in.ShareMilli)
	},
	platformhttp.PathCheckpoint: func(r *http.Request, t *worker.Worker, in platformhttp.WorkerCall) (platformhttp.WorkerAnswer, error) {
		handle, err := t.Checkpoint(r.Context(), in.Key)
		return platformhttp.WorkerAnswer{Checkpoint: handle}, err
	},
	platformhttp.PathStop: func(r *http.Request, t *worker.Worker, in platformhttp.WorkerCall) (platformhttp.WorkerAnswer, error) {
		status, err := t.Stop(r.Context(), in.Key)
		return platformhttp.WorkerAnswer{Status: &status}, err
	},
	platformhttp.PathList: func(r *http.Request, t *worker.Worker, _ platformhttp.WorkerCall) (platformhttp.WorkerAnswer, error) {
		list, err := t.List(r.Context())
		return platformhttp.WorkerAnswer{List: list}, err
	},
	platformhttp.PathForget: func(r *http.Request, t *worker.Worker, in platformhttp.WorkerCall) (platformhttp.WorkerAnswer, error) {
		return platformhttp.WorkerAnswer{}, t.Forget(r.Context(), in.Key)
	},
	platformhttp.PathUsage: func(r *http.Request, t *worker.Worker, _ platformhttp.WorkerCall) (platformhttp.WorkerAnswer, error) {
		usage, err := t.Usage(r.Context())
		return platformhttp.WorkerAnswer{Usage: &usage}, err
	},
}

func (s *Server) workerCall(op workerOp) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in platformhttp.WorkerCall
		if !decode(w, r, &in) {
			return
		}
		target, ok := s.workers[in.Worker]
		if !ok {
			http.Error(w, "no such worker", http.StatusNotFound)
			return
		}
		out, err := op(r, target, in)
		reply(w, out, err)
	}
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
