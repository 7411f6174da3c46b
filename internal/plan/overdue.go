package plan

import "slices"

// overdueStartFactor multiplies the start limit of workers for overdue tasks, since more urgent tasks may use all
// starts below it.
const overdueStartFactor = 2

// PlaceOverdue returns grants for tasks that have waited too long. Reservations and workers to avoid do not keep them
// from a worker, nor does an isolated task that was seen to outlive its start; the start limit is higher.
// workers must be those of a round after Place, and may be followed by others, such as quarantined ones, that
// Place was not given. Requests of isolated tasks get no grants.
func PlaceOverdue(workers []Worker, requests []Request, model InterferenceModel) []Grant {
	for i := range workers {
		w := &workers[i]
		w.model, w.hold = model, nil
		w.MaxStarting *= overdueStartFactor
		w.Isolated = w.IsolatedStarting
	}
	SortRequests(requests)
	var out Plan
	for i := range requests {
		r := &requests[i]
		switch {
		case r.Isolated:
		case r.Step.Gang:
			placeGang(workers, r, &out)
		default:
			placeTasks(workers, r, false, &out)
		}
	}
	return out.Grants
}

// Add adds a grant of PlaceOverdue to the plan.
func (p *Plan) Add(g Grant) {
	p.Grants = append(p.Grants, g)
	i := slices.IndexFunc(p.Unplaced, func(u Unplaced) bool { return u.Key == g.Key })
	if i < 0 {
		return
	}
	if p.Unplaced[i].Count--; p.Unplaced[i].Count == 0 {
		p.Unplaced = slices.Delete(p.Unplaced, i, i+1)
	}
}
