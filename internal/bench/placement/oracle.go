package placement

import (
	"time"

	"chervilridge/internal/scheduler/placement"
	"chervilridge/internal/scheduler/placement/fairness"
	"chervilridge/internal/scheduler/placement/model"
	"chervilridge/internal/standin/interference"
)

// oracle knows true sizes, true interference and the present load, serves teams
// in the same fair order, needs no ramp, and throttles exactly to the target.
type oracle struct{}

func (oracle) finished(*task, time.Duration) {}

func (oracle) place(w *world) {
	s := placement.Snapshot{NowMs: int64(w.second) * secondMs}
	byRef := map[string]*task{}
	for _, t := range w.waiting {
		byRef[t.ref.JobID] = t
		s.Tasks = append(s.Tasks, placement.Task{
			Ref: t.ref, Team: t.class.team, Class: t.class.name, Need: t.need, Floor: t.need, Urgent: t.class.urgent, Since: int64(t.second),
		})
	}
	for _, k := range w.workers {
		s.Workers = append(s.Workers, placement.Worker{Name: k.name, Capacity: k.capacity, Ready: true})
	}
	s.Teams, s.Classes = w.shares()
	c := model.Compile(s)
	queue := fairness.New(c)
	for item := queue.Next(); item != nil; item = queue.Next() {
		t := byRef[item.Ref.JobID]
		if k := choose(w, t); k != nil {
			c.Place(item, c.Nodes[k.index], t.need)
			w.start(t, k, t.need)
		}
	}
}

// choose returns the worker whose service stays quickest, within the target and
// with true processors to spare.
func choose(w *world, t *task) *worker {
	var best *worker
	least := 0.0
	for _, k := range w.workers {
		if w.out(k) || !t.need.Within(k.free()) {
			continue
		}
		h := k.host()
		after := uses(append(append([]*task{}, k.running...), t), 1)
		s := interference.Slowdown(h, after)
		if s <= targetSlowdown && (best == nil || s < least) {
			best, least = k, s
		}
	}
	return best
}
