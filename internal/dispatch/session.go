package dispatch

import (
	"slices"
	"sync"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/jobstate"
)

// AgentStream is the connection to an agent.
type AgentStream interface {
	Send(*chervilv2.OwnerOrders) error
	Recv() (*chervilv2.AgentReport, error)
}

// session collects the orders for one attached agent.
type session struct {
	mu      sync.Mutex
	pending *chervilv2.OwnerOrders
	wakeCh  chan struct{}
	closed  chan struct{}
	once    sync.Once
	// replaced is set once a later session has taken its place; Engine.mu guards it.
	replaced bool
}

func newSession() *session {
	return &session{pending: &chervilv2.OwnerOrders{}, wakeCh: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (s *session) close() { s.once.Do(func() { close(s.closed) }) }

// update changes the orders that are sent next and wakes the sender.
func (s *session) update(change func(*chervilv2.OwnerOrders)) {
	func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		change(s.pending)
	}()
	select {
	case s.wakeCh <- struct{}{}:
	default:
	}
}

// addOrder adds an order to the next message. A message starts runs on one incarnation of the
// worker and acknowledges only its ends, so that a newer incarnation voids what is pending for
// an earlier one.
func (s *session) addOrder(o order) {
	s.update(func(next *chervilv2.OwnerOrders) {
		if o.stop != nil {
			next.Stops = append(next.Stops, o.stop)
			return
		}
		if next.WorkerId != o.worker.ID || next.BornUnixMs != o.worker.BornUnixMs {
			next.Starts, next.StoredEnd, next.WorkerEndStored = nil, 0, false
			next.WorkerId, next.BornUnixMs = o.worker.ID, o.worker.BornUnixMs
		}
		if o.start != nil {
			next.Starts = append(next.Starts, o.start)
			next.WorkerEndStored = false
		}
		next.StoredEnd = max(next.StoredEnd, o.storedEnd)
		next.WorkerEndStored = next.WorkerEndStored || o.workerEnd
	})
}

func (s *session) takePending() *chervilv2.OwnerOrders {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.pending
	s.pending = &chervilv2.OwnerOrders{}
	return out
}

// Attach serves an agent until its connection or the epoch ends. It calls entries for the
// sorted addresses of the live entries; a message to the agent carries them if they changed.
func (e *Engine) Attach(stream AgentStream, entries func() []string) error {
	s := newSession()
	defer s.close()
	received := make(chan error, 1)
	go func() { received <- e.receive(stream, s) }()
	var sentEntries []string
	for {
		select {
		case <-s.wakeCh:
			out := s.takePending()
			out.Epoch = e.Epoch()
			if live := entries(); !slices.Equal(live, sentEntries) {
				out.Entries, sentEntries = live, live
			}
			if err := stream.Send(out); err != nil {
				return err
			}
		case err := <-received:
			return err
		case <-s.closed:
			return errNotOwner
		}
	}
}

func (e *Engine) receive(stream AgentStream, s *session) error {
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
		e.handleReport(s, r)
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

// handleReport processes an agent's report and acknowledges it with a lease, if one may
// be granted.
func (e *Engine) handleReport(s *session, r *chervilv2.AgentReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || s.replaced { // what is still read may be older than what the present session has reported
		return
	}
	n := e.node(r.Node)
	if n.session != s {
		if n.session != nil {
			n.session.replaced = true
			n.session.close()
		}
		n.session = s
		s.update(func(next *chervilv2.OwnerOrders) {
			next.Runs, next.Interference = n.runInfos(), e.interferenceFor(n)
		})
		e.replan()
	}
	n.lastReport = e.clock()
	n.agentRestarted = n.agentRestarted || n.agentIncarnation != "" && n.agentIncarnation != r.Incarnation
	n.agentIncarnation, n.agentLeft = r.Incarnation, r.Leaving
	for _, crash := range r.Crashes {
		if crash.WorkerId != r.Worker.GetId() || crash.BornUnixMs != r.Worker.GetBornUnixMs() {
			e.handleCrash(n, crash)
		}
	}
	present := e.updateWorker(n, r.Worker)
	if present && r.Worker.GetId() != "" {
		for _, end := range r.Ends {
			e.handleEnd(n, end)
		}
	}
	for _, crash := range r.Crashes { // of this incarnation, whose reported ends take precedence
		e.handleCrash(n, crash)
	}
	for _, result := range r.Results {
		e.handleResult(n, result)
	}
	if present && r.Worker.GetGone() && len(n.runs) > 0 { // the reported ends take precedence
		e.loseRuns(n, r)
	}
	if present && r.Worker.GetGone() {
		e.confirmWorkerEnd(n, jobstate.WorkerKey{Node: n.name, ID: r.Worker.Id, BornUnixMs: r.Worker.BornUnixMs})
	}
	if r.Full {
		e.settleEarlierRuns(n, r)
		e.reconcile(n, r)
	}
	if n.leasable {
		n.lastListed = e.clock()
		n.agentRestarted = n.agentRestarted && !r.Full
	}
	if r.Leaving {
		n.session = nil
	}
	lease := time.Duration(0)
	if n.leasable && !n.withholdsLease(e.clock()) && e.writer.SinceConfirmed() < MaxConfirmationAge && !e.removeUnreachable(n) {
		lease = e.settings.Bounds.MaxLease
		n.lastGrant = e.clock()
		n.leaseUntil = n.lastGrant.Add(lease)
	}
	s.update(func(next *chervilv2.OwnerOrders) { next.Report, next.HoldMs = r.Sequence, lease.Milliseconds() })
}

// updateWorker records a worker's description. It reports whether the description is of the
// worker that is present. Another incarnation than the known one is present only once it has
// listed its runs, or has ended after that: until then it is what a heartbeat claims.
func (e *Engine) updateWorker(n *node, w *chervilv2.Worker) (present bool) {
	n.leasable = w.GetListed() && !w.GetGone()
	if !w.GetGone() {
		n.withdrawWorkerEnd()
	}
	if w.GetId() == "" {
		n.worker = nil
		return true
	}
	key := jobstate.WorkerKey{Node: n.name, ID: w.Id, BornUnixMs: w.BornUnixMs}
	if n.key != key && !n.leasable && (!w.Gone || n.knowsLaterThan(key)) {
		if n.worker != nil {
			events.WorkerUnproved.Log("node", n.name, "worker", w.Id, "born", w.BornUnixMs, "known", n.key.ID, "knownBorn", n.key.BornUnixMs, "gone", w.Gone)
			e.replan()
		}
		n.worker = nil
		return false
	}
	if n.key != key {
		events.WorkerRegistered.Log("node", n.name, "worker", w.Id, "born", w.BornUnixMs, "service", w.Service, "zone", w.Zone,
			"cpuMilli", w.CpuMilli, "memoryMB", w.MemoryMb, "labels", w.Labels)
		n.key, n.lastEnd, n.storedEnd, n.health, n.drainingSince = key, 0, 0, health{}, 0
		e.replan()
	}
	if n.leasable && key == n.crashed {
		e.takeBackCrash(n)
	}
	if n.worker == nil || n.worker.Listed != w.Listed || n.worker.Draining != w.Draining {
		e.replan()
	}
	n.worker = w
	return true
}

// handleEnd processes the end of a run on the present worker, and acknowledges it to the agent
// once it is stored.
func (e *Engine) handleEnd(n *node, end *chervilv2.RunEnd) {
	if end.Number <= n.lastEnd {
		if end.Number <= n.storedEnd { // repeat a lost acknowledgement
			n.session.addOrder(order{storedEnd: n.storedEnd, worker: n.key})
		}
		return
	}
	n.lastEnd = end.Number
	e.batch.orders = append(e.batch.orders, order{node: n.name, storedEnd: end.Number, worker: n.key})
	e.wake()
	ref, err := jobstate.ParseTaskRef(end.Task)
	en, known := e.jobs[ref.Job]
	if err != nil || !known {
		events.RunUnknown.Log("task", end.Task, "attempt", end.Attempt, "node", n.name, "end", end.Kind)
		return
	}
	if tr := n.runs[runKey{ref, end.Attempt}]; tr != nil && end.Kind == chervilv2.EndKind_END_KIND_DONE && !tr.paced {
		took := e.clock().Sub(tr.orderedAt)
		n.health.recordDuration(float64(took)/float64(e.durations.Estimate(en.job.Spec.Queue)), e.clock())
		e.durations.Observe(en.job.Spec.Queue, took)
		e.lookahead.observe(en.job.Spec.Queue, tr.step, took)
	}
	n.removeRun(runKey{ref, end.Attempt})
	delete(en.waits, ref)
	effect := en.job.FinishRun(jobstate.RunEnd{Ref: ref, Attempt: end.Attempt, Kind: end.Kind, Checkpoint: end.Checkpoint}, e.maxAttempts(en), e.wall().UnixMilli())
	events.RunEnded.Log("task", end.Task, "attempt", end.Attempt, "node", n.name, "how", end.Kind, "number", end.Number, "changed", effect.Changed)
	e.recordOutcome(n, en, ref, end.Kind)
	if !effect.Changed {
		return
	}
	e.orderStops(effect.RunsToStop, "run no longer needed")
	if effect.JobEnded {
		events.JobEnded.Log("job", ref.Job, "phase", en.job.Phase, "queue", en.job.Spec.Queue,
			"tookMs", en.job.EndedUnixMs-en.job.Spec.AcceptedUnixMs)
		e.observeForecastError(en)
	}
	e.markDirty(ref.Job, en)
	e.replan()
}

// recordOutcome updates the worker's health with the end of a run, and remembers on which
// workers a task failed.
func (e *Engine) recordOutcome(n *node, en *jobEntry, ref jobstate.TaskRef, kind chervilv2.EndKind) {
	switch kind {
	case chervilv2.EndKind_END_KIND_DONE:
		n.health.recordSuccess()
	case chervilv2.EndKind_END_KIND_FAILED:
		if en.failedOn == nil {
			en.failedOn = map[jobstate.TaskRef]map[string]bool{}
		}
		if en.failedOn[ref] == nil {
			en.failedOn[ref] = map[string]bool{}
		}
		en.failedOn[ref][n.key.ID] = true
		if n.health.recordFailure(e.clock()) {
			events.WorkerQuarantined.Log("node", n.name, "worker", n.key.ID, "doubt", n.health.failureScore, "for", n.health.quarantineTime)
		}
	}
}

// maxAttempts returns the number of failed runs of a task at which the job fails; 0 means no
// limit, or none known yet.
func (e *Engine) maxAttempts(en *jobEntry) int {
	e.bindQueues()
	if en.queue == nil {
		return 0
	}
	return en.queue.MaxAttempts
}

// handleResult processes the definite answer to a start order, or to a stop order for a
// run that the worker does not list. Unless the run has started, its grant is dropped.
func (e *Engine) handleResult(n *node, r *chervilv2.StartResult) {
	ref, err := jobstate.ParseTaskRef(r.Task)
	en, known := e.jobs[ref.Job]
	if err != nil || !known {
		return
	}
	run := en.job.FindRun(ref, r.Attempt)
	if run == nil || run.Worker.Node != n.name {
		return
	}
	if r.Answer == chervilv2.StartAnswer_START_ANSWER_STARTED {
		if tr := n.runs[runKey{ref, r.Attempt}]; tr != nil && !run.Started {
			startDelay.observe(e.clock().Sub(tr.orderedAt))
		}
		if tr := n.runs[runKey{ref, r.Attempt}]; tr != nil {
			e.confirmStart(tr, e.clock())
		}
		return
	}
	if r.Answer == chervilv2.StartAnswer_START_ANSWER_TICKET {
		e.discardTicket(run)
	}
	events.RunNotStarted.Log("task", r.Task, "attempt", r.Attempt, "node", n.name, "answer", r.Answer)
	if wait := en.waits[ref]; wait != nil {
		wait.notStarted++
	}
	if !run.Stopping && r.Answer != chervilv2.StartAnswer_START_ANSWER_TICKET {
		en.recordRefusal(ref, run.Worker.ID, e.clock())
	}
	if tr := n.runs[runKey{ref, r.Attempt}]; tr != nil {
		e.dropRun(n, tr)
	} else {
		en.job.DropRun(ref, r.Attempt)
		e.markDirty(ref.Job, en)
	}
	e.replan()
}

// reconcile compares the worker's full list of runs with the granted ones. It repeats
// orders that were lost and stops runs that were not granted.
func (e *Engine) reconcile(n *node, r *chervilv2.AgentReport) {
	now := e.clock()
	listed := make(map[runKey]bool, len(r.Runs))
	for _, run := range r.Runs {
		ref, err := jobstate.ParseTaskRef(run.Task)
		key := runKey{ref, run.Attempt}
		tr, ok := n.runs[key]
		if err != nil || !ok {
			e.stopUnknown(n, run)
			continue
		}
		listed[key] = true
		if tr.startedAt == 0 && !run.Starting {
			n.describe(tr)
		}
		e.updateProgress(tr, run, now)
		e.checkSuspect(tr, now.Add(-time.Duration(r.Worker.GetSilentMs())*time.Millisecond))
		if tr.run.Stopping && now.Sub(tr.orderedAt) > repeatOrderAfter {
			e.repeatOrder(n, tr, now)
		}
	}
	e.observeLatency(n)
	for _, end := range r.Ends {
		if ref, err := jobstate.ParseTaskRef(end.Task); err == nil {
			listed[runKey{ref, end.Attempt}] = true
		}
	}
	for key, tr := range n.runs {
		if !listed[key] && now.Sub(tr.orderedAt) > repeatOrderAfter {
			e.repeatOrder(n, tr, now)
		}
	}
}

// describe sends the description of a run to the agent, which may have been restarted since its start
// was ordered. An agent starts nothing beside a listed run of unknown size.
func (n *node) describe(tr *trackedRun) {
	n.session.update(func(next *chervilv2.OwnerOrders) { next.Runs = append(next.Runs, tr.info()) })
}

// confirmStart records that the run has started.
func (e *Engine) confirmStart(tr *trackedRun, now boottime.Instant) {
	if en := e.jobs[tr.run.Ref.Job]; en != nil {
		en.job.ConfirmStart(tr.run)
		delete(en.waits, tr.run.Ref)
	}
	if tr.startedAt == 0 {
		tr.startedAt = now
	}
}

func (e *Engine) updateProgress(tr *trackedRun, run *chervilv2.Run, now boottime.Instant) {
	tr.percent, tr.gauge = run.Percent, run.Gauge
	tr.paced, tr.pacePercent = run.Paced, run.Pace
	if !run.Paced || run.Pace > slowPacePercent {
		tr.slowSince = 0
	} else if tr.slowSince == 0 {
		tr.slowSince = now
	}
	if !run.Starting {
		e.confirmStart(tr, now)
	}
	if run.Checkpoint != "" {
		if en, ok := e.jobs[tr.run.Ref.Job]; ok {
			if _, task := en.job.Task(tr.run.Ref); task != nil {
				task.Checkpoint = run.Checkpoint // stored with the job's next change
			}
		}
	}
}

// stopUnknown stops a run that was not granted, for example one started by a delayed
// order.
func (e *Engine) stopUnknown(n *node, run *chervilv2.Run) {
	if run.Starting {
		return
	}
	events.RunUnknown.Log("task", run.Task, "attempt", run.Attempt, "node", n.name)
	n.session.addOrder(order{stop: &chervilv2.StopOrder{Task: run.Task, Attempt: run.Attempt}})
}

// evacuated reports whether the data centre of the node is out of service.
func (e *Engine) evacuated(n *node) bool {
	view := e.operatorView()
	return view != nil && n.worker != nil && view.Evacuated[n.worker.Zone]
}

// repeatOrder sends a start or stop again; workers recognize duplicates by the attempt. A start in an
// evacuated data centre is stopped instead.
func (e *Engine) repeatOrder(n *node, tr *trackedRun, now boottime.Instant) {
	en, ok := e.jobs[tr.run.Ref.Job]
	if !ok || en.storedChanges == 0 {
		return
	}
	tr.orderedAt = now
	o := order{node: n.name, run: runKey{tr.run.Ref, tr.run.Attempt}}
	if tr.run.Stopping || en.job.Ended() || !tr.run.Started && e.evacuated(n) {
		tr.run.Stopping = true
		o.stop = &chervilv2.StopOrder{Task: tr.run.Ref.String(), Attempt: tr.run.Attempt}
	} else {
		o.start, o.worker = e.startOrder(en, tr), tr.run.Worker
	}
	events.OrderRepeated.Log("task", tr.run.Ref.String(), "attempt", tr.run.Attempt, "node", n.name, "stop", o.stop != nil)
	e.batch.orders = append(e.batch.orders, o)
	e.wake()
}
