package sitetest

import (
	"fmt"
	"math/rand/v2"
	"net"
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
