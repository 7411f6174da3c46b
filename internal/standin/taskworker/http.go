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

// heartbeatInterval is how often a worker registers.
const heartbeatInterval = 300 * time.Millisecond

// heartbeatTimeout bounds one registration.
const heartbeatTimeout = time.Second

// Handler returns the HTTP handler that the agent calls.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.guard(w.handleStart))
	mux.HandleFunc("POST /v1/run-stop", w.guard(w.handleStop))
	mux.HandleFunc("POST /v1/hold", w.guard(w.handleHold))
	mux.HandleFunc("POST /v1/pace", w.guard(func(rw http.ResponseWriter, _ *http.Request) { w.reply(rw, http.StatusOK, nil) }))
	return mux
}

func (w *Worker) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		hang := w.faults.Hang
		w.mu.Unlock()
		if hang {
			_, _ = io.Copy(io.Discard, r.Body) // a closed connection shows only behind the body
			<-r.Context().Done()
			return
		}
		if id := r.Header.Get("Chervilridge-Target-Instance"); id != "" && id != w.shape.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next(rw, r)
	}
}

func (w *Worker) reply(rw http.ResponseWriter, status int, more map[string]any) {
	body := map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
	for k, v := range more {
		body[k] = v
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

type orderBody struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	DeadlineMs int64  `json:"deadline-ms"`
	Fence      uint64 `json:"fence"`
	Cursor     int64  `json:"ack-cursor"`
	WaitMs     int64  `json:"wait-ms"`
}

func decode(rw http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var b orderBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return b, false
	}
	return b, true
}

func (w *Worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	b, ok := decode(rw, r)
	if !ok {
		return
	}
	deadline := time.Duration(b.DeadlineMs) * time.Millisecond
	w.mu.Lock()
	late := w.faults.LateStarts
	w.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { w.start(b.Task, b.Attempt, deadline, b.Fence) })
		<-r.Context().Done()
		return
	}
	if reason := w.start(b.Task, b.Attempt, deadline, b.Fence); reason != "" {
		w.reply(rw, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	w.reply(rw, http.StatusOK, nil)
}

func (w *Worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	if b, ok := decode(rw, r); ok {
		w.stop(b.Task, b.Attempt)
		w.reply(rw, http.StatusOK, nil)
	}
}

func (w *Worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	b, ok := decode(rw, r)
	if !ok {
		return
	}
	deadline := time.Duration(b.DeadlineMs) * time.Millisecond
	running, finished := w.hold(deadline, b.Fence, b.Cursor)
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
		running, finished = w.hold(0, b.Fence, b.Cursor)
	}
	w.reply(rw, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// Register sends heartbeats to the agent until the life or the context ends.
func (w *Worker) Register(ctx context.Context, agent string) {
	client := &http.Client{Timeout: heartbeatTimeout}
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		if err := w.heartbeat(ctx, client, agent); err != nil && ctx.Err() != nil {
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

func (w *Worker) heartbeat(ctx context.Context, client *http.Client, agent string) error {
	w.mu.Lock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"backend": w.shape.Service, "address": w.shape.Address, "zone": w.shape.DataCentre, "version": "v1", "slots": 8, "state": state,
		"cold-left-ms": 0, "seq": w.sequence, "born": w.born.UnixMilli(), "clock-ms": w.clock().Milliseconds(), "labels": w.shape.Labels,
		"capacity": map[string]int{"cpu": w.shape.CPUMilli, "mem-mb": w.shape.MemoryMB, "gpus": 0},
	})
	w.mu.Unlock()
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/v1/instances/%s", agent, w.shape.ID), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
