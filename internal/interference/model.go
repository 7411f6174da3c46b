// Package interference learns how much filling tasks of one image take of the headroom
// of serving tasks of another. Headroom is a serving task's target over its tail
// latency: 1 is at the target, and what neighbours take of it adds up, since the tail
// grows with the inverse of what is left. Use of processors is in cores.
package interference

import (
	"cmp"
	"slices"
	"time"

	"chervilridge/internal/boottime"
)

const (
	// unknownSlope is assumed of a pair that was not seen together yet: little, so that
	// it is tried.
	unknownSlope = 0.02
	maxSlope     = 2.0
	// slopeRate is how much of a deviation one sample corrects.
	slopeRate = 0.3
	// deadZone is a deviation that noise explains.
	deadZone = 0.15
	// leastUse is the use below which a sample says nothing of a slope, in cores.
	leastUse = 0.3
	// leastHeadroom and mostHeadroom bound what load alone leaves until it is seen.
	leastHeadroom, mostHeadroom = 1.5, 3.5
	// boundRate is how fast these bounds follow what is seen alone.
	boundRate = 0.2
	// siblingAge is how old a sibling's sample may be: load changes within seconds.
	siblingAge = 700 * time.Millisecond
)

// Pair names the images of a serving and a filling task.
type Pair struct {
	Serving string
	Filling string
}

// Sample is what was seen of a serving task.
type Sample struct {
	At boottime.Instant
	// Service names the tasks that share the load: those of one job.
	Service  string
	Task     string
	Image    string
	Headroom float64
	// Use are the cores that filling tasks beside it use, by image.
	Use map[string]float64
}

// sighting is the newest sample of a task.
type sighting struct {
	at       boottime.Instant
	headroom float64
	taken    float64 // what neighbours are thought to take
}

// Model holds what was learned. Its owner guards it.
type Model struct {
	slope    map[Pair]float64
	services map[string]map[string]sighting
	lo, hi   float64
	revision uint64
}

// New returns a model that knows nothing.
func New() *Model {
	return &Model{slope: map[Pair]float64{}, services: map[string]map[string]sighting{}, lo: leastHeadroom, hi: mostHeadroom}
}

// Revision rises with each notable change of what is known.
func (m *Model) Revision() uint64 { return m.revision }

// Slope returns how much headroom a core in use by a filling task takes.
func (m *Model) Slope(p Pair) float64 {
	if s, ok := m.slope[p]; ok {
		return s
	}
	return unknownSlope
}

// Set replaces what is known of a pair.
func (m *Model) Set(p Pair, slope float64) { m.slope[p] = slope }

// Taken returns the headroom that filling tasks take of a serving one.
func (m *Model) Taken(serving string, use map[string]float64) float64 {
	sum := 0.0
	for filling, cores := range use {
		sum += m.Slope(Pair{serving, filling}) * cores
	}
	return sum
}

// Alone returns the headroom that the service's load leaves at the time, judged by the
// tasks that are disturbed least; ok is false if none was seen lately.
func (m *Model) Alone(service string, now boottime.Instant) (headroom float64, ok bool) {
	best := sighting{}
	for task, s := range m.services[service] {
		if now.Sub(s.at) > siblingAge {
			if now.Sub(s.at) > 10*siblingAge {
				delete(m.services[service], task)
			}
			continue
		}
		if !ok || s.taken < best.taken {
			best, ok = s, true
		}
	}
	if !ok {
		delete(m.services, service)
		return m.lo, false
	}
	return min(max(best.headroom+best.taken, m.lo), m.hi), true
}

// Observe takes in one sample.
func (m *Model) Observe(s Sample) {
	used, squares := 0.0, 0.0
	for _, cores := range s.Use {
		used += cores
		squares += cores * cores
	}
	if m.services[s.Service] == nil {
		m.services[s.Service] = map[string]sighting{}
	}
	taken := m.Taken(s.Image, s.Use)
	m.services[s.Service][s.Task] = sighting{at: s.At, headroom: s.Headroom, taken: taken}
	if used < leastUse {
		m.bound(s.Headroom)
		return
	}
	alone, _ := m.Alone(s.Service, s.At)
	deviation := alone - taken - s.Headroom // positive: neighbours take more than known
	switch {
	case deviation > deadZone:
		deviation -= deadZone
	case deviation < -deadZone:
		deviation += deadZone
	default:
		return
	}
	for filling, cores := range s.Use {
		p := Pair{s.Image, filling}
		before := m.Slope(p)
		after := min(max(before+slopeRate*deviation*cores/squares, 0), maxSlope)
		m.slope[p] = after
		if max(after-before, before-after) > max(before, unknownSlope)/8 {
			m.revision++
		}
	}
}

// bound follows what load alone leaves.
func (m *Model) bound(headroom float64) {
	if headroom < m.lo {
		m.lo = max(m.lo+boundRate*(headroom-m.lo), 1)
	}
	if headroom > m.hi {
		m.hi += boundRate * (headroom - m.hi)
	}
}

// Pairs returns the known pairs in order.
func (m *Model) Pairs() []Pair {
	out := make([]Pair, 0, len(m.slope))
	for p := range m.slope {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filling, b.Filling))
	})
	return out
}
