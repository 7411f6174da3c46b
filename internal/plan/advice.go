package plan

import (
	"slices"

	"chervilridge/internal/jobstate"
)

// UnadvisedWorkers returns the workers that could run a task of the request if the placement policy
// permitted them, in the order in which Place prefers them: those with room at present, and if there
// is none and no worker is permitted yet, those that would have room if they were empty. It leaves
// out the workers that are permitted already and the denied ones.
func (r *Request) UnadvisedWorkers(workers []Worker, denied map[string]bool) (unadvised []jobstate.WorkerKey, roomNow bool) {
	open := *r
	open.Allowed = nil
	c := newCandidates(workers, &open, "")
	var indexes, suited []int
	for i := range workers {
		id := workers[i].Key.ID
		switch {
		case r.Allowed[id] || denied[id]:
		case c.evaluations[i].admitted:
			indexes = append(indexes, i)
		case workers[i].suitsEmpty(&open):
			suited = append(suited, i)
		}
	}
	roomNow = len(indexes) > 0
	if !roomNow && len(r.Allowed) == 0 {
		indexes = suited
	}
	slices.SortFunc(indexes, func(i, j int) int {
		if c.preferred(i, j) {
			return -1
		}
		return 1
	})
	for _, i := range indexes {
		unadvised = append(unadvised, workers[i].Key)
	}
	return unadvised, roomNow
}

// suitsEmpty reports whether a task of the request may run on the worker once all its runs have ended.
func (w *Worker) suitsEmpty(r *Request) bool {
	empty := Worker{Key: w.Key, Service: w.Service, Labels: w.Labels, Capacity: w.Capacity, BestEffortLimitMilli: w.Capacity.CPUMilli}
	return empty.admits(r)
}
