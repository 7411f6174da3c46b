package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
)

func isolationWorkers(names ...string) []Worker {
	out := make([]Worker, len(names))
	for i, name := range names {
		out[i] = Worker{Key: jobstate.WorkerKey{Node: name, ID: name}, Service: "desk", Capacity: Resources{CPUMilli: 8000, MemoryMB: 8000}}
	}
	return out
}

func isolationRequests(isolated, others uint32) []Request {
	step := &chervilv2.Step{CpuMilli: 1000, MemoryMb: 100}
	request := func(job string, tasks uint32) Request {
		r := Request{Key: StepKey{Job: job}, Step: step, Service: "desk", MaxIsolated: 2}
		for i := range tasks {
			r.Indexes = append(r.Indexes, i)
		}
		return r
	}
	suspect, other := request("b", isolated), request("a", others)
	suspect.Isolated = true
	return []Request{suspect, other}
}

func grantsByWorker(p Plan, workers []Worker) map[string][]string {
	out := map[string][]string{}
	for _, g := range p.Grants {
		node := workers[g.Worker].Key.Node
		out[node] = append(out[node], g.Key.Job)
	}
	return out
}

func TestIsolatedTasksShareNoWorker(t *testing.T) {
	workers := isolationWorkers("w1", "w2", "w3")
	got := grantsByWorker(Place(workers, isolationRequests(3, 4), nil), workers)
	assert.DeepEqual(t, got, map[string][]string{"w1": {"b"}, "w2": {"b"}, "w3": {"a", "a", "a", "a"}})
}

func TestIsolatedTaskAvoidsServingTasks(t *testing.T) {
	workers := isolationWorkers("w1", "w2")
	workers[0].ServingTasks = 1
	workers[1].Used.CPUMilli = 4000
	got := grantsByWorker(Place(workers, isolationRequests(1, 0), nil), workers)
	assert.DeepEqual(t, got, map[string][]string{"w2": {"b"}})
}

func TestBusyWorkerIsReservedForAnIsolatedTask(t *testing.T) {
	workers := isolationWorkers("w1", "w2")
	workers[0].Starting, workers[1].Starting = 1, 1
	workers[1].Used.CPUMilli = 1000
	planned := Place(workers, isolationRequests(1, 2), nil)
	assert.DeepEqual(t, grantsByWorker(planned, workers), map[string][]string{"w2": {"a", "a"}})
	workers = isolationWorkers("w1", "w2")
	workers[1].Starting = 1
	got := grantsByWorker(Place(workers, isolationRequests(1, 0), nil), workers)
	assert.DeepEqual(t, got, map[string][]string{"w1": {"b"}})
}

func TestWorkerOfAnIsolatedTaskGetsNoOther(t *testing.T) {
	workers := isolationWorkers("w1")
	workers[0].Isolated = true
	planned := Place(workers, isolationRequests(1, 1), nil)
	assert.Equal(t, len(planned.Grants), 0)
}

func TestYoungestSuspectsAreIsolatedFirst(t *testing.T) {
	workers := isolationWorkers("w1")
	older, younger := isolationRequests(1, 0)[0], isolationRequests(1, 0)[0]
	older.Key.Job, older.SuspectAge = "a", 200*time.Millisecond
	younger.Key.Job, younger.SuspectAge = "b", 10*time.Millisecond
	got := grantsByWorker(Place(workers, []Request{older, younger}, nil), workers)
	assert.DeepEqual(t, got, map[string][]string{"w1": {"b"}})
}

func TestWorkerStartsNoMoreThanItsLimitAtATime(t *testing.T) {
	workers := isolationWorkers("w1", "w2")
	workers[0].Starting, workers[0].MaxStarting, workers[1].MaxStarting = 1, 2, 2
	planned := Place(workers, isolationRequests(0, 4), nil)
	assert.DeepEqual(t, grantsByWorker(planned, workers), map[string][]string{"w1": {"a"}, "w2": {"a", "a"}})
	assert.Equal(t, len(planned.Unplaced), 1)
}

func TestLimitOfStartsSparesGangs(t *testing.T) {
	workers := isolationWorkers("w1")
	workers[0].Starting, workers[0].MaxStarting = 1, 1
	requests := isolationRequests(0, 2)
	requests[1].Step = &chervilv2.Step{CpuMilli: 1000, MemoryMb: 100, Tasks: 2, Gang: true}
	planned := Place(workers, requests[1:], nil)
	assert.Equal(t, len(planned.Grants), 2)
}

func TestTaskIsNotStartedOnAWorkerToAvoidWhileAnotherIsAtItsLimit(t *testing.T) {
	workers := isolationWorkers("w1", "w2")
	workers[0].Starting, workers[0].MaxStarting = 1, 1
	requests := isolationRequests(0, 1)
	requests[1].Avoid = map[string]bool{"w2": true}
	planned := Place(workers, requests[1:], nil)
	assert.Equal(t, len(planned.Grants), 0)
	workers = isolationWorkers("w2")
	requests[1].Avoid = map[string]bool{"w2": true}
	planned = Place(workers, requests[1:], nil)
	assert.Equal(t, len(planned.Grants), 1)
}
