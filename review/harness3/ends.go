//go:build review3

package main

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

const (
	endsJobs    = 6
	endsTasks   = 1000
	endsWorkers = 2
	// agentAge is the age of the agents from which no earlier process of theirs can have calls under way.
	agentAge = 17 * time.Second
	// From slowAt after the first job on, the store's answers take slowFactor times as long, for slowTime.
	slowAt     = 1500 * time.Millisecond
	slowTime   = 4500 * time.Millisecond
	slowFactor = 60
)

// manyEnds has many small tasks end while the store is slow.
func manyEnds(r *record, trouble bool) (verdict, error) {
	s, err := newSite(r, 2)
	if err != nil {
		return verdict{}, err
	}
	defer s.close()
	s.duration = func(task string) time.Duration {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return 3*time.Second + time.Duration(h.Sum32()%300)*time.Millisecond
	}
	if err := s.start(2, endsWorkers, 2); err != nil {
		return verdict{}, err
	}
	if !within(10*time.Second, s.takesJobs) {
		return verdict{}, fmt.Errorf("%w: no job is accepted", errCannotRun)
	}
	time.Sleep(agentAge)
	body := fmt.Sprintf(`{"task-spec":"mark","task-groups":[{"count":%d,"cpu":10,"mem-mb":32,"estimate-ms":3000}]}`, endsTasks)
	began := time.Now()
	for i := range endsJobs {
		id := fmt.Sprintf("%016x", 0x3000000000000000+i)
		status, answer := s.call(i%2, "POST", id, body)
		r.log("job %s of %d tasks: %d %s", id, endsTasks, status, answer)
		if status != 200 {
			return verdict{}, fmt.Errorf("%w: a job is not accepted", errCannotRun)
		}
	}
	time.Sleep(time.Until(began.Add(slowAt)))
	if trouble {
		r.log("the store's answers take %d times as long", slowFactor)
		s.store.setSlow(slowFactor)
	}
	time.Sleep(slowTime)
	if trouble {
		s.store.setSlow(1)
		r.log("the store is as fast as before")
	}
	completed := 0
	within(30*time.Second, func() bool {
		completed = 0
		for i := range endsJobs {
			id := fmt.Sprintf("%016x", 0x3000000000000000+i)
			if status, answer := s.call(i%2, "GET", id, ""); status == 200 && strings.Contains(answer, "completed") {
				completed++
			}
		}
		return completed == endsJobs
	})
	time.Sleep(2 * time.Second)
	lapses := map[string][]time.Time{}
	for _, w := range s.workers {
		w.mu.Lock()
		lapses[w.id] = w.lapsed
		r.log("worker %s: %d ends, leases lapsed %d times", w.id, w.numbers, len(w.lapsed))
		w.mu.Unlock()
	}
	twice := s.runs.twice(lapses)
	for _, t := range twice {
		r.log("TWICE %s", t)
	}
	starts, done := s.runs.counts()
	text := fmt.Sprintf("%d of %d jobs completed; %d tasks, %d starts, %d runs ended done; %d breaks of TWICE", completed, endsJobs, endsJobs*endsTasks, starts, done, len(twice))
	return verdict{broken: len(twice) > 0, text: text}, nil
}
