package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chervilridge/internal/standin/interference"
)

// Targets of the issue.
const (
	targetSlowdown   = 1.2
	targetThroughput = 0.85
	targetCentre     = 0.90
)

const (
	requestsPerSecond = 10
	// tailSigma makes the 99th percentile tailFactor times the median.
	tailSigma     = 0.4723
	highestMicros = 60_000_000
	digits        = 3
	percentile    = 99
	microsPerMs   = 1000
)

// Result is what one policy did in one run.
type Result struct {
	Policy     string
	Deployment string
	Seed       uint64
	// Work in core seconds done and kept after the warm-up, and in the window in
	// which a data centre leaves and returns.
	Work       float64
	CentreWork float64
	Finished   int
	Evictions  int
	Drained    int
	Killed     int
	LostWork   float64
	// Throttled counts seconds of workers with batch work throttled.
	Throttled int

	verdicts              []string
	beside, alone         *hdrhistogram.Histogram
	waveBeside, waveAlone *hdrhistogram.Histogram
}

func newResult() *Result {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, digits) }
	return &Result{beside: h(), alone: h(), waveBeside: h(), waveAlone: h()}
}

// addLatency draws a second's requests of a worker's service. The draw depends on
// worker and second only, so that all policies serve the same requests.
func (r *Result) addLatency(second int, k *worker) {
	rng := rand.New(rand.NewPCG(uint64(second), uint64(k.index)))
	for range requestsPerSecond {
		alone := k.service.MedianMs * interference.Alone(k.load) * math.Exp(tailSigma*rng.NormFloat64()) * microsPerMs
		_ = r.alone.RecordValue(int64(alone))
		_ = r.beside.RecordValue(int64(alone * k.slowdown))
		if waveAt(second) {
			_ = r.waveAlone.RecordValue(int64(alone))
			_ = r.waveBeside.RecordValue(int64(alone * k.slowdown))
		}
	}
}

// Slowdown returns p99 beside batch over p99 alone, in all and in noisy waves.
func (r *Result) Slowdown() (all, wave float64) {
	ratio := func(a, b *hdrhistogram.Histogram) float64 {
		return float64(a.ValueAtPercentile(percentile)) / float64(b.ValueAtPercentile(percentile))
	}
	return ratio(r.beside, r.alone), ratio(r.waveBeside, r.waveAlone)
}

// contender is one policy with its co-location control.
type contender struct {
	name    string
	make    func(seed uint64) policy
	control func() Controller
	exact   bool
	// target of the service that the control keeps; nil without control.
	target func(Deployment, serviceLoad) targetRule
}

func contenders() []contender {
	agent := func() Controller { return newAgentControl() }
	none := func() Controller { return noControl{} }
	base := func(c choice) func(uint64) policy {
		return func(seed uint64) policy { return &baseline{choose: c, rng: rand.New(rand.NewPCG(seed, 7))} }
	}
	plan := func(sizes, effects bool) func(uint64) policy {
		return func(uint64) policy { return newPlanned(sizes, effects) }
	}
	return []contender{
		{name: best, make: func(uint64) policy { return oracle{} }, control: none, exact: true},
		{name: own, make: plan(true, true), control: agent, target: aloneTarget},
		{name: "no co-location control", make: plan(true, true), control: none},
		{name: "target for usual load", make: plan(true, true), control: agent, target: usualTarget},
		{name: "target for highest load", make: plan(true, true), control: agent, target: highestTarget},
		{name: "target by load", make: plan(true, true), control: agent, target: presentTarget},
		{name: "no learned interference", make: plan(true, false), control: agent, target: aloneTarget},
		{name: "no learned sizes", make: plan(false, true), control: agent, target: aloneTarget},
		{name: "first fit", make: base(firstFit), control: agent, target: aloneTarget},
		{name: "least allocated", make: base(leastAllocated), control: agent, target: aloneTarget},
		{name: "least allocated, free", make: base(leastAllocated), control: none},
		{name: "random", make: base(randomFit), control: agent, target: aloneTarget},
	}
}

// parallel bounds how many runs go on at once.
const parallel = 4

// Run runs every policy on one deployment with the same load and tasks.
func Run(d Deployment, seed uint64, only string) []*Result {
	all := slices.DeleteFunc(contenders(), func(c contender) bool {
		return only != "" && c.name != only && c.name != best
	})
	out := make([]*Result, len(all))
	slots := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i, c := range all {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			out[i] = runOne(d, seed, c)
		})
	}
	wg.Wait()
	return out
}

func runOne(d Deployment, seed uint64, c contender) *Result {
	rng := rand.New(rand.NewPCG(seed, 1))
	load := newServiceLoad(rng)
	cores := float64(d.Capacity.CPUMilli) / milliPerCore * workers
	w := newWorld(d, load, newArrivals(rng, cores, taskClasses()), seed, c.control)
	w.exact = c.exact
	if c.target != nil {
		w.target = c.target(d, load)
	}
	p := c.make(seed)
	w.onFinish = p.finished
	for second := range horizon {
		w.advance(second)
		p.place(w)
		w.mark(second)
	}
	w.result.Policy, w.result.Deployment, w.result.Seed = c.name, d.Name, seed
	w.result.Work += w.useful()
	for _, t := range w.tasks {
		if t.finished {
			w.result.Finished++
		}
	}
	return w.result
}

// mark takes the work done so far at the borders of the measured windows.
func (w *world) mark(second int) {
	switch second {
	case warmUp:
		w.result.Work -= w.useful()
	case centreOutAt:
		w.result.CentreWork -= w.useful()
	case centreDone:
		w.result.CentreWork += w.useful()
	}
}
