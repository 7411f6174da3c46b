package placement

import (
	"testing"

	"gotest.tools/v3/assert"
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

// TestThresholdControl walks the modelled control through a slow phase.
func TestThresholdControl(t *testing.T) {
	c := &thresholdControl{}
	view := WorkerView{Second: 100, Slowdown: 1.5, Share: 1, Tasks: []TaskView{
		{Index: 0, Ran: 50, Lost: 100, Cores: 2}, {Index: 1, Ran: 50, Lost: 10, Cores: 2},
		{Index: 2, Ran: 5, Cores: 2}, {Index: 3, Ran: 50, Cores: 2, Urgent: true},
	}}
	evicted := 0
	for second := 100; second < 120 && evicted == 0; second++ {
		view.Second = second
		d := c.Decide(view)
		assert.Check(t, d.Share <= view.Share)
		view.Share = d.Share
		evicted = len(d.Evict)
		if evicted > 0 {
			assert.DeepEqual(t, d.Evict, []int{1})
			assert.Check(t, d.Share <= lowestShare)
		}
	}
	assert.Equal(t, evicted, 1)
	view.Slowdown = 1
	view.Second += releaseAfter + 1
	assert.Check(t, c.Decide(view).Share > view.Share)
}
