package workeragent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/platform"
)

const task3 = "0000000000000003.0.0.0"

func (h *harness) setCapacity(sequence int64, cpuMilli, memoryMB, gpus uint32) {
	h.agent.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, Service: "desk", Sequence: sequence, CPUMilli: cpuMilli, MemoryMB: memoryMB, GPUs: gpus})
}

func (h *harness) startSized(task string, start *chervilv2.StartOrder) {
	start.Task, start.Attempt, start.WorkerId = task, 1, workerID
	h.order(&chervilv2.OwnerOrders{Starts: []*chervilv2.StartOrder{start}})
}

// The owner granted the run before it learned that the capacity has shrunk.
func TestStartBeyondAShrunkCapacityIsNotTried(t *testing.T) {
	small := func() *chervilv2.StartOrder { return &chervilv2.StartOrder{CpuMilli: 1000, MemoryMb: 1000, Gpus: 1} }
	for name, capacity := range map[string][3]uint32{"cpu": {1500, 9000, 9}, "memory": {9000, 1500, 9}, "gpus": {9000, 9000, 1}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, time.Minute)
			h.setCapacity(2, 9000, 9000, 9)
			h.waitListed()
			h.startSized(task1, small())
			h.waitRunning(1)
			h.setCapacity(3, capacity[0], capacity[1], capacity[2])
			h.startSized(task2, small())
			h.waitFor("not started", func(r *chervilv2.AgentReport) bool {
				return resultOf(r, task2) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
			})
			assert.Equal(t, h.worker.Running(), 1)
			h.setCapacity(4, 9000, 9000, 9)
			h.startSized(task3, small())
			h.waitRunning(2)
		})
	}
}

// The capacity may have shrunk while the agent was paused.
func TestNothingIsStartedByACapacityThatWasReportedLongAgo(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.waitListed()
	h.agent.node.Bounds.ReactionTime = 50 * time.Millisecond
	time.Sleep(2 * h.agent.node.Bounds.ReactionTime)
	h.start(task1, 1)
	h.waitFor("not started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	assert.Equal(t, h.worker.Running(), 0)
	h.agent.node.Bounds.ReactionTime = time.Minute
	h.start(task1, 2)
	h.waitRunning(1)
}

func TestBestEffortRunsTakeNoReservedCPU(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.setCapacity(2, 1500, 9000, 0)
	h.waitListed()
	h.startSized(task1, &chervilv2.StartOrder{CpuMilli: 1000, MemoryMb: 1000, Fills: true})
	h.startSized(task2, &chervilv2.StartOrder{CpuMilli: 1000, MemoryMb: 1000, Fills: true})
	h.startSized(task3, &chervilv2.StartOrder{CpuMilli: 1000, MemoryMb: 1000})
	h.waitRunning(3)
}

// A worker lists a run some time after it has answered its start.
func TestStartedRunCountsBeforeItIsListed(t *testing.T) {
	small := func() *chervilv2.StartOrder { return &chervilv2.StartOrder{CpuMilli: 1000, MemoryMb: 1000} }
	h := newHarness(t, time.Minute)
	h.setCapacity(2, 1500, 9000, 0)
	h.waitListed()
	h.startSized(task1, small())
	h.waitFor("started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_STARTED
	})
	h.startSized(task2, small())
	h.waitFor("not started", func(r *chervilv2.AgentReport) bool {
		return resultOf(r, task2) == chervilv2.StartAnswer_START_ANSWER_NOT_STARTED
	})
	h.order(&chervilv2.OwnerOrders{Stops: []*chervilv2.StopOrder{{Task: task1, Attempt: 1}}})
	h.waitFor("ended", func(r *chervilv2.AgentReport) bool { return len(r.Ends) > 0 })
	h.startSized(task3, small())
	h.waitRunning(1)
	assert.Equal(t, h.worker.Running(), 1)
}

func TestRepeatedStartDoesNotCountAgainstItself(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.setCapacity(2, 1500, 9000, 0)
	h.waitListed()
	for range 3 {
		h.startSized(task1, &chervilv2.StartOrder{CpuMilli: 1000, MemoryMb: 1000})
		h.waitFor("started", func(r *chervilv2.AgentReport) bool {
			assert.Assert(t, resultOf(r, task1) != chervilv2.StartAnswer_START_ANSWER_NOT_STARTED)
			return resultOf(r, task1) == chervilv2.StartAnswer_START_ANSWER_STARTED
		})
	}
	assert.Equal(t, h.worker.Running(), 1)
}
