package sitetest

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/standin/metastore"
)

// shrinkTolerance is how long starts may still use the room that a worker has taken back: the
// 3 s in which a process counts as in touch, and one heartbeat.
const shrinkTolerance = 3*time.Second + 300*time.Millisecond

func TestStartsDelayedByTheStoreStayWithinAShrunkCapacity(t *testing.T) {
	const tasks = 8
	s := newSite(t, 1)
	s.taskDuration.Store(int64(time.Second))
	s.maxRuns = 4
	s.startProcesses(1, 1)
	s.workers[0].SetCapacity(4000, 8000, 4, 0)
	time.Sleep(time.Second) // until the owner knows the capacity
	s.submit(0, tasks)
	s.eventually("worker full", func() bool { return s.countRunning() == 4 })
	s.store.SetFaults(metastore.Faults{Down: true})
	s.eventually("tasks ended", func() bool { return s.countRunning() == 0 })
	time.Sleep(500 * time.Millisecond) // until the owner has planned their successors
	s.workers[0].SetCapacity(1000, 8000, 1, shrinkTolerance)
	time.Sleep(shrinkTolerance + 500*time.Millisecond)
	s.taskDuration.Store(int64(300 * time.Millisecond))
	s.store.SetFaults(metastore.Faults{})
	s.waitState(0, "completed")
	assert.Equal(t, len(s.journal.Violations()), 0, s.journal.Violations())
}

func TestRoomIsUsedAgainOnceAWorkerHasGrown(t *testing.T) {
	s := newSite(t, 1)
	s.maxRuns = 8
	s.startProcesses(1, 1)
	s.workers[0].SetCapacity(1000, 8000, 1, 0)
	time.Sleep(time.Second) // until the owner knows the capacity
	s.taskDuration.Store(int64(time.Minute))
	s.submit(0, 4)
	s.eventually("shrunk worker full", func() bool { return s.countRunning() == 1 })
	s.workers[0].SetCapacity(8000, 8000, 8, 0)
	s.eventually("room used", func() bool { return s.countRunning() == 4 })
	assert.Equal(t, len(s.journal.Violations()), 0, s.journal.Violations())
}

func TestPausedAgentStartsNothingBeyondACapacityThatShrankMeanwhile(t *testing.T) {
	s := newSite(t, 1)
	s.maxRuns = 4
	s.startProcesses(1, 1)
	s.workers[0].SetCapacity(4000, workerMemoryMB, 4, 0)
	time.Sleep(time.Second) // until the owner knows the capacity
	agent := s.agentName(0)
	s.signal(agent, syscall.SIGSTOP)
	s.submit(0, 4)
	s.workers[0].SetCapacity(1000, workerMemoryMB, 1, shrinkTolerance)
	time.Sleep(shrinkTolerance + 500*time.Millisecond)
	s.signal(agent, syscall.SIGCONT)
	s.waitState(0, "completed")
	assert.Equal(t, len(s.journal.Violations()), 0, s.journal.Violations())
}
