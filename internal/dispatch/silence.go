package dispatch

import (
	"maps"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
)

const (
	// silenceInterval is the pause between two records of silent agents.
	silenceInterval = time.Second
	// silentAfter is how long an owner waits for agents before it records them as silent:
	// those that live attach within a second, and one on the record is granted its lease a
	// report later.
	silentAfter = 2 * time.Second
)

// silence is for how long agents were granted nothing, over several owners. A new owner
// has to wait for the leases of an agent that it does not reach; when owners follow each
// other quickly, each would begin that wait anew, and the tasks of a lost machine would
// stand still all the while. A node counts as long as nothing is granted to it; before an
// owner grants it something, the record without it is stored.
type silence struct {
	// before is what owners before this one stored, stored what the record says now, and
	// writing what the append under way makes of it; nil if it does not touch it.
	before, stored, writing map[string]int64
	storedAt                boottime.Instant
}

// known returns for how long owners before this one have granted the node nothing.
func (s *silence) known(node string) time.Duration {
	return time.Duration(s.before[node]) * time.Millisecond
}

// storeSilence has the record of silent agents stored now and then: those with runs that
// this owner inherited and has not heard.
func (e *Engine) storeSilence(now boottime.Instant) {
	if now.Sub(e.took) < silentAfter || now.Sub(e.silence.storedAt) < silenceInterval || e.batch.silent != nil {
		return
	}
	silent := map[string]int64{}
	for name, n := range e.nodes {
		if n.heard == 0 && len(n.runs) > 0 {
			silent[name] = (e.silence.known(name) + now.Sub(e.took)).Milliseconds()
		}
	}
	if len(silent) == 0 && len(e.silence.stored) == 0 {
		return
	}
	e.silence.storedAt = now
	e.batch.silent = silent
	e.wake()
}

// silentOnRecord reports whether the record names the node, or is about to, and has it
// taken out: nothing may be granted before that is stored.
func (e *Engine) silentOnRecord(n *node) bool {
	newest := e.silence.stored
	named := false
	for _, record := range []map[string]int64{e.silence.stored, e.silence.writing, e.batch.silent} {
		if record != nil {
			newest = record
		}
		_, in := record[n.name]
		named = named || in
	}
	if !named {
		return false
	}
	e.batch.silent = map[string]int64{}
	maps.Copy(e.batch.silent, newest)
	delete(e.batch.silent, n.name)
	delete(e.silence.before, n.name) // it may be granted something from now on
	events.AgentHeardAgain.Log("node", n.name, "epoch", e.Epoch())
	e.wake()
	return true
}
