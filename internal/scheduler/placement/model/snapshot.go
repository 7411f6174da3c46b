// Package model holds what planning looks at, what it decides, and the working
// state that its stages share while they make one plan.
package model

import (
	"time"

	"chervilridge/internal/shard"
)

// Held is a batch task that holds a part of a worker.
type Held struct {
	Class    string
	Reserved Amount
	// Remaining is the estimated time until it ends; 0 if that is unknown.
	Remaining time.Duration
}

// Worker is a worker as planning sees it.
type Worker struct {
	Name       string
	DataCentre string
	Rack       string
	Capacity   Amount
	// Measured is what batch work used at the newest usage report.
	Measured Amount
	// Unseen is what tasks hold that started after that report.
	Unseen Amount
	Held   []Held
	// Ready is false for a worker that is silent or leaving.
	Ready       bool
	Quarantined bool
	// Probation is set for a worker that came out of quarantine and has not
	// finished a task since.
	Probation bool
	// Service beside the worker; empty if there is none.
	Service string
	// LoadBand of the service, see package learn.
	LoadBand uint32
	// Throttled is set while the agent holds batch work back to keep it quick.
	Throttled bool
	// Slowdown is the measured latency of the service over its latency alone;
	// 0 if it is not known.
	Slowdown float64
}

// Task is a waiting task as planning sees it.
type Task struct {
	Ref     shard.TaskRef
	Attempt uint32 // last attempt granted
	Team    string
	Class   string
	// Need is what to reserve; Floor is the least that a worker must have. They
	// differ by the margin that estimating adds.
	Need  Amount
	Floor Amount
	// RunTime is the estimated time that the task will take.
	RunTime time.Duration
	Urgent  bool
	Since   int64 // milliseconds since 1970, to serve the oldest first
	// FailedOn are workers on which an attempt of the task failed.
	FailedOn []string
}

// Team is a team's share and limits; zero limits are none.
type Team struct {
	Name   string
	Weight uint32
	// Limit is the most tasks that the team may run.
	Limit uint32
	// Quota is the most that the team may hold.
	Quota Amount
	// Running and Used are what the team has now.
	Running uint32
	Used    Amount
}

// Class is a job class's share and limits.
type Class struct {
	Name    string
	Weight  uint32
	Limit   uint32
	Quota   Amount
	Running uint32
	Used    Amount
	// DataCentres that the class may use; none means all.
	DataCentres []string
}

// DataCentre is a data centre as the table has it.
type DataCentre struct {
	Name string
	Out  bool
	// Share is the part of its capacity that may be used now, 0 to 1; below 1
	// while it is ramped up after it came back.
	Share float64
}

// Effect is what is known of a class beside a service.
type Effect struct {
	// Excess is the natural logarithm of the service's latency over its latency
	// alone when the class holds all of the worker's processors.
	Excess  float64
	Samples uint32
}

// Effects looks up what has been learned. Implementations are read-only.
type Effects interface {
	Effect(service, class string, band uint32) Effect
}

// Snapshot is all that planning looks at.
type Snapshot struct {
	NowMs       int64 // milliseconds since 1970
	Tasks       []Task
	Workers     []Worker
	Teams       []Team
	Classes     []Class
	DataCentres []DataCentre
	// Effects may be nil: then nothing is known and nothing is avoided.
	Effects Effects
	// Settled is false while workers may still be unknown, such as just after a
	// takeover; then no task is declared impossible.
	Settled bool
	Policy  Policy
}

// Policy are the settings of planning. The zero value of a field means its default.
type Policy struct {
	// MaxSlowdown is the highest predicted latency of a service over its
	// latency alone at which a task is still added beside it.
	MaxSlowdown float64
	// ProbeSamples is how many measurements make a pair known.
	ProbeSamples uint32
	// ProbeWorkers is on how many workers a class that is unknown beside a
	// service may run at once.
	ProbeWorkers int
	// ReserveAfter is how long a task that finds no room waits until a worker
	// is held back for it.
	ReserveAfter time.Duration
}

// Defaults of the policy.
const (
	DefaultMaxSlowdown  = 1.18
	DefaultProbeSamples = 8
	DefaultProbeWorkers = 2
	DefaultReserveAfter = 20 * time.Second
)

// WithDefaults fills the fields that are zero.
func (p Policy) WithDefaults() Policy {
	if p.MaxSlowdown == 0 {
		p.MaxSlowdown = DefaultMaxSlowdown
	}
	if p.ProbeSamples == 0 {
		p.ProbeSamples = DefaultProbeSamples
	}
	if p.ProbeWorkers == 0 {
		p.ProbeWorkers = DefaultProbeWorkers
	}
	if p.ReserveAfter == 0 {
		p.ReserveAfter = DefaultReserveAfter
	}
	return p
}
