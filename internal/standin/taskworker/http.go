package taskworker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// heartbeatInterval is the time between two heartbeats.
const heartbeatInterval = 300 * time.Millisecond

// heartbeatTimeout bounds one heartbeat's HTTP request.
const heartbeatTimeout = time.Second

// Handler returns the HTTP handler of the protocol by which an agent calls its worker.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.intercept(w.handleStart))
	mux.HandleFunc("POST /v1/run-stop", w.intercept(w.handleStop))
	mux.HandleFunc("POST /v1/hold", w.intercept(w.handleHold))
	mux.HandleFunc("POST /v1/pace", w.intercept(func(rw http.ResponseWriter, _ *http.Request) { w.writeReply(rw, http.StatusOK, nil) }))
	return mux
}

// intercept injects Faults.Hang and rejects, with status 421, calls that are meant for
// another instance, such as an earlier incarnation at the same address.
func (w *Worker) intercept(next http.HandlerFunc) http.HandlerFunc {
	return func(plain http.ResponseWriter, r *http.Request) {
		rw := replyWriter{plain, w}
		w.mu.Lock()
		hang := w.faults.Hang
		w.mu.Unlock()
		if hang {
			// The server detects a closed connection only once the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if id := r.Header.Get("Chervilridge-Target-Instance"); id != "" && id != w.config.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next(rw, r)
	}
}

// replyWriter breaks the connection instead of answering once the worker has crashed.
type replyWriter struct {
	http.ResponseWriter
	worker *Worker
}

// WriteHeader implements http.ResponseWriter.
func (rw replyWriter) WriteHeader(status int) {
	if rw.worker.crashed() {
		panic(http.ErrAbortHandler)
	}
	rw.ResponseWriter.WriteHeader(status)
}

// writeReply sends a JSON object with the worker's clock, its start time and the extra
// fields.
func (w *Worker) writeReply(rw http.ResponseWriter, status int, extra map[string]any) {
	body := map[string]any{"clock-ms": w.clockTime().Milliseconds(), "born": w.startTime.UnixMilli()}
	for k, v := range extra {
		body[k] = v
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// callBody is the union of the JSON bodies of all calls. Deadlines are on the worker's
// clock, in milliseconds since the worker started.
type callBody struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	DeadlineMs int64  `json:"deadline-ms"`
	Fence      uint64 `json:"fence"`
	AckCursor  int64  `json:"ack-cursor"` // ended runs up to this number are acknowledged
	WaitMs     int64  `json:"wait-ms"`    // how long handleHold waits for a run to end
}

func decodeCall(rw http.ResponseWriter, r *http.Request) (callBody, bool) {
	var b callBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return b, false
	}
	return b, true
}

func (w *Worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	b, ok := decodeCall(rw, r)
	if !ok {
		return
	}
	deadline := time.Duration(b.DeadlineMs) * time.Millisecond
	if w.config.StartFault != nil {
		switch w.config.StartFault(b.Task) {
		case LostStartAnswer:
			w.startRun(b.Task, b.Attempt, deadline, b.Fence)
			fallthrough
		case LostStart:
			<-r.Context().Done()
			return
		}
	}
	w.mu.Lock()
	delay := w.faults.StartDelay
	w.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { w.startRun(b.Task, b.Attempt, deadline, b.Fence) })
		<-r.Context().Done()
		return
	}
	if reason := w.startRun(b.Task, b.Attempt, deadline, b.Fence); reason != "" {
		w.writeReply(rw, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	w.writeReply(rw, http.StatusOK, nil)
}

func (w *Worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	if b, ok := decodeCall(rw, r); ok {
		w.stopRun(b.Task, b.Attempt)
		w.writeReply(rw, http.StatusOK, nil)
	}
}

func (w *Worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	b, ok := decodeCall(rw, r)
	if !ok {
		return
	}
	deadline := time.Duration(b.DeadlineMs) * time.Millisecond
	running, finished := w.renewLease(deadline, b.Fence, b.AckCursor)
	if len(finished) == 0 && b.WaitMs > 0 {
		w.mu.Lock()
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(b.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		running, finished = w.renewLease(0, b.Fence, b.AckCursor)
	}
	w.writeReply(rw, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// SendHeartbeats sends heartbeats to the agent, given by host and port, until the worker is
// closed or the context ends. Failed heartbeats are not retried before the next interval.
func (w *Worker) SendHeartbeats(ctx context.Context, agent string) {
	client := &http.Client{Timeout: heartbeatTimeout}
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		if err := w.sendHeartbeat(ctx, client, agent); err != nil && ctx.Err() != nil {
			return
		}
		select {
		case <-t.C:
		case <-w.done:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (w *Worker) sendHeartbeat(ctx context.Context, client *http.Client, agent string) error {
	w.mu.Lock()
	w.heartbeats++
	body, err := json.Marshal(map[string]any{
		"backend": w.config.Service, "address": w.config.Address, "zone": w.config.DataCentre, "version": "v1", "slots": 8, "state": "ready",
		"cold-left-ms": 0, "seq": w.heartbeats, "born": w.startTime.UnixMilli(), "clock-ms": w.clockTime().Milliseconds(), "labels": w.config.Labels,
		"capacity": map[string]int{"cpu": w.config.CPUMilli, "mem-mb": w.config.MemoryMB, "gpus": 0},
	})
	w.mu.Unlock()
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/v1/instances/%s", agent, w.config.ID), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
