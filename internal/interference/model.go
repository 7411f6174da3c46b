// Package interference learns how much filling tasks of one image take of the headroom
// of serving tasks of another. Headroom is a serving task's target over its tail
// latency: 1 is at the target, and what neighbours take of it adds up, since the tail
// grows with the inverse of what is left. Use is in shares of the worker's processors.
package interference

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"chervilridge/internal/boottime"
)

const (
	// maxSlope caps a slope: about twice the highest that was seen.
	maxSlope = 20.0
	// negligible is a slope that noise explains; what is below it counts as none.
	negligible = 0.8
	// leastHeadroom and mostHeadroom bound what load alone leaves; an unseen service is
	// taken for a loaded one.
	leastHeadroom, mostHeadroom = 0.5, 5.0
	unseenHeadroom              = 1.5
	// aloneAge is how old a sample may be to tell the load.
	aloneAge = 1500 * time.Millisecond
	// serviceKept is how long a service's load is remembered without a sample.
	serviceKept = 10 * time.Second
	// refreshInterval is the least time between two looks at what was learned.
	refreshInterval = 200 * time.Millisecond
	// notableChange is the change of a slope that others have to hear of.
	notableChange = 0.2
	maxRatio      = 12.0 // caps a headroom, so that an idle task does not outweigh all
)

// Pair names the images of a serving and a filling task.
type Pair struct {
	Serving string
	Filling string
}

// Sample is what was seen of the serving tasks of a service on one worker.
type Sample struct {
	At boottime.Instant
	// Service names the tasks that share the load: those of one job.
	Service string
	Image   string
	// Headroom is the median of the tasks, Tasks their number.
	Headroom float64
	Tasks    int
	// Use is what filling tasks beside them use, as a share of the worker's processors,
	// by image.
	Use map[string]float64
}

// Upper returns the higher use of two readings that follow each other, by image. A tail
// tells the worst of the last half second, use the mean: while use changes, the tail
// goes with the higher one.
func Upper(a, b map[string]float64) map[string]float64 {
	out := maps.Clone(a)
	for image, share := range b {
		out[image] = max(out[image], share)
	}
	return out
}

// Images is a set of filling images.
type Images uint64

// Count returns how many images the set has.
func (i Images) Count() int { return bits.OnesCount64(uint64(i)) }

// maxImages is how many filling images are told apart in sets; those beyond are left out.
const maxImages = 64

// Model holds what was learned. Its owner guards it.
type Model struct {
	slope    map[Pair]float64
	filters  map[string]*filter // by serving image
	number   map[string]int     // filling images by their place in sets
	harmful  map[string]Images  // by serving image
	revision uint64
	settled  boottime.Instant
}

// New returns a model that knows nothing.
func New() *Model {
	return &Model{slope: map[Pair]float64{}, filters: map[string]*filter{}, number: map[string]int{}, harmful: map[string]Images{}}
}

// Harmful returns the filling images that disturb a serving image.
func (m *Model) Harmful(serving string) Images { return m.harmful[serving] }

// Filling returns how many filling images were seen.
func (m *Model) Filling() int { return len(m.number) }

// sort enters a pair into the set of harmful images.
func (m *Model) sort(p Pair) {
	i, ok := m.number[p.Filling]
	if !ok {
		if len(m.number) == maxImages {
			return
		}
		i = len(m.number)
		m.number[p.Filling] = i
	}
	if m.Harm(p) > 0 {
		m.harmful[p.Serving] |= 1 << i
	} else {
		m.harmful[p.Serving] &^= 1 << i
	}
}

// Revision rises with each notable change of what is known.
func (m *Model) Revision() uint64 { return m.revision }

// Slope returns how much headroom a filling task takes that uses all of a worker.
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

// Set replaces what is known of a pair.
func (m *Model) Set(p Pair, slope float64) {
	m.slope[p] = slope
	m.sort(p)
}

// Taken returns the headroom that filling tasks take of a serving one.
func (m *Model) Taken(serving string, use map[string]float64) float64 {
	sum := 0.0
	for filling, share := range use {
		sum += m.Harm(Pair{serving, filling}) * share
	}
	return sum
}

// Alone returns the headroom that the load of a service of the image alone leaves; ok is
// false if the service was not seen lately.
func (m *Model) Alone(image, service string, now boottime.Instant) (headroom float64, ok bool) {
	f := m.filters[image]
	if f == nil {
		return unseenHeadroom, false
	}
	i, known := f.alone[service]
	if !known || now.Sub(f.seen[service]) > aloneAge {
		return unseenHeadroom, false
	}
	return min(max(f.state[i], leastHeadroom), mostHeadroom), true
}

// Observe takes in one sample.
func (m *Model) Observe(s Sample) {
	s.Headroom = min(s.Headroom, maxRatio)
	f := m.filters[s.Image]
	if f == nil {
		told := map[string]float64{}
		for p, slope := range m.slope {
			if p.Serving == s.Image {
				told[p.Filling] = slope
			}
		}
		f = newFilter(told)
		m.filters[s.Image] = f
	}
	f.observe(s)
}

// Refresh brings the slopes up to what was seen, if some time has passed.
func (m *Model) Refresh(now boottime.Instant) {
	if now.Sub(m.settled) < refreshInterval {
		return
	}
	m.settled = now
	for serving, f := range m.filters {
		f.forget(now)
		for filling, i := range f.filling {
			p := Pair{serving, filling}
			before := m.Slope(p)
			if change := f.state[i] - before; max(change, -change) > notableChange {
				m.Set(p, f.state[i])
				m.revision++
			} else if _, ok := m.slope[p]; !ok {
				m.Set(p, f.state[i])
			}
		}
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
