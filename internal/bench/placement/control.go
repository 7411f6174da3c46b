package placement

import (
	"time"

	"chervilridge/internal/agent/colocation"
	"chervilridge/internal/platform"
)

// Controller is the co-location control beside one worker. It is given what an
// agent sees and answers with what to do.
type Controller interface {
	Decide(view WorkerView) Decision
}

// WorkerView is what an agent sees of its worker at one second.
type WorkerView struct {
	Second int
	// P99 of the service as measured in line, and its target.
	P99, Target time.Duration
	// Alone is what the owner expects of the service without batch work.
	Alone time.Duration
	// Samples is the number of answers that P99 is from.
	Samples   int64
	LoadMilli uint32
	// ShareMilli of its processors that batch work may use now, in thousandths.
	ShareMilli uint32
	Tasks      []TaskView
}

// TaskView is one batch task on the worker.
type TaskView struct {
	Index    int
	JobID    string
	JobClass string
	// Ran is for how long, Unsaved the work since the newest checkpoint.
	Ran, Unsaved time.Duration
	// CPUMilli is what is reserved.
	CPUMilli int64
}

// Decision is what the control does.
type Decision struct {
	ShareMilli uint32
	// Evict are the indices of the tasks to checkpoint and stop.
	Evict []int
}

// noControl lets batch work run as it likes.
type noControl struct{}

// Decide implements Controller.
func (noControl) Decide(WorkerView) Decision { return Decision{ShareMilli: colocation.FullShare} }

const (
	roundsPerSecond = 2 // as the agent decides
	roundInterval   = time.Second / roundsPerSecond
)

// agentControl is the agent's own control with its default policy.
type agentControl struct {
	policy colocation.Policy
	state  colocation.State
}

func newAgentControl() *agentControl {
	return &agentControl{policy: colocation.DefaultPolicy(), state: colocation.NewState()}
}

// Decide implements Controller with the rounds of one second.
func (c *agentControl) Decide(v WorkerView) Decision {
	var d Decision
	snap := snapshotOf(v)
	for range roundsPerSecond {
		var actions colocation.Actions
		actions, c.state = colocation.Decide(c.policy, snap, c.state)
		if actions.Evict != nil {
			d.Evict = append(d.Evict, int(actions.Evict.Key.Index))
		}
		snap = afterRound(snap, actions)
	}
	d.ShareMilli = c.state.LevelMilli
	return d
}

// snapshotOf puts the index of a task in its key, to find it again.
func snapshotOf(v WorkerView) colocation.Snapshot {
	s := colocation.Snapshot{
		Now: time.Duration(v.Second) * time.Second,
		P99: v.P99, Target: v.Target, Alone: v.Alone, Samples: v.Samples, LoadMilli: v.LoadMilli,
	}
	for _, t := range v.Tasks {
		s.Attempts = append(s.Attempts, colocation.Attempt{
			Key: platform.TaskKey{JobID: t.JobID, Index: uint32(t.Index)}, JobClass: t.JobClass,
			CPUMilli: t.CPUMilli, Ran: t.Ran, Unsaved: t.Unsaved, ShareMilli: v.ShareMilli,
		})
	}
	return s
}

// afterRound returns the snapshot of the next round, the actions carried out.
func afterRound(s colocation.Snapshot, actions colocation.Actions) colocation.Snapshot {
	next := s
	next.Now += roundInterval
	next.Attempts = nil
	for _, a := range s.Attempts {
		if actions.Evict != nil && actions.Evict.Key == a.Key {
			continue
		}
		for _, share := range actions.Shares {
			if share.Key == a.Key {
				a.ShareMilli = share.ToMilli
			}
		}
		next.Attempts = append(next.Attempts, a)
	}
	return next
}
