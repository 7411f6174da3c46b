// Package plan assigns waiting tasks to workers. It is a pure function of a snapshot of
// the workers and requests and uses neither the clock nor the network.
package plan

import (
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/interference"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/urgency"
)

// Resources is an amount of CPU in thousandths of a core, memory in MB and accelerators.
type Resources struct {
	CPUMilli int64
	MemoryMB int64
	GPUs     int64
}

// Needs returns the resources that a task of the step reserves on a worker. Tasks of a
// best-effort step (Step.Fills) reserve no CPU.
func Needs(s *chervilv2.Step) Resources {
	r := Resources{CPUMilli: int64(s.CpuMilli), MemoryMB: int64(s.MemoryMb), GPUs: int64(s.Gpus)}
	if s.Fills {
		r.CPUMilli = 0
	}
	return r
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Sub returns r - o, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Fits reports whether each amount of r is at most that of free.
func (r Resources) Fits(free Resources) bool {
	return r.CPUMilli <= free.CPUMilli && r.MemoryMB <= free.MemoryMB && r.GPUs <= free.GPUs
}

// StepKey identifies a step of one occurrence of a job.
type StepKey struct {
	Job        string
	Occurrence uint32
	Step       uint32
}

// rackLabelPrefix begins the label that names a worker's rack, followed by a digit.
const rackLabelPrefix = "r"

// RackOf returns the label that names a worker's rack, or "" if there is none.
func RackOf(labels []string) string {
	for _, l := range labels {
		if len(l) > 1 && l[:1] == rackLabelPrefix && '0' <= l[1] && l[1] <= '9' {
			return l
		}
	}
	return ""
}

// Worker is the state of a worker that accepts tasks.
type Worker struct {
	Key      jobstate.WorkerKey
	Service  string
	Rack     string
	Labels   []string
	Capacity Resources
	// Used is the sum of the resources of granted runs, including those being stopped.
	Used Resources
	// ServingCPUMilli is the part of Used.CPUMilli that serving tasks reserve.
	ServingCPUMilli int64
	// BestEffortCPUMilli is the CPU that the best-effort tasks on the worker ask for.
	BestEffortCPUMilli int64
	// ServingTasks is the number of serving tasks on the worker.
	ServingTasks int
	// BestEffortLimitMilli is the most CPU that best-effort tasks may ask for in total.
	BestEffortLimitMilli int64
	// ServingByImage groups the serving tasks by image. BestEffortShares is the CPU that
	// best-effort tasks ask for by image, as a fraction of the worker's CPU.
	ServingByImage   map[string]ServingGroup
	BestEffortShares map[string]float64
	// Suspicion is 0 for a healthy worker; workers with a lower value are preferred.
	Suspicion float64
	// RunsPerStep counts the runs of each step that sets MaxPerWorker.
	RunsPerStep map[StepKey]int
	// Starting is the number of runs on the worker that have only just been started, or whose
	// start is not confirmed. MaxStarting is the most of them beside which another task is
	// started; 0 is no limit. Gangs are exempt, since their members start together.
	Starting, MaxStarting int
	// Isolated is set while an isolated task runs on the worker, which then gets no other. IsolatedStarting
	// is set as well until a list of the worker has shown that the task has outlived its start.
	Isolated, IsolatedStarting bool
	// Ends are the forecast ends of the runs on the worker. Those without a known end are missing.
	// Place sorts them.
	Ends []End

	model InterferenceModel
	// hold is what the planning round has reserved on the worker; nil if nothing.
	hold *hold
	// mixImages is set while choosing a worker for a serving task that may share a worker
	// with other images.
	mixImages bool
}

// ServingGroup is the serving tasks of one image on a worker.
type ServingGroup struct {
	Tasks int
	// Headroom is the lowest headroom of these tasks under their own load alone, as the
	// ratio of target latency to tail latency.
	Headroom float64
}

// InterferenceModel estimates how best-effort tasks slow down serving tasks.
type InterferenceModel interface {
	// HeadroomLoss returns the headroom that a serving task loses to best-effort tasks; use
	// is their CPU by image, as a fraction of the worker's CPU.
	HeadroomLoss(serving string, use map[string]float64) float64
	// HarmfulImages returns the best-effort images that slow down a serving image,
	// BestEffortImageCount the number of known best-effort images.
	HarmfulImages(serving string) interference.ImageSet
	BestEffortImageCount() int
}

// Request is a set of waiting tasks of a step. A step may have several requests, for example
// if its tasks avoid different workers.
type Request struct {
	Key      StepKey
	Step     *chervilv2.Step
	Queue    string
	Service  string
	Priority int
	// Duration is how long a task takes, with the tail of its distribution; 0 if unknown.
	Duration time.Duration
	// Class and then Rank order requests of the same priority, lowest first.
	Class   urgency.Class
	Rank    time.Duration
	Indexes []uint32
	// Allowed is the set of worker ids that the placement policy permits; nil permits all.
	Allowed map[string]bool
	// Starved is set if the job has run nothing for a while. Its best-effort tasks may then
	// share a worker with serving tasks that they slow down.
	Starved bool
	// Avoid is the set of worker ids to avoid, such as those on which a run of the tasks failed.
	Avoid map[string]bool
	// StrictAvoid forbids the workers in Avoid even if no other worker has room.
	StrictAvoid bool
	// Isolated is set if no other task may be started beside each of the tasks. MaxIsolated is
	// the most workers of the service that may have an isolated task at once.
	Isolated    bool
	MaxIsolated int
	// SuspectAge is how long the tasks had been running at the crash of which they are
	// suspected. The youngest are the most likely cause and come first.
	SuspectAge time.Duration
	// Runs bounds what is granted to the job; nil is no bound. All requests of a job share it.
	Runs *RunBudget
}

// RunBudget is the number of runs that a job may still be granted. Only grants use it up, so that
// tasks that find no worker take nothing from the others of their job.
type RunBudget struct{ Left int }

// allows reports whether n runs may be granted.
func (b *RunBudget) allows(n int) bool { return b == nil || n <= b.Left }

// use counts n runs as granted.
func (b *RunBudget) use(n int) {
	if b != nil {
		b.Left -= n
	}
}

// Grant assigns the task Index of a step to the worker at position Worker in the list of
// workers.
type Grant struct {
	Key    StepKey
	Index  uint32
	Worker int
}

// Unplaced is a number of tasks of a step that stay waiting, and the reason.
type Unplaced struct {
	Key    StepKey
	Count  int
	Reason Reason
}

// Reason is why a task was not placed.
type Reason string

// Reasons why a task was not placed.
const (
	ReasonNoRoom Reason = "no room"
	// ReasonIsolation: no worker is free to run the task without others being started.
	ReasonIsolation Reason = "no worker for an isolated task"
	// ReasonRunLimit: the job has as many runs as it may have.
	ReasonRunLimit Reason = "job at its limit of runs"
)
