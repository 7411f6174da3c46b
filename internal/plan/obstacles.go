package plan

// Obstacle is why a worker that has room for a task does not get it.
type Obstacle string

// Obstacles to a task on a worker that has room for it.
const (
	ObstacleStartLimit   Obstacle = "start limit"
	ObstacleReservation  Obstacle = "reserved for another task"
	ObstacleIsolatedTask Obstacle = "runs an isolated task"
	ObstacleAvoided      Obstacle = "task failed or was refused there"
	// The task itself must be isolated.
	ObstacleIsolationLimit Obstacle = "limit of isolated tasks"
	ObstacleStarting       Obstacle = "starts other tasks"
)

// AtIsolationLimit reports whether no more of the workers may get an isolated task of the request.
func (r *Request) AtIsolationLimit(workers []Worker) bool {
	return r.Isolated && isolatedWorkers(workers, r.Service) >= r.MaxIsolated
}

// Obstacles returns why the worker does not get a task of the request, or nil if it gets one, may never
// run it or has no room. It is for the state after a planning round.
func (w *Worker) Obstacles(r *Request, atIsolationLimit bool) []Obstacle {
	if !w.HasRoom(r) {
		return nil
	}
	var out []Obstacle
	add := func(applies bool, o Obstacle) {
		if applies {
			out = append(out, o)
		}
	}
	add(w.AtStartLimit() && !r.Step.Gang, ObstacleStartLimit)
	add(w.hold != nil && !w.hold.allows(r), ObstacleReservation)
	add(w.Isolated, ObstacleIsolatedTask)
	add(r.Avoid[w.Key.ID], ObstacleAvoided)
	add(atIsolationLimit, ObstacleIsolationLimit)
	add(r.Isolated && w.Starting > 0, ObstacleStarting)
	return out
}

// HasRoom reports whether a task of the request fits on the worker and may run there at all.
func (w *Worker) HasRoom(r *Request) bool {
	return Needs(r.Step).Fits(w.Capacity.Sub(w.Used)) && w.permits(r)
}
