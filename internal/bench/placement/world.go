package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chervilridge/internal/agent/colocation"
	"chervilridge/internal/scheduler/placement/model"
	"chervilridge/internal/standin/interference"
)

const (
	usageLag     = 5 // seconds that a usage report is old
	latencyNoise = 0.06
	inlineSmooth = 0.4  // weight of the newest second in what the control sees
	reportSmooth = 0.22 // the same in what the beats report: a window of 10 s
	tailFactor   = 3.0  // p99 over median of a service alone
	// The load for whose latency alone the service's target is meant: the top of
	// the daily swing, the most that a worker carries while a data centre is out,
	// or whatever the load is.
	swingLoad       = 0.6
	highestLoad     = 0.95
	presentLoad     = 0.0
	answersInWindow = 1000
)

// task is a batch task of the run.
type task struct {
	arrival
	done     float64 // seconds of work
	worker   *worker
	reserved model.Amount
	started  int
	finished bool
}

func (t *task) cores() float64 { return float64(t.need.CPUMilli) / milliPerCore }

// lost is the work in core seconds that stopping the task loses.
func (t *task) lost() float64 {
	if t.class.checkpoints {
		return 0
	}
	return t.done * t.cores()
}

type worker struct {
	index    int
	name     string
	centre   int
	rack     string
	capacity model.Amount
	service  Service
	running  []*task
	share    float64
	control  Controller
	load     float64
	slowdown float64 // true
	measured float64 // p99 of the service in milliseconds as the control sees it
	reported float64 // the same as the beats report it
	alone    float64 // what the owner expects without batch work; 0 if it has not learned
	usage    []model.Amount
}

func (w *worker) host() interference.Host {
	cores := float64(w.capacity.CPUMilli) / milliPerCore
	return interference.Host{
		Cores: cores, Sensitivity: w.service.Sensitivity, Load: w.load, ServiceCores: cores * w.service.CoresShare,
	}
}

func uses(tasks []*task, share float64) []interference.Use {
	out := make([]interference.Use, len(tasks))
	for i, t := range tasks {
		out[i] = interference.Use{Pressure: t.class.pressure, Cores: t.cores() * share}
	}
	return out
}

// world is the state of one run. One goroutine uses it.
type world struct {
	deployment Deployment
	workers    []*worker
	load       serviceLoad
	arrivals   []arrival
	next       int
	waiting    []*task
	tasks      []*task
	second     int
	noise      *rand.Rand
	centreOut  bool
	backAt     int // second at which the data centre came back; 0 before
	result     *Result
	onFinish   func(*task, time.Duration)
	target     targetRule
	exact      bool // throttle exactly to the target, as only an oracle can
}

func newWorld(d Deployment, load serviceLoad, arrivals []arrival, seed uint64, control func() Controller) *world {
	w := &world{
		deployment: d, load: load, arrivals: arrivals, noise: rand.New(rand.NewPCG(seed, 99)),
		result: newResult(), onFinish: func(*task, time.Duration) {},
	}
	for i := range workers {
		centre := i % d.Centres
		w.workers = append(w.workers, &worker{
			index: i, name: "worker-" + string(rune('a'+i)), centre: centre, rack: "rack-" + string(rune('0'+i/workersPerRack)),
			capacity: d.Capacity, service: d.Service, share: 1, control: control(),
		})
	}
	return w
}

func (w *world) out(k *worker) bool { return w.centreOut && k.centre == outCentre }

// advance brings the world to the next second, before new placements.
func (w *world) advance(second int) {
	w.second = second
	w.submit()
	w.moveCentre()
	for _, k := range w.workers {
		w.shiftLoad(k)
		w.throttleExactly(k)
		w.runTasks(k)
		w.killOverrun(k)
		w.measure(k)
		w.controlWorker(k)
	}
}

func (w *world) submit() {
	for w.next < len(w.arrivals) && w.arrivals[w.next].second <= w.second {
		t := &task{arrival: w.arrivals[w.next]}
		w.tasks = append(w.tasks, t)
		w.waiting = append(w.waiting, t)
		w.next++
	}
}

func (w *world) moveCentre() {
	switch w.second {
	case centreOutAt:
		w.centreOut = true
		for _, k := range w.workers {
			if k.centre == outCentre {
				for len(k.running) > 0 {
					w.stop(k, k.running[0], &w.result.Drained)
				}
			}
		}
	case centreBackAt:
		w.centreOut = false
		w.backAt = w.second
	}
}

// shiftLoad sets the load; a data centre that is out moves its part to the others.
func (w *world) shiftLoad(k *worker) {
	k.load = w.load[k.index][w.second]
	switch {
	case w.out(k):
		k.load = 0
	case w.centreOut:
		k.load = min(highestLoad, k.load*float64(w.deployment.Centres)/float64(w.deployment.Centres-1))
	}
}

func (w *world) runTasks(k *worker) {
	wanted := 0.0
	for _, t := range k.running {
		wanted += t.cores() * k.share
	}
	rate := interference.Rate(k.host(), wanted) * k.share
	for _, t := range slices.Clone(k.running) {
		t.done += min(rate, t.work-t.done)
		if t.done >= t.work {
			t.finished = true
			w.leave(k, t)
			w.onFinish(t, time.Duration(w.second-t.started)*time.Second)
		}
	}
}

// killOverrun ends the task that uses most beyond its reservation when the
// worker's memory is used up, as a kernel does; all its work is lost.
func (w *world) killOverrun(k *worker) {
	for {
		used, worst := int64(0), (*task)(nil)
		for _, t := range k.running {
			used += t.need.MemoryMB
			if worst == nil || t.need.MemoryMB-t.reserved.MemoryMB > worst.need.MemoryMB-worst.reserved.MemoryMB {
				worst = t
			}
		}
		if used <= k.capacity.MemoryMB || worst == nil {
			return
		}
		w.result.Killed++
		w.result.LostWork += worst.done * worst.cores()
		worst.done = 0
		w.leave(k, worst)
		w.waiting = append(w.waiting, worst)
	}
}

func (w *world) leave(k *worker, t *task) {
	k.running = slices.DeleteFunc(k.running, func(o *task) bool { return o == t })
	t.worker = nil
}

// stop checkpoints and stops a task, which then waits again.
func (w *world) stop(k *worker, t *task, counter *int) {
	*counter++
	w.result.LostWork += t.lost()
	if !t.class.checkpoints {
		t.done = 0
	}
	w.leave(k, t)
	w.waiting = append(w.waiting, t)
}

// start puts a task on a worker.
func (w *world) start(t *task, k *worker, reserved model.Amount) {
	t.worker, t.reserved, t.started = k, reserved, w.second
	k.running = append(k.running, t)
	w.waiting = slices.DeleteFunc(w.waiting, func(o *task) bool { return o == t })
}

// measure takes the true slowdown into the result and gives the agent a noisy
// window of it.
func (w *world) measure(k *worker) {
	k.slowdown = interference.Slowdown(k.host(), uses(k.running, k.share))
	noise := 1 + latencyNoise*(w.noise.Float64()*2-1)
	p99 := w.deployment.Service.MedianMs * tailFactor * interference.Alone(k.load) * k.slowdown * noise
	if k.measured == 0 || w.out(k) {
		k.measured, k.reported = p99, p99
	}
	k.measured += inlineSmooth * (p99 - k.measured)
	k.reported += reportSmooth * (p99 - k.reported)
	var sum model.Amount
	for _, t := range k.running {
		sum = sum.Add(model.Amount{CPUMilli: int64(float64(t.need.CPUMilli) * k.share), MemoryMB: t.need.MemoryMB})
	}
	k.usage = append(k.usage, sum)
	if !w.out(k) && w.second >= warmUp {
		w.result.addLatency(w.second, k)
	}
}

func (w *world) controlWorker(k *worker) {
	if w.exact || w.target == nil {
		return
	}
	v := WorkerView{
		Second: w.second, ShareMilli: uint32(math.Round(k.share * colocation.FullShare)), LoadMilli: uint32(k.load * colocation.FullShare),
		P99: milliseconds(k.measured), Target: w.target(k.load), Alone: milliseconds(k.alone), Samples: w.answers(k),
	}
	for i, t := range k.running {
		v.Tasks = append(v.Tasks, w.view(i, t))
	}
	d := k.control.Decide(v)
	k.share = float64(d.ShareMilli) / colocation.FullShare
	if w.second >= warmUp && k.share < 1 && len(k.running) > 0 {
		w.result.Throttled++
	}
	running := slices.Clone(k.running)
	for _, i := range d.Evict {
		w.stop(k, running[i], &w.result.Evictions)
	}
}

// answers in the control's window; a service without clients gives none.
func (w *world) answers(k *worker) int64 {
	if w.out(k) {
		return 0
	}
	return answersInWindow
}

// view is a task as the agent sees it: without a checkpoint nothing is saved.
func (w *world) view(i int, t *task) TaskView {
	ran := time.Duration(w.second-t.started) * time.Second
	v := TaskView{Index: i, JobID: t.ref.JobID, JobClass: t.class.name, Ran: ran, Unsaved: ran, CPUMilli: t.reserved.CPUMilli}
	if t.class.checkpoints {
		v.Unsaved = 0
	}
	return v
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// throttleExactly sets the highest share at which the service keeps its target.
func (w *world) throttleExactly(k *worker) {
	if !w.exact {
		return
	}
	low, high := 0.0, 1.0
	if interference.Slowdown(k.host(), uses(k.running, 1)) <= targetSlowdown {
		low = 1
	}
	for range 20 {
		middle := (low + high) / 2
		if interference.Slowdown(k.host(), uses(k.running, middle)) <= targetSlowdown {
			low = middle
		} else {
			high = middle
		}
	}
	k.share = low
}

// useful returns the work in core seconds that is done and kept.
func (w *world) useful() float64 {
	sum := 0.0
	for _, t := range w.tasks {
		sum += t.done * t.cores()
	}
	return sum
}
