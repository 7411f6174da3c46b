package placement

import "slices"

// Controller is the co-location control beside one worker. It is given what an
// agent sees and answers with what to do. The agent's own control is to be put
// in here; until then thresholdControl models one.
type Controller interface {
	Decide(view WorkerView) Decision
}

// WorkerView is what an agent sees of its worker at one second.
type WorkerView struct {
	Second int
	// Slowdown of the service as measured in line; 0 if not known.
	Slowdown float64
	// Share of its processors that batch work may use now.
	Share float64
	Tasks []TaskView
}

// TaskView is one batch task on the worker.
type TaskView struct {
	Index int
	// Ran is for how long, in seconds.
	Ran int
	// Lost is the work in core seconds that an eviction loses.
	Lost float64
	// Cores that an eviction frees.
	Cores float64
	// Urgent tasks are evicted last.
	Urgent bool
}

// Decision is what the control does.
type Decision struct {
	Share float64
	// Evict are the indices of the tasks to checkpoint and stop.
	Evict []int
}

// noControl lets batch work run as it likes.
type noControl struct{}

// Decide implements Controller.
func (noControl) Decide(WorkerView) Decision { return Decision{Share: 1} }

// thresholdControl throttles in steps with hysteresis, and evicts when the
// lowest share does not help, within a budget.
type thresholdControl struct {
	quickSince int
	slowSince  int
	evictedAt  int
}

const (
	throttleAbove = 1.20
	releaseBelow  = 1.15
	throttleStep  = 0.8
	releaseStep   = 1.1
	lowestShare   = 0.3
	releaseAfter  = 3  // seconds quick before the share grows
	evictAfter    = 5  // seconds slow at the lowest share before an eviction
	evictEvery    = 10 // seconds between evictions on a worker
	minRunTime    = 10 // seconds that a task runs at least
)

// Decide implements Controller.
func (c *thresholdControl) Decide(v WorkerView) Decision {
	d := Decision{Share: v.Share}
	switch {
	case v.Slowdown > throttleAbove:
		c.quickSince = v.Second
		d.Share = max(lowestShare, v.Share*throttleStep)
	case v.Slowdown < releaseBelow && v.Second-c.quickSince >= releaseAfter:
		d.Share = min(1, v.Share*releaseStep)
	}
	if v.Slowdown <= throttleAbove || v.Share > lowestShare {
		c.slowSince = v.Second
	}
	if v.Second-c.slowSince >= evictAfter && v.Second-c.evictedAt >= evictEvery {
		if victim := chooseVictim(v.Tasks); victim >= 0 {
			c.evictedAt = v.Second
			d.Evict = []int{victim}
		}
	}
	return d
}

// chooseVictim returns the task that loses least work for the processors freed.
func chooseVictim(tasks []TaskView) int {
	old := slices.DeleteFunc(slices.Clone(tasks), func(t TaskView) bool { return t.Ran < minRunTime })
	if len(old) == 0 {
		return -1
	}
	return slices.MinFunc(old, func(a, b TaskView) int {
		if a.Urgent != b.Urgent {
			if b.Urgent {
				return -1
			}
			return 1
		}
		if d := a.Lost/a.Cores - b.Lost/b.Cores; d != 0 {
			return int(d*1000) | 1
		}
		return a.Index - b.Index
	}).Index
}
