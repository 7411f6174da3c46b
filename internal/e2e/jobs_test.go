package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/entry/api"
	"chervilridge/internal/fault"
	"chervilridge/internal/jobs"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/standin/server"
)

func jobBody(tasks int, runMs int) []byte {
	return fmt.Appendf(nil, `{"team":"cascade","job_class":"layout-quote","tasks":%d,"cpu_milli":4000,"memory_mb":4096,"duration_ms":%d,"payload":{"run_ms":%d}}`,
		tasks, runMs, runMs)
}

// submit enters a job and returns its id.
func (f *fleet) submit(body []byte, key string) string {
	var out jobs.Submission
	f.eventually("job accepted", func() bool {
		status, answer := f.call(http.MethodPost, f.entries[0], "/v1/jobs", body, map[string]string{"Idempotency-Key": key})
		return status == http.StatusAccepted && json.Unmarshal(answer, &out) == nil
	})
	return out.JobID
}

func (f *fleet) job(id string) (api.JobView, bool) {
	var v api.JobView
	status, body := f.call(http.MethodGet, f.entries[1], "/v1/jobs/"+id, nil, nil)
	return v, status == http.StatusOK && json.Unmarshal(body, &v) == nil
}

// finish waits until all tasks of a job have a result, each its own.
func (f *fleet) finish(id string, tasks int) {
	f.t.Helper()
	var last api.JobView
	f.eventually("job finished", func() bool {
		v, ok := f.job(id)
		last = v
		return ok && v.States["finished"] == tasks
	})
	for i, task := range last.Tasks {
		assert.Assert(f.t, len(task.Result) > 0, "task %d has no result", i)
	}
}

// kept checks that the recorder at the workers saw no broken promise.
func (f *fleet) kept() {
	f.t.Helper()
	assert.DeepEqual(f.t, f.recorder().Violations, []string{})
}

func (f *fleet) owner() string {
	name := ""
	f.eventually("shard owned", func() bool {
		v, ok := f.view(f.entries[0])
		if ok && len(v.Owners) > 0 {
			name = v.Owners[0].Agent
		}
		return name != ""
	})
	return name
}

func TestJobSurvivesAPausedOwner(t *testing.T) {
	f := newFleet(t, 4)
	id := f.submit(jobBody(12, 1500), "paused")
	owner := f.owner()
	f.procs[owner].signal(t, syscall.SIGSTOP)
	f.eventually("another owner", func() bool {
		v, ok := f.view(f.entries[1])
		return ok && len(v.Owners) > 0 && v.Owners[0].Agent != owner
	})
	f.procs[owner].signal(t, syscall.SIGCONT)
	f.finish(id, 12)
	f.kept()
}

func TestJobSurvivesAKilledOwner(t *testing.T) {
	f := newFleet(t, 4)
	id := f.submit(jobBody(12, 1500), "killed")
	owner := f.owner()
	f.procs[owner].kill()
	f.restart(owner)
	f.finish(id, 12)
	f.kept()
}

func TestEverythingRestartsAtOnce(t *testing.T) {
	f := newFleet(t, 3)
	id := f.submit(jobBody(9, 1500), "restart")
	before, _ := f.view(f.entries[0])
	for _, name := range []string{"entry-1", "entry-2", "agent-1", "agent-2", "agent-3"} {
		f.procs[name].kill()
		f.restart(name)
	}
	f.eventually("agents announced again", func() bool { return f.ready(3) })
	f.finish(id, 9)
	f.eventually("table in force again", func() bool {
		v, ok := f.view(f.entries[0])
		return ok && v.TableVersion >= before.TableVersion
	})
	f.kept()
}

func TestLogOutage(t *testing.T) {
	f := newFleet(t, 3)
	id := f.submit(jobBody(3, 3000), "outage")
	f.eventually("job started", func() bool { v, ok := f.job(id); return ok && v.States["assigned"] > 0 })
	f.logFaults(logstore.Faults{Down: true})
	status, body := f.request(0, `{"check":1}`, nil)
	assert.Equal(t, status, http.StatusOK, string(body))
	status, body = f.call(http.MethodPost, f.entries[0], "/v1/jobs", jobBody(1, 10), nil)
	assert.Equal(t, status, http.StatusServiceUnavailable, string(body))
	assert.Equal(t, errorBody(t, body).Outcome, fault.NotRun)
	status, body = f.call(http.MethodPost, f.entries[0], "/v1/data-centres/pnw-a/out", nil, nil)
	assert.Equal(t, status, http.StatusServiceUnavailable, string(body))
	assert.Equal(t, errorBody(t, body).Outcome, fault.NotRun)
	f.logFaults(logstore.Faults{})
	f.finish(id, 3)
	f.kept()
}

func TestNoStartInADataCentreThatIsOut(t *testing.T) {
	f := newFleet(t, 3)
	first := f.submit(jobBody(6, 8000), "running")
	f.eventually("job started", func() bool { v, ok := f.job(first); return ok && v.States["assigned"] == 6 })
	status, body := f.call(http.MethodPost, f.entries[0], "/v1/data-centres/pnw-b/out", nil, nil)
	assert.Equal(t, status, http.StatusOK, string(body))
	const promised = 3 * time.Second // after which no task may start there
	time.Sleep(promised)
	status, _ = f.call(http.MethodPost, f.platform, server.PathForbid, []byte(`{"data_centre":"pnw-b","forbidden":true}`), nil)
	assert.Equal(t, status, http.StatusOK)
	second := f.submit(jobBody(8, 500), "elsewhere")
	f.finish(first, 6)
	f.finish(second, 8)
	f.kept()
	v, _ := f.job(first)
	for _, task := range v.Tasks {
		assert.Assert(t, task.Worker != "worker-2", "task %d ended in the data centre that is out", task.Index)
	}
}
