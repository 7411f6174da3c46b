// Package scale measures how planning and a shard's state grow with the number of
// workers and tasks, so that the slopes are known.
package scale

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/scheduler/placement"
	"chervilridge/internal/scheduler/placement/model"
	"chervilridge/internal/shard"
)

const (
	perRack    = 3
	centres    = 5
	teams      = 98
	classCount = 20
	// targetDecision is the time that one decision may take at targetWorkers.
	targetDecision = 100 * time.Microsecond
	targetWorkers  = 100
	// runs of which the median counts.
	runs = 9
	// runningPerWorker tasks hold a part of each worker before a plan.
	runningPerWorker = 4
)

var capacity = model.Amount{CPUMilli: 32_000, MemoryMB: 125_000}

// Point is one size and what was measured there.
type Point struct {
	Workers int
	Waiting int
	Placed  int
	Plan    time.Duration
}

// PerPlaced returns the time of one decision that placed a task.
func (p Point) PerPlaced() time.Duration { return p.Plan / time.Duration(max(p.Placed, 1)) }

// effects are known for each pair.
type effects struct{}

func (effects) Effect(string, string, uint32) model.Effect {
	return model.Effect{Excess: 0.1, Samples: 100}
}

// snapshot has workers that are partly full and waiting tasks of many teams.
func snapshot(workers, waiting int) placement.Snapshot {
	s := placement.Snapshot{NowMs: 1_000, Settled: true, Effects: effects{}}
	for i := range centres {
		s.DataCentres = append(s.DataCentres, model.DataCentre{Name: fmt.Sprintf("dc-%d", i), Share: 1})
	}
	for i := range workers {
		w := placement.Worker{
			Name: fmt.Sprintf("worker-%05d", i), DataCentre: fmt.Sprintf("dc-%d", i%centres), Rack: fmt.Sprintf("rack-%d", i/perRack),
			Capacity: capacity, Ready: true, Service: "s", LoadBand: uint32(i % 4), Slowdown: 1.05,
		}
		for j := range runningPerWorker {
			w.Held = append(w.Held, model.Held{
				Class: fmt.Sprintf("class-%d", (i+j)%classCount), Reserved: model.Amount{CPUMilli: 1_000, MemoryMB: 2_000}, Remaining: time.Minute,
			})
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range waiting {
		need := model.Amount{CPUMilli: 1_000 + int64(i%3)*500, MemoryMB: 2_000}
		s.Tasks = append(s.Tasks, placement.Task{
			Ref: shard.TaskRef{JobID: fmt.Sprintf("job-%06d", i/10), Index: uint32(i % 10)}, Team: fmt.Sprintf("team-%d", i%teams),
			Class: fmt.Sprintf("class-%d", i%classCount), Need: need, Floor: need, RunTime: time.Minute, Since: int64(i / 10),
		})
	}
	return s
}

// Measure plans once for each run and returns the median.
func Measure(workers, waiting int) Point {
	s := snapshot(workers, waiting)
	p := Point{Workers: workers, Waiting: waiting}
	var times []time.Duration
	for range runs {
		began := time.Now()
		plan := placement.Make(s)
		times = append(times, time.Since(began))
		p.Placed = len(plan.Assignments)
	}
	p.Plan = median(times)
	return p
}

// Memory is what a shard's state takes.
type Memory struct {
	Workers   int
	Tasks     int
	PerWorker float64 // bytes
	PerTask   float64 // bytes, waiting
	PerDone   float64 // bytes, finished with its result and history
}

// MeasureMemory fills a shard's state by replay and takes the heap's growth.
func MeasureMemory(workers, tasks int) (Memory, error) {
	m := Memory{Workers: workers, Tasks: tasks}
	state := shard.New()
	before := heap()
	if err := fill(state, registrations(workers)); err != nil {
		return m, err
	}
	withWorkers := heap()
	m.PerWorker = float64(withWorkers-before) / float64(workers)
	const perJob = 10
	if err := fill(state, submissions(tasks, perJob)); err != nil {
		return m, err
	}
	withTasks := heap()
	m.PerTask = float64(withTasks-withWorkers) / float64(tasks)
	if err := fill(state, lives(workers, tasks, perJob)); err != nil {
		return m, err
	}
	m.PerDone = float64(heap()-withWorkers) / float64(tasks)
	runtime.KeepAlive(state)
	return m, nil
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

func fill(state *shard.State, records func(func(*pb.Record) bool)) error {
	for rec := range records {
		rec.Epoch = state.Epoch()
		if rej := state.Apply(rec); rej != nil {
			return rej
		}
	}
	return nil
}

// Life is the size in the log of one task's records.
type Life struct {
	Submit int // of a job of ten tasks, for each task
	Assign int
	Finish int
}

// Total returns the bytes of a task's life.
func (l Life) Total() int { return l.Submit + l.Assign + l.Finish }

// MeasureLife returns the encoded sizes of the records of one task.
func MeasureLife() Life {
	const perJob = 10
	size := func(records func(func(*pb.Record) bool), divide int) int {
		sum := 0
		for rec := range records {
			sum += proto.Size(rec)
		}
		return sum / divide
	}
	assign := size(assignments(1, 1, perJob), 1)
	return Life{Submit: size(submissions(perJob, perJob), perJob), Assign: assign, Finish: size(lives(1, 1, perJob), 1) - assign}
}

// Report prints all figures with the verdict on the target.
func Report(out io.Writer) error {
	fmt.Fprintf(out, "%8s %8s %8s %14s %16s\n", "workers", "waiting", "placed", "plan", "per placed task")
	verdict := "NOT MET"
	for _, size := range [][2]int{{11, 100}, {100, 1_000}, {100, 30_000}, {1_000, 1_000}, {1_000, 10_000}, {1_000, 30_000}} {
		p := Measure(size[0], size[1])
		fmt.Fprintf(out, "%8d %8d %8d %14s %16s\n", p.Workers, p.Waiting, p.Placed, p.Plan.Round(time.Microsecond), p.PerPlaced())
		if p.Workers == targetWorkers && p.PerPlaced() < targetDecision {
			verdict = "met"
		} else if p.Workers == targetWorkers {
			verdict = "NOT MET"
		}
	}
	one := Measure(targetWorkers, 1)
	fmt.Fprintf(out, "one decision alone at %d workers, with its snapshot compiled: %s\n", targetWorkers, one.Plan)
	fmt.Fprintf(out, "decision under %s at %d workers, by placed task: %s\n\n", targetDecision, targetWorkers, verdict)
	return reportState(out)
}

func reportState(out io.Writer) error {
	fmt.Fprintf(out, "%8s %8s %14s %14s %14s\n", "workers", "tasks", "bytes/worker", "bytes/waiting", "bytes/finished")
	for _, size := range [][2]int{{11, 1_000}, {100, 10_000}, {1_000, 30_000}} {
		m, err := MeasureMemory(size[0], size[1])
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%8d %8d %14.0f %14.0f %14.0f\n", m.Workers, m.Tasks, m.PerWorker, m.PerTask, m.PerDone)
	}
	l := MeasureLife()
	fmt.Fprintf(out, "ledger bytes of a task's life: submit %d (a tenth of a job of ten), assign %d, finish %d, in all %d\n",
		l.Submit, l.Assign, l.Finish, l.Total())
	return nil
}
