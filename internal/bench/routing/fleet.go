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

// fleet holds the modelled endpoints and the data centres that are out of service.
type fleet struct {
	clock              *clock
	deployment         Deployment
	start              time.Time
	arrivalsEnd        time.Time
	endpoints          []*endpoint
	outDataCentres     map[string]bool
	onDataCentreChange func() // called after a data centre went out or back; may be nil
}

func newFleet(d Deployment, c Case) *fleet {
	clk := newClock()
	f := &fleet{clock: clk, deployment: d, start: clk.now, arrivalsEnd: clk.now.Add(c.Duration), outDataCentres: map[string]bool{}}
	for i := range endpointCount {
		f.endpoints = append(f.endpoints, newEndpoint(clk, c.MeanServiceTime, &pb.Endpoint{
			Agent: fmt.Sprintf("agent-%02d", i), Incarnation: "1", Service: service,
			DataCentre: d.DataCentres[i%len(d.DataCentres)], Slots: slotsPerEndpoint,
		}))
	}
	return f
}

// scheduleArrivals calls arrive for each arrival when it reaches its entry. Only the next
// arrival is in the event heap, which keeps the heap small.
func (f *fleet) scheduleArrivals(list []arrival, arrive func(arrival)) {
	if len(list) == 0 {
		return
	}
	f.clock.at(f.start.Add(list[0].at+f.deployment.ClientDelay), func() {
		f.scheduleArrivals(list[1:], arrive)
		arrive(list[0])
	})
}

// DataCentreOut implements pick.DataCentres.
func (f *fleet) DataCentreOut(name string) bool { return f.outDataCentres[name] }

func (f *fleet) setDataCentreOut(name string, out bool) {
	f.outDataCentres[name] = out
	if f.onDataCentreChange != nil {
		f.onDataCentreChange()
	}
}

// slowDataCentre sets the factor by which the endpoints of a data centre are slower.
func (f *fleet) slowDataCentre(name string, factor float64) {
	for _, p := range f.endpoints {
		if p.info.DataCentre == name {
			p.slowdown = factor
		}
	}
}

// dataCentreOf returns the data centre of an entry.
func (f *fleet) dataCentreOf(entry int) string {
	return f.deployment.DataCentres[entry%len(f.deployment.DataCentres)]
}

// entry is one entry: its view of the members, with their leases, and its real pick stage.
type entry struct {
	fleet       *fleet
	dataCentre  string
	members     []*membership.Member
	live        []*membership.Member // those with an unexpired lease
	leaseEnd    []time.Time
	filter      *pick.Filter
	retryTokens float64
}

func newEntry(f *fleet, index int, o Options, policy string) *entry {
	e := &entry{fleet: f, dataCentre: f.dataCentreOf(index), retryTokens: retryBudgetBurst}
	for _, p := range f.endpoints {
		e.members = append(e.members, membership.NewMember(p.info, f.start))
		e.leaseEnd = append(e.leaseEnd, f.start.Add(leaseDuration))
	}
	e.live = e.members
	distance := pick.Distance{DataCentre: e.dataCentre, OneWayDelay: f.deployment.DataCentreDelay}
	rng := rand.New(rand.NewPCG(o.Seed, uint64(index)))
	e.filter = pick.New(nil, e, f, pick.Options{
		Policy: pick.NewPolicy(policy, rng, distance), Distance: distance, Now: f.clock.Now,
	})
	return e
}

// Members implements pick.Members.
func (e *entry) Members(string) []*membership.Member { return e.live }

// oneWayDelay returns the one-way delay between the entry and the endpoint.
func (e *entry) oneWayDelay(p *endpoint) time.Duration {
	if p.info.DataCentre == e.dataCentre {
		return 0
	}
	return e.fleet.deployment.DataCentreDelay
}

// startHeartbeats schedules the heartbeats of all endpoints and the expiry of leases, until
// the last arrival. The endpoints start at random times within heartbeatInterval.
func (e *entry) startHeartbeats(rng *rand.Rand) {
	for i := range e.members {
		first := time.Duration(rng.Int64N(int64(heartbeatInterval)))
		e.fleet.clock.after(first, func() { e.sendHeartbeat(i) })
	}
	e.dropExpiredLeases()
}

// sendHeartbeat reports the load of an endpoint, renews its lease and schedules the next
// heartbeat. A dead endpoint sends none.
func (e *entry) sendHeartbeat(i int) {
	p := e.fleet.endpoints[i]
	now := e.fleet.clock.now
	if p.health != alive || now.After(e.fleet.arrivalsEnd) {
		return
	}
	running, queued := int64(len(p.running)), int64(len(p.queue))
	e.fleet.clock.after(e.oneWayDelay(p), func() {
		e.leaseEnd[i] = e.fleet.clock.now.Add(leaseDuration)
		e.members[i].RecordLoad(running, queued, 0, e.fleet.clock.now)
	})
	e.fleet.clock.after(heartbeatInterval, func() { e.sendHeartbeat(i) })
}

// dropExpiredLeases removes members with an expired lease from the live ones, and
// schedules the next check.
func (e *entry) dropExpiredLeases() {
	now := e.fleet.clock.now
	var live []*membership.Member
	for i, m := range e.members {
		if !e.leaseEnd[i].Before(now) {
			live = append(live, m)
		}
	}
	e.live = live
	if now.Before(e.fleet.arrivalsEnd) {
		e.fleet.clock.after(leaseSweepInterval, e.dropExpiredLeases)
	}
}
