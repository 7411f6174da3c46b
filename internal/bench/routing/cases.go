package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the modelled service, the load and the disturbances.
const (
	endpointCount      = 11
	slotsPerEndpoint   = 8
	maxQueue           = 64                     // requests queued at an endpoint
	requestDeadline    = 250 * time.Millisecond // the latency target of both deployments' tables
	heartbeatInterval  = 500 * time.Millisecond
	leaseDuration      = 3 * time.Second
	leaseSweepInterval = 250 * time.Millisecond
	meanServiceTime    = 20 * time.Millisecond
	runDuration        = 12 * time.Second
	shortServiceTime   = 2 * time.Millisecond
	shortRunDuration   = 3 * time.Second
	warmUpDivisor      = 6 // the first sixth of a run is warm-up and not counted
	disturbanceStart   = 4 * time.Second
	disturbanceEnd     = 8 * time.Second
	slowFactor         = 10 // of the service time
	coldFactor         = 2  // of the service time
	coldDuration       = 2 * time.Second
	noisyMinSlowdown   = 1.5 // factor of the service time
	noisyMaxSlowdown   = 3.0
	noisyEndpoints     = 4
)

// Deployment describes the data centres of the endpoints and entries, and their delays.
type Deployment struct {
	Name            string
	DataCentres     []string
	DataCentreDelay time.Duration // one-way delay between data centres
	ClientDelay     time.Duration // one-way delay between clients and entries
}

// Deployments returns the deployments of the two users of the system.
func Deployments() []Deployment {
	return []Deployment{
		{"cascade", []string{"pnw-a", "pnw-b", "pnw-c"}, 500 * time.Microsecond, time.Millisecond},
		{"usambara", []string{"lushoto", "soni", "mlalo", "bumbuli"}, time.Millisecond, 3 * time.Millisecond},
	}
}

// Case is a load with at most one disturbance.
type Case struct {
	Name string
	// Utilization is the share of all slots that the requests keep busy on average, 0 to 1,
	// without the disturbance.
	Utilization     float64
	MeanServiceTime time.Duration
	Duration        time.Duration // how long requests arrive
	// LogSigma is the standard deviation of the logarithm of the service time.
	LogSigma float64
	// Entries is the number of entries that share the requests evenly.
	Entries int
	// Disturb schedules the disturbance; nil for none.
	Disturb func(f *fleet, rng *rand.Rand)
}

const (
	nearConstantSigma = 0.1 // nearly constant service time, so that any queueing shows in the latency
	moderateSigma     = 0.5
	heavyTailSigma    = 1.2
)

// Cases returns the cases in the order of the report.
func Cases() []Case {
	return []Case{
		{"even 50%", 0.50, meanServiceTime, runDuration, moderateSigma, 2, nil},
		{"even 80%", 0.80, meanServiceTime, runDuration, moderateSigma, 2, nil},
		{"even 95%", 0.95, meanServiceTime, runDuration, moderateSigma, 2, nil},
		{"like work 80%", 0.80, meanServiceTime, runDuration, nearConstantSigma, 2, nil},
		{"like work 95%", 0.95, meanServiceTime, runDuration, nearConstantSigma, 2, nil},
		{"like work 95%, 8 entries", 0.95, meanServiceTime, runDuration, nearConstantSigma, 8, nil},
		{"short like work 95%", 0.95, shortServiceTime, shortRunDuration, nearConstantSigma, 2, nil},
		{"heavy tail 80%", 0.80, meanServiceTime, runDuration, heavyTailSigma, 2, nil},
		{"one 10x slower 60%", 0.60, meanServiceTime, runDuration, moderateSigma, 2, slowOne},
		{"one dead, refuses 60%", 0.60, meanServiceTime, runDuration, moderateSigma, 2, killOneRefusing},
		{"one dead, silent 60%", 0.60, meanServiceTime, runDuration, moderateSigma, 2, killOneUnresponsive},
		{"data centre out and back 50%", 0.50, meanServiceTime, runDuration, moderateSigma, 2, dataCentreOutAndBack},
		{"noisy wave 60%", 0.60, meanServiceTime, runDuration, moderateSigma, 2, noisyWave},
	}
}

// pastWarmUp reports whether a request that arrives at that time after the start counts.
func (c Case) pastWarmUp(at time.Duration) bool { return at >= c.Duration/warmUpDivisor }

// slowOne makes one endpoint slow from the start.
func slowOne(f *fleet, _ *rand.Rand) { f.endpoints[0].slowdown = slowFactor }

// killOneRefusing kills one endpoint so that its connections are refused.
func killOneRefusing(f *fleet, _ *rand.Rand) {
	f.clock.at(f.start.Add(disturbanceStart), func() { f.endpoints[0].kill(deadRefusing) })
}

// killOneUnresponsive kills one endpoint so that its requests run into their deadlines.
func killOneUnresponsive(f *fleet, _ *rand.Rand) {
	f.clock.at(f.start.Add(disturbanceStart), func() { f.endpoints[0].kill(deadUnresponsive) })
}

// dataCentreOutAndBack takes the first data centre, which also holds an entry, out of
// service and back in. Its endpoints come back cold: slower for coldDuration.
func dataCentreOutAndBack(f *fleet, _ *rand.Rand) {
	dc := f.deployment.DataCentres[0]
	f.clock.at(f.start.Add(disturbanceStart), func() { f.setDataCentreOut(dc, true) })
	f.clock.at(f.start.Add(disturbanceEnd), func() {
		f.slowDataCentre(dc, coldFactor)
		f.setDataCentreOut(dc, false)
	})
	f.clock.at(f.start.Add(disturbanceEnd+coldDuration), func() { f.slowDataCentre(dc, 1) })
}

// noisyWave slows several endpoints for a while, each by another factor.
func noisyWave(f *fleet, rng *rand.Rand) {
	affected := rng.Perm(endpointCount)[:noisyEndpoints]
	f.clock.at(f.start.Add(disturbanceStart), func() {
		for i, k := range affected {
			f.endpoints[k].slowdown = noisyMinSlowdown + (noisyMaxSlowdown-noisyMinSlowdown)*float64(i)/float64(noisyEndpoints-1)
		}
	})
	f.clock.at(f.start.Add(disturbanceEnd), func() {
		for _, k := range affected {
			f.endpoints[k].slowdown = 1
		}
	})
}

// arrival is one request of a case. All policies get the same arrivals.
type arrival struct {
	at    time.Duration // since the start of the run
	entry int
	work  time.Duration
}

// arrivals draws Poisson arrivals with log-normal service times.
func arrivals(c Case, rng *rand.Rand) []arrival {
	rate := c.Utilization * endpointCount * slotsPerEndpoint / c.MeanServiceTime.Seconds()
	mu := math.Log(float64(c.MeanServiceTime)) - c.LogSigma*c.LogSigma/2
	var out []arrival
	for t := 0.0; ; {
		t += rng.ExpFloat64() / rate
		at := time.Duration(t * float64(time.Second))
		if at >= c.Duration {
			return out
		}
		work := time.Duration(math.Exp(mu + c.LogSigma*rng.NormFloat64()))
		out = append(out, arrival{at: at, entry: rng.IntN(c.Entries), work: work})
	}
}
