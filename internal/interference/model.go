// Package interference learns how much headroom serving tasks of one image lose to
// best-effort tasks of another on the same worker. Headroom is a serving task's target
// latency over its tail latency, so 1 is exactly at the target. Losses add up, since the
// tail grows with the inverse of the capacity left. Use is a fraction of the worker's CPU.
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
	// maxSlope caps a slope at about twice the highest that was observed.
	maxSlope = 20.0
	// minSignificantSlope is the slope below which an effect may be noise and counts as none.
	minSignificantSlope = 0.8
	// minBaseline and maxBaseline bound the headroom that load alone leaves. A service
	// without a recent sample is assumed to be loaded: BaselineHeadroom returns
	// defaultBaseline for it.
	minBaseline, maxBaseline = 0.5, 5.0
	defaultBaseline          = 1.5
	// maxBaselineAge is the age of the newest sample beyond which a baseline is unknown.
	maxBaselineAge = 1500 * time.Millisecond
	// serviceRetention is how long a service's baseline is kept without a sample.
	serviceRetention = 10 * time.Second
	// refreshInterval is the least time between two refreshes of the slopes.
	refreshInterval = 200 * time.Millisecond
	// minNotableChange is the change of a slope above which the revision rises.
	minNotableChange = 0.2
	maxHeadroom      = 12.0 // cap of a sample, so that an idle task does not outweigh all others
)

// Pair is the images of a serving and a best-effort task.
type Pair struct {
	Serving    string
	BestEffort string
}

// Sample is an observation of the serving tasks of a service on one worker.
type Sample struct {
	At boottime.Instant
	// Service identifies the tasks that share the load: those of one job.
	Service string
	Image   string
	// Headroom is the median headroom of the tasks, Tasks their number.
	Headroom float64
	Tasks    int
	// BestEffortUse is the CPU that best-effort tasks on the worker use, as a fraction of
	// the worker's CPU, by image.
	BestEffortUse map[string]float64
}

// MaxUse returns the higher use of two successive readings, by image. A tail latency is the
// worst of the last half second, use is a mean: while use changes, the tail corresponds to
// the higher reading.
func MaxUse(a, b map[string]float64) map[string]float64 {
	out := maps.Clone(a)
	for image, share := range b {
		out[image] = max(out[image], share)
	}
	return out
}

// ImageSet is a set of best-effort images.
type ImageSet uint64

// Count returns the number of images in the set.
func (i ImageSet) Count() int { return bits.OnesCount64(uint64(i)) }

// maxImages is the number of best-effort images that an ImageSet can hold; further images
// are left out.
const maxImages = 64

// Model is what was learned about all pairs. It is not safe for concurrent use.
type Model struct {
	slope       map[Pair]float64
	filters     map[string]*filter  // by serving image
	imageIndex  map[string]int      // bit of a best-effort image in an ImageSet
	harmful     map[string]ImageSet // by serving image
	revision    uint64
	lastRefresh boottime.Instant
}

// New returns a model without observations.
func New() *Model {
	return &Model{slope: map[Pair]float64{}, filters: map[string]*filter{}, imageIndex: map[string]int{}, harmful: map[string]ImageSet{}}
}

// HarmfulImages returns the best-effort images that slow down a serving image.
func (m *Model) HarmfulImages(serving string) ImageSet { return m.harmful[serving] }

// BestEffortImageCount returns the number of best-effort images seen, at most maxImages.
func (m *Model) BestEffortImageCount() int { return len(m.imageIndex) }

// classify adds the pair to the set of harmful images or removes it, by its slope.
func (m *Model) classify(p Pair) {
	i, ok := m.imageIndex[p.BestEffort]
	if !ok {
		if len(m.imageIndex) == maxImages {
			return
		}
		i = len(m.imageIndex)
		m.imageIndex[p.BestEffort] = i
	}
	if m.SignificantSlope(p) > 0 {
		m.harmful[p.Serving] |= 1 << i
	} else {
		m.harmful[p.Serving] &^= 1 << i
	}
}

// Revision returns a number that rises with each notable change of a slope.
func (m *Model) Revision() uint64 { return m.revision }

// Slope returns the headroom that a serving task loses to a best-effort task on all of a
// worker's CPU, or priorSlope for an unknown pair.
func (m *Model) Slope(p Pair) float64 {
	if s, ok := m.slope[p]; ok {
		return s
	}
	return priorSlope
}

// SignificantSlope returns Slope, or 0 if it is below minSignificantSlope.
func (m *Model) SignificantSlope(p Pair) float64 {
	if s := m.Slope(p); s >= minSignificantSlope {
		return s
	}
	return 0
}

// SetSlope replaces the slope of a pair.
func (m *Model) SetSlope(p Pair, slope float64) {
	m.slope[p] = slope
	m.classify(p)
}

// HeadroomLoss returns the headroom that a serving task loses to best-effort tasks; use is
// their CPU by image, as a fraction of the worker's CPU.
func (m *Model) HeadroomLoss(serving string, use map[string]float64) float64 {
	sum := 0.0
	for bestEffort, share := range use {
		sum += m.SignificantSlope(Pair{serving, bestEffort}) * share
	}
	return sum
}

// BaselineHeadroom returns the headroom of a service of the image under its own load alone.
// If there is no sample within maxBaselineAge, it returns defaultBaseline and false.
func (m *Model) BaselineHeadroom(image, service string, now boottime.Instant) (headroom float64, ok bool) {
	f := m.filters[image]
	if f == nil {
		return defaultBaseline, false
	}
	i, known := f.baselineIndex[service]
	if !known || now.Sub(f.lastSeen[service]) > maxBaselineAge {
		return defaultBaseline, false
	}
	return min(max(f.state[i], minBaseline), maxBaseline), true
}

// Observe updates the filter of the sample's serving image.
func (m *Model) Observe(s Sample) {
	s.Headroom = min(s.Headroom, maxHeadroom)
	f := m.filters[s.Image]
	if f == nil {
		inherited := map[string]float64{}
		for p, slope := range m.slope {
			if p.Serving == s.Image {
				inherited[p.BestEffort] = slope
			}
		}
		f = newFilter(inherited)
		m.filters[s.Image] = f
	}
	f.observe(s)
}

// Refresh copies the filters' slopes that are new or have changed by more than
// minNotableChange into the model, at most once in refreshInterval, and forgets services
// without samples.
func (m *Model) Refresh(now boottime.Instant) {
	if now.Sub(m.lastRefresh) < refreshInterval {
		return
	}
	m.lastRefresh = now
	for serving, f := range m.filters {
		f.forgetServices(now)
		for bestEffort, i := range f.slopeIndex {
			p := Pair{serving, bestEffort}
			before := m.Slope(p)
			if change := f.state[i] - before; max(change, -change) > minNotableChange {
				m.SetSlope(p, f.state[i])
				m.revision++
			} else if _, ok := m.slope[p]; !ok {
				m.SetSlope(p, f.state[i])
			}
		}
	}
}

// Pairs returns the known pairs, sorted.
func (m *Model) Pairs() []Pair {
	out := make([]Pair, 0, len(m.slope))
	for p := range m.slope {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	return out
}
