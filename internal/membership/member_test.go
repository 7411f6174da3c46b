package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
)

var start = time.Unix(1_000_000, 0)

func newTestMember() *Member { return NewMember(&pb.Endpoint{Agent: "agent-1", Slots: 8}, start) }

// TestEjection checks threshold, pause and the growth of the pause.
func TestEjection(t *testing.T) {
	const threshold, pause = 3, time.Second
	m := newTestMember()
	m.NoteFailure(start, threshold, pause)
	m.NoteFailure(start, threshold, pause)
	assert.Check(t, !m.Ejected(start), "below the threshold")
	m.NoteFailure(start, threshold, pause)
	assert.Check(t, m.Ejected(start.Add(pause-1)))
	assert.Check(t, !m.Ejected(start.Add(pause)))

	again := start.Add(pause)
	m.NoteFailure(again, threshold, pause)
	assert.Check(t, m.Ejected(again.Add(2*pause-1)), "one more failure is enough, for twice the pause")
	assert.Check(t, !m.Ejected(again.Add(2*pause)))

	m.NoteSuccess()
	m.NoteFailure(again.Add(2*pause), threshold, pause)
	assert.Check(t, !m.Ejected(again.Add(2*pause)), "a success forgives")
}

// TestPauseIsBounded checks that the pause stops growing.
func TestPauseIsBounded(t *testing.T) {
	m := newTestMember()
	now := start
	for range 20 {
		m.NoteFailure(now, 1, time.Second)
		now = now.Add(time.Second << maxPauseDoublings)
		assert.Check(t, !m.Ejected(now))
	}
}

// TestEjectKeepsLongerPause checks that a short pause never ends a long one.
func TestEjectKeepsLongerPause(t *testing.T) {
	m := newTestMember()
	m.Eject(start, time.Minute)
	m.Eject(start, time.Second)
	assert.Check(t, m.Ejected(start.Add(time.Minute-1)))
}

// TestLoad checks what reports add to the own requests, and for how long.
func TestLoad(t *testing.T) {
	cases := []struct {
		name                          string
		own, running, queued, settled int64
		age                           time.Duration
		want                          float64
	}{
		{"others are what the report has beyond the own", 3, 5, 2, 0, 0, 7},
		{"the reply's own request has left the agent", 3, 5, 0, 1, 0, 6},
		{"older than the own requests", 5, 2, 0, 0, 0, 5},
		{"half aged", 0, 4, 0, 0, loadFreshness / 2, 2},
		{"aged", 1, 9, 0, 0, 10 * loadFreshness, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMember()
			m.InFlight.Add(c.own)
			m.NoteLoad(c.running, c.queued, c.settled, start)
			assert.Equal(t, m.Load(start.Add(c.age)), c.want)
			assert.Equal(t, m.Running.Load(), c.running)
			assert.Equal(t, m.Queued.Load(), c.queued)
		})
	}
}

// TestServiceTime checks smoothing, ageing and the probe of an idle member.
func TestServiceTime(t *testing.T) {
	const typical, slow = float64(20 * time.Millisecond), float64(200 * time.Millisecond)
	m := newTestMember()
	assert.Equal(t, m.ServiceTimeNear(typical, start), 0.0, "unknown and idle: worth a probe")
	m.InFlight.Add(1)
	assert.Equal(t, m.ServiceTimeNear(typical, start), typical, "unknown, the probe is out")
	m.InFlight.Add(-1)

	m.ObserveService(time.Duration(slow), start)
	later := start.Add(10 * serviceHalfLife)
	m.InFlight.Add(1)
	assert.Equal(t, m.ServiceTimeNear(typical, later), slow, "a probe is out")
	m.InFlight.Add(-1)
	assert.Check(t, m.ServiceTimeNear(typical, later) < 1.1*typical, "idle: falls back to be probed")

	m.ObserveService(time.Duration(typical), later)
	assert.Check(t, m.ServiceTime() < 1.1*typical, "the probe replaces the aged estimate")

	m.ObserveService(time.Duration(slow), later)
	assert.Check(t, m.ServiceTime() < 1.3*typical, "one long answer among frequent ones hardly counts")
}
