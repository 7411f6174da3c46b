package agent

import (
	"context"
	"sync/atomic"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/agent/admission"
	"chervilridge/internal/agent/latency"
	"chervilridge/internal/agent/runner"
	"chervilridge/internal/process"
	"chervilridge/internal/table/view"
)

const (
	milli = 1000
	// aloneLife outlasts some beats; the load may have changed after it.
	aloneLife = 5 * time.Second
)

// health probes the endpoint and keeps the newest answer.
type health struct {
	run *runner.Runner
	ok  atomic.Bool
}

func newHealth(run *runner.Runner, bg *process.Background) *health {
	h := &health{run: run}
	bg.Go(h.loop)
	return h
}

func (h *health) good() bool { return h.ok.Load() }

func (h *health) loop(ctx context.Context) {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		h.ok.Store(h.run.Probe(ctx))
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// serviceView is what the worker's side needs to know of the service.
type serviceView struct {
	alone   atomic.Pointer[aloneNote]
	service string
	slots   int
	window  *latency.Window
	recent  *latency.Window
	gate    *admission.Gate
	run     *runner.Runner
	table   *view.View
}

func newServiceView(o *Options, w *latency.Window, recent recentWindow, g *admission.Gate, run *runner.Runner, v *view.View) *serviceView {
	return &serviceView{service: *o.Service, slots: int(*o.Slots), window: w, recent: recent.Window, gate: g, run: run, table: v}
}

// Name returns the name of the service.
func (s *serviceView) Name() string { return s.service }

// Latency returns the service's 99th percentile and its target.
func (s *serviceView) Latency() (p99, target time.Duration) {
	p99, _ = s.window.P99()
	row := s.table.Row(pb.RowKind_ROW_KIND_SERVICE, s.service)
	return p99, time.Duration(row.GetLatencyTargetMs()) * time.Millisecond
}

// Recent returns the 99th percentile over a short window, its target and the
// number of answers in the window.
func (s *serviceView) Recent() (p99, target time.Duration, samples int64) {
	p99, samples = s.recent.P99()
	_, target = s.Latency()
	return p99, target, samples
}

// LoadMilli returns the share of the slots in use in thousandths.
func (s *serviceView) LoadMilli() uint32 {
	running, _ := s.gate.Load()
	return uint32(running * milli / s.slots)
}

// NoteAlone takes the latency that the service would have without batch work, as
// the shard's owner learned it; 0 if it has not.
func (s *serviceView) NoteAlone(alone time.Duration) {
	s.alone.Store(&aloneNote{latency: alone, at: time.Now()})
}

// Alone returns that latency, or 0 if it is not known or too old.
func (s *serviceView) Alone() time.Duration {
	note := s.alone.Load()
	if note == nil || time.Since(note.at) > aloneLife {
		return 0
	}
	return note.latency
}

// aloneNote is what the owner told last.
type aloneNote struct {
	latency time.Duration
	at      time.Time
}

// Leaving reports whether the agent is in a planned stop.
func (s *serviceView) Leaving() bool { return s.run.Leaving() }
