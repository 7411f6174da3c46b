package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overdueRequest returns a request for a long-running task that needs most of the worker "free" of overdueWorkers.
func overdueRequest() Request {
	r := largeRequest("watchers", 3000)
	r.Step.LongRunning = true
	return r
}

// overdueWorkers returns a full worker and one with room.
func overdueWorkers() []Worker {
	workers := []Worker{worker("full", 4000), worker("free", 4000)}
	workers[0].Used.CPUMilli = 4000
	return workers
}

// Guards against a long-running task that waits for as long as something is believed of the only worker with room.
func TestOverdueTaskIsPlacedDespiteObstacles(t *testing.T) {
	reserving := func(r *Request) Request {
		large := largeRequest("batches", 4000)
		large.Priority = r.Priority - 1
		return large
	}
	for name, c := range map[string]struct {
		prepare func(workers []Worker, r *Request)
		others  func(r *Request) Request // another request that waits
		// placed is whether an overdue task is placed.
		placed bool
	}{
		"start limit":                               {prepare: func(workers []Worker, _ *Request) { workers[1].Starting, workers[1].MaxStarting = 8, 8 }, placed: true},
		"twice the start limit":                     {prepare: func(workers []Worker, _ *Request) { workers[1].Starting, workers[1].MaxStarting = 16, 8 }},
		"isolated task that has outlived its start": {prepare: func(workers []Worker, _ *Request) { workers[1].Isolated = true }, placed: true},
		"isolated task that is being started": {prepare: func(workers []Worker, _ *Request) {
			workers[1].Isolated, workers[1].IsolatedStarting = true, true
		}},
		"avoided beside a worker at its start limit": {prepare: func(workers []Worker, r *Request) {
			r.Avoid = map[string]bool{workers[1].Key.ID: true}
			workers[0].Used, workers[0].Starting, workers[0].MaxStarting = Resources{}, 8, 8
		}, placed: true},
		"reserved for another task": {prepare: func(workers []Worker, _ *Request) {
			workers[1].Used.CPUMilli = 1000
			workers[1].Ends = []End{{Frees: Resources{CPUMilli: 1000}, In: time.Minute}}
		}, others: reserving, placed: true},
		"isolated itself": {prepare: func(workers []Worker, r *Request) { r.Isolated, r.MaxIsolated = true, 0 }},
		"no room":         {prepare: func(workers []Worker, _ *Request) { workers[1].Used.CPUMilli = 2000 }},
		"label missing":   {prepare: func(_ []Worker, r *Request) { r.Step.RequiredLabel = "gpu" }},
	} {
		t.Run(name, func(t *testing.T) {
			workers, r := overdueWorkers(), overdueRequest()
			r.Priority = 1
			c.prepare(workers, &r)
			requests := []Request{r}
			if c.others != nil {
				requests = append(requests, c.others(&r))
			}
			planned := Place(workers, requests, nil)
			assert.Equal(t, len(planned.Grants), 0, "an obstacle")
			unplaced := len(planned.Unplaced)
			for _, g := range PlaceOverdue(workers, []Request{r}, nil) {
				planned.Add(g)
			}
			if !c.placed {
				assert.Equal(t, len(planned.Grants), 0)
				return
			}
			assert.Equal(t, len(planned.Grants), 1)
			assert.Equal(t, len(planned.Unplaced), unplaced-1)
			placedOn := workers[planned.Grants[0].Worker]
			assert.Assert(t, placedOn.Used.Fits(placedOn.Capacity), "beyond the capacity of %s", placedOn.Key.Node)
		})
	}
}
