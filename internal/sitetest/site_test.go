package sitetest

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/standin/metastore"
)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// TestTwoTestProcessesShareNoAddress guards against "address already in use" beside another test
// process.
func TestTwoTestProcessesShareNoAddress(t *testing.T) {
	other, l := reserveLoopbackNet(os.Getpid())
	defer func() { _ = l.Close() }()
	assert.Assert(t, other != loopbackNet)
	_ = loopbackNetListener
}

func TestJobsAreServedAcrossAllEntries(t *testing.T) {
	s := startSite(t, 2, 3)
	for i := range 10 {
		s.submit(i, 3)
	}
	for i := range 10 {
		s.waitState(i, "completed")
	}
	s.checkAllDoneOnce(30)
}

func TestBadRequestsAreRejectedAndNothingIsStored(t *testing.T) {
	s := startSite(t, 1, 1)
	cases := []struct {
		path, body string
		want       int
	}{
		{"/quotes/0000000000000001", "{", http.StatusBadRequest},
		{"/quotes/0000000000000001", `{"task-groups":[{"count":0}]}`, http.StatusBadRequest},
		{"/quotes/xyz", `{"task-groups":[{"count":1}]}`, http.StatusBadRequest},
		{"/quotes/0000000000000001", `{"task-spec":"` + string(make([]byte, 70000)) + `"}`, http.StatusRequestEntityTooLarge},
		{"/nowhere/0000000000000001", `{"task-groups":[{"count":1}]}`, http.StatusNotFound},
	}
	for _, c := range cases {
		status, _ := s.call(0, http.MethodPost, c.path, c.body)
		assert.Equal(t, status, c.want, c.path)
	}
	status, _ := s.call(0, http.MethodGet, "/quotes/0000000000000001", "")
	assert.Equal(t, status, http.StatusGone)
}

func TestJobsCompleteAfterOwnerIsKilled(t *testing.T) {
	s := startSite(t, 2, 3)
	for i := range 6 {
		s.submit(i, 4)
	}
	s.kill(s.owner())
	for i := range 6 {
		s.waitState(i, "completed")
	}
	s.submitUntilAccepted(7, 2)
	s.waitState(7, "completed")
	s.checkAllDoneOnce(26)
}

func TestTasksContinueAfterAgentIsKilled(t *testing.T) {
	s := startSite(t, 1, 2)
	s.submit(0, 4)
	name := s.agentName(0)
	s.signal(name, syscall.SIGKILL)
	s.startProgram(name)
	s.waitState(0, "completed")
	s.checkAllDoneOnce(4)
}

func TestWorkerCrashesAndItsTasksRunElsewhere(t *testing.T) {
	s := startSite(t, 1, 2)
	s.submit(0, 4)
	s.crashWorker(0)
	s.waitState(0, "completed")
	tasks, _ := s.journal.DoneCounts()
	assert.Equal(t, tasks, 4)
	assert.Equal(t, len(s.journal.Violations()), 0, s.journal.Violations())
}

func TestAcceptedJobsCompleteAfterAllProcessesAreKilled(t *testing.T) {
	s := startSite(t, 2, 2)
	for i := range 5 {
		s.submit(i, 3)
	}
	for _, name := range s.cloneProgramNames() {
		s.signal(name, syscall.SIGKILL)
	}
	for _, name := range s.cloneProgramNames() {
		s.startProgram(name)
	}
	for i := range 5 {
		s.waitState(i, "completed")
	}
	s.checkAllDoneOnce(15)
}

func TestStoreOutageLosesNothing(t *testing.T) {
	s := startSite(t, 2, 2)
	s.submit(0, 3)
	s.store.SetFaults(metastore.Faults{Down: true})
	deadline := time.Now().Add(waitTimeout)
	for i := 20; ; i++ {
		status, retry := s.trySubmit(i, 3)
		if status == http.StatusServiceUnavailable {
			assert.Assert(t, retry != "", "rejection without a Retry-After header")
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "last status %d", status)
	}
	s.store.SetFaults(metastore.Faults{})
	s.submitUntilAccepted(2, 3)
	s.waitState(0, "completed")
	s.waitState(2, "completed")
	assert.Equal(t, len(s.journal.Violations()), 0, s.journal.Violations())
}

func TestLostStoreAnswersDuplicateNothing(t *testing.T) {
	s := startSite(t, 2, 2)
	s.store.SetFaults(metastore.Faults{LostResponseShare: 0.3})
	for i := range 5 {
		s.submitUntilAccepted(i, 3)
	}
	s.store.SetFaults(metastore.Faults{})
	for i := range 5 {
		s.waitState(i, "completed")
	}
	s.checkAllDoneOnce(15)
}

func TestOwnerRejectedByStoreIsReplaced(t *testing.T) {
	s := startSite(t, 2, 2)
	s.submit(0, 2)
	old := s.owner()
	s.store.SetFaults(metastore.Faults{RejectedCallers: map[string]bool{old: true}})
	s.eventually("another owner", func() bool { return s.owner() != old })
	s.submitUntilAccepted(1, 2)
	s.waitState(1, "completed")
	s.checkAllDoneOnce(4)
}

func TestConfigurationAndEvacuationTakeEffect(t *testing.T) {
	s := startSite(t, 2, 2)
	s.putConfig(2, "quotes", "plans")
	for e := range 2 {
		s.eventually("new queue known", func() bool {
			status, _ := s.call(e, http.MethodGet, "/plans/", "")
			return status == http.StatusOK
		})
	}
	s.state.Put("keyed.op", "evacuate/zone-0", []byte("{}"))
	time.Sleep(2 * time.Second)
	before := s.startsOnWorker(0)
	for i := range 5 {
		s.submit(10+i, 2)
		s.waitState(10+i, "completed")
	}
	assert.Equal(t, s.startsOnWorker(0), before, "tasks started in the evacuated data centre")
}

func TestCancelStopsAJob(t *testing.T) {
	s := startSite(t, 2, 2)
	s.taskDuration.Store(int64(time.Minute))
	s.submit(0, 4)
	s.waitState(0, "running")
	status, _ := s.call(1, http.MethodDelete, jobPath(0), "")
	assert.Equal(t, status, http.StatusOK)
	s.waitState(0, "cancelled")
	s.eventually("nothing runs", func() bool { return s.countRunning() == 0 })
	status, _ = s.call(0, http.MethodDelete, jobPath(99), "")
	assert.Equal(t, status, http.StatusGone)
}

func TestPlannedStopOfOwnerLosesNoTask(t *testing.T) {
	s := startSite(t, 2, 2)
	for i := range 4 {
		s.submit(i, 3)
	}
	owner := s.owner()
	s.signal(owner, syscall.SIGTERM)
	s.eventually("another owner", func() bool { return s.owner() != owner })
	for i := range 4 {
		s.waitStateAt(s.otherEntry(owner), i, "completed")
	}
	s.waitExit(owner)
	s.checkAllDoneOnce(12)
}

// Guards against rejected jobs in a rolling restart: an entry that shuts down must find the
// new owner and forward requests to it while it still accepts connections.
func TestLeavingEntryServesThroughTheNewOwner(t *testing.T) {
	s := startSite(t, 2, 1)
	owner := s.owner()
	s.signal(owner, syscall.SIGTERM)
	s.eventually("another owner", func() bool { return s.owner() != owner })
	time.Sleep(500 * time.Millisecond) // within the 2 s for which it still accepts connections
	status, body, _ := s.callAt(s.programs[owner].ip, http.MethodPost, jobPath(0), jobBody(1))
	assert.Equal(t, status, http.StatusOK, body)
	s.waitExit(owner)
}

// TestStopOfEntryIsNotHeldUpByAnUnfinishedHandshake guards against an entry that is killed with
// SIGKILL, since its stop waits for a process that has connected to it and is suspended.
func TestStopOfEntryIsNotHeldUpByAnUnfinishedHandshake(t *testing.T) {
	const grace = 6 * time.Second // from SIGTERM to SIGKILL
	s := startSite(t, 1, 1)
	entry := s.programs[entryName(0)]
	conn, err := net.Dial("tcp", net.JoinHostPort(entry.ip, strconv.Itoa(peerPort)))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	s.signal(entry.name, syscall.SIGTERM)
	select {
	case <-entry.done:
	case <-time.After(grace):
		t.Fatalf("%s has not exited within %v of SIGTERM", entry.name, grace)
	}
}

// TestStopOfEntryIsNotHeldUpByItsLog guards against an entry that is killed with SIGKILL, since
// its standard output is not read.
func TestStopOfEntryIsNotHeldUpByItsLog(t *testing.T) {
	const grace = 6 * time.Second // from SIGTERM to SIGKILL
	s := startSite(t, 1, 1)
	entry := s.programs[entryName(0)]
	s.kill(entry.name)
	entry.log = fullPipe(t)
	s.startProgram(entry.name)
	s.submitUntilAccepted(0, 1) // it owns the schedule, so that its stop has something to log
	s.signal(entry.name, syscall.SIGTERM)
	select {
	case <-entry.done:
	case <-time.After(grace):
		t.Fatalf("%s has not exited within %v of SIGTERM", entry.name, grace)
	}
}

// TestLeavingEntryAnswersRequestsThatOutlastIt guards against requests that are cut off without an
// answer, since no owner answers before a leaving entry exits.
func TestLeavingEntryAnswersRequestsThatOutlastIt(t *testing.T) {
	const grace = 6 * time.Second // from SIGTERM to SIGKILL
	s := startSite(t, 1, 1)
	entry := s.programs[entryName(0)]
	s.store.SetFaults(metastore.Faults{Unresponsive: true}) // so that the owner confirms nothing
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", entry.ip, frontPort, jobPath(0)), nil)
	assert.NilError(t, err)
	request.Host = routeHost
	request.Header.Set("Chervilridge-Deadline-Ms", "20000")
	answered := make(chan error, 1)
	go func() {
		response, err := (&http.Client{}).Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		answered <- err
	}()
	time.Sleep(200 * time.Millisecond) // the request has arrived
	s.signal(entry.name, syscall.SIGTERM)
	select {
	case <-entry.done:
	case <-time.After(grace):
		t.Fatalf("%s has not exited within %v of SIGTERM", entry.name, grace)
	}
	assert.NilError(t, <-answered)
}

// fullPipe returns the write end of a full pipe that is not read.
func fullPipe(t *testing.T) *os.File {
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = reader.Close() })
	assert.NilError(t, writer.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = writer.Write(make([]byte, 1<<20))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	return writer
}

func TestBadSettingsEndTheProcess(t *testing.T) {
	code, output := runWithSettings(t, "node=x\nip=127.0.0.1\n")
	assert.Equal(t, code, 2)
	assert.Assert(t, len(output) > 0)
}

// Covers a network partition in which an agent can't reach the owner but another entry can:
// that entry must relay the agent's reports.
func TestReportsAreRelayedToUnreachableOwner(t *testing.T) {
	s := startSite(t, 2, 1)
	owner := s.owner()
	relay := s.otherEntry(owner)
	report := s.attachAgent(relay)
	assert.Assert(t, report > 0, "the owner replied to no report that another entry relayed")
}

func TestMetricsCountRequestsAndEvents(t *testing.T) {
	s := startSite(t, 1, 1)
	s.submit(0, 1)
	s.waitState(0, "completed")
	s.eventually("metrics served", func() bool {
		text := s.scrapeMetrics(0)
		return strings.Contains(text, `chervil_job_requests_bucket{method="POST",status="200"`) &&
			strings.Contains(text, `chervil_events{event="7201"}`)
	})
}

// Guards against a wait for leases that no agent holds: a worker left and its agent was
// stopped while no owner was reachable, so that the owner after that didn't learn that the
// worker's runs had ended. Seen on a trial day with a lost data centre, leaving workers and
// a change of owners.
func TestLeavingAgentReportsLostRunsToTheNextOwner(t *testing.T) {
	const (
		tasks = 4
		// noticed is the time in which an agent notices that its worker is gone, ownerless
		// exceeds the time in which it shuts down otherwise.
		noticed, ownerless = 600 * time.Millisecond, 1500 * time.Millisecond
		// maxRecovery is far less than the 9 s for which a new owner waits for leases.
		maxRecovery = 5 * time.Second
	)
	s := startSite(t, 1, 2)
	s.taskDuration.Store(int64(time.Minute))
	s.submit(0, tasks)
	s.eventually("tasks run", func() bool { return s.countRunning() == tasks })
	used := 0
	if s.startsOnWorker(1) > 0 {
		used = 1
	}
	s.kill(s.owner())
	s.crashWorker(used)
	time.Sleep(noticed)
	s.signal(s.agentName(used), syscall.SIGTERM)
	time.Sleep(ownerless)
	s.startProgram(entryName(0))
	began := time.Now()
	s.eventually("all tasks run elsewhere", func() bool { return s.countRunning() == tasks })
	assert.Assert(t, time.Since(began) < maxRecovery, "took %v", time.Since(began))
	s.waitExit(s.agentName(used))
	assert.Equal(t, len(s.journal.Violations()), 0, s.journal.Violations())
}

// Guards against a wait for leases that no agent holds: an owner that could not reach the store acknowledged the
// end of a worker, and its agent stopped before another owner had learned of it.
func TestEndOfAWorkerThatItsOwnerCannotStoreReachesTheNextOwner(t *testing.T) {
	const (
		tasks = 4
		// noticed is the time in which an agent notices that its worker is gone.
		noticed = 600 * time.Millisecond
		// maxRecovery is the time in which a task that has stopped must run again, less that for a takeover.
		maxRecovery = 6 * time.Second
	)
	s := startSite(t, 2, 2)
	s.taskDuration.Store(int64(time.Minute))
	s.submit(0, tasks)
	s.eventually("tasks run", func() bool { return s.countRunning() == tasks })
	used := 0
	if s.startsOnWorker(1) > 0 {
		used = 1
	}
	old := s.owner()
	s.store.SetFaults(metastore.Faults{RejectedCallers: map[string]bool{old: true}})
	s.crashWorker(used)
	time.Sleep(noticed)
	s.signal(s.agentName(used), syscall.SIGTERM)
	s.eventually("another owner", func() bool { return s.owner() != old })
	s.store.SetFaults(metastore.Faults{})
	began := time.Now()
	s.eventually("all tasks run elsewhere", func() bool { return s.countRunning() == tasks })
	assert.Assert(t, time.Since(began) < maxRecovery, "took %v", time.Since(began))
	s.waitExit(s.agentName(used))
	assert.Equal(t, len(s.journal.Violations()), 0, s.journal.Violations())
}
