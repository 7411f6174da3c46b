package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/operatorconfig"
	"chervilridge/platform"
)

// testMachines is a machine API whose maintenance lasts until finishMaintenance is
// called.
type testMachines struct {
	mu        sync.Mutex
	state     map[string]platform.MachineState
	worker    map[string]string
	started   []string
	maxDown   int // the most machines in maintenance at the same time
	fences    []uint64
	published []bool
}

func newTestMachines(nodes ...string) *testMachines {
	m := &testMachines{state: map[string]platform.MachineState{}, worker: map[string]string{}}
	for _, n := range nodes {
		m.state["m-"+n], m.worker["m-"+n] = platform.MachineUp, "worker-"+n
	}
	return m
}

func (m *testMachines) List(context.Context) ([]platform.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []platform.Machine
	for name, state := range m.state {
		out = append(out, platform.Machine{Name: name, State: state, WorkerID: m.worker[name]})
	}
	return out, nil
}

func (m *testMachines) StartMaintenance(_ context.Context, machine string, _ int64, fence uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.started, m.fences = append(m.started, machine), append(m.fences, fence)
	m.state[machine] = platform.MachineInMaintenance
	down := 0
	for _, s := range m.state {
		if s != platform.MachineUp {
			down++
		}
	}
	m.maxDown = max(m.maxDown, down)
	return nil
}

func (m *testMachines) PublishWave(_ context.Context, _ uint64, _ string, completed bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.published = append(m.published, completed)
	return nil
}

// finishMaintenance ends the maintenance of all machines.
func (m *testMachines) finishMaintenance() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.state {
		m.state[name] = platform.MachineUp
	}
}

func (m *testMachines) startedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.started)
}

func (m *testMachines) completed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.published) > 0 && m.published[len(m.published)-1]
}

// rigWithWave returns a rig with a wave over all the nodes, at most one of them down at a
// time.
func rigWithWave(t *testing.T, nodes ...string) (*rig, *testMachines) {
	machines := newTestMachines(nodes...)
	r := &rig{t: t, store: newTestStore(), clock: &testClock{now: newRig(t).clock.read()}, machines: machines}
	wave := operatorconfig.Wave{Number: 7, MaxDown: 1}
	for _, n := range nodes {
		wave.Machines = append(wave.Machines, "m-"+n)
	}
	r.view = testView(operatorconfig.Queue{})
	r.view.Waves = map[string]operatorconfig.Wave{"7": wave}
	r.start(1)
	return r, machines
}

func TestWaveMaintainsOneMachineAtATime(t *testing.T) {
	r, machines := rigWithWave(t, "side-1", "side-2", "side-3")
	for i := range 3 {
		r.attach(fmt.Sprint("side-", i+1), 4000)
	}
	for i := range 3 {
		eventually(t, "next maintenance", func() bool { return machines.startedCount() == i+1 })
		time.Sleep(2 * waveInterval)
		assert.Equal(t, machines.startedCount(), i+1, "the next machine waits until this one is up")
		machines.finishMaintenance()
	}
	eventually(t, "completed", machines.completed)
	assert.Equal(t, machines.maxDown, 1)
	assert.DeepEqual(t, machines.fences, []uint64{1, 1, 1})
	assert.Equal(t, machines.published[0], false, "published as running first")
}

func TestMachineIsDrainedBeforeItsMaintenance(t *testing.T) {
	r, machines := rigWithWave(t, "side-1")
	a, b := r.attach("side-1", 4000), r.attach("side-2", 1000)
	_ = b
	r.submit(&chervilv2.JobSpec{Id: jobID(1), Queue: testQueue, Steps: []*chervilv2.Step{{Tasks: 1, CpuMilli: 2000, LongRunning: true, TargetLatencyMs: 50}}})
	eventually(t, "task starts or maintenance begins", func() bool { return len(a.started()) == 1 || machines.startedCount() == 1 })
	if len(a.started()) == 1 {
		s := a.started()[0]
		a.report(&chervilv2.AgentReport{Full: true, Runs: []*chervilv2.Run{{Task: s.Task, Attempt: s.Attempt, Percent: 100}}})
		eventually(t, "stop ordered", func() bool { return len(a.stopped()) == 1 })
		assert.Equal(t, machines.startedCount(), 0, "maintenance waits for the end of the task")
		a.end(1, s, chervilv2.EndKind_END_KIND_STOPPED)
	}
	eventually(t, "maintenance started", func() bool { return machines.startedCount() == 1 })
}

func TestServingTasksAreNotStoppedBeyondMayMiss(t *testing.T) {
	r, machines := rigWithWave(t, "side-1")
	r.view.Waves["7"] = operatorconfig.Wave{Number: 7, MaxDown: 1} // no machines in the wave yet
	a := r.attach("side-1", 4000)
	r.submit(&chervilv2.JobSpec{Id: jobID(1), Queue: testQueue, Steps: []*chervilv2.Step{{Tasks: 2, CpuMilli: 1000, LongRunning: true, TargetLatencyMs: 50, MayMiss: 1}}})
	eventually(t, "both start", func() bool { return len(a.started()) == 2 })
	first, second := a.started()[0], a.started()[1]
	a.report(&chervilv2.AgentReport{Full: true, Runs: []*chervilv2.Run{
		{Task: first.Task, Attempt: first.Attempt, Percent: 100}, {Task: second.Task, Attempt: second.Attempt, Percent: 40},
	}})
	r.engine.mu.Lock()
	trackedRuns := r.engine.nodes["side-1"].runs
	stoppable := 0
	for _, run := range trackedRuns {
		if run.percent == 100 && r.engine.mayInterrupt(run) {
			stoppable++
		}
	}
	r.engine.mu.Unlock()
	assert.Equal(t, stoppable, 0, "the other task is already unavailable")
	assert.Equal(t, machines.startedCount(), 0)
}

func TestNewOwnerContinuesWave(t *testing.T) {
	r, machines := rigWithWave(t, "side-1", "side-2")
	r.attach("side-1", 4000)
	eventually(t, "first maintenance", func() bool { return machines.startedCount() >= 1 })
	time.Sleep(100 * time.Millisecond) // until the progress of the wave is stored
	r.engine.Abandon()
	<-r.engine.Done()
	machines.finishMaintenance()
	r.start(2)
	eventually(t, "second maintenance", func() bool { return machines.startedCount() >= 2 })
	machines.finishMaintenance()
	eventually(t, "completed", machines.completed)
	seen := map[string]int{}
	for _, m := range machines.started {
		seen[m]++
	}
	assert.DeepEqual(t, seen, map[string]int{"m-side-1": 1, "m-side-2": 1})
}

// setWaves replaces the requested waves.
func (r *rig) setWaves(waves map[string]operatorconfig.Wave) {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	next := *r.view
	next.Waves = waves
	r.view = &next
}

// draining reports whether the node is drained for maintenance.
func (r *rig) draining(node string) bool {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	return r.engine.nodes[node].drainingSince != 0
}

// Guards against a machine that gets no task any more, since its wave was withdrawn while another one goes on.
func TestMachineOfAWithdrawnWaveGetsTasksWhileAnotherWaveGoesOn(t *testing.T) {
	r, machines := rigWithWave(t, "side-1", "side-2")
	r.setWaves(nil)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	eventually(t, "task starts", func() bool { return len(a.started()) == 1 })
	a.report(listing(a.started()...))
	r.attach("side-2", 500)
	withdrawn, goesOn := operatorconfig.Wave{Number: 7, Machines: []string{"m-side-1"}, MaxDown: 1}, operatorconfig.Wave{Number: 8, Machines: []string{"m-side-2"}, MaxDown: 1}
	r.setWaves(map[string]operatorconfig.Wave{"7": withdrawn, "8": goesOn})
	eventually(t, "one machine drains, the other is in maintenance", func() bool { return r.draining("side-1") && machines.startedCount() == 1 })
	r.setWaves(map[string]operatorconfig.Wave{"8": goesOn})
	r.submit(lasting(jobID(2), 1, 2000))
	ok := r.awaitIn(maxIdleInCalm, func() {
		time.Sleep(waveInterval / 2)
		a.report(listing(a.started()...))
	}, func() bool { return len(a.startsOf(jobID(2))) > 0 })
	assert.Assert(t, ok, "the machine is still drained: %v", r.draining("side-1"))
}

// Guards against a machine that neither ends draining nor gets the task whose absence keeps it from being drained.
func TestMachineThatMayNotBeDrainedYetGetsTheMissingTask(t *testing.T) {
	r, machines := rigWithWave(t, "side-1")
	waves := r.view.Waves
	r.setWaves(nil)
	a := r.attach("side-1", 8000)
	r.submit(spec(jobID(1), 4)) // fills half of the worker
	eventually(t, "tasks start", func() bool { return len(a.started()) == 4 })
	filling := a.started()
	r.submit(lasting(jobID(2), 2, 4000))
	eventually(t, "one serving task starts", func() bool { return len(a.startsOf(jobID(2))) == 1 })
	serving := a.startsOf(jobID(2))
	a.report(listing(slices.Concat(filling, serving)...))
	r.setWaves(waves)
	eventually(t, "machine drains", func() bool { return r.draining("side-1") })
	for i, s := range filling {
		a.end(int64(i+1), s, done)
	}
	ok := r.awaitIn(maxIdleInCalm, func() {
		time.Sleep(waveInterval / 2)
		a.report(listing(a.startsOf(jobID(2))...))
	}, func() bool { return len(a.startsOf(jobID(2))) > 1 })
	assert.Assert(t, ok, "%d stops ordered, %d machines in maintenance", len(a.stopped()), machines.startedCount())
}
