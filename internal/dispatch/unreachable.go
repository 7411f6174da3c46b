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
	unreachableInterval = time.Second
	// unreachableAfter is how long an owner waits before it records the agents that have
	// not attached. Live agents attach within a second, and one that is on the record
	// gets its lease one report later.
	unreachableAfter = 2 * time.Second
)

// unreachableAgents tracks for how long agents have been granted nothing, across owners.
// A new owner has to wait for the leases of an agent that it cannot reach. If owners
// follow each other quickly, each would begin that wait again, and the tasks of a lost
// machine would not be restarted for all that time. The times are therefore stored, in the
// record of unreachable agents. A node stays on the record as long as it is granted
// nothing; before an owner grants it a lease, it stores the record without the node.
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

// recordUnreachable periodically stores the record of unreachable agents: those with runs
// that this owner inherited and that have not reported to it.
func (e *Engine) recordUnreachable(now boottime.Instant) {
	if now.Sub(e.epochStart) < unreachableAfter || now.Sub(e.unreachableAgents.recordedAt) < unreachableInterval || e.batch.unreachable != nil {
		return
	}
	unreachable := map[string]int64{}
	for name, n := range e.nodes {
		if n.lastReport == 0 && len(n.runs) > 0 {
			unreachable[name] = (e.unreachableAgents.inheritedTime(name) + now.Sub(e.epochStart)).Milliseconds()
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
