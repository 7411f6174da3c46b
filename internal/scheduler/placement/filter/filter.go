// Package filter decides whether a worker can take a task now, and why not.
package filter

import (
	"slices"

	"chervilridge/internal/scheduler/placement/model"
)

// Reason is why a worker cannot take a task.
type Reason int

// Reasons in the order in which they are checked.
const (
	None Reason = iota
	NotReady
	Quarantined
	DataCentreNotAllowed
	DataCentreOut
	FailedThere
	OnProbation
	NoRoom
	RampingUp
	HeldBack
	ServiceSlow
	UnknownPair
	reasons // the number of reasons
)

var texts = [reasons]string{
	None: "", NotReady: "silent or leaving", Quarantined: "quarantined",
	DataCentreNotAllowed: "data centre not allowed", DataCentreOut: "data centre out of service",
	FailedThere: "task failed there before", OnProbation: "on probation and busy",
	NoRoom: "no room", RampingUp: "data centre still ramping up", HeldBack: "held back for a task that has waited long",
	ServiceSlow: "service beside it would get too slow", UnknownPair: "effect on the service still being measured elsewhere",
}

// String returns the reason as people read it.
func (r Reason) String() string { return texts[r] }

// Tally counts reasons over the workers of a cluster.
type Tally [reasons]int

// Check returns why the node cannot take the task with the given reservation,
// or None. The cheap and final reasons come first, so that the one reported is
// the one an operator can act on.
func Check(c *model.Cluster, t *model.Item, n *model.Node, need model.Amount) Reason {
	switch {
	case !n.Ready:
		return NotReady
	case n.Quarantined:
		return Quarantined
	case !Allowed(c, t, n):
		return DataCentreNotAllowed
	case n.Out:
		return DataCentreOut
	case len(t.Avoid) > 0 && slices.Contains(t.Avoid, n.Name):
		return FailedThere
	case n.Probation && n.Tasks > 0:
		return OnProbation
	case !need.Within(n.Free):
		return NoRoom
	case !need.Within(n.Usable):
		return RampingUp
	case heldBack(t, n, need):
		return HeldBack
	}
	return checkService(c, t, n, need)
}

// Allowed reports whether the class may use the node's data centre.
func Allowed(c *model.Cluster, t *model.Item, n *model.Node) bool {
	allowed := c.Classes[t.ClassIndex].DataCentres
	return len(allowed) == 0 || slices.Contains(allowed, n.DataCentre)
}

// heldBack reports whether the task would delay the one that the node is held
// back for. A task that ends before then, or fits beside it, does not; urgent
// work goes first anyway.
func heldBack(t *model.Item, n *model.Node, need model.Amount) bool {
	if n.HeldFor == nil || n.HeldFor == t || t.Urgent {
		return false
	}
	return t.RunTime > n.HeldUntil && !need.Within(n.Spare)
}

// checkService keeps the service beside the worker quick. If nothing of a class
// runs, a task of it that has waited long may go beside a service alone, since
// the agent throttles it if need be; otherwise the worst classes would take every
// worker that comes free.
func checkService(c *model.Cluster, t *model.Item, n *model.Node, need model.Amount) Reason {
	if n.Service == "" {
		return None
	}
	if n.Throttled {
		return ServiceSlow
	}
	if t.Aged && n.Tasks == 0 && c.Classes[t.ClassIndex].Running == 0 && n.Slowdown <= c.Policy.MaxSlowdown {
		return None
	}
	if !c.Known(n, t.ClassIndex) {
		return checkProbe(c, t, n)
	}
	if c.TooSlow(c.Growth(n, t, need)) {
		return ServiceSlow
	}
	return None
}

// checkProbe lets a class whose effect is unknown run as one task on few
// workers, where the service is quick now. A service without a measured latency
// has nothing to lose.
func checkProbe(c *model.Cluster, t *model.Item, n *model.Node) Reason {
	switch {
	case n.Slowdown == 0:
		return None
	case n.Slowdown > c.Policy.MaxSlowdown:
		return ServiceSlow
	case n.ByClass[t.ClassIndex] > 0 || c.Probing(t.ClassIndex) >= c.Policy.ProbeWorkers:
		return UnknownPair
	}
	return None
}
