package sitetest

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callEverywhere waits until all entries answer the call with the status.
func (s *site) callEverywhere(entries int, method, path, body string, want int) {
	s.t.Helper()
	for e := range entries {
		s.eventually(method+" "+path, func() bool {
			status, _ := s.call(e, method, path, body)
			return status == want
		})
	}
}

// Guards against a job that is lost or cancelled by a call that is answered 404 on its removed route.
func TestCallsOnARemovedRouteChangeNothing(t *testing.T) {
	const entries, tasks = 2, 2
	s := startSite(t, entries, 2)
	s.taskDuration.Store(int64(3 * time.Second))
	s.submit(0, tasks)
	s.waitState(0, "running")
	s.putConfig(2, "plans")
	s.callEverywhere(entries, http.MethodGet, "/quotes/", "", http.StatusNotFound)
	for e := range entries {
		for method, path := range map[string]string{http.MethodGet: jobPath(0), http.MethodDelete: jobPath(0), http.MethodPost: jobPath(1)} {
			status, _ := s.call(e, method, path, jobBody(1))
			assert.Equal(t, status, http.StatusNotFound, "%s %s", method, path)
		}
	}
	s.eventually("tasks done", func() bool {
		done, _ := s.journal.DoneCounts()
		return done == tasks
	})
	s.putConfig(3, "quotes")
	s.callEverywhere(entries, http.MethodGet, "/quotes/", "", http.StatusOK)
	s.waitState(0, "completed")
	status, _ := s.call(0, http.MethodGet, jobPath(1), "")
	assert.Equal(t, status, http.StatusGone, "the job that was answered 404 is not accepted")
	s.checkAllDoneOnce(tasks)
}

// Guards against a job that can't be cancelled because another route has replaced its own.
func TestJobIsFoundOnTheRouteThatReplacedItsOwn(t *testing.T) {
	const entries = 2
	s := startSite(t, entries, 2)
	s.taskDuration.Store(int64(time.Minute))
	s.submit(0, 2)
	s.waitState(0, "running")
	s.putRoutes(2, route{name: "r-other", prefix: "/quotes/"}, route{name: "r-plans", prefix: "/plans/"})
	s.callEverywhere(entries, http.MethodGet, "/plans/", "", http.StatusOK)
	s.callEverywhere(entries, http.MethodGet, jobPath(0), "", http.StatusOK)
	status, _ := s.call(1, http.MethodDelete, jobPath(0), "")
	assert.Equal(t, status, http.StatusOK)
	s.waitState(0, "cancelled")
	s.eventually("nothing runs", func() bool { return s.countRunning() == 0 })
}
