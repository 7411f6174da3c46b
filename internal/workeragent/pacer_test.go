package workeragent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/boottime"
	"chervilridge/internal/interference"
	"chervilridge/platform"
)

func TestPaceGoalsKeepTheHeadroom(t *testing.T) {
	model := interference.New()
	model.SetSlope(interference.Pair{Serving: "s", BestEffort: "heavy"}, 2)
	model.SetSlope(interference.Pair{Serving: "s", BestEffort: "light"}, 0)
	// Usage is a share of the worker: at full pace, the heavy image takes a headroom of
	// 2 x 0.5.
	colocated := func(headroom, heavyUsage float64) colocation {
		return colocation{
			bestEffort: map[string][]runKey{"heavy": nil, "light": nil}, usage: map[string]float64{"heavy": heavyUsage, "light": 1},
			fullPaceUsage: map[string]float64{"heavy": 0.5, "light": 1}, serving: []servingRun{{image: "s", headroom: headroom, soloHeadroom: headroom + 2*heavyUsage}},
		}
	}
	cases := []struct {
		name                 string
		headroom, heavyUsage float64
		heavy                float64
	}{
		{"plenty of headroom", 3, 0.5, 100},
		{"half the pace leaves the goal", headroomGoal - 0.5, 0.5, 50},
		{"from a halt, as far as the headroom goes", headroomGoal + 0.25, 0, 25},
		{"nothing is left", headroomGoal - 1, 0.5, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			goals := colocated(c.headroom, c.heavyUsage).paceGoals(model)
			assert.Assert(t, goals["heavy"] > c.heavy-0.01 && goals["heavy"] < c.heavy+0.01 || c.heavy == 100 && goals["heavy"] >= 100, "%v", goals)
			assert.Equal(t, goals["light"], float64(fullPace), "a harmless image keeps its pace")
		})
	}
}

func TestUnexplainedMissSlowsAll(t *testing.T) {
	co := colocation{
		bestEffort: map[string][]runKey{"f": nil}, usage: map[string]float64{"f": 0.1}, fullPaceUsage: map[string]float64{"f": 0.1}, serving: []servingRun{{image: "s", headroom: 0.5, soloHeadroom: 0.5}},
	}
	harmless := interference.New()
	harmless.SetSlope(interference.Pair{Serving: "s", BestEffort: "f"}, 0)
	assert.Equal(t, co.paceGoals(harmless)["f"], 25.0, "slowed although the model takes the image to be harmless")
	assert.Assert(t, co.paceGoals(interference.New())["f"] <= 25, "an unknown pair is slowed at least as much")
}

func TestPaceFallsAtOnceAndRisesInSteps(t *testing.T) {
	now := boottime.Instant(time.Hour)
	p := &pacer{percent: fullPace, changedAt: now.Add(-time.Minute)}
	assert.Equal(t, p.update(now, 20, false), uint32(20))
	assert.Equal(t, p.update(now.Add(100*time.Millisecond), 90, false), uint32(20), "no raise before the last change has settled")
	now = now.Add(settleTime)
	assert.Equal(t, p.update(now, 90, false), uint32(40))
	assert.Equal(t, p.update(now.Add(time.Millisecond), 4, false), uint32(0), "a pace below minPace is a halt")
}

func TestLongTargetMissHaltsBestEffort(t *testing.T) {
	now := boottime.Instant(time.Hour)
	p := &pacer{percent: fullPace}
	assert.Equal(t, p.update(now, 100, true), uint32(0))
	assert.Equal(t, p.update(now.Add(settleTime), 100, false), uint32(0), "a halt lasts for minHaltTime")
	assert.Equal(t, p.update(now.Add(minHaltTime), 100, false), uint32(firstPace))
}

// Guards against harm to an exempt run: a serving run was exempt for 3 s after a halt,
// and best-effort runs that started meanwhile harmed it for longer than the platform
// allows. The exemption must end once the run's own load no longer makes it miss its
// target.
func TestExemptionEndsWithItsCause(t *testing.T) {
	model := interference.New()
	model.SetSlope(interference.Pair{Serving: "s", BestEffort: "f"}, 5)
	a := NewAgent(&platform.NodeSettings{}, noopWorker{}, boottime.Now)
	a.model = model
	now := boottime.Instant(time.Hour)
	key := runKey{"t", 1}
	info := runInfo{targetMs: 100, image: "s"}
	co := colocation{bestEffort: map[string][]runKey{"f": nil}, usage: map[string]float64{}, fullPaceUsage: map[string]float64{"f": 0.2}}
	a.observeServing(key, info, platform.Run{Gauge: 140}, co, false, now)
	serving := a.observeServing(key, info, platform.Run{Gauge: 140}, co, true, now.Add(haltAllAfter+haltSettleTime))
	assert.Assert(t, serving.exempt, "it misses its target by its own load")
	co.usage["f"] = 0.2 // best-effort runs work again, and the load has fallen
	serving = a.observeServing(key, info, platform.Run{Gauge: 110}, co, false, now.Add(haltAllAfter+haltSettleTime+200*time.Millisecond))
	assert.Assert(t, !serving.exempt)
	co.serving = []servingRun{serving}
	assert.Assert(t, co.mustHalt(model, "f"), "it has missed its target for too long already")
}
