package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/boottime"
	"chervilridge/internal/interference"
	"chervilridge/platform"
)

func TestGoalsKeepTheHeadroom(t *testing.T) {
	model := interference.New()
	model.SetSlope(interference.Pair{Serving: "s", BestEffort: "heavy"}, 2)
	model.SetSlope(interference.Pair{Serving: "s", BestEffort: "light"}, 0)
	// Uses are in shares of the worker: the heavy image takes 2 x 0.5 at full pace.
	beside := func(headroom, heavyUse float64) neighbours {
		return neighbours{
			fills: map[string][]runKey{"heavy": nil, "light": nil}, use: map[string]float64{"heavy": heavyUse, "light": 1},
			full: map[string]float64{"heavy": 0.5, "light": 1}, serving: []servingRun{{image: "s", headroom: headroom, alone: headroom + 2*heavyUse}},
		}
	}
	cases := []struct {
		name               string
		headroom, heavyUse float64
		heavy              float64
	}{
		{"plenty of headroom", 3, 0.5, 100},
		{"half the pace leaves the goal", goal - 0.5, 0.5, 50},
		{"from a halt, as far as the headroom goes", goal + 0.25, 0, 25},
		{"nothing is left", goal - 1, 0.5, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			goals := beside(c.headroom, c.heavyUse).goals(model)
			assert.Assert(t, goals["heavy"] > c.heavy-0.01 && goals["heavy"] < c.heavy+0.01 || c.heavy == 100 && goals["heavy"] >= 100, "%v", goals)
			assert.Equal(t, goals["light"], float64(fullPace), "a harmless image keeps its pace")
		})
	}
}

func TestUnexplainedMissSlowsAll(t *testing.T) {
	n := neighbours{
		fills: map[string][]runKey{"f": nil}, use: map[string]float64{"f": 0.1}, full: map[string]float64{"f": 0.1}, serving: []servingRun{{image: "s", headroom: 0.5, alone: 0.5}},
	}
	harmless := interference.New()
	harmless.SetSlope(interference.Pair{Serving: "s", BestEffort: "f"}, 0)
	assert.Equal(t, n.goals(harmless)["f"], 25.0, "whatever the model says")
	assert.Assert(t, n.goals(interference.New())["f"] <= 25, "a pair that is not known is slowed at least as much")
}

func TestPaceFallsAtOnceAndRisesInSteps(t *testing.T) {
	now := boottime.Instant(time.Hour)
	p := &pacer{level: fullPace, changed: now.Add(-time.Minute)}
	assert.Equal(t, p.decide(now, 20, false), uint32(20))
	assert.Equal(t, p.decide(now.Add(100*time.Millisecond), 90, false), uint32(20), "a change needs time to show")
	now = now.Add(settleTime)
	assert.Equal(t, p.decide(now, 90, false), uint32(40))
	assert.Equal(t, p.decide(now.Add(time.Millisecond), 4, false), uint32(0), "a pace below the least one is a halt")
}

func TestMissForTooLongHalts(t *testing.T) {
	now := boottime.Instant(time.Hour)
	p := &pacer{level: fullPace}
	assert.Equal(t, p.decide(now, 100, true), uint32(0))
	assert.Equal(t, p.decide(now.Add(settleTime), 100, false), uint32(0), "a halt lasts")
	assert.Equal(t, p.decide(now.Add(haltTime), 100, false), uint32(firstPace))
}

// A hunted seed broke HARM: a serving run was left out for 3 s after a halt, and filling
// runs that came then harmed it for longer than the platform allows. A run that is left
// out is seen again once its load alone no longer keeps it over its target.
func TestExcuseEndsWithItsCause(t *testing.T) {
	model := interference.New()
	model.SetSlope(interference.Pair{Serving: "s", BestEffort: "f"}, 5)
	a := NewAgent(&platform.NodeSettings{}, idleWorker{}, boottime.Now)
	a.model = model
	now := boottime.Instant(time.Hour)
	key := runKey{"t", 1}
	info := runInfo{target: 100, image: "s"}
	n := neighbours{fills: map[string][]runKey{"f": nil}, use: map[string]float64{}, full: map[string]float64{"f": 0.2}}
	a.watch(key, info, platform.Run{Gauge: 140}, n, false, now)
	seen := a.watch(key, info, platform.Run{Gauge: 140}, n, true, now.Add(haltAllAfter+clearAfter))
	assert.Assert(t, seen.excused, "its load alone keeps it over its target")
	n.use["f"] = 0.2 // at work again, while the load has fallen
	seen = a.watch(key, info, platform.Run{Gauge: 110}, n, false, now.Add(haltAllAfter+clearAfter+200*time.Millisecond))
	assert.Assert(t, !seen.excused)
	n.serving = []servingRun{seen}
	assert.Assert(t, n.halts(model, "f"), "it has missed its target for too long already")
}
