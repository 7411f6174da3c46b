//go:build review3

package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	fillsWorkers = 2
	fillsTasks   = 6
	// fillsObserved is how long the tasks have to start after their job was accepted.
	fillsObserved = 40 * time.Second
	// lastsFor is longer than the case.
	lastsFor = time.Hour
)

// fillingTasks has tasks that last and fill come beside tasks that last and serve.
func fillingTasks(r *record, trouble bool) (verdict, error) {
	s, err := newSite(r, 2)
	if err != nil {
		return verdict{}, err
	}
	defer s.close()
	s.duration = func(task string) time.Duration {
		if strings.HasPrefix(task, "4") {
			return lastsFor
		}
		return 100 * time.Millisecond
	}
	if err := s.start(2, fillsWorkers, 2); err != nil {
		return verdict{}, err
	}
	if !within(10*time.Second, s.takesJobs) {
		return verdict{}, fmt.Errorf("%w: no job is accepted", errCannotRun)
	}
	const serving, filling = "4000000000000001", "4000000000000002"
	status, answer := s.call(0, "POST", serving,
		`{"task-spec":"feed","task-groups":[{"count":8,"cpu":6000,"mem-mb":6000,"long-running":true,"image":"s","target-ms":50,"max-per-server":4}]}`)
	r.log("8 serving tasks: %d %s", status, answer)
	if status != 200 || !within(10*time.Second, func() bool { return s.runs.tasksOf(serving) == 8 }) {
		return verdict{}, fmt.Errorf("%w: the serving tasks do not start", errCannotRun)
	}
	time.Sleep(3 * time.Second)
	cpu := 3000
	if trouble {
		cpu = 10000
	}
	status, answer = s.call(0, "POST", filling,
		fmt.Sprintf(`{"task-spec":"fill","task-groups":[{"count":%d,"cpu":%d,"mem-mb":6000,"long-running":true,"fills":true,"image":"b"}]}`, fillsTasks, cpu))
	r.log("%d filling tasks of %d thousandths of a core: %d %s", fillsTasks, cpu, status, answer)
	if status != 200 {
		return verdict{}, fmt.Errorf("%w: the job is not accepted", errCannotRun)
	}
	time.Sleep(fillsObserved)
	started := s.runs.tasksOf(filling)
	text := fmt.Sprintf("%d of %d tasks that last and fill have started %v after their job was accepted; each runner has 104 of 128 GB and 8 of 32 cores beside its serving tasks", started, fillsTasks, fillsObserved)
	return verdict{broken: started < fillsTasks, text: text}, nil
}
