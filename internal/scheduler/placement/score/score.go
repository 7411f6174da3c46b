// Package score rates the workers that can take a task.
package score

import "chervilridge/internal/scheduler/placement/model"

// Weights of the parts. The service beside the worker comes first: one step of
// its slowdown outweighs all that the other parts can give.
const (
	growthStep     = 0.02 // slowdowns within one step of their logarithm count as equal
	slowdownWeight = 10.0
	spreadWeight   = 2.0 // each of racks and data centres
	headroomWeight = 1.0
)

// Rate returns the score of the node for the task; higher is better.
func Rate(c *model.Cluster, t *model.Item, n *model.Node, need model.Amount) float64 {
	return spreadWeight*spread(c, t, n) + headroomWeight*headroom(n, need) - slowdownWeight*slowdown(c, t, n, need)
}

// slowdown returns the predicted slowdown of the service in whole steps.
func slowdown(c *model.Cluster, t *model.Item, n *model.Node, need model.Amount) float64 {
	if n.Service == "" {
		return 0
	}
	return float64(int(c.Growth(n, t, need) / growthStep))
}

// spread is 2 for a rack and a data centre without the class, less the more of
// the class's tasks they hold.
func spread(c *model.Cluster, t *model.Item, n *model.Node) float64 {
	class := c.Classes[t.ClassIndex]
	running := float64(class.Running) + 1
	return 2 - float64(class.PerCentre[n.CentreIndex])/running - float64(class.PerRack[n.RackIndex])/running
}

// headroom returns the share of the worker that stays free in its scarcest kind.
func headroom(n *model.Node, need model.Amount) float64 {
	return 1 - n.Capacity.Sub(n.Free).Add(need).DominantShare(n.Capacity)
}
