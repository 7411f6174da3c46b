// Package worker is the stand-in for the platform's workers: they run attempts
// under leases on a clock that is given, report usage with a lag, and can
// checkpoint, throttle and stop. A recorder watches for broken promises.
package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/platform"
)

const fullShareMilli = 1000

// Faults are the troubles that a worker is in. The zero value is none.
type Faults struct {
	// BlackHole fails every attempt at once.
	BlackHole bool `json:"black_hole"`
	// Down refuses every call; attempts run on until their lease ends.
	Down bool `json:"down"`
	// Dead drops every attempt at once and refuses every call.
	Dead bool `json:"dead"`
}

// Options describe one worker.
type Options struct {
	Info     platform.WorkerInfo
	Recorder *Recorder
	// UsageLag is how old the usage report is.
	UsageLag time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Worker implements platform.Worker in memory. One lock guards its attempts.
type Worker struct {
	options Options

	mu       sync.Mutex
	faults   Faults
	attempts map[platform.TaskKey]*attempt
	samples  []sample
}

type attempt struct {
	spec       platform.StartSpec
	phase      platform.TaskPhase
	shareMilli uint32
	// done is the work finished when it was last advanced.
	done     time.Duration
	started  time.Time
	advanced time.Time
	leaseEnd time.Time
	ranFor   time.Duration
	fails    bool
	saved    []byte // newest checkpoint
}

type sample struct {
	at   time.Time
	used *pb.Resources
}

type progress struct {
	DoneMs int64 `json:"done_ms"`
}

// payloadDirective is what a payload may ask of the stand-in.
type payloadDirective struct {
	Fail bool `json:"fail"`
	// RunMs is the true run time, whatever was declared.
	RunMs int64 `json:"run_ms"`
}

// New returns an idle worker.
func New(options Options) *Worker {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Recorder == nil {
		options.Recorder = NewRecorder()
	}
	return &Worker{options: options, attempts: map[platform.TaskKey]*attempt{}}
}

// SetFaults replaces the faults in force.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.faults = f
	if !f.Dead {
		return
	}
	for key, a := range w.attempts {
		if a.phase == platform.PhaseRunning {
			w.end(key, a, platform.PhaseStopped)
		}
	}
}

// Reset brings a dead worker back as a new one: without faults and attempts.
func (w *Worker) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = Faults{}
	w.attempts = map[platform.TaskKey]*attempt{}
}

// Describe implements platform.Worker.
func (w *Worker) Describe(context.Context) (platform.WorkerInfo, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.options.Info, w.reachable()
}

// Start implements platform.Worker.
func (w *Worker) Start(ctx context.Context, spec platform.StartSpec) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.takes(ctx); err != nil {
		return err
	}
	w.advance()
	if _, known := w.attempts[spec.Key]; known {
		return platform.ErrExists
	}
	a := w.newAttempt(spec)
	w.attempts[spec.Key] = a
	w.options.Recorder.started(w.options.Info, spec, a.started, a.leaseEnd)
	w.checkCapacity()
	if w.faults.BlackHole {
		w.end(spec.Key, a, platform.PhaseFailed)
	}
	return nil
}

func (w *Worker) newAttempt(spec platform.StartSpec) *attempt {
	now := w.options.Now()
	a := &attempt{
		spec: spec, phase: platform.PhaseRunning, shareMilli: fullShareMilli,
		started: now, advanced: now, leaseEnd: now.Add(spec.Lease),
	}
	var d payloadDirective
	if json.Unmarshal(spec.Payload, &d) == nil {
		a.fails = d.Fail
		if d.RunMs > 0 {
			a.spec.Duration = time.Duration(d.RunMs) * time.Millisecond
		}
	}
	var p progress
	if len(spec.Checkpoint) > 0 && json.Unmarshal(spec.Checkpoint, &p) == nil {
		a.done = time.Duration(p.DoneMs) * time.Millisecond
	}
	return a
}

// Renew implements platform.Worker.
func (w *Worker) Renew(ctx context.Context, key platform.TaskKey, lease time.Duration) error {
	return w.withRunning(ctx, key, func(a *attempt) {
		a.leaseEnd = w.options.Now().Add(lease)
		w.options.Recorder.renewed(key, a.leaseEnd)
	})
}

// Throttle implements platform.Worker.
func (w *Worker) Throttle(ctx context.Context, key platform.TaskKey, shareMilli uint32) error {
	return w.withRunning(ctx, key, func(a *attempt) { a.shareMilli = min(shareMilli, fullShareMilli) })
}

// Checkpoint implements platform.Worker.
func (w *Worker) Checkpoint(ctx context.Context, key platform.TaskKey) ([]byte, error) {
	var handle []byte
	err := w.withRunning(ctx, key, func(a *attempt) {
		handle = encodeProgress(a.done)
		a.saved = handle
	})
	return handle, err
}

// Stop implements platform.Worker.
func (w *Worker) Stop(ctx context.Context, key platform.TaskKey) (platform.TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.takes(ctx); err != nil {
		return platform.TaskStatus{}, err
	}
	w.advance()
	a, ok := w.attempts[key]
	if !ok {
		return platform.TaskStatus{}, platform.ErrNoSuchTask
	}
	if a.phase == platform.PhaseRunning {
		w.end(key, a, platform.PhaseStopped)
	}
	return w.status(key, a), nil
}

// List implements platform.Worker.
func (w *Worker) List(context.Context) ([]platform.TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return nil, err
	}
	w.advance()
	out := make([]platform.TaskStatus, 0, len(w.attempts))
	for key, a := range w.attempts {
		out = append(out, w.status(key, a))
	}
	return out, nil
}

// Forget implements platform.Worker.
func (w *Worker) Forget(ctx context.Context, key platform.TaskKey) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.takes(ctx); err != nil {
		return err
	}
	w.advance()
	if a, ok := w.attempts[key]; ok && a.phase != platform.PhaseRunning {
		delete(w.attempts, key)
	}
	return nil
}

// Usage implements platform.Worker; the figures are UsageLag old.
func (w *Worker) Usage(context.Context) (platform.Usage, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return platform.Usage{}, err
	}
	w.advance()
	now := w.options.Now()
	w.samples = append(w.samples, sample{at: now, used: w.used()})
	visible := now.Add(-w.options.UsageLag)
	for len(w.samples) > 1 && !w.samples[1].at.After(visible) {
		w.samples = w.samples[1:]
	}
	s := w.samples[0]
	if s.at.After(visible) {
		return platform.Usage{Used: &pb.Resources{}, Age: w.options.UsageLag}, nil
	}
	return platform.Usage{Used: s.used, Age: now.Sub(s.at)}, nil
}

// Running returns the classes of the attempts that run now with their shares.
func (w *Worker) Running() map[platform.TaskKey]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	out := map[platform.TaskKey]string{}
	for key, a := range w.attempts {
		if a.phase == platform.PhaseRunning {
			out[key] = a.spec.JobClass
		}
	}
	return out
}

func (w *Worker) withRunning(ctx context.Context, key platform.TaskKey, do func(*attempt)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.takes(ctx); err != nil {
		return err
	}
	w.advance()
	a, ok := w.attempts[key]
	if !ok || a.phase != platform.PhaseRunning {
		return platform.ErrNoSuchTask
	}
	do(a)
	return nil
}

// takes reports whether a call takes effect: one whose context has ended does
// not.
func (w *Worker) takes(ctx context.Context) error {
	if ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	return w.reachable()
}

func (w *Worker) reachable() error {
	if w.faults.Down || w.faults.Dead {
		return platform.ErrUnavailable
	}
	return nil
}

// advance brings every running attempt to the present: it ends those that
// finished or whose lease lapsed since the last call.
func (w *Worker) advance() {
	now := w.options.Now()
	for key, a := range w.attempts {
		if a.phase == platform.PhaseRunning {
			w.advanceOne(key, a, now)
		}
	}
}

func (w *Worker) advanceOne(key platform.TaskKey, a *attempt, now time.Time) {
	until := now
	if a.leaseEnd.Before(now) {
		until = a.leaseEnd
	}
	gained := time.Duration(int64(until.Sub(a.advanced)) * int64(a.shareMilli) / fullShareMilli)
	a.done += max(gained, 0)
	a.advanced = until
	a.ranFor = until.Sub(a.started)
	switch {
	case a.done >= a.spec.Duration && a.fails:
		w.end(key, a, platform.PhaseFailed)
	case a.done >= a.spec.Duration:
		w.end(key, a, platform.PhaseFinished)
	case a.leaseEnd.Before(now):
		w.end(key, a, platform.PhaseLapsed)
	}
}

func (w *Worker) end(key platform.TaskKey, a *attempt, phase platform.TaskPhase) {
	a.phase = phase
	w.options.Recorder.ended(key, phase)
}

func (w *Worker) used() *pb.Resources {
	sum := &pb.Resources{}
	for _, a := range w.attempts {
		if a.phase != platform.PhaseRunning || a.spec.Reserved == nil {
			continue
		}
		sum.CpuMilli += a.spec.Reserved.CpuMilli * int64(a.shareMilli) / fullShareMilli
		sum.MemoryMb += a.spec.Reserved.MemoryMb
		sum.Accelerators += a.spec.Reserved.Accelerators
	}
	return sum
}

func (w *Worker) checkCapacity() {
	sum := &pb.Resources{}
	for _, a := range w.attempts {
		if a.phase == platform.PhaseRunning && a.spec.Reserved != nil {
			sum.CpuMilli += a.spec.Reserved.CpuMilli
			sum.MemoryMb += a.spec.Reserved.MemoryMb
			sum.Accelerators += a.spec.Reserved.Accelerators
		}
	}
	c := w.options.Info.Capacity
	if sum.CpuMilli > c.CpuMilli || sum.MemoryMb > c.MemoryMb || sum.Accelerators > c.Accelerators {
		w.options.Recorder.overcommitted(w.options.Info.Name, fmt.Sprintf("%v of %v", sum, c))
	}
}

func (w *Worker) status(key platform.TaskKey, a *attempt) platform.TaskStatus {
	s := platform.TaskStatus{Key: key, Phase: a.phase, Ran: a.ranFor, Used: a.spec.Reserved}
	switch a.phase {
	case platform.PhaseFinished:
		s.Result = fmt.Appendf(nil, "%s/%d:%016x", key.JobID, key.Index, xxhash.Sum64(a.spec.Payload))
	case platform.PhaseFailed:
		s.Detail = "attempt failed"
	case platform.PhaseRunning:
		s.Checkpoint = a.saved
	default:
		s.Checkpoint = encodeProgress(a.done)
	}
	return s
}

func encodeProgress(done time.Duration) []byte {
	handle, err := json.Marshal(progress{DoneMs: done.Milliseconds()})
	if err != nil {
		return nil
	}
	return handle
}
