package membership

import (
	"math"
	"time"
)

const (
	// loadFreshness is how long a load report says anything about the requests
	// of other entries: most of what ran then has been answered since.
	loadFreshness = 100 * time.Millisecond
	// serviceSmoothing is the weight of one observation among frequent ones.
	serviceSmoothing = 0.05
	// serviceHalfLife is how fast an estimate ages without observations.
	serviceHalfLife = time.Second
)

// NoteLoad takes the requests that the agent reports running and queued. It
// must be called while the reply's own request, if any, still counts in
// InFlight; settled is then 1, and 0 for a heartbeat.
func (m *Member) NoteLoad(running, queued, settled int64, now time.Time) {
	m.Running.Store(running)
	m.Queued.Store(queued)
	own := m.InFlight.Load() - settled
	m.others.Store(max(0, running+queued-own))
	m.reportedAt.Store(now.UnixNano())
}

// Load estimates the requests at the endpoint: those of this entry, and those
// of other entries by the last report, counted less the older it is.
func (m *Member) Load(now time.Time) float64 {
	own := float64(m.InFlight.Load())
	others := m.others.Load()
	if others == 0 {
		return own
	}
	age := now.UnixNano() - m.reportedAt.Load()
	fresh := 1 - float64(age)/float64(loadFreshness)
	return own + float64(others)*min(max(fresh, 0), 1)
}

// ObserveService takes the service time of one answer, which must be positive.
// The mean is geometric: a few long answers of a heavy tail hardly move it, an
// endpoint that is slower throughout does. After a silence the observation
// counts for more: it replaces what has aged.
func (m *Member) ObserveService(took time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.observedAt.Load()
	m.observedAt.Store(now.UnixNano())
	if at == 0 {
		m.service.Store(math.Float64bits(float64(took)))
		return
	}
	old := math.Float64frombits(m.service.Load())
	weight := max(serviceSmoothing, 1-aged(now.UnixNano()-at))
	m.service.Store(math.Float64bits(old * math.Pow(float64(took)/old, weight)))
}

// ServiceTime returns the smoothed service time in nanoseconds, or 0 before the
// first observation.
func (m *Member) ServiceTime() float64 { return math.Float64frombits(m.service.Load()) }

// ServiceTimeNear returns the smoothed service time in nanoseconds, given what
// is typical among the members. An idle member that is not known yet counts as
// instant, and the long estimate of an idle member falls back towards the
// typical one, so that a single request finds out how it does now.
func (m *Member) ServiceTimeNear(typical float64, now time.Time) float64 {
	s := m.ServiceTime()
	idle := m.InFlight.Load() == 0
	switch {
	case s == 0 && idle:
		return 0
	case s == 0:
		return typical
	case s <= typical || !idle:
		return s
	}
	return typical + (s-typical)*aged(now.UnixNano()-m.observedAt.Load())
}

// aged returns the share of an estimate that is left after age nanoseconds.
func aged(age int64) float64 {
	return math.Exp2(-float64(age) / float64(serviceHalfLife))
}
