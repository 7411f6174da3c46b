package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/operatorconfig"
)

// Guards against a long-running best-effort task that never starts, since another one of its job runs.
func TestLongRunningBestEffortTaskRunsBesideServingOnes(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 4000)
	r.grantLease(a)
	serving := longRunningSpec(jobID(1), 1, 3000)
	serving.Steps[0].TargetLatencyMs, serving.Steps[0].Image = 50, "s"
	r.submit(serving)
	eventually(t, "serving task ordered", func() bool { return len(a.started()) == 1 })
	fills := longRunningSpec(jobID(2), 3, 2000)
	fills.Steps[0].Fills, fills.Steps[0].Image = true, "b"
	r.submit(fills)
	runs := func() (out []*chervilv2.Run) {
		for _, s := range a.started() {
			out = append(out, &chervilv2.Run{Task: s.Task, Attempt: s.Attempt})
		}
		return out
	}
	tasks := map[string]bool{}
	for range 100 {
		r.clock.advance(200 * time.Millisecond)
		r.grantLeaseListing(a, runs())
		r.settle()
		for _, s := range a.started() {
			tasks[s.Task] = true
		}
	}
	assert.Equal(t, len(tasks), 4, "tasks ordered after 20 s")
}

// slowPolicy permits all workers after a pause, and counts its calls by job.
type slowPolicy struct{ calls chan string }

func (p *slowPolicy) Advise(_ context.Context, step string, workers []string) (map[string]string, error) {
	time.Sleep(20 * time.Millisecond)
	job, _, _ := strings.Cut(step, ".")
	p.calls <- job
	out := map[string]string{}
	for _, w := range workers {
		out[w] = "ticket"
	}
	return out, nil
}

// Guards against a long-running step that waits for advice behind steps of a more urgent queue that keep coming.
func TestLongRunningStepGetsAdviceBesideAMoreUrgentStream(t *testing.T) {
	policy := &slowPolicy{calls: make(chan string, 10000)}
	advisor := &operatorconfig.PlacementAdvisor{DecisionTime: 20 * time.Millisecond, TicketValidity: 20 * time.Second}
	r := newRigWith(t, operatorconfig.Queue{Advisor: advisor}, policy)
	urgent, low := ownQueue(), ownQueue()
	urgent.Name, urgent.Priority, urgent.Advisor = "urgent", 0, advisor
	low.Priority, low.Advisor = 1, advisor
	r.configure(2, urgent, low)
	a := r.attach("side-1", 60000)
	r.grantLease(a)
	job := longRunningSpec(jobID(1), 1, 100)
	next := 2
	add := func(n int) {
		for range n {
			j := jobWithCPU(jobID(next), 1)
			j.Queue = "urgent"
			next++
			go r.engine.Submit(context.Background(), j)
		}
	}
	add(5)
	time.Sleep(30 * time.Millisecond)
	r.submit(job)
	called := 0
	for range 150 {
		select {
		case id := <-policy.calls:
			called++
			if id == jobID(1) {
				t.Logf("asked after %d calls", called)
				return
			}
			add(1) // as many as the policy answers
			r.clock.advance(100 * time.Millisecond)
			r.grantLease(a)
		case <-time.After(5 * time.Second):
			t.Fatal("no call")
		}
	}
	assert.Assert(t, false, "no advice for the long-running step in %v and %d calls", 15*time.Second, called)
}
