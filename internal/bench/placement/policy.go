package placement

import (
	"math/rand/v2"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/scheduler/learn"
	"chervilridge/internal/scheduler/learn/classes"
	"chervilridge/internal/scheduler/placement"
	"chervilridge/internal/scheduler/placement/estimate"
	"chervilridge/internal/scheduler/placement/model"
	"chervilridge/internal/scheduler/placement/ramp"
)

// policy places waiting tasks once a second.
type policy interface {
	place(w *world)
	// finished tells it of a task that ended and for how long that ran.
	finished(t *task, ran time.Duration)
}

// planned is the system's own planner with its learner.
type planned struct {
	learner *learn.Learner
	known   map[string]*pb.ClassLearned
	// sizes and interference say what it may learn, to see what each is worth.
	sizes        bool
	interference bool
}

func newPlanned(sizes, interference bool) *planned {
	return &planned{learner: learn.New(nil), known: map[string]*pb.ClassLearned{}, sizes: sizes, interference: interference}
}

func (p *planned) finished(t *task, ran time.Duration) {
	if !p.sizes {
		return
	}
	c := p.known[t.class.name]
	if c == nil {
		c = &pb.ClassLearned{JobClass: t.class.name}
		p.known[t.class.name] = c
	}
	classes.Finished(c, ran.Milliseconds(), t.need.Proto())
}

func (p *planned) place(w *world) {
	byRef := map[string]*task{}
	for _, t := range w.waiting {
		byRef[t.ref.JobID] = t
	}
	plan := placement.Make(p.snapshot(w))
	for _, a := range plan.Assignments {
		w.start(byRef[a.Task.Ref.JobID], w.byName(a.Worker), model.FromProto(a.Reserved))
	}
}

func (w *world) byName(name string) *worker {
	for _, k := range w.workers {
		if k.name == name {
			return k
		}
	}
	return nil
}

func (p *planned) snapshot(w *world) placement.Snapshot {
	s := placement.Snapshot{NowMs: int64(w.second) * secondMs, Settled: true, DataCentres: w.dataCentres(ramp.Share)}
	for _, k := range w.workers {
		s.Workers = append(s.Workers, p.worker(w, k))
	}
	for _, t := range w.waiting {
		size := estimate.Reserve(t.declared(), p.known[t.class.name])
		s.Tasks = append(s.Tasks, placement.Task{
			Ref: t.ref, Team: t.class.team, Class: t.class.name, Need: size.Need, Floor: size.Floor,
			RunTime: estimate.RunTime(t.declaredMs(), p.known[t.class.name]), Urgent: t.class.urgent, Since: int64(t.second) * secondMs,
		})
	}
	s.Teams, s.Classes = w.shares()
	if p.interference {
		s.Effects = p.learner.Table()
	}
	return s
}

// declared is what the job says that a task needs.
func (t *task) declared() model.Amount {
	return t.class.need.Scale(t.class.declaredSize)
}

func (t *task) declaredMs() int64 { return int64(t.class.seconds * t.class.declaredTime * secondMs) }

func (w *world) dataCentres(share func(time.Duration) float64) (out []model.DataCentre) {
	for i := range w.deployment.Centres {
		d := model.DataCentre{Name: centreName(i), Share: 1}
		if i == outCentre {
			d.Out = w.centreOut
			if w.backAt > 0 {
				d.Share = share(time.Duration(w.second-w.backAt) * time.Second)
			}
		}
		out = append(out, d)
	}
	return out
}

// worker is what the owner knows of a worker: reports lag, the service's latency
// comes with each beat.
func (p *planned) worker(w *world, k *worker) placement.Worker {
	out := placement.Worker{
		Name: k.name, DataCentre: centreName(k.centre), Rack: k.rack, Capacity: k.capacity, Ready: true,
		Service: k.service.Name, Throttled: k.share < 1 && len(k.running) > 0,
	}
	var held []learn.Use
	for _, t := range k.running {
		out.Held = append(out.Held, model.Held{
			Class: t.class.name, Reserved: t.reserved,
			Remaining: estimate.Remaining(estimate.RunTime(t.declaredMs(), p.known[t.class.name]), time.Duration(w.second-t.started)*time.Second),
		})
		held = append(held, learn.Use{Class: t.class.name, CPUMilli: t.reserved.CPUMilli, Share: k.share})
		if t.started > w.second-usageLag {
			out.Unseen = out.Unseen.Add(t.reserved)
		}
	}
	if n := len(k.usage) - 1 - usageLag; n >= 0 {
		out.Measured = k.usage[n]
	}
	if w.out(k) {
		return out
	}
	reading := p.learner.Observe(learn.Sample{
		Worker: k.name, Service: k.service.Name, P99: time.Duration(k.reported * float64(time.Millisecond)),
		LoadMilli: uint32(k.load * 1000), CapacityMilli: k.capacity.CPUMilli, Uses: held, At: time.Duration(w.second) * time.Second,
	})
	out.Slowdown, out.LoadBand = reading.Slowdown, reading.Band
	if reading.Slowdown > 0 {
		k.alone = k.reported / reading.Slowdown
	}
	return out
}

func (w *world) shares() (teams []model.Team, kinds []model.Class) {
	t, c := map[string]int{}, map[string]int{}
	for _, k := range w.workers {
		for _, r := range k.running {
			team, class := r.class.team, r.class.name
			if _, ok := t[team]; !ok {
				t[team] = len(teams)
				teams = append(teams, model.Team{Name: team})
			}
			if _, ok := c[class]; !ok {
				c[class] = len(kinds)
				kinds = append(kinds, model.Class{Name: class})
			}
			teams[t[team]].Running, teams[t[team]].Used = teams[t[team]].Running+1, teams[t[team]].Used.Add(r.reserved)
			kinds[c[class]].Running, kinds[c[class]].Used = kinds[c[class]].Running+1, kinds[c[class]].Used.Add(r.reserved)
		}
	}
	return teams, kinds
}

// choice picks one of the workers that have room by declared sizes, or -1.
type choice func(rng *rand.Rand, t *task, fits []*worker) int

// baseline places tasks in order of arrival by what they declare.
type baseline struct {
	choose choice
	rng    *rand.Rand
}

func (b *baseline) finished(*task, time.Duration) {}

func (b *baseline) place(w *world) {
	for _, t := range append([]*task{}, w.waiting...) {
		need := t.declared()
		var fits []*worker
		for _, k := range w.workers {
			if !w.out(k) && need.Within(k.free()) {
				fits = append(fits, k)
			}
		}
		if len(fits) > 0 {
			w.start(t, fits[b.choose(b.rng, t, fits)], need)
		}
	}
}

func (k *worker) free() model.Amount {
	free := k.capacity
	for _, t := range k.running {
		free = free.Sub(t.reserved)
	}
	return free
}

func firstFit(*rand.Rand, *task, []*worker) int { return 0 }

func randomFit(rng *rand.Rand, _ *task, fits []*worker) int { return rng.IntN(len(fits)) }

func leastAllocated(_ *rand.Rand, _ *task, fits []*worker) int {
	best, least := 0, 2.0
	for i, k := range fits {
		if s := k.capacity.Sub(k.free()).DominantShare(k.capacity); s < least {
			best, least = i, s
		}
	}
	return best
}
