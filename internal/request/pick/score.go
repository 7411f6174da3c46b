package pick

import (
	"time"

	"chervilridge/internal/membership"
)

// likeShare is how much longer than typical a service time must be to count as
// slower: smaller differences are noise, and following them would heap the
// requests on a few members.
const likeShare = 1.3

// firstGuess is the typical service time until one is observed.
const firstGuess = 10 * time.Millisecond

// Scene is what a score may look at besides the member.
type Scene struct {
	Now time.Time
	// Typical is the harmonic mean of the candidates' service times in
	// nanoseconds, which a few slow members hardly move.
	Typical float64
}

// Score rates a member; lower is better.
type Score func(m *membership.Member, s Scene) float64

// OwnLoad scores by what this entry has in flight per slot.
func OwnLoad(m *membership.Member, _ Scene) float64 {
	return float64(m.InFlight.Load()) / slots(m)
}

// ReportedLoad scores by own requests and those of others by the agent's report.
func ReportedLoad(m *membership.Member, s Scene) float64 { return m.Load(s.Now) / slots(m) }

// NoIdleSlot scores 0 for each member with a free slot by the load known, and
// the load per slot otherwise.
func NoIdleSlot(m *membership.Member, s Scene) float64 {
	load := m.Load(s.Now)
	if load < slots(m) {
		return 0
	}
	return load / slots(m)
}

// Distance tells near endpoints from far ones.
type Distance struct {
	// DataCentre is where this entry stands; empty if all are equally far.
	DataCentre string
	// Hop is the one-way delay to another data centre.
	Hop time.Duration
}

// RoundTrip returns the delay of the way to the member and back.
func (d Distance) RoundTrip(m *membership.Member) time.Duration {
	if d.DataCentre == "" || d.DataCentre == m.Endpoint.DataCentre {
		return 0
	}
	return 2 * d.Hop
}

// ExpectedTime scores by the nanoseconds until the answer: way, wait for a slot
// and service, and a cost for each own request there, which spreads the
// requests before anything queues. Only the wait counts the requests of other
// entries: by the time a report arrives, most of them have been answered, and
// entries that spread by the same stale report meet at the same member.
func (d Distance) ExpectedTime(m *membership.Member, s Scene) float64 {
	service := m.ServiceTimeNear(s.Typical, s.Now)
	if service > 0 && service < likeShare*s.Typical {
		service = s.Typical
	}
	busy := min(OwnLoad(m, s), 1)
	return float64(d.RoundTrip(m)) + service*(1+busy+turns(m, m.Load(s.Now)))
}

// turns returns how many service times a request waits behind the load.
func turns(m *membership.Member, load float64) float64 {
	return max(0, load+1-slots(m)) / slots(m)
}

func slots(m *membership.Member) float64 { return float64(max(m.Endpoint.Slots, 1)) }

// typical returns the harmonic mean of the known service times.
func typical(c []*membership.Member) float64 {
	var known, sum float64
	for _, m := range c {
		if t := m.ServiceTime(); t > 0 {
			known++
			sum += 1 / t
		}
	}
	if known == 0 {
		return float64(firstGuess)
	}
	return known / sum
}
