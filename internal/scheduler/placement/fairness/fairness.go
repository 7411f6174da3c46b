// Package fairness orders the waiting tasks: urgent work first, then by weighted
// dominant-resource fairness over teams, over the job classes of a team, and by
// age within a class. Limits of teams and classes hold for urgent work too.
package fairness

import (
	"slices"
	"strings"

	"chervilridge/internal/scheduler/placement/model"
)

// Denial is why a task must wait whatever workers there are; empty if it need not.
type Denial string

// Denials.
const (
	Granted    Denial = ""
	TeamLimit  Denial = "the team runs as many tasks as its limit allows"
	TeamQuota  Denial = "the team's quota does not leave enough"
	ClassLimit Denial = "the job class runs as many tasks as its limit allows"
	ClassQuota Denial = "the job class's quota does not leave enough"
)

// Queue hands out the waiting tasks in order. The order follows what the cluster
// holds at each call, so each placement counts at once.
type Queue struct {
	cluster *model.Cluster
	tiers   [2][]*teamQueue // urgent first
}

type teamQueue struct {
	team    *model.TeamState
	classes []*classQueue
}

type classQueue struct {
	class *model.ClassState
	items []*model.Item
}

// New returns a queue of the cluster's items.
func New(c *model.Cluster) *Queue {
	items := slices.Clone(c.Items)
	slices.SortFunc(items, compare)
	q := &Queue{cluster: c}
	teams := map[teamKey]*teamQueue{}
	classes := map[classKey]*classQueue{}
	for _, t := range items {
		q.add(t, teams, classes)
	}
	return q
}

type teamKey struct{ tier, team int }

type classKey struct {
	teamKey
	class int
}

func (q *Queue) add(t *model.Item, teams map[teamKey]*teamQueue, classes map[classKey]*classQueue) {
	tier := 1
	if t.Urgent {
		tier = 0
	}
	tk := teamKey{tier, t.TeamIndex}
	ck := classKey{tk, t.ClassIndex}
	if teams[tk] == nil {
		teams[tk] = &teamQueue{team: q.cluster.Teams[t.TeamIndex]}
		q.tiers[tier] = append(q.tiers[tier], teams[tk])
	}
	if classes[ck] == nil {
		classes[ck] = &classQueue{class: q.cluster.Classes[t.ClassIndex]}
		teams[tk].classes = append(teams[tk].classes, classes[ck])
	}
	classes[ck].items = append(classes[ck].items, t)
}

func compare(a, b *model.Item) int {
	switch {
	case a.Since < b.Since:
		return -1
	case a.Since > b.Since:
		return 1
	}
	if d := strings.Compare(a.Ref.JobID, b.Ref.JobID); d != 0 {
		return d
	}
	return int(a.Ref.Index) - int(b.Ref.Index)
}

// Next returns the next task, or nil after the last one.
func (q *Queue) Next() *model.Item {
	for tier := range q.tiers {
		if t := q.next(tier); t != nil {
			return t
		}
	}
	return nil
}

func (q *Queue) next(tier int) *model.Item {
	at := q.poorestTeam(q.tiers[tier])
	if at < 0 {
		return nil
	}
	team := q.tiers[tier][at]
	k := q.poorestClass(team.classes)
	class := team.classes[k]
	t := class.items[0]
	class.items = class.items[1:]
	if len(class.items) == 0 {
		team.classes = slices.Delete(team.classes, k, k+1)
	}
	if len(team.classes) == 0 {
		q.tiers[tier] = slices.Delete(q.tiers[tier], at, at+1)
	}
	return t
}

// poorestTeam returns the team with the least dominant share for its weight;
// the first in order of arrival wins a tie.
func (q *Queue) poorestTeam(teams []*teamQueue) int {
	best, least := -1, 0.0
	for i, t := range teams {
		if s := weighted(t.team.Used, q.cluster.Total, t.team.Weight); best < 0 || s < least {
			best, least = i, s
		}
	}
	return best
}

func (q *Queue) poorestClass(classes []*classQueue) int {
	best, least := -1, 0.0
	for i, c := range classes {
		if s := weighted(c.class.Used, q.cluster.Total, c.class.Weight); best < 0 || s < least {
			best, least = i, s
		}
	}
	return best
}

func weighted(used, total model.Amount, weight uint32) float64 {
	return used.DominantShare(total) / float64(max(weight, 1))
}

// Check returns why the limits of the task's team and class do not allow it
// with the given reservation.
func Check(c *model.Cluster, t *model.Item, need model.Amount) Denial {
	team, class := c.Teams[t.TeamIndex], c.Classes[t.ClassIndex]
	switch {
	case team.Limit > 0 && team.Running >= team.Limit:
		return TeamLimit
	case !team.Used.Add(need).WithinQuota(team.Quota):
		return TeamQuota
	case class.Limit > 0 && class.Running >= class.Limit:
		return ClassLimit
	case !class.Used.Add(need).WithinQuota(class.Quota):
		return ClassQuota
	}
	return Granted
}
