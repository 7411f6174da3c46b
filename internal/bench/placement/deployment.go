// Package placement measures placement decisions: it drives the real planner and
// the real learner, and baselines, against modelled workers on a fake clock.
package placement

import (
	"fmt"

	"chervilridge/internal/scheduler/placement/model"
	"chervilridge/internal/standin/interference"
)

const (
	workersPerRack = 3
	workers        = 11
	milliPerCore   = 1000
)

// Deployment is the size of one installation.
type Deployment struct {
	Name     string
	Capacity model.Amount
	Centres  int
	Service  Service
}

// Service is the quick work on each worker.
type Service struct {
	Name        string
	Sensitivity interference.Sensitivity
	// CoresShare is the part of the processors that it uses at full load.
	CoresShare float64
	// TargetP99 in milliseconds, and the latency without load and batch work.
	MedianMs float64
}

// Deployments of the brief's sizes.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "cascade", Capacity: model.Amount{CPUMilli: 32_000, MemoryMB: 125_000}, Centres: 3,
			Service: Service{"desk", interference.Sensitivity{Cache: 0.8, Bandwidth: 1.6}, 0.2, 20},
		},
		{
			Name: "usambara", Capacity: model.Amount{CPUMilli: 16_000, MemoryMB: 63_000}, Centres: 4,
			Service: Service{"desk", interference.Sensitivity{Cache: 1.4, Bandwidth: 0.9}, 0.2, 20},
		},
	}
}

// class is a kind of batch task with its true and its declared figures.
type class struct {
	name     string
	team     string
	urgent   bool
	need     model.Amount
	seconds  float64
	pressure interference.Pressure
	// checkpoints is false for tasks that lose all their work when stopped.
	checkpoints bool
	// declaredSize and declaredTime are declared over true.
	declaredSize float64
	declaredTime float64
	// perMinute tasks arrive for each thousand cores, and wave tasks at once in
	// each noisy wave.
	perMinute float64
	wave      float64
}

func taskClasses() []*class {
	return []*class{
		{
			name: "solve", team: "north", need: model.Amount{CPUMilli: 3_000, MemoryMB: 6_000}, seconds: 120,
			pressure: interference.Pressure{Cache: 0.15, Bandwidth: 0.05}, checkpoints: true,
			declaredSize: 2.5, declaredTime: 0.2, perMinute: 100,
		},
		{
			name: "sort", team: "north", need: model.Amount{CPUMilli: 2_000, MemoryMB: 10_000}, seconds: 80,
			pressure: interference.Pressure{Cache: 0.5, Bandwidth: 0.25}, checkpoints: false,
			declaredSize: 0.5, declaredTime: 4, perMinute: 60,
		},
		{
			name: "stream", team: "south", need: model.Amount{CPUMilli: 2_500, MemoryMB: 4_000}, seconds: 60,
			pressure: interference.Pressure{Cache: 0.8, Bandwidth: 1.5}, checkpoints: true,
			declaredSize: 0.4, declaredTime: 0.3, perMinute: 30, wave: 150,
		},
		{
			name: "feed", team: "south", urgent: true, need: model.Amount{CPUMilli: 500, MemoryMB: 1_000}, seconds: 20,
			pressure: interference.Pressure{Cache: 0.1, Bandwidth: 0.1}, checkpoints: true,
			declaredSize: 1.5, declaredTime: 2, perMinute: 60,
		},
	}
}

func centreName(i int) string { return fmt.Sprintf("dc-%d", i) }
