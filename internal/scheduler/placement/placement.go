// Package placement decides which waiting task goes to which worker. Planning
// is a pure function from a snapshot to a plan.
package placement

import (
	"slices"
	"strings"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/resources"
	"chervilridge/internal/shard"
)

// Worker is a worker as planning sees it.
type Worker struct {
	Name       string
	DataCentre string
	Rack       string
	Capacity   *pb.Resources
	Free       *pb.Resources
	// Ready is false for a worker that is silent, leaving or quarantined, or
	// whose data centre is out.
	Ready bool
}

// Task is a waiting task as planning sees it.
type Task struct {
	Ref      shard.TaskRef
	Attempt  uint32 // last attempt granted
	Team     string
	JobClass string
	Need     *pb.Resources
	Urgent   bool
	Since    int64 // milliseconds since 1970, to serve the oldest first
	// DataCentres that the job class may use; none means all.
	DataCentres []string
}

// Snapshot is all that planning looks at.
type Snapshot struct {
	Tasks   []Task
	Workers []Worker
}

// Assignment is one decision of a plan.
type Assignment struct {
	Task     Task
	Worker   string
	Reserved *pb.Resources
	Score    float64
}

// Unplaced is a task that found no worker now, with the reason.
type Unplaced struct {
	Task   Task
	Reason string
}

// Plan is the outcome of planning.
type Plan struct {
	Assignments []Assignment
	Unplaced    []Unplaced
	// Impossible are tasks that no known worker could ever take.
	Impossible []Unplaced
}

// Make plans all waiting tasks, urgent and old ones first.
func Make(s Snapshot) Plan {
	tasks := slices.Clone(s.Tasks)
	slices.SortFunc(tasks, compareTasks)
	workers := slices.Clone(s.Workers)
	slices.SortFunc(workers, func(a, b Worker) int { return strings.Compare(a.Name, b.Name) })
	var p Plan
	for _, t := range tasks {
		p.place(t, workers)
	}
	return p
}

func compareTasks(a, b Task) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	if a.Since != b.Since {
		return int(a.Since - b.Since)
	}
	if d := strings.Compare(a.Ref.JobID, b.Ref.JobID); d != 0 {
		return d
	}
	return int(a.Ref.Index) - int(b.Ref.Index)
}

func (p *Plan) place(t Task, workers []Worker) {
	best, score := -1, 0.0
	possible := len(workers) == 0
	for i := range workers {
		possible = possible || Possible(t, workers[i])
		if !Feasible(t, workers[i]) {
			continue
		}
		if s := leastAllocated(t, workers[i]); best < 0 || s > score {
			best, score = i, s
		}
	}
	if best < 0 {
		p.leave(t, possible)
		return
	}
	w := &workers[best]
	w.Free = resources.Sub(w.Free, t.Need)
	p.Assignments = append(p.Assignments, Assignment{Task: t, Worker: w.Name, Reserved: t.Need, Score: score})
}

func (p *Plan) leave(t Task, possible bool) {
	if !possible {
		p.Impossible = append(p.Impossible, Unplaced{t, "no worker is large enough or in an allowed data centre"})
		return
	}
	p.Unplaced = append(p.Unplaced, Unplaced{t, "no ready worker has room"})
}

// Possible reports whether the worker could take the task when empty.
func Possible(t Task, w Worker) bool {
	return resources.Fits(t.Need, w.Capacity) && allowed(t, w)
}

// Feasible reports whether the worker can take the task now.
func Feasible(t Task, w Worker) bool {
	return w.Ready && resources.Fits(t.Need, w.Free) && allowed(t, w)
}

func allowed(t Task, w Worker) bool {
	return len(t.DataCentres) == 0 || slices.Contains(t.DataCentres, w.DataCentre)
}

// leastAllocated scores by what stays free on the worker, 0 to 1.
func leastAllocated(t Task, w Worker) float64 {
	after := resources.Sub(w.Free, t.Need)
	return 1 - resources.DominantShare(resources.Sub(w.Capacity, after), w.Capacity)
}
