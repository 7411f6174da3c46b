// Package matrix brings each fault about at each step of a task's life, on a
// small system in this process: real agents, owners and ledger, the platform's
// stand-ins, and gRPC on loopback. The verdict is the recorder's, not a speed.
package matrix

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/shard"
)

const (
	mainJob   = "main"
	sideJob   = "side"
	mainTasks = 16
	sideTasks = 2

	mainPayload = `{"run_ms":120}`
	sidePayload = `{"run_ms":700}`

	readyWait   = 20 * time.Second
	meetWait    = 10 * time.Second
	settleWait  = 60 * time.Second
	checkPeriod = 5 * time.Millisecond
)

// Cell is one fault at one step.
type Cell struct {
	Fault Fault
	Step  Step
}

// Verdict is what became of a cell.
type Verdict struct {
	Cell Cell
	// Outcome is "ok", "FAIL", "n/a" or "not exercised".
	Outcome string
	Detail  string
	Took    time.Duration
}

// Cells returns the whole matrix.
func Cells() []Cell {
	var out []Cell
	for _, f := range Faults {
		for _, s := range Steps {
			out = append(out, Cell{f, s})
		}
	}
	return out
}

// skipped returns why a cell does not run, or nothing.
func (cell Cell) skipped() (outcome, reason string) {
	if cell.Fault.NotApplicable != nil {
		if reason := cell.Fault.NotApplicable(cell.Step); reason != "" {
			outcome, reason, _ := strings.Cut(reason, ": ")
			return outcome, reason
		}
	}
	if _, ok := onWorker[cell.Step]; cell.Fault.Worker && !ok {
		return "n/a", "the step has no call on a worker of its own"
	}
	return "", ""
}

// Run runs one cell.
func Run(ctx context.Context, cell Cell) Verdict {
	began := time.Now()
	if outcome, reason := cell.skipped(); outcome != "" {
		return Verdict{Cell: cell, Outcome: outcome, Detail: reason}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := newCluster(ctx)
	if err != nil {
		return Verdict{Cell: cell, Outcome: "FAIL", Detail: err.Error()}
	}
	defer c.close()
	outcome, detail := c.run(cell)
	return Verdict{Cell: cell, Outcome: outcome, Detail: detail, Took: time.Since(began)}
}

func (c *cluster) close() {
	for _, n := range c.all() {
		n.kill()
	}
	c.pool.Close()
}

func (c *cluster) run(cell Cell) (outcome, detail string) {
	if !c.until(readyWait, c.ready) {
		return "FAIL", "the system did not come up"
	}
	step := cell.Step
	if cell.Fault.Worker {
		step = onWorker[step]
	}
	arm := func() {
		c.arm(step, func(at Step, node string) directive { return cell.Fault.Strike(c, at, node) })
	}
	c.provoke(cell.Step, arm)
	select {
	case <-c.met:
	case <-time.After(meetWait):
		return "not exercised", "the step was not reached"
	}
	if !c.until(settleWait, c.settled) {
		return "FAIL", "not settled: " + c.describe()
	}
	if v := c.verify(); len(v) > 0 {
		return "FAIL", strings.Join(v, "; ")
	}
	if cell.Fault.Name == faultRetention && !c.gap.Load() {
		return "not exercised", "the paused owner had read everything"
	}
	return "ok", ""
}

// provoke submits work and leads it to the step; arm is called just before.
func (c *cluster) provoke(step Step, arm func()) {
	if early[step] {
		arm()
	}
	c.submitJob(sideJob, sideTasks, sidePayload)
	switch step {
	case StepClaim:
		c.submitJob(mainJob, mainTasks, mainPayload)
		arm()
		c.replace(c.owner())
	case StepEvict, StepRelease, StepResume:
		arm()
		c.submitJob(mainJob, mainTasks, mainPayload)
		c.until(meetWait, func() bool { return c.evict(1) > 0 })
	case StepCancel, StepStop:
		c.submitJob(mainJob, mainTasks, mainPayload)
		c.until(meetWait, func() bool { return c.runs(sideJob) })
		arm()
		c.cancelJob(sideJob)
	case StepConfigure:
		c.submitJob(mainJob, mainTasks, mainPayload)
		arm()
		c.setOut(true)
		c.sleep(drainTime)
		c.setOut(false)
	default:
		c.submitJob(mainJob, mainTasks, mainPayload)
	}
}

// early holds the steps whose fault meets the first task, one of the long ones.
var early = map[Step]bool{StepAssign: true, StepStart: true, StepRenew: true, StepCheckpoint: true, StepComplete: true}

func (c *cluster) until(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); c.sleep(checkPeriod) {
		if ok() {
			return true
		}
	}
	return false
}

func (c *cluster) ready() bool {
	ready := false
	c.state.View(func(s *shard.State) { ready = len(s.Workers()) == len(names) })
	return ready
}

func (c *cluster) runs(job string) bool {
	for _, w := range c.workers {
		for key := range w.Running() {
			if key.JobID == job {
				return true
			}
		}
	}
	return false
}

// running returns the number of attempts that run now.
func (c *cluster) running() int {
	n := 0
	for _, w := range c.workers {
		n += len(w.Running())
	}
	return n
}

// settled reports whether every task has ended in the ledger and none runs.
func (c *cluster) settled() bool {
	ended := true
	c.state.View(func(s *shard.State) {
		for _, id := range []string{mainJob, sideJob} {
			job := s.Job(id)
			if job == nil {
				ended = false
				continue
			}
			for _, t := range job.Tasks {
				ended = ended && final[t.State]
			}
		}
	})
	for _, w := range c.workers {
		ended = ended && len(w.Running()) == 0
	}
	return ended
}

var final = map[pb.TaskState]bool{
	pb.TaskState_TASK_STATE_FINISHED: true, pb.TaskState_TASK_STATE_CANCELLED: true, pb.TaskState_TASK_STATE_FAILED: true,
}

func (c *cluster) describe() string {
	var out []string
	c.state.View(func(s *shard.State) {
		for _, id := range s.Jobs() {
			for _, t := range s.Job(id).Tasks {
				if !final[t.State] {
					out = append(out, fmt.Sprintf("%s/%d %s attempt %d on %s", id, t.Index, t.State, t.Attempt, t.Worker))
				}
			}
		}
	})
	return strings.Join(append(out, c.recorder.Violations()...), ", ")
}

// verify compares the ledger with what must hold at the end.
func (c *cluster) verify() []string {
	c.state.View(func(s *shard.State) {
		c.verifyJob(s.Job(mainJob), mainPayload)
		c.verifyJob(s.Job(sideJob), sidePayload)
	})
	return c.recorder.Violations()
}

func (c *cluster) verifyJob(job *pb.Job, payload string) {
	for _, t := range job.Tasks {
		switch {
		case t.State == pb.TaskState_TASK_STATE_FINISHED:
			want := fmt.Sprintf("%s/%d:%016x", job.Id, t.Index, xxhash.Sum64String(payload))
			c.recorder.CheckResult(job.Id, t.Index, []byte(want))
		case t.State != pb.TaskState_TASK_STATE_CANCELLED || !job.Cancelled:
			c.note(fmt.Sprintf("task %s/%d ended as %s: %s", job.Id, t.Index, t.State, t.Reason))
		}
	}
}

func (c *cluster) note(violation string) { c.recorder.Violate(violation) }

// submitJob enters a job and repeats under the same id until it is in the ledger.
func (c *cluster) submitJob(id string, tasks uint32, payload string) {
	req := &pb.SubmitJobRequest{JobId: id, Spec: &pb.JobSpec{
		Team: "t", JobClass: "c", Tasks: tasks, DurationMs: 1000, Payload: []byte(payload),
		Resources: &pb.Resources{CpuMilli: 1000, MemoryMb: 100},
	}}
	c.ask(func(ctx context.Context, owner pb.ShardOwnerServiceClient) (*pb.LedgerReply, error) {
		return owner.SubmitJob(ctx, req)
	})
}

func (c *cluster) cancelJob(id string) {
	c.ask(func(ctx context.Context, owner pb.ShardOwnerServiceClient) (*pb.LedgerReply, error) {
		return owner.CancelJobs(ctx, &pb.CancelJobsRequest{JobIds: []string{id}})
	})
}

// ask repeats a call to the owner until it is in the log.
func (c *cluster) ask(call func(context.Context, pb.ShardOwnerServiceClient) (*pb.LedgerReply, error)) {
	for c.ctx.Err() == nil {
		if n := c.owner(); n != nil && c.askOnce(n, call) {
			return
		}
		c.sleep(poll)
	}
}

func (c *cluster) askOnce(n *node, call func(context.Context, pb.ShardOwnerServiceClient) (*pb.LedgerReply, error)) bool {
	conn, err := c.pool.Get(n.address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	reply, err := call(ctx, pb.NewShardOwnerServiceClient(conn))
	return err == nil && reply.Outcome == pb.Outcome_OUTCOME_DONE
}

// RunAll runs cells, up to parallel at once, and returns the verdicts in order.
func RunAll(ctx context.Context, cells []Cell, parallel int) []Verdict {
	out := make([]Verdict, len(cells))
	slots := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i, cell := range cells {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			out[i] = Run(ctx, cell)
		})
	}
	wg.Wait()
	return out
}

// Table renders the verdicts with one row for each fault.
func Table(verdicts []Verdict) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-20s", "fault \\ step")
	for _, s := range Steps {
		fmt.Fprintf(&b, " %-11s", s)
	}
	row := ""
	for _, v := range verdicts {
		if v.Cell.Fault.Name != row {
			row = v.Cell.Fault.Name
			fmt.Fprintf(&b, "\n%-20s", row)
		}
		fmt.Fprintf(&b, " %-11s", strings.Replace(v.Outcome, "not exercised", "not run", 1))
	}
	return b.String() + "\n"
}
