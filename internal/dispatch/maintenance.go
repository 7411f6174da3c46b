package dispatch

import (
	"context"
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/catalog"
	"chervilridge/internal/events"
	"chervilridge/internal/upkeep"
	"chervilridge/internal/work"
	"chervilridge/platform"
)

const (
	// maintainInterval is the pause between two looks at the waves; the platform takes 60
	// readings a second from all processes together (cloud-api.rate-per-s).
	maintainInterval = 400 * time.Millisecond
	// machineTimeout bounds one call of the machine API.
	machineTimeout = time.Second
	// emptyTime is what the tasks of a machine get to end before its upkeep begins; those
	// with checkpoints and those that serve are stopped at once and go on elsewhere.
	emptyTime = 2500 * time.Millisecond
)

// Machines is the platform's machine API, with the place where waves are told of.
type Machines interface {
	List(ctx context.Context) ([]platform.Machine, error)
	Upkeep(ctx context.Context, machine string, wave int64, fence uint64) error
	Announce(ctx context.Context, wave string, completed bool) error
}

// wave is how far a maintenance wave is.
type wave struct {
	begun map[string]bool // machines whose upkeep was taken on
	// ordered are machines whose upkeep was ordered since they were listed.
	ordered   map[string]bool
	announced bool // as running
	completed bool
}

func newWave() *wave { return &wave{begun: map[string]bool{}, ordered: map[string]bool{}} }

func (w *wave) progress(name string) *chervilv2.WaveProgress {
	p := &chervilv2.WaveProgress{Wave: name, Completed: w.completed}
	for machine := range w.begun {
		p.Begun = append(p.Begun, machine)
	}
	slices.Sort(p.Begun)
	return p
}

// recallWaves takes in how far an owner before this one came.
func (e *Engine) recallWaves(stored map[string]*chervilv2.WaveProgress) {
	for name, p := range stored {
		w := newWave()
		w.completed = p.Completed
		for _, machine := range p.Begun {
			w.begun[machine] = true
		}
		e.waves[name] = w
	}
}

// maintain carries out the operator's maintenance waves until the context ends.
func (e *Engine) maintain(ctx context.Context) {
	for {
		select {
		case <-time.After(maintainInterval):
		case <-ctx.Done():
			return
		}
		for name, asked := range e.openWaves() {
			e.serveWave(ctx, name, asked)
		}
	}
}

// openWaves returns the waves that are asked for and not completed.
func (e *Engine) openWaves() map[string]catalog.Wave {
	e.mu.Lock()
	defer e.mu.Unlock()
	view := e.operator()
	if view == nil || e.closed || e.writer.ConfirmedFor() > ConfirmLimit {
		return nil
	}
	out := map[string]catalog.Wave{}
	for name, asked := range view.Waves {
		if w := e.waves[name]; w == nil || !w.completed {
			out[name] = asked
		}
	}
	if len(out) == 0 { // a wave that was taken back leaves nothing emptied
		for _, n := range e.nodes {
			n.emptying = 0
		}
	}
	return out
}

// serveWave lists the machines and takes the next steps of a wave.
func (e *Engine) serveWave(ctx context.Context, name string, asked catalog.Wave) {
	listCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	listed, err := e.settings.Machines.List(listCtx)
	if err != nil {
		events.UpkeepRejected.LogError(err, "wave", name, "step", "list")
		return
	}
	begin, announce, completed := e.stepWave(name, asked, listed)
	if announce && e.announce(ctx, name, completed) {
		e.announced(name, completed)
	}
	for _, machine := range begin {
		e.beginUpkeep(ctx, name, asked, machine)
	}
}

// stepWave decides and empties machines; it returns those whose upkeep begins now, and
// whether the state of the wave is to be told.
func (e *Engine) stepWave(name string, asked catalog.Wave, listed []platform.Machine) (begin []string, announce, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.waves[name]
	if w == nil {
		w = newWave()
		e.waves[name] = w
		events.WaveBegun.Log("wave", name, "machines", len(asked.Machines), "maxDown", asked.MaxDown, "duration", asked.Duration)
	}
	now := e.clock()
	d := upkeep.Decide(asked, e.waveMachines(w, asked, listed, now))
	clear(w.ordered)
	for _, machine := range d.Reserve {
		if n := e.nodeOf(machine, listed); n != nil {
			n.emptying = now
			events.MachineEmptied.Log("wave", name, "machine", machine, "node", n.name, "runs", len(n.runs))
		}
	}
	e.empty(now)
	return d.Begin, d.Completed || !w.announced, d.Completed
}

// waveMachines describes the machines of a wave.
func (e *Engine) waveMachines(w *wave, asked catalog.Wave, listed []platform.Machine, now boottime.Instant) []upkeep.Machine {
	byName := make(map[string]platform.Machine, len(listed))
	for _, m := range listed {
		byName[m.Name] = m
	}
	out := make([]upkeep.Machine, 0, len(asked.Machines))
	for _, name := range asked.Machines {
		m, ok := byName[name]
		next := upkeep.Machine{Name: name, Missing: !ok, Begun: w.begun[name]}
		// What was ordered after this list was made is not in it.
		next.Up = m.State == platform.MachineUp && !w.ordered[name]
		if n := e.nodeOf(name, listed); n != nil {
			next.Emptying = n.emptying != 0
			next.Empty = next.Emptying && (len(n.runs) == 0 || now.Sub(n.emptying) > emptyTime && !e.bound(n))
		} else if ok && next.Up { // no agent of ours: nothing to empty
			next.Emptying, next.Empty = true, true
		}
		out = append(out, next)
	}
	return out
}

// nodeOf returns the node whose worker lives on the machine, or nil.
func (e *Engine) nodeOf(machine string, listed []platform.Machine) *node {
	for _, m := range listed {
		if m.Name != machine || m.WorkerID == "" {
			continue
		}
		for _, n := range e.nodes {
			if n.key.ID == m.WorkerID {
				return n
			}
		}
	}
	return nil
}

// empty stops what can go on elsewhere on the nodes that are emptied.
func (e *Engine) empty(now boottime.Instant) {
	for _, n := range e.nodes {
		if n.emptying == 0 {
			continue
		}
		for _, h := range n.runs {
			serves := h.step.LongRunning
			if h.run.Stopping || !serves && !h.step.Checkpointable || serves && !e.mayStop(h) {
				continue
			}
			e.stopAll([]*work.Run{h.run}, "machine is emptied for its upkeep")
		}
	}
	e.wake()
}

// mayStop reports whether a lasting task may be taken away: fewer others of its step are
// away than the step bears. A step that names no bound bears one at a time.
func (e *Engine) mayStop(h *held) bool {
	en := e.jobs[h.run.Ref.Job]
	step, _ := en.job.Task(h.run.Ref)
	away := 0
	for i := range step.Tasks {
		if uint32(i) != h.run.Ref.Index && !e.atWork(&step.Tasks[i]) {
			away++
		}
	}
	return away < int(max(step.Spec.MayMiss, 1))
}

// atWork reports whether a task serves.
func (e *Engine) atWork(t *work.Task) bool {
	for _, r := range t.Runs {
		h := e.node(r.Worker.Node).runs[runKey{r.Ref, r.Attempt}]
		if h != nil && !r.Stopping && h.percent >= atWork {
			return true
		}
	}
	return false
}

// bound reports whether lasting tasks still run on the node: their steps bear no more
// tasks away, so that its upkeep has to wait.
func (e *Engine) bound(n *node) bool {
	for _, h := range n.runs {
		if h.step.LongRunning {
			return true
		}
	}
	return false
}

// beginUpkeep orders the upkeep of a machine. A call without an answer may have been
// carried out: the next list tells, and the order may be repeated.
func (e *Engine) beginUpkeep(ctx context.Context, name string, asked catalog.Wave, machine string) {
	ctx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	err := e.settings.Machines.Upkeep(ctx, machine, asked.Number, e.Epoch())
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.waves[name]
	w.ordered[machine] = true
	if err != nil {
		events.UpkeepRejected.LogError(err, "wave", name, "machine", machine, "epoch", e.Epoch())
		return
	}
	events.UpkeepOrdered.Log("wave", name, "machine", machine, "epoch", e.Epoch())
	w.begun[machine] = true
	e.batch.waves[name] = w
	e.wake()
}

// announce tells how the wave goes; it is told again with the next step if that fails.
func (e *Engine) announce(ctx context.Context, name string, completed bool) bool {
	ctx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	if err := e.settings.Machines.Announce(ctx, name, completed); err != nil {
		events.UpkeepRejected.LogError(err, "wave", name, "step", "announce", "completed", completed)
		return false
	}
	return true
}

// announced notes what was told of the wave. Its end is stored only now, so that the next
// owner tells it if this one could not.
func (e *Engine) announced(name string, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.waves[name]
	w.announced, w.completed = true, completed
	if completed {
		e.batch.waves[name] = w
		e.wake()
		events.WaveCompleted.Log("wave", name, "machines", len(w.begun))
	}
}
