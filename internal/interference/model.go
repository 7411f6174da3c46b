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
	// priorWeight is how much that assumption weighs, in squared cores.
	priorWeight = 6.0
	// negligible is a slope that noise explains; what is below it counts as none.
	negligible = 0.045
	// forget is what remains of what was seen with each comparison.
	forget = 0.999
	// leastUse is the use below which a task counts as alone, in cores.
	leastUse = 0.3
	// leastHeadroom and mostHeadroom bound what load alone leaves until it is seen.
	leastHeadroom, mostHeadroom = 1.5, 3.5
	// boundRate is how fast these bounds follow what is seen alone.
	boundRate = 0.2
	// siblingAge is how old a sibling's sample may be to be compared with a new one:
	// load changes within seconds.
	siblingAge = 450 * time.Millisecond
	// aloneAge is how old a sample may be to tell the load.
	aloneAge = 700 * time.Millisecond
	// solveInterval is the least time between two solutions.
	solveInterval = 200 * time.Millisecond
	// notableChange is the change of a slope that others have to hear of.
	notableChange = 0.01
	maxRatio      = 12.0 // caps a headroom, so that an idle task does not outweigh all
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
	Worker   string
	Image    string
	Headroom float64
	// Use are the cores that filling tasks beside it use, by image.
	Use map[string]float64
}

// sighting is the newest sample of a task.
type sighting struct {
	Sample
	taken float64 // what neighbours are thought to take
}

// Model holds what was learned. It compares tasks of one service on different workers at
// the same time: they share the load, so that the difference of their headroom is what
// their neighbours take. Its owner guards it.
type Model struct {
	slope    map[Pair]float64
	fits     map[string]*fit
	services map[string]map[string]sighting
	lo, hi   float64
	revision uint64
	solved   boottime.Instant
}

// New returns a model that knows nothing.
func New() *Model {
	return &Model{
		slope: map[Pair]float64{}, fits: map[string]*fit{}, services: map[string]map[string]sighting{}, lo: leastHeadroom, hi: mostHeadroom,
	}
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

// Harm is Slope without what noise explains.
func (m *Model) Harm(p Pair) float64 {
	if s := m.Slope(p); s >= negligible {
		return s
	}
	return 0
}

// KnowsAll reports whether the harm of all filling images to a serving one was learned.
func (m *Model) KnowsAll(serving string, use map[string]float64) bool {
	for filling := range use {
		if _, ok := m.slope[Pair{serving, filling}]; !ok {
			return false
		}
	}
	return true
}

// Set replaces what is known of a pair.
func (m *Model) Set(p Pair, slope float64) { m.slope[p] = slope }

// Taken returns the headroom that filling tasks take of a serving one.
func (m *Model) Taken(serving string, use map[string]float64) float64 {
	sum := 0.0
	for filling, cores := range use {
		sum += m.Harm(Pair{serving, filling}) * cores
	}
	return sum
}

// Alone returns the headroom that the service's load leaves at the time, judged by the
// tasks that are disturbed least; ok is false if none was seen lately.
func (m *Model) Alone(service string, now boottime.Instant) (headroom float64, ok bool) {
	best := sighting{}
	for task, s := range m.services[service] {
		if now.Sub(s.At) > aloneAge {
			if now.Sub(s.At) > 10*aloneAge {
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
	return min(max(best.Headroom+best.taken, m.lo), m.hi), true
}

// Observe takes in one sample.
func (m *Model) Observe(s Sample) {
	s.Headroom = min(s.Headroom, maxRatio)
	siblings := m.services[s.Service]
	if siblings == nil {
		siblings = map[string]sighting{}
		m.services[s.Service] = siblings
	}
	used := 0.0
	for _, cores := range s.Use {
		used += cores
	}
	if used < leastUse {
		m.bound(s.Headroom)
	}
	compared := map[string]bool{s.Worker: true}
	for _, other := range siblings {
		if compared[other.Worker] || other.Image != s.Image || s.At.Sub(other.At) > siblingAge {
			continue
		}
		compared[other.Worker] = true
		m.compare(s, other.Sample)
	}
	siblings[s.Task] = sighting{Sample: s, taken: m.Taken(s.Image, s.Use)}
}

// compare learns from two tasks of one service that differ in their neighbours.
func (m *Model) compare(a, b Sample) {
	difference := make(map[string]float64, len(a.Use)+len(b.Use))
	for image, cores := range a.Use {
		difference[image] += cores
	}
	for image, cores := range b.Use {
		difference[image] -= cores
	}
	f := m.fits[a.Image]
	if f == nil {
		f = newFit()
		m.fits[a.Image] = f
	}
	f.add(difference, b.Headroom-a.Headroom)
}

// Solve brings the slopes up to what was seen, if some time has passed.
func (m *Model) Solve(now boottime.Instant) {
	if now.Sub(m.solved) < solveInterval {
		return
	}
	m.solved = now
	for serving, f := range m.fits {
		for filling, slope := range f.solve() {
			p := Pair{serving, filling}
			before := m.Slope(p)
			m.slope[p] = min(max(slope, 0), maxSlope)
			if change := m.slope[p] - before; max(change, -change) > notableChange {
				m.revision++
			}
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
