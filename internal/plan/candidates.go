package plan

import "slices"

// candidates are the workers for the tasks of one request. The tasks are alike, so that a
// worker is evaluated once, and again only after a task has been assigned to it.
type candidates struct {
	workers []Worker
	request *Request
	// rack is the only rack to use; "" admits all.
	rack string
	// mixImages is the value last set on the workers, mixImagesSet whether it was.
	mixImages, mixImagesSet bool
	evaluations             []evaluation // by worker
	// pack prefers workers with little free CPU, so that large gaps remain.
	pack bool
}

// evaluation is how a worker suits a task of a request.
type evaluation struct {
	admitted   bool
	suspicion  float64
	onDataRack bool
	// colocation is the worker's colocationScore, freeCPU its freeCPUMilli.
	colocation, freeCPU int64
}

func newCandidates(workers []Worker, r *Request, rack string) *candidates {
	c := &candidates{workers: workers, request: r, rack: rack, evaluations: make([]evaluation, len(workers))}
	c.evaluateAll()
	return c
}

func (c *candidates) evaluateAll() {
	for i := range c.workers {
		c.evaluate(i)
	}
}

func (c *candidates) evaluate(i int) {
	w, step := &c.workers[i], c.request.Step
	if c.rack != "" && w.Rack != c.rack || !w.admits(c.request) {
		c.evaluations[i] = evaluation{}
		return
	}
	c.evaluations[i] = evaluation{
		admitted: true, suspicion: w.Suspicion, onDataRack: step.DataRack != "" && w.Rack == step.DataRack,
		colocation: w.colocationScore(step), freeCPU: w.freeCPUMilli(step),
	}
}

// choose returns the index of the best worker for a task, or -1 if none has room. If only
// workers to avoid have room, they are no longer avoided.
func (c *candidates) choose() int {
	c.updateMixImages()
	best := c.best()
	if best >= 0 || len(c.request.Avoid) == 0 || c.request.StrictAvoid || c.anyHeldBack() {
		return best
	}
	c.request.Avoid = nil
	c.evaluateAll()
	return c.choose()
}

// anyHeldBack reports whether a worker that need not be avoided has room for a task, but must
// not start it yet, because of its start limit or a reservation.
func (c *candidates) anyHeldBack() bool {
	return slices.ContainsFunc(c.workers, func(w Worker) bool {
		heldBack := w.AtStartLimit() || w.hold != nil
		w.MaxStarting, w.hold = 0, nil
		return heldBack && w.admits(c.request)
	})
}

// updateMixImages sets whether serving tasks may share workers with other images, which
// depends on all workers.
func (c *candidates) updateMixImages() {
	if c.request.Step.TargetLatencyMs == 0 {
		return
	}
	mixImages := shouldMixImages(c.workers, c.request)
	if c.mixImagesSet && mixImages == c.mixImages {
		return
	}
	c.mixImages, c.mixImagesSet = mixImages, true
	for i := range c.workers {
		c.workers[i].mixImages = mixImages
	}
	c.evaluateAll()
}

// best returns the index of the best admitted worker, or -1 if there is none.
func (c *candidates) best() int {
	best := -1
	for i := range c.evaluations {
		if c.evaluations[i].admitted && (best < 0 || c.preferred(i, best)) {
			best = i
		}
	}
	return best
}

// preferred reports whether worker i is preferred to worker j: by lower suspicion, then on
// the rack of the data, by co-location score, by free CPU and by name.
func (c *candidates) preferred(i, j int) bool {
	a, b := &c.evaluations[i], &c.evaluations[j]
	switch {
	case a.suspicion != b.suspicion:
		return a.suspicion < b.suspicion
	case a.onDataRack != b.onDataRack:
		return a.onDataRack
	case a.colocation != b.colocation:
		return a.colocation > b.colocation
	case a.freeCPU != b.freeCPU:
		return (a.freeCPU > b.freeCPU) != c.pack
	}
	return c.workers[i].Key.Node < c.workers[j].Key.Node
}

// assign adds a task to the use of worker i.
func (c *candidates) assign(i int) {
	c.workers[i].assign(c.request)
	c.evaluate(i)
}
