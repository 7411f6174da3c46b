//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// request sends a client's request to an entry. Status 0 means that no answer came.
func (s *site) request(entry int, method, prefix, id, body string, deadline time.Duration) (int, string) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", s.entryIP(entry), frontPort, prefix, id), strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = routeHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Chervilridge-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := &http.Client{Timeout: deadline + 200*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(content))
}

// submit hands a job in, with up to four retries at other entries, as the platform's clients do. It
// reports whether the job was accepted.
func (s *site) submit(prefix, id, body string) bool {
	if prefix == plainPrefix {
		s.plain.Store(id, true)
	}
	for try := range 5 {
		entry := try % s.options.entries
		status, content := s.request(entry, http.MethodPost, prefix, id, body, 3*time.Second)
		s.record.line("client: POST %s%s at entry %d -> %d %.120s", prefix, id, entry, status, content)
		if status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// jobState asks all entries in turn for a job's state. It returns "410" if the job is unknown, and "" if
// there is no answer.
func (s *site) jobState(prefix, id string) string {
	for entry := range s.options.entries {
		status, content := s.request(entry, http.MethodGet, prefix, id, "", 3*time.Second)
		var body struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusOK && json.Unmarshal([]byte(content), &body) == nil:
			return body.State
		case status == http.StatusGone:
			return "410"
		}
	}
	return ""
}

// awaitState waits until the job is shown in one of the states, and returns the last one shown.
func (s *site) awaitState(prefix, id string, limit time.Duration, states ...string) string {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		last = s.jobState(prefix, id)
		for _, want := range states {
			if last == want {
				return last
			}
		}
	}
	return last
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }
