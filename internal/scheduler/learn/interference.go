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
	// idleShare of the processors is too little batch work to slow a service.
	idleShare = 0.02
	// settleTime is how long the work on a worker must have been the same before
	// its latency is learned from: the latency window and the report lag.
	settleTime = 4 * time.Second
	// aloneStep and effectStep are how far one measurement moves an estimate.
	aloneStep  = 0.1
	effectStep = 0.25
	// lowestRise lets the lowest latency seen grow slowly, where a service was
	// never seen alone.
	lowestRise = 1.002
	// publishChange is the relative change that is worth a record.
	publishChange = 0.15
	maxExcess     = 50.0
)

// Band returns the load band of a service, 0 for the lowest, from the share of
// its slots in use in thousandths.
func Band(loadMilli uint32) uint32 { return min(loadMilli*Bands/milli, Bands-1) }

// Use is what one class holds of a worker's processors, after throttling.
type Use struct {
	Class    string
	CPUMilli int64
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

type pair struct {
	service string
	class   string
	band    uint32
}

type base struct {
	service string
	band    uint32
}

type alone struct {
	p99    float64 // microseconds without batch work; 0 if never seen
	lowest float64
}

type effect struct {
	excess    float64
	samples   uint32
	published float64
	saved     bool
}

type composition struct {
	uses  []Use
	since time.Duration
}

// Learner learns interference of one shard. It is safe for concurrent use; one
// lock guards it. What it publishes as records survives it, the rest is learned
// anew.
type Learner struct {
	mu      sync.Mutex
	alone   map[base]*alone
	effects map[pair]*effect
	workers map[string]*composition
}

// New returns a learner that starts from what the ledger has.
func New(known []*pb.InterferenceLearned) *Learner {
	l := &Learner{alone: map[base]*alone{}, effects: map[pair]*effect{}, workers: map[string]*composition{}}
	for _, k := range known {
		excess := float64(k.SlowdownMilli)/milli - 1
		l.effects[pair{k.Service, k.JobClass, k.LoadBand}] = &effect{
			excess: excess, samples: k.Samples, published: excess, saved: true,
		}
	}
	return l
}

// Observe takes a measurement in and returns the service's slowdown, its latency
// over its latency alone; 0 if that is not known.
func (l *Learner) Observe(s Sample) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Uses = merged(s.Uses)
	settled := l.settled(s)
	if s.Service == "" || s.P99 <= 0 || s.CapacityMilli <= 0 {
		return 0
	}
	band := Band(s.LoadMilli)
	b := l.alone[base{s.Service, band}]
	if b == nil {
		b = &alone{}
		l.alone[base{s.Service, band}] = b
	}
	p99 := float64(s.P99.Microseconds())
	if settled {
		l.learn(s, b, band, p99)
	}
	if b.reference() == 0 {
		return 0
	}
	return p99 / b.reference()
}

func (l *Learner) learn(s Sample, b *alone, band uint32, p99 float64) {
	b.lowest = min(p99, max(b.lowest, 1)*lowestRise)
	if b.lowest <= lowestRise {
		b.lowest = p99
	}
	if s.share() < idleShare {
		b.see(p99)
		return
	}
	l.attribute(s, band, p99/b.reference()-1)
}

func (b *alone) see(p99 float64) {
	if b.p99 == 0 {
		b.p99 = p99
		return
	}
	b.p99 += aloneStep * (p99 - b.p99)
}

func (b *alone) reference() float64 {
	if b.p99 > 0 {
		return b.p99
	}
	return b.lowest
}

func (s Sample) share() float64 {
	var sum int64
	for _, u := range s.Uses {
		sum += u.CPUMilli
	}
	return float64(sum) / float64(s.CapacityMilli)
}

// attribute corrects the effects of the classes on the worker in proportion to
// what each holds (normalised least mean squares).
func (l *Learner) attribute(s Sample, band uint32, excess float64) {
	predicted, norm := 0.0, 0.0
	effects := make([]*effect, len(s.Uses))
	for i, u := range s.Uses {
		effects[i] = l.effect(pair{s.Service, u.Class, band})
		share := float64(u.CPUMilli) / float64(s.CapacityMilli)
		predicted += effects[i].excess * share
		norm += share * share
	}
	for i, u := range s.Uses {
		e := effects[i]
		share := float64(u.CPUMilli) / float64(s.CapacityMilli)
		if share < idleShare {
			continue
		}
		e.excess += effectStep * (excess - predicted) * share / norm
		e.excess = min(max(e.excess, 0), maxExcess)
		e.samples++
	}
}

func (l *Learner) effect(p pair) *effect {
	e := l.effects[p]
	if e == nil {
		e = &effect{}
		l.effects[p] = e
	}
	return e
}

// settled reports whether the worker has run the same work for long enough.
func (l *Learner) settled(s Sample) bool {
	c := l.workers[s.Worker]
	if c == nil || !slices.Equal(c.uses, s.Uses) {
		l.workers[s.Worker] = &composition{uses: s.Uses, since: s.At}
		return false
	}
	return s.At-c.since >= settleTime
}

// merged adds up the uses of each class, in order of class.
func merged(uses []Use) []Use {
	sorted := slices.Clone(uses)
	slices.SortFunc(sorted, func(a, b Use) int { return cmp.Compare(a.Class, b.Class) })
	var out []Use
	for _, u := range sorted {
		if n := len(out); n > 0 && out[n-1].Class == u.Class {
			out[n-1].CPUMilli += u.CPUMilli
			continue
		}
		out = append(out, u)
	}
	return out
}

// Forget drops a worker that is gone.
func (l *Learner) Forget(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.workers, worker)
}

// Table is what was learned at one moment. It is read-only.
type Table struct {
	effects map[pair]model.Effect
}

// Table returns a copy of what is known now.
func (l *Learner) Table() *Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &Table{effects: make(map[pair]model.Effect, len(l.effects))}
	for p, e := range l.effects {
		t.effects[p] = model.Effect{Excess: e.excess, Samples: e.samples}
	}
	return t
}

// Effect implements model.Effects. A band without measurements takes the effect
// of the next higher one that has some, since a lower load suffers less. Else it
// takes that of the next lower one as a first guess, with no samples, so that it
// is still probed with care.
func (t *Table) Effect(service, class string, band uint32) model.Effect {
	if e := t.effects[pair{service, class, band}]; e.Samples > 0 {
		return e
	}
	for b := band + 1; b < Bands; b++ {
		if e := t.effects[pair{service, class, b}]; e.Samples > 0 {
			return e
		}
	}
	for b := int(band) - 1; b >= 0; b-- {
		if e := t.effects[pair{service, class, uint32(b)}]; e.Samples > 0 {
			return model.Effect{Excess: e.Excess}
		}
	}
	return model.Effect{}
}

// Publish returns the effects that changed enough to be worth a record, and
// takes them as published.
func (l *Learner) Publish(atLeast uint32) []*pb.InterferenceLearned {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*pb.InterferenceLearned
	for p, e := range l.effects {
		if e.samples < atLeast || e.saved && math.Abs(e.excess-e.published) <= publishChange*(1+e.published) {
			continue
		}
		e.published, e.saved = e.excess, true
		out = append(out, &pb.InterferenceLearned{
			Service: p.service, JobClass: p.class, LoadBand: p.band,
			SlowdownMilli: uint32(math.Round((1 + e.excess) * milli)), Samples: e.samples,
		})
	}
	slices.SortFunc(out, compareLearned)
	return out
}

func compareLearned(a, b *pb.InterferenceLearned) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.JobClass, b.JobClass), cmp.Compare(a.LoadBand, b.LoadBand))
}
