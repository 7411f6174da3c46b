package dispatch

import (
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/jobstate"
)

// refusalTTL is how long a worker that refused to start a task is avoided for it. A worker with the most room would
// otherwise be chosen again in each round for as long as its agent refuses the task.
const refusalTTL = 3 * time.Second

// recordRefusal records that a worker did not start a run of the task.
func (en *jobEntry) recordRefusal(ref jobstate.TaskRef, workerID string, now boottime.Instant) {
	if en.refusedAt == nil {
		en.refusedAt = map[jobstate.TaskRef]map[string]boottime.Instant{}
	}
	if en.refusedAt[ref] == nil {
		en.refusedAt[ref] = map[string]boottime.Instant{}
	}
	en.refusedAt[ref][workerID] = now
}

// avoidedWorkers returns the IDs of the workers on which the task has failed, or that have refused it lately.
func (en *jobEntry) avoidedWorkers(ref jobstate.TaskRef, now boottime.Instant) map[string]bool {
	if len(en.refusedAt[ref]) == 0 {
		return en.failedOn[ref]
	}
	refused := map[string]bool{}
	for id, at := range en.refusedAt[ref] {
		if now.Sub(at) < refusalTTL {
			refused[id] = true
			continue
		}
		if delete(en.refusedAt[ref], id); len(en.refusedAt[ref]) == 0 {
			delete(en.refusedAt, ref)
		}
	}
	return union(en.failedOn[ref], refused)
}
