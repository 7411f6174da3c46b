package sitetest

import (
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// crashDelay is the time from the start of a deadly task to the crash of its worker.
	crashDelay = 10 * time.Millisecond
	// workerRestart is the time after which a crashed worker is back.
	workerRestart = 500 * time.Millisecond
	// maxDeadlyStarts is one less than the starts that break the limit: three crashes and
	// three more starts.
	maxDeadlyStarts = 5
)

// crashWorkersBy makes each start of a task of the job crash its worker, which returns after
// workerRestart. It returns the number of crashes so far.
func (s *site) crashWorkersBy(job string) *atomic.Int32 {
	crashes := new(atomic.Int32)
	s.onTaskStart = func(worker int, task string) {
		if !strings.HasPrefix(task, job+".") {
			return
		}
		crashes.Add(1)
		go func() {
			time.Sleep(crashDelay)
			s.crashWorker(worker)
			time.Sleep(workerRestart)
			s.startWorker(worker)
		}()
	}
	return crashes
}

func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	const deadly, innocents = 0, 6
	for name, killOwner := range map[string]bool{"one owner": false, "owner killed at the first crash": true} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, 2, 4)
			crashes := s.crashWorkersBy(jobID(deadly))
			for i := 1; i <= innocents; i++ {
				s.submit(i, 3)
			}
			s.submit(deadly, 1)
			if killOwner {
				s.eventually("first crash", func() bool { return crashes.Load() > 0 })
				s.signal(s.owner(), syscall.SIGKILL)
			}
			s.waitState(deadly, "failed")
			for i := 1; i <= innocents; i++ {
				s.waitState(i, "completed")
			}
			assert.Assert(t, s.journal.StartedRuns(jobID(deadly)) <= maxDeadlyStarts, "started %d times", s.journal.StartedRuns(jobID(deadly)))
			assert.Equal(t, len(s.journal.Violations()), 0, s.journal.Violations())
		})
	}
}
