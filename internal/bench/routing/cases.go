package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// Sizes of both services and of the run.
const (
	runners       = 11
	slotsEach     = 8
	maxQueue      = 64
	deadline      = 250 * time.Millisecond // the latency target in both tables
	reportEvery   = 500 * time.Millisecond
	lease         = 3 * time.Second
	sweepEvery    = 250 * time.Millisecond
	meanService   = 20 * time.Millisecond
	runTime       = 12 * time.Second
	warmUp        = 2 * time.Second
	disturbBegin  = 4 * time.Second
	disturbEnd    = 8 * time.Second
	slowFactor    = 10
	coldFactor    = 2
	coldTime      = 2 * time.Second
	waveMin       = 1.5
	waveMax       = 3.0
	waveEndpoints = 4
)

// Deployment is where the endpoints and entries stand.
type Deployment struct {
	Name    string
	Centres []string
	Hop     time.Duration // one way between data centres
	Client  time.Duration // one way to clients
}

// Deployments returns both users' places.
func Deployments() []Deployment {
	return []Deployment{
		{"cascade", []string{"pnw-a", "pnw-b", "pnw-c"}, 500 * time.Microsecond, time.Millisecond},
		{"usambara", []string{"lushoto", "soni", "mlalo", "bumbuli"}, time.Millisecond, 3 * time.Millisecond},
	}
}

// Case is one load with at most one disturbance.
type Case struct {
	Name string
	// Load is the part of all slots that the requests would keep busy.
	Load float64
	// Sigma of the logarithm of the service time.
	Sigma float64
	// Entries is how many entries share the requests evenly.
	Entries int
	// Disturb schedules what goes wrong; nil for nothing.
	Disturb func(f *fleet, rng *rand.Rand)
}

const (
	likeSigma  = 0.1 // nearly the same work each time: any wait shows
	evenSigma  = 0.5
	heavySigma = 1.2
)

// Cases returns the cases in the order of the report.
func Cases() []Case {
	return []Case{
		{"even 50%", 0.50, evenSigma, 2, nil},
		{"even 80%", 0.80, evenSigma, 2, nil},
		{"even 95%", 0.95, evenSigma, 2, nil},
		{"like work 80%", 0.80, likeSigma, 2, nil},
		{"like work 95%", 0.95, likeSigma, 2, nil},
		{"like work 95%, 8 entries", 0.95, likeSigma, 8, nil},
		{"heavy tail 80%", 0.80, heavySigma, 2, nil},
		{"one 10x slower 60%", 0.60, evenSigma, 2, slowOne},
		{"one dead, refuses 60%", 0.60, evenSigma, 2, killOne},
		{"one dead, silent 60%", 0.60, evenSigma, 2, silenceOne},
		{"data centre out and back 50%", 0.50, evenSigma, 2, drainOne},
		{"noisy wave 60%", 0.60, evenSigma, 2, noisyWave},
	}
}

// slowOne makes one endpoint slow from the start.
func slowOne(f *fleet, _ *rand.Rand) { f.endpoints[0].slowdown = slowFactor }

func killOne(f *fleet, _ *rand.Rand) {
	f.clock.at(f.begin.Add(disturbBegin), func() { f.endpoints[0].kill(deadRefusing) })
}

func silenceOne(f *fleet, _ *rand.Rand) {
	f.clock.at(f.begin.Add(disturbBegin), func() { f.endpoints[0].kill(deadSilent) })
}

// drainOne takes the first data centre, where an entry stands, out and back.
// Its endpoints come back cold: slower until the cold time has passed.
func drainOne(f *fleet, _ *rand.Rand) {
	dc := f.deployment.Centres[0]
	f.clock.at(f.begin.Add(disturbBegin), func() { f.setOut(dc, true) })
	f.clock.at(f.begin.Add(disturbEnd), func() {
		f.slowCentre(dc, coldFactor)
		f.setOut(dc, false)
	})
	f.clock.at(f.begin.Add(disturbEnd+coldTime), func() { f.slowCentre(dc, 1) })
}

func noisyWave(f *fleet, rng *rand.Rand) {
	hit := rng.Perm(runners)[:waveEndpoints]
	f.clock.at(f.begin.Add(disturbBegin), func() {
		for i, k := range hit {
			f.endpoints[k].slowdown = waveMin + (waveMax-waveMin)*float64(i)/float64(waveEndpoints-1)
		}
	})
	f.clock.at(f.begin.Add(disturbEnd), func() {
		for _, k := range hit {
			f.endpoints[k].slowdown = 1
		}
	})
}

// arrival is one request as drawn for a case; all policies get the same ones.
type arrival struct {
	at    time.Duration
	entry int
	work  time.Duration
}

// arrivals draws Poisson arrivals with log-normal service times.
func arrivals(c Case, rng *rand.Rand) []arrival {
	rate := c.Load * runners * slotsEach / meanService.Seconds()
	mu := math.Log(float64(meanService)) - c.Sigma*c.Sigma/2
	var out []arrival
	for t := 0.0; ; {
		t += rng.ExpFloat64() / rate
		at := time.Duration(t * float64(time.Second))
		if at >= runTime {
			return out
		}
		work := time.Duration(math.Exp(mu + c.Sigma*rng.NormFloat64()))
		out = append(out, arrival{at: at, entry: rng.IntN(c.Entries), work: work})
	}
}
