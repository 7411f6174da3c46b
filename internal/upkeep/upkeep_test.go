package upkeep

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilridge/internal/catalog"
)

func TestDecide(t *testing.T) {
	up := Machine{Up: true}
	cases := []struct {
		name     string
		cap      int
		machines []Machine
		want     Decision
	}{
		{"as many are emptied as may be away", 2, []Machine{up, up, up}, Decision{Reserve: []string{"0", "1"}}},
		{"what runs there keeps it", 2, []Machine{{Up: true, Emptying: true}, up}, Decision{Reserve: []string{"1"}}},
		{"an empty one begins", 1, []Machine{{Up: true, Emptying: true, Empty: true}, up}, Decision{Begin: []string{"0"}}},
		{"one in upkeep takes a place", 1, []Machine{{Begun: true}, {Up: true, Emptying: true, Empty: true}, up}, Decision{}},
		{"one that is down for another cause takes a place", 1, []Machine{{}, up}, Decision{}},
		{"the next after one is back", 1, []Machine{{Begun: true, Up: true}, up}, Decision{Reserve: []string{"1"}}},
		{"all had theirs", 1, []Machine{{Begun: true, Up: true}, {Missing: true}}, Decision{Completed: true}},
		{"the last is not back yet", 1, []Machine{{Begun: true}}, Decision{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for i := range c.machines {
				c.machines[i].Name = fmt.Sprint(i)
			}
			assert.DeepEqual(t, Decide(catalog.Wave{MaxDown: c.cap}, c.machines), c.want)
		})
	}
}

// Any wave ends, and never are more machines away than it allows.
func TestWavesEndWithinTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := make([]Machine, rapid.IntRange(1, 12).Draw(t, "machines"))
		wave := catalog.Wave{MaxDown: rapid.IntRange(1, 4).Draw(t, "cap")}
		for i := range machines {
			machines[i] = Machine{Name: fmt.Sprint(i), Up: true}
		}
		for round := range 400 {
			d := Decide(wave, machines)
			if d.Completed {
				return
			}
			for _, name := range d.Reserve {
				machines[index(name)].Emptying = true
			}
			for _, name := range d.Begin {
				machines[index(name)].Begun, machines[index(name)].Up = true, false
			}
			away := 0
			for i := range machines {
				if !machines[i].Up {
					away++
				}
			}
			assert.Assert(t, away <= wave.MaxDown)
			for _, i := range []int{round % len(machines), rapid.IntRange(0, len(machines)-1).Draw(t, "which")} {
				machines[i].Empty = machines[i].Empty || machines[i].Emptying
				machines[i].Up = true
			}
		}
		t.Fatal("the wave does not end")
	})
}

func index(name string) int {
	var i int
	_, _ = fmt.Sscan(name, &i)
	return i
}
