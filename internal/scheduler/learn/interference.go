// Package learn learns from heartbeats how much each job class slows a service.
package learn

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/scheduler/placement/model"
)

// Bands is the number of load bands of a service.
const Bands = 4

const (
	milli = 1000
	// latencyWindow is the time constant that comes closest to the agent's window
	// of ten seconds over a service's latency.
	latencyWindow = 4 * time.Second
	// firstWindows are needed before a worker's latency is learned from.
	firstWindows = 2
	// residualWeight smooths the noise of single measurements.
	residualWeight = 0.2
	// leastShare of the processors is too little to be worth a term.
	leastShare = 0.001
	// publishChange is the change of an effect that is worth a record.
	publishChange = 0.15
	maxExcess     = 5.0
)

// Variances of the coefficients before any evidence.
const (
	levelVariance  = 100.0
	loadVariance   = 1.0
	effectVariance = 1.0
	slopeVariance  = 0.25 // of an effect over the load
	// knownVariance is that of an effect that the ledger has.
	knownVariance = 0.05
)

// Band returns the load band of a service, 0 for the lowest, from the share of
// its slots in use in thousandths.
func Band(loadMilli uint32) uint32 { return min(loadMilli*Bands/milli, Bands-1) }

// centre returns the load in the middle of a band, 0 to 1.
func centre(band uint32) float64 { return (float64(band) + 0.5) / Bands }

// Use is what one task holds of a worker's processors.
type Use struct {
	Class string
	// CPUMilli is reserved for it, and Share the part of that which it may use
	// now, 0 to 1.
	CPUMilli int64
	Share    float64
}

// Sample is one heartbeat's measurement.
type Sample struct {
	Worker    string
	Service   string
	P99       time.Duration
	LoadMilli uint32
	// CapacityMilli is the worker's processors.
	CapacityMilli int64
	Uses          []Use
	// At is the owner's monotonic time of the measurement.
	At time.Duration
}

// Reading is what a measurement says of the service.
type Reading struct {
	// Slowdown is its latency over its latency alone; 0 if it was not measured.
	Slowdown float64
	// Band of its load.
	Band uint32
}

// Learner learns interference of one shard. It is safe for concurrent use; one
// lock guards it. What it publishes as records survives it, the rest is learned
// anew.
type Learner struct {
	mu       sync.Mutex
	services map[string]*service
	workers  map[string]*window
}

// New returns a learner that starts from what the ledger has.
func New(known []*pb.InterferenceLearned) *Learner {
	l := &Learner{services: map[string]*service{}, workers: map[string]*window{}}
	for _, k := range known {
		l.service(k.Service).seed(k)
	}
	return l
}

func (l *Learner) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = newService()
		l.services[name] = s
	}
	return s
}

// Observe takes a measurement in and returns what it says of the service.
func (l *Learner) Observe(s Sample) Reading {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.worker(s)
	out := Reading{Band: Band(uint32(w.load * milli))}
	if s.Service == "" || s.P99 <= 0 || s.CapacityMilli <= 0 {
		return out
	}
	service := l.service(s.Service)
	measured := math.Log(float64(s.P99.Microseconds()))
	if s.At-w.first >= firstWindows*latencyWindow {
		service.learn(w, measured)
	}
	out.Slowdown = service.slowdown(w, measured)
	return out
}

// window is the work on a worker and the load of its service, averaged over about
// the time that the latency is. To learn only while both are steady would not do:
// under control they are steady only where the service is quick.
type window struct {
	first  time.Duration
	at     time.Duration
	load   float64 // 0 to 1
	shares []share // by class
	// throttle is the share that the work may use.
	throttle float64
	// residual is what the model leaves unexplained here, smoothed.
	residual float64
}

// share is the part of the worker's processors that a class holds.
type share struct {
	class string
	part  float64
}

// worker takes a sample into the worker's window.
func (l *Learner) worker(s Sample) *window {
	load := float64(s.LoadMilli) / milli
	w := l.workers[s.Worker]
	if w == nil {
		w = &window{first: s.At, at: s.At, load: load, throttle: 1}
		l.workers[s.Worker] = w
	}
	since := (s.At - w.at).Seconds()
	weight := 1 - math.Exp(-since/latencyWindow.Seconds())
	w.at = s.At
	w.throttle += weight * (s.throttle() - w.throttle)
	w.load += weight * (load - w.load)
	for i := range w.shares {
		w.shares[i].part *= 1 - weight
	}
	for _, u := range s.Uses {
		w.add(u.Class, weight*float64(u.CPUMilli)/float64(max(s.CapacityMilli, 1)))
	}
	w.shares = slices.DeleteFunc(w.shares, func(h share) bool { return h.part < leastShare })
	return w
}

// throttle returns the part of its processors that batch work may use.
func (s Sample) throttle() float64 {
	reserved, usable := 0.0, 0.0
	for _, u := range s.Uses {
		reserved += float64(u.CPUMilli)
		usable += float64(u.CPUMilli) * u.Share
	}
	if reserved == 0 {
		return 1
	}
	return usable / reserved
}

func (w *window) add(class string, part float64) {
	i, found := slices.BinarySearchFunc(w.shares, class, func(h share, class string) int { return cmp.Compare(h.class, class) })
	if !found {
		w.shares = slices.Insert(w.shares, i, share{class: class})
	}
	w.shares[i].part += part
}

type pair struct {
	service string
	class   string
	band    uint32
}

// Table is what was learned at one moment. It is read-only.
type Table struct {
	effects map[pair]model.Effect
}

// Effect implements model.Effects.
func (t *Table) Effect(service, class string, band uint32) model.Effect {
	return t.effects[pair{service, class, band}]
}

// Table returns a copy of what is known now.
func (l *Learner) Table() *Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &Table{effects: map[pair]model.Effect{}}
	for name, s := range l.services {
		for class, e := range s.effects {
			for band := range uint32(Bands) {
				t.effects[pair{name, class, band}] = model.Effect{Excess: s.excess(e, centre(band)), Samples: e.samples}
			}
		}
	}
	return t
}

// Publish returns the effects that changed enough to be worth a record, and
// takes them as published.
func (l *Learner) Publish(atLeast uint32) []*pb.InterferenceLearned {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*pb.InterferenceLearned
	for name, s := range l.services {
		for class, e := range s.effects {
			out = append(out, s.publish(name, class, e, atLeast)...)
		}
	}
	slices.SortFunc(out, func(a, b *pb.InterferenceLearned) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.JobClass, b.JobClass), cmp.Compare(a.LoadBand, b.LoadBand))
	})
	return out
}
