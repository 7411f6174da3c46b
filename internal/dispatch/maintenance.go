package dispatch

import (
	"context"
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/maintenance"
	"chervilridge/internal/operatorconfig"
	"chervilridge/platform"
)

const (
	// waveInterval is how often waves are checked. The platform allows 60 machine
	// listings a second from all processes together (cloud-api.rate-per-s).
	waveInterval = 400 * time.Millisecond
	// machineCallTimeout bounds one call of the machine API.
	machineCallTimeout = time.Second
	// drainTime is how long tasks of a machine may take to end before its maintenance
	// begins. Tasks with checkpoints are stopped at once, and so are long-running tasks
	// as far as mayInterrupt allows. They resume elsewhere.
	drainTime = 2500 * time.Millisecond
)

// Machines is the platform's machine API, and where an owner publishes the state of
// maintenance waves.
type Machines interface {
	List(ctx context.Context) ([]platform.Machine, error)
	StartMaintenance(ctx context.Context, machine string, wave int64, fence uint64) error
	PublishWave(ctx context.Context, epoch uint64, wave string, completed bool) error
}

// wave is the progress of a maintenance wave.
type wave struct {
	begun map[string]bool // machines whose maintenance was accepted
	// calledSinceListing holds the machines for which StartMaintenance was called since
	// the last listing, also if the call failed.
	calledSinceListing map[string]bool
	published          bool // published as running
	completed          bool
}

func newWave() *wave { return &wave{begun: map[string]bool{}, calledSinceListing: map[string]bool{}} }

func (w *wave) progress(name string) *chervilv2.WaveProgress {
	p := &chervilv2.WaveProgress{Wave: name, Completed: w.completed}
	for machine := range w.begun {
		p.Begun = append(p.Begun, machine)
	}
	slices.Sort(p.Begun)
	return p
}

// restoreWaves loads the progress that an earlier owner stored.
func (e *Engine) restoreWaves(stored map[string]*chervilv2.WaveProgress) {
	for name, p := range stored {
		w := newWave()
		w.completed = p.Completed
		for _, machine := range p.Begun {
			w.begun[machine] = true
		}
		e.waves[name] = w
	}
}

// maintenanceLoop carries out the operator's maintenance waves until the context is
// cancelled.
func (e *Engine) maintenanceLoop(ctx context.Context) {
	for {
		select {
		case <-time.After(waveInterval):
		case <-ctx.Done():
			return
		}
		for name, requested := range e.uncompletedWaves() {
			e.advanceWave(ctx, name, requested)
		}
	}
}

// uncompletedWaves returns the requested waves that are not completed. It ends the draining of
// nodes for all others.
func (e *Engine) uncompletedWaves() map[string]operatorconfig.Wave {
	e.mu.Lock()
	defer e.mu.Unlock()
	view := e.operatorView()
	if view == nil || e.closed || e.writer.SinceConfirmed() > MaxConfirmationAge {
		return nil
	}
	out := map[string]operatorconfig.Wave{}
	for name, requested := range view.Waves {
		if w := e.waves[name]; w == nil || !w.completed {
			out[name] = requested
		}
	}
	for _, n := range e.nodes {
		if _, requested := out[n.drainingWave]; !requested {
			n.drainingSince = 0
		}
	}
	return out
}

// advanceWave lists the machines and takes the next steps of a wave.
func (e *Engine) advanceWave(ctx context.Context, name string, requested operatorconfig.Wave) {
	listCtx, cancel := context.WithTimeout(ctx, machineCallTimeout)
	defer cancel()
	listed, err := e.settings.Machines.List(listCtx)
	if err != nil {
		events.MaintenanceCallFailed.LogError(err, "wave", name, "step", "list")
		return
	}
	begin, publishWave, completed := e.decideWave(name, requested, listed)
	if publishWave && e.publishWave(ctx, name, completed) {
		e.recordPublished(name, completed)
	}
	for _, machine := range begin {
		e.startMaintenance(ctx, name, requested, machine)
	}
}

// decideWave drains the machines that are next. It returns those whose maintenance begins
// now, and whether to publish the state of the wave.
func (e *Engine) decideWave(name string, requested operatorconfig.Wave, listed []platform.Machine) (begin []string, publish, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.waves[name]
	if w == nil {
		w = newWave()
		e.waves[name] = w
		events.WaveStarted.Log("wave", name, "machines", len(requested.Machines), "maxDown", requested.MaxDown, "duration", requested.Duration)
	}
	now := e.clock()
	d := maintenance.Decide(requested, e.waveMachines(w, requested, listed, now))
	clear(w.calledSinceListing)
	for _, machine := range d.Drain {
		if n := e.nodeOnMachine(machine, listed); n != nil {
			n.drainingSince, n.drainingWave = now, name
			events.MachineDraining.Log("wave", name, "machine", machine, "node", n.name, "runs", len(n.runs))
		}
	}
	e.drainNodes(now)
	return d.StartMaintenance, d.Completed || !w.published, d.Completed
}

// waveMachines returns the state of the wave's machines for the decision.
func (e *Engine) waveMachines(w *wave, requested operatorconfig.Wave, listed []platform.Machine, now boottime.Instant) []maintenance.Machine {
	byName := make(map[string]platform.Machine, len(listed))
	for _, m := range listed {
		byName[m.Name] = m
	}
	out := make([]maintenance.Machine, 0, len(requested.Machines))
	for _, name := range requested.Machines {
		m, ok := byName[name]
		next := maintenance.Machine{Name: name, Removed: !ok, MaintenanceOrdered: w.begun[name]}
		// The listing may be older than the request for maintenance.
		next.Available = m.State == platform.MachineUp && !w.calledSinceListing[name]
		if n := e.nodeOnMachine(name, listed); n != nil {
			next.Draining = n.drainingSince != 0
			next.Drained = next.Draining && (len(n.runs) == 0 || now.Sub(n.drainingSince) > drainTime && !e.hasLongRunning(n))
		} else if ok && next.Available { // no worker of ours on this machine, so nothing to drain
			next.Draining, next.Drained = true, true
		}
		out = append(out, next)
	}
	return out
}

// nodeOnMachine returns the node whose worker runs on the machine, or nil. A worker that has not
// reported to this owner is known by the runs granted to it.
func (e *Engine) nodeOnMachine(machine string, listed []platform.Machine) *node {
	for _, m := range listed {
		if m.Name != machine || m.WorkerID == "" {
			continue
		}
		for _, n := range e.nodes {
			if n.key.ID == m.WorkerID || n.key.ID == "" && n.hasRunOn(m.WorkerID) {
				return n
			}
		}
	}
	return nil
}

// drainNodes stops, on draining nodes, the runs that can resume elsewhere.
func (e *Engine) drainNodes(now boottime.Instant) {
	for _, n := range e.nodes {
		if n.drainingSince == 0 {
			continue
		}
		for _, tr := range n.runs {
			longRunning := tr.step.LongRunning
			if tr.run.Stopping || !longRunning && !tr.step.Checkpointable || longRunning && !e.mayInterrupt(tr) {
				continue
			}
			e.orderStops([]*jobstate.Run{tr.run}, "machine is drained for maintenance")
		}
	}
	e.wake()
}

// mayInterrupt reports whether a long-running run may be stopped: fewer than MayMiss of
// its step's other tasks are unavailable. Without a MayMiss, one task at a time may be
// unavailable.
func (e *Engine) mayInterrupt(tr *trackedRun) bool {
	en := e.jobs[tr.run.Ref.Job]
	step, _ := en.job.Task(tr.run.Ref)
	unavailable := 0
	for i := range step.Tasks {
		if uint32(i) != tr.run.Ref.Index && !e.isServing(&step.Tasks[i]) {
			unavailable++
		}
	}
	return unavailable < int(max(step.Spec.MayMiss, 1))
}

// isServing reports whether a run of the task has started serving and is not being
// stopped.
func (e *Engine) isServing(t *jobstate.Task) bool {
	for _, r := range t.Runs {
		tr := e.node(r.Worker.Node).runs[runKey{r.Ref, r.Attempt}]
		if tr != nil && !r.Stopping && tr.percent >= servingPercent {
			return true
		}
	}
	return false
}

// hasLongRunning reports whether long-running tasks are still on the node. They could not
// be stopped without exceeding MayMiss of their steps, so that maintenance has to wait.
func (e *Engine) hasLongRunning(n *node) bool {
	for _, tr := range n.runs {
		if tr.step.LongRunning {
			return true
		}
	}
	return false
}

// startMaintenance requests the maintenance of a machine. A call that fails may still
// have taken effect: the next listing shows it, and the request can safely be repeated.
func (e *Engine) startMaintenance(ctx context.Context, name string, requested operatorconfig.Wave, machine string) {
	ctx, cancel := context.WithTimeout(ctx, machineCallTimeout)
	defer cancel()
	err := e.settings.Machines.StartMaintenance(ctx, machine, requested.Number, e.Epoch())
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.waves[name]
	w.calledSinceListing[machine] = true
	if err != nil {
		events.MaintenanceCallFailed.LogError(err, "wave", name, "machine", machine, "epoch", e.Epoch())
		return
	}
	events.MaintenanceOrdered.Log("wave", name, "machine", machine, "epoch", e.Epoch())
	w.begun[machine] = true
	e.batch.waves[name] = w
	e.wake()
}

// publishWave publishes the state of a wave. If that fails, it is retried with the next
// step.
func (e *Engine) publishWave(ctx context.Context, name string, completed bool) bool {
	ctx, cancel := context.WithTimeout(ctx, machineCallTimeout)
	defer cancel()
	if err := e.settings.Machines.PublishWave(ctx, e.Epoch(), name, completed); err != nil {
		events.MaintenanceCallFailed.LogError(err, "wave", name, "step", "announce", "completed", completed)
		return false
	}
	return true
}

// recordPublished records that the state of a wave was published. The completion is
// stored only after that, so that the next owner publishes it if this one could not.
func (e *Engine) recordPublished(name string, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.waves[name]
	w.published, w.completed = true, completed
	if completed {
		e.batch.waves[name] = w
		e.wake()
		events.WaveCompleted.Log("wave", name, "machines", len(w.begun))
	}
}
