// Package interference models how much batch work slows a service on the same
// worker. It stands in for the hardware in benchmarks; nothing of the system
// may read it.
package interference

import "math"

const (
	// bend makes light pressure harm less and heavy pressure more than a
	// straight line would.
	bend = 1.25
	// idleHarm is the part of the harm that a service without load feels.
	idleHarm = 0.4
	// overloadHarm is the slowdown when processors are wanted twice over.
	overloadHarm = 6.0
	// crowdedFrom is the share of the processors in use above which waiting for
	// one begins to show.
	crowdedFrom  = 0.85
	crowdedHarm  = 1.0
	loadSlowdown = 0.8
)

// Pressure is what a class puts on the shared parts of a worker when it uses
// every processor, 0 to 1 and above.
type Pressure struct {
	Cache     float64
	Bandwidth float64
}

// Sensitivity is how much a service's latency grows under full pressure.
type Sensitivity struct {
	Cache     float64
	Bandwidth float64
}

// Use is batch work that runs on a worker now.
type Use struct {
	Pressure Pressure
	// Cores in use, after throttling.
	Cores float64
}

// Host is a worker with the service on it.
type Host struct {
	Cores       float64
	Sensitivity Sensitivity
	// Load of the service, 0 to 1, and the processors it uses at full load.
	Load         float64
	ServiceCores float64
}

// Slowdown returns the service's latency beside the work over its latency alone.
func Slowdown(h Host, uses []Use) float64 {
	var cache, bandwidth, cores float64
	for _, u := range uses {
		cache += u.Pressure.Cache * u.Cores / h.Cores
		bandwidth += u.Pressure.Bandwidth * u.Cores / h.Cores
		cores += u.Cores
	}
	harm := h.Sensitivity.Cache*math.Pow(cache, bend) + h.Sensitivity.Bandwidth*math.Pow(bandwidth, bend)
	return 1 + harm*(idleHarm+(1-idleHarm)*h.Load) + waiting(h, cores)
}

// waiting is the slowdown from waiting for a processor.
func waiting(h Host, cores float64) float64 {
	busy := (cores + h.Load*h.ServiceCores) / h.Cores
	harm := 0.0
	if busy > crowdedFrom {
		harm += crowdedHarm * (min(busy, 1) - crowdedFrom)
	}
	if busy > 1 {
		harm += overloadHarm * (busy - 1)
	}
	return harm
}

// Alone returns the latency of a service without batch work over its latency
// without load.
func Alone(load float64) float64 { return 1 + loadSlowdown*load*load }

// Rate returns the speed at which batch work advances that wants the given
// processors, 0 to 1; the service takes its own first.
func Rate(h Host, cores float64) float64 {
	if cores <= 0 {
		return 0
	}
	return min(1, max(0, h.Cores-h.Load*h.ServiceCores)/cores)
}
