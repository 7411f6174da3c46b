package e2e

import (
	"bytes"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/fault"
	"chervilridge/internal/ident"
)

// TestBadInput sends invalid requests. Each gets its status, code and step, and the
// outcome "not run".
func TestBadInput(t *testing.T) {
	f := newFleet(t, 1)
	big := string(bytes.Repeat([]byte("x"), 200_000))
	cases := []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		code                     fault.Code
		step                     fault.Step
	}{
		{"unknown route", "GET", "/v1/nothing", "", nil, 404, fault.CodeNotFound, fault.StepParse},
		{"unknown service", "POST", "/v1/services/nosuch/requests", "{}", nil, 404, fault.CodeUnknownService, fault.StepClassify},
		{"oversized body", "POST", "/v1/services/quotedesk/requests", big, nil, 413, fault.CodeTooLarge, fault.StepParse},
		{"bad deadline", "POST", "/v1/services/quotedesk/requests", "{}", map[string]string{"X-Chervil-Deadline-Ms": "soon"}, 400, fault.CodeBadRequest, fault.StepParse},
		{"bad request id", "POST", "/v1/services/quotedesk/requests", "{}", map[string]string{"X-Chervil-Request-Id": "7"}, 400, fault.CodeBadRequest, fault.StepParse},
		{"bad repeatable", "POST", "/v1/services/quotedesk/requests", "{}", map[string]string{"X-Chervil-Repeatable": "maybe"}, 400, fault.CodeBadRequest, fault.StepParse},
		{"malformed row", "PUT", "/v1/table/rows", "kind,name,weight\nservice,x,none\n", nil, 400, fault.CodeBadRequest, fault.StepParse},
		{"unknown data centre", "POST", "/v1/data-centres/pnw-z/out", "", nil, 404, fault.CodeNotFound, fault.StepConfig},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, body := f.call(c.method, f.entryHTTP[0], c.path, []byte(c.body), c.header)
			assert.Equal(t, status, c.status, string(body))
			b := decodeError(t, body)
			assert.Equal(t, b.Code, c.code)
			assert.Equal(t, b.Step, c.step)
			assert.Equal(t, b.Outcome, fault.NotRun)
		})
	}
}

// TestBadSettingsExitWithTwoAndAreAllNamed checks that a program reports every invalid
// setting with its allowed range, not just the first, and exits with status 2.
func TestBadSettingsExitWithTwoAndAreAllNamed(t *testing.T) {
	for _, program := range []string{"chervil-entry", "chervil-agent"} {
		out, err := exec.Command(filepath.Join(buildPrograms(t), program), "--grpc-address", "nowhere", "--table-poll", "0s").CombinedOutput()
		exit, ok := err.(*exec.ExitError)
		assert.Assert(t, ok, "%s: %v", program, err)
		assert.Equal(t, exit.ExitCode(), 2)
		for _, want := range []string{"2 bad settings", "--grpc-address", "--table-poll", "CHERVIL_TABLE_POLL", "50ms to "} {
			assert.Assert(t, strings.Contains(string(out), want), "%s: %s", program, out)
		}
	}
}

// TestKilledAgentRunsNothingTwice kills an agent while requests that must not be repeated
// run on all agents. No request may run twice, and the other agents still answer.
func TestKilledAgentRunsNothingTwice(t *testing.T) {
	f := newFleet(t, 3)
	const requests = 24
	statuses := make(chan int, requests)
	ids := make([]string, requests)
	for i := range ids {
		ids[i] = ident.New()
		header := map[string]string{"X-Chervil-Request-Id": ids[i], "X-Chervil-Repeatable": "false", "X-Chervil-Deadline-Ms": "6000"}
		go func() {
			status, body := f.sendRequest(i%2, `{"work_ms":600}`, header)
			if status != http.StatusOK && decodeError(t, body).Outcome == fault.Done {
				status = -1
			}
			statuses <- status
		}()
	}
	time.Sleep(200 * time.Millisecond)
	f.processes["agent-1"].kill()
	answered := 0
	for range ids {
		if <-statuses == http.StatusOK {
			answered++
		}
	}
	assert.Assert(t, answered > 0)
	runs := f.runsByRequest()
	for _, id := range ids {
		assert.Assert(t, runs[id] <= 1, "request %s ran %d times", id, runs[id])
	}
}

// TestPlannedStopAnswersRequestsInFlight stops an agent and an entry with requests in flight.
// Every request must still be answered.
func TestPlannedStopAnswersRequestsInFlight(t *testing.T) {
	f := newFleet(t, 3)
	const requests = 12
	errorBodies := make(chan string, requests)
	for i := range requests {
		go func() {
			status, body := f.sendRequest(i%2, `{"work_ms":1500}`, map[string]string{"X-Chervil-Repeatable": "false"})
			if status != http.StatusOK {
				errorBodies <- string(body)
				return
			}
			errorBodies <- ""
		}()
	}
	f.eventually("requests running", func() bool { return len(f.runsByRequest()) == requests })
	f.processes["agent-1"].signal(t, syscall.SIGTERM)
	f.processes["entry-1"].signal(t, syscall.SIGTERM)
	for range requests {
		assert.Equal(t, <-errorBodies, "")
	}
	f.eventually("agent ended", f.processes["agent-1"].ended)
}
