package placement

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilridge/internal/fixedseed"
	"chervilridge/internal/scheduler/placement/model"
	"chervilridge/internal/shard"
)

var (
	whole = model.Amount{CPUMilli: 32_000, MemoryMB: 125_000}
	small = model.Amount{CPUMilli: 1_000, MemoryMB: 1_000}
	big   = model.Amount{CPUMilli: 30_000, MemoryMB: 1_000}
)

func TestMain(m *testing.M) {
	os.Exit(fixedseed.Run(m, fixedseed.Options{Seed: 5301}))
}

func waiting(job string, need model.Amount, since int64) model.Task {
	return model.Task{
		Ref: shard.TaskRef{JobID: job}, Team: "t", Class: "c", Need: need, Floor: need,
		Since: since, RunTime: time.Minute,
	}
}

func worker(name string, held ...model.Held) model.Worker {
	return model.Worker{Name: name, DataCentre: "a", Rack: "r", Capacity: whole, Ready: true, Held: held}
}

func placed(p Plan) (out []string) {
	for _, a := range p.Assignments {
		out = append(out, a.Task.Ref.JobID+"@"+a.Worker)
	}
	return out
}

// TestBigTaskDoesNotBlock: an unplaceable task leaves the ones behind it alone.
func TestBigTaskDoesNotBlock(t *testing.T) {
	busy := model.Held{Class: "c", Reserved: model.Amount{CPUMilli: 10_000}, Remaining: time.Minute}
	p := Make(Snapshot{
		NowMs: 1_000, Settled: true, Workers: []Worker{worker("w1", busy)},
		Tasks: []Task{waiting("big", big, 0), waiting("small", small, 1)},
	})
	assert.DeepEqual(t, placed(p), []string{"small@w1"})
	assert.Equal(t, len(p.Unplaced), 1)
	assert.Check(t, strings.Contains(p.Unplaced[0].Reason, "1 no room"), p.Unplaced[0].Reason)
}

// TestBigTaskDoesNotStarve: each second one small task ends on each worker, and
// another one waits to follow it; once the big task has waited long, one worker is kept for it and it runs.
func TestBigTaskDoesNotStarve(t *testing.T) {
	const (
		tick     = int64(1_000)
		taskMs   = int64(8_000)
		horizon  = int64(120_000)
		perTick  = 2
		smallCPU = 4_000
	)
	type run struct {
		worker string
		need   model.Amount
		endMs  int64
	}
	running := []run{}
	for end := tick; end <= 8*tick; end += tick {
		need := model.Amount{CPUMilli: smallCPU}
		running = append(running, run{"w1", need, end}, run{"w2", need, end})
	}
	tasks := []Task{waiting("big", big, 0)}
	next, started := 0, int64(-1)
	for now := int64(0); now < horizon && started < 0; now += tick {
		running = slices.DeleteFunc(running, func(r run) bool { return r.endMs <= now })
		for range perTick {
			next++
			s := waiting(fmt.Sprintf("small-%06d", next), model.Amount{CPUMilli: smallCPU, MemoryMB: 1}, now)
			s.RunTime = time.Duration(taskMs) * time.Millisecond
			tasks = append(tasks, s)
		}
		workers := []Worker{worker("w1"), worker("w2")}
		for i := range workers {
			for _, r := range running {
				if r.worker == workers[i].Name {
					workers[i].Held = append(workers[i].Held, model.Held{Class: "c", Reserved: r.need, Remaining: time.Duration(r.endMs-now) * time.Millisecond})
				}
			}
		}
		p := Make(Snapshot{NowMs: now, Settled: true, Workers: workers, Tasks: tasks})
		for _, a := range p.Assignments {
			running = append(running, run{a.Worker, model.FromProto(a.Reserved), now + taskMs})
			tasks = slices.DeleteFunc(tasks, func(t Task) bool { return t.Ref == a.Task.Ref })
			if a.Task.Ref.JobID == "big" {
				started = now
			}
		}
	}
	assert.Check(t, started > 0, "the big task starved")
	assert.Check(t, started <= (model.DefaultReserveAfter+30*time.Second).Milliseconds(), "started after %d ms", started)
}

// TestImpossible: refused at once and once a job, but not before the workers are known.
func TestImpossible(t *testing.T) {
	huge := model.Amount{CPUMilli: 64_000}
	a, b := waiting("huge", huge, 0), waiting("huge", huge, 0)
	b.Ref.Index = 1
	s := Snapshot{Settled: true, Workers: []Worker{worker("w1")}, Tasks: []Task{a, b, waiting("ok", small, 0)}}
	p := Make(s)
	assert.Equal(t, len(p.Impossible), 1)
	assert.Check(t, strings.Contains(p.Impossible[0].Reason, "closest is w1, which lacks 32000 milli-cores"), p.Impossible[0].Reason)
	assert.DeepEqual(t, placed(p), []string{"ok@w1"})
	s.Settled = false
	assert.Equal(t, len(Make(s).Impossible), 0)
}

// TestImpossibleBeyondQuota: a task that no worker can take is refused also when
// the team's quota alone would keep it waiting.
func TestImpossibleBeyondQuota(t *testing.T) {
	huge := waiting("huge", model.Amount{CPUMilli: 64_000}, 0)
	huge.Team = "small"
	s := Snapshot{
		Settled: true, Workers: []Worker{worker("w1")}, Tasks: []Task{huge},
		Teams: []model.Team{{Name: "small", Weight: 1, Quota: model.Amount{CPUMilli: 8_000}}},
	}
	assert.Equal(t, len(Make(s).Impossible), 1)
	s.Tasks[0].Need = model.Amount{CPUMilli: 16_000}
	s.Tasks[0].Floor = s.Tasks[0].Need
	p := Make(s)
	assert.Equal(t, len(p.Impossible), 0)
	assert.Equal(t, len(p.Unplaced), 1)
}

// TestReserveWithinCapacity: the margin of an estimate never exceeds the worker.
func TestReserveWithinCapacity(t *testing.T) {
	w := waiting("j", model.Amount{CPUMilli: 34_000, MemoryMB: 10}, 0)
	w.Floor = model.Amount{CPUMilli: 31_000, MemoryMB: 10}
	p := Make(Snapshot{Settled: true, Workers: []Worker{worker("w1")}, Tasks: []Task{w}})
	assert.Equal(t, len(p.Assignments), 1)
	assert.Equal(t, p.Assignments[0].Reserved.CpuMilli, whole.CPUMilli)
}

// TestQuotaCutsTheMargin: a quota that leaves the floor of an estimate but not its
// margin lets the task run with the floor.
func TestQuotaCutsTheMargin(t *testing.T) {
	w := waiting("j", model.Amount{CPUMilli: 1_100}, 0)
	w.Floor = model.Amount{CPUMilli: 1_000}
	quota := []model.Team{{Name: "t", Quota: model.Amount{CPUMilli: 1_000}}}
	p := Make(Snapshot{Settled: true, Workers: []Worker{worker("w1")}, Tasks: []Task{w}, Teams: quota})
	assert.Equal(t, len(p.Assignments), 1)
	assert.Equal(t, p.Assignments[0].Reserved.CpuMilli, int64(1_000))
}

// TestProbing: an unknown class runs on few workers only, one task on each.
func TestProbing(t *testing.T) {
	s := Snapshot{Settled: true, Effects: unknown{}}
	for i := range 8 {
		w := worker(fmt.Sprintf("w%d", i))
		w.Service, w.Slowdown = "s", 1
		s.Workers = append(s.Workers, w)
		s.Tasks = append(s.Tasks, waiting(fmt.Sprintf("j%d", i), small, 0))
	}
	p := Make(s)
	assert.Equal(t, len(p.Assignments), model.DefaultProbeWorkers)
	assert.Check(t, p.Assignments[0].Worker != p.Assignments[1].Worker)
}

type unknown struct{}

func (unknown) Effect(string, string, uint32) model.Effect { return model.Effect{} }

type effects map[string]model.Effect

func (e effects) Effect(service, class string, band uint32) model.Effect {
	return e[fmt.Sprint(service, class, band)]
}

func genAmount(t *rapid.T, label string, most int64) model.Amount {
	return model.Amount{
		CPUMilli: rapid.Int64Range(1, most).Draw(t, label+"CPU"), MemoryMB: rapid.Int64Range(1, most).Draw(t, label+"Mem"),
		Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 1}).Draw(t, label+"Acc"),
	}
}

func genSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{NowMs: 100_000, Settled: rapid.Bool().Draw(t, "settled")}
	e := effects{}
	for _, c := range []string{"c0", "c1", "c2"} {
		s.Classes = append(s.Classes, model.Class{
			Name: c, Weight: rapid.Uint32Range(0, 5).Draw(t, "weight"), Limit: rapid.SampledFrom([]uint32{0, 0, 3}).Draw(t, "limit"),
			DataCentres: rapid.SampledFrom([][]string{nil, nil, {"a"}, {"a", "b"}}).Draw(t, "allowed"),
		})
		for band := range 2 {
			e[fmt.Sprint("s", c, band)] = model.Effect{Excess: rapid.Float64Range(0, 3).Draw(t, "excess"), Samples: rapid.Uint32Range(0, 20).Draw(t, "samples")}
		}
	}
	s.Effects = e
	for _, name := range []string{"t0", "t1"} {
		s.Teams = append(s.Teams, model.Team{
			Name: name, Weight: rapid.Uint32Range(0, 5).Draw(t, "teamWeight"), Limit: rapid.SampledFrom([]uint32{0, 0, 6}).Draw(t, "teamLimit"),
			Quota:   model.Amount{CPUMilli: rapid.SampledFrom([]int64{0, 0, 40, 80}).Draw(t, "quota")},
			Running: rapid.Uint32Range(0, 3).Draw(t, "running"), Used: model.Amount{CPUMilli: rapid.Int64Range(0, 20).Draw(t, "used")},
		})
	}
	for _, name := range []string{"a", "b", "c"} {
		s.DataCentres = append(s.DataCentres, model.DataCentre{
			Name: name, Out: rapid.IntRange(0, 3).Draw(t, "out") == 3, Share: rapid.SampledFrom([]float64{1, 1, 0.5}).Draw(t, "share"),
		})
	}
	for i := range rapid.IntRange(2, 6).Draw(t, "workers") {
		s.Workers = append(s.Workers, genWorker(t, i))
	}
	for i := range rapid.IntRange(8, 30).Draw(t, "tasks") {
		s.Tasks = append(s.Tasks, genTask(t, i))
	}
	return s
}

func genWorker(t *rapid.T, i int) Worker {
	w := Worker{
		Name: fmt.Sprintf("w%d", i), DataCentre: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre"),
		Rack: rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "rack"), Capacity: genAmount(t, "capacity", 40).Add(model.Amount{CPUMilli: 30, MemoryMB: 30, Accelerators: 2}),
		Ready: rapid.IntRange(0, 4).Draw(t, "ready") != 4, Quarantined: rapid.IntRange(0, 4).Draw(t, "quarantined") == 4,
		Probation: rapid.IntRange(0, 4).Draw(t, "probation") == 4, Service: rapid.SampledFrom([]string{"", "", "s"}).Draw(t, "service"),
		LoadBand: rapid.Uint32Range(0, 1).Draw(t, "band"), Slowdown: rapid.SampledFrom([]float64{0, 1, 1.1, 1.5}).Draw(t, "slowdown"),
		Measured: genAmount(t, "measured", 10), Unseen: genAmount(t, "unseen", 10),
	}
	for range rapid.IntRange(0, 1).Draw(t, "held") {
		w.Held = append(w.Held, model.Held{Class: "c0", Reserved: genAmount(t, "heldAmount", 10), Remaining: time.Duration(rapid.IntRange(0, 100).Draw(t, "remaining")) * time.Second})
	}
	return w
}

func genTask(t *rapid.T, i int) Task {
	floor := genAmount(t, "floor", 12)
	return Task{
		Ref: shard.TaskRef{JobID: fmt.Sprintf("j%d", i%7), Index: uint32(i)}, Team: rapid.SampledFrom([]string{"t0", "t1"}).Draw(t, "team"),
		Class: rapid.SampledFrom([]string{"c0", "c1", "c2"}).Draw(t, "class"), Floor: floor, Need: floor.Add(model.Amount{CPUMilli: rapid.Int64Range(0, 4).Draw(t, "margin")}),
		RunTime: time.Duration(rapid.IntRange(1, 100).Draw(t, "runTime")) * time.Second, Urgent: rapid.Bool().Draw(t, "urgent"),
		Since: rapid.Int64Range(0, 100_000).Draw(t, "since"), FailedOn: rapid.SampledFrom([][]string{nil, {"w0"}, {"w0", "w1"}}).Draw(t, "failedOn"),
	}
}

// TestPlanKeepsPromises: whatever the snapshot, a plan does not overcommit a
// worker, exceed a limit, place where nothing may start, or place a task twice;
// every task is accounted for; and the order of the input does not matter.
func TestPlanKeepsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := genSnapshot(t)
		p := Make(s)
		checkWorkers(t, s, p)
		checkLimits(t, s, p)
		checkAccounted(t, s, p)
		shuffled := s
		shuffled.Tasks = rapid.Permutation(s.Tasks).Draw(t, "order")
		shuffled.Workers = rapid.Permutation(s.Workers).Draw(t, "workerOrder")
		assert.DeepEqual(t, placed(Make(shuffled)), placed(p))
	})
}

func checkWorkers(t *rapid.T, s Snapshot, p Plan) {
	load := map[string]model.Amount{}
	started := map[string]bool{}
	for _, w := range s.Workers {
		for _, h := range w.Held {
			load[w.Name] = load[w.Name].Add(h.Reserved)
		}
	}
	for _, a := range p.Assignments {
		load[a.Worker] = load[a.Worker].Add(model.FromProto(a.Reserved))
		started[a.Worker] = true
		assert.Check(t, a.Task.Floor.Within(model.FromProto(a.Reserved)), "less reserved than the floor")
	}
	for _, w := range s.Workers {
		if !started[w.Name] {
			continue
		}
		centre := s.DataCentres[slices.IndexFunc(s.DataCentres, func(d model.DataCentre) bool { return d.Name == w.DataCentre })]
		assert.Check(t, load[w.Name].Within(w.Capacity), "worker %s overcommitted", w.Name)
		assert.Check(t, load[w.Name].Within(w.Capacity.Scale(centre.Share)), "worker %s above the ramp", w.Name)
		assert.Check(t, w.Ready && !w.Quarantined && !centre.Out, "start on %s, which may not", w.Name)
	}
}

func checkLimits(t *rapid.T, s Snapshot, p Plan) {
	for _, team := range s.Teams {
		before, used := team.Running, team.Used
		for _, a := range p.Assignments {
			if a.Task.Team == team.Name {
				team.Running++
				used = used.Add(model.FromProto(a.Reserved))
			}
		}
		if team.Running > before {
			assert.Check(t, team.Limit == 0 || team.Running <= team.Limit, "team %s above its limit", team.Name)
			assert.Check(t, used.WithinQuota(team.Quota), "team %s above its quota", team.Name)
		}
	}
	for _, class := range s.Classes {
		n := uint32(0)
		for _, a := range p.Assignments {
			if a.Task.Class == class.Name {
				n++
			}
		}
		assert.Check(t, class.Limit == 0 || n <= class.Limit, "class %s above its limit", class.Name)
	}
}

func checkAccounted(t *rapid.T, s Snapshot, p Plan) {
	seen := map[shard.TaskRef]int{}
	for _, a := range p.Assignments {
		seen[a.Task.Ref]++
	}
	for _, u := range p.Unplaced {
		assert.Check(t, u.Reason != "")
		seen[u.Task.Ref]++
	}
	refused := map[string]bool{}
	for _, u := range p.Impossible {
		refused[u.Task.Ref.JobID] = true
		assert.Check(t, s.Settled)
	}
	for _, task := range s.Tasks {
		assert.Check(t, seen[task.Ref] == 1 || seen[task.Ref] == 0 && refused[task.Ref.JobID], "task %v counted %d times", task.Ref, seen[task.Ref])
	}
}
