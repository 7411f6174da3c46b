package workeragent

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/boottime"
	"chervilridge/internal/interference"
	"chervilridge/platform"
)

const (
	// maxHarmTime is the platform's bound on how long best-effort runs may make a serving
	// run miss its target (bounds.harm-ms).
	maxHarmTime = 4 * time.Second
	// paceDelay is the time until a new pace takes effect (bounds.pace-ms).
	paceDelay = 100 * time.Millisecond
	// gaugeWindow is the period that a worker's figures cover.
	gaugeWindow = 500 * time.Millisecond
	// minShownHeadroom is the lowest headroom that a saturated serving run shows.
	minShownHeadroom = 0.03
	// drainRate is the rate at which the tail latency falls after an overload, per
	// second: by a factor of e in a third of a second, as observed in a simulated day.
	drainRate = 3.0
	simStep   = 20 * time.Millisecond
	simCores  = 32
)

// simulation simulates a worker with serving runs whose load oscillates and bursts, and
// best-effort runs that come and go and take headroom by trueSlopes.
type simulation struct {
	rng         *rand.Rand
	agent       *Agent
	incarnation *incarnation
	now         boottime.Instant
	trueSlopes  map[interference.Pair]float64

	serving    []*simServing
	bestEffort map[runKey]*simBestEffort

	longestHarm, targetMissed, workDone, workAtFullPace time.Duration
	agentClock                                          atomic.Int64 // now, for the agent's goroutines
}

type simServing struct {
	key                 runKey
	image               string
	phase, period       float64
	burstEnd, nextBurst boottime.Instant
	burstFactor         float64
	missedSince         boottime.Instant
	recentHeadroom      []float64 // shown headroom of the steps in the gauge window
	shownHeadroom       float64   // includes the effect of queued requests
}

type simBestEffort struct {
	image        string
	cores        float64
	percent      uint32
	pendingPaces []simPace
	recentCores  []float64
	workLeft     time.Duration // at full pace
}

// simPace is a pace that takes effect at a later time.
type simPace struct {
	at      boottime.Instant
	percent uint32
}

// modelKnowledge is how much the agent's model knows. knownShare is the share of all pairs
// that it knows. It includes wrongShare, the share of all pairs that the model takes to be
// harmless whatever their slope is; the rest is known with an error of some percent.
type modelKnowledge struct {
	name                   string
	knownShare, wrongShare float64
}

// noopWorker accepts all paces. The simulation reads the paces from the agent instead.
type noopWorker struct{ Worker }

func (noopWorker) Pace(context.Context, string, string, uint32, uint32, uint64) error { return nil }

func newSimulation(seed uint64, k modelKnowledge) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, seed)), now: boottime.Instant(time.Hour), trueSlopes: map[interference.Pair]float64{}, bestEffort: map[runKey]*simBestEffort{}}
	sim.agent = NewAgent(&platform.NodeSettings{Name: "side-1"}, noopWorker{}, func() boottime.Instant { return boottime.Instant(sim.agentClock.Load()) })
	sim.agentClock.Store(int64(sim.now))
	sim.incarnation = &incarnation{id: workerID, runs: map[runKey]platform.Run{}}
	sim.incarnation.heartbeat.CPUMilli = simCores * 1000
	sim.agent.incarnation = sim.incarnation
	for s := range 3 {
		for f := range 6 {
			p := interference.Pair{Serving: fmt.Sprint("s", s), BestEffort: fmt.Sprint("f", f)}
			sim.trueSlopes[p] = 0.2 + 0.3*sim.rng.Float64()
			if sim.rng.Float64() < 0.6 {
				sim.trueSlopes[p] = 3 + 9*sim.rng.Float64()
			}
			switch draw := sim.rng.Float64(); {
			case draw < k.wrongShare:
				sim.agent.model.SetSlope(p, 0)
			case draw < k.knownShare:
				sim.agent.model.SetSlope(p, sim.trueSlopes[p]*(1+0.15*sim.rng.NormFloat64()))
			}
		}
	}
	for i := range 2 {
		sim.addJob(i)
	}
	return sim
}

// addJob adds three serving runs of a job, which share its load.
func (sim *simulation) addJob(job int) {
	image, phase := fmt.Sprint("s", sim.rng.IntN(3)), sim.rng.Float64()
	for i := range 3 {
		s := &simServing{
			key: runKey{fmt.Sprintf("serving%d.0.0.%d", job, i), 1}, image: image, phase: phase, period: 14,
			nextBurst: sim.now.Add(time.Duration(sim.rng.Float64() * 20 * float64(time.Second))),
		}
		sim.serving = append(sim.serving, s)
		sim.agent.runInfos[s.key] = runInfo{targetMs: 100, image: image, cpuMilli: 4000, updatedAt: sim.now}
	}
}

// soloHeadroom returns the headroom of a run without best-effort runs. It oscillates
// between 1.6 and 3.9, and drops to about half of that for one to three seconds in each
// burst.
func (sim *simulation) soloHeadroom(s *simServing) float64 {
	if sim.now.After(s.nextBurst) {
		s.burstFactor = 1.3 + 0.9*sim.rng.Float64()
		s.burstEnd = sim.now.Add(time.Second + time.Duration(sim.rng.Float64()*2*float64(time.Second)))
		s.nextBurst = s.burstEnd.Add(time.Duration((5 + 20*sim.rng.Float64()) * float64(time.Second)))
	}
	load := 0.45 * (1 + 0.5*math.Sin(2*math.Pi*(sim.now.Sub(0).Seconds()/s.period+s.phase)))
	if s.burstEnd.After(sim.now) {
		load *= s.burstFactor
	}
	return 5 * (1 - load)
}

// advance simulates one step: it starts and ends best-effort runs, applies paces, and
// computes the headroom of the serving runs.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(simStep)
	sim.agentClock.Store(int64(sim.now))
	if len(sim.bestEffort) < 6 && sim.rng.Float64() < 0.15 {
		key := runKey{fmt.Sprintf("fill.0.0.%d", sim.rng.IntN(1<<30)), 1}
		cores := 2 + 3*sim.rng.Float64()
		sim.bestEffort[key] = &simBestEffort{image: fmt.Sprint("f", sim.rng.IntN(6)), cores: cores, percent: 100, workLeft: time.Duration((0.5 + 2.5*sim.rng.Float64()) * float64(time.Second))}
		sim.agent.runInfos[key] = runInfo{bestEffort: true, image: sim.bestEffort[key].image, cpuMilli: uint32(cores * 1000), updatedAt: sim.now}
		if p := sim.agent.pacers[sim.bestEffort[key].image]; p != nil {
			sim.bestEffort[key].pendingPaces = append(sim.bestEffort[key].pendingPaces, simPace{sim.now.Add(paceDelay), p.percent})
		}
	}
	usage := map[string]float64{}
	for key, f := range sim.bestEffort {
		for len(f.pendingPaces) > 0 && !f.pendingPaces[0].at.After(sim.now) {
			f.percent = f.pendingPaces[0].percent
			f.pendingPaces = f.pendingPaces[1:]
		}
		cores := f.cores * float64(f.percent) / 100
		usage[f.image] += cores / simCores
		f.recentCores = keepGaugeWindow(append(f.recentCores, cores))
		f.workLeft -= simStep * time.Duration(f.percent) / 100
		sim.workDone += simStep * time.Duration(f.percent) / 100
		sim.workAtFullPace += simStep
		if f.workLeft <= 0 {
			delete(sim.bestEffort, key)
			delete(sim.agent.runInfos, key)
			delete(sim.agent.paceOrders, key)
		}
	}
	for _, s := range sim.serving {
		soloHeadroom := sim.soloHeadroom(s)
		headroom := soloHeadroom
		for image, share := range usage {
			headroom -= sim.trueSlopes[interference.Pair{Serving: s.image, BestEffort: image}] * share
		}
		currentHeadroom := headroom
		headroom = max(headroom, minShownHeadroom)
		// Requests that queued up during an overload are worked off gradually.
		if s.shownHeadroom > 0 {
			headroom = min(headroom, s.shownHeadroom*math.Exp(drainRate*simStep.Seconds()))
		}
		s.shownHeadroom = headroom
		s.recentHeadroom = keepGaugeWindow(append(s.recentHeadroom, headroom))
		sim.recordHarm(s, soloHeadroom, currentHeadroom, headroom)
	}
}

// recordHarm records how long a run has been missing its target while the current
// best-effort runs, and not its own load, make it miss it.
func (sim *simulation) recordHarm(s *simServing, soloHeadroom, currentHeadroom, shownHeadroom float64) {
	switch {
	case shownHeadroom >= 1:
		s.missedSince = 0
	case s.missedSince == 0:
		s.missedSince = sim.now
	}
	if s.missedSince != 0 && soloHeadroom >= 1 && currentHeadroom < 1 {
		sim.targetMissed += simStep
		sim.longestHarm = max(sim.longestHarm, sim.now.Sub(s.missedSince))
	}
}

// keepGaugeWindow returns the readings within the gauge window.
func keepGaugeWindow(readings []float64) []float64 {
	return readings[max(0, len(readings)-int(gaugeWindow/simStep)):]
}

// answerHold passes the current list of runs to the agent, as the reply to a hold call
// does, and schedules the paces that the agent sets.
func (sim *simulation) answerHold() {
	sim.incarnation.runs = map[runKey]platform.Run{}
	for key, f := range sim.bestEffort {
		sum := 0.0
		for _, x := range f.recentCores {
			sum += x
		}
		sim.incarnation.runs[key] = platform.Run{Task: key.task, Attempt: 1, Percent: 50, Gauge: uint32(1000 * sum / float64(max(len(f.recentCores), 1)))}
	}
	for _, s := range sim.serving {
		worst := math.Inf(1)
		for _, x := range s.recentHeadroom {
			worst = min(worst, x)
		}
		tail := 100 / worst * (1 + 0.05*sim.rng.NormFloat64())
		sim.incarnation.runs[s.key] = platform.Run{Task: s.key.task, Attempt: 1, Percent: 100, Gauge: uint32(max(tail, 1))}
	}
	sim.agent.mu.Lock()
	sim.agent.adjustPaces(context.Background(), sim.incarnation)
	paces := map[runKey]uint32{}
	for key, o := range sim.agent.paceOrders {
		paces[key] = o.percent
	}
	sim.agent.mu.Unlock()
	for key, f := range sim.bestEffort {
		last := f.percent
		if n := len(f.pendingPaces); n > 0 {
			last = f.pendingPaces[n-1].percent
		}
		if pace, ok := paces[key]; ok && pace != last {
			f.pendingPaces = append(f.pendingPaces, simPace{sim.now.Add(paceDelay), pace})
		}
	}
}

// Serving runs whose load oscillates within seconds and bursts share a worker with
// best-effort runs, more than half of which interfere with them. No best-effort run may
// make a serving run miss its target for as long as the platform counts as harm, whether
// the model knows the interference or not. Guards against harm where the model took a
// harmful image to be harmless.
func TestServingRunsAreNotHarmedForLong(t *testing.T) {
	const seconds, seeds = 120, 40
	for _, k := range []modelKnowledge{{"all known", 1, 0}, {"most known", 0.7, 0}, {"none known", 0, 0}, {"some wrong", 1, 0.3}} {
		var worked, wanted, missed time.Duration
		for seed := range uint64(seeds) {
			sim := newSimulation(seed, k)
			for i := range int(seconds * time.Second / simStep) {
				sim.advance()
				if i%20 == 0 {
					sim.answerHold()
				}
			}
			assert.Assert(t, sim.longestHarm < maxHarmTime, "%s, seed %d: best-effort runs made a serving run miss its target for %v", k.name, seed, sim.longestHarm)
			worked, wanted, missed = worked+sim.workDone, wanted+sim.workAtFullPace, missed+sim.targetMissed
		}
		t.Logf("%s: work done at %.2f of full pace, targets missed due to best-effort runs for %.3f of the time",
			k.name, worked.Seconds()/wanted.Seconds(), missed.Seconds()/(seconds*seeds*6))
	}
}
