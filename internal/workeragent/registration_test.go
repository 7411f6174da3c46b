package workeragent

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/limits"
	"chervilridge/platform"
)

const (
	appAddress = "10.1.0.14:8165"
	// maxLogLineBytes bounds what is logged for one odd heartbeat.
	maxLogLineBytes = 2000
)

// registration is an agent whose worker listens at appAddress.
type registration struct {
	t       *testing.T
	agent   *Agent
	handler http.Handler
}

func newRegistration(t *testing.T) *registration {
	node := &platform.NodeSettings{Name: "side-1", WorkerAddress: appAddress, Service: "desk", Bounds: platform.Bounds{MaxLease: 6 * time.Second}}
	a := NewAgent(node, platform.NewWorkerClient(appAddress), boottime.Now)
	return &registration{t, a, registrationHandler(a, newTestGuard())}
}

// put sends a heartbeat and returns the status of the response and the size of its body.
func (r *registration) put(id, body string) (status, bytes int) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPut, platform.PathWorkerPrefix+"x", strings.NewReader(body))
	request.URL.Path = platform.PathWorkerPrefix + id
	r.handler.ServeHTTP(recorder, request)
	return recorder.Code, recorder.Body.Len()
}

func heartbeat(service, address string, sequence int, more string) string {
	return fmt.Sprintf(`{"backend":%q,"address":%q,"zone":"pnw-a","version":"v1","slots":8,"state":"ready","cold-left-ms":0,`+
		`"capacity":{"cpu":16000,"mem-mb":32768,"gpus":0},"labels":["a"],"clock-ms":482113,"seq":%d,"born":1796461062123%s}`, service, address, sequence, more)
}

func TestHeartbeatOfAnotherWriterChangesNothing(t *testing.T) {
	born := `,"born":1796461063123` // later than the worker's
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for name, odd := range map[string]struct{ id, body string }{
		"service not named":  {"i-9", heartbeat("nosuch-desk", appAddress, 4, born)},
		"service of case":    {"i-9", heartbeat("Desk", appAddress, 4, born)},
		"long service":       {"i-9", heartbeat(strings.Repeat("x", 1000), appAddress, 4, born)},
		"another port":       {"i-9", heartbeat("desk", "10.1.0.14:8080", 4, born)},
		"port out of range":  {"i-9", heartbeat("desk", "10.1.0.14:99999", 4, born)},
		"port 0":             {"i-9", heartbeat("desk", "10.1.0.14:0", 4, born)},
		"no port":            {"i-9", heartbeat("desk", "10.1.0.14", 4, born)},
		"nested":             {"i-9", nested},
		"nested field":       {"i-9", heartbeat("desk", appAddress, 4, born+`,"other":`+nested)},
		"number too large":   {"i-9", heartbeat("desk", appAddress, 4, born+`,"cold-left-ms":1e300`)},
		"larger number":      {"i-9", heartbeat("desk", appAddress, 4, born+`,"clock-ms":1e400`)},
		"long number":        {"i-9", heartbeat("desk", appAddress, 4, born+`,"seq":`+strings.Repeat("9", 1<<20))},
		"known id":           {"i-1", heartbeat("nosuch-desk", appAddress, 9, `,"state":"draining"`)},
		"known id, too late": {"i-1", heartbeat("desk", appAddress, 9, `,"remaining-ms":1e300,"state":"draining"`)},
		"id of no text":      {"i-\xff", heartbeat("desk", appAddress, 4, born)},
		"id of a header":     {"i-9\r\nx: y", heartbeat("desk", appAddress, 4, born)},
		"long id":            {strings.Repeat("i", 1<<19), heartbeat("desk", appAddress, 4, born)},
		"id of many parts":   {"i/9", heartbeat("desk", appAddress, 4, born)},
		"too long":           {"i-9", heartbeat("desk", appAddress, 4, born+`,"other":"`+strings.Repeat("x", platform.MaxHeartbeatBytes)+`"`)},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistration(t)
			status, _ := r.put("i-1", heartbeat("desk", appAddress, 4, ""))
			assert.Equal(t, status, http.StatusOK)
			r.agent.incarnation.confirmed = true
			before := r.agent.buildReport().Worker
			log := captureLog(t)
			status, size := r.put(odd.id, odd.body)
			assert.Assert(t, status >= http.StatusBadRequest, "answered %d", status)
			assert.Assert(t, size <= maxLogLineBytes, "answered with %d bytes", size)
			klog.Flush()
			assert.Assert(t, log.Len() <= maxLogLineBytes && bytes.Count(log.Bytes(), []byte("\n")) <= 1, "logged %d bytes: %.300s", log.Len(), log)
			after := r.agent.buildReport().Worker
			before.SilentMs, after.SilentMs = 0, 0
			assert.Equal(t, after.String(), before.String())
			status, _ = r.put("i-1", heartbeat("desk", appAddress, 5, ""))
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, r.agent.incarnation.heartbeat.Sequence, int64(5), "the worker's next heartbeat")
		})
	}
}

// captureLog redirects the log to the returned buffer until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	out := &bytes.Buffer{}
	restore := klog.CaptureState()
	klog.LogToStderr(false)
	klog.SetOutput(out)
	t.Cleanup(restore.Restore)
	return out
}

func TestHeartbeatOfTheNextIncarnationIsAccepted(t *testing.T) {
	r := newRegistration(t)
	for i, id := range []string{"i-1", "i-2"} {
		status, _ := r.put(id, heartbeat("desk", appAddress, 1, fmt.Sprintf(`,"born":%d`, 1796461062123+i)))
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, r.agent.incarnation.id, "i-1", "until the worker answers as the next incarnation")
	assert.Equal(t, r.agent.pendingHeartbeat.WorkerID, "i-2")
	r.agent.worker = newScriptedWorker(1796461062124)
	r.agent.confirmPendingHeartbeat(t.Context())
	assert.Equal(t, r.agent.buildReport().Worker.Id, "i-2")
}

// Guards against a heartbeat that waits for the decoding of others without an end, while later ones are due.
func TestHeartbeatWaitsForDecodingUntilItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := newTestGuard()
		done, err := guard.StartDecoding(t.Context(), 1<<30) // all the room
		assert.NilError(t, err)
		r := newRegistration(t)
		r.handler = registrationHandler(r.agent, guard)
		status := 0
		go func() { status, _ = r.put("i-1", heartbeat("desk", appAddress, 4, "")) }()
		time.Sleep(heartbeatBodyTimeout + time.Second)
		synctest.Wait()
		assert.Check(t, status == http.StatusServiceUnavailable, "answered %d", status)
		assert.Equal(t, guard.Bodies().InFlight(), int64(0))
		done()
	})
}

// newTestGuard returns a guard whose limits no test reaches.
func newTestGuard() *limits.Guard {
	return limits.New(limits.Machine{MemoryBytes: 1 << 30, Descriptors: 10_000}, tally.NoopScope)
}

// Guards against a worker on which nothing is started any more, since its heartbeats count as older than one of another
// writer.
func TestHeartbeatOfAnotherWriterDoesNotHideThoseOfTheWorker(t *testing.T) {
	const interval, maxIdleInCalm = 1500 * time.Millisecond, 7 * time.Second // rule LOST
	var advanced atomic.Int64
	clock := func() boottime.Instant { return boottime.Now().Add(time.Duration(advanced.Load())) }
	w := &listingWorker{report: platform.RunReport{Clock: time.Second, BornUnixMs: 7}}
	node := &platform.NodeSettings{Name: "side-1", HeartbeatInterval: interval, Bounds: platform.Bounds{MaxLease: 6 * time.Second, ReactionTime: 3 * time.Second}}
	a := NewAgent(node, w, clock)
	freshBeat(a, 1)
	a.holdOnce(t.Context())
	a.HandleHeartbeat(platform.Heartbeat{WorkerID: workerID, Service: "desk", Sequence: 1000, CPUMilli: 1000, MemoryMB: 1000}) // lacks the time of birth
	for i := range int64(maxIdleInCalm / interval) {
		advanced.Add(int64(interval))
		freshBeat(a, 2+i)
		a.holdOnce(t.Context())
	}
	start := &chervilv2.StartOrder{Task: task1, Attempt: 1, WorkerId: workerID, CpuMilli: 500, MemoryMb: 500}
	a.HandleOrders(t.Context(), &chervilv2.OwnerOrders{Epoch: 1, HoldMs: 6000, Starts: []*chervilv2.StartOrder{start}}, clock())
	eventually(t, "start called or refused", func() bool {
		a.holdOnce(t.Context())
		return w.called("start "+task1) || resultOf(a.buildReport(), task1) != chervilv2.StartAnswer_START_ANSWER_UNKNOWN
	})
	assert.Assert(t, w.called("start "+task1), "refused, though the worker reports itself and answers")
}
