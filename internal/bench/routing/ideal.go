package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// IdealName is the baseline's name in the report.
const IdealName = "ideal queue"

// ideal is one queue in order of arrival over all slots. It knows at once which
// slots are free, how slow they are and what is dead, and gives the next request
// to the fastest free slot, the near one among equals. Work lost with a dead
// endpoint goes back to the head of the queue. It refuses nothing.
type ideal struct {
	fleet   *fleet
	busy    []int
	queue   []*idealRequest
	running [][]*idealRequest
	figures *Figures
}

type idealRequest struct {
	sent    time.Time
	entry   int
	work    time.Duration
	counted bool
	tries   int // starts; an older start's end is void
}

// SimulateIdeal runs the baseline in one case.
func SimulateIdeal(d Deployment, c Case, o Options) *Figures {
	f := newFleet(d)
	s := &ideal{fleet: f, busy: make([]int, runners), running: make([][]*idealRequest, runners), figures: newFigures(IdealName)}
	f.onCentre = s.dispatch
	if c.Disturb != nil {
		c.Disturb(f, rand.New(rand.NewPCG(o.Seed, 200)))
	}
	f.feed(arrivals(c, rand.New(rand.NewPCG(o.Seed, 300))), s.arrive)
	f.clock.at(f.begin.Add(disturbBegin), s.takeBack)
	f.clock.runAll()
	return s.figures
}

func (s *ideal) arrive(a arrival) {
	s.queue = append(s.queue, &idealRequest{
		sent: s.fleet.begin.Add(a.at), entry: a.entry, work: a.work, counted: a.at >= warmUp,
	})
	s.dispatch()
}

func (s *ideal) dispatch() {
	for len(s.queue) > 0 {
		i := s.best(s.queue[0])
		if i < 0 {
			return
		}
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.start(r, i)
	}
}

// best returns the endpoint with a free slot that would answer first, or -1.
func (s *ideal) best(r *idealRequest) int {
	best, soonest := -1, time.Duration(0)
	for i, p := range s.fleet.endpoints {
		if s.busy[i] >= slotsEach || p.health != alive || s.fleet.out[p.info.DataCentre] {
			continue
		}
		if t := s.work(r, i) + s.way(r, i); best < 0 || t < soonest {
			best, soonest = i, t
		}
	}
	return best
}

func (s *ideal) work(r *idealRequest, i int) time.Duration {
	return time.Duration(float64(r.work) * s.fleet.endpoints[i].slowdown)
}

// way is the delay between data centres, there and back.
func (s *ideal) way(r *idealRequest, i int) time.Duration {
	if s.fleet.endpoints[i].info.DataCentre == s.fleet.centreOf(r.entry) {
		return 0
	}
	return 2 * s.fleet.deployment.Hop
}

// start holds the slot for the work only: the queue knows ahead which slot
// comes free, and the request is already there.
func (s *ideal) start(r *idealRequest, i int) {
	s.busy[i]++
	s.running[i] = append(s.running[i], r)
	r.tries++
	try := r.tries
	s.fleet.clock.after(s.work(r, i), func() {
		if s.fleet.endpoints[i].health != alive || r.tries != try {
			return
		}
		s.running[i] = slices.DeleteFunc(s.running[i], func(x *idealRequest) bool { return x == r })
		s.busy[i]--
		if r.counted {
			s.figures.record(s.fleet.clock.now.Add(s.way(r, i)+s.fleet.deployment.Client).Sub(r.sent), true)
		}
		s.dispatch()
	})
}

// takeBack puts the work of dead endpoints at the head of the queue.
func (s *ideal) takeBack() {
	for i, p := range s.fleet.endpoints {
		if p.health == alive {
			continue
		}
		s.queue = append(s.running[i], s.queue...)
		s.running[i], s.busy[i] = nil, 0
	}
	s.dispatch()
}
