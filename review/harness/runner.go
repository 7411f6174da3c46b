//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	stopTime     = 50 * time.Millisecond
	maxHold      = 6 * time.Second
	startupTime  = 300 * time.Millisecond // of a lasting task
	tickInterval = 5 * time.Millisecond
)

// taskKind is how the tasks of a job behave on a runner.
type taskKind struct {
	work  time.Duration // how long a task works; ignored if lasts is set
	lasts bool
	// crashAfter is the age at which a run crashes its runner; 0 is never.
	crashAfter time.Duration
}

// run is an attempt of a task on a runner.
type run struct {
	task    string
	attempt uint32
	began   time.Time
	stopAt  time.Time
	pace    int
}

// life is one incarnation of a runner.
type life struct {
	id       string
	born     time.Time
	seq      int64
	running  map[string]*run
	finished [][]any
	ends     int64
	fence    uint64
	leaseEnd time.Duration // on the life's clock
	closed   map[string]uint32
}

func (l *life) clock() time.Duration { return time.Since(l.born) }

func (l *life) name() string { return fmt.Sprintf("%s/%d", l.id, l.born.UnixMilli()) }

// runner is a stand-in for a runner on a side machine: one address, one life after the other.
type runner struct {
	number     int
	machine    string
	address    string // at which the agent beside it calls
	control    string // of that agent
	zone       string
	service    string
	labels     []string
	cpu, memMB int
	journal    *journal
	kindOf     func(task string) taskKind
	// restartAfter is how long the runner is down after a crash caused by a task.
	restartAfter time.Duration

	mu      sync.Mutex
	life    *life // nil while the runner is down
	silent  bool  // no call is answered and no heartbeat sent
	hanging bool  // no call is answered
	conns   map[net.Conn]bool
	changed chan struct{}
	lives   int

	listener net.Listener
	cancel   context.CancelFunc
	ctx      context.Context
}

func (r *runner) start() error {
	r.changed = make(chan struct{})
	r.conns = map[net.Conn]bool{}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.begin(fmt.Sprintf("i-%02d-%06x", r.number, time.Now().UnixNano()&0xffffff))
	if err := r.listen(); err != nil {
		return err
	}
	go r.tickLoop()
	go r.heartbeatLoop(0)
	return nil
}

// begin starts a new life with the id.
func (r *runner) begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives++
	r.life = &life{id: id, born: time.Now(), running: map[string]*run{}, closed: map[string]uint32{}}
	r.journal.log("runner %d: life %s begins", r.number, r.life.name())
}

func (r *runner) listen() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.listener = l
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", r.call(r.handleStart))
	mux.HandleFunc("POST /v1/run-stop", r.call(r.handleStop))
	mux.HandleFunc("POST /v1/hold", r.call(r.handleHold))
	mux.HandleFunc("POST /v1/pace", r.call(r.handlePace))
	server := &http.Server{Handler: mux, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		r.mu.Lock()
		defer r.mu.Unlock()
		return context.WithValue(ctx, lifeKey{}, r.life)
	}, ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(r.conns, c)
		} else {
			r.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(l) }()
	return nil
}

// lifeKey is the key of the life that a connection was opened to.
type lifeKey struct{}

// resetConnections resets the open connections of an earlier life.
func (r *runner) resetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// crash ends the life with all that runs on it. If dark is set, connections go silent;
// otherwise they are reset and new ones refused.
func (r *runner) crash(dark bool, cause string) {
	r.mu.Lock()
	l := r.life
	if l == nil {
		r.mu.Unlock()
		return
	}
	r.life, r.silent = nil, dark
	r.journal.log("runner %d: life %s crashes (%s), dark %v", r.number, l.name(), cause, dark)
	for _, x := range l.running {
		r.journal.end(r.number, l.name(), x, "lost with its runner")
	}
	r.mu.Unlock()
	if !dark {
		_ = r.listener.Close()
		r.resetConnections()
	}
}

// restart begins a new life after a crash. Its first heartbeat is sent after the delay.
func (r *runner) restart(id string, firstHeartbeat time.Duration) {
	r.mu.Lock()
	dark := r.silent
	r.mu.Unlock()
	r.begin(id)
	r.mu.Lock()
	r.silent = false
	r.mu.Unlock()
	if !dark {
		if err := r.listen(); err != nil {
			r.journal.log("runner %d: cannot listen again: %v", r.number, err)
		}
	}
	go r.heartbeatLoop(firstHeartbeat)
}

func (r *runner) setHanging(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hanging = on
	r.journal.log("runner %d: leaves calls unanswered: %v", r.number, on)
}

func (r *runner) stop() {
	r.cancel()
	_ = r.listener.Close()
	r.resetConnections()
}

// tickLoop ends runs that are due.
func (r *runner) tickLoop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if cause := r.tick(time.Now()); cause != "" {
				r.crash(false, cause)
				time.AfterFunc(r.restartAfter, func() {
					if r.ctx.Err() == nil {
						r.restart(fmt.Sprintf("i-%02d-%06x", r.number, time.Now().UnixNano()&0xffffff), 0)
					}
				})
			}
		case <-r.ctx.Done():
			return
		}
	}
}

// tick ends the runs that are due, and returns the task that crashes the runner, if any.
func (r *runner) tick(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.life
	if l == nil {
		return ""
	}
	lapsed := l.clock() > l.leaseEnd
	for _, x := range l.running {
		kind := r.kindOf(x.task)
		switch {
		case lapsed:
			r.endRun(l, x, "lapsed")
		case !x.stopAt.IsZero() && now.After(x.stopAt):
			r.endRun(l, x, "stopped")
		case kind.crashAfter > 0 && now.Sub(x.began) > kind.crashAfter:
			return x.task
		case !kind.lasts && now.Sub(x.began) > kind.work:
			r.endRun(l, x, "done")
		}
	}
	return ""
}

func (r *runner) endRun(l *life, x *run, how string) {
	delete(l.running, x.task)
	l.ends++
	l.finished = append(l.finished, []any{l.ends, x.task, x.attempt, how, ""})
	l.closed[x.task] = max(l.closed[x.task], x.attempt)
	r.journal.end(r.number, l.name(), x, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

type callBody struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	Spec       string `json:"task-spec"`
	DeadlineMs int64  `json:"deadline-ms"`
	Fence      uint64 `json:"fence"`
	AckCursor  int64  `json:"ack-cursor"`
	WaitMs     int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

// call decodes a call and finds the life that it is for.
func (r *runner) call(next func(l *life, b callBody, req *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		content, err := io.ReadAll(io.LimitReader(req.Body, 1<<20))
		if err != nil {
			return
		}
		r.mu.Lock()
		l, unanswered := r.life, r.silent || r.hanging
		r.mu.Unlock()
		if openedTo, _ := req.Context().Value(lifeKey{}).(*life); !unanswered && l != nil && openedTo != l {
			resetConnection(w) // the machine that is back does not know the connection
			return
		}
		if unanswered || l == nil {
			select {
			case <-req.Context().Done():
			case <-r.ctx.Done():
			}
			return
		}
		var b callBody
		if err := json.Unmarshal(content, &b); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if target := req.Header.Get("Chervilridge-Target-Instance"); target != "" && target != l.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, reply := next(l, b, req)
		if reply == nil {
			reply = map[string]any{}
		}
		reply["clock-ms"], reply["born"] = l.clock().Milliseconds(), l.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(reply)
	}
}

// resetConnection resets the connection of a request.
func resetConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// extend extends the lease of a life up to the deadline, by maxHold from now at most.
func (l *life) extend(deadlineMs int64) {
	l.leaseEnd = max(l.leaseEnd, min(time.Duration(deadlineMs)*time.Millisecond, l.clock()+maxHold))
}

func (r *runner) handleStart(l *life, b callBody, _ *http.Request) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reject := func(reason string) (int, map[string]any) {
		r.journal.log("runner %d: start of %s attempt %d rejected: %s", r.number, b.Task, b.Attempt, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	switch {
	case b.Fence < l.fence:
		return reject("fence")
	case time.Duration(b.DeadlineMs)*time.Millisecond < l.clock():
		return reject("late")
	}
	l.fence = b.Fence
	if len(l.running) == 0 {
		l.leaseEnd = l.clock()
	}
	l.extend(b.DeadlineMs)
	if x, ok := l.running[b.Task]; ok && x.attempt == b.Attempt {
		return http.StatusOK, nil
	}
	if b.Attempt <= l.closed[b.Task] || l.running[b.Task] != nil {
		return reject("old")
	}
	x := &run{task: b.Task, attempt: b.Attempt, began: time.Now(), pace: 100}
	l.running[b.Task] = x
	r.journal.start(r.number, l.name(), x)
	return http.StatusOK, nil
}

func (r *runner) handleStop(l *life, b callBody, _ *http.Request) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Fence < l.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	l.fence = b.Fence
	r.journal.log("runner %d: life %s is told to stop %s attempt %d", r.number, l.name(), b.Task, b.Attempt)
	if x, ok := l.running[b.Task]; ok && x.attempt == b.Attempt {
		if x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
		}
		return http.StatusOK, nil
	}
	l.closed[b.Task] = max(l.closed[b.Task], b.Attempt)
	return http.StatusOK, nil
}

func (r *runner) handlePace(l *life, b callBody, _ *http.Request) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Fence < l.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	if x, ok := l.running[b.Task]; ok && x.attempt == b.Attempt {
		x.pace = b.Percent
	}
	return http.StatusOK, nil
}

func (r *runner) handleHold(l *life, b callBody, req *http.Request) (int, map[string]any) {
	r.mu.Lock()
	if b.Fence >= l.fence {
		l.fence = b.Fence
		if b.DeadlineMs > 0 {
			l.extend(b.DeadlineMs)
		}
	}
	for len(l.finished) > 0 && l.finished[0][0].(int64) <= b.AckCursor {
		r.journal.log("runner %d: end of %v attempt %v (%v) is taken note of", r.number, l.finished[0][1], l.finished[0][2], l.finished[0][3])
		l.finished = l.finished[1:]
	}
	changed, waiting := r.changed, len(l.finished) == 0 && b.WaitMs > 0
	r.mu.Unlock()
	if waiting {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond):
		case <-req.Context().Done():
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, x := range l.running {
		kind := r.kindOf(x.task)
		percent, gauge := 100, 3
		if age := time.Since(x.began); kind.lasts && age < startupTime {
			percent = int(100 * age / startupTime)
		} else if !kind.lasts {
			percent, gauge = int(min(99, 100*age/max(kind.work, time.Millisecond))), 500
		}
		running = append(running, []any{x.task, x.attempt, "", percent, gauge})
	}
	for i := 0; i < len(l.finished) && i < 500; i++ {
		finished = append(finished, l.finished[i])
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// heartbeatLoop sends the heartbeats of the present life until it ends.
func (r *runner) heartbeatLoop(first time.Duration) {
	r.mu.Lock()
	l := r.life
	r.mu.Unlock()
	wait := time.NewTimer(first)
	for {
		select {
		case <-wait.C:
		case <-r.ctx.Done():
			return
		}
		r.mu.Lock()
		if r.life != l {
			r.mu.Unlock()
			return
		}
		body := r.heartbeat(l)
		r.mu.Unlock()
		if status, err := putJSON("http://"+r.control+"/v1/instances/"+l.id, body); l.seq == 1 || status != http.StatusOK {
			r.journal.log("runner %d: heartbeat %d of life %s: status %d %v", r.number, l.seq, l.name(), status, err)
		}
		wait.Reset(heartbeatInterval)
	}
}

// heartbeat returns the next heartbeat of a life. The caller holds mu.
func (r *runner) heartbeat(l *life) map[string]any {
	l.seq++
	return map[string]any{
		"backend": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": map[string]int{"cpu": r.cpu, "mem-mb": r.memMB, "gpus": 0}, "labels": r.labels, "machine": r.machine,
		"clock-ms": l.clock().Milliseconds(), "seq": l.seq, "born": l.born.UnixMilli(),
	}
}

// putJSON sends a body with PUT and returns the status; 0 is no answer.
func putJSON(url string, body any) (int, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(content))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// journal records what was sent, answered and run, and finds tasks that run twice at a time.
type journal struct {
	mu     sync.Mutex
	out    io.Writer
	began  time.Time
	broken []string
	runs   []*record
}

// record is a run as a runner saw it.
type record struct {
	runner     int
	life       string
	task       string
	attempt    uint32
	start, end time.Time // end is zero while the run lasts
	how        string
}

func (j *journal) log(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(fmt.Sprintf(format, args...))
}

func (j *journal) write(text string) {
	_, _ = fmt.Fprintf(j.out, "%8.3f  %s\n", time.Since(j.began).Seconds(), text)
}

// breakRule records that the rule was broken.
func (j *journal) breakRule(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	j.broken = append(j.broken, text)
	j.write("RULE BROKEN: " + text)
}

func (j *journal) start(runner int, life string, x *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(fmt.Sprintf("runner %d: life %s starts %s attempt %d", runner, life, x.task, x.attempt))
	j.runs = append(j.runs, &record{runner: runner, life: life, task: x.task, attempt: x.attempt, start: x.began})
}

func (j *journal) end(runner int, life string, x *run, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(fmt.Sprintf("runner %d: life %s ends %s attempt %d: %s", runner, life, x.task, x.attempt, how))
	for _, r := range j.runs {
		if r.life == life && r.task == x.task && r.attempt == x.attempt && r.end.IsZero() {
			r.end, r.how = time.Now(), how
		}
	}
}

// snapshot returns copies of the records of the runs whose task begins with the prefix.
func (j *journal) snapshot(prefix string) []record {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []record
	for _, r := range j.runs {
		if strings.HasPrefix(r.task, prefix) {
			out = append(out, *r)
		}
	}
	return out
}

// runsAtOnce returns, for each task, the longest time during which two of its runs overlapped.
func (j *journal) runsAtOnce() map[string]time.Duration {
	all := j.snapshot("")
	now := time.Now()
	out := map[string]time.Duration{}
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.task != b.task {
				continue
			}
			from, to := a.start, a.end
			if b.start.After(from) {
				from = b.start
			}
			if to.IsZero() {
				to = now
			}
			if !b.end.IsZero() && b.end.Before(to) {
				to = b.end
			}
			if both := to.Sub(from); both > 0 {
				out[a.task] = max(out[a.task], both)
			}
		}
	}
	return out
}
