package learn

import (
	"math"

	pb "chervilridge/api/chervil/v1"
)

// service is what is known of one service: the logarithm of its 99th percentile
// as a sum of a curve over its load and, for each class, the share of processors
// that the class holds times an effect that may grow with the load.
type service struct {
	fit     regression
	level   int
	load    int
	square  int
	samples int
	effects map[string]*effect
}

// effect is one class beside the service.
type effect struct {
	level     int // position of its coefficients
	slope     int
	samples   uint32
	published [Bands]float64
	saved     [Bands]bool
}

func newService() *service {
	s := &service{effects: map[string]*effect{}}
	s.level = s.fit.add(0, levelVariance)
	s.load = s.fit.add(0, loadVariance)
	s.square = s.fit.add(0, loadVariance)
	return s
}

func (s *service) effect(class string) *effect {
	e := s.effects[class]
	if e == nil {
		e = &effect{level: s.fit.add(0, effectVariance), slope: s.fit.add(0, slopeVariance)}
		s.effects[class] = e
	}
	return e
}

// seed takes what the ledger has; bands come in order.
func (s *service) seed(k *pb.InterferenceLearned) {
	if k.LoadBand >= Bands {
		return
	}
	excess := math.Log(max(float64(k.SlowdownMilli), milli) / milli)
	e := s.effects[k.JobClass]
	if e == nil {
		e = &effect{level: s.fit.add(excess, knownVariance), slope: s.fit.add(0, slopeVariance)}
		s.effects[k.JobClass] = e
	}
	e.samples = max(e.samples, k.Samples)
	e.published[k.LoadBand], e.saved[k.LoadBand] = excess, true
	s.fitSeed(e)
}

// fitSeed puts a straight line through the first and the last band published.
func (s *service) fitSeed(e *effect) {
	first, last := -1, -1
	for band := range Bands {
		if !e.saved[band] {
			continue
		}
		if first < 0 {
			first = band
		}
		last = band
	}
	if first == last {
		return
	}
	low, high := centre(uint32(first)), centre(uint32(last))
	slope := (e.published[last] - e.published[first]) / (high - low)
	s.fit.mean[e.slope] = slope
	s.fit.mean[e.level] = e.published[first] - slope*low
}

// excess returns the growth of the latency's logarithm beside the class when
// that holds every processor.
func (s *service) excess(e *effect, load float64) float64 {
	return min(max(s.fit.mean[e.level]+s.fit.mean[e.slope]*load, 0), maxExcess)
}

// alone are the terms of the service without batch work.
func (s *service) alone(load float64) []term {
	return []term{{s.level, 1, 1}, {s.load, load, load}, {s.square, load * load, load * load}}
}

func (s *service) learn(w *window, measured float64) {
	for _, h := range w.shares {
		s.effect(h.class).samples++
	}
	s.fit.update(append(s.alone(w.load), s.work(w)...), measured)
	s.samples++
}

// work are the terms of the batch work beside the service, as far as it is known.
// The agent's control lowers the share that work may use when the latency happens
// to be high; the work itself does not depend on that, so it is the instrument.
func (s *service) work(w *window) []term {
	var terms []term
	for _, h := range w.shares {
		if e := s.effects[h.class]; e != nil {
			part := h.part * w.throttle
			terms = append(terms, term{e.level, part, h.part}, term{e.slope, part * w.load, h.part * w.load})
		}
	}
	return terms
}

// slowdown returns the service's latency over its latency alone; 1 before any is
// learned. Single measurements are noisy, so what the model does not explain of
// them is smoothed.
func (s *service) slowdown(w *window, measured float64) float64 {
	if s.samples == 0 {
		return 1
	}
	excess := s.fit.predict(s.work(w))
	left := measured - s.fit.predict(s.alone(w.load)) - excess
	w.residual += residualWeight * (left - w.residual)
	return math.Exp(excess + w.residual)
}

func (s *service) publish(name, class string, e *effect, atLeast uint32) []*pb.InterferenceLearned {
	var out []*pb.InterferenceLearned
	for band := range uint32(Bands) {
		excess := s.excess(e, centre(band))
		if e.samples < atLeast || e.saved[band] && math.Abs(excess-e.published[band]) <= publishChange {
			continue
		}
		e.published[band], e.saved[band] = excess, true
		out = append(out, &pb.InterferenceLearned{
			Service: name, JobClass: class, LoadBand: band,
			SlowdownMilli: uint32(math.Round(math.Exp(excess) * milli)), Samples: e.samples,
		})
	}
	return out
}
