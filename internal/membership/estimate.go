package membership

import (
	"math"
	"time"
)

const (
	// initialLoadLifetime is how long a load report counts while the service time of the
	// member is unknown.
	initialLoadLifetime = 100 * time.Millisecond
	// minObservationWeight is the weight of a new observation in the smoothed service time
	// when observations are frequent; it rises as the previous one ages.
	minObservationWeight = 0.05
	// serviceTimeHalfLife is the time without observations after which the previous
	// estimate has lost half its weight.
	serviceTimeHalfLife = time.Second
)

// RecordLoad stores the numbers of running and queued requests that the agent reported.
// When the report came with a reply, it must be called while that reply's request still
// counts in InFlight, with answered = 1; for a heartbeat answered is 0.
func (m *Member) RecordLoad(running, queued, answered int64, now time.Time) {
	m.Running.Store(running)
	m.Queued.Store(queued)
	own := m.InFlight.Load() - answered
	m.otherLoad.Store(max(0, running+queued-own))
	m.reportedAt.Store(now.UnixNano())
}

// EstimatedLoad estimates the number of requests at the endpoint: those of this entry plus
// those of other entries according to the last report. The weight of the report falls
// linearly to zero over one service time, after which the requests that it counted have
// been answered.
func (m *Member) EstimatedLoad(now time.Time) float64 {
	own := float64(m.InFlight.Load())
	otherLoad := m.otherLoad.Load()
	if otherLoad == 0 {
		return own
	}
	lifetime := m.ServiceTime()
	if lifetime == 0 {
		lifetime = float64(initialLoadLifetime)
	}
	weight := 1 - float64(now.UnixNano()-m.reportedAt.Load())/lifetime
	return own + float64(otherLoad)*min(max(weight, 0), 1)
}

// ObserveServiceTime adds the service time of one answer, which must be positive, to the
// smoothed service time. The mean is geometric, so that a few long answers of a heavy tail
// hardly change it while an endpoint that is slower throughout does. After a time without
// observations the new one gets the weight that the old estimate has lost.
func (m *Member) ObserveServiceTime(took time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.observedAt.Load()
	m.observedAt.Store(now.UnixNano())
	if at == 0 {
		m.serviceTimeBits.Store(math.Float64bits(float64(took)))
		return
	}
	old := math.Float64frombits(m.serviceTimeBits.Load())
	weight := max(minObservationWeight, 1-decayFactor(now.UnixNano()-at))
	m.serviceTimeBits.Store(math.Float64bits(old * math.Pow(float64(took)/old, weight)))
}

// ServiceTime returns the smoothed service time in nanoseconds, or 0 before the
// first observation.
func (m *Member) ServiceTime() float64 { return math.Float64frombits(m.serviceTimeBits.Load()) }

// EstimatedServiceTime returns the expected service time in nanoseconds, given the typical
// one among the candidates of a pick. An idle member without observations returns 0, and
// an above-typical estimate of an idle member decays towards the typical one, so that a
// single request is sent to measure its present speed.
func (m *Member) EstimatedServiceTime(typical float64, now time.Time) float64 {
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
	return typical + (s-typical)*decayFactor(now.UnixNano()-m.observedAt.Load())
}

// decayFactor returns the weight that an estimate still has after ageNanos nanoseconds,
// between 0 and 1.
func decayFactor(ageNanos int64) float64 {
	return math.Exp2(-float64(ageNanos) / float64(serviceTimeHalfLife))
}
