package configcheck

import (
	"maps"
	"slices"
	"strconv"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/plan"
	"chervilridge/platform"
)

// checkWorkers compares the services of the known workers with those of the queues.
func (c *checker) checkWorkers(workers []platform.Heartbeat) {
	if workers == nil {
		return
	}
	serving := map[string]int{}
	for _, w := range workers {
		if !w.Draining {
			serving[w.Service]++
		}
	}
	used := map[string]bool{}
	for i, q := range c.config.Queues {
		used[q.Service] = true
		if q.Service != "" && serving[q.Service] == 0 {
			c.addAt(Warning, CodeNoWorkers, queueAt(i, operatorconfig.FieldService), "no known worker that isn't draining is of service %s", text(q.Service))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(serving)) {
		if !used[name] {
			c.addAt(Info, CodeUnusedWorkers, queueAt(-1, operatorconfig.FieldNone), "no queue uses service %s; known workers of it: %d", text(name), serving[name])
		}
	}
}

// idleWorkers returns the workers of a service that are not draining, as the planner sees them
// when nothing runs.
func idleWorkers(workers []platform.Heartbeat, service string) []plan.Worker {
	var out []plan.Worker
	for i, w := range workers {
		if w.Service != service || w.Draining {
			continue
		}
		id := strconv.Itoa(i)
		out = append(out, plan.Worker{
			Key: jobstate.WorkerKey{Node: id, ID: id}, Service: w.Service, Rack: plan.RackOf(w.Labels), Labels: w.Labels,
			Capacity:             plan.Resources{CPUMilli: int64(w.CPUMilli), MemoryMB: int64(w.MemoryMB), GPUs: int64(w.GPUs)},
			BestEffortLimitMilli: int64(w.CPUMilli),
		})
	}
	return out
}

// request returns the request for the first tasks of a step, with the step's index as its key.
func request(service string, index int, step *chervilv2.Step, tasks uint32) plan.Request {
	r := plan.Request{Key: plan.StepKey{Step: uint32(index)}, Step: step, Service: service}
	for i := range tasks {
		r.Indexes = append(r.Indexes, i)
	}
	return r
}

// unplaced returns how many tasks of the requests the planner doesn't place on idle workers, by
// the index of the step. A nil map means that it places all of them.
func unplaced(workers []plan.Worker, requests ...plan.Request) map[uint32]int {
	var out map[uint32]int
	for _, u := range plan.Place(slices.Clone(workers), requests, nil).Unplaced {
		if out == nil {
			out = map[uint32]int{}
		}
		out[u.Key.Step] += u.Count
	}
	return out
}
