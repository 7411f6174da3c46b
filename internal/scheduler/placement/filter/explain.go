package filter

import (
	"fmt"
	"strings"

	"chervilridge/internal/scheduler/placement/model"
)

// Possible reports whether some worker could take the task when empty, whatever
// state it is in now.
func Possible(c *model.Cluster, t *model.Item) bool {
	for _, n := range c.Nodes {
		if t.Floor.Within(n.Capacity) && Allowed(c, t, n) {
			return true
		}
	}
	return false
}

// Impossible says why no worker could ever take the task: it names the closest
// worker and what that lacks.
func Impossible(c *model.Cluster, t *model.Item) string {
	var closest *model.Node
	lack := 0.0
	for _, n := range c.Nodes {
		if !Allowed(c, t, n) {
			continue
		}
		if d := t.Floor.DominantShare(n.Capacity) + kinds(t.Floor, n.Capacity); closest == nil || d < lack {
			closest, lack = n, d
		}
	}
	if closest == nil {
		return "no worker is in a data centre that the job class may use: " + strings.Join(c.Classes[t.ClassIndex].DataCentres, ", ")
	}
	return fmt.Sprintf("no worker is large enough: the closest is %s, which lacks %s of %s",
		closest.Name, t.Floor.Missing(closest.Capacity), t.Floor)
}

// kinds counts the kinds of resources that the capacity lacks altogether.
func kinds(need, capacity model.Amount) float64 {
	if need.Accelerators > 0 && capacity.Accelerators == 0 {
		return float64(need.Accelerators)
	}
	return 0
}

// Explain says in one line why no worker took the task.
func (t Tally) Explain() string {
	var parts []string
	total := 0
	for r, n := range t {
		if n > 0 && Reason(r) != None {
			parts = append(parts, fmt.Sprintf("%d %s", n, Reason(r)))
			total += n
		}
	}
	if total == 0 {
		return "no worker is known"
	}
	return fmt.Sprintf("none of %d workers: %s", total, strings.Join(parts, ", "))
}
