package fairness

import (
	"testing"

	"gotest.tools/v3/assert"

	"chervilridge/internal/scheduler/placement/model"
	"chervilridge/internal/shard"
)

var (
	whole = model.Amount{CPUMilli: 100_000, MemoryMB: 100_000}
	cpu   = model.Amount{CPUMilli: 10_000, MemoryMB: 1_000}
	mem   = model.Amount{CPUMilli: 1_000, MemoryMB: 10_000}
)

func task(job, team, class string, need model.Amount, since int64) model.Task {
	return model.Task{Ref: shard.TaskRef{JobID: job}, Team: team, Class: class, Need: need, Floor: need, Since: since}
}

func many(n int, job, team, class string, need model.Amount) (out []model.Task) {
	for i := range n {
		t := task(job, team, class, need, 1)
		t.Ref.Index = uint32(i)
		out = append(out, t)
	}
	return out
}

// drain takes the first tasks off the queue, placing each.
func drain(s model.Snapshot, n int) map[string]int {
	s.Workers = []model.Worker{{Name: "w", Capacity: whole, Ready: true}}
	c := model.Compile(s)
	q := New(c)
	got := map[string]int{}
	for range n {
		t := q.Next()
		c.Place(t, c.Nodes[0], t.Need)
		got[t.Ref.JobID]++
	}
	return got
}

// TestOrder checks whose tasks come first.
func TestOrder(t *testing.T) {
	urgent := task("urgent", "rich", "u", cpu, 9)
	urgent.Urgent = true
	cases := []struct {
		name string
		snap model.Snapshot
		take int
		want map[string]int
	}{
		{"equal weights share equally", model.Snapshot{
			Tasks: append(many(20, "a", "x", "c", cpu), many(20, "b", "y", "c", cpu)...),
		}, 8, map[string]int{"a": 4, "b": 4}},
		{"weights", model.Snapshot{
			Tasks: append(many(20, "a", "x", "c", cpu), many(20, "b", "y", "d", cpu)...),
			Teams: []model.Team{{Name: "x", Weight: 3}, {Name: "y", Weight: 1}},
		}, 8, map[string]int{"a": 6, "b": 2}},
		{"the dominant resource counts", model.Snapshot{
			Tasks: append(many(20, "a", "x", "c", cpu), many(20, "b", "y", "d", mem)...),
		}, 10, map[string]int{"a": 5, "b": 5}},
		{"what runs already counts", model.Snapshot{
			Tasks: append(many(20, "a", "x", "c", cpu), many(20, "b", "y", "d", cpu)...),
			Teams: []model.Team{{Name: "x", Used: model.Amount{CPUMilli: 40_000}}},
		}, 4, map[string]int{"b": 4}},
		{"classes of one team by weight", model.Snapshot{
			Tasks:   append(many(20, "a", "x", "c", cpu), many(20, "b", "x", "d", cpu)...),
			Classes: []model.Class{{Name: "c", Weight: 1}, {Name: "d", Weight: 3}},
		}, 8, map[string]int{"a": 2, "b": 6}},
		{"urgent first, whatever the team holds", model.Snapshot{
			Tasks: append(many(3, "a", "x", "c", cpu), urgent),
			Teams: []model.Team{{Name: "rich", Used: model.Amount{CPUMilli: 90_000}}},
		}, 1, map[string]int{"urgent": 1}},
		{"oldest first within a class", model.Snapshot{
			Tasks: []model.Task{task("new", "x", "c", cpu, 5), task("old", "x", "c", cpu, 2)},
		}, 1, map[string]int{"old": 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.DeepEqual(t, drain(tc.snap, tc.take), tc.want)
		})
	}
}

// TestLimits checks each hard limit at its edge, also for urgent work.
func TestLimits(t *testing.T) {
	cases := []struct {
		name  string
		team  model.Team
		class model.Class
		want  Denial
	}{
		{"none", model.Team{}, model.Class{}, Granted},
		{"team below its limit", model.Team{Limit: 2, Running: 1}, model.Class{}, Granted},
		{"team at its limit", model.Team{Limit: 2, Running: 2}, model.Class{}, TeamLimit},
		{"team's quota just enough", model.Team{Quota: model.Amount{CPUMilli: 10_000}}, model.Class{}, Granted},
		{"team's quota used", model.Team{Quota: model.Amount{CPUMilli: 10_000}, Used: model.Amount{CPUMilli: 1}}, model.Class{}, TeamQuota},
		{"class at its limit", model.Team{}, model.Class{Limit: 1, Running: 1}, ClassLimit},
		{"class's quota used", model.Team{}, model.Class{Quota: model.Amount{MemoryMB: 999}}, ClassQuota},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.team.Name, tc.class.Name = "x", "c"
			w := task("j", "x", "c", cpu, 0)
			w.Urgent = true
			c := model.Compile(model.Snapshot{Teams: []model.Team{tc.team}, Classes: []model.Class{tc.class}, Tasks: []model.Task{w}})
			assert.Equal(t, Check(c, c.Items[0], cpu), tc.want)
		})
	}
}
