//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Figures of the platform's workers.
const (
	workerMaxHold  = 6 * time.Second
	endsAtATime    = 500
	stopTakes      = 30 * time.Millisecond
	heartbeatEvery = 1500 * time.Millisecond
	maxHoldWait    = 2 * time.Second
)

// taskRun is a run on a worker.
type taskRun struct {
	task    string
	attempt uint32
	ends    time.Time
	how     string // with which it ends then
}

// taskEnd is the end of a run, which is listed until it is acknowledged.
type taskEnd struct {
	number  int64
	task    string
	attempt uint32
	how     string
}

// worker is a stand-in for a runner: one incarnation, as the pages describe it.
type worker struct {
	id, address, zone string
	cpu, memoryMB     int
	labels            []string
	born              time.Time
	// duration returns how long a run takes.
	duration func(task string) time.Duration
	runs     *runLog

	mu       sync.Mutex
	running  map[string]*taskRun
	ended    []taskEnd
	numbers  int64
	closed   map[string]uint32 // highest attempt that was stopped or has ended
	fence    uint64
	leaseEnd time.Time
	over     bool // the lease has lapsed
	lapsed   []time.Time
	changed  chan struct{}
	gone     chan struct{}
	beats    int
}

func newWorker(id, address, zone string, runs *runLog, duration func(string) time.Duration) *worker {
	w := &worker{
		id: id, address: address, zone: zone, cpu: 32000, memoryMB: 128000, labels: []string{"a", "r1-" + id}, born: time.Now(), duration: duration, runs: runs,
		running: map[string]*taskRun{}, closed: map[string]uint32{}, changed: make(chan struct{}), gone: make(chan struct{}),
	}
	go w.loop()
	return w
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// loop ends the runs that are due, and all of them once the lease has expired.
func (w *worker) loop() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.gone:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		now := time.Now()
		if w.lapses(now) {
			for _, r := range w.running {
				w.end(r, "lapsed")
			}
		}
		for _, r := range w.running {
			if now.After(r.ends) {
				w.end(r, r.how)
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (w *worker) end(r *taskRun, how string) {
	delete(w.running, r.task)
	w.closed[r.task] = max(w.closed[r.task], r.attempt)
	w.numbers++
	w.ended = append(w.ended, taskEnd{w.numbers, r.task, r.attempt, how})
	w.runs.end(w.id, r.task, r.attempt, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerCall struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	DeadlineMs int64  `json:"deadline-ms"`
	Fence      uint64 `json:"fence"`
	AckCursor  int64  `json:"ack-cursor"`
	WaitMs     int64  `json:"wait-ms"`
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	for path, handle := range map[string]func(context.Context, workerCall) (int, map[string]any){
		"/v1/run-start": w.start, "/v1/run-stop": w.stop, "/v1/hold": w.hold, "/v1/pace": w.pace,
	} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			var c workerCall
			if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
			if id := r.Header.Get("Chervilridge-Target-Instance"); id != "" && id != w.id {
				rw.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			status, body := handle(r.Context(), c)
			body["clock-ms"], body["born"] = w.clock(), w.born.UnixMilli()
			answer(rw, status, body)
		})
	}
	return mux
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// lapses reports whether the lease is over, and records that it has lapsed. The caller holds mu.
func (w *worker) lapses(now time.Time) bool {
	if w.leaseEnd.IsZero() || !now.After(w.leaseEnd) {
		return false
	}
	if !w.over {
		w.over, w.lapsed = true, append(w.lapsed, w.leaseEnd)
	}
	return true
}

// extend extends the lease to a time on the worker's clock. The caller holds mu.
func (w *worker) extend(deadlineMs int64) {
	end := min(time.Duration(deadlineMs)*time.Millisecond, time.Since(w.born)+workerMaxHold)
	if at := w.born.Add(end); at.After(w.leaseEnd) {
		w.lapses(time.Now())
		w.leaseEnd, w.over = at, false
	}
}

func (w *worker) start(_ context.Context, c workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Fence < w.fence {
		return refused("fence")
	}
	w.fence = c.Fence
	if c.DeadlineMs < w.clock() {
		return refused("late")
	}
	w.extend(c.DeadlineMs)
	if r := w.running[c.Task]; r != nil && r.attempt == c.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if w.running[c.Task] != nil || c.Attempt <= w.closed[c.Task] {
		return refused("old")
	}
	w.running[c.Task] = &taskRun{task: c.Task, attempt: c.Attempt, ends: time.Now().Add(w.duration(c.Task)), how: "done"}
	w.runs.start(w.id, c.Task, c.Attempt)
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(_ context.Context, c workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Fence < w.fence {
		return refused("fence")
	}
	w.fence = c.Fence
	if r := w.running[c.Task]; r != nil && r.attempt == c.Attempt {
		if at := time.Now().Add(stopTakes); at.Before(r.ends) {
			r.ends, r.how = at, "stopped"
		}
	} else {
		w.closed[c.Task] = max(w.closed[c.Task], c.Attempt)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) pace(context.Context, workerCall) (int, map[string]any) {
	return http.StatusOK, map[string]any{}
}

// hold renews the lease, forgets acknowledged ends and lists the others, the oldest first.
func (w *worker) hold(ctx context.Context, c workerCall) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Fence < w.fence {
		return refused("fence")
	}
	w.fence = c.Fence
	if c.DeadlineMs > 0 {
		w.extend(c.DeadlineMs)
	}
	for len(w.ended) > 0 && w.ended[0].number <= c.AckCursor {
		e := w.ended[0]
		w.runs.acknowledge(w.id, e.task, e.attempt)
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && c.WaitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-w.gone:
		case <-time.After(min(time.Duration(c.WaitMs)*time.Millisecond, maxHoldWait)):
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.attempt, "", 50, 10})
	}
	for _, e := range w.ended[:min(len(w.ended), endsAtATime)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// beat sends a heartbeat to the agent every heartbeatEvery, and more often until one is acknowledged.
func (w *worker) beat(ctx context.Context, control string) {
	client := &http.Client{Timeout: time.Second}
	for pause := time.Duration(0); ; {
		select {
		case <-ctx.Done():
			return
		case <-w.gone:
			return
		case <-time.After(pause):
		}
		w.mu.Lock()
		w.beats++
		body, _ := json.Marshal(map[string]any{
			"backend": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]int{"cpu": w.cpu, "mem-mb": w.memoryMB, "gpus": 0}, "labels": w.labels, "clock-ms": w.clock(), "born": w.born.UnixMilli(), "seq": w.beats, "machine": "m-" + w.id,
		})
		w.mu.Unlock()
		pause = heartbeatEvery / 5
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/v1/instances/"+w.id, bytes.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Content-Type", "application/json")
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				pause = heartbeatEvery
			}
		}
	}
}

// close ends the worker as a crash does.
func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.gone:
		return
	default:
		close(w.gone)
	}
	for _, r := range w.running {
		w.runs.end(w.id, r.task, r.attempt, "crashed")
	}
	w.running = map[string]*taskRun{}
}

// runEvent is what a run log keeps of a run.
type runEvent struct {
	worker       string
	attempt      uint32
	started      time.Time
	ended        time.Time
	how          string
	acknowledged time.Time
}

// runLog keeps the runs of all workers and finds what breaks TWICE.
type runLog struct {
	record *record
	mu     sync.Mutex
	runs   map[string][]*runEvent // by task
}

func newRunLog(r *record) *runLog { return &runLog{record: r, runs: map[string][]*runEvent{}} }

func (l *runLog) start(worker, task string, attempt uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[task] = append(l.runs[task], &runEvent{worker: worker, attempt: attempt, started: time.Now()})
	l.record.log("%s starts %s attempt %d", worker, task, attempt)
}

func (l *runLog) find(worker, task string, attempt uint32) *runEvent {
	for _, r := range l.runs[task] {
		if r.worker == worker && r.attempt == attempt {
			return r
		}
	}
	return &runEvent{}
}

func (l *runLog) end(worker, task string, attempt uint32, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.find(worker, task, attempt)
	r.ended, r.how = time.Now(), how
	l.record.log("%s ends %s attempt %d: %s", worker, task, attempt, how)
}

func (l *runLog) acknowledge(worker, task string, attempt uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.find(worker, task, attempt).acknowledged = time.Now()
}

// counts returns the number of starts, and of runs that ended done.
func (l *runLog) counts() (starts, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.runs {
		for _, r := range runs {
			starts++
			if r.how == "done" {
				done++
			}
		}
	}
	return starts, done
}

// twice returns what breaks TWICE: two runs of a task at the same time, or a start after a run has ended done whose
// end was taken note of. lapses are the times at which leases of a worker lapsed: an end before one that
// was acknowledged after it does not count.
func (l *runLog) twice(lapses map[string][]time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for task, runs := range l.runs {
		for i, a := range runs {
			lapsed := slices.ContainsFunc(lapses[a.worker], func(at time.Time) bool { return at.After(a.ended) && at.Before(a.acknowledged) })
			for _, b := range runs[i+1:] {
				switch {
				case a.ended.IsZero() || b.started.Before(a.ended):
					out = append(out, fmt.Sprintf("%s: attempt %d starts on %s while attempt %d runs on %s", task, b.attempt, b.worker, a.attempt, a.worker))
				case a.how == "done" && !a.acknowledged.IsZero() && !lapsed:
					out = append(out, fmt.Sprintf("%s: attempt %d starts on %s %.3f s after attempt %d ended done on %s, which was acknowledged %.3f s after its end; it ends %q",
						task, b.attempt, b.worker, b.started.Sub(a.ended).Seconds(), a.attempt, a.worker, a.acknowledged.Sub(a.ended).Seconds(), b.how))
				}
			}
		}
	}
	slices.Sort(out)
	return out
}
