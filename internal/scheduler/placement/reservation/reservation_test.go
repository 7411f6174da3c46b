package reservation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/scheduler/placement/filter"
	"chervilridge/internal/scheduler/placement/model"
)

type harmful struct{}

func (harmful) Effect(string, string, uint32) model.Effect {
	return model.Effect{Excess: 3, Samples: 100}
}

func cores(n int64) model.Amount { return model.Amount{CPUMilli: n * 1_000, MemoryMB: 1} }

func held(n int64, left time.Duration) model.Held {
	return model.Held{Class: "other", Reserved: model.Amount{CPUMilli: n * 1_000}, Remaining: left}
}

func worker(name string, tasks ...model.Held) model.Worker {
	return model.Worker{Name: name, Capacity: model.Amount{CPUMilli: 32_000, MemoryMB: 100}, Ready: true, Held: tasks}
}

func task(need int64, runTime time.Duration) model.Task {
	return model.Task{Class: "c", Team: "t", Need: cores(need), Floor: cores(need), RunTime: runTime}
}

// aged returns a snapshot in which all tasks have waited long.
func aged(workers []model.Worker, tasks ...model.Task) model.Snapshot {
	return model.Snapshot{NowMs: 100_000, Workers: workers, Tasks: tasks}
}

// TestReserveWorker checks which worker is held back, if any.
func TestReserveWorker(t *testing.T) {
	late, soon := held(10, 60*time.Second), held(10, 20*time.Second)
	crowded := worker("crowded", held(2, time.Minute))
	crowded.Service, crowded.Slowdown = "s", 1.1
	quarantined := worker("a", soon)
	quarantined.Quarantined = true
	fresh := aged([]model.Worker{worker("a", soon)}, task(30, time.Minute))
	fresh.NowMs = 1_000
	running := aged([]model.Worker{crowded}, task(4, time.Minute))
	running.Effects = harmful{}
	running.Classes = []model.Class{{Name: "c", Running: 1}}
	starved := running
	starved.Classes = nil
	cases := []struct {
		name string
		snap model.Snapshot
		want string
	}{
		{"the one with room first", aged([]model.Worker{worker("a", late), worker("b", soon)}, task(30, time.Minute)), "b"},
		{"not before it has waited", fresh, ""},
		{"not one that could not take it", aged([]model.Worker{quarantined, worker("b", late)}, task(30, time.Minute)), "b"},
		{"not one that is too small", aged([]model.Worker{worker("a", soon)}, task(33, time.Minute)), ""},
		{"crowded out beside a service", starved, "crowded"},
		{"its class runs elsewhere", running, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := model.Compile(tc.snap)
			got := ""
			if n := New(c).Reserve(c.Items[0]); n != nil {
				got = n.Name
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

// TestHeldWorker checks who may still use a worker that is held back: 20 cores
// are held for 20 s, the task that waits needs 28.
func TestHeldWorker(t *testing.T) {
	urgent := task(2, time.Hour)
	urgent.Urgent = true
	cases := []struct {
		name  string
		other model.Task
		want  filter.Reason
	}{
		{"ends before", task(10, 10*time.Second), filter.None},
		{"fits beside", task(4, time.Hour), filter.None},
		{"would delay it", task(5, time.Hour), filter.HeldBack},
		{"urgent", urgent, filter.None},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := model.Compile(aged([]model.Worker{worker("a", held(20, 20*time.Second))}, task(28, time.Minute), tc.other))
			n := New(c).Reserve(c.Items[0])
			assert.Equal(t, n.Name, "a")
			assert.Equal(t, filter.Check(c, c.Items[1], n, c.Items[1].Need).String(), tc.want.String())
		})
	}
}

// TestFewAreHeld: at most one worker in eight, so that many big tasks do not stop
// all others.
func TestFewAreHeld(t *testing.T) {
	var workers []model.Worker
	var tasks []model.Task
	for i := range 2 * workersPerReservation {
		workers = append(workers, worker(string(rune('a'+i)), held(10, time.Minute)))
		tasks = append(tasks, task(30, time.Minute))
	}
	c := model.Compile(aged(workers, tasks...))
	k := New(c)
	kept := 0
	for _, item := range c.Items {
		if k.Reserve(item) != nil {
			kept++
		}
	}
	assert.Equal(t, kept, 2)
}
