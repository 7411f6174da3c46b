//go:build review2

package main

import (
	"fmt"
	"time"
)

// playEvacuation submits jobs to a queue with a placement advisor while the largest zone is evacuated;
// without trouble, no zone is. The workers of the other zones have a small lasting load. It judges LOST as
// playAdvice does, by the workers outside of the evacuated zone alone.
func playEvacuation(repo string, rec *record, trouble bool) (int, error) {
	const (
		largest, others       = 32, 8 // workers in pnw-a, and in pnw-b and pnw-c together
		workerCPU, lastingCPU = 32000, 3200
		jobs, tasks, taskCPU  = 5, 4, 500
		window, watched       = 3 * time.Second, 20 * time.Second
	)
	adv := newAdvisor(rec, 50*time.Millisecond, time.Millisecond, 3*time.Second)
	lastingJob := jobID(0x5000)
	s, err := startSite(repo, rec, siteOptions{
		entries: 3, workers: largest + others, entryMemoryMB: 284, workerCPUMilli: workerCPU, workerMemoryMB: 128000, advisor: adv, routeExtra: adv.routeExtra(),
		zoneOf: func(w int) string {
			if w < largest {
				return "pnw-a"
			}
			return zone(1 + w%2)
		},
		runOutcome: func(_ *worker, task string) (time.Duration, string) {
			if jobOf(task) == lastingJob {
				return lasting, ""
			}
			return 800 * time.Millisecond, "done"
		},
	})
	defer s.stop()
	if err != nil {
		return notRun, err
	}
	if trouble {
		s.state.Put("keyed.op", "evacuate/pnw-a", []byte("{}"))
		rec.line("operator: pnw-a is to be evacuated, acknowledged")
		time.Sleep(5 * time.Second) // evacuate-ms
	}
	if !s.submit(plainPrefix, lastingJob, fmt.Sprintf(`{"task-spec":"feed","task-groups":[{"count":%d,"cpu":%d,"mem-mb":13000,"long-running":true,"max-per-server":1}]}`, others, lastingCPU)) {
		return notRun, fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(2 * time.Second)
	rec.line("%d lasting tasks are at work", s.journal.startsOf(lastingJob))
	body := fmt.Sprintf(`{"task-spec":"quote","task-groups":[{"count":%d,"cpu":%d,"mem-mb":960,"estimate-ms":800}]}`, tasks, taskCPU)
	accepted := make([]bool, jobs)
	for i := range jobs {
		accepted[i] = s.submit(routePrefix, jobID(i), body)
		time.Sleep(time.Second)
	}
	rec.line("end of the traffic")
	time.Sleep(finishTime)
	idleSince, worst := make([]time.Time, jobs), make([]time.Duration, jobs)
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i := range jobs {
			idle := accepted[i] && !s.journal.hasRunning(jobID(i)) && s.journal.doneTasks(jobID(i)) < tasks
			switch {
			case !idle:
				idleSince[i] = time.Time{}
			case idleSince[i].IsZero():
				idleSince[i] = time.Now()
			default:
				worst[i] = max(worst[i], time.Since(idleSince[i]))
			}
		}
	}
	rec.line("in use outside of pnw-a: %d of %d thousandths of a core, all of it by tasks that last", others*lastingCPU, others*workerCPU)
	code := held
	for i := range jobs {
		rec.line("job %s: accepted %t, shown as %q, %d of %d tasks done, %d starts, idle with room for %.1f s", jobID(i), accepted[i], s.jobState(routePrefix, jobID(i)),
			s.journal.doneTasks(jobID(i)), tasks, s.journal.startsOf(jobID(i)), worst[i].Seconds())
		if worst[i] > window {
			code = broken
		}
	}
	return code, nil
}
