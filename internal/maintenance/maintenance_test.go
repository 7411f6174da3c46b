package maintenance

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilridge/internal/operatorconfig"
)

func TestDecide(t *testing.T) {
	up := Machine{Available: true}
	cases := []struct {
		name     string
		cap      int
		machines []Machine
		want     Decision
	}{
		{"drains as many as may be unavailable", 2, []Machine{up, up, up}, Decision{Drain: []string{"0", "1"}}},
		{"tasks that still run delay maintenance", 2, []Machine{{Available: true, Draining: true}, up}, Decision{Drain: []string{"1"}}},
		{"a drained machine starts maintenance", 1, []Machine{{Available: true, Draining: true, Drained: true}, up}, Decision{StartMaintenance: []string{"0"}}},
		{"a machine in maintenance takes a slot", 1, []Machine{{MaintenanceOrdered: true}, {Available: true, Draining: true, Drained: true}, up}, Decision{}},
		{"a machine that is down for another reason takes a slot", 1, []Machine{{}, up}, Decision{}},
		{"the next is drained after one is back", 1, []Machine{{MaintenanceOrdered: true, Available: true}, up}, Decision{Drain: []string{"1"}}},
		{"completed once all are done or removed", 1, []Machine{{MaintenanceOrdered: true, Available: true}, {Removed: true}}, Decision{Completed: true}},
		{"not completed while the last is in maintenance", 1, []Machine{{MaintenanceOrdered: true}}, Decision{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for i := range c.machines {
				c.machines[i].Name = fmt.Sprint(i)
			}
			assert.DeepEqual(t, Decide(operatorconfig.Wave{MaxDown: c.cap}, c.machines), c.want)
		})
	}
}

// Every wave must end, and never may more machines be unavailable than it allows.
func TestWavesEndWithinTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := make([]Machine, rapid.IntRange(1, 12).Draw(t, "machines"))
		wave := operatorconfig.Wave{MaxDown: rapid.IntRange(1, 4).Draw(t, "cap")}
		for i := range machines {
			machines[i] = Machine{Name: fmt.Sprint(i), Available: true}
		}
		for round := range 400 {
			d := Decide(wave, machines)
			if d.Completed {
				return
			}
			for _, name := range d.Drain {
				machines[index(name)].Draining = true
			}
			for _, name := range d.StartMaintenance {
				machines[index(name)].MaintenanceOrdered, machines[index(name)].Available = true, false
			}
			unavailable := 0
			for i := range machines {
				if !machines[i].Available {
					unavailable++
				}
			}
			assert.Assert(t, unavailable <= wave.MaxDown)
			for _, i := range []int{round % len(machines), rapid.IntRange(0, len(machines)-1).Draw(t, "which")} {
				machines[i].Drained = machines[i].Drained || machines[i].Draining
				machines[i].Available = true
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
