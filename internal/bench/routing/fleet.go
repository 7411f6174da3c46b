package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/membership"
	"chervilridge/internal/request/pick"
)

const service = "bench"

// fleet is the modelled endpoints and the data centres that are out.
type fleet struct {
	clock      *clock
	deployment Deployment
	begin      time.Time
	end        time.Time // of the arrivals
	endpoints  []*endpoint
	out        map[string]bool
	onCentre   func()
}

func newFleet(d Deployment, of Case) *fleet {
	c := newClock()
	f := &fleet{clock: c, deployment: d, begin: c.now, end: c.now.Add(of.Length), out: map[string]bool{}}
	for i := range runners {
		f.endpoints = append(f.endpoints, newEndpoint(c, of.Work, &pb.Endpoint{
			Agent: fmt.Sprintf("agent-%02d", i), Incarnation: "1", Service: service,
			DataCentre: d.Centres[i%len(d.Centres)], Slots: slotsEach,
		}))
	}
	return f
}

// feed runs arrive for each arrival when it reaches its entry. It enters one
// event at a time, which keeps the heap small.
func (f *fleet) feed(list []arrival, arrive func(arrival)) {
	if len(list) == 0 {
		return
	}
	f.clock.at(f.begin.Add(list[0].at+f.deployment.Client), func() {
		f.feed(list[1:], arrive)
		arrive(list[0])
	})
}

// DataCentreOut implements pick.DataCentres.
func (f *fleet) DataCentreOut(name string) bool { return f.out[name] }

func (f *fleet) setOut(name string, out bool) {
	f.out[name] = out
	if f.onCentre != nil {
		f.onCentre()
	}
}

// slowCentre multiplies the work of a data centre's endpoints.
func (f *fleet) slowCentre(name string, factor float64) {
	for _, p := range f.endpoints {
		if p.info.DataCentre == name {
			p.slowdown = factor
		}
	}
}

// centreOf returns where an entry stands.
func (f *fleet) centreOf(entry int) string {
	return f.deployment.Centres[entry%len(f.deployment.Centres)]
}

// entry is one entry's members and its real pick stage.
type entry struct {
	fleet      *fleet
	dataCentre string
	members    []*membership.Member
	live       []*membership.Member
	leaseEnd   []time.Time
	filter     *pick.Filter
	tokens     float64
}

func newEntry(f *fleet, index int, o Options, policy string) *entry {
	e := &entry{fleet: f, dataCentre: f.centreOf(index), tokens: retryBurst}
	for _, p := range f.endpoints {
		e.members = append(e.members, membership.NewMember(p.info, f.begin))
		e.leaseEnd = append(e.leaseEnd, f.begin.Add(lease))
	}
	e.live = e.members
	distance := pick.Distance{DataCentre: e.dataCentre, OneWayDelay: f.deployment.Hop}
	rng := rand.New(rand.NewPCG(o.Seed, uint64(index)))
	e.filter = pick.New(nil, e, f, pick.Options{
		Policy: pick.NewPolicy(policy, rng, distance), Distance: distance, Now: f.clock.Now,
	})
	return e
}

// Members implements pick.Members.
func (e *entry) Members(string) []*membership.Member { return e.live }

// way is the one-way delay to an endpoint.
func (e *entry) way(p *endpoint) time.Duration {
	if p.info.DataCentre == e.dataCentre {
		return 0
	}
	return e.fleet.deployment.Hop
}

// heartbeats runs the load reports and the leases until the end of the run.
func (e *entry) heartbeats(rng *rand.Rand) {
	for i := range e.members {
		first := time.Duration(rng.Int64N(int64(reportEvery)))
		e.fleet.clock.after(first, func() { e.heartbeat(i) })
	}
	e.sweep()
}

func (e *entry) heartbeat(i int) {
	p := e.fleet.endpoints[i]
	now := e.fleet.clock.now
	if p.health != alive || now.After(e.fleet.end) {
		return
	}
	running, queued := int64(len(p.running)), int64(len(p.queue))
	e.fleet.clock.after(e.way(p), func() {
		e.leaseEnd[i] = e.fleet.clock.now.Add(lease)
		e.members[i].RecordLoad(running, queued, 0, e.fleet.clock.now)
	})
	e.fleet.clock.after(reportEvery, func() { e.heartbeat(i) })
}

func (e *entry) sweep() {
	now := e.fleet.clock.now
	var live []*membership.Member
	for i, m := range e.members {
		if !e.leaseEnd[i].Before(now) {
			live = append(live, m)
		}
	}
	e.live = live
	if now.Before(e.fleet.end) {
		e.fleet.clock.after(sweepEvery, e.sweep)
	}
}
