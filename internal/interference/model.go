// Package interference learns how much filling tasks of one image raise the tail
// latency of serving tasks of another. Tail latencies are in parts of their target, use
// of processors in cores.
package interference

import "slices"

const (
	// unknownBase is the tail of a serving task alone that was not seen alone yet.
	unknownBase = 0.45
	// unknownSlope is assumed of a pair that was not seen together yet: little, so that
	// it is tried.
	unknownSlope = 0.02
	// baseRate and slopeRate are how much of a deviation one sample corrects.
	baseRate, slopeRate = 0.05, 0.35
	// maxTail caps a sample, so that one outlier does not undo what was learned.
	maxTail = 3.0
	// leastUse is the use of processors below which a sample says nothing of a slope.
	leastUse = 0.3
	// deadZone is the deviation from the prediction that the load of the serving task
	// explains; only what is beyond it is learned.
	deadZone = 0.12
	maxSlope = 3.0
)

// Pair names the images of a serving and a filling task.
type Pair struct {
	Serving string
	Filling string
}

// Model holds what was learned. Its owner guards it.
type Model struct {
	base  map[string]float64
	slope map[Pair]float64
	// revision rises with each notable change.
	revision uint64
}

// New returns a model that knows nothing.
func New() *Model { return &Model{base: map[string]float64{}, slope: map[Pair]float64{}} }

// Revision rises with each notable change of what is known.
func (m *Model) Revision() uint64 { return m.revision }

// Base returns the tail of a serving task alone.
func (m *Model) Base(serving string) float64 {
	if b, ok := m.base[serving]; ok {
		return b
	}
	return unknownBase
}

// Slope returns by how much a core in use by a filling task raises the tail.
func (m *Model) Slope(p Pair) float64 {
	if s, ok := m.slope[p]; ok {
		return s
	}
	return unknownSlope
}

// Known returns what was learned of all pairs.
func (m *Model) Known() map[Pair]float64 { return m.slope }

// Set replaces what is known of a pair.
func (m *Model) Set(p Pair, slope float64) { m.slope[p] = slope }

// Predict returns the tail beside filling tasks that use the given cores, by image.
func (m *Model) Predict(serving string, use map[string]float64) float64 {
	tail := m.Base(serving)
	for filling, cores := range use {
		tail += m.Slope(Pair{serving, filling}) * cores
	}
	return tail
}

// Observe takes in one sample of a serving task beside filling tasks.
func (m *Model) Observe(serving string, tail float64, use map[string]float64) {
	tail = min(tail, maxTail)
	total, squares := 0.0, 0.0
	for _, cores := range use {
		total += cores
		squares += cores * cores
	}
	if total < leastUse {
		m.base[serving] = m.Base(serving) + baseRate*(tail-m.Base(serving))
		return
	}
	deviation := tail - m.Predict(serving, use)
	switch {
	case deviation > deadZone:
		deviation -= deadZone
	case deviation < -deadZone:
		deviation += deadZone
	default:
		deviation = 0
	}
	for filling, cores := range use {
		p := Pair{serving, filling}
		before := m.Slope(p)
		after := min(max(before+slopeRate*deviation*cores/squares, 0), maxSlope)
		m.slope[p] = after
		if abs(after-before) > 0.1*max(before, unknownSlope) {
			m.revision++
		}
	}
}

func abs(f float64) float64 { return max(f, -f) }

// Blame returns the share that each image has in the raise of a serving task's tail; nil
// if none of them is known to raise it.
func (m *Model) Blame(serving string, use map[string]float64) map[string]float64 {
	total := 0.0
	shares := map[string]float64{}
	for filling, cores := range use {
		shares[filling] = m.Slope(Pair{serving, filling}) * cores
		total += shares[filling]
	}
	if total <= 0 {
		return nil
	}
	for filling := range shares {
		shares[filling] /= total
	}
	return shares
}

// Pairs returns the known pairs in order.
func (m *Model) Pairs() []Pair {
	out := make([]Pair, 0, len(m.slope))
	for p := range m.slope {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Pair) int {
		if a.Serving != b.Serving {
			if a.Serving < b.Serving {
				return -1
			}
			return 1
		}
		if a.Filling < b.Filling {
			return -1
		}
		return 1
	})
	return out
}
