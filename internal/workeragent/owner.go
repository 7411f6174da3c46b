package workeragent

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/ident"
	"chervilridge/internal/jobentry"
	"chervilridge/internal/peer"
	"chervilridge/internal/schedulestore"
	"chervilridge/platform"
)

const (
	// reportInterval is the time between reports if nothing changes.
	reportInterval = 400 * time.Millisecond
	// reportBatchDelay delays a report to batch changes that follow each other closely.
	reportBatchDelay = 4 * time.Millisecond
	// ownerReplyTimeout is how long the owner may leave reports unanswered.
	ownerReplyTimeout = 1300 * time.Millisecond
)

var errOwnerUnresponsive = errors.New("the owner does not answer reports")

// OwnerLink finds the owner of the schedule and keeps the agent attached to it. It sends
// the agent's reports and receives the owner's orders.
type OwnerLink struct {
	agent       *Agent
	store       schedulestore.Store
	pool        *peer.Pool
	node        *platform.NodeSettings
	incarnation string // of this agent process

	mu      sync.Mutex
	entries []string
	owner   *chervilv2.OwnerRecord
}

// NewOwnerLink returns a link that is not attached. It knows the seed entries of node.
func NewOwnerLink(agent *Agent, store schedulestore.Store, pool *peer.Pool, node *platform.NodeSettings) *OwnerLink {
	return &OwnerLink{agent: agent, store: store, pool: pool, node: node, incarnation: ident.New(), entries: jobentry.SeedAddresses(node)}
}

// Run searches for the owner and attaches to it, again after each loss, until ctx ends.
func (l *OwnerLink) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if address := l.search(ctx); address != "" {
			err := l.attach(ctx, address)
			if ctx.Err() == nil {
				events.OwnerDetached.LogError(err, "address", address)
			}
		}
		select {
		case <-time.After(searchInterval + rand.N(searchJitter)):
		case <-ctx.Done():
		}
	}
}

// attach sends reports to the owner, or to a relay, until the connection fails, the owner
// leaves reports unanswered for ownerReplyTimeout, or orders of an older epoch arrive. It
// returns the cause.
func (l *OwnerLink) attach(ctx context.Context, address string) error {
	conn, err := peer.Dial(address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := chervilv2.NewSchedulerClient(conn).Attach(ctx)
	if err != nil {
		return err
	}
	tracker := &reportTracker{sentAt: map[uint64]boottime.Instant{}, lastReply: l.agent.clock(), agent: l.agent}
	go func() {
		for {
			orders, err := stream.Recv()
			if err != nil {
				cancel(err)
				return
			}
			l.replaceEntries(orders.Entries)
			if !tracker.handleOrders(orders) {
				cancel(errors.New("orders of an earlier epoch received"))
				return
			}
		}
	}()
	l.agent.requestFullReport()
	l.agent.resendCrashes()
	lastFull := time.Now()
	for ctx.Err() == nil {
		if tracker.sinceReply() > ownerReplyTimeout {
			return errOwnerUnresponsive
		}
		r := l.agent.buildReport()
		r.Node, r.Incarnation, r.Address = l.node.Name, l.incarnation, jobentry.InternalAddress(l.node)
		r.Sequence = tracker.nextSequence()
		l.agent.markCrashesSent(r)
		if err := stream.Send(r); err != nil {
			l.agent.restoreResults(r)
			cancel(err)
			break
		}
		lastFull = l.agent.awaitNextReport(ctx, lastFull)
	}
	return context.Cause(ctx)
}

// awaitNextReport waits until there is something to report, or a full report is due. It
// requests a full one if that is due by then, and returns when the last one was requested.
func (a *Agent) awaitNextReport(ctx context.Context, lastFull time.Time) time.Time {
	select {
	case <-time.After(time.Until(lastFull.Add(reportInterval))):
	case <-a.wakeReport:
		time.Sleep(reportBatchDelay)
	case <-ctx.Done():
	}
	if time.Since(lastFull) < reportInterval {
		return lastFull
	}
	a.requestFullReport()
	return time.Now()
}

// reportTracker matches the owner's replies to the times at which the reports were sent.
type reportTracker struct {
	agent     *Agent
	mu        sync.Mutex
	sequence  uint64
	sentAt    map[uint64]boottime.Instant
	lastReply boottime.Instant
	attached  bool
}

// nextSequence returns the number of the next report and records its time.
func (t *reportTracker) nextSequence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	t.sentAt[t.sequence] = t.agent.clock()
	return t.sequence
}

// sinceReply returns the time since the owner last replied to a report.
func (t *reportTracker) sinceReply() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.agent.clock().Sub(t.lastReply)
}

// handleOrders passes the orders to the agent and reports whether they were accepted. The
// grant to renew leases counts from the sending of the report that the orders answer,
// since the owner received it no earlier.
func (t *reportTracker) handleOrders(o *chervilv2.OwnerOrders) bool {
	t.mu.Lock()
	sentAt := t.sentAt[o.Report]
	if o.Report > 0 {
		t.lastReply = t.agent.clock()
		for n := range t.sentAt {
			if n <= o.Report {
				delete(t.sentAt, n)
			}
		}
	}
	first := !t.attached
	t.attached = true
	t.mu.Unlock()
	if first {
		events.OwnerAttached.Log("epoch", o.Epoch)
	}
	if !t.agent.HandleOrders(context.Background(), o, sentAt) {
		return false
	}
	t.agent.confirmCrashes(o.Report)
	return true
}

// requestFullReport makes the next report include the list of runs.
func (a *Agent) requestFullReport() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportAllRuns = true
}

// restoreResults requeues the start results of a report that could not be sent.
func (a *Agent) restoreResults(r *chervilv2.AgentReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startResults = append(r.Results, a.startResults...)
}

// buildReport returns a report of the worker, its unstored run ends and the queued start
// results, which it takes off the queue. It names no worker that has not answered a call. If nothing
// listens at the worker's address then, all runs of earlier incarnations have ended. If a full report is requested and the worker has
// listed its runs, it includes the list of runs.
func (a *Agent) buildReport() *chervilv2.AgentReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &chervilv2.AgentReport{Results: a.startResults, Crashes: a.unconfirmedCrashes()}
	a.startResults = nil
	inc := a.incarnation
	if inc == nil || inc.id == "" || !inc.confirmed {
		if inc != nil && inc.refusedConnections >= maxRefusedConnections {
			r.Worker = &chervilv2.Worker{Gone: true}
		}
		return r
	}
	hb := inc.heartbeat
	undecided := a.crashUndecided() // no report may end the runs of a crash before the crash is reported
	r.Worker = &chervilv2.Worker{
		Id: inc.id, BornUnixMs: inc.bornUnixMs, Service: hb.Service, Zone: hb.DataCentre, CpuMilli: hb.CPUMilli, MemoryMb: hb.MemoryMB, Gpus: hb.GPUs,
		Labels: hb.Labels, Draining: inc.draining || inc.deregistered, Machine: hb.Machine, SilentMs: a.clock().Sub(inc.lastAnswer).Milliseconds(),
		ColdLeftMs: hb.WarmUpRemaining.Milliseconds(), Listed: inc.listed && !inc.gone && !undecided, Gone: (inc.gone || inc.leasesExpired) && !undecided && !a.callingStart(),
	}
	for _, e := range inc.pendingEnds {
		r.Ends = append(r.Ends, &chervilv2.RunEnd{Number: e.Number, Task: e.Task, Attempt: e.Attempt, Kind: endKinds[e.Kind], Checkpoint: e.Checkpoint})
	}
	if !a.reportAllRuns || !r.Worker.Listed {
		return r
	}
	a.reportAllRuns, r.Full = false, true
	for key, run := range inc.runs {
		reported := &chervilv2.Run{Task: run.Task, Attempt: run.Attempt, Percent: run.Percent, Checkpoint: run.Checkpoint, Gauge: run.Gauge}
		if o := a.paceOrders[key]; o != nil {
			reported.Paced, reported.Pace = true, o.percent
		}
		r.Runs = append(r.Runs, reported)
	}
	for key := range inc.unlisted {
		if _, listed := inc.runs[key]; !listed && a.pendingOrders[key] == nil {
			r.Runs = append(r.Runs, &chervilv2.Run{Task: key.task, Attempt: key.attempt, Starting: true})
		}
	}
	for key := range inc.awaitedEnds {
		if a.pendingOrders[key] == nil {
			r.Runs = append(r.Runs, &chervilv2.Run{Task: key.task, Attempt: key.attempt, Starting: true})
		}
	}
	for key := range a.pendingOrders {
		if _, listed := inc.runs[key]; !listed {
			r.Runs = append(r.Runs, &chervilv2.Run{Task: key.task, Attempt: key.attempt, Starting: true})
		}
	}
	return r
}

var endKinds = map[platform.EndKind]chervilv2.EndKind{
	platform.EndDone: chervilv2.EndKind_END_KIND_DONE, platform.EndFailed: chervilv2.EndKind_END_KIND_FAILED,
	platform.EndStopped: chervilv2.EndKind_END_KIND_STOPPED, platform.EndLeaseExpired: chervilv2.EndKind_END_KIND_LAPSED,
	platform.EndGangBroken: chervilv2.EndKind_END_KIND_BROKEN, platform.EndGangIncomplete: chervilv2.EndKind_END_KIND_ALONE,
}
