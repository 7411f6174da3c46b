package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"chervilridge/internal/request/pick"
)

func caseNamed(t *testing.T, name string) Case {
	t.Helper()
	for _, c := range Cases() {
		if c.Name == name {
			return c
		}
	}
	t.Fatalf("no case %q", name)
	return Case{}
}

// TestSameSeedSameResults checks that equal seeds give equal results and another seed gives
// others.
func TestSameSeedSameResults(t *testing.T) {
	d, c := Deployments()[0], caseNamed(t, "one dead, refuses 60%")
	one := Simulate(d, c, pick.NameNearTwoChoices, Options{Seed: 1, ReplyLoad: true})
	two := Simulate(d, c, pick.NameNearTwoChoices, Options{Seed: 1, ReplyLoad: true})
	other := Simulate(d, c, pick.NameNearTwoChoices, Options{Seed: 2, ReplyLoad: true})
	assert.Check(t, one.latencies.Equals(two.latencies))
	assert.Equal(t, one.Retries, two.Retries)
	assert.Check(t, !one.latencies.Equals(other.latencies))
}

// TestDefaultMeetsIdealTarget checks the default policy of the entry against the target
// ratio to the ideal queue, in the cases where the policies differ most.
func TestDefaultMeetsIdealTarget(t *testing.T) {
	d := Deployments()[1]
	for _, name := range []string{"one 10x slower 60%", "like work 95%", "noisy wave 60%"} {
		c := caseNamed(t, name)
		o := Options{Seed: 1, ReplyLoad: true}
		got := ratio(Simulate(d, c, pick.NameNearLeastTime, o), SimulateIdeal(d, c, o))
		assert.Check(t, got <= maxOverIdeal, "%s: p99 is %.2f times that of the ideal queue", name, got)
	}
}

// TestEveryRequestIsCounted checks that the simulation neither loses nor duplicates a
// request: the policies and the ideal queue finish the same number of requests.
func TestEveryRequestIsCounted(t *testing.T) {
	d, c := Deployments()[0], caseNamed(t, "one dead, silent 60%")
	o := Options{Seed: 1}
	ideal := SimulateIdeal(d, c, o)
	for _, policy := range []string{pick.NameRandom, pick.NameNearLeastTime} {
		f := Simulate(d, c, policy, o)
		assert.Equal(t, f.Requests, ideal.Requests, policy)
		assert.Equal(t, f.latencies.TotalCount(), int64(f.Requests), policy)
	}
}
