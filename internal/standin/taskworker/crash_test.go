package taskworker

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const crashTask = "000000030000000b.0.0.2"

// newServed returns a worker whose runs last longer than a test, and the address of its server,
// which outlives a crash.
func newServed(t *testing.T, id string, j *Journal) (*Worker, string) {
	w := New(Config{ID: id}, func(string) time.Duration { return time.Minute }, j)
	server := httptest.NewServer(w.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		w.Close()
		server.Close()
	})
	return w, server.URL
}

// post returns the status of a call; 0 is no response.
func post(t *testing.T, address, path, body string) int {
	response, err := (&http.Client{Timeout: 5 * time.Second}).Post(address+path, "application/json", strings.NewReader(body))
	if err != nil {
		assert.Assert(t, !strings.Contains(err.Error(), "Timeout"), err)
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

const startCall = `{"task":"` + crashTask + `","attempt":1,"deadline-ms":5000,"fence":1}`

func TestCrashedWorkerCarriesOutNoStart(t *testing.T) {
	j := NewJournal()
	crashed, address := newServed(t, "a", j)
	crashed.Close()
	assert.Equal(t, post(t, address, "/v1/run-start", startCall), 0)
	assert.Equal(t, crashed.Running(), 0)
	_, next := newServed(t, "b", j)
	assert.Equal(t, post(t, next, "/v1/run-start", strings.Replace(startCall, `"attempt":1`, `"attempt":2`, 1)), http.StatusOK)
	assert.Equal(t, j.StartedRuns("000000030000000b"), 1)
	assert.Equal(t, len(j.Violations()), 0, "%v", j.Violations())
}

func TestDelayedStartIsNotCarriedOutAfterACrash(t *testing.T) {
	const delay = 50 * time.Millisecond
	j := NewJournal()
	w, address := newServed(t, "a", j)
	w.SetFaults(Faults{StartDelay: delay})
	client := &http.Client{Timeout: delay / 5}
	response, err := client.Post(address+"/v1/run-start", "application/json", strings.NewReader(startCall))
	if err == nil {
		_ = response.Body.Close()
	}
	assert.Assert(t, err != nil, "a delayed start is answered")
	w.Close()
	time.Sleep(4 * delay)
	assert.Equal(t, w.Running(), 0)
	assert.Equal(t, j.StartedRuns("000000030000000b"), 0)
}

func TestCrashedWorkerAnswersNoCall(t *testing.T) {
	w, address := newServed(t, "a", NewJournal())
	statuses := make(chan int)
	go func() { statuses <- post(t, address, "/v1/hold", `{"fence":1,"wait-ms":300}`) }()
	time.Sleep(50 * time.Millisecond) // the call waits
	w.Close()
	assert.Equal(t, <-statuses, 0, "a call that waited")
	for path, body := range map[string]string{
		"/v1/hold": `{"fence":1}`, "/v1/run-stop": `{"task":"t","attempt":1,"fence":1}`, "/v1/pace": `{}`, "/v1/run-start": "{",
	} {
		assert.Equal(t, post(t, address, path, body), 0, path)
	}
}

// An end that is acknowledged is stored, whether or not its worker still lives.
func TestAcknowledgementAfterACrashCounts(t *testing.T) {
	j := NewJournal()
	w, address := newServed(t, "a", j)
	w.mu.Lock()
	w.running["t"] = &run{key: runKey{"t", 1}}
	j.recordStart("a", "t", 1)
	w.endRun("t", w.running["t"], "done")
	w.mu.Unlock()
	w.Close()
	post(t, address, "/v1/hold", `{"fence":1,"ack-cursor":1}`)
	j.recordStart("b", "t", 2)
	assert.Equal(t, len(j.Violations()), 1, "%v", j.Violations())
}

func TestLostStartsAreNotAnsweredAndOnlyLostAnswersStartARun(t *testing.T) {
	for fault, want := range map[StartFault]int{LostStart: 0, LostStartAnswer: 1} {
		j := NewJournal()
		w := New(Config{ID: "a", StartFault: func(string) StartFault { return fault }}, func(string) time.Duration { return time.Minute }, j)
		server := httptest.NewServer(w.Handler())
		response, err := (&http.Client{Timeout: 50 * time.Millisecond}).Post(server.URL+"/v1/run-start", "application/json", strings.NewReader(startCall))
		if err == nil {
			_ = response.Body.Close()
		}
		assert.Assert(t, err != nil, "the start is answered")
		assert.Equal(t, w.Running(), want)
		w.Close()
		assert.Equal(t, j.Crashes("000000030000000b")[crashTask], want)
		server.CloseClientConnections()
		server.Close()
	}
}
