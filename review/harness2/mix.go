//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chervilridge/internal/standin/metastore"
)

type mixStep struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"mem-mb"`
	After       []int  `json:"after,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	SameRack    bool   `json:"same-rack,omitempty"`
	Constraints string `json:"constraints,omitempty"`
	MaxPer      int    `json:"max-per-server,omitempty"`
	Checkpoint  bool   `json:"checkpointable,omitempty"`
	Speculative bool   `json:"speculative,omitempty"`
	Lasting     bool   `json:"long-running,omitempty"`
	Affinity    string `json:"affinity,omitempty"`
}

type mixJob struct {
	Spec     string    `json:"task-spec"`
	Steps    []mixStep `json:"task-groups"`
	Repeat   int       `json:"repeat-count,omitempty"`
	StartAt  int64     `json:"start-at-ms,omitempty"`
	Interval int64     `json:"interval-ms,omitempty"`

	id          string
	failing     bool // its tasks always fail
	accepted    bool
	cancelledAt time.Time
}

// checker checks the rules on what the workers see.
type checker struct {
	mu         sync.Mutex
	rec        *record
	jobs       map[string]*mixJob
	live       map[string]string          // task -> worker/attempt of the run that has not ended
	doneRuns   map[string]map[string]bool // task -> run names that ended done
	suspicious map[string]string          // done run -> the start after it
	noted      map[string]bool            // done runs taken note of
	failed     map[string]int             // task -> failed ends taken note of
	failedEnds map[string]int             // task -> failed ends
	perStep    map[string]map[string]int  // worker -> step -> runs
	use        map[string][2]int          // worker -> cpu, memory
	violations []string
	alone      int
	starts     int
}

func newChecker(rec *record) *checker {
	return &checker{rec: rec, jobs: map[string]*mixJob{}, live: map[string]string{}, doneRuns: map[string]map[string]bool{}, suspicious: map[string]string{}, noted: map[string]bool{},
		failed: map[string]int{}, failedEnds: map[string]int{}, perStep: map[string]map[string]int{}, use: map[string][2]int{}}
}

func (c *checker) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	c.rec.line("VIOLATION %s", text)
}

func parseTask(task string) (job string, k, step, index int) {
	parts := strings.Split(task, ".")
	k, _ = strconv.Atoi(parts[1])
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], k, step, index
}

func (c *checker) start(w *worker, task string, attempt uint32, spec, checkpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	id, k, step, _ := parseTask(task)
	j := c.jobs[id]
	name := fmt.Sprintf("%s/%d@%s.%d", task, attempt, w.id, w.born.UnixMilli())
	if j == nil {
		c.violate("UNASKED %s of no job", name)
		return
	}
	if spec != j.Spec {
		c.violate("UNASKED %s has the spec %q", name, spec)
	}
	st := j.Steps[step]
	if checkpoint != "" && !strings.HasPrefix(checkpoint, fmt.Sprintf("%s.%d.%d.", id, k, step)) || checkpoint != "" && !st.Gang && !strings.HasPrefix(checkpoint, task+"#") {
		c.violate("UNASKED %s has the checkpoint %q", name, checkpoint)
	}
	if other, ok := c.live[task]; ok {
		c.violate("TWICE %s starts while %s runs", name, other)
	}
	for done := range c.doneRuns[task] {
		if c.noted[done] {
			c.violate("TWICE %s starts after %s has ended done and that was taken note of", name, done)
		}
		c.suspicious[done] = name
	}
	for _, a := range st.After {
		for i := range j.Steps[a].Count {
			before := fmt.Sprintf("%s.%d.%d.%d", id, k, a, i)
			if len(c.doneRuns[before]) == 0 && !j.Steps[a].Gang {
				c.violate("ORDER %s before %s is done", name, before)
			}
		}
	}
	if j.Repeat > 0 {
		if due := j.StartAt + int64(k)*j.Interval; time.Now().UnixMilli() < due-250 {
			c.violate("ORDER %s is %d ms early", name, due-time.Now().UnixMilli())
		}
	}
	if c.failed[task] >= 4 && !st.Lasting {
		c.violate("BUDGET %s after %d failed ends", name, c.failed[task])
	}
	if st.Constraints != "" && st.Constraints != w.kind() {
		c.violate("ROUTE %s needs label %s, the worker has %s", name, st.Constraints, w.kind())
	}
	if c.perStep[w.id] == nil {
		c.perStep[w.id] = map[string]int{}
	}
	c.perStep[w.id][stepOf(task)]++
	if st.MaxPer > 0 && c.perStep[w.id][stepOf(task)] > st.MaxPer {
		c.violate("ROUTE %s is beyond max-per-server %d", name, st.MaxPer)
	}
	u := c.use[w.id]
	u[0], u[1] = u[0]+st.CPU, u[1]+st.MemMB
	c.use[w.id] = u
	if u[0] > w.site.options.workerCPUMilli || u[1] > w.site.options.workerMemoryMB {
		c.violate("LIMIT %s takes the worker to %v", name, u)
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > 3*time.Second {
		c.rec.line("NOTE %s starts %v after the cancel", name, time.Since(j.cancelledAt))
	}
	c.live[task] = name
	c.rec.line("start %s checkpoint %q", name, checkpoint)
}

func (c *checker) end(w *worker, task string, attempt uint32, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := fmt.Sprintf("%s/%d@%s.%d", task, attempt, w.id, w.born.UnixMilli())
	c.rec.line("end %s %s", name, how)
	id, _, step, _ := parseTask(task)
	if c.live[task] == name {
		delete(c.live, task)
	}
	if j := c.jobs[id]; j != nil {
		u := c.use[w.id]
		u[0], u[1] = u[0]-j.Steps[step].CPU, u[1]-j.Steps[step].MemMB
		c.use[w.id] = u
		c.perStep[w.id][stepOf(task)]--
	}
	switch how {
	case "done":
		if c.doneRuns[task] == nil {
			c.doneRuns[task] = map[string]bool{}
		}
		c.doneRuns[task][name] = true
	case "failed":
		c.failedEnds[task]++
	case "alone":
		c.alone++
	}
}

// note records that an end was taken note of. lapsed is set if the lease lapsed between the two.
func (c *checker) note(w *worker, task string, attempt uint32, how string, lapsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := fmt.Sprintf("%s/%d@%s.%d", task, attempt, w.id, w.born.UnixMilli())
	c.rec.line("noted %s %s lapsed %t", name, how, lapsed)
	if lapsed {
		return
	}
	switch how {
	case "done":
		c.noted[name] = true
		if after, ok := c.suspicious[name]; ok {
			c.violate("TWICE %s was taken note of as done after %s had started", name, after)
		}
	case "failed":
		c.failed[task]++
	}
}

// playMix is a soak over what the bench's days don't play: gangs, jobs with times, labels, bounds per
// worker, checkpoints, with random disruptions.
func playMix(repo string, rec *record, trouble bool) (int, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, seed))
	c := newChecker(rec)
	const workers = 6
	s, err := startSite(repo, rec, siteOptions{
		entries: 3, workers: workers, entryMemoryMB: 284, workerCPUMilli: 8000, workerMemoryMB: 16000, checker: c,
		runOutcome: func(w *worker, task string) (time.Duration, string) {
			id, _, step, _ := parseTask(task)
			c.mu.Lock()
			j := c.jobs[id]
			c.mu.Unlock()
			if j != nil && j.Steps[step].Lasting {
				return lasting, ""
			}
			if j != nil && j.failing {
				return time.Duration(50+rand.IntN(400)) * time.Millisecond, "failed"
			}
			return time.Duration(100+rand.IntN(1200)) * time.Millisecond, "done"
		},
	})
	defer s.stop()
	if err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	if trouble {
		for n := range uint64(2) {
			wg.Go(func() { s.disturb(rand.New(rand.NewPCG(seed, n)), stop) })
		}
	}
	var mu sync.Mutex
	var jobs []*mixJob
	began := time.Now()
	for n := 0; time.Since(began) < 45*time.Second; n++ {
		j := randomJob(random, n)
		c.mu.Lock()
		c.jobs[j.id] = j
		c.mu.Unlock()
		for i, st := range j.Steps {
			if st.Gang {
				s.gangs.declareStep(j.id, i, st.Count)
			}
		}
		body, _ := json.Marshal(j)
		cancel := random.IntN(8) == 0 || j.Steps[0].Lasting
		after := time.Duration(random.IntN(6000)) * time.Millisecond
		wg.Go(func() {
			ok := s.submit(routePrefix, j.id, string(body))
			mu.Lock()
			j.accepted = ok
			jobs = append(jobs, j)
			mu.Unlock()
			if ok && cancel {
				time.Sleep(after)
				for try := range 20 {
					if status, _ := s.request(try%3, "DELETE", routePrefix, j.id, "", 3*time.Second); status/100 == 2 || status == 410 {
						c.mu.Lock()
						j.cancelledAt = time.Now()
						c.mu.Unlock()
						rec.line("cancelled %s %d", j.id, status)
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
				rec.line("not cancelled: %s", j.id)
			}
		})
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	rec.line("end of the traffic and of the disruptions")
	time.Sleep(finishTime + 10*time.Second)
	code := held
	for _, j := range jobs {
		state := s.jobState(routePrefix, j.id)
		want := "completed"
		if j.failing {
			want = "failed"
		}
		if !j.cancelledAt.IsZero() {
			want = "cancelled"
		}
		if j.accepted && state != want && !(want == "cancelled" && (state == "completed" || state == "failed")) {
			c.mu.Lock()
			c.violate("LOST %s is shown as %q, expected %q: %+v", j.id, state, want, *j)
			c.mu.Unlock()
		}
	}
	rec.line("%d jobs, %d starts, %d alone, %d violations", len(jobs), c.starts, c.alone, len(c.violations))
	fmt.Printf("seed %d: %d jobs, %d starts, %d alone, %d violations\n", seed, len(jobs), c.starts, c.alone, len(c.violations))
	for _, v := range c.violations {
		fmt.Println("  ", v)
		code = broken
	}
	return code, nil
}

func randomJob(r *rand.Rand, n int) *mixJob {
	j := &mixJob{id: jobID(0x10000 + n), Spec: fmt.Sprintf("spec %d é <&>", n)}
	if r.IntN(10) == 0 {
		j.failing = true
	}
	if r.IntN(12) == 0 {
		j.failing = false
		j.Steps = []mixStep{{Count: 1 + r.IntN(3), CPU: 500, MemMB: 100, Lasting: true, MaxPer: 1}}
		return j
	}
	steps := 1 + r.IntN(3)
	for i := range steps {
		st := mixStep{Count: 1 + r.IntN(6), CPU: 200 + r.IntN(1500), MemMB: 100 + r.IntN(1500)}
		if i > 0 && r.IntN(3) > 0 {
			st.After = []int{r.IntN(i)}
		}
		st.Gang = r.IntN(3) == 0 && st.Count > 1
		st.SameRack = st.Gang && r.IntN(2) == 0
		if r.IntN(4) == 0 {
			st.Constraints = []string{"a", "b"}[r.IntN(2)]
		}
		if r.IntN(4) == 0 {
			st.MaxPer = 1 + r.IntN(2)
			if st.Constraints != "" || st.Gang {
				st.Count = min(st.Count, 2*st.MaxPer)
				st.Gang = st.Gang && st.Count > 1
			}
		}
		st.Checkpoint = r.IntN(2) == 0
		j.Steps = append(j.Steps, st)
	}
	if r.IntN(4) == 0 && !j.failing {
		j.Repeat, j.Interval = 1+r.IntN(4), int64(200+r.IntN(2500))
		j.StartAt = time.Now().UnixMilli() + int64(r.IntN(4000)) - 500
	}
	return j
}

// disturb plays random disruptions until stop is closed, and ends them all.
func (s *site) disturb(r *rand.Rand, stop chan struct{}) {
	pause := func(d time.Duration) bool {
		select {
		case <-stop:
			return false
		case <-time.After(d):
			return true
		}
	}
	for pause(time.Duration(500+r.IntN(3500)) * time.Millisecond) {
		p := s.procs[r.IntN(len(s.procs))]
		if r.IntN(2) == 0 {
			p = s.procs[r.IntN(s.options.entries)]
		}
		switch r.IntN(7) {
		case 0:
			s.signal(p.name, syscall.SIGKILL)
		case 1:
			s.signal(p.name, syscall.SIGSTOP)
			pause(time.Duration(500+r.IntN(4000)) * time.Millisecond)
			s.signal(p.name, syscall.SIGCONT)
		case 2, 3:
			w := s.workers[r.IntN(len(s.workers))]
			w.crash(time.Duration(100+r.IntN(3000))*time.Millisecond, r.IntN(2) == 0)
		case 4:
			w := s.workers[r.IntN(len(s.workers))]
			w.setLate(0.5)
			pause(time.Duration(1000+r.IntN(4000)) * time.Millisecond)
			w.setLate(0)
		case 5:
			s.store.SetFaults(metastore.Faults{LostResponseShare: 0.35, LostAppendDelay: time.Duration(r.IntN(2)*(1+r.IntN(4))) * time.Second})
			pause(time.Duration(1000+r.IntN(3500)) * time.Millisecond)
			s.store.SetFaults(metastore.Faults{})
		case 6:
			s.store.SetFaults(metastore.Faults{Down: true})
			pause(time.Duration(1000+r.IntN(3500)) * time.Millisecond)
			s.store.SetFaults(metastore.Faults{})
		}
	}
}
