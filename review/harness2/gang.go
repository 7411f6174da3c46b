//go:build review2

package main

import (
	"fmt"
	"time"
)

// playGang submits a job whose only step is a gang. With trouble, one worker fails all that it starts. It
// judges LOST: a job may be shown as failed only once a task, or the gang, has failed max-attempts times.
func playGang(repo string, rec *record, trouble bool) (int, error) {
	const workers, members, maxAttempts, grey = 11, 36, 4, 0
	work := 800 * time.Millisecond
	s, err := startSite(repo, rec, siteOptions{
		entries: 3, workers: workers, entryMemoryMB: 284, workerCPUMilli: 32000, workerMemoryMB: 128000,
		runOutcome: func(w *worker, _ string) (time.Duration, string) {
			if trouble && w.index == grey {
				return 100 * time.Millisecond, "failed"
			}
			return work, "done"
		},
	})
	defer s.stop()
	if err != nil {
		return notRun, err
	}
	if trouble {
		rec.line("worker %s fails all that it starts", s.workers[grey].id)
	}
	id := jobID(1)
	s.gangs.declare(id, members)
	body := fmt.Sprintf(`{"task-spec":"quote","task-groups":[{"count":%d,"cpu":500,"mem-mb":960,"estimate-ms":800,"gang":true}]}`, members)
	if !s.submit(routePrefix, id, body) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	state := s.awaitState(routePrefix, id, 30*time.Second, "completed", "failed", "cancelled")
	attempts, mostOfTask := s.journal.failures(id)
	rec.line("job %s is shown as %q; max-attempts %d; runs of the gang that failed: %d; most failed runs of one task: %d; tasks done %d of %d",
		id, state, maxAttempts, attempts, mostOfTask, s.journal.doneTasks(id), members)
	if state == "failed" && attempts < maxAttempts && mostOfTask < maxAttempts {
		return broken, nil
	}
	if state != "completed" {
		return notRun, fmt.Errorf("the job is shown as %q", state)
	}
	return held, nil
}
