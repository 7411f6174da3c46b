package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/agent/colocation"
)

func contenderNamed(t *testing.T, name string) contender {
	t.Helper()
	for _, c := range contenders() {
		if c.name == name {
			return c
		}
	}
	t.Fatalf("no contender %s", name)
	return contender{}
}

// TestRunIsDeterministic: the same seed gives the same run.
func TestRunIsDeterministic(t *testing.T) {
	d := Deployments()[1]
	a, b := runOne(d, 1, contenderNamed(t, own)), runOne(d, 1, contenderNamed(t, own))
	assert.Equal(t, a.Work, b.Work)
	assert.Equal(t, a.Finished, b.Finished)
	allA, waveA := a.Slowdown()
	allB, waveB := b.Slowdown()
	assert.Check(t, allA == allB && waveA == waveB)
}

// TestTargets holds the targets for latency and throughput on one seed.
func TestTargets(t *testing.T) {
	d := Deployments()[1]
	top, got := runOne(d, 1, contenderNamed(t, best)), runOne(d, 1, contenderNamed(t, own))
	_, wave := got.Slowdown()
	assert.Check(t, wave <= targetSlowdown, "p99 in a noisy wave %.3fx", wave)
	assert.Check(t, got.Work >= targetThroughput*top.Work, "work %.3f of the oracle's", got.Work/top.Work)
}

// TestAgentControl walks the agent's control through a slow phase.
func TestAgentControl(t *testing.T) {
	c, policy := newAgentControl(), colocation.DefaultPolicy()
	young := policy.MinRun - 10*time.Second
	view := WorkerView{Target: 100 * time.Millisecond, P99: 150 * time.Millisecond, Samples: 1000, LoadMilli: 500, ShareMilli: colocation.FullShare, Tasks: []TaskView{
		{Index: 0, JobID: "a", Ran: time.Minute, Unsaved: time.Minute, CPUMilli: 2000},
		{Index: 1, JobID: "b", Ran: time.Minute, Unsaved: 10 * time.Second, CPUMilli: 2000},
		{Index: 2, JobID: "c", Ran: young, CPUMilli: 2000},
		{Index: 3, JobID: "d", Ran: time.Minute, Unsaved: 10 * time.Second, CPUMilli: 1000},
	}}
	evicted := 0
	for second := 100; second < 120 && evicted == 0; second++ {
		view.Second = second
		d := c.Decide(view)
		assert.Check(t, d.ShareMilli <= view.ShareMilli)
		view.ShareMilli = d.ShareMilli
		evicted = len(d.Evict)
		if evicted > 0 {
			assert.DeepEqual(t, d.Evict, []int{1})
			assert.Equal(t, d.ShareMilli, policy.FloorMilli, "throttled before it evicts")
		}
	}
	assert.Equal(t, evicted, 1)
	view.P99 = 50 * time.Millisecond
	view.Second += int(policy.Settle.Seconds()) + 1
	for range policy.LowRounds {
		view.Second++
		d := c.Decide(view)
		assert.Equal(t, len(d.Evict), 0)
		view.ShareMilli = d.ShareMilli
	}
	assert.Check(t, view.ShareMilli > policy.FloorMilli)
}

// TestAgentControlDecidesTwiceASecond: the agent throttles by half after two high
// rounds, so a whole second of them is enough, and the world takes the share on.
func TestAgentControlDecidesTwiceASecond(t *testing.T) {
	view := WorkerView{Target: 100 * time.Millisecond, P99: 120 * time.Millisecond, Samples: 1000, ShareMilli: colocation.FullShare,
		Tasks: []TaskView{{JobID: "a", CPUMilli: 1000}}}
	c := newAgentControl()
	assert.Equal(t, c.Decide(view).ShareMilli, uint32(colocation.FullShare/2))
	view.Samples = 0
	view.Second, view.ShareMilli = 10, colocation.FullShare/2
	assert.Equal(t, c.Decide(view).ShareMilli, uint32(colocation.FullShare/2), "no answers: nothing changes")
}

// TestServiceTargets: all rules but one give one figure at any load, and that
// from a whole run lies within what the loads alone give.
func TestServiceTargets(t *testing.T) {
	d := Deployments()[1]
	load := newServiceLoad(rand.New(rand.NewPCG(1, 1)))
	for _, rule := range []func(Deployment, serviceLoad) targetRule{aloneTarget, usualTarget, highestTarget} {
		assert.Equal(t, rule(d, load)(0.1), rule(d, load)(highestLoad))
	}
	present, whole := presentTarget(d, load), aloneTarget(d, load)(0.1)
	assert.Check(t, whole > present(0) && whole < present(highestLoad))
	assert.Equal(t, usualTarget(d, load)(0.1), present(usualLoad))
	assert.Equal(t, highestTarget(d, load)(0.1), present(highestLoad))
	assert.Check(t, present(0.1) < present(highestLoad))
}
