package dispatch

import (
	"sync"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/work"
)

// Stream is the connection to an agent.
type Stream interface {
	Send(*chervilv2.OwnerOrders) error
	Recv() (*chervilv2.AgentReport, error)
}

// session gathers orders for one connected agent.
type session struct {
	mu     sync.Mutex
	next   *chervilv2.OwnerOrders
	ready  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newSession() *session {
	return &session{next: &chervilv2.OwnerOrders{}, ready: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (s *session) close() { s.once.Do(func() { close(s.closed) }) }

// edit changes the orders that are sent next.
func (s *session) edit(change func(*chervilv2.OwnerOrders)) {
	s.mu.Lock()
	change(s.next)
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *session) push(o order) {
	s.edit(func(next *chervilv2.OwnerOrders) {
		switch {
		case o.start != nil:
			next.Starts = append(next.Starts, o.start)
		case o.stop != nil:
			next.Stops = append(next.Stops, o.stop)
		default:
			next.StoredEnd = max(next.StoredEnd, o.storedEnd)
			next.WorkerId, next.BornUnixMs = o.workerID, o.born
		}
	})
}

func (s *session) take() *chervilv2.OwnerOrders {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.next
	s.next = &chervilv2.OwnerOrders{}
	return out
}

// Attach serves an agent until the connection or the epoch ends.
func (e *Engine) Attach(stream Stream, entries func() []string) error {
	s := newSession()
	defer s.close()
	received := make(chan error, 1)
	go func() { received <- e.receive(stream, s) }()
	for {
		select {
		case <-s.ready:
			out := s.take()
			out.Epoch, out.Entries = e.Epoch(), entries()
			if err := stream.Send(out); err != nil {
				return err
			}
		case err := <-received:
			return err
		case <-s.closed:
			return errClosed
		}
	}
}

func (e *Engine) receive(stream Stream, s *session) error {
	name := ""
	for {
		r, err := stream.Recv()
		if err != nil {
			e.detach(name, s, err)
			return err
		}
		if name == "" {
			name = r.Node
			events.AgentAttached.Log("node", r.Node, "incarnation", r.Incarnation, "address", r.Address, "epoch", e.Epoch())
		}
		e.takeReport(s, r)
	}
}

func (e *Engine) detach(name string, s *session, cause error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n, ok := e.nodes[name]; ok && n.session == s {
		n.session = nil
		events.AgentDetached.Log("node", name, "runs", len(n.runs), "cause", cause)
	}
}

// takeReport takes in what an agent says and answers it.
func (e *Engine) takeReport(s *session, r *chervilv2.AgentReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	n := e.node(r.Node)
	if n.session != s {
		if n.session != nil {
			n.session.close()
		}
		n.session = s
		s.edit(func(next *chervilv2.OwnerOrders) {
			next.Runs, next.Interference = n.runInfos(), e.interference(n)
		})
		e.replan()
	}
	n.heard = e.clock()
	e.takeWorker(n, r.Worker)
	for _, end := range r.Ends {
		e.takeEnd(n, r.Worker, end)
	}
	for _, result := range r.Results {
		e.takeResult(n, result)
	}
	if r.Worker.GetGone() && len(n.runs) > 0 { // after the ends, which may say more
		e.loseRuns(n, nil, "worker gone")
	}
	if r.Full {
		e.reconcile(n, r)
	}
	if r.Leaving {
		n.session = nil
	}
	hold := time.Duration(0)
	if e.writer.ConfirmedFor() < ConfirmLimit && !e.silentOnRecord(n) {
		hold = e.settings.Bounds.MaxHold
		n.granted = e.clock().Add(hold)
	}
	s.edit(func(next *chervilv2.OwnerOrders) { next.Report, next.HoldMs = r.Sequence, hold.Milliseconds() })
}

// takeWorker takes in a worker's description. A new life means that the runs of the
// one before have ended.
func (e *Engine) takeWorker(n *node, w *chervilv2.Worker) {
	if w == nil || w.Id == "" {
		return
	}
	key := work.WorkerKey{Node: n.name, ID: w.Id, BornUnixMs: w.BornUnixMs}
	if n.key != key {
		events.WorkerSeen.Log("node", n.name, "worker", w.Id, "born", w.BornUnixMs, "service", w.Service, "zone", w.Zone,
			"cpuMilli", w.CpuMilli, "memoryMB", w.MemoryMb, "labels", w.Labels)
		e.loseRuns(n, &key, "another life of the worker")
		n.key, n.lastEnd, n.storedEnd, n.health, n.emptying = key, 0, 0, health{}, 0
		e.replan()
	}
	if n.worker == nil || n.worker.Listed != w.Listed || n.worker.Draining != w.Draining {
		e.replan()
	}
	n.worker = w
}

// takeEnd takes in how a run ended, and has the agent told once that is stored.
func (e *Engine) takeEnd(n *node, w *chervilv2.Worker, end *chervilv2.RunEnd) {
	if w == nil {
		return
	}
	if end.Number <= n.lastEnd {
		if end.Number <= n.storedEnd { // the agent was told over a connection that broke
			n.session.push(order{storedEnd: n.storedEnd, workerID: w.Id, born: w.BornUnixMs})
		}
		return
	}
	n.lastEnd = end.Number
	e.batch.orders = append(e.batch.orders, order{node: n.name, storedEnd: end.Number, workerID: w.Id, born: w.BornUnixMs})
	e.wake()
	ref, err := work.ParseTaskRef(end.Task)
	en, known := e.jobs[ref.Job]
	if err != nil || !known {
		events.RunUnknown.Log("task", end.Task, "attempt", end.Attempt, "node", n.name, "end", end.Kind)
		return
	}
	if h := n.runs[runKey{ref, end.Attempt}]; h != nil && end.Kind == chervilv2.EndKind_END_KIND_DONE && !h.paced {
		took := e.clock().Sub(h.ordered)
		n.health.took(float64(took)/float64(e.durations.Task(en.job.Spec.Queue)), e.clock())
		e.durations.Observe(en.job.Spec.Queue, took)
	}
	n.remove(runKey{ref, end.Attempt})
	effect := en.job.Finish(work.End{Ref: ref, Attempt: end.Attempt, Kind: end.Kind, Checkpoint: end.Checkpoint}, e.maxAttempts(en), e.wall().UnixMilli())
	events.RunEnded.Log("task", end.Task, "attempt", end.Attempt, "node", n.name, "how", end.Kind, "number", end.Number, "changed", effect.Changed)
	e.judge(n, en, ref, end.Kind)
	if !effect.Changed {
		return
	}
	e.stopAll(effect.Surplus, "no longer needed")
	if effect.JobEnded {
		events.JobEnded.Log("job", ref.Job, "phase", en.job.Phase, "queue", en.job.Spec.Queue,
			"tookMs", en.job.EndedUnixMs-en.job.Spec.AcceptedUnixMs)
	}
	e.markDirty(ref.Job, en)
	e.replan()
}

// judge learns from an end whether worker or task is at fault.
func (e *Engine) judge(n *node, en *entry, ref work.TaskRef, kind chervilv2.EndKind) {
	switch kind {
	case chervilv2.EndKind_END_KIND_DONE:
		n.health.done()
	case chervilv2.EndKind_END_KIND_FAILED:
		if en.failedOn == nil {
			en.failedOn = map[work.TaskRef]map[string]bool{}
		}
		if en.failedOn[ref] == nil {
			en.failedOn[ref] = map[string]bool{}
		}
		en.failedOn[ref][n.key.ID] = true
		if n.health.failed(e.clock()) {
			events.WorkerSuspected.Log("node", n.name, "worker", n.key.ID, "doubt", n.health.doubt, "for", n.health.penalty)
		}
	}
}

func (e *Engine) maxAttempts(en *entry) int {
	if view := e.operator(); view != nil && view.Config != nil {
		if q := view.Config.Queue(en.job.Spec.Queue); q != nil {
			return q.MaxAttempts
		}
	}
	return 0
}

// takeResult takes in the definite answer to a start or stop of a run that the worker
// does not list.
func (e *Engine) takeResult(n *node, r *chervilv2.StartResult) {
	ref, err := work.ParseTaskRef(r.Task)
	en, known := e.jobs[ref.Job]
	if err != nil || !known {
		return
	}
	run := en.job.FindRun(ref, r.Attempt)
	if run == nil || run.Worker.Node != n.name {
		return
	}
	if r.Answer == chervilv2.StartAnswer_START_ANSWER_STARTED {
		if h := n.runs[runKey{ref, r.Attempt}]; h != nil && !run.Started {
			startDelay.observe(e.clock().Sub(h.ordered))
		}
		run.Started = true
		return
	}
	if r.Answer == chervilv2.StartAnswer_START_ANSWER_TICKET {
		e.forgetTicket(run)
	}
	events.RunNotStarted.Log("task", r.Task, "attempt", r.Attempt, "node", n.name, "answer", r.Answer)
	n.remove(runKey{ref, r.Attempt})
	en.job.Drop(ref, r.Attempt)
	e.markDirty(ref.Job, en)
	e.replan()
}

// reconcile compares the worker's full list with the granted runs: orders that got lost
// are given again, and runs that nobody granted are stopped.
func (e *Engine) reconcile(n *node, r *chervilv2.AgentReport) {
	now := e.clock()
	listed := make(map[runKey]bool, len(r.Runs))
	for _, run := range r.Runs {
		ref, err := work.ParseTaskRef(run.Task)
		if err != nil {
			events.RunUnknown.LogError(err, "node", n.name)
			continue
		}
		key := runKey{ref, run.Attempt}
		listed[key] = true
		h, ok := n.runs[key]
		if !ok {
			e.stopUnknown(n, run)
			continue
		}
		e.takeProgress(h, run, now)
		if h.run.Stopping && now.Sub(h.ordered) > repeatAfter {
			e.repeat(n, h, now)
		}
	}
	e.learn(n)
	for _, end := range r.Ends {
		if ref, err := work.ParseTaskRef(end.Task); err == nil {
			listed[runKey{ref, end.Attempt}] = true
		}
	}
	for key, h := range n.runs {
		if !listed[key] && now.Sub(h.ordered) > repeatAfter {
			e.repeat(n, h, now)
		}
	}
}

func (e *Engine) takeProgress(h *held, run *chervilv2.Run, now boottime.Instant) {
	h.percent, h.gauge = run.Percent, run.Gauge
	h.paced, h.pace = run.Paced, run.Pace
	if !run.Paced || run.Pace > slowPace {
		h.slow = 0
	} else if h.slow == 0 {
		h.slow = now
	}
	if !run.Starting {
		h.run.Started = true
	}
	if run.Checkpoint != "" {
		if en, ok := e.jobs[h.run.Ref.Job]; ok {
			if _, task := en.job.Task(h.run.Ref); task != nil {
				task.Checkpoint = run.Checkpoint // stored with the job's next change
			}
		}
	}
}

// stopUnknown stops a run that was not granted, such as an order carried out late.
func (e *Engine) stopUnknown(n *node, run *chervilv2.Run) {
	if run.Starting {
		return
	}
	events.RunUnknown.Log("task", run.Task, "attempt", run.Attempt, "node", n.name)
	n.session.push(order{stop: &chervilv2.StopOrder{Task: run.Task, Attempt: run.Attempt}})
}

// repeat gives an order again; workers recognize it by the attempt.
func (e *Engine) repeat(n *node, h *held, now boottime.Instant) {
	en, ok := e.jobs[h.run.Ref.Job]
	if !ok || en.storedIn != nil {
		return
	}
	h.ordered = now
	o := order{node: n.name, run: runKey{h.run.Ref, h.run.Attempt}}
	if h.run.Stopping || en.job.Ended() {
		h.run.Stopping = true
		o.stop = &chervilv2.StopOrder{Task: h.run.Ref.String(), Attempt: h.run.Attempt}
	} else {
		o.start = e.startOrder(en, h)
	}
	events.RunOrderedAgain.Log("task", h.run.Ref.String(), "attempt", h.run.Attempt, "node", n.name, "stop", o.stop != nil)
	e.batch.orders = append(e.batch.orders, o)
	e.wake()
}
