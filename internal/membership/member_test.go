package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
)

var start = time.Unix(1_000_000, 0)

func newTestMember() *Member { return NewMember(&pb.Endpoint{Agent: "agent-1", Slots: 8}, start) }

// TestEjection checks the failure threshold, the ejection time and its doubling.
func TestEjection(t *testing.T) {
	const threshold, pause = 3, time.Second
	m := newTestMember()
	m.RecordFailure(start, threshold, pause)
	m.RecordFailure(start, threshold, pause)
	assert.Check(t, !m.Ejected(start), "below the threshold")
	m.RecordFailure(start, threshold, pause)
	assert.Check(t, m.Ejected(start.Add(pause-1)))
	assert.Check(t, !m.Ejected(start.Add(pause)))

	again := start.Add(pause)
	m.RecordFailure(again, threshold, pause)
	assert.Check(t, m.Ejected(again.Add(2*pause-1)), "one more failure ejects it for twice as long")
	assert.Check(t, !m.Ejected(again.Add(2*pause)))

	m.RecordSuccess()
	m.RecordFailure(again.Add(2*pause), threshold, pause)
	assert.Check(t, !m.Ejected(again.Add(2*pause)), "a success resets the failure count")
}

// TestEjectionTimeIsBounded checks that the ejection time stops doubling.
func TestEjectionTimeIsBounded(t *testing.T) {
	m := newTestMember()
	now := start
	for range 20 {
		m.RecordFailure(now, 1, time.Second)
		now = now.Add(time.Second << maxEjectionDoublings)
		assert.Check(t, !m.Ejected(now))
	}
}

// TestEjectKeepsLongerEjection checks that a short ejection never ends a longer one.
func TestEjectKeepsLongerEjection(t *testing.T) {
	m := newTestMember()
	m.Eject(start, time.Minute)
	m.Eject(start, time.Second)
	assert.Check(t, m.Ejected(start.Add(time.Minute-1)))
}

// TestLoad checks how much a load report adds to this entry's own requests, and for how long.
func TestLoad(t *testing.T) {
	cases := []struct {
		name                           string
		own, running, queued, answered int64
		age                            time.Duration
		want                           float64
	}{
		{"requests in the report beyond our own are others'", 3, 5, 2, 0, 0, 7},
		{"the answered request is no longer at the agent", 3, 5, 0, 1, 0, 6},
		{"report is older than our own requests", 5, 2, 0, 0, 0, 5},
		{"report at half its lifetime", 0, 4, 0, 0, initialLoadLifetime / 2, 2},
		{"report past its lifetime", 1, 9, 0, 0, 10 * initialLoadLifetime, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMember()
			m.InFlight.Add(c.own)
			m.RecordLoad(c.running, c.queued, c.answered, start)
			assert.Equal(t, m.EstimatedLoad(start.Add(c.age)), c.want)
			assert.Equal(t, m.Running.Load(), c.running)
			assert.Equal(t, m.Queued.Load(), c.queued)
		})
	}
}

// TestLoadAgesWithServiceTime checks that a load report counts for one service time.
func TestLoadAgesWithServiceTime(t *testing.T) {
	const service = 4 * time.Millisecond
	m := newTestMember()
	m.ObserveServiceTime(service, start)
	m.RecordLoad(8, 0, 0, start)
	assert.Equal(t, m.EstimatedLoad(start.Add(service/2)), 4.0)
	assert.Equal(t, m.EstimatedLoad(start.Add(service)), 0.0)
}

// TestServiceTime checks smoothing, decay and the probing of an idle member.
func TestServiceTime(t *testing.T) {
	const typical, slow = float64(20 * time.Millisecond), float64(200 * time.Millisecond)
	m := newTestMember()
	assert.Equal(t, m.EstimatedServiceTime(typical, start), 0.0, "unknown and idle: gets a probing request")
	m.InFlight.Add(1)
	assert.Equal(t, m.EstimatedServiceTime(typical, start), typical, "unknown, with the probing request in flight")
	m.InFlight.Add(-1)

	m.ObserveServiceTime(time.Duration(slow), start)
	later := start.Add(10 * serviceTimeHalfLife)
	m.InFlight.Add(1)
	assert.Equal(t, m.EstimatedServiceTime(typical, later), slow, "a probing request is in flight")
	m.InFlight.Add(-1)
	assert.Check(t, m.EstimatedServiceTime(typical, later) < 1.1*typical, "idle: the estimate decays so that it is probed")

	m.ObserveServiceTime(time.Duration(typical), later)
	assert.Check(t, m.ServiceTime() < 1.1*typical, "the probing request replaces the decayed estimate")

	m.ObserveServiceTime(time.Duration(slow), later)
	assert.Check(t, m.ServiceTime() < 1.3*typical, "one long answer among frequent ones has little weight")
}
