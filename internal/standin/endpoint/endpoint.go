// Package endpoint is a sample endpoint for tests and the demo: it answers each request
// after a simulated processing time and counts how often each request id was processed.
package endpoint

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// HTTP headers of a request to the endpoint.
const (
	HeaderRequestID = "X-Chervil-Request-Id"
	// HeaderWorkMs is not in use: Endpoint reads the processing time from the body.
	HeaderWorkMs = "X-Standin-Work-Ms"
)

const maxBodyBytes = 8 << 20

// requestOptions controls how the endpoint processes a request. It is read from the JSON
// body; any other body gets the zero value.
type requestOptions struct {
	// WorkMs is the processing time in milliseconds, before the slowdown factor.
	WorkMs int64 `json:"work_ms"`
	// AnswerBytes is the length of the response's padding.
	AnswerBytes int `json:"answer_bytes"`
	// Truncate sends half of the response, with a larger Content-Length, and aborts the
	// connection.
	Truncate bool `json:"cut"`
}

// Response is the JSON body of the endpoint's response. Echo is the request's body.
type Response struct {
	Endpoint  string `json:"endpoint"`
	RequestID string `json:"request_id"`
	Echo      string `json:"echo"`
	Padding   string `json:"padding,omitempty"`
}

// Endpoint is the http.Handler of the sample endpoint. It is safe for concurrent use.
type Endpoint struct {
	name string

	mu       sync.Mutex
	runs     map[string]int // requests processed, by request id
	slowdown float64        // factor on the processing time
}

// New returns an endpoint that puts name into its responses.
func New(name string) *Endpoint {
	return &Endpoint{name: name, runs: map[string]int{}, slowdown: 1}
}

// SetSlowdown sets the factor by which the processing time of later requests is
// multiplied; 1 is the default.
func (e *Endpoint) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Runs returns how often each request id was processed.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for k, v := range e.runs {
		out[k] = v
	}
	return out
}

// ServeHTTP serves the health check at /healthz, the run counts at /runs, and processes a
// request at any other path.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.WriteHeader(http.StatusOK)
	case "/runs":
		writeJSON(w, e.Runs())
	default:
		e.handleRequest(w, r)
	}
}

func (e *Endpoint) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(HeaderRequestID)
	var options requestOptions
	_ = json.Unmarshal(body, &options)
	time.Sleep(e.recordRun(id, options))
	response := Response{Endpoint: e.name, RequestID: id, Echo: string(body), Padding: padding(options.AnswerBytes)}
	if options.Truncate {
		writeTruncated(w, response)
		return
	}
	writeJSON(w, response)
}

// recordRun counts a run of a request id and returns how long it has to take.
func (e *Endpoint) recordRun(id string, options requestOptions) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	d := time.Duration(options.WorkMs) * time.Millisecond
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

// writeTruncated sends half of the response and aborts the connection.
func writeTruncated(w http.ResponseWriter, response Response) {
	encoded, err := json.Marshal(response)
	if err != nil {
		return
	}
	w.Header().Set("Content-Length", "1000000")
	_, _ = w.Write(encoded[:len(encoded)/2])
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	panic(http.ErrAbortHandler)
}
