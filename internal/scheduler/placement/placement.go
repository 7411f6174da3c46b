// Package placement decides which waiting task goes to which worker. Planning
// is a pure function from a snapshot to a plan; its stages are the packages
// below this one: fairness orders the tasks, filter and score choose a worker,
// hold keeps one back for a task that has waited long.
package placement

import (
	"chervilridge/internal/scheduler/placement/fairness"
	"chervilridge/internal/scheduler/placement/filter"
	"chervilridge/internal/scheduler/placement/model"
	"chervilridge/internal/scheduler/placement/reservation"
	"chervilridge/internal/scheduler/placement/score"
)

// The types that planning takes and gives.
type (
	Snapshot    = model.Snapshot
	Plan        = model.Plan
	Task        = model.Task
	Worker      = model.Worker
	Assignment  = model.Assignment
	Unplaced    = model.Unplaced
	Reservation = model.Reservation
)

// Make plans all waiting tasks.
func Make(s Snapshot) Plan {
	c := model.Compile(s)
	p := planner{
		cluster: c, reserver: reservation.New(c), settled: s.Settled && len(c.Nodes) > 0,
		failed: map[shape]string{}, refused: map[string]bool{}, possible: map[shape]bool{},
	}
	queue := fairness.New(c)
	for t := queue.Next(); t != nil; t = queue.Next() {
		p.place(t)
	}
	return p.plan
}

// shape is what decides whether a task finds a worker; tasks of one shape share
// the verdict, since a worker only gets fuller during a plan.
type shape struct {
	class  int
	need   model.Amount
	floor  model.Amount
	urgent bool
	aged   bool
}

type planner struct {
	cluster  *model.Cluster
	reserver *reservation.Reserver
	settled  bool
	plan     Plan
	failed   map[shape]string // why a shape found no worker
	refused  map[string]bool  // jobs found impossible
	// possible tells of a shape beyond its limits whether a worker could take it.
	possible map[shape]bool
}

func (p *planner) place(t *model.Item) {
	key := shape{t.ClassIndex, t.Need, t.Floor, t.Urgent, t.Aged}
	if d := fairness.Check(p.cluster, t, t.Floor); d != fairness.Granted {
		p.deny(t, key, d)
		return
	}
	if why, known := p.failed[key]; known && len(t.Avoid) == 0 {
		p.leave(t, why)
		return
	}
	best, need, rating, tally := p.choose(t)
	if best == nil {
		p.miss(t, key, tally)
		return
	}
	p.cluster.Place(t, best, need)
	p.plan.Assignments = append(p.plan.Assignments, Assignment{
		Task: t.Task, Worker: best.Name, Reserved: need.Proto(), Score: rating,
	})
}

// deny leaves a task to wait for its team's or class's share, unless no worker
// could take it even then.
func (p *planner) deny(t *model.Item, key shape, d fairness.Denial) {
	possible, known := p.possible[key]
	if !known {
		possible = !p.settled || filter.Possible(p.cluster, t)
		p.possible[key] = possible
	}
	if !possible {
		p.refuse(t)
		return
	}
	p.leave(t, string(d))
}

// choose returns the best worker for the task, or nil and why not each.
func (p *planner) choose(t *model.Item) (best *model.Node, need model.Amount, rating float64, tally filter.Tally) {
	for _, n := range p.cluster.Nodes {
		reserve := p.cluster.Reserve(t, n)
		reason := filter.Check(p.cluster, t, n, reserve)
		if reason != filter.None {
			tally[reason]++
			continue
		}
		if r := score.Rate(p.cluster, t, n, reserve); best == nil || r > rating {
			best, need, rating = n, reserve, r
		}
	}
	if best != nil && fairness.Check(p.cluster, t, need) != fairness.Granted {
		// The limit leaves the floor but not the margin.
		need = t.Floor
	}
	return best, need, rating, tally
}

// miss decides what becomes of a task that found no worker.
func (p *planner) miss(t *model.Item, key shape, tally filter.Tally) {
	if p.settled && !filter.Possible(p.cluster, t) {
		p.refuse(t)
		return
	}
	why := tally.Explain()
	if tally[filter.NoRoom]+tally[filter.ServiceSlow] > 0 {
		if n := p.reserver.Reserve(t); n != nil {
			p.plan.Reservations = append(p.plan.Reservations, Reservation{Task: t.Task, Worker: n.Name})
			why += "; worker " + n.Name + " is held back for it"
		}
	}
	if len(t.Avoid) == 0 {
		p.failed[key] = why
	}
	p.leave(t, why)
}

// refuse reports an impossible job once, whatever number of tasks it has.
func (p *planner) refuse(t *model.Item) {
	if p.refused[t.Ref.JobID] {
		return
	}
	p.refused[t.Ref.JobID] = true
	p.plan.Impossible = append(p.plan.Impossible, Unplaced{Task: t.Task, Reason: filter.Impossible(p.cluster, t)})
}

func (p *planner) leave(t *model.Item, why string) {
	p.plan.Unplaced = append(p.plan.Unplaced, Unplaced{Task: t.Task, Reason: why})
}
