package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// IdealName is the baseline's name in the report.
const IdealName = "ideal queue"

// idealQueue is the baseline: one first-in first-out queue for all slots. It knows without
// delay which slots are free, how slow they are and which endpoints are dead, and gives
// the next request to the free slot that would answer first, data centre delay included.
// Requests on a dead endpoint return to the head of the queue. None is rejected.
type idealQueue struct {
	fleet     *fleet
	busySlots []int
	queue     []*idealRequest
	running   [][]*idealRequest
	stats     *Stats
}

type idealRequest struct {
	sent    time.Time
	entry   int
	work    time.Duration
	counted bool
	starts  int // number of starts; the end of an earlier start is ignored
}

// SimulateIdeal runs the ideal queue in one case and returns its results.
func SimulateIdeal(d Deployment, c Case, o Options) *Stats {
	f := newFleet(d, c)
	s := &idealQueue{fleet: f, busySlots: make([]int, endpointCount), running: make([][]*idealRequest, endpointCount), stats: newStats(IdealName)}
	f.onDataCentreChange = s.dispatch
	if c.Disturb != nil {
		c.Disturb(f, rand.New(rand.NewPCG(o.Seed, 200)))
	}
	f.scheduleArrivals(arrivals(c, rand.New(rand.NewPCG(o.Seed, 300))), func(a arrival) { s.arrive(a, c.pastWarmUp(a.at)) })
	f.clock.at(f.start.Add(disturbanceStart), s.requeueLost)
	f.clock.runAll()
	return s.stats
}

func (s *idealQueue) arrive(a arrival, counted bool) {
	s.queue = append(s.queue, &idealRequest{
		sent: s.fleet.start.Add(a.at), entry: a.entry, work: a.work, counted: counted,
	})
	s.dispatch()
}

// dispatch starts queued requests while there are free slots.
func (s *idealQueue) dispatch() {
	for len(s.queue) > 0 {
		i := s.fastestFree(s.queue[0])
		if i < 0 {
			return
		}
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.startOn(r, i)
	}
}

// fastestFree returns the endpoint with a free slot that would answer first, or -1.
func (s *idealQueue) fastestFree(r *idealRequest) int {
	best, soonest := -1, time.Duration(0)
	for i, p := range s.fleet.endpoints {
		if s.busySlots[i] >= slotsPerEndpoint || p.health != alive || s.fleet.outDataCentres[p.info.DataCentre] {
			continue
		}
		if t := s.serviceTime(r, i) + s.roundTrip(r, i); best < 0 || t < soonest {
			best, soonest = i, t
		}
	}
	return best
}

// serviceTime returns how long the endpoint takes for the request.
func (s *idealQueue) serviceTime(r *idealRequest, i int) time.Duration {
	return time.Duration(float64(r.work) * s.fleet.endpoints[i].slowdown)
}

// roundTrip returns the delay to the endpoint and back; 0 within a data centre.
func (s *idealQueue) roundTrip(r *idealRequest, i int) time.Duration {
	if s.fleet.endpoints[i].info.DataCentre == s.fleet.dataCentreOf(r.entry) {
		return 0
	}
	return 2 * s.fleet.deployment.DataCentreDelay
}

// startOn starts the request on an endpoint. The slot is busy for the service time only,
// not for the transfer: the ideal queue knows in advance which slot becomes free, and has
// already sent the request there.
func (s *idealQueue) startOn(r *idealRequest, i int) {
	s.busySlots[i]++
	s.running[i] = append(s.running[i], r)
	r.starts++
	try := r.starts
	s.fleet.clock.after(s.serviceTime(r, i), func() {
		if s.fleet.endpoints[i].health != alive || r.starts != try {
			return
		}
		s.running[i] = slices.DeleteFunc(s.running[i], func(x *idealRequest) bool { return x == r })
		s.busySlots[i]--
		if r.counted {
			s.stats.record(s.fleet.clock.now.Add(s.roundTrip(r, i)+s.fleet.deployment.ClientDelay).Sub(r.sent), true)
		}
		s.dispatch()
	})
}

// requeueLost returns the requests on dead endpoints to the head of the queue.
func (s *idealQueue) requeueLost() {
	for i, p := range s.fleet.endpoints {
		if p.health == alive {
			continue
		}
		s.queue = append(s.running[i], s.queue...)
		s.running[i], s.busySlots[i] = nil, 0
	}
	s.dispatch()
}
