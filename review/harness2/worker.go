//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxHold           = 6 * time.Second
	stopTime          = 30 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	// lasting is the duration of the runs of tasks that last.
	lasting = time.Hour
)

// workerRun is a run on a worker.
type workerRun struct {
	task     string
	attempt  uint32
	endsAt   time.Time
	outcome  string
	stopping bool
	lasts    bool // a task that lasts, which is at work
	// gang is set for a member of a gang, which started at startedAt and works for the duration.
	gang      *gangState
	startedAt time.Time
	work      time.Duration
	resumed   string // checkpoint that it was started with
}

type workerEnd struct {
	number  int64
	task    string
	attempt uint32
	how     string
	at      time.Time
	saved   string
}

// worker is a stand-in for a worker, as the users' pages describe it. It lives as long as the site.
type worker struct {
	site  *site
	index int
	id    string
	born  time.Time
	stop  chan struct{}
	beat  chan struct{} // asks for a heartbeat at once

	mu       sync.Mutex
	runs     map[string]*workerRun
	ends     []workerEnd
	last     int64
	fence    uint64
	lease    time.Time
	closed   map[string]uint32 // highest attempt that was stopped or has ended, by task
	changed  chan struct{}
	sequence int64
	server   *http.Server
	down     bool
	late     float64 // share of the calls that get no answer and are carried out late
	crashes  int
	lapsedAt time.Time
}

func newWorker(s *site, index int) *worker {
	w := &worker{
		site: s, index: index, id: fmt.Sprintf("i-%08x", 0x7f3a0000+index), born: time.Now(), stop: make(chan struct{}), beat: make(chan struct{}, 1),
		runs: map[string]*workerRun{}, closed: map[string]uint32{}, changed: make(chan struct{}),
	}
	go w.loop()
	return w
}

func (w *worker) address() string { return fmt.Sprintf("%s:%d", w.site.ip(w.index+1), appPort) }

func (w *worker) zone() string {
	if of := w.site.options.zoneOf; of != nil {
		return of(w.index)
	}
	return zone(w.index)
}

// kind is the label of the worker's kind.
func (w *worker) kind() string {
	if of := w.site.options.kindOf; of != nil {
		return of(w.index)
	}
	return []string{"a", "b"}[w.index%2]
}

// listen serves the worker's API.
func (w *worker) listen() error {
	l, err := net.Listen("tcp", w.address())
	for end := time.Now().Add(2 * time.Second); err != nil && time.Now().Before(end); l, err = net.Listen("tcp", w.address()) {
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.handler(), ReadHeaderTimeout: 10 * time.Second}
	w.mu.Lock()
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the incarnation with all that runs on it; another one begins after the time, with the same id
// or a new one.
func (w *worker) crash(after time.Duration, sameID bool) {
	w.mu.Lock()
	w.site.record.line("worker %s crashes for %v, same id %t", w.id, after, sameID)
	_ = w.server.Close()
	w.down = true
	for _, r := range w.runs {
		if r.gang != nil {
			w.site.gangs.ended(r.gang, "crashed")
		}
		w.site.journal.ended(w.id, r.task, r.attempt, "crashed")
		if c := w.site.options.checker; c != nil {
			c.end(w, r.task, r.attempt, "crashed")
		}
	}
	w.runs, w.ends, w.closed, w.fence, w.lease, w.last = map[string]*workerRun{}, nil, map[string]uint32{}, 0, time.Time{}, 0
	w.mu.Unlock()
	time.Sleep(after)
	w.mu.Lock()
	w.crashes++
	if !sameID {
		w.id = fmt.Sprintf("i-%08x", 0x7f3a0000+w.index+256*w.crashes)
	}
	w.born, w.sequence, w.down = time.Now(), 0, false
	w.mu.Unlock()
	_ = w.listen()
	select {
	case w.beat <- struct{}{}:
	default:
	}
}

func (w *worker) setLate(share float64) {
	w.mu.Lock()
	w.late = share
	w.mu.Unlock()
	w.site.record.line("worker %s leaves a share of %.1f of the orders unanswered", w.id, share)
}

func (w *worker) close() {
	close(w.stop)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server != nil {
		_ = w.server.Close()
	}
}

// held reports whether an owner has given the worker a lease.
func (w *worker) held() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.lease)
}

// loop ends runs that are due, and all runs once the lease has expired.
func (w *worker) loop() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case now := <-ticker.C:
			w.mu.Lock()
			for _, r := range w.runs {
				switch {
				case now.After(w.lease):
					w.end(r, "lapsed")
				case now.After(r.endsAt) && r.stopping:
					w.end(r, "stopped")
				case r.gang != nil && r.outcome == "done":
					if how := w.site.gangs.outcome(r.gang, r.startedAt, now, r.work); how != "" {
						w.end(r, how)
					}
				case now.After(r.endsAt):
					w.end(r, r.outcome)
				}
			}
			w.mu.Unlock()
		}
	}
}

// end lists the end of a run. The caller holds mu.
func (w *worker) end(r *workerRun, how string) {
	delete(w.runs, r.task)
	if r.gang != nil {
		w.site.gangs.ended(r.gang, how)
	}
	w.closed[r.task] = max(w.closed[r.task], r.attempt)
	w.last++
	w.ends = append(w.ends, workerEnd{w.last, r.task, r.attempt, how, time.Now(), w.checkpoint(r)})
	w.site.journal.ended(w.id, r.task, r.attempt, how)
	if c := w.site.options.checker; c != nil {
		c.end(w, r.task, r.attempt, how)
	}
	if how == "lapsed" {
		w.lapsedAt = time.Now()
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.call(w.handleStart))
	mux.HandleFunc("POST /v1/run-stop", w.call(w.handleStop))
	mux.HandleFunc("POST /v1/hold", w.call(w.handleHold))
	mux.HandleFunc("POST /v1/pace", w.call(func(call) (int, map[string]any) { return http.StatusOK, nil }))
	return mux
}

type call struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	Spec       string `json:"task-spec"`
	Deadline   int64  `json:"deadline-ms"`
	Fence      uint64 `json:"fence"`
	Ticket     string `json:"ticket"`
	Checkpoint string `json:"checkpoint"`
	Ack        int64  `json:"ack-cursor"`
	WaitMs     int64  `json:"wait-ms"`
}

func (w *worker) call(handle func(call) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("Chervilridge-Target-Instance"); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var c call
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if next, late := w.lateness(r.URL.Path); late {
			w.mu.Lock()
			born := w.born
			w.mu.Unlock()
			time.AfterFunc(next, func() {
				w.mu.Lock()
				alive := w.born.Equal(born) && !w.down
				w.mu.Unlock()
				if alive {
					_, _ = handle(c)
				}
			})
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		status, body := handle(c)
		if body == nil {
			body = map[string]any{}
		}
		body["clock-ms"], body["born"] = time.Since(w.born).Milliseconds(), w.born.UnixMilli()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body)
	}
}

// lateness reports whether an order is left unanswered, and after which time it is carried out.
func (w *worker) lateness(path string) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if path == "/v1/hold" || rand.Float64() >= w.late {
		return 0, false
	}
	return time.Duration(2000+rand.IntN(10000)) * time.Millisecond, true
}

// stepOf returns the step of a task: ID.K.STEP.
func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

func (w *worker) handleStart(c call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	refuse := func(reason string) (int, map[string]any) {
		w.site.journal.refused(w.id, c.Task, c.Attempt, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if c.Fence < w.fence {
		return refuse("fence")
	}
	w.fence = c.Fence
	deadline := w.born.Add(time.Duration(c.Deadline) * time.Millisecond)
	if time.Now().After(deadline) {
		return refuse("late")
	}
	w.extend(deadline)
	if r := w.runs[c.Task]; r != nil && r.attempt == c.Attempt {
		return http.StatusOK, nil
	} else if r != nil || c.Attempt <= w.closed[c.Task] {
		return refuse("old")
	}
	_, plain := w.site.plain.Load(jobOf(c.Task))
	if a := w.site.options.advisor; a != nil && !plain && !a.valid(stepOf(c.Task), w.id, c.Ticket) {
		return refuse("ticket")
	}
	takes, outcome := w.site.options.runOutcome(w, c.Task)
	w.runs[c.Task] = &workerRun{
		task: c.Task, attempt: c.Attempt, endsAt: time.Now().Add(takes), outcome: outcome, lasts: takes == lasting,
		gang: w.site.gangs.join(c.Task, c.Attempt), startedAt: time.Now(), work: takes, resumed: c.Checkpoint,
	}
	w.site.journal.started(w.id, c.Task, c.Attempt)
	if ch := w.site.options.checker; ch != nil {
		ch.start(w, c.Task, c.Attempt, c.Spec, c.Checkpoint)
	}
	return http.StatusOK, nil
}

// extend extends the lease. The caller holds mu.
func (w *worker) extend(deadline time.Time) {
	if time.Now().After(w.lease) {
		w.lapsedAt = time.Now()
	}
	if limit := time.Now().Add(maxHold); deadline.After(limit) {
		deadline = limit
	}
	if deadline.After(w.lease) {
		w.lease = deadline
	}
}

func (w *worker) handleStop(c call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Fence < w.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	w.fence = c.Fence
	if r := w.runs[c.Task]; r != nil && r.attempt == c.Attempt {
		if !r.stopping {
			r.stopping, r.endsAt = true, time.Now().Add(stopTime)
		}
	} else {
		w.closed[c.Task] = max(w.closed[c.Task], c.Attempt)
	}
	return http.StatusOK, nil
}

func (w *worker) handleHold(c call) (int, map[string]any) {
	w.mu.Lock()
	if c.Fence >= w.fence {
		w.fence = c.Fence
		if c.Deadline > 0 {
			w.extend(w.born.Add(time.Duration(c.Deadline) * time.Millisecond))
		}
		for len(w.ends) > 0 && w.ends[0].number <= c.Ack {
			if ch := w.site.options.checker; ch != nil {
				ch.note(w, w.ends[0].task, w.ends[0].attempt, w.ends[0].how, w.lapsedAt.After(w.ends[0].at))
			}
			w.site.journal.acknowledged(w.id, w.ends[0].task, w.ends[0].attempt, w.ends[0].how)
			w.ends = w.ends[1:]
		}
	}
	wait, changed := len(w.ends) == 0 && c.WaitMs > 0, w.changed
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-w.stop:
		case <-time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 50
		if r.lasts {
			percent = 100
		}
		running = append(running, []any{r.task, r.attempt, w.checkpoint(r), percent, 10})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// checkpoint returns the newest checkpoint of a run: one each half second, if a checker wants them.
func (w *worker) checkpoint(r *workerRun) string {
	n := int(time.Since(r.startedAt) / (500 * time.Millisecond))
	if w.site.options.checker == nil || r.lasts || n == 0 {
		return r.resumed
	}
	return fmt.Sprintf("%s#%d.%d", r.task, r.attempt, n)
}

// sendHeartbeats reports the worker to the agent on its machine.
func (w *worker) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	for {
		interval := heartbeatInterval
		if w.sendHeartbeat(client) != nil {
			interval = 200 * time.Millisecond
		}
		select {
		case <-w.stop:
			return
		case <-w.beat:
		case <-time.After(interval):
		}
	}
}

func (w *worker) sendHeartbeat(client *http.Client) error {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return nil
	}
	id := w.id
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"backend": serviceName, "address": w.address(), "zone": w.zone(), "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": map[string]int{"cpu": w.site.options.workerCPUMilli, "mem-mb": w.site.options.workerMemoryMB, "gpus": 0},
		"labels":   []string{w.kind(), fmt.Sprintf("r1-%d", w.index/3)}, "clock-ms": time.Since(w.born).Milliseconds(), "born": w.born.UnixMilli(), "seq": w.sequence,
	})
	w.mu.Unlock()
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/v1/instances/%s", w.site.ip(w.index+1), controlPort, id), bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
