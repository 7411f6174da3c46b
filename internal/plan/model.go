// Package plan decides which waiting task runs on which worker. It looks at a snapshot
// only and uses neither clock nor network.
package plan

import (
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/interference"
	"chervilridge/internal/urgency"
	"chervilridge/internal/work"
)

// Resources are processors in thousandths, memory and accelerators.
type Resources struct {
	CPUMilli int64
	MemoryMB int64
	GPUs     int64
}

// Needs returns what a task of the step takes of a worker's capacity. A step that
// fills takes no counted processors.
func Needs(s *chervilv2.Step) Resources {
	r := Resources{CPUMilli: int64(s.CpuMilli), MemoryMB: int64(s.MemoryMb), GPUs: int64(s.Gpus)}
	if s.Fills {
		r.CPUMilli = 0
	}
	return r
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Fits reports whether r is within the room.
func (r Resources) Fits(room Resources) bool {
	return r.CPUMilli <= room.CPUMilli && r.MemoryMB <= room.MemoryMB && r.GPUs <= room.GPUs
}

// StepKey names a step of an occurrence.
type StepKey struct {
	Job        string
	Occurrence uint32
	Step       uint32
}

// Worker is a worker that may take tasks.
type Worker struct {
	Key      work.WorkerKey
	Service  string
	Rack     string
	Labels   []string
	Capacity Resources
	// Used is what granted runs take, those that are being stopped included.
	Used Resources
	// ServingMilli are the processors of serving tasks, a part of Used.
	ServingMilli int64
	// FillMilli are the processors that filling tasks ask for.
	FillMilli int64
	// Serving is how many serving tasks run here.
	Serving int
	// FillLimitMilli is how many processors filling tasks may ask for in all.
	FillLimitMilli int64
	// Serves are the serving tasks here by image, FillShares what filling tasks ask for by
	// image, as shares of the worker's processors.
	Serves     map[string]Served
	FillShares map[string]float64
	// Doubt is 0 for a sound worker; the higher, the later it is chosen.
	Doubt float64
	// PerStep counts the runs of steps that bound them.
	PerStep map[StepKey]int

	known Interference
	// mix is set while serving tasks are chosen for that go beside other images.
	mix bool
}

// Served are the serving tasks of one image on a worker.
type Served struct {
	Tasks int
	// Headroom is the least headroom that their load alone leaves: the target over the
	// tail latency.
	Headroom float64
}

// Interference tells how filling tasks disturb serving ones.
type Interference interface {
	// Taken returns the headroom that filling tasks, with their shares of the worker's
	// processors by image, take of a serving task.
	Taken(serving string, use map[string]float64) float64
	// Harmful returns the filling images that disturb a serving image, Filling how many
	// filling images are known.
	Harmful(serving string) interference.Images
	Filling() int
}

// Request is a step's tasks that wait.
type Request struct {
	Key      StepKey
	Step     *chervilv2.Step
	Service  string
	Priority int
	// Class and then Slack order requests of the same priority; the lowest comes first.
	Class   urgency.Class
	Slack   time.Duration
	Indexes []uint32
	// Allowed are the workers that a placement policy permits; nil means all.
	Allowed map[string]bool
	// Pressed filling tasks go beside serving tasks too that they disturb: their job has
	// run nothing for a while.
	Pressed bool
	// Avoid are workers where a run of the task failed before.
	Avoid map[string]bool
	// Strict requests never go to avoided workers.
	Strict bool
}

// Grant places a task on a worker.
type Grant struct {
	Key    StepKey
	Index  uint32
	Worker int
}

// Unplaced says why tasks of a step stay waiting.
type Unplaced struct {
	Key    StepKey
	Count  int
	Reason Reason
}

// Reason why a task was not placed.
type Reason string

// Reasons.
const (
	NoWorker Reason = "no worker of the service fits"
	NoRoom   Reason = "no room"
)
