package sitetest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// malformedMessages returns messages that no peer sends: random bytes, and the beginnings of
// calls with random bodies.
func malformedMessages(seed uint64) [][]byte {
	const most = 2000
	random := rand.New(rand.NewPCG(seed, 0))
	out := make([][]byte, 0, 8)
	for _, start := range []string{
		"", "POST %s HTTP/1.1\r\nHost: " + routeHost + "\r\nContent-Length: 500\r\n\r\n", "PUT /v1/instances/i-0 HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{",
		"DELETE /v1/instances/ HTTP/1.1\r\nHost: x\r\n\r\n", "GET /\x00 HTTP/1.1\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00",
	} {
		body := make([]byte, 1+random.IntN(most))
		for i := range body {
			body[i] = byte(random.Uint32())
		}
		if start != "" && start[:4] == "POST" {
			start = fmt.Sprintf(start, jobPath(999))
		}
		out = append(out, append([]byte(start), body...))
	}
	return out
}

func TestMalformedMessagesOnEachPortEndNoProcess(t *testing.T) {
	const rounds, timeout = 5, time.Second
	s := startSite(t, 2, 2)
	s.submit(1, 3)
	for seed := range uint64(rounds) {
		for _, message := range malformedMessages(seed) {
			for _, name := range s.programNames {
				for _, port := range []int{frontPort, readyPort, controlPort, peerPort, metricsPort} {
					conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", s.programs[name].ip, port), timeout)
					if err != nil {
						continue // the program does not listen there
					}
					_ = conn.SetDeadline(time.Now().Add(timeout))
					_, _ = conn.Write(message)
					_ = conn.Close()
				}
			}
		}
	}
	for _, name := range s.programNames {
		assert.NilError(t, s.programs[name].command.Process.Signal(syscall.Signal(0)), "%s has ended", name)
	}
	s.submit(2, 3)
	for _, job := range []int{1, 2} {
		s.waitState(job, "completed")
	}
	assert.Equal(t, len(s.journal.Violations()), 0, s.journal.Violations())
}

// oddHeartbeats returns heartbeats of another writer to the agent of a worker, by name.
func (s *site) oddHeartbeats(agent int) map[string]string {
	with := func(service, address, more string) string {
		return fmt.Sprintf(`{"backend":"%s","address":"%s","zone":"zone-%d","version":"v1","slots":8,"state":"ready","cold-left-ms":0,`+
			`"capacity":{"cpu":16000,"mem-mb":32768,"gpus":0},"labels":["a"],"clock-ms":482113,"seq":4,"born":%d%s}`,
			service, address, agent, time.Now().UnixMilli(), more)
	}
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	address := s.workerAddress(agent)
	return map[string]string{
		"nested":           nested,
		"nested field":     with(serviceName, address, `,"other":`+nested),
		"number too large": with(serviceName, address, `,"clock-ms":1e400`),
		"time too large":   with(serviceName, address, `,"cold-left-ms":1e300`),
		"long number":      with(serviceName, address, `,"seq":`+strings.Repeat("9", 1<<20)),
		"negative number":  with(serviceName, address, `,"capacity":{"cpu":-1,"mem-mb":1,"gpus":0}`),
		"port too large":   with(serviceName, s.ip(agent+1)+":99999", ""),
		"port 0":           with(serviceName, s.ip(agent+1)+":0", ""),
		"another port":     with(serviceName, s.ip(agent+1)+":8080", ""),
		"service":          with("nosuch-desk", address, ""),
		"labels":           with(serviceName, address, `,"labels":["`+strings.Repeat("x", 3<<20)+`"]`),
		"state":            with(serviceName, address, `,"state":"asleep"`),
	}
}

func TestOddEntriesOfAnotherWriterChangeNothing(t *testing.T) {
	const agents, tasks, rounds = 2, 4, 3
	s := startSite(t, 2, agents)
	s.taskDuration.Store(int64(4 * time.Second))
	s.submit(1, tasks)
	s.eventually("all tasks run", func() bool { return s.countRunning() == tasks })
	for round := range rounds {
		s.putOddRecords(round)
		for agent := range agents {
			for name, body := range s.oddHeartbeats(agent) {
				assert.Equal(t, s.putHeartbeat(agent, "i-9", body), http.StatusBadRequest, name)
			}
			for _, id := range []string{"%ff", "i%0d%0a9", "i%209", strings.Repeat("i", 100_000)} {
				assert.Equal(t, s.putHeartbeat(agent, id, fmt.Sprintf(`{"backend":"%s","address":"%s","zone":"z","state":"ready","seq":4}`, serviceName, s.workerAddress(agent))), http.StatusBadRequest, "%.20q", id)
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.waitState(1, "completed")
	assert.Equal(t, s.journal.StartedRuns(jobID(1)), tasks, "a run was lost")
	for _, name := range s.programNames {
		assert.NilError(t, s.programs[name].command.Process.Signal(syscall.Signal(0)), "%s has ended", name)
	}
	s.taskDuration.Store(int64(taskDuration))
	before := [agents]int{s.startsOnWorker(0), s.startsOnWorker(1)}
	s.putConfig(2, "quotes", "more")
	s.eventually("the next configuration", func() bool {
		status, _ := s.call(0, http.MethodGet, "/more/", "")
		return status == http.StatusOK
	})
	s.submit(2, 14)
	s.waitState(2, "completed")
	for agent := range agents {
		assert.Assert(t, s.startsOnWorker(agent) > before[agent], "worker %d is not used any more", agent)
	}
	assert.Equal(t, len(s.journal.Violations()), 0, s.journal.Violations())
}

// putHeartbeat sends a heartbeat to an agent and returns the status; 0 is no response. The id is
// a part of a URL.
func (s *site) putHeartbeat(agent int, id, body string) int {
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/v1/instances/%s", s.ip(agent+1), controlPort, id), strings.NewReader(body))
	assert.NilError(s.t, err)
	response, err := s.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// putOddRecords writes records of another writer to the topics that the entries read.
func (s *site) putOddRecords(round int) {
	nested := strings.Repeat("[", 100_000)
	for key, value := range map[string]string{
		"config": `{"version":1e400,"routes":[]}`, "wave/1": nested, "wave/2": `{"wave":1,"machines":["m"],"duration-s":1e400}`,
		"wave/\xff": "{}", "evacuate/\xff": "{}", "evacuate/": nested, "": "x", "other": nested, "config/": "\xff",
	} {
		s.state.Put("keyed.op", key, []byte(value))
		s.state.Put("keyed.owner", "x"+key, []byte(value))
		s.state.Put("keyed.state", fmt.Sprintf("x%d%s", round, key), []byte(value))
	}
}
