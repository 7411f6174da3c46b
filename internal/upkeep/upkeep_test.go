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
		{"drains as many as may be unavailable", 2, []Machine{up, up, up}, Decision{Reserve: []string{"0", "1"}}},
		{"tasks that still run delay maintenance", 2, []Machine{{Up: true, Emptying: true}, up}, Decision{Reserve: []string{"1"}}},
		{"a drained machine starts maintenance", 1, []Machine{{Up: true, Emptying: true, Empty: true}, up}, Decision{Begin: []string{"0"}}},
		{"a machine in maintenance takes a slot", 1, []Machine{{Begun: true}, {Up: true, Emptying: true, Empty: true}, up}, Decision{}},
		{"a machine that is down for another reason takes a slot", 1, []Machine{{}, up}, Decision{}},
		{"the next is drained after one is back", 1, []Machine{{Begun: true, Up: true}, up}, Decision{Reserve: []string{"1"}}},
		{"completed once all are done or removed", 1, []Machine{{Begun: true, Up: true}, {Missing: true}}, Decision{Completed: true}},
		{"not completed while the last is in maintenance", 1, []Machine{{Begun: true}}, Decision{}},
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

// Every wave must end, and never may more machines be unavailable than it allows.
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
			unavailable := 0
			for i := range machines {
				if !machines[i].Up {
					unavailable++
				}
			}
			assert.Assert(t, unavailable <= wave.MaxDown)
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
