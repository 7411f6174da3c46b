package matrix

import (
	"context"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/standin/worker"
	"chervilridge/internal/table"
)

// Step is a step of the protocol.
type Step string

// Steps, and the calls on a worker within some of them.
const (
	StepClaim      Step = "claim"
	StepAssign     Step = "assign"
	StepStart      Step = "start"
	StepRenew      Step = "renew"
	StepCheckpoint Step = "checkpoint"
	StepEvict      Step = "evict"
	StepRelease    Step = "release"
	StepResume     Step = "resume"
	StepComplete   Step = "complete"
	StepCancel     Step = "cancel"
	StepStop       Step = "stop"
	StepConfigure  Step = "configure"

	StepWorkerStart  Step = "worker start"
	StepWorkerRenew  Step = "worker renew"
	StepWorkerResume Step = "worker resume"
)

// Steps lists the steps in order of a task's life.
var Steps = []Step{
	StepClaim, StepAssign, StepStart, StepRenew, StepCheckpoint, StepEvict,
	StepRelease, StepResume, StepComplete, StepCancel, StepStop, StepConfigure,
}

// onWorker maps a step to the call on the worker within it.
var onWorker = map[Step]Step{
	StepStart: StepWorkerStart, StepRenew: StepWorkerRenew, StepResume: StepWorkerResume,
	StepCheckpoint: StepCheckpoint, StepEvict: StepEvict,
}

const (
	downTime  = 200 * time.Millisecond // of a killed process
	outage    = grant + lease          // of the log, longer than a grant
	pauseTime = 5 * lease / 2          // of a paused process
	cutTime   = 2 * grant
	slowTime  = time.Second
	// lateTime is longer than an owner waits for a silent agent.
	lateTime  = startAllowance + grant + grant/5 + 400*time.Millisecond
	drainTime = time.Second
)

// Fault is one kind of trouble.
type Fault struct {
	Name string
	// Strike brings the trouble about when a call of a node at a step meets it
	// and says what becomes of that call.
	Strike func(c *cluster, step Step, node string) directive
	// Worker means that the trouble lies in a call on a worker.
	Worker bool
	// NotApplicable gives the reason why a step has no such fault.
	NotApplicable func(step Step) string
}

const faultRetention = "retention passed"

// Faults lists the faults of the design page.
var Faults = []Fault{
	{Name: "kill agent", Strike: killAgent},
	{Name: "kill instance", Strike: killInstance},
	{Name: "kill owner", Strike: killOwner},
	{Name: "pause owner", Strike: pauseOwner},
	{Name: "pause agent", Strike: pauseAgent},
	{Name: "cut", Strike: cutAgent},
	{Name: "one-way silence", Strike: muteAgent},
	{Name: "slow", Strike: slowAll},
	{Name: "answer lost", Strike: func(*cluster, Step, string) directive { return directive{loseAnswer: true} }},
	{Name: "late delivery", Strike: deliverLate},
	{Name: "doubled", Strike: func(*cluster, Step, string) directive { return directive{double: true} }},
	{Name: "worker answer lost", Worker: true, Strike: func(*cluster, Step, string) directive { return directive{loseAnswer: true} }},
	{Name: "worker late effect", Worker: true, Strike: func(*cluster, Step, string) directive { return directive{late: true} }},
	{Name: "worker doubled", Worker: true, Strike: func(*cluster, Step, string) directive { return directive{double: true} }},
	{Name: "clock step", Strike: stepClock},
	{Name: "log down long", Strike: logDown},
	{Name: faultRetention, Strike: passRetention},
	{Name: "restart all", Strike: restartAll},
	{Name: "two operators", Strike: twoOperators, NotApplicable: notConfigure},
	{Name: "drain and takeover", Strike: drainAndTakeover, NotApplicable: notConfigure},
	{Name: "drain and pause", Strike: drainAndPause, NotApplicable: notConfigure},
	{Name: "cancel races", Strike: cancelRaces},
	{Name: "eviction races", Strike: evictionRaces},
}

func notConfigure(step Step) string {
	if step == StepConfigure {
		return "n/a: the step is itself an operator's change, see answer lost and doubled there"
	}
	return ""
}

// target returns the agent at the step; the operator's step hits the first one.
func (c *cluster) target(node string) *node {
	if n := c.node(node); n != nil {
		return n
	}
	return c.node(names[0])
}

func killAgent(c *cluster, _ Step, node string) directive {
	c.replace(c.target(node))
	return directive{}
}

func killInstance(c *cluster, _ Step, node string) directive {
	n := c.target(node)
	w := c.workers[n.name]
	w.SetFaults(worker.Faults{Dead: true})
	time.AfterFunc(downTime, w.Reset)
	c.replace(n)
	return directive{}
}

func killOwner(c *cluster, step Step, node string) directive {
	c.replace(c.ownerAt(step, node))
	return directive{}
}

// ownerAt returns the owner; at a claim that is the node that claims.
func (c *cluster) ownerAt(step Step, node string) *node {
	if n := c.owner(); n != nil && step != StepClaim {
		return n
	}
	return c.target(node)
}

// replace kills a process, once, and starts its next life after a while.
func (c *cluster) replace(n *node) {
	if !n.gate.die() {
		return
	}
	go func() {
		n.kill()
		c.sleep(downTime)
		if c.ctx.Err() == nil {
			_ = c.startNode(n.name)
		}
	}()
}

func (c *cluster) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}

func pauseOwner(c *cluster, step Step, node string) directive {
	c.hold(c.ownerAt(step, node))
	return directive{}
}

func pauseAgent(c *cluster, _ Step, node string) directive {
	c.hold(c.target(node))
	return directive{}
}

func (c *cluster) hold(n *node) {
	n.gate.pause()
	time.AfterFunc(pauseTime, n.gate.resume)
}

func cutAgent(c *cluster, _ Step, node string) directive {
	g := c.target(node).gate
	g.set(func(g *gate) { g.cut = true })
	time.AfterFunc(cutTime, func() { g.set(func(g *gate) { g.cut = false }) })
	return directive{}
}

func muteAgent(c *cluster, _ Step, node string) directive {
	g := c.target(node).gate
	g.set(func(g *gate) { g.mute = true })
	time.AfterFunc(cutTime, func() { g.set(func(g *gate) { g.mute = false }) })
	return directive{}
}

// deliverLate keeps one message back until its sender has given it up, and cuts
// its receiver off meanwhile, so that nobody can ask about it.
func deliverLate(c *cluster, _ Step, node string) directive {
	g := c.target(node).gate
	g.set(func(g *gate) { g.cut = true })
	time.AfterFunc(lateTime, func() { g.set(func(g *gate) { g.cut = false }) })
	return directive{hold: lateTime}
}

func slowAll(c *cluster, _ Step, _ string) directive {
	c.slow.Store(true)
	time.AfterFunc(slowTime, func() { c.slow.Store(false) })
	return directive{}
}

func stepClock(c *cluster, _ Step, _ string) directive {
	c.stepped.Store(true)
	return directive{}
}

func logDown(c *cluster, _ Step, _ string) directive {
	c.store.SetFaults(logstore.Faults{Down: true})
	time.AfterFunc(outage, func() { c.store.SetFaults(logstore.Faults{}) })
	return directive{}
}

// passRetention pauses the owner while the log forgets what it has not read yet.
// It wakes up with a gap and takes its state from a snapshot.
func passRetention(c *cluster, step Step, node string) directive {
	n := c.ownerAt(step, node)
	n.gate.pause()
	go func() {
		c.sleep(pauseTime)
		if err := c.forget(n); err != nil {
			c.note(err.Error())
		}
		n.gate.resume()
	}()
	return directive{}
}

func restartAll(c *cluster, _ Step, _ string) directive {
	for _, n := range c.all() {
		c.replace(n)
	}
	return directive{}
}

// twoOperators lets two operators change the same row at the same version.
func twoOperators(c *cluster, _ Step, _ string) directive {
	base := c.rowVersion()
	var wg sync.WaitGroup
	accepted := make(chan bool, 2)
	for range 2 {
		wg.Go(func() {
			v, err := c.operator.Commit(c.ctx, changeRecord(true, base))
			accepted <- err == nil && v.Rejection == nil
		})
	}
	go func() {
		wg.Wait()
		if a, b := <-accepted, <-accepted; a && b {
			c.note("both operators won on the same version of a row")
		}
		c.sleep(drainTime)
		c.setOut(false)
	}()
	return directive{}
}

func drainAndTakeover(c *cluster, step Step, node string) directive {
	go c.drain()
	return killOwner(c, step, node)
}

func drainAndPause(c *cluster, step Step, node string) directive {
	go c.drain()
	return pauseOwner(c, step, node)
}

func (c *cluster) drain() {
	c.setOut(true)
	c.sleep(drainTime)
	c.setOut(false)
}

// cancelRaces cancels the side job right now.
func cancelRaces(c *cluster, _ Step, _ string) directive {
	go c.cancelJob(sideJob)
	return directive{}
}

// evictionRaces evicts whatever runs, also what is about to complete.
func evictionRaces(c *cluster, _ Step, _ string) directive {
	go c.evict(len(names) * workerCPU)
	return directive{}
}

// evict stops up to count running attempts the way the control of the
// co-location does, those of the long tasks first; it returns how many it tried.
func (c *cluster) evict(count int) int {
	tried := 0
	for _, job := range []string{sideJob, mainJob} {
		for _, n := range c.all() {
			for key := range c.workers[n.name].Running() {
				if key.JobID != job || tried == count {
					continue
				}
				tried++
				_ = n.grants.Evict(c.ctx, key)
			}
		}
	}
	return tried
}

func (c *cluster) rowVersion() uint64 {
	var v uint64
	c.rows.View(func(t *table.Table) { v = t.Row(pb.RowKind_ROW_KIND_DATA_CENTRE, drained).GetVersion() })
	return v
}

func changeRecord(out bool, base uint64) *pb.Record {
	return &pb.Record{Body: &pb.Record_DataCentreChange{DataCentreChange: &pb.DataCentreChange{
		Name: drained, Out: out, BaseVersion: base,
	}}}
}

// setOut changes the data centre and repeats until the change is in force.
func (c *cluster) setOut(out bool) {
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(c.ctx, time.Second)
		v, err := c.operator.Commit(ctx, changeRecord(out, c.rowVersion()))
		cancel()
		if err == nil && (v.Rejection == nil || v.Rejection.Reason != ledger.ReasonStaleVersion) {
			return
		}
		c.sleep(poll)
	}
}
