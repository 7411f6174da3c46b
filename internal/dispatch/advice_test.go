package dispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/plan"
)

// adviceCall is a call that waits for its turn at a serialPolicy.
type adviceCall struct {
	step    string
	workers []string
	answer  chan struct{}
}

// serialPolicy is a placement policy that handles one call at a time, in turn, and permits all workers.
type serialPolicy struct{ calls chan *adviceCall }

func newSerialPolicy() *serialPolicy { return &serialPolicy{calls: make(chan *adviceCall, 100)} }

func (p *serialPolicy) Advise(ctx context.Context, step string, workers []string) (map[string]string, error) {
	call := &adviceCall{step: step, workers: workers, answer: make(chan struct{})}
	p.calls <- call
	select {
	case <-call.answer:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	tickets := map[string]string{}
	for _, w := range workers {
		tickets[w] = "ticket-" + step
	}
	return tickets, nil
}

// next returns the call whose turn it is, or nil if there is none within the time.
func (p *serialPolicy) next(within time.Duration) *adviceCall {
	select {
	case call := <-p.calls:
		return call
	case <-time.After(within):
		return nil
	}
}

// Guards against a burst on a queue with a placement policy after which nothing of the queue starts
// any more: calls waited for each other at the policy until the tickets of each had expired.
func TestBurstOnAQueueWithAPlacementPolicyIsServedInOrder(t *testing.T) {
	const jobs, workers = 14, 11
	const decision, perWorker, validity = 330 * time.Millisecond, 30 * time.Millisecond, 3 * time.Second
	p := newSerialPolicy()
	r := newRigWith(t, operatorconfig.Queue{Advisor: &operatorconfig.PlacementAdvisor{DecisionTime: decision, TimePerWorker: perWorker, TicketValidity: validity}}, p)
	agents := r.attachMany(workers, 32000)
	started := func() map[string]bool { // an order may be repeated
		tasks := map[string]bool{}
		for _, a := range agents {
			for _, s := range a.started() {
				tasks[s.Task] = true
			}
		}
		return tasks
	}
	for i := range jobs {
		r.submit(spec(jobID(i), 4))
		r.clock.advance(time.Millisecond) // so that they have an order
	}
	for i := range jobs {
		call := p.next(testTimeout)
		assert.Assert(t, call != nil, "no call is waiting, %d of %d tasks started", len(started()), 4*jobs)
		assert.Equal(t, call.step, fmt.Sprintf("%s.0.0", jobID(i)), "calls in the order of the jobs, none repeated")
		r.clock.advance(decision + time.Duration(len(call.workers))*perWorker)
		for _, a := range agents {
			r.grantLease(a)
		}
		close(call.answer)
		eventually(t, "the job starts", func() bool { return len(started()) == 4*(i+1) })
	}
	assert.Assert(t, p.next(50*time.Millisecond) == nil, "asked again although everything has started")
}

// Guards against a policy that is asked without a pause and to no avail, because its tickets expire before
// they arrive.
func TestPolicyThatIsTooSlowIsNotAskedWithoutAPause(t *testing.T) {
	p := newSerialPolicy()
	r := newRigWith(t, operatorconfig.Queue{Advisor: &operatorconfig.PlacementAdvisor{DecisionTime: 100 * time.Millisecond, TicketValidity: 3 * time.Second}}, p)
	agent := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	for i := range 6 {
		call := p.next(testTimeout)
		assert.Assert(t, call != nil, "asked again once the delay is over")
		r.clock.advance(3 * time.Second) // slower than configured
		r.grantLease(agent)
		close(call.answer)
		r.settle()
		if i > 0 {
			assert.Assert(t, p.next(20*time.Millisecond) == nil, "asked again at once after call %d", i)
		}
		r.clock.advance(maxAdviceDelay)
		r.grantLease(agent)
	}
	assert.Equal(t, len(agent.started()), 0, "no expired ticket is used")
}

// Guards against calls for tickets that can't be of use by the settings of the queue alone.
func TestFewerWorkersAreNamedToASlowPolicy(t *testing.T) {
	for _, c := range []struct {
		decision, perWorker, validity time.Duration
		want                          int
	}{
		{50 * time.Millisecond, time.Millisecond, 3 * time.Second, maxWorkersPerAdvice},
		{330 * time.Millisecond, 30 * time.Millisecond, 3 * time.Second, maxWorkersPerAdvice},
		{time.Second, 100 * time.Millisecond, 3 * time.Second, 7},
		{time.Second, time.Second, 3 * time.Second, 1},
		{time.Second, 2 * time.Second, 3 * time.Second, 0},
		{3 * time.Second, 0, 3 * time.Second, 0},
	} {
		policy := &operatorconfig.PlacementAdvisor{DecisionTime: c.decision, TimePerWorker: c.perWorker, TicketValidity: c.validity}
		assert.Equal(t, workersPerAdvice(policy), c.want, "%v %v %v", c.decision, c.perWorker, c.validity)
	}
}

// answerAll answers the next call and those that follow within the time, and returns the workers named
// in them.
func (p *serialPolicy) answerAll(within time.Duration) []string {
	var out []string
	for call := p.next(testTimeout); call != nil; call = p.next(within) {
		out = append(out, call.workers...)
		close(call.answer)
	}
	return out
}

// Guards against advice that is asked only about workers which the planner does not use, such as all
// those of an evacuated data centre: more of them than one call names have more free CPU than those
// that are left.
func TestAdviceIsAskedAboutWorkersThatMayRunTheStep(t *testing.T) {
	const unusable, quarantined = maxWorkersPerAdvice + 2, 11 // of 33 workers, maxQuarantinedPercent may be quarantined
	cases := []struct {
		name  string
		step  func(*chervilv2.Step)
		spoil func(r *rig, nodes []string)
		other func(*chervilv2.Worker) // of the workers that may not run the step
	}{
		{name: "evacuated", other: func(w *chervilv2.Worker) { w.Zone = "pnw-b" }, spoil: func(r *rig, _ []string) {
			r.view.Evacuated["pnw-b"] = true
		}},
		{name: "quarantined", spoil: func(r *rig, nodes []string) {
			for _, n := range nodes[:quarantined] {
				r.engine.nodes[n].health.quarantinedUntil = r.clock.read().Add(time.Hour)
			}
		}},
		{name: "label", step: func(s *chervilv2.Step) { s.RequiredLabel = "b" }},
		{name: "memory", step: func(s *chervilv2.Step) { s.MemoryMb = 60000 }, other: func(w *chervilv2.Worker) { w.MemoryMb = 50000 }},
		{name: "GPUs", step: func(s *chervilv2.Step) { s.Gpus = 1 }},
		{name: "at the limit of the step", step: func(s *chervilv2.Step) { s.MaxPerWorker = 1 }, spoil: func(r *rig, nodes []string) {
			for _, n := range nodes {
				r.engine.nodes[n].runsPerStep[plan.StepKey{Job: jobID(1)}] = 1
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newSerialPolicy()
			r := newRigWith(t, operatorconfig.Queue{Advisor: &operatorconfig.PlacementAdvisor{TicketValidity: 3 * time.Second}}, p)
			var nodes, ids []string
			for i := range unusable {
				w := &chervilv2.Worker{Id: fmt.Sprintf("other-%d", i), BornUnixMs: 1, Service: testService, Zone: "pnw-a", CpuMilli: 32000, MemoryMb: 64000, Listed: true}
				if c.other != nil {
					c.other(w)
				}
				nodes, ids = append(nodes, fmt.Sprintf("other-%d", i)), append(ids, w.Id)
				r.attachWith(nodes[i], w)
			}
			good := r.attachWith("side-1", &chervilv2.Worker{
				Id: "good", BornUnixMs: 1, Service: testService, Zone: "pnw-a", CpuMilli: 16000, MemoryMb: 64000, Gpus: 1, Labels: []string{"b"}, Listed: true,
			})
			eventually(t, "all workers usable", func() bool { // else those without room now are asked about
				r.engine.mu.Lock()
				defer r.engine.mu.Unlock()
				workers, _ := r.engine.workers(r.view)
				return len(workers) == unusable+1
			})
			r.engine.mu.Lock()
			if c.spoil != nil {
				c.spoil(r, nodes)
			}
			r.engine.mu.Unlock()
			job := spec(jobID(1), 1)
			if c.step != nil {
				c.step(job.Steps[0])
			}
			r.submit(job)
			asked := p.answerAll(100 * time.Millisecond)
			if c.name == "quarantined" {
				ids = ids[:quarantined]
			} else {
				eventually(t, "the job starts", func() bool { return len(good.started()) == 1 })
			}
			for _, id := range asked {
				assert.Assert(t, !slices.Contains(ids, id), "asked about %s", id)
			}
			assert.Assert(t, len(asked) > 0)
		})
	}
}
