package matrix

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/shard"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/standin/worker"
)

const parallelCells = 8

// TestMatrix runs every fault at every step. A cell that was not exercised is
// printed as such and is not counted as passed.
func TestMatrix(t *testing.T) {
	began := time.Now()
	verdicts := RunAll(t.Context(), Cells(), parallelCells)
	fmt.Print(Table(verdicts))
	counts, reasons := map[string]int{}, map[string]bool{}
	for _, v := range verdicts {
		counts[v.Outcome]++
		switch v.Outcome {
		case "ok":
		case "n/a":
			reasons[fmt.Sprintf("n/a, %s: %s", v.Cell.Fault.Name, v.Detail)] = true
		case "not exercised":
			reasons[fmt.Sprintf("not exercised, %s at %s: %s", v.Cell.Fault.Name, v.Cell.Step, v.Detail)] = true
		default:
			t.Errorf("%s at %s: %s", v.Cell.Fault.Name, v.Cell.Step, v.Detail)
		}
	}
	for r := range reasons {
		fmt.Println(r)
	}
	fmt.Println(counts, time.Since(began).Round(time.Second))
	assert.Check(t, counts["ok"] > 0)
}

// TestLongOutage takes the log away for longer than a grant while long tasks run:
// they are checkpointed and stopped in time and resume once, from there.
func TestLongOutage(t *testing.T) {
	const tasks, runsFor = 12, `{"run_ms":3000}`
	c, err := newCluster(t.Context())
	assert.NilError(t, err)
	defer c.close()
	assert.Assert(t, c.until(readyWait, c.ready))
	c.submitJob(mainJob, tasks, runsFor)
	assert.Assert(t, c.until(readyWait, func() bool { return c.running() == tasks }))
	c.store.SetFaults(logstore.Faults{Down: true})
	assert.Assert(t, c.until(settleWait, func() bool { return c.running() == 0 }), "attempts outlive their grants")
	c.sleep(lease)
	c.store.SetFaults(logstore.Faults{})
	c.submitJob(sideJob, 1, sidePayload)
	assert.Assert(t, c.until(settleWait, c.settled), c.describe())
	c.state.View(func(s *shard.State) {
		c.verifyJob(s.Job(mainJob), runsFor)
		for _, task := range s.Job(mainJob).Tasks {
			assert.Check(t, resumed(task), "task %d: %v", task.Index, task.History)
		}
	})
	assert.Equal(t, len(c.recorder.Violations()), 0, "%v", c.recorder.Violations())
}

// resumed reports whether the task was stopped with a checkpoint and then
// finished.
func resumed(task *pb.Task) bool {
	kept := false
	for _, e := range task.History {
		kept = kept || (strings.HasPrefix(e.What, "released: lost") && strings.Contains(e.Detail, "checkpoint of"))
	}
	return kept && task.State == pb.TaskState_TASK_STATE_FINISHED
}

// TestBlackHole lets one worker fail everything at once: every task is done by
// the others, and the worker is not asked over and over.
func TestBlackHole(t *testing.T) {
	c, err := newCluster(t.Context())
	assert.NilError(t, err)
	defer c.close()
	assert.Assert(t, c.until(readyWait, c.ready))
	c.workers["n1"].SetFaults(worker.Faults{BlackHole: true})
	c.submitJob(sideJob, 1, sidePayload)
	c.submitJob(mainJob, mainTasks, mainPayload)
	assert.Assert(t, c.until(settleWait, c.settled), c.describe())
	assert.Equal(t, len(c.verify()), 0, "%v", c.recorder.Violations())
	failures := uint32(0)
	c.state.View(func(s *shard.State) {
		for _, id := range s.Jobs() {
			for _, task := range s.Job(id).Tasks {
				failures += task.Failures
			}
		}
	})
	t.Logf("%d failed attempts of %d tasks", failures, mainTasks+1)
	assert.Check(t, failures <= 2*(mainTasks+1), "%d failed attempts", failures)
}
