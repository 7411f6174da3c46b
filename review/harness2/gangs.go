//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// gangWait is bounds.gang-wait-ms, breakDelay the time until the workers of the other members hear of
	// an end.
	gangWait   = 3 * time.Second
	breakDelay = 200 * time.Millisecond
)

// gangs holds the runs of gangs on all workers. It is safe for concurrent use.
type gangs struct {
	mu   sync.Mutex
	size map[string]int // members by job, or by job and step for jobs with several occurrences or steps
	runs map[gangRun]*gangState
}

// gangRun is one run of a gang.
type gangRun struct {
	step    string
	attempt uint32
}

type gangState struct {
	present   int
	completed time.Time // when all members were present; zero before
	brokenAt  time.Time // when the first member ended otherwise than done; zero if none did
}

func newGangs() *gangs { return &gangs{size: map[string]int{}, runs: map[gangRun]*gangState{}} }

// declare names a job whose only step is a gang.
func (g *gangs) declare(job string, members int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.size[job] = members
}

// declareStep names a step that is a gang.
func (g *gangs) declareStep(job string, step, members int) {
	g.declare(fmt.Sprintf("%s/%d", job, step), members)
}

// join adds a member that has started. It returns nil if the task is not of a gang.
func (g *gangs) join(task string, attempt uint32) *gangState {
	g.mu.Lock()
	defer g.mu.Unlock()
	size := g.size[jobOf(task)]
	if size == 0 {
		_, _, step, _ := parseTask(task)
		size = g.size[fmt.Sprintf("%s/%d", jobOf(task), step)]
	}
	if size == 0 {
		return nil
	}
	key := gangRun{stepOf(task), attempt}
	state := g.runs[key]
	if state == nil {
		state = &gangState{}
		g.runs[key] = state
	}
	if state.present++; state.present == size {
		state.completed = time.Now()
	}
	return state
}

// outcome returns how a member that started at the time, and works for the duration once all are
// present, ends now; "" if it does not.
func (g *gangs) outcome(state *gangState, startedAt, now time.Time, work time.Duration) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !state.brokenAt.IsZero() && now.Sub(state.brokenAt) > breakDelay:
		return "broken"
	case !state.completed.IsZero() && now.Sub(state.completed) > work && state.brokenAt.IsZero():
		return "done"
	case state.completed.IsZero() && now.Sub(startedAt) > gangWait:
		return "alone"
	}
	return ""
}

// ended records the end of a member.
func (g *gangs) ended(state *gangState, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state.present--
	if how != "done" && state.brokenAt.IsZero() {
		state.brokenAt = time.Now()
	}
}
