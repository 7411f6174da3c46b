package dispatch

import (
	"maps"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
)

const (
	// unreachableInterval is the minimum interval between two records of unreachable
	// agents.
	unreachableInterval = 500 * time.Millisecond
	// unreachableAfter is how long an agent may be silent before it is recorded. Live
	// agents attach within a second, and one that is on the record gets its lease one
	// report later.
	unreachableAfter = time.Second
	// drainingLeaseLeft is the remaining lease above which the agent of a draining worker is granted none. Both may be
	// gone before the next report, and another owner would wait for the lease of an agent that it cannot reach.
	drainingLeaseLeft = 4 * time.Second
)

// unreachableAgents tracks for how long agents have been granted nothing, across owners.
// A new owner has to wait for the leases of an agent that it cannot reach. If owners
// follow each other quickly, each would begin that wait again, and the tasks of a lost
// machine would not be restarted for all that time. The times are therefore stored, in the
// record of unreachable agents. A node stays on the record as long as it is granted
// nothing; before an owner grants it a lease, it stores the record without the node. Nodes whose
// worker drains are on it as well: they are granted leases rarely.
//
// A recorded time is the age of the confirmation of ownership that the last lease may
// rest on, at least. The lease was granted at most MaxConfirmationAge after it.
type unreachableAgents struct {
	// All three map node names to ms: inherited is what earlier owners stored, stored the
	// record now in the store, and appending the record in the append in flight, or nil
	// if that does not change it.
	inherited, stored, appending map[string]int64
	recordedAt                   boottime.Instant
}

// inheritedTime returns for how long earlier owners have granted the node nothing.
func (u *unreachableAgents) inheritedTime(node string) time.Duration {
	return time.Duration(u.inherited[node]) * time.Millisecond
}

// ungrantedTime returns the time to record for a node.
func (e *Engine) ungrantedTime(n *node, now boottime.Instant) time.Duration {
	sinceEpochStart := e.unreachableAgents.inheritedTime(n.name) + now.Sub(e.epochStart)
	if n.lastGrant == 0 {
		return sinceEpochStart
	}
	return min(now.Sub(n.lastGrant)+MaxConfirmationAge, sinceEpochStart)
}

// withholdsLease reports whether the node is granted nothing for now since its worker drains and has enough of its
// lease left.
func (n *node) withholdsLease(now boottime.Instant) bool {
	return n.worker.GetDraining() && n.leaseUntil.Sub(now) > drainingLeaseLeft
}

// unreachable reports whether a node is to be on the record: it is granted nothing since its worker drains, or has
// been granted nothing for unreachableAfter since its agent is silent or has no worker. While the store is down no
// agent is granted anything, which does not count.
func (e *Engine) unreachable(n *node, now boottime.Instant) bool {
	if n.withholdsLease(now) {
		return true
	}
	ungranted, silent := now.Sub(max(e.epochStart, n.lastGrant)), now.Sub(max(e.epochStart, n.lastReport))
	return ungranted >= unreachableAfter && (silent >= unreachableAfter || !n.leasable)
}

// recordUnreachable periodically stores the record of agents with runs that are unreachable or may soon be.
func (e *Engine) recordUnreachable(now boottime.Instant) {
	if now.Sub(e.unreachableAgents.recordedAt) < unreachableInterval || e.batch.unreachable != nil {
		return
	}
	unreachable := map[string]int64{}
	for name, n := range e.nodes {
		if len(n.runs) > 0 && e.unreachable(n, now) {
			unreachable[name] = e.ungrantedTime(n, now).Milliseconds()
		}
	}
	if len(unreachable) == 0 && len(e.unreachableAgents.stored) == 0 {
		return
	}
	e.unreachableAgents.recordedAt = now
	e.batch.unreachable = unreachable
	e.wake()
}

// removeUnreachable reports whether the node is on the record, or on one not yet stored.
// If so, it removes the node with the next batch; until that is stored, no lease may be
// granted.
func (e *Engine) removeUnreachable(n *node) bool {
	newest := e.unreachableAgents.stored
	named := false
	for _, record := range []map[string]int64{e.unreachableAgents.stored, e.unreachableAgents.appending, e.batch.unreachable} {
		if record != nil {
			newest = record
		}
		_, listed := record[n.name]
		named = named || listed
	}
	if !named {
		return false
	}
	e.batch.unreachable = map[string]int64{}
	maps.Copy(e.batch.unreachable, newest)
	delete(e.batch.unreachable, n.name)
	delete(e.unreachableAgents.inherited, n.name) // it may be granted a lease from now on
	events.AgentReachableAgain.Log("node", n.name, "epoch", e.Epoch())
	e.wake()
	return true
}
