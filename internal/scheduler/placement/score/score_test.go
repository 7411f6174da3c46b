package score

import (
	"testing"

	"gotest.tools/v3/assert"

	"chervilridge/internal/scheduler/placement/model"
)

type byBand []float64

func (b byBand) Effect(_, _ string, band uint32) model.Effect {
	return model.Effect{Excess: b[band], Samples: 100}
}

// TestRate compares two workers; the first must win.
func TestRate(t *testing.T) {
	whole := model.Amount{CPUMilli: 32_000, MemoryMB: 125_000}
	need := model.Amount{CPUMilli: 4_000, MemoryMB: 4_000}
	held := func(class string, tasks int) (out []model.Held) {
		for range tasks {
			out = append(out, model.Held{Class: class, Reserved: need})
		}
		return out
	}
	cases := []struct {
		name         string
		better       model.Worker
		worse        model.Worker
		other        []model.Worker
		effectByBand byBand
	}{
		{
			name:         "less interference wins over headroom",
			better:       model.Worker{Service: "s", LoadBand: 0, Held: held("other", 4)},
			worse:        model.Worker{Service: "s", LoadBand: 1},
			effectByBand: byBand{0, 2},
		},
		{
			name:         "measured slowdown counts",
			better:       model.Worker{Service: "s", Slowdown: 1, Held: held("other", 2)},
			worse:        model.Worker{Service: "s", Slowdown: 1.1},
			effectByBand: byBand{0.1},
		},
		{name: "headroom", better: model.Worker{Held: held("other", 1)}, worse: model.Worker{Held: held("other", 3)}},
		{
			name: "rack without the class", better: model.Worker{Rack: "r2", Held: held("other", 2)}, worse: model.Worker{Rack: "r1"},
			other: []model.Worker{{Name: "x", Rack: "r1", Held: held("c", 3)}},
		},
		{
			name: "data centre without the class", better: model.Worker{DataCentre: "b", Held: held("other", 2)}, worse: model.Worker{DataCentre: "a"},
			other: []model.Worker{{Name: "x", DataCentre: "a", Rack: "r9", Held: held("c", 3)}},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.better.Name, tc.worse.Name = "better", "worse"
			workers := append([]model.Worker{tc.better, tc.worse}, tc.other...)
			for i := range workers {
				workers[i].Capacity = whole
			}
			s := model.Snapshot{Workers: workers, Tasks: []model.Task{{Class: "c", Need: need, Floor: need}}}
			if tc.effectByBand != nil {
				s.Effects = tc.effectByBand
			}
			c := model.Compile(s)
			rates := map[string]float64{}
			for _, n := range c.Nodes {
				rates[n.Name] = Rate(c, c.Items[0], n, need)
			}
			assert.Check(t, rates["better"] > rates["worse"], "%v", rates)
		})
	}
}
