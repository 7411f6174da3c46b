package plan

import (
	"cmp"
	"slices"
	"strings"
)

// placeIsolated places the tasks of a request that must be isolated, one on each worker, on
// workers on which nothing is being started. The worker of an isolated task gets no other
// task in this round. If such a worker is still starting others, it is reserved: it gets no
// task in this round, so that it is free for the isolated one in a later round.
func placeIsolated(workers []Worker, r *Request, out *Plan) {
	for n, index := range r.Indexes {
		if !r.Runs.allows(1) {
			out.Unplaced = append(out.Unplaced, Unplaced{Key: r.Key, Count: len(r.Indexes) - n, Reason: ReasonRunLimit})
			return
		}
		best := -1
		if isolatedWorkers(workers, r.Service) < r.MaxIsolated {
			best = bestForIsolation(workers, r)
		}
		if best < 0 {
			out.Unplaced = append(out.Unplaced, Unplaced{Key: r.Key, Count: len(r.Indexes) - n, Reason: ReasonIsolation})
			return
		}
		w := &workers[best]
		if w.Starting > 0 {
			w.Isolated, w.IsolatedStarting = true, true
			out.Unplaced = append(out.Unplaced, Unplaced{Key: r.Key, Count: 1, Reason: ReasonIsolation})
			continue
		}
		w.assign(r)
		r.Runs.use(1)
		w.Isolated, w.IsolatedStarting = true, true
		out.Grants = append(out.Grants, Grant{Key: r.Key, Index: index, Worker: best})
	}
}

// isolatedRequests returns the requests whose tasks must be isolated, the most likely causes of
// crashes first.
func isolatedRequests(requests []Request) []*Request {
	var out []*Request
	for i := range requests {
		if requests[i].Isolated {
			out = append(out, &requests[i])
		}
	}
	slices.SortStableFunc(out, func(a, b *Request) int { return cmp.Compare(a.SuspectAge, b.SuspectAge) })
	return out
}

// isolatedWorkers returns the number of workers of a service with an isolated task.
func isolatedWorkers(workers []Worker, service string) int {
	n := 0
	for i := range workers {
		if workers[i].Service == service && workers[i].Isolated {
			n++
		}
	}
	return n
}

// bestForIsolation returns the worker whose crash would cost the least, or -1 if none admits
// the task. Workers to avoid are accepted if there is no other.
func bestForIsolation(workers []Worker, r *Request) int {
	best := -1
	for i := range workers {
		if workers[i].admits(r) && (best < 0 || compareForIsolation(&workers[i], &workers[best]) < 0) {
			best = i
		}
	}
	if best >= 0 || len(r.Avoid) == 0 || r.StrictAvoid {
		return best
	}
	r.Avoid = nil
	return bestForIsolation(workers, r)
}

// compareForIsolation orders workers by what a crash would cost: those without serving tasks
// first, then those that start nothing, then by the CPU of their runs and by name.
func compareForIsolation(a, b *Worker) int {
	return cmp.Or(
		cmp.Compare(min(a.ServingTasks, 1), min(b.ServingTasks, 1)),
		cmp.Compare(min(a.Starting, 1), min(b.Starting, 1)),
		cmp.Compare(a.Suspicion, b.Suspicion),
		cmp.Compare(a.Used.CPUMilli+a.BestEffortCPUMilli, b.Used.CPUMilli+b.BestEffortCPUMilli),
		strings.Compare(a.Key.Node, b.Key.Node),
	)
}
