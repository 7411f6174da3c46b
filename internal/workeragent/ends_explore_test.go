package workeragent

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/explore"
	"chervilridge/platform"
)

var endsDeviations = flag.Int("ends.deviations", 4, "steps other than hold calls in a history of TestRunIsReportedAsNotStartedOnlyIfNoEndOfItFollows")

// pagingWorker is a worker that lists one end at a time. Its runs end when the test says so.
type pagingWorker struct {
	Worker
	mu      sync.Mutex
	clock   time.Duration
	running map[runKey]bool
	ended   []platform.RunEnd // not acknowledged
	closed  map[string]uint32 // highest attempt that was stopped or has ended, by task
	ends    int64
}

func (w *pagingWorker) RenewLease(_ context.Context, _ string, r platform.LeaseRenewal) (platform.RunReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock += time.Millisecond
	w.ended = slices.DeleteFunc(w.ended, func(e platform.RunEnd) bool { return e.Number <= r.AckedEndNumber })
	// A full list may be truncated, as the platform's workers do not say whether it is.
	out := platform.RunReport{Clock: w.clock, BornUnixMs: 7, EndsTruncated: len(w.ended) > 0}
	for key := range w.running {
		out.Running = append(out.Running, platform.Run{Task: key.task, Attempt: key.attempt})
	}
	out.Ended = slices.Clone(w.ended[:min(len(w.ended), 1)])
	return out, nil
}

func (w *pagingWorker) Start(_ context.Context, _ string, s platform.StartRequest) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := runKey{s.Task, s.Attempt}
	if !w.running[key] && s.Attempt <= w.closed[s.Task] {
		return w.clock, &platform.Error{Kind: platform.Superseded}
	}
	w.running[key] = true
	return w.clock, nil
}

func (w *pagingWorker) Stop(_ context.Context, _, task string, attempt uint32, _ uint64) (time.Duration, error) {
	w.end(runKey{task, attempt}, platform.EndStopped)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed[task] = max(w.closed[task], attempt)
	return w.clock, nil
}

func (w *pagingWorker) Pace(context.Context, string, string, uint32, uint32, uint64) error {
	return nil
}

// end ends a run if it is running.
func (w *pagingWorker) end(key runKey, kind platform.EndKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running[key] {
		return
	}
	delete(w.running, key)
	w.closed[key.task] = max(w.closed[key.task], key.attempt)
	w.ends++
	w.ended = append(w.ended, platform.RunEnd{Number: w.ends, Task: key.task, Attempt: key.attempt, Kind: kind})
}

// hasOutcome reports whether the run runs, or its end can still be listed.
func (w *pagingWorker) hasOutcome(key runKey) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[key] || slices.ContainsFunc(w.ended, func(e platform.RunEnd) bool { return e.Task == key.task && e.Attempt == key.attempt })
}

// endsHistory is a history of an agent, its worker and an owner.
type endsHistory struct {
	t         *testing.T
	worker    *pagingWorker
	agent     *Agent
	ahead     time.Duration // of the agent's clock
	reported  int64         // highest number of a reported end
	resolved  map[runKey]bool
	violation string
}

// historyTasks are the runs that the owner of a history has started. The steps repeat and stop the first one.
var historyTasks = []runKey{{task1, 1}, {"00000000000000aa.0.0.0", 1}, {"00000000000000aa.0.0.1", 1}}

func newEndsHistory(t *testing.T) *endsHistory {
	h := &endsHistory{t: t, worker: &pagingWorker{running: map[runKey]bool{}, closed: map[string]uint32{}}, resolved: map[runKey]bool{}}
	h.restart()
	h.ahead = unansweredStartTTL // no earlier agent process has a call under way
	h.start(historyTasks...)
	h.hold()
	return h
}

// restart replaces the agent by one that knows nothing.
func (h *endsHistory) restart() {
	h.agent = NewAgent(&platform.NodeSettings{Name: "side-1", Bounds: platform.Bounds{MaxLease: 6 * time.Second, ReactionTime: time.Minute}}, h.worker,
		func() boottime.Instant { return boottime.Now().Add(h.ahead) })
	h.agent.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, BornUnixMs: 7, Service: "desk", Sequence: 1, CPUMilli: 32000, MemoryMB: 32000})
	h.hold()
}

// hold makes a hold call, and takes note of what the agent reports after it.
func (h *endsHistory) hold() {
	h.agent.holdOnce(h.t.Context())
	h.agent.requestFullReport()
	r := h.agent.buildReport()
	for _, end := range r.Ends {
		h.reported = max(h.reported, end.Number)
		h.resolved[runKey{end.Task, end.Attempt}] = true
	}
	for _, result := range r.Results {
		key := runKey{result.Task, result.Attempt}
		if result.Answer == chervilv2.StartAnswer_START_ANSWER_STARTED {
			continue
		}
		if h.worker.hasOutcome(key) {
			h.violation = fmt.Sprintf("%v of %s is reported as %s, but runs or its end will be listed", key.attempt, key.task, result.Answer)
		}
		h.resolved[key] = true
	}
}

// order sends orders to the agent and waits until it has made all calls for them.
func (h *endsHistory) order(o *chervilv2.OwnerOrders) {
	o.Epoch, o.HoldMs = 1, 6000
	h.agent.HandleOrders(h.t.Context(), o, h.agent.clock())
	resolved := func() bool {
		h.agent.mu.Lock()
		defer h.agent.mu.Unlock()
		return len(h.agent.pendingOrders) == len(h.agent.unconfirmedResults)
	}
	for end := time.Now().Add(waitTimeout); !resolved(); time.Sleep(20 * time.Microsecond) {
		if time.Now().After(end) {
			h.t.Fatal("the agent does not resolve its orders")
		}
	}
}

func (h *endsHistory) start(keys ...runKey) {
	var starts []*chervilv2.StartOrder
	for _, key := range keys {
		starts = append(starts, &chervilv2.StartOrder{Task: key.task, Attempt: key.attempt, WorkerId: workerID})
	}
	h.order(&chervilv2.OwnerOrders{Starts: starts})
}

func (h *endsHistory) stop(key runKey) {
	h.order(&chervilv2.OwnerOrders{Stops: []*chervilv2.StopOrder{{Task: key.task, Attempt: key.attempt}}})
}

// store acknowledges all reported ends, as an owner does that has stored them.
func (h *endsHistory) store() {
	h.order(&chervilv2.OwnerOrders{StoredEnd: h.reported, WorkerId: workerID, BornUnixMs: 7})
}

var endsSteps = []explore.Option[func(*endsHistory)]{
	{Name: "hold call", Value: (*endsHistory).hold},
	{Name: "run ends", Value: func(h *endsHistory) { h.worker.end(historyTasks[0], platform.EndDone) }},
	{Name: "other runs end", Value: func(h *endsHistory) {
		for _, key := range historyTasks[1:] {
			h.worker.end(key, platform.EndDone)
		}
	}},
	{Name: "start repeated", Value: func(h *endsHistory) { h.start(historyTasks[0]) }},
	{Name: "stop ordered", Value: func(h *endsHistory) { h.stop(historyTasks[0]) }},
	{Name: "ends stored", Value: (*endsHistory).store},
	{Name: "agent restarts", Value: (*endsHistory).restart},
}

// endsHistorySteps is the number of steps of a history, with a hold call after each.
const endsHistorySteps = 5

// Guards against a second run of a task, and against one that is lost, in any order of the ends of runs, repeated
// orders, acknowledgements, hold calls and restarts of the agent while the worker has more ends than it lists.
func TestRunIsReportedAsNotStartedOnlyIfNoEndOfItFollows(t *testing.T) {
	result := explore.Search(*endsDeviations, func(p *explore.Path) string {
		h := newEndsHistory(t)
		for range endsHistorySteps {
			explore.Choose(p, "step", endsSteps)(h)
			if h.hold(); h.violation != "" {
				return h.violation
			}
		}
		for key := range maps.Clone(h.worker.running) {
			h.worker.end(key, platform.EndDone)
		}
		for range 2 * len(historyTasks) {
			h.hold()
			h.store()
		}
		for _, key := range historyTasks {
			if !h.resolved[key] {
				return fmt.Sprintf("neither an end of %s nor a result is reported", key.task)
			}
		}
		return h.violation
	})
	t.Logf("%d histories with up to %d deviations", result.Paths, result.Deviations)
	assert.Equal(t, result.Violation, "", result.Events)
}
