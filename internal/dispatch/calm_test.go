package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"google.golang.org/protobuf/proto"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
)

const (
	// simStep is the time between two steps of a simulation.
	simStep = 200 * time.Millisecond
	// simStopSteps is how many steps a run takes to stop.
	simStopSteps = 2
	// maxSimCrashes is below the number of crashes from which a task is isolated.
	maxSimCrashes = 2
)

// simRun identifies a run on a simulated worker.
type simRun struct {
	task    string
	attempt uint32
}

// startedRun is a run on a simulated worker.
type startedRun struct {
	cpu uint32
	at  boottime.Instant
}

// lateStart is a start call that the worker carries out some steps after it was sent.
type lateStart struct {
	run simRun
	cpu uint32
	due int
}

// simWorker is a simulated worker and the agent beside it. Both do what the protocol asks, but for the
// disruptions that are set. Steps are numbered from 0.
type simWorker struct {
	*testAgent
	r          *rig
	agentBirth int
	runs       map[simRun]startedRun
	stopping   map[simRun]int    // and the step at which they end
	closed     map[string]uint32 // highest attempt that has ended or was stopped, by task
	// rejected are the starts that this agent process has reported as not started.
	rejected       map[simRun]bool
	ends           []*chervilv2.RunEnd
	lastEnd        int64
	results        []*chervilv2.StartResult
	late           []lateStart
	starts, stops  int // orders taken from testAgent
	awayUntil      int // the agent is not attached until then
	refusesUntil   int // starts are refused until then
	lateUntil      int // starts are unanswered, and carried out late, until then
	losesUntil     int // orders and results are lost until then
	hangsUntil     int // the worker leaves all calls unanswered until then
	goneUntil      int // the worker has ended; the next one begins then
	attached, gone bool
}

func (w *simWorker) attach() {
	w.testAgent = w.r.attachIncarnation(w.node, fmt.Sprint(w.agentBirth), w.worker)
	w.starts, w.stops, w.attached = 0, 0, true
}

func (w *simWorker) disconnect() {
	if w.attached {
		w.r.disconnect(w.testAgent)
		w.attached = false
	}
}

// used returns the CPU of the runs.
func (w *simWorker) used() (cpuMilli uint32) {
	for _, run := range w.runs {
		cpuMilli += run.cpu
	}
	return cpuMilli
}

func (w *simWorker) end(run simRun, kind chervilv2.EndKind) {
	delete(w.runs, run)
	delete(w.stopping, run)
	w.closed[run.task] = max(w.closed[run.task], run.attempt)
	w.lastEnd++
	w.ends = append(w.ends, &chervilv2.RunEnd{Number: w.lastEnd, Task: run.task, Attempt: run.attempt, Kind: kind})
}

// call carries out a start call on the worker and returns its answer.
func (w *simWorker) call(run simRun, cpu uint32) chervilv2.StartAnswer {
	_, running := w.runs[run]
	switch {
	case running:
		return chervilv2.StartAnswer_START_ANSWER_STARTED
	case run.attempt <= w.closed[run.task]:
		return chervilv2.StartAnswer_START_ANSWER_OLD
	case w.used()+cpu > w.worker.CpuMilli:
		return chervilv2.StartAnswer_START_ANSWER_NO_ROOM
	}
	w.runs[run] = startedRun{cpu, w.r.clock.read()}
	return chervilv2.StartAnswer_START_ANSWER_STARTED
}

// takeOrders carries out the orders received since the last step.
func (w *simWorker) takeOrders(step int) {
	w.mu.Lock()
	starts, births, stops, acked := w.testAgent.starts[w.starts:], w.startBirths[w.starts:], w.testAgent.stops[w.stops:], w.ackedEnd
	w.mu.Unlock()
	w.starts, w.stops = w.starts+len(starts), w.stops+len(stops)
	if step < w.losesUntil {
		return
	}
	w.ends = slices.DeleteFunc(w.ends, func(e *chervilv2.RunEnd) bool { return e.Number <= acked })
	for i, s := range starts {
		run := simRun{s.Task, s.Attempt}
		answer := chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
		switch _, running := w.runs[run]; {
		case running:
			answer = chervilv2.StartAnswer_START_ANSWER_STARTED
		case w.rejected[run] || step < w.refusesUntil || births[i] != w.worker.BornUnixMs:
		case step < w.lateUntil: // the agent stops the run at once, so that the late call is rejected
			w.late = append(w.late, lateStart{run, s.CpuMilli, w.lateUntil})
			w.closed[run.task] = max(w.closed[run.task], run.attempt)
		default:
			answer = w.call(run, s.CpuMilli)
		}
		w.rejected[run] = answer != chervilv2.StartAnswer_START_ANSWER_STARTED
		w.results = append(w.results, &chervilv2.StartResult{Task: s.Task, Attempt: s.Attempt, Answer: answer})
	}
	for _, s := range stops {
		run := simRun{s.Task, s.Attempt}
		if _, running := w.runs[run]; running {
			if _, known := w.stopping[run]; !known {
				w.stopping[run] = step + simStopSteps
			}
			continue
		}
		w.closed[run.task] = max(w.closed[run.task], run.attempt)
		w.rejected[run] = true
		w.results = append(w.results, &chervilv2.StartResult{Task: s.Task, Attempt: s.Attempt, Answer: chervilv2.StartAnswer_START_ANSWER_NOT_STARTED})
	}
}

// advance lets the worker end what it stops, carries out late calls, and reports to the owner.
func (w *simWorker) advance(step int) {
	for run, due := range w.stopping {
		if step >= due {
			w.end(run, chervilv2.EndKind_END_KIND_STOPPED)
		}
	}
	w.late = slices.DeleteFunc(w.late, func(l lateStart) bool {
		if step >= l.due {
			w.call(l.run, l.cpu)
		}
		return step >= l.due
	})
	if step < w.awayUntil {
		return
	}
	present := w.worker
	switch {
	case step < w.goneUntil:
		w.gone = true
		w.testAgent.worker = gone(present)
	case w.gone:
		w.gone = false
		present = nextIncarnation(present)
		w.testAgent.worker = present
	case step < w.hangsUntil:
		w.testAgent.worker = proto.CloneOf(present)
		w.testAgent.worker.SilentMs = 2 * workerUnresponsiveAfter.Milliseconds()
	}
	defer func() { w.testAgent.worker = present }()
	if !w.attached {
		w.attach()
	}
	if step < w.goneUntil {
		w.rejectAll()
		w.report(&chervilv2.AgentReport{Results: w.takeResults()})
		return
	}
	if step < w.hangsUntil {
		report := w.list()
		for _, s := range w.started()[w.starts:] {
			if _, running := w.runs[simRun{s.Task, s.Attempt}]; !running {
				report.Runs = append(report.Runs, &chervilv2.Run{Task: s.Task, Attempt: s.Attempt, Starting: true})
			}
		}
		w.report(report)
		return
	}
	w.takeOrders(step)
	report := w.list()
	if results := w.takeResults(); step >= w.losesUntil {
		report.Results = results
	}
	w.report(report)
}

// list returns a full report of the worker.
func (w *simWorker) list() *chervilv2.AgentReport {
	report := &chervilv2.AgentReport{Full: true, Ends: slices.Clone(w.ends)}
	for run := range w.runs {
		report.Runs = append(report.Runs, &chervilv2.Run{Task: run.task, Attempt: run.attempt, Percent: servingPercent})
	}
	return report
}

func (w *simWorker) takeResults() []*chervilv2.StartResult {
	results := w.results
	w.results = nil
	return results
}

// rejectAll answers the orders received since the last step, since the worker has ended.
func (w *simWorker) rejectAll() {
	starts, stops := w.started()[w.starts:], w.stopped()[w.stops:]
	w.starts, w.stops = w.starts+len(starts), w.stops+len(stops)
	reject := func(task string, attempt uint32) {
		w.rejected[simRun{task, attempt}] = true
		w.results = append(w.results, &chervilv2.StartResult{Task: task, Attempt: attempt, Answer: chervilv2.StartAnswer_START_ANSWER_NOT_STARTED})
	}
	for _, s := range starts {
		reject(s.Task, s.Attempt)
	}
	for _, s := range stops {
		reject(s.Task, s.Attempt)
	}
}

// restartWorker ends the worker and all its runs; the next one has the same id.
func (w *simWorker) restartWorker(report bool) {
	crash := &chervilv2.WorkerCrash{WorkerId: w.worker.Id, BornUnixMs: w.worker.BornUnixMs}
	for run, started := range w.runs {
		age := w.r.clock.read().Sub(started.at).Milliseconds()
		crash.Runs = append(crash.Runs, &chervilv2.CrashedRun{Task: run.task, Attempt: run.attempt, AgeMs: age, MaxAgeMs: age + 1, Started: true, Listed: true})
	}
	w.worker = nextIncarnation(w.worker)
	w.loseRuns()
	if report && w.attached {
		w.report(&chervilv2.AgentReport{Crashes: []*chervilv2.WorkerCrash{crash}})
	}
}

func (w *simWorker) loseRuns() {
	clear(w.runs)
	clear(w.stopping)
	clear(w.closed)
	w.ends, w.late = nil, nil
}

// sim is an engine with simulated workers that play random disruptions.
type sim struct {
	*rig
	random  *rand.Rand
	epoch   uint64
	workers []*simWorker
	crashes int
	log     []string
}

// disrupt plays a random disruption of a few steps.
func (s *sim) disrupt(step int) {
	w := s.workers[s.random.IntN(len(s.workers))]
	until := step + 1 + s.random.IntN(10)
	kinds := []struct {
		name  string
		crash bool
		play  func()
	}{
		{"agent away", false, func() { w.disconnect(); w.awayUntil = until }},
		{"agent restarted", false, func() {
			w.disconnect()
			w.agentBirth, w.awayUntil, w.results = w.agentBirth+1, until, nil
			clear(w.rejected)
		}},
		{"worker restarted", true, func() { w.restartWorker(true) }},
		{"worker and agent restarted", true, func() {
			w.disconnect()
			w.restartWorker(false)
			w.agentBirth, w.awayUntil, w.results = w.agentBirth+1, until, nil
			clear(w.rejected)
		}},
		{"worker gone", true, func() {
			w.loseRuns()
			w.goneUntil = until
		}},
		{"worker hangs", false, func() { w.hangsUntil = until }},
		{"starts refused", false, func() { w.refusesUntil = until }},
		{"starts late", false, func() { w.lateUntil = until }},
		{"messages lost", false, func() { w.losesUntil = until }},
		{"runs fail", false, func() {
			for run := range w.runs {
				w.end(run, failed)
			}
		}},
		{"new owner", false, func() {
			for _, other := range s.workers {
				other.disconnect()
			}
			s.epoch++
			s.takeOver(s.epoch)
		}},
	}
	kind := kinds[s.random.IntN(len(kinds))]
	if kind.crash {
		if s.crashes == maxSimCrashes {
			return
		}
		s.crashes++
	}
	s.log = append(s.log, fmt.Sprintf("%d %s %s until %d", step, kind.name, w.node, until))
	kind.play()
}

// advance lets all workers report, and checks that no task runs twice.
func (s *sim) advance(step int) {
	for _, w := range s.workers {
		w.advance(step)
	}
	s.engine.tick()
	s.settle()
	runs := s.running()
	for task, n := range runs {
		assert.Assert(s.t, n < 2, "%s runs %d times in step %d of %v", task, n, step, s.log)
	}
	s.clock.advance(simStep)
}

// running returns how many runs each task has.
func (s *sim) running() map[string]int {
	out := map[string]int{}
	for _, w := range s.workers {
		for run := range w.runs {
			out[run.task]++
		}
	}
	return out
}

// Guards against a long-running task that waits although all disruptions are over and workers have room for it, whatever
// the owner and the agents took from each other before.
func TestLongRunningTasksRunOnceAllDisruptionsAreOver(t *testing.T) {
	const seeds, workers, jobs, tasks, disruptedSteps = 24, 4, 4, 2, 40
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := &sim{rig: newRig(t), random: rand.New(rand.NewPCG(seed, seed)), epoch: 1}
			for i := range workers {
				w := &simWorker{
					r: s.rig, runs: map[simRun]startedRun{}, stopping: map[simRun]int{},
					closed: map[string]uint32{}, rejected: map[simRun]bool{},
				}
				w.testAgent = &testAgent{node: fmt.Sprint("side-", i), worker: &chervilv2.Worker{Id: fmt.Sprint("worker-", i), BornUnixMs: 1, Service: testService, Zone: "pnw-a", CpuMilli: 4000, MemoryMb: 64000, Listed: true}}
				s.workers = append(s.workers, w)
			}
			step := 0
			s.advance(step)
			for i := range jobs {
				s.submit(lasting(jobID(i+1), tasks, 2000))
			}
			for step++; step < disruptedSteps; step++ {
				if s.random.IntN(2) == 0 {
					s.disrupt(step)
				}
				s.advance(step)
			}
			for _, w := range s.workers {
				w.awayUntil, w.refusesUntil, w.lateUntil, w.losesUntil, w.hangsUntil, w.goneUntil = 0, 0, 0, 0, 0, 0
			}
			for last := step + int(maxIdleInCalm/simStep); step < last; step++ {
				s.advance(step)
			}
			missing := []string{}
			runs := s.running()
			for i := range jobs {
				for j := range tasks {
					if task := fmt.Sprintf("%s.0.0.%d", jobID(i+1), j); runs[task] == 0 {
						missing = append(missing, task)
					}
				}
			}
			used := map[string]uint32{}
			for _, w := range s.workers {
				used[w.node] = w.used()
			}
			assert.Equal(t, len(missing), 0, "%v; CPU in use %v; %v", missing, used, s.log)
		})
	}
}
