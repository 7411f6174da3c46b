package sitetest

import (
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/standin/taskworker"
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

// lostStarts loses start calls of a job's tasks, and crashes each worker that gets one, which
// returns after workerRestart.
type lostStarts struct {
	*site
	job        string
	crashDelay time.Duration // from a start call to the crash

	mu          sync.Mutex
	crashesLeft int // number of crashes to come
	// begun are the faults of the first start calls, at which the task begins to run. Later calls
	// are lost.
	begun    []taskworker.StartFault
	crashing map[int]bool // workers to crash that have not returned yet
}

// startFault implements site.startFault.
func (l *lostStarts) startFault(worker int, task string) taskworker.StartFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !strings.HasPrefix(task, l.job+"."):
		return taskworker.NoStartFault
	case l.crashing[worker]:
		return taskworker.LostStart
	case l.crashesLeft == 0:
		return taskworker.NoStartFault
	}
	l.crashesLeft--
	l.crashing[worker] = true
	time.AfterFunc(l.crashDelay, func() {
		l.crashWorker(worker)
		time.Sleep(workerRestart)
		l.mu.Lock()
		delete(l.crashing, worker)
		l.mu.Unlock()
		l.startWorker(worker)
	})
	if len(l.begun) == 0 {
		return taskworker.LostStart
	}
	fault := l.begun[0]
	l.begun = l.begun[1:]
	return fault
}

// ended reports whether all crashes have come and all workers have returned.
func (l *lostStarts) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashesLeft == 0 && len(l.crashing) == 0
}

func TestJobIsNotFailedByCrashesBeforeItsTasksStarted(t *testing.T) {
	const (
		crashes = 6
		// slowCrash is the time in which a start call is given up and repeated.
		slowCrash = 700 * time.Millisecond
	)
	cases := []struct {
		name  string
		begun []taskworker.StartFault // of the crashes with a run of the task on the worker
		delay time.Duration
	}{
		{"crash during the first start call", nil, crashDelay},
		{"crash during a repeated start call", nil, slowCrash},
		{"one run began and its answer was lost", []taskworker.StartFault{taskworker.LostStartAnswer}, crashDelay},
		{"one run began and was confirmed", []taskworker.StartFault{taskworker.NoStartFault}, crashDelay},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, 4)
			l := &lostStarts{site: s, job: jobID(0), crashDelay: c.delay, crashesLeft: crashes, begun: c.begun, crashing: map[int]bool{}}
			s.startFault = l.startFault
			s.startProcesses(2, 4)
			s.submit(0, 1)
			s.eventually("end of the crashes", func() bool {
				assert.Assert(t, !s.isShown(0, "failed"), "the job is shown as failed, crashes under its tasks: %v", s.journal.Crashes(l.job))
				return l.ended()
			})
			s.waitState(0, "completed")
			total := 0
			for _, n := range s.journal.Crashes(l.job) {
				total += n
			}
			assert.Equal(t, total, len(c.begun))
			assert.Equal(t, len(s.journal.Violations()), 0, s.journal.Violations())
		})
	}
}
