package plan

import "slices"

// overdueStartFactor multiplies the start limit of workers for overdue tasks, since more urgent tasks may use all
// starts below it.
const overdueStartFactor = 2

// PlaceOverdue adds grants for requests whose tasks have waited so long that only what workers run and can run
// keeps them from one, not what is believed about the workers: the tasks may use reserved room, workers to avoid,
// workers at their start limit within bounds, and those beside an isolated task that has outlived its start.
// workers are those of the round, after it, followed by workers that were left out.
func (p *Plan) PlaceOverdue(workers []Worker, requests []Request, model InterferenceModel) {
	for i := range workers {
		w := &workers[i]
		w.model, w.hold = model, nil
		w.MaxStarting *= overdueStartFactor
	}
	SortRequests(requests)
	var overdue Plan
	for i := range requests {
		r := &requests[i]
		r.Overdue = true
		switch {
		case r.Isolated:
			placeIsolated(workers, r, &overdue)
		case r.Step.Gang:
			placeGang(workers, r, &overdue)
		default:
			placeTasks(workers, r, false, &overdue)
		}
	}
	p.Grants = append(p.Grants, overdue.Grants...)
	for _, g := range overdue.Grants {
		p.countPlaced(g.Key)
	}
}

// countPlaced takes a task of the step out of the unplaced ones.
func (p *Plan) countPlaced(key StepKey) {
	i := slices.IndexFunc(p.Unplaced, func(u Unplaced) bool { return u.Key == key })
	if i < 0 {
		return
	}
	if p.Unplaced[i].Count--; p.Unplaced[i].Count == 0 {
		p.Unplaced = slices.Delete(p.Unplaced, i, i+1)
	}
}
