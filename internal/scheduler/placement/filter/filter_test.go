package filter

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chervilridge/internal/scheduler/placement/model"
)

// known is a table in which every pair has the same effect.
type known model.Effect

func (k known) Effect(string, string, uint32) model.Effect { return model.Effect(k) }

var (
	whole = model.Amount{CPUMilli: 32_000, MemoryMB: 125_000}
	small = model.Amount{CPUMilli: 4_000, MemoryMB: 8_000}
)

func fits() (model.Worker, model.Task, model.Snapshot) {
	w := model.Worker{Name: "w1", DataCentre: "a", Rack: "r", Capacity: whole, Ready: true}
	t := model.Task{Class: "c", Team: "t", Need: small, Floor: small}
	return w, t, model.Snapshot{}
}

// TestCheck covers each reason; the first row passes, each other one differs
// from it by the cause of its reason.
func TestCheck(t *testing.T) {
	service := func(w *model.Worker) { w.Service, w.Slowdown = "s", 1 }
	cases := []struct {
		name string
		edit func(*model.Worker, *model.Task, *model.Snapshot)
		want Reason
	}{
		{"fits", func(*model.Worker, *model.Task, *model.Snapshot) {}, None},
		{"silent worker gets nothing", func(w *model.Worker, _ *model.Task, _ *model.Snapshot) { w.Ready = false }, NotReady},
		{"quarantined", func(w *model.Worker, _ *model.Task, _ *model.Snapshot) { w.Quarantined = true }, Quarantined},
		{"data centre not allowed", func(_ *model.Worker, _ *model.Task, s *model.Snapshot) {
			s.Classes = []model.Class{{Name: "c", DataCentres: []string{"b"}}}
		}, DataCentreNotAllowed},
		{"data centre out", func(_ *model.Worker, _ *model.Task, s *model.Snapshot) {
			s.DataCentres = []model.DataCentre{{Name: "a", Out: true, Share: 1}}
		}, DataCentreOut},
		{"failed there, another is ready", func(_ *model.Worker, task *model.Task, s *model.Snapshot) {
			task.FailedOn = []string{"w1"}
			s.Workers = []model.Worker{{Name: "w2", DataCentre: "a", Capacity: whole, Ready: true}}
		}, FailedThere},
		{"failed there, no other is ready", func(_ *model.Worker, task *model.Task, s *model.Snapshot) {
			task.FailedOn = []string{"w1"}
			s.Workers = []model.Worker{{Name: "w2", DataCentre: "a", Capacity: whole}}
		}, None},
		{"on probation with a task", func(w *model.Worker, _ *model.Task, _ *model.Snapshot) {
			w.Probation, w.Held = true, []model.Held{{Class: "c", Reserved: small}}
		}, OnProbation},
		{"on probation and empty", func(w *model.Worker, _ *model.Task, _ *model.Snapshot) { w.Probation = true }, None},
		{"reserved", func(w *model.Worker, _ *model.Task, _ *model.Snapshot) {
			w.Held = []model.Held{{Class: "c", Reserved: model.Amount{CPUMilli: 30_000}}}
		}, NoRoom},
		{"used beyond what is reserved", func(w *model.Worker, _ *model.Task, _ *model.Snapshot) {
			w.Measured = model.Amount{CPUMilli: 30_000}
		}, NoRoom},
		{"starts that the usage report does not show yet", func(w *model.Worker, _ *model.Task, _ *model.Snapshot) {
			w.Measured, w.Unseen = model.Amount{CPUMilli: 16_000}, model.Amount{CPUMilli: 14_000}
			w.Held = []model.Held{{Class: "c", Reserved: model.Amount{CPUMilli: 22_000}}}
		}, NoRoom},
		{"data centre ramping up", func(_ *model.Worker, _ *model.Task, s *model.Snapshot) {
			s.DataCentres = []model.DataCentre{{Name: "a", Share: 0.1}}
		}, RampingUp},
		{"service would get slow", func(w *model.Worker, _ *model.Task, s *model.Snapshot) {
			service(w)
			s.Effects = known{Excess: 2, Samples: 100}
		}, ServiceSlow},
		{"service stays quick", func(w *model.Worker, _ *model.Task, s *model.Snapshot) {
			service(w)
			s.Effects = known{Excess: 1, Samples: 100}
		}, None},
		{"service is slow already", func(w *model.Worker, _ *model.Task, s *model.Snapshot) {
			service(w)
			w.Slowdown = 1.3
			s.Effects = known{Excess: 0, Samples: 100}
		}, ServiceSlow},
		{"agent throttles batch work there", func(w *model.Worker, _ *model.Task, s *model.Snapshot) {
			service(w)
			w.Throttled = true
			s.Effects = known{Excess: 0, Samples: 100}
		}, ServiceSlow},
		{"waited long and goes alone", func(w *model.Worker, task *model.Task, s *model.Snapshot) {
			service(w)
			s.NowMs = 100_000
			s.Effects = known{Excess: 9, Samples: 100}
		}, None},
		{"waited long but its class runs elsewhere", func(w *model.Worker, _ *model.Task, s *model.Snapshot) {
			service(w)
			s.NowMs = 100_000
			s.Effects = known{Excess: 9, Samples: 100}
			s.Classes = []model.Class{{Name: "c", Running: 1}}
		}, ServiceSlow},
		{"unknown pair probed once", func(w *model.Worker, _ *model.Task, s *model.Snapshot) {
			service(w)
			s.Effects = known{}
		}, None},
		{"unknown pair runs there already", func(w *model.Worker, _ *model.Task, s *model.Snapshot) {
			service(w)
			w.Held = []model.Held{{Class: "c", Reserved: small}}
			s.Effects = known{}
		}, UnknownPair},
		{"unknown pair, service is slow already", func(w *model.Worker, _ *model.Task, s *model.Snapshot) {
			service(w)
			w.Slowdown = 1.3
			s.Effects = known{}
		}, ServiceSlow},
		{"unknown pair beside a service without a latency", func(w *model.Worker, _ *model.Task, s *model.Snapshot) {
			service(w)
			w.Slowdown, w.Held = 0, []model.Held{{Class: "c", Reserved: small}}
			s.Effects = known{}
		}, None},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w, task, s := fits()
			tc.edit(&w, &task, &s)
			s.Tasks, s.Workers = []model.Task{task}, append([]model.Worker{w}, s.Workers...)
			c := model.Compile(s)
			assert.Equal(t, Check(c, c.Items[0], c.Nodes[0], c.Reserve(c.Items[0], c.Nodes[0])).String(), tc.want.String())
		})
	}
}

// TestImpossible names the closest worker and what it lacks.
func TestImpossible(t *testing.T) {
	big := model.Amount{CPUMilli: 40_000, MemoryMB: 1_000}
	cases := []struct {
		name    string
		floor   model.Amount
		allowed []string
		want    string
	}{
		{"processors", big, nil, "the closest is large, which lacks 8000 milli-cores"},
		{"accelerators", model.Amount{CPUMilli: 1, Accelerators: 2}, nil, "lacks 2 accelerators"},
		{"data centre", small, []string{"x"}, "no worker is in a data centre that the job class may use: x"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := model.Compile(model.Snapshot{
				Tasks:   []model.Task{{Class: "c", Need: tc.floor, Floor: tc.floor}},
				Classes: []model.Class{{Name: "c", DataCentres: tc.allowed}},
				Workers: []model.Worker{
					{Name: "little", DataCentre: "a", Capacity: model.Amount{CPUMilli: 16_000, MemoryMB: 63_000}},
					{Name: "large", DataCentre: "a", Capacity: whole},
				},
			})
			assert.Check(t, !Possible(c, c.Items[0]))
			got := Impossible(c, c.Items[0])
			assert.Check(t, strings.Contains(got, tc.want), got)
		})
	}
}
