package sitetest

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/standin/metastore"
	"chervilridge/internal/standin/proxy"
	"chervilridge/internal/standin/taskworker"
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
	// requestDeadline is the deadline that clients send with their requests.
	requestDeadline = 3 * time.Second
)

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
	entries      int
	agents       int
	startTime    time.Time
	clientsDone  chan struct{} // closed when fault injection ends, to stop the clients
	wg           sync.WaitGroup
	taskCrashes  sync.WaitGroup

	mu             sync.Mutex
	jobs           map[string]*soakJob
	violations     []string
	activeFaults   int
	faultFreeSince time.Time // when the last fault ended
}

// soakJob is what the clients know about a job.
type soakJob struct {
	id string
	// accepted is set after a 2xx response, outcomeUnknown after a submission that was
	// neither accepted nor rejected with status 503 or 429.
	accepted, outcomeUnknown, cancelSent bool
	cancelledAt                          time.Time // when the cancel was acknowledged
	ended                                bool
	// deadly is set if the job's first task crashes each worker that starts it, crashes the
	// number of workers that it has crashed, startsSince the number of starts after the third.
	deadly               bool
	crashes, startsSince int
}

// mayFail reports whether the job may be shown as failed.
func (j *soakJob) mayFail() bool { return j.deadly && j.crashes >= 2 }

// newSoak starts a site with proxies and checked task starts.
func newSoak(t *testing.T, seed uint64, entries, agents int) *soak {
	k := &soak{
		site: newSite(t, agents), faultRandom: rand.New(rand.NewPCG(seed, seed)), shrinkRandom: rand.New(rand.NewPCG(seed, ^seed)), entries: entries, agents: agents,
		jobs: map[string]*soakJob{}, clientsDone: make(chan struct{}), faultFreeSince: time.Now(),
	}
	k.useProxies, k.maxRuns, k.onTaskStart = true, 8, k.checkTaskStart
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
	accepted, cancelSent, mayFail := job.accepted, job.cancelSent, job.mayFail()
	k.mu.Unlock()
	switch {
	case status == http.StatusGone && accepted:
		k.recordViolation("job %s was accepted, but an entry does not know it", id)
	case status != http.StatusOK:
	case strings.Contains(body, "completed") && k.journal.DoneTasks(id) < tasksPerJob:
		k.recordViolation("job %s is shown as completed with %d of %d tasks done", id, k.journal.DoneTasks(id), tasksPerJob)
	case strings.Contains(body, "cancelled") && !cancelSent, strings.Contains(body, "failed") && !mayFail:
		k.recordViolation("job %s is shown as %s", id, body)
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

// injectFault calls begin, and end after the duration, in the background. Faults may overlap.
func (k *soak) injectFault(duration time.Duration, name string, begin, end func()) {
	k.t.Logf("%.2f s: %s for %v", time.Since(k.startTime).Seconds(), name, duration)
	k.mu.Lock()
	k.activeFaults++
	k.mu.Unlock()
	begin()
	k.wg.Go(func() {
		time.Sleep(duration)
		end()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.activeFaults--
		k.faultFreeSince = time.Now()
	})
}

// injectFaults injects random faults at random intervals for the given time.
func (k *soak) injectFaults(duration time.Duration) {
	faults := k.faultKinds()
	for time.Since(k.startTime) < duration {
		f := faults[k.faultRandom.IntN(len(faults))]
		f(time.Duration(200+k.faultRandom.IntN(3000)) * time.Millisecond)
		if k.shrinkRandom.IntN(shrinkInterval) == 0 {
			k.shrinkWorker()
		}
		time.Sleep(time.Duration(50+k.faultRandom.IntN(900)) * time.Millisecond)
	}
}

// faultKinds returns the functions that inject a fault into a random target. A kind that is
// listed twice is drawn twice as often.
func (k *soak) faultKinds() []func(time.Duration) {
	return []func(time.Duration){
		k.killProgram, k.killProgram, k.stopProgram, k.pauseProgram, k.pauseProgram, k.hangUpProgram,
		k.impairLink, k.impairLink, k.resetLink, k.storeFault, k.storeFault, k.rejectByStore,
		k.workerFault, k.crashAndRestartWorker, k.changeConfig, k.killAll,
	}
}

// randomProgram returns the name of a random program. Callers that stop it must reserve it.
func (k *soak) randomProgram() string {
	return k.programNames[k.faultRandom.IntN(len(k.programNames))]
}

// reserve marks a program as used by a fault, so that no other fault stops it until release.
// It returns false if the program is reserved already.
func (k *soak) reserve(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.programs[name]
	if p.reserved {
		return false
	}
	p.reserved = true
	return true
}

func (k *soak) release(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.programs[name].reserved = false
}

// killProgram kills a random program or the owner with SIGKILL and starts it again.
func (k *soak) killProgram(duration time.Duration) {
	name := k.randomProgram()
	if k.faultRandom.IntN(2) == 0 {
		name = k.owner()
	}
	if k.reserve(name) {
		k.injectFault(duration/3, "kill "+name, func() { k.kill(name) }, func() { k.startProgram(name); k.release(name) })
	}
}

// killAll kills all programs that are not reserved, and starts them again.
func (k *soak) killAll(duration time.Duration) {
	var names []string
	for _, name := range k.programNames {
		if k.reserve(name) {
			names = append(names, name)
		}
	}
	k.injectFault(duration/3, fmt.Sprintf("kill all %d programs", len(names)), func() {
		for _, name := range names {
			k.signal(name, syscall.SIGKILL)
		}
	}, func() {
		for _, name := range names {
			k.startProgram(name)
			k.release(name)
		}
	})
}

// stopProgram stops a random program with SIGTERM and starts it again. A program that has
// not exited within the grace time is killed, and a violation recorded.
func (k *soak) stopProgram(time.Duration) {
	const grace = 6 * time.Second
	name := k.randomProgram()
	if !k.reserve(name) {
		return
	}
	done := k.programs[name].done
	k.injectFault(0, "stop "+name, func() { k.signal(name, syscall.SIGTERM) }, func() {
		select {
		case <-done:
		case <-time.After(grace):
			k.recordViolation("%s has not exited within %v of SIGTERM", name, grace)
			k.kill(name)
		}
		k.startProgram(name)
		k.release(name)
	})
}

// pauseProgram suspends a random program or the owner with SIGSTOP.
func (k *soak) pauseProgram(duration time.Duration) {
	name := k.randomProgram()
	if k.faultRandom.IntN(2) == 0 {
		name = k.owner()
	}
	if k.reserve(name) {
		k.injectFault(duration+duration/2, "pause "+name, func() { k.signal(name, syscall.SIGSTOP) }, func() { k.signal(name, syscall.SIGCONT); k.release(name) })
	}
}

// hangUpProgram sends SIGHUP to a random program.
func (k *soak) hangUpProgram(time.Duration) {
	if name := k.randomProgram(); k.reserve(name) {
		k.injectFault(0, "send SIGHUP to "+name, func() { k.signal(name, syscall.SIGHUP) }, func() { k.release(name) })
	}
}

// randomLink returns the name and the proxy of a random link: between a program and the
// store, or between an agent and its worker.
func (k *soak) randomLink() (string, *proxy.Proxy) {
	name := k.randomProgram()
	if i := k.faultRandom.IntN(k.agents); k.faultRandom.IntN(2) == 0 {
		name = workerLink(i)
	}
	return name, k.links[name]
}

func (k *soak) impairLink(duration time.Duration) {
	name, p := k.randomLink()
	kinds := map[string]proxy.Impairment{
		"delayed": {Delay: 150 * time.Millisecond}, "dropping bytes to the target": {DropToTarget: true}, "dropping bytes to the caller": {DropToCaller: true},
		"blackholed": {DropToTarget: true, DropToCaller: true},
	}
	kind := []string{"delayed", "dropping bytes to the target", "dropping bytes to the caller", "blackholed"}[k.faultRandom.IntN(len(kinds))]
	k.injectFault(duration, "link of "+name+" "+kind, func() { p.Impair(kinds[kind]) }, func() { p.Impair(proxy.Impairment{}) })
}

func (k *soak) resetLink(time.Duration) {
	name, p := k.randomLink()
	k.injectFault(0, "link of "+name+" reset", p.ResetConnections, func() {})
}

func (k *soak) storeFault(duration time.Duration) {
	kinds := []metastore.Faults{{Down: true}, {Unresponsive: true}, {Delay: 120 * time.Millisecond}, {LostResponseShare: 0.35}, {LostResponseShare: 0.35, LostAppendDelay: 2 * time.Second}}
	f := kinds[k.faultRandom.IntN(len(kinds))]
	k.injectFault(duration, fmt.Sprintf("store %+v", f), func() { k.store.SetFaults(f) }, func() { k.store.SetFaults(metastore.Faults{}) })
}

// rejectByStore makes the store reject all calls of some programs, at times the owner's.
func (k *soak) rejectByStore(duration time.Duration) {
	rejected := map[string]bool{k.randomProgram(): true}
	if k.faultRandom.IntN(2) == 0 {
		rejected[k.owner()] = true
	}
	k.injectFault(duration, fmt.Sprintf("store rejects %v", rejected), func() { k.store.SetFaults(metastore.Faults{RejectedCallers: rejected}) },
		func() { k.store.SetFaults(metastore.Faults{}) })
}

func (k *soak) workerFault(duration time.Duration) {
	i := k.faultRandom.IntN(k.agents)
	kinds := []taskworker.Faults{{Hang: true}, {StartDelay: 1500 * time.Millisecond}}
	f := kinds[k.faultRandom.IntN(len(kinds))]
	set := func(f taskworker.Faults) {
		k.site.mu.Lock()
		defer k.site.mu.Unlock()
		k.workers[i].SetFaults(f)
	}
	k.injectFault(duration, fmt.Sprintf("worker %d %+v", i, f), func() { set(f) }, func() { set(taskworker.Faults{}) })
}

func (k *soak) crashAndRestartWorker(duration time.Duration) {
	i := k.faultRandom.IntN(k.agents)
	if !k.reserve(k.agentName(i)) {
		return
	}
	k.injectFault(duration/3, fmt.Sprintf("worker %d crashes", i), func() { k.crashWorker(i) }, func() {
		k.startWorker(i)
		k.release(k.agentName(i))
	})
}

// shrinkWorker takes most of a worker's capacity away, for longer than starts may still use it.
func (k *soak) shrinkWorker() {
	i, cores := k.shrinkRandom.IntN(k.agents), 1+k.shrinkRandom.IntN(3)
	duration := shrinkTolerance + time.Duration(200+k.shrinkRandom.IntN(3000))*time.Millisecond
	set := func(cores int) {
		k.site.mu.Lock()
		defer k.site.mu.Unlock()
		k.workers[i].SetCapacity(cores*1000, workerMemoryMB, cores, shrinkTolerance)
	}
	k.injectFault(duration, fmt.Sprintf("worker %d shrinks to %d cores", i, cores), func() { set(cores) }, func() { set(k.maxRuns) })
}

func (k *soak) changeConfig(time.Duration) {
	version := 2 + int(time.Since(k.startTime).Milliseconds())
	k.injectFault(0, fmt.Sprintf("configuration %d", version), func() { k.putConfig(version, "quotes", fmt.Sprintf("q%d", version)) }, func() {})
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
			job.ended = status == http.StatusOK && (strings.Contains(body, "completed") || job.cancelSent && strings.Contains(body, "cancelled") || job.deadly && strings.Contains(body, "failed"))
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
			if done := k.journal.DoneTasks(job.id); !job.cancelSent && !job.mayFail() && done != tasksPerJob {
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
	assert.Assert(k.t, accepted > 0, "no job was accepted")
	assert.Equal(k.t, len(k.journal.Violations()), 0, "%s", strings.Join(k.journal.Violations(), "\n"))
	assert.Equal(k.t, len(k.violations), 0, "%s", strings.Join(k.violations, "\n"))
}
