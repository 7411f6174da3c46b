// Package upkeep decides which machines of a maintenance wave are emptied and which begin
// their upkeep. It looks at a snapshot only and uses neither clock nor network.
package upkeep

import "chervilridge/internal/catalog"

// Machine is a machine of a wave as the owner knows it.
type Machine struct {
	Name string
	// Up is set if it is neither in upkeep, nor moving, nor down.
	Up bool
	// Missing is set if the platform lists it no more: it left, and owes no upkeep.
	Missing bool
	// Begun is set once the platform has taken the order for its upkeep.
	Begun bool
	// Emptying is set while it gets no new tasks, Empty once nothing runs on it or what
	// runs has had its time to end.
	Emptying, Empty bool
}

// Decision is what to do next for a wave.
type Decision struct {
	// Reserve are the machines to empty, Begin those whose upkeep can begin.
	Reserve, Begin []string
	// Completed is set once all machines that stay have had their upkeep.
	Completed bool
}

// Decide returns what to do next, in the order of the wave. No more machines than the wave
// allows are away or being emptied at the same time. It answers for waves that come while
// the workers are busy: what runs is moved first, and few workers are missing at once.
func Decide(wave catalog.Wave, machines []Machine) Decision {
	d := Decision{Completed: true}
	slots := max(wave.MaxDown, 1)
	for _, m := range machines {
		if !m.done() {
			d.Completed = false
		}
		if m.away() || m.Emptying && !m.Begun && !m.Missing {
			slots--
		}
	}
	down := 0
	for _, m := range machines {
		if m.away() {
			down++
		}
	}
	for _, m := range machines {
		switch {
		case m.done() || m.Begun || m.Missing || !m.Up:
		case m.Emptying:
			if m.Empty && down < max(wave.MaxDown, 1) {
				d.Begin = append(d.Begin, m.Name)
				down++
			}
		case slots > 0:
			d.Reserve = append(d.Reserve, m.Name)
			slots--
		}
	}
	return d
}

// done reports whether the machine has had its upkeep or owes none.
func (m Machine) done() bool { return m.Missing || m.Begun && m.Up }

// away reports whether the machine is in upkeep, or otherwise not there.
func (m Machine) away() bool { return !m.Missing && !m.Up }
