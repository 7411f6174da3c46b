// Package endpoint is a sample endpoint: it answers requests after some work
// and counts how often each request id was run.
package endpoint

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Headers between an agent and its endpoint.
const (
	HeaderRequestID = "X-Chervil-Request-Id"
	// HeaderWorkMs asks the sample endpoint to work that many milliseconds.
	HeaderWorkMs = "X-Standin-Work-Ms"
)

const maxBodyBytes = 8 << 20

// work is what a request's body may ask of the sample endpoint.
type work struct {
	WorkMs int64 `json:"work_ms"`
	// AnswerBytes pads the answer.
	AnswerBytes int `json:"answer_bytes"`
	// Cut announces the whole length but sends half.
	Cut bool `json:"cut"`
}

// Answer is what the sample endpoint returns.
type Answer struct {
	Endpoint  string `json:"endpoint"`
	RequestID string `json:"request_id"`
	Echo      string `json:"echo"`
	Padding   string `json:"padding,omitempty"`
}

// Endpoint is an http.Handler. It is safe for concurrent use.
type Endpoint struct {
	name string

	mu       sync.Mutex
	runs     map[string]int
	slowdown float64
}

// New returns an endpoint with the name that its answers carry.
func New(name string) *Endpoint {
	return &Endpoint{name: name, runs: map[string]int{}, slowdown: 1}
}

// SetSlowdown multiplies the work of each later request.
func (e *Endpoint) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Runs returns how often each request id was run.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for k, v := range e.runs {
		out[k] = v
	}
	return out
}

// ServeHTTP runs a request, or tells health and run counts.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.WriteHeader(http.StatusOK)
	case "/runs":
		writeJSON(w, e.Runs())
	default:
		e.run(w, r)
	}
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(HeaderRequestID)
	var ask work
	_ = json.Unmarshal(body, &ask)
	time.Sleep(e.begin(id, ask))
	answer := Answer{Endpoint: e.name, RequestID: id, Echo: string(body), Padding: padding(ask.AnswerBytes)}
	if ask.Cut {
		writeCut(w, answer)
		return
	}
	writeJSON(w, answer)
}

func (e *Endpoint) begin(id string, ask work) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	d := time.Duration(ask.WorkMs) * time.Millisecond
	return time.Duration(float64(d) * e.slowdown)
}

func padding(n int) string {
	out := make([]byte, max(n, 0))
	for i := range out {
		out[i] = 'x'
	}
	return string(out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeCut(w http.ResponseWriter, answer Answer) {
	whole, err := json.Marshal(answer)
	if err != nil {
		return
	}
	w.Header().Set("Content-Length", "1000000")
	_, _ = w.Write(whole[:len(whole)/2])
	if c, ok := w.(http.Flusher); ok {
		c.Flush()
	}
	panic(http.ErrAbortHandler)
}
