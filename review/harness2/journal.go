//go:build review2

package main

import (
	"strings"
	"sync"
	"time"
)

// journal is what the workers have seen. It is safe for concurrent use.
type journal struct {
	record *record

	mu        sync.Mutex
	running   map[string]int            // runs that have not ended, by job
	firstRun  map[string]time.Time      // by job
	starts    map[string]int            // by job
	done      map[string]map[string]int // runs that ended done, by job and task
	failed    map[string]map[uint32]int // runs that ended failed, by job and attempt
	failedOf  map[string]map[string]int // runs that ended failed, by job and task
	refusals  map[string]int            // rejected starts, by reason
	lastEvent time.Time
}

func newJournal(rec *record) *journal {
	return &journal{
		record: rec, running: map[string]int{}, firstRun: map[string]time.Time{}, starts: map[string]int{}, done: map[string]map[string]int{},
		failed: map[string]map[uint32]int{}, failedOf: map[string]map[string]int{}, refusals: map[string]int{},
	}
}

func jobOf(task string) string { return task[:strings.Index(task, ".")] }

func (j *journal) started(worker, task string, attempt uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job := jobOf(task)
	j.running[job]++
	j.starts[job]++
	if j.firstRun[job].IsZero() {
		j.firstRun[job] = time.Now()
	}
	j.record.line("run: %s run %d started on %s", task, attempt, worker)
}

func (j *journal) refused(worker, task string, attempt uint32, reason string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refusals[reason]++
	j.record.line("run: %s run %d rejected by %s: %s", task, attempt, worker, reason)
}

func (j *journal) ended(worker, task string, attempt uint32, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job := jobOf(task)
	j.running[job]--
	switch how {
	case "done":
		if j.done[job] == nil {
			j.done[job] = map[string]int{}
		}
		j.done[job][task]++
	case "failed":
		if j.failed[job] == nil {
			j.failed[job], j.failedOf[job] = map[uint32]int{}, map[string]int{}
		}
		j.failed[job][attempt]++
		j.failedOf[job][task]++
	}
	j.record.line("run: %s run %d ended on %s: %s", task, attempt, worker, how)
}

func (j *journal) acknowledged(worker, task string, attempt uint32, how string) {
	j.record.line("run: end of %s run %d on %s (%s) taken note of", task, attempt, worker, how)
}

// hasRunning reports whether a run of the job is at work.
func (j *journal) hasRunning(job string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.running[job] > 0
}

// totalRunning returns the number of runs at work.
func (j *journal) totalRunning() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, count := range j.running {
		n += count
	}
	return n
}

func (j *journal) startsOf(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts[job]
}

// doneTasks returns the number of the job's tasks of which a run has ended done.
func (j *journal) doneTasks(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.done[job])
}

// failures returns the number of different attempts of the job's runs that have ended failed, and the
// most runs of one task that have.
func (j *journal) failures(job string) (attempts, mostOfTask int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, n := range j.failedOf[job] {
		mostOfTask = max(mostOfTask, n)
	}
	return len(j.failed[job]), mostOfTask
}

// doneOfStep returns the number of tasks of a step of which a run has ended done.
func (j *journal) doneOfStep(job string, step int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for task := range j.done[job] {
		if _, _, s, _ := parseTask(task); s == step {
			n++
		}
	}
	return n
}
