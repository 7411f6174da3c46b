package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/jobstate"
)

// fill fills the workers. It returns the first one with its tasks.
func (l *longRunningLoad) fill() (*longRunningWorker, []string) {
	w := l.addWorkers(1, residentsPerWorker*residentMilli)[0]
	tasks := l.addResidents(residentsPerWorker)
	l.fillWorkers()
	return w, tasks
}

// fillBesideARun is fill with a run of a task that ends in place of the last resident of the first worker.
func (l *longRunningLoad) fillBesideARun(takes, estimate time.Duration) (*longRunningWorker, []string) {
	w := l.addWorkers(1, residentsPerWorker*residentMilli)[0]
	tasks := l.addResidents(residentsPerWorker - 1)
	l.addJob(l.newJob(urgentQueue, 1, residentMilli), takes, estimate)
	l.advance()
	l.fillWorkers()
	return w, tasks
}

// addLarge submits a task that needs the room of two residents.
func (l *longRunningLoad) addLarge(queue string) {
	l.addTasks(queue, 1, 2*residentMilli, time.Minute)
}

// failFor lets the worker fail the task, and whatever it starts, for the time.
func (l *longRunningLoad) failFor(w *longRunningWorker, task string, d time.Duration) {
	w.failing = true
	l.fail(task)
	l.playFor(d - longRunningStep)
	w.failing = false
}

// grow adds CPU to the worker.
func (w *longRunningWorker) grow(cpuMilli uint32) {
	w.agent.worker = proto.CloneOf(w.agent.worker)
	w.agent.worker.CpuMilli += cpuMilli
}

// addLabelled attaches a worker with the CPU and the label.
func (l *longRunningLoad) addLabelled(label string, cpuMilli uint32) *longRunningWorker {
	w := l.addWorkers(1, cpuMilli)[0]
	w.label(label)
	l.advance()
	return w
}

func (w *longRunningWorker) label(labels ...string) {
	w.agent.worker = proto.CloneOf(w.agent.worker)
	w.agent.worker.Labels = labels
}

const (
	// suspectMilli is the CPU of a task that needs isolation.
	suspectMilli = 200
	// exposuresToIsolate crashes to which a task was exposed isolate it until it has run for soundAge.
	exposuresToIsolate = 3
)

// addIsolated submits tasks that have no room yet, and need isolation since workers have crashed beside them.
func (l *longRunningLoad) addIsolated(tasks uint32) {
	l.addIsolatedJob(l.newJob(urgentQueue, tasks, suspectMilli))
}

func (l *longRunningLoad) addIsolatedJob(job *chervilv2.JobSpec) {
	l.addJob(job, longestPlay, longestPlay)
	l.changeTasks(job.Id, func(t *jobstate.Task) { t.Exposures = exposuresToIsolate })
}

// addBrieflyIsolated is addIsolated for one long-running task that needs a label, and isolation for maxIsolationAge
// since its workers have crashed long after its starts.
func (l *longRunningLoad) addBrieflyIsolated(label string) {
	const crashes, crashAge = 4, 2 * time.Minute
	job := l.newJob(urgentQueue, 1, suspectMilli)
	job.Steps[0].LongRunning, job.Steps[0].RequiredLabel = true, label
	l.addJob(job, longestPlay, 0)
	l.changeTasks(job.Id, func(t *jobstate.Task) {
		for range crashes {
			t.CrashAges = append(t.CrashAges, crashAge)
		}
	})
}

// anyTask returns a task that runs on the worker.
func (w *longRunningWorker) anyTask() string { return slices.Min(slices.Collect(maps.Keys(w.runs))) }

// changeTasks changes the tasks of a job, none of which has a run.
func (l *longRunningLoad) changeTasks(job string, change func(*jobstate.Task)) {
	l.engine.mu.Lock()
	defer l.engine.mu.Unlock()
	tasks := l.engine.jobs[job].job.Occurrences[0].Steps[0].Tasks
	for i := range tasks {
		assert.Assert(l.t, tasks[i].Waiting())
		change(&tasks[i])
	}
}

// raiseAlert crashes a worker of its own just after a task has started there, so that workers start few tasks
// at a time for alertTime.
func (l *longRunningLoad) raiseAlert() {
	const deadlyMilli, label = residentMilli / 2, "deadly"
	w := l.addLabelled(label, deadlyMilli)
	job := l.newJob(urgentQueue, 1, deadlyMilli)
	job.Steps[0].RequiredLabel = label
	l.addJob(job, time.Second, time.Second)
	assert.Equal(l.t, len(w.newOrders()), 1)
	l.crashUnconfirmed(w, true)
}

const (
	// streamRoom is the CPU for the tasks of a stream that a worker runs at a time.
	streamRoom  = 3000
	streamLabel = "stream"
)

// addStream submits more tasks than workers with the label may start while crashes are expected.
func (l *longRunningLoad) addStream(queue, label string) {
	const cpuMilli, takes = 100, time.Second
	job := l.newJob(queue, jobstate.MaxRuns, cpuMilli)
	job.Steps[0].RequiredLabel = label
	l.addJob(job, takes, takes)
}

// Guards against what the scheduler believes of workers and tasks and that outlives its reason.
func TestLongRunningTaskRunsWhereThereIsRoom(t *testing.T) {
	for name, play := range map[string]func(*longRunningLoad){
		"no_fault": func(l *longRunningLoad) {
			_, tasks := l.fill()
			l.fail(tasks[0])
		},
		"worker_that_fails_its_starts_for_9s": func(l *longRunningLoad) {
			w, tasks := l.fill()
			l.failFor(w, tasks[0], 9*time.Second)
		},
		"worker_that_fails_its_starts_for_12s": func(l *longRunningLoad) {
			w, tasks := l.fill()
			l.failFor(w, tasks[0], 12*time.Second)
		},
		"worker_that_fails_its_starts_again_and_again": func(l *longRunningLoad) {
			w, tasks := l.fill()
			for range 4 {
				l.failFor(w, tasks[0], time.Second)
				l.idleFor(2 * maxQuarantine)
			}
		},
		"single_failures_without_a_fault": func(l *longRunningLoad) {
			_, tasks := l.fill()
			for range 8 {
				l.fail(tasks[0])
				l.idleFor(2 * maxQuarantine)
			}
		},
		"worker_on_which_hopeless_tasks_failed": func(l *longRunningLoad) {
			w, _ := l.fill()
			leaving := l.addWorkers(1, residentMilli)[0]
			l.addResidents(1)
			w.grow(residentMilli)
			l.advance()
			for range 7 {
				l.addHopeless()
				l.idleFor(2 * maxQuarantine)
			}
			l.addHopeless()
			l.playFor(2 * longRunningStep)
			l.crash(leaving, true)
		},
		"several_workers_that_fail_their_starts": func(l *longRunningLoad) {
			_, tasks := l.fill()
			for _, w := range l.workers[:3] {
				w.failing = true
			}
			l.fail(tasks[0], l.workers[1].anyTask(), l.workers[2].anyTask())
			l.playFor(12 * time.Second)
			for _, w := range l.workers {
				w.failing = false
			}
		},
		"reservation_of_a_more_urgent_queue": func(l *longRunningLoad) {
			_, tasks := l.fillBesideARun(20*time.Second, 20*time.Second)
			l.addLarge(urgentQueue)
			l.fail(tasks[0])
		},
		"reservation_of_an_equal_queue": func(l *longRunningLoad) {
			_, tasks := l.fillBesideARun(30*time.Second, 30*time.Second)
			l.addLarge(equalQueue)
			l.idleFor(6 * time.Second)
			l.fail(tasks[0])
		},
		"reservation_whose_forecast_is_too_early": func(l *longRunningLoad) {
			_, tasks := l.fillBesideARun(time.Hour, 20*time.Second)
			l.addLarge(urgentQueue)
			l.fail(tasks[0])
		},
		"short_reservation": func(l *longRunningLoad) {
			_, tasks := l.fillBesideARun(time.Hour, time.Second)
			l.idleFor(2 * time.Second)
			l.addLarge(middleQueue)
			l.fail(tasks[0])
		},
		"short_reservations_one_after_another": func(l *longRunningLoad) {
			_, tasks := l.fillBesideARun(time.Hour, time.Second)
			l.idleFor(2 * time.Second)
			l.addLarge(middleQueue)
			l.fail(tasks[0])
			l.playFor(4 * time.Second)
			l.addLarge(urgentQueue)
		},
		"isolated_task": func(l *longRunningLoad) {
			w, tasks := l.fill()
			l.addIsolated(1)
			w.grow(suspectMilli)
			l.fail(tasks[0])
		},
		"briefly_isolated_task": func(l *longRunningLoad) {
			w, tasks := l.fill()
			l.addBrieflyIsolated("")
			w.grow(suspectMilli)
			l.fail(tasks[0])
		},
		"isolated_tasks_one_after_another": func(l *longRunningLoad) {
			w, tasks := l.fill()
			l.addIsolated(4)
			w.grow(4 * suspectMilli)
			l.fail(tasks[0])
		},
		"isolation_behind_other_isolated_tasks": func(l *longRunningLoad) {
			const label, others = "others", 8
			w, tasks := l.fill()
			for _, other := range l.workers[1:] {
				other.label(label)
			}
			job := l.newJob(urgentQueue, others, suspectMilli)
			job.Steps[0].RequiredLabel = label
			l.addIsolatedJob(job)
			l.failFor(w, tasks[0], time.Second) // is quarantined, so that the task waits
			l.changeTask(tasks[0], func(t *jobstate.Task) { t.Exposures = exposuresToIsolate })
			for _, other := range l.workers[1:] {
				other.grow(others * suspectMilli)
			}
		},
		"worker_that_crashed_with_its_tasks_just_after_their_starts": func(l *longRunningLoad) {
			w, _ := l.fill()
			l.idleFor(2 * time.Second)
			l.crash(w, false)
			for range exposuresToIsolate {
				l.playFor(3 * longRunningStep)
				l.crash(w, false)
			}
		},
		"worker_that_crashed_twice_with_its_tasks": func(l *longRunningLoad) {
			w, _ := l.fill()
			for range 2 {
				l.playFor(2 * time.Second)
				l.crash(w, false)
			}
		},
		"worker_that_crashed_twice_with_many_tasks": func(l *longRunningLoad) {
			const tasks = 30
			w := l.addWorkers(1, tasks*residentMilli)[0]
			l.addResidents(tasks)
			l.fillWorkers()
			for range 2 {
				l.playFor(2 * time.Second)
				l.crash(w, false)
			}
		},
		"worker_that_crashed_with_its_tasks_long_after_their_starts": func(l *longRunningLoad) {
			w, _ := l.fill()
			for range 4 {
				l.playFor(10 * time.Second)
				l.idleFor(time.Minute)
				l.crash(w, false)
			}
		},
		"pause_at_the_crash_limit": func(l *longRunningLoad) {
			w := l.addWorkers(1, residentMilli)[0]
			l.addResidents(1)
			l.fillWorkers()
			for range 4 {
				assert.Assert(l.t, len(w.runs)+len(w.newOrders()) == 1)
				l.crashUnconfirmed(w, false)
			}
		},
		"isolated_task_whose_worker_has_crashed_and_left": func(l *longRunningLoad) {
			w := l.addWorkers(1, residentMilli)[0]
			l.addResidents(1)
			l.addWorkers(1, residentsPerWorker*residentMilli)
			l.addResidents(residentsPerWorker - 1)
			l.crashUnconfirmed(w, false)
			l.crashUnconfirmed(w, true)
		},
		"start_limit_beside_a_more_urgent_stream": func(l *longRunningLoad) {
			l.playBesideAStream(urgentQueue)
		},
		"start_limit_beside_an_equal_stream": func(l *longRunningLoad) {
			l.playBesideAStream(equalQueue)
		},
		"failed_task_on_its_only_worker_with_room": func(l *longRunningLoad) {
			_, tasks := l.fill()
			for range 3 {
				l.fail(tasks[0])
				l.advance()
			}
		},
		"failed_task_beside_a_reservation_on_another_worker": func(l *longRunningLoad) {
			_, tasks := l.fill()
			l.addWorkers(1, (residentsPerWorker+1)*residentMilli)
			l.addResidents(residentsPerWorker - 1)
			l.addTasks(urgentQueue, 1, residentMilli, 20*time.Second)
			l.advance()
			l.addLarge(urgentQueue)
			l.fail(tasks[0])
		},
		"failed_task_beside_a_start_limit_on_another_worker": func(l *longRunningLoad) {
			_, tasks := l.fill()
			l.addLabelled(streamLabel, residentsPerWorker*residentMilli+streamRoom)
			l.addResidents(residentsPerWorker - 1)
			l.raiseAlert()
			l.addStream(urgentQueue, streamLabel)
			l.fail(tasks[0])
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLongRunningLoad(t)
			play(l)
			l.requireNoneWaits()
		})
	}
}

// delays is what keeps a long-running task from the room that its last run has left, each for less than the platform
// allows.
type delays struct {
	// quarantine is set if its worker is quarantined for the third time, startLimit if it starts few tasks at a time
	// beside a stream of more urgent ones, isolated if another task is isolated there, reservation if its room is
	// reserved, and pause if its last crash is at the crash limit.
	quarantine, startLimit, isolated, reservation, pause bool
}

// Guards against delays that are each bounded and follow each other.
func TestDelaysOfALongRunningTaskDoNotAddUp(t *testing.T) {
	for name, d := range map[string]delays{
		"quarantine":                  {quarantine: true},
		"start_limit":                 {startLimit: true},
		"isolated_task":               {isolated: true},
		"reservation":                 {reservation: true},
		"pause":                       {pause: true},
		"quarantine_and_start_limit":  {quarantine: true, startLimit: true},
		"quarantine_and_isolated":     {quarantine: true, isolated: true},
		"quarantine_and_reservation":  {quarantine: true, reservation: true},
		"quarantine_and_pause":        {quarantine: true, pause: true},
		"start_limit_and_isolated":    {startLimit: true, isolated: true},
		"start_limit_and_reservation": {startLimit: true, reservation: true},
		"start_limit_and_pause":       {startLimit: true, pause: true},
		"isolated_and_reservation":    {isolated: true, reservation: true},
		"isolated_and_pause":          {isolated: true, pause: true},
		"reservation_and_pause":       {reservation: true, pause: true},
		"all":                         {true, true, true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLongRunningLoad(t)
			d.play(l)
			l.requireNoneWaits()
		})
	}
}

func (d delays) play(l *longRunningLoad) {
	const (
		// beforeEnd is the time from the crash after which starts are limited to the end of the last run.
		beforeEnd = 4 * time.Second
		// failingFor is how long a worker fails its starts to be quarantined for the third time.
		failingFor    = 6 * time.Second
		isolatedLabel = "isolated"
		// largeMilli is the CPU of a task that fits only where a run ends besides.
		largeMilli = 2*residentMilli + streamRoom/2
	)
	w := l.addLabelled(streamLabel, residentsPerWorker*residentMilli+streamRoom)
	task := l.addResidents(residentsPerWorker - 1)[0]
	if d.reservation {
		l.addJob(l.newJob(urgentQueue, 1, residentMilli), time.Hour, time.Second) // is always expected to end soon
	} else {
		l.addResidents(1)
	}
	l.advance()
	l.fillWorkers()
	if d.isolated {
		l.addBrieflyIsolated(isolatedLabel)
	}
	if d.quarantine {
		w.failing = true
		l.fail(task)
		l.playFor(failingFor - beforeEnd - longRunningStep)
	}
	if d.startLimit {
		l.raiseAlert()
	}
	l.playFor(beforeEnd)
	w.failing = false
	if d.pause {
		l.setCrashLimit(task)
	}
	if d.startLimit {
		l.addStream(urgentQueue, streamLabel)
	}
	if d.reservation {
		l.addTasks(urgentQueue, 1, largeMilli, time.Minute)
	}
	if d.isolated {
		w.label(isolatedLabel, streamLabel)
	}
	if !d.quarantine {
		l.fail(task)
	}
}

// setCrashLimit lets a task have met as many crashes as it may, the last of them now.
func (l *longRunningLoad) setCrashLimit(name string) {
	const maxCrashes = 4
	ref, err := jobstate.ParseTaskRef(name)
	assert.NilError(l.t, err)
	l.engine.mu.Lock()
	defer l.engine.mu.Unlock()
	en := l.engine.jobs[ref.Job]
	_, task := en.job.Task(ref)
	task.UnconfirmedCrashes = maxCrashes
	en.crashedAt = map[jobstate.TaskRef]boottime.Instant{ref: l.clock.read()}
}

// addHopeless submits a task that fails at its start.
func (l *longRunningLoad) addHopeless() {
	job := l.newJob(urgentQueue, 1, suspectMilli)
	l.hopeless[job.Id] = true
	l.addJob(job, time.Second, time.Second)
}

// playBesideAStream lets a long-running task wait beside a stream of tasks of the queue.
func (l *longRunningLoad) playBesideAStream(queue string) {
	l.addWorkers(1, residentsPerWorker*residentMilli+streamRoom)
	tasks := l.addResidents(residentsPerWorker)
	l.fillWorkers()
	l.raiseAlert()
	l.addStream(queue, "")
	l.fail(tasks[0])
}

// changeTask changes a task that has no run.
func (l *longRunningLoad) changeTask(name string, change func(*jobstate.Task)) {
	ref, err := jobstate.ParseTaskRef(name)
	assert.NilError(l.t, err)
	l.engine.mu.Lock()
	defer l.engine.mu.Unlock()
	_, task := l.engine.jobs[ref.Job].job.Task(ref)
	assert.Assert(l.t, task.Waiting())
	change(task)
}
