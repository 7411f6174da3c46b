// Package reservation keeps a worker back for a task that has waited long and
// finds no room, so that a stream of small tasks cannot starve it. Others still go there
// if they end before the room is expected, or fit beside it.
package reservation

import (
	"slices"
	"time"

	"chervilridge/internal/scheduler/placement/filter"
	"chervilridge/internal/scheduler/placement/model"
)

// workersPerReservation bounds how many workers are held back: one of so many, and at
// least one.
const workersPerReservation = 8

// Reserver holds workers back during one plan.
type Reserver struct {
	cluster *model.Cluster
	left    int
}

// New returns a reserver for the cluster.
func New(c *model.Cluster) *Reserver {
	return &Reserver{cluster: c, left: max(1, len(c.Nodes)/workersPerReservation)}
}

// Reserve holds back the worker that is expected to have room for the task first,
// and returns it; nil if the task has not waited long, or no worker may be held.
func (r *Reserver) Reserve(t *model.Item) *model.Node {
	if !t.Aged || r.left == 0 {
		return nil
	}
	var best *model.Node
	var soonest time.Duration
	for _, n := range r.cluster.Nodes {
		if !r.eligible(t, n) {
			continue
		}
		if wait := r.wait(t, n); best == nil || wait < soonest {
			best, soonest = n, wait
		}
	}
	if best == nil {
		return nil
	}
	r.left--
	r.hold(t, best, soonest)
	return best
}

func (r *Reserver) eligible(t *model.Item, n *model.Node) bool {
	need := r.cluster.Reserve(t, n)
	return n.Ready && !n.Quarantined && !n.Out && !n.Probation && n.HeldFor == nil &&
		need.Within(n.Capacity) && (!need.Within(n.Free) || r.crowdedOut(t, n)) &&
		filter.Allowed(r.cluster, t, n) && !slices.Contains(t.Avoid, n.Name)
}

// crowdedOut reports whether only other batch work on the node keeps the task
// away from the service, while none of its class runs anywhere.
func (r *Reserver) crowdedOut(t *model.Item, n *model.Node) bool {
	return n.Service != "" && n.Tasks > 0 && r.cluster.Classes[t.ClassIndex].Running == 0 &&
		r.cluster.TooSlow(r.cluster.Growth(n, t, r.cluster.Reserve(t, n)))
}

// wait returns when the node is expected to be able to take the task.
func (r *Reserver) wait(t *model.Item, n *model.Node) time.Duration {
	if r.crowdedOut(t, n) {
		return lastEnd(n)
	}
	return untilRoom(n, r.cluster.Reserve(t, n))
}

func (r *Reserver) hold(t *model.Item, n *model.Node, wait time.Duration) {
	need := r.cluster.Reserve(t, n)
	n.HeldFor, n.HeldUntil = t, wait
	if r.crowdedOut(t, n) {
		return // nothing fits beside it
	}
	free := n.Free
	for _, h := range n.Held {
		if h.Remaining <= wait {
			free = free.Add(h.Reserved)
		}
	}
	n.Spare = free.Sub(need).Min(n.Free)
}

// untilRoom returns when enough running tasks are expected to have ended.
func untilRoom(n *model.Node, need model.Amount) time.Duration {
	ends := slices.Clone(n.Held)
	slices.SortFunc(ends, func(a, b model.Held) int { return int(a.Remaining - b.Remaining) })
	free := n.Free
	for _, h := range ends {
		free = free.Add(h.Reserved)
		if need.Within(free) {
			return h.Remaining
		}
	}
	// Usage above what is reserved hides room: expect it after the last end.
	return lastEnd(n)
}

func lastEnd(n *model.Node) time.Duration {
	var last time.Duration
	for _, h := range n.Held {
		last = max(last, h.Remaining)
	}
	return last
}
