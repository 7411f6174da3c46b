package sitetest

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/standin/hostile"
	"chervilridge/internal/standin/metastore"
	"chervilridge/internal/standin/proxy"
	"chervilridge/internal/standin/taskworker"
)

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
		if k.lifeRandom.IntN(lifeFaultInterval) == 0 {
			k.replaceWorkerOrAgent()
		}
		if k.startLossRandom.IntN(startLossInterval) == 0 {
			k.loseStarts()
		}
		if k.hostileRandom.IntN(hostileInterval) == 0 {
			k.sendUnfinishedBodies()
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

// replaceWorkerOrAgent replaces a worker by another incarnation with the same id, after it has
// left calls unanswered, or restarts an agent whose worker then leaves calls unanswered.
func (k *soak) replaceWorkerOrAgent() {
	i, worker := k.lifeRandom.IntN(k.agents), k.lifeRandom.IntN(2) == 0
	silent := time.Duration(200+k.lifeRandom.IntN(1500)) * time.Millisecond
	agent := k.agentName(i)
	if !k.reserve(agent) {
		return
	}
	hang := func(hangs bool) {
		k.site.mu.Lock()
		defer k.site.mu.Unlock()
		k.workers[i].SetFaults(taskworker.Faults{Hang: hangs})
	}
	if worker {
		k.injectFault(silent, fmt.Sprintf("worker %d returns under its id", i), func() { hang(true) }, func() {
			k.crashWorker(i)
			k.startWorkerAs(i, k.workerIDs[i])
			k.release(agent)
		})
		return
	}
	k.injectFault(silent, fmt.Sprintf("agent %d restarts beside a silent worker", i), func() {
		k.kill(agent)
		k.startProgram(agent)
		time.Sleep(silent / 4)
		hang(true)
	}, func() { hang(false); k.release(agent) })
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

// sendUnfinishedBodies has many clients send the largest bodies to an entry. Most stop just short of the
// end; the others are no jobs, so that nothing of theirs may start.
func (k *soak) sendUnfinishedBodies() {
	entry := k.hostileRandom.IntN(k.entries)
	kinds := []string{"known length", "piecemeal", "large chunks", "tiny chunks"}
	kind := kinds[k.hostileRandom.IntN(len(kinds))]
	duration := time.Duration(200+k.hostileRandom.IntN(3000)) * time.Millisecond
	var crowd *hostile.Crowd
	k.injectFault(duration, fmt.Sprintf("%d clients send unfinished bodies to entry %d, %s", soakHostileClients, entry, kind), func() {
		crowd = hostile.Start(hostile.Options{
			Address: fmt.Sprintf("%s:%d", k.ip(100+entry), frontPort), Host: routeHost, Clients: soakHostileClients, Kind: hostile.Kinds[kind],
			Body:   hostile.PadJSON(`{"task-spec":"x"}`, k.maxBodyBytes),
			Path:   func(client int) string { return fmt.Sprintf("/quotes/ffff%012x", client) },
			Header: map[string]string{"Chervilridge-Deadline-Ms": "60000"},
		})
	}, func() { crowd.Stop() })
}

func (k *soak) changeConfig(time.Duration) {
	version := 2 + int(time.Since(k.startTime).Milliseconds())
	k.injectFault(0, fmt.Sprintf("configuration %d", version), func() { k.putConfig(version, "quotes", fmt.Sprintf("q%d", version)) }, func() {})
}

// startLoss is a fault that loses start calls of one task at a time, and crashes each worker that
// gets one.
type startLoss struct {
	begins     bool // the first call of a task starts its run; only the answer is lost
	allTasks   bool // a worker that is to crash loses the start calls of all tasks
	crashDelay time.Duration
	ending     bool // no further worker is to crash

	task      string    // whose calls are lost; "" before the first
	lastCrash time.Time // time of the latest crash after a call of the task, which may be to come
	crashing  map[int]bool
	crashes   sync.WaitGroup
}

// nextTaskDelay is the time after a crash without another start call of the task from which another
// task takes its place.
const nextTaskDelay = time.Second

// loseStarts begins a startLoss, unless one is active.
func (k *soak) loseStarts() {
	l := &startLoss{
		begins: k.startLossRandom.IntN(2) == 1, allTasks: k.startLossRandom.IntN(2) == 0,
		crashDelay: crashDelay + time.Duration(k.startLossRandom.IntN(700))*time.Millisecond, crashing: map[int]bool{},
	}
	duration := time.Duration(2000+k.startLossRandom.IntN(4000)) * time.Millisecond
	k.mu.Lock()
	active := k.startLoss != nil
	k.mu.Unlock()
	if active {
		return
	}
	name := fmt.Sprintf("starts lost, first one begun %t, all tasks %t, crashes after %v", l.begins, l.allTasks, l.crashDelay)
	k.injectFault(duration, name, func() { k.setStartLoss(l) }, func() { k.endStartLoss(l) })
}

func (k *soak) setStartLoss(l *startLoss) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.startLoss = l
}

// endStartLoss ends the fault. The workers that are to crash lose start calls until they have crashed;
// otherwise a repeated call would begin the run just before, and a second worker crash under the task.
func (k *soak) endStartLoss(l *startLoss) {
	k.mu.Lock()
	l.ending = true
	k.mu.Unlock()
	l.crashes.Wait()
	k.setStartLoss(nil)
}

// Guards against an innocent job that is given up because the fault itself crashed two workers under a task.
func TestWorkersThatAreToCrashLoseStartsAfterTheEndOfTheFault(t *testing.T) {
	const job, task = "0000000000000001", "0000000000000001.0.0.0"
	k := newSoak(t, 1, 1, 2)
	k.startTime, k.jobs[job] = time.Now(), &soakJob{id: job}
	l := &startLoss{crashDelay: time.Second, crashing: map[int]bool{}}
	k.setStartLoss(l)
	assert.Equal(t, k.loseStart(0, task), taskworker.LostStart)
	k.wg.Go(func() { k.endStartLoss(l) })
	k.eventually("fault ending", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return l.ending
	})
	assert.Equal(t, k.loseStart(0, task), taskworker.LostStart)
	assert.Equal(t, k.loseStart(1, task), taskworker.NoStartFault)
	k.wg.Wait()
	assert.Equal(t, k.loseStart(0, task), taskworker.NoStartFault)
}

// loseStart implements site.startFault by the active startLoss.
func (k *soak) loseStart(worker int, task string) taskworker.StartFault {
	id, _, _ := strings.Cut(task, ".")
	k.mu.Lock()
	defer k.mu.Unlock()
	l, job, agent := k.startLoss, k.jobs[id], k.programs[k.agentName(worker)]
	switch {
	case l == nil:
		return taskworker.NoStartFault
	case l.crashing[worker] && (l.allTasks || task == l.task || job != nil && job.deadly): // crashByTask could not count this crash
		return taskworker.LostStart
	case l.ending, job == nil || job.deadly:
		return taskworker.NoStartFault
	case l.task == "" || time.Since(l.lastCrash) > nextTaskDelay:
		l.task, l.lastCrash = task, time.Now()
	}
	switch {
	case task != l.task:
		return taskworker.NoStartFault
	case agent.reserved:
		return taskworker.LostStart
	}
	fault, delay := taskworker.LostStart, l.crashDelay
	if l.begins && k.journal.Crashes(id)[task] == 0 { // two crashes under the task would let it fail
		fault, delay = taskworker.LostStartAnswer, min(delay, taskDuration/2) // before the run is done
	}
	k.t.Logf("%.2f s: worker %d loses a start of %s (begun: %t) and crashes", time.Since(k.startTime).Seconds(), worker, task, fault == taskworker.LostStartAnswer)
	agent.reserved, l.crashing[worker], l.lastCrash = true, true, time.Now().Add(delay)
	l.crashes.Go(func() {
		time.Sleep(delay)
		k.crashWorker(worker)
		time.Sleep(workerRestart)
		k.mu.Lock()
		delete(l.crashing, worker)
		k.mu.Unlock()
		k.startWorker(worker)
		k.release(agent.name)
	})
	return fault
}
