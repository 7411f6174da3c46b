// Package maintenance decides which machines of a maintenance wave are drained and which
// start their maintenance. It is a pure function of a snapshot and uses neither the clock
// nor the network.
package maintenance

import "chervilridge/internal/operatorconfig"

// Machine is the state of a machine of a wave as the owner knows it.
type Machine struct {
	Name string
	// Available is set if the machine is neither in maintenance, nor moving, nor down.
	Available bool
	// Removed is set if the platform no longer lists the machine; it needs no maintenance.
	Removed bool
	// MaintenanceOrdered is set once the platform has accepted the order for maintenance.
	MaintenanceOrdered bool
	// Draining is set while the machine gets no new tasks, Drained once nothing runs on it
	// or the time for its tasks to end is over.
	Draining, Drained bool
}

// Decision is the next actions for a wave.
type Decision struct {
	// Drain names the machines to drain, StartMaintenance those that can start maintenance.
	Drain, StartMaintenance []string
	// Completed is set once all machines that still exist have had their maintenance.
	Completed bool
}

// Decide returns the next actions for a wave, in the order of its machines. At most
// wave.MaxDown machines (at least 1) are unavailable or draining at the same time. Waves may
// come while the workers are busy, so machines are drained first, a few at a time.
func Decide(wave operatorconfig.Wave, machines []Machine) Decision {
	d := Decision{Completed: true}
	slots := max(wave.MaxDown, 1)
	for _, m := range machines {
		if !m.maintenanceDone() {
			d.Completed = false
		}
		if m.unavailable() || m.Draining && !m.MaintenanceOrdered && !m.Removed {
			slots--
		}
	}
	down := 0
	for _, m := range machines {
		if m.unavailable() {
			down++
		}
	}
	for _, m := range machines {
		switch {
		case m.maintenanceDone() || m.MaintenanceOrdered || m.Removed || !m.Available:
		case m.Draining:
			if m.Drained && down < max(wave.MaxDown, 1) {
				d.StartMaintenance = append(d.StartMaintenance, m.Name)
				down++
			}
		case slots > 0:
			d.Drain = append(d.Drain, m.Name)
			slots--
		}
	}
	return d
}

// maintenanceDone reports whether the machine has had its maintenance or needs none.
func (m Machine) maintenanceDone() bool { return m.Removed || m.MaintenanceOrdered && m.Available }

// unavailable reports whether the machine exists but is in maintenance, moving or down.
func (m Machine) unavailable() bool { return !m.Removed && !m.Available }
