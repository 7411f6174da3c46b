//go:build review2

package main

import (
	"fmt"
	"time"
)

// playCrowd submits a job with two independent steps: a wide one for workers of kind b, and a small one for any
// worker. With trouble, the only worker of kind b is lost for good before. It judges LOST: from finish_s after
// the end of the traffic, the job may not have nothing running for 3 s while a task's turn has come, with room
// for it and under half of the capacity in use.
func playCrowd(repo string, rec *record, trouble bool) (int, error) {
	const (
		workers, kindB  = 11, 10
		wide, small     = 1000, 8
		window, watched = 3 * time.Second, 20 * time.Second
	)
	s, err := startSite(repo, rec, siteOptions{
		entries: 3, workers: workers, entryMemoryMB: 284, workerCPUMilli: 32000, workerMemoryMB: 128000,
		kindOf: func(w int) string {
			if w == kindB {
				return "b"
			}
			return "a"
		},
		runOutcome: func(*worker, string) (time.Duration, string) { return 300 * time.Millisecond, "done" },
	})
	defer s.stop()
	if err != nil {
		return notRun, err
	}
	if trouble {
		go s.workers[kindB].crash(time.Hour, false)
		time.Sleep(3 * time.Second)
	}
	id := jobID(1)
	body := fmt.Sprintf(`{"task-spec":"quote","task-groups":[{"count":%d,"cpu":100,"mem-mb":50,"constraints":"b"},{"count":%d,"cpu":500,"mem-mb":960}]}`, wide, small)
	if !s.submit(routePrefix, id, body) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	rec.line("end of the traffic")
	time.Sleep(finishTime)
	var idleSince time.Time
	worst := time.Duration(0)
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		switch idle := !s.journal.hasRunning(id) && s.journal.doneOfStep(id, 1) < small; {
		case !idle:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		default:
			worst = max(worst, time.Since(idleSince))
		}
	}
	rec.line("job %s: shown as %q, done: %d of %d tasks for kind b, %d of %d for any worker; %d starts in all; nothing running with room for %.1f s",
		id, s.jobState(routePrefix, id), s.journal.doneOfStep(id, 0), wide, s.journal.doneOfStep(id, 1), small, s.journal.startsOf(id), worst.Seconds())
	if worst > window {
		return broken, nil
	}
	return held, nil
}
