package sitetest

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The soak tests run the real programs under a random sequence of overlapping faults, drawn
// from a seed, and check what clients and workers observe. Run by hand:
//
//	go test ./internal/sitetest -run TestSoakByHand -soak.seeds 100-149 -soak.for 20s
var (
	soakSeeds    = flag.String("soak.seeds", "", "seeds of TestSoakByHand, such as 7 or 100-149")
	soakDuration = flag.Duration("soak.for", 15*time.Second, "time for which faults are injected, for each seed")
	soakEntries  = flag.Int("soak.entries", 3, "entries of TestSoakByHand")
	soakAgents   = flag.Int("soak.agents", 5, "agents of TestSoakByHand, each with one worker")
	soakParallel = flag.Int("soak.at-once", 2, "seeds of TestSoakByHand that run concurrently")
)

const (
	// cancelBound is the time after an acknowledged cancel from which no task of the job may
	// start (bounds.cancel_ms). A start is checked only if no fault was active during
	// cancelBound, and minFaultFreeTime (bounds.contact-ms) before it.
	cancelBound, minFaultFreeTime = 3 * time.Second, 3 * time.Second
	// settleTimeout is the time for all accepted jobs to end after the last fault. It is
	// ample: all leases expire within 6 s, and tasks are short.
	settleTimeout = 40 * time.Second
	tasksPerJob   = 3
	// deadlyInterval is how many jobs of the first client contain one that crashes workers.
	deadlyInterval = 12
	// shrinkInterval is how many faults come with one worker that shrinks, on average.
	shrinkInterval = 6
	// lifeFaultInterval is how many faults come with one worker or agent that is replaced.
	lifeFaultInterval = 5
	// startLossInterval is how many faults come with one that loses start calls.
	startLossInterval = 6
	// hostileInterval is how many faults come with one crowd of clients that do not finish their
	// bodies, and soakHostileClients its size: their bodies exceed the budget of an entry.
	hostileInterval    = 6
	soakHostileClients = 400
	// requestDeadline is the deadline that clients send with their requests.
	requestDeadline = 3 * time.Second
	// minCrashesToFail is the number of workers that have to crash under a task before its job may be
	// shown as failed.
	minCrashesToFail = 2
)

// givenUpLine matches the log line of a task that was given up.
var givenUpLine = regexp.MustCompile(`event=7219 .*?task="([^"]+)"`)

// regressionSeeds are the seeds that have failed before, with the cause of the failure.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	// Found with 8 entries and 95 agents. TestSuspendedOwnerDoesNotDenyJobs reproduces it.
	{400, "a suspended owner denied a job that another owner had accepted"},
}

func TestSoakShort(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoak(t, seed, 3, 4).run(8 * time.Second) })
	}
}

func TestSoakRegressionSeeds(t *testing.T) {
	for _, f := range regressionSeeds {
		t.Run(fmt.Sprintf("%d %s", f.seed, f.cause), func(t *testing.T) { newSoak(t, f.seed, 3, 5).run(15 * time.Second) })
	}
}

func TestSoakByHand(t *testing.T) {
	first, last, isRange := strings.Cut(*soakSeeds, "-")
	if *soakSeeds == "" {
		t.Skip("needs -soak.seeds")
	}
	from, err := strconv.ParseUint(first, 10, 64)
	assert.NilError(t, err)
	to := from
	if isRange {
		to, err = strconv.ParseUint(last, 10, 64)
		assert.NilError(t, err)
	}
	slots := make(chan struct{}, *soakParallel)
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			newSoak(t, seed, *soakEntries, *soakAgents).run(*soakDuration)
		})
	}
}

// soak is a soak test of one seed.
type soak struct {
	*site
	// faultRandom draws the faults and their targets. Nothing else uses it, so that clients
	// don't change the faults of a seed.
	faultRandom *rand.Rand
	// shrinkRandom draws the workers that shrink, so that the other faults of a seed that failed
	// before this kind was added stay as they were.
	shrinkRandom *rand.Rand
	// lifeRandom draws the workers and agents that are replaced, for the same reason.
	lifeRandom *rand.Rand
	// startLossRandom draws the start calls that are lost, for the same reason.
	startLossRandom *rand.Rand
	// hostileRandom draws the crowds of clients that do not finish their bodies, for the same reason.
	hostileRandom *rand.Rand

	entries     int
	agents      int
	startTime   time.Time
	clientsDone chan struct{} // closed when fault injection ends, to stop the clients
	wg          sync.WaitGroup
	taskCrashes sync.WaitGroup

	mu             sync.Mutex
	jobs           map[string]*soakJob
	violations     []string
	failedJobs     []string // shown as failed although they may not be
	activeFaults   int
	faultFreeSince time.Time  // when the last fault ended
	startLoss      *startLoss // nil if none is active
}

// soakJob is what the clients know about a job.
type soakJob struct {
	id string
	// accepted is set after a 2xx response, outcomeUnknown after a submission that was
	// neither accepted nor rejected with status 503 or 429.
	accepted, outcomeUnknown, cancelSent bool
	cancelledAt                          time.Time // when the cancel was acknowledged
	ended, failed                        bool      // failed is set if the job ended as failed
	// deadly is set if the job's first task crashes each worker that starts it, crashes the
	// number of workers that it has crashed, startsSince the number of starts after the third.
	deadly               bool
	crashes, startsSince int
}

// mayFail reports whether the job may be shown as failed: enough workers have crashed while a run of
// one of its tasks was on them, whatever caused that. If the job was to crash workers, its first task
// has to have done so as often. The caller holds mu.
func (k *soak) mayFail(j *soakJob) bool {
	most := 0
	for _, crashes := range k.journal.Crashes(j.id) {
		most = max(most, crashes)
	}
	return most >= minCrashesToFail && (!j.deadly || j.crashes >= minCrashesToFail)
}

// newSoak starts a site with proxies and checked task starts.
func newSoak(t *testing.T, seed uint64, entries, agents int) *soak {
	k := &soak{
		site: newSite(t, agents), faultRandom: rand.New(rand.NewPCG(seed, seed)), shrinkRandom: rand.New(rand.NewPCG(seed, ^seed)), lifeRandom: rand.New(rand.NewPCG(^seed, seed)),
		startLossRandom: rand.New(rand.NewPCG(^seed, ^seed)), hostileRandom: rand.New(rand.NewPCG(seed, 2*seed+1)),
		entries: entries, agents: agents,
		jobs: map[string]*soakJob{}, clientsDone: make(chan struct{}), faultFreeSince: time.Now(),
	}
	k.useProxies, k.maxRuns, k.onTaskStart, k.site.startFault = true, 8, k.checkTaskStart, k.loseStart
	k.startProcesses(entries, agents)
	return k
}

// run injects faults for the given time while clients submit jobs, and checks the result.
func (k *soak) run(faults time.Duration) {
	k.startTime = time.Now()
	for client := range 4 {
		k.wg.Go(func() { k.runClient(client) })
	}
	k.injectFaults(faults)
	close(k.clientsDone)
	k.wg.Wait()
	k.waitForJobs()
	k.checkInvariants()
}

// recordViolation records a violation with the time since the start; it fails the test at
// the end.
func (k *soak) recordViolation(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.violations = append(k.violations, fmt.Sprintf("%.2f s: ", time.Since(k.startTime).Seconds())+fmt.Sprintf(format, args...))
}

// checkTaskStart checks a start of a task on a worker: its job must have been submitted and
// must not have been cancelled more than cancelBound ago.
func (k *soak) checkTaskStart(worker int, task string) {
	id, _, _ := strings.Cut(task, ".")
	k.mu.Lock()
	job := k.jobs[id]
	if job != nil && job.deadly && strings.HasSuffix(task, ".0.0.0") {
		k.taskCrashes.Go(func() { k.crashByTask(job, worker) })
	}
	late := job != nil && !job.cancelledAt.IsZero() && k.activeFaults == 0 &&
		time.Since(k.faultFreeSince) > minFaultFreeTime+cancelBound && time.Since(job.cancelledAt) > cancelBound
	k.mu.Unlock()
	switch {
	case job == nil:
		k.recordViolation("task %s starts, but no client submitted its job", task)
	case late:
		k.recordViolation("task %s starts %v after the cancel of its job was acknowledged", task, time.Since(job.cancelledAt))
	}
}

// crashByTask crashes a worker on which a deadly task has started, unless another fault uses
// the worker, and restarts it.
func (k *soak) crashByTask(job *soakJob, worker int) {
	k.mu.Lock()
	if job.crashes >= 3 {
		job.startsSince++
	}
	k.mu.Unlock()
	if !k.reserve(k.agentName(worker)) {
		return
	}
	k.mu.Lock()
	job.crashes++
	k.mu.Unlock()
	time.Sleep(crashDelay)
	k.crashWorker(worker)
	time.Sleep(workerRestart)
	k.startWorker(worker)
	k.release(k.agentName(worker))
}

// runClient submits jobs, cancels some and gets their states, over persistent connections.
func (k *soak) runClient(number int) {
	random := rand.New(rand.NewPCG(uint64(number), 77))
	client := &http.Client{Timeout: requestDeadline + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-k.clientsDone:
			return
		case <-time.After(time.Duration(50+random.IntN(250)) * time.Millisecond):
		}
		job := &soakJob{id: fmt.Sprintf("%08x%08x", number+1, n+1), deadly: number == 0 && n%deadlyInterval == deadlyInterval-1}
		k.mu.Lock()
		k.jobs[job.id] = job
		k.mu.Unlock()
		k.submitJob(client, random, job)
		if job.accepted && random.IntN(6) == 0 {
			k.cancelJob(client, random, job)
		}
		if n > 3 {
			k.checkState(client, random, fmt.Sprintf("%08x%08x", number+1, n-2))
		}
	}
}

// submitJob tries up to four times, each time at a random entry, until the job is accepted.
func (k *soak) submitJob(client *http.Client, random *rand.Rand, job *soakJob) {
	for range 4 {
		status, _, retryAfter := k.callAnyEntry(client, random, http.MethodPost, job.id, jobBody(tasksPerJob))
		k.mu.Lock()
		switch {
		case status >= 200 && status < 300:
			job.accepted = true
		case status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
			job.outcomeUnknown = true
		}
		k.mu.Unlock()
		if job.accepted {
			return
		}
		if status == http.StatusServiceUnavailable && retryAfter == "" {
			k.recordViolation("job %s was rejected without a Retry-After header", job.id)
		}
		time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
	}
}

func (k *soak) cancelJob(client *http.Client, random *rand.Rand, job *soakJob) {
	k.mu.Lock()
	job.cancelSent = true
	k.mu.Unlock()
	status, _, _ := k.callAnyEntry(client, random, http.MethodDelete, job.id, "")
	if status >= 200 && status < 300 {
		k.mu.Lock()
		job.cancelledAt = time.Now()
		k.mu.Unlock()
	}
}

// checkState checks the state that an entry shows for a job against what clients requested
// and workers did.
func (k *soak) checkState(client *http.Client, random *rand.Rand, id string) {
	status, body, _ := k.callAnyEntry(client, random, http.MethodGet, id, "")
	k.mu.Lock()
	job := k.jobs[id]
	accepted, cancelSent, mayFail := job.accepted, job.cancelSent, k.mayFail(job)
	k.mu.Unlock()
	switch {
	case status == http.StatusGone && accepted:
		k.recordViolation("job %s was accepted, but an entry does not know it", id)
	case status != http.StatusOK:
	case strings.Contains(body, "completed") && k.journal.DoneTasks(id) < tasksPerJob:
		k.recordViolation("job %s is shown as completed with %d of %d tasks done", id, k.journal.DoneTasks(id), tasksPerJob)
	case strings.Contains(body, "cancelled") && !cancelSent:
		k.recordViolation("job %s is shown as %s", id, body)
	case strings.Contains(body, "failed") && !mayFail:
		k.recordFailedJob(job, body)
	}
}

// recordFailedJob records that a job is shown as failed which may not be.
func (k *soak) recordFailedJob(job *soakJob, body string) {
	k.recordViolation("job %s is shown as %s; crashes under its tasks: %v, deadly: %t, crashes by its first task: %d",
		job.id, body, k.journal.Crashes(job.id), job.deadly, job.crashes)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failedJobs = append(k.failedJobs, job.id)
}

// logJob writes the lines of all programs' logs that name the job to the test's log, except for
// its requests.
func (k *soak) logJob(id string) {
	for _, name := range k.programNames {
		content, err := os.ReadFile(k.programs[name].log.Name())
		if err != nil {
			k.t.Logf("log of %s: %v", name, err)
			continue
		}
		for line := range strings.Lines(string(content)) {
			if strings.Contains(line, id) && !strings.Contains(line, "event=7203") {
				k.t.Logf("%s: %s", name, strings.TrimSpace(line))
			}
		}
	}
}

// checkGivenUpTasks checks that each task that was given up, by the logs, has itself had enough workers
// crash under it. It logs the innocent ones.
func (k *soak) checkGivenUpTasks() {
	for _, name := range k.programNames {
		content, err := os.ReadFile(k.programs[name].log.Name())
		if err != nil {
			k.recordViolation("log of %s: %v", name, err)
			continue
		}
		for _, match := range givenUpLine.FindAllStringSubmatch(string(content), -1) {
			task := match[1]
			id, _, _ := strings.Cut(task, ".")
			crashes := k.journal.Crashes(id)[task]
			if crashes < minCrashesToFail {
				k.recordViolation("task %s was given up by %s after %d crashes under it", task, name, crashes)
				k.failedJobs = append(k.failedJobs, id)
			}
			if job := k.jobs[id]; job != nil && !job.deadly {
				k.t.Logf("innocent task %s was given up by %s after %d crashes under it", task, name, crashes)
			}
		}
	}
}

// callAnyEntry sends a request to a random entry and returns status, body and Retry-After;
// status 0 is no response.
func (k *soak) callAnyEntry(client *http.Client, random *rand.Rand, method, id, body string) (int, string, string) {
	url := fmt.Sprintf("http://%s:%d/quotes/%s", k.ip(100+random.IntN(k.entries)), frontPort, id)
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	assert.NilError(k.t, err)
	request.Host = routeHost
	request.Header.Set("Chervilridge-Deadline-Ms", fmt.Sprint(requestDeadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error(), ""
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), ""
	}
	return response.StatusCode, string(content), response.Header.Get("Retry-After")
}

// waitForJobs waits until all accepted jobs have ended, or for settleTimeout. No fault may be
// active.
func (k *soak) waitForJobs() {
	client := &http.Client{Timeout: requestDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	random := rand.New(rand.NewPCG(1, 1))
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		open := 0
		for _, job := range k.jobs {
			if job.ended || !job.accepted {
				continue
			}
			open++
			status, body, _ := k.callAnyEntry(client, random, http.MethodGet, job.id, "")
			failed := status == http.StatusOK && strings.Contains(body, "failed")
			k.mu.Lock()
			mayFail := k.mayFail(job)
			k.mu.Unlock()
			if failed && !mayFail {
				k.recordFailedJob(job, body)
			}
			job.failed = failed
			job.ended = failed || status == http.StatusOK && (strings.Contains(body, "completed") || job.cancelSent && strings.Contains(body, "cancelled"))
		}
		if open == 0 {
			return
		}
	}
}

// checkInvariants checks that each accepted job has ended, that its tasks are done unless it
// was cancelled, that no task of a rejected job started, and that no violation was recorded.
func (k *soak) checkInvariants() {
	k.taskCrashes.Wait()
	accepted, rejected := 0, 0
	for _, job := range k.jobs {
		switch {
		case job.accepted:
			accepted++
			if !job.ended {
				k.recordViolation("job %s was accepted but has not ended", job.id)
			}
			if job.startsSince >= 3 {
				k.recordViolation("job %s was started %d times more after its first task had crashed three workers", job.id, job.startsSince)
			}
			if done := k.journal.DoneTasks(job.id); !job.cancelSent && !job.failed && done != tasksPerJob {
				k.recordViolation("job %s has %d of %d tasks done", job.id, done, tasksPerJob)
			}
		case !job.outcomeUnknown:
			rejected++
			if starts := k.journal.StartedRuns(job.id); starts > 0 {
				k.recordViolation("job %s was always rejected, but %d runs of it started", job.id, starts)
			}
		}
	}
	k.t.Logf("%d jobs: %d accepted, %d always rejected", len(k.jobs), accepted, rejected)
	k.checkGivenUpTasks()
	slices.Sort(k.failedJobs)
	for _, id := range slices.Compact(k.failedJobs) {
		k.logJob(id)
	}
	assert.Assert(k.t, accepted > 0, "no job was accepted")
	assert.Equal(k.t, len(k.journal.Violations()), 0, "%s", strings.Join(k.journal.Violations(), "\n"))
	assert.Equal(k.t, len(k.violations), 0, "%s", strings.Join(k.violations, "\n"))
}
