package model

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Node is a worker with what the plan has put on it so far.
type Node struct {
	Worker
	// Free is what may still be reserved.
	Free Amount
	// Usable is the capacity that the ramp of its data centre allows.
	Usable Amount
	// Excess is the natural logarithm of the predicted slowdown of its service.
	Excess float64
	// Tasks is the number of batch tasks on it, by class and in all.
	ByClass []uint16
	Tasks   int
	// CentreIndex and RackIndex are positions in the cluster's counts; Out is
	// that of the data centre.
	CentreIndex int
	RackIndex   int
	Out         bool
	profile     int
	measured    float64 // natural logarithm of the measured slowdown
	owned       bool    // Held is the plan's own copy
	classOf     []int   // class of each task held at first
	// HeldFor is the task that the node is held back for; Spare is what is free
	// beside it and HeldUntil when it is expected to find room.
	HeldFor   *Item
	Spare     Amount
	HeldUntil time.Duration
}

// Item is a waiting task with the positions of its class and team.
type Item struct {
	Task
	ClassIndex int
	TeamIndex  int
	// Aged is set for a task that has waited so long that it may hold back a worker.
	Aged bool
	// Avoid are the workers on which it failed, as long as there are others.
	Avoid []string
}

// ClassState is a class with its use so far and where it runs.
type ClassState struct {
	Class
	PerCentre []int
	PerRack   []int
}

// TeamState is a team with its use so far.
type TeamState struct{ Team }

// Cluster is the working state of one plan. One goroutine uses it.
type Cluster struct {
	Nodes   []*Node // by name
	Items   []*Item
	Classes []*ClassState
	Teams   []*TeamState
	Policy  Policy
	// Total is the capacity of all workers whose data centre is in service.
	Total   Amount
	Centres int
	Racks   int

	effects [][]Effect // by profile and class
	probing []int      // by class: workers with a task of an unknown pair

	mostGrowth float64
}

// profile is what decides how a class affects a worker's service.
type profile struct {
	service string
	band    uint32
}

// rack names a rack; racks of different data centres may share a name.
type rack struct{ centre, name string }

// Compile makes the working state of a snapshot.
func Compile(s Snapshot) *Cluster {
	b := builder{
		cluster: &Cluster{Policy: s.Policy.WithDefaults()},
		classes: map[string]int{}, teams: map[string]int{}, centres: map[string]int{}, racks: map[rack]int{},
		profiles: map[profile]int{}, out: map[string]DataCentre{},
	}
	b.cluster.mostGrowth = math.Log(b.cluster.Policy.MaxSlowdown)
	b.addRows(s)
	b.addTasks(s)
	b.addNodes(s)
	b.addEffects(s.Effects)
	b.addAvoided()
	b.count()
	return b.cluster
}

type builder struct {
	cluster  *Cluster
	classes  map[string]int
	teams    map[string]int
	centres  map[string]int
	racks    map[rack]int
	profiles map[profile]int
	out      map[string]DataCentre
}

func (b *builder) addRows(s Snapshot) {
	for _, c := range s.Classes {
		b.cluster.Classes[b.class(c.Name)].Class = c
	}
	for _, t := range s.Teams {
		b.cluster.Teams[b.team(t.Name)].Team = t
	}
	for _, d := range s.DataCentres {
		b.out[d.Name] = d
	}
}

func (b *builder) class(name string) int {
	i, ok := b.classes[name]
	if !ok {
		i = len(b.cluster.Classes)
		b.classes[name] = i
		b.cluster.Classes = append(b.cluster.Classes, &ClassState{Class: Class{Name: name}})
	}
	return i
}

func (b *builder) team(name string) int {
	i, ok := b.teams[name]
	if !ok {
		i = len(b.cluster.Teams)
		b.teams[name] = i
		b.cluster.Teams = append(b.cluster.Teams, &TeamState{Team{Name: name}})
	}
	return i
}

func (b *builder) addTasks(s Snapshot) {
	items := make([]Item, len(s.Tasks))
	b.cluster.Items = make([]*Item, len(s.Tasks))
	for i, t := range s.Tasks {
		items[i] = Item{
			Task: t, ClassIndex: b.class(t.Class), TeamIndex: b.team(t.Team),
			Aged: s.NowMs-t.Since > b.cluster.Policy.ReserveAfter.Milliseconds(),
		}
		b.cluster.Items[i] = &items[i]
	}
}

func (b *builder) addNodes(s Snapshot) {
	order := make([]*Worker, len(s.Workers))
	held := 0
	for i := range s.Workers {
		order[i] = &s.Workers[i]
		held += len(s.Workers[i].Held)
	}
	slices.SortFunc(order, func(x, y *Worker) int { return strings.Compare(x.Name, y.Name) })
	classOf := make([]int, 0, held)
	for _, w := range order {
		for i := range w.Held {
			classOf = append(classOf, b.class(w.Held[i].Class))
		}
	}
	kinds := len(b.cluster.Classes)
	nodes := make([]Node, len(order))
	b.cluster.Nodes = make([]*Node, len(order))
	counts := make([]uint16, len(order)*kinds)
	for i, w := range order {
		n := &nodes[i]
		n.ByClass, counts = counts[:kinds], counts[kinds:]
		n.classOf, classOf = classOf[:len(w.Held)], classOf[len(w.Held):]
		b.fill(n, w)
		b.cluster.Nodes[i] = n
	}
	b.cluster.Centres, b.cluster.Racks = len(b.centres), len(b.racks)
}

func (b *builder) fill(n *Node, w *Worker) {
	n.Worker, n.Tasks = *w, len(w.Held)
	n.CentreIndex = index(b.centres, w.DataCentre)
	n.RackIndex = index(b.racks, rack{w.DataCentre, w.Rack})
	n.profile = index(b.profiles, profile{w.Service, w.LoadBand})
	if w.Slowdown > 0 {
		n.measured = math.Log(w.Slowdown)
	}
	centre, known := b.out[w.DataCentre]
	n.Out = centre.Out
	n.Usable = w.Capacity
	if known && centre.Share < 1 {
		n.Usable = w.Capacity.Scale(centre.Share)
	}
	var reserved Amount
	for i := range w.Held {
		reserved = reserved.Add(w.Held[i].Reserved)
		n.ByClass[n.classOf[i]]++
	}
	// A usage report lags: what started after it is counted on top of it.
	committed := reserved.Max(w.Measured.Add(w.Unseen))
	n.Free = w.Capacity.Sub(committed)
	n.Usable = n.Usable.Sub(committed)
	if !n.Out {
		b.cluster.Total = b.cluster.Total.Add(w.Capacity)
	}
}

func index[K comparable](m map[K]int, key K) int {
	i, ok := m[key]
	if !ok {
		i = len(m)
		m[key] = i
	}
	return i
}

func (b *builder) addEffects(e Effects) {
	c := b.cluster
	c.effects = make([][]Effect, len(b.profiles))
	for p, i := range b.profiles {
		c.effects[i] = make([]Effect, len(c.Classes))
		for k, class := range c.Classes {
			if e == nil || p.service == "" {
				c.effects[i][k] = Effect{Samples: c.Policy.ProbeSamples}
				continue
			}
			c.effects[i][k] = e.Effect(p.service, class.Name, p.band)
		}
	}
}

// addAvoided keeps each task from the workers on which it failed, unless no other
// worker that is ready could take it.
func (b *builder) addAvoided() {
	for _, t := range b.cluster.Items {
		if len(t.FailedOn) > 0 && slices.ContainsFunc(b.cluster.Nodes, t.elsewhere(b.cluster)) {
			t.Avoid = t.FailedOn
		}
	}
}

func (t *Item) elsewhere(c *Cluster) func(*Node) bool {
	allowed := c.Classes[t.ClassIndex].DataCentres
	return func(n *Node) bool {
		return n.Ready && !n.Quarantined && !n.Out && t.Floor.Within(n.Capacity) &&
			!slices.Contains(t.FailedOn, n.Name) &&
			(len(allowed) == 0 || slices.Contains(allowed, n.DataCentre))
	}
}

// count fills what depends on the running tasks.
func (b *builder) count() {
	c := b.cluster
	c.probing = make([]int, len(c.Classes))
	counts := make([]int, len(c.Classes)*(c.Centres+c.Racks))
	for _, class := range c.Classes {
		class.PerCentre, counts = counts[:c.Centres], counts[c.Centres:]
		class.PerRack, counts = counts[:c.Racks], counts[c.Racks:]
	}
	for _, n := range c.Nodes {
		for i, k := range n.classOf {
			n.Excess += c.excess(n, k, n.Held[i].Reserved)
			c.Classes[k].PerCentre[n.CentreIndex]++
			c.Classes[k].PerRack[n.RackIndex]++
		}
		for k, tasks := range n.ByClass {
			if tasks > 0 && !c.Known(n, k) {
				c.probing[k]++
			}
		}
	}
}

func (c *Cluster) excess(n *Node, class int, a Amount) float64 {
	return c.effects[n.profile][class].Excess * share(a.CPUMilli, n.Capacity.CPUMilli)
}

// Known reports whether enough was measured of the class beside the node's service.
func (c *Cluster) Known(n *Node, class int) bool {
	return c.effects[n.profile][class].Samples >= c.Policy.ProbeSamples
}

// Probing returns on how many workers the class runs beside a service that it
// is unknown to.
func (c *Cluster) Probing(class int) int { return c.probing[class] }

// Growth returns the natural logarithm of the predicted slowdown of the node's
// service with the task added. What is measured counts if it is worse than what
// the model says.
func (c *Cluster) Growth(n *Node, t *Item, need Amount) float64 {
	return max(n.Excess, n.measured) + c.excess(n, t.ClassIndex, need)
}

// TooSlow reports whether a growth is above what the policy allows.
func (c *Cluster) TooSlow(growth float64) bool { return growth > c.mostGrowth }

// Reserve returns what the task reserves on the node: its need, cut to the
// worker's capacity as long as that is no less than the floor.
func (c *Cluster) Reserve(t *Item, n *Node) Amount {
	if t.Floor.Within(n.Capacity) {
		return t.Need.Min(n.Capacity).Max(t.Floor)
	}
	return t.Need
}

// Place puts the task on the node.
func (c *Cluster) Place(t *Item, n *Node, need Amount) {
	k := t.ClassIndex
	if n.ByClass[k] == 0 && !c.Known(n, k) {
		c.probing[k]++
	}
	n.Free = n.Free.Sub(need)
	n.Usable = n.Usable.Sub(need)
	n.Spare = n.Spare.Sub(need)
	n.Excess += c.excess(n, k, need)
	n.ByClass[k]++
	n.Tasks++
	if !n.owned {
		n.Held, n.owned = slices.Clip(n.Held), true
	}
	n.Held = append(n.Held, Held{Class: t.Class, Reserved: need, Remaining: t.RunTime})
	class, team := c.Classes[k], c.Teams[t.TeamIndex]
	class.PerCentre[n.CentreIndex]++
	class.PerRack[n.RackIndex]++
	class.Running, class.Used = class.Running+1, class.Used.Add(need)
	team.Running, team.Used = team.Running+1, team.Used.Add(need)
}
