package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/catalog"
	"chervilridge/internal/events"
	"chervilridge/internal/plan"
	"chervilridge/internal/work"
)

// Advisor tells which workers the policy of a queue permits for a step.
type Advisor interface {
	// Advise returns tickets by worker id.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, error)
}

const (
	// adviceBatch is how many workers one question names: its answer takes a time for
	// each of them.
	adviceBatch = 30
	// adviceSlots bounds the questions under way; the policy answers one at a time and
	// rejects them when 32 wait.
	adviceSlots = 4
	// adviceSlack is added to the time that an answer should take.
	adviceSlack = time.Second
	// ticketMargin is how long before its end a ticket is no longer used: a start and its
	// repeats take that long.
	ticketMargin = 500 * time.Millisecond
)

// ticket permits one life of a worker to run a step.
type ticket struct {
	text  string
	life  work.WorkerKey
	until boottime.Instant
}

// advice is what is known of the policy for one step.
type advice struct {
	tickets map[string]ticket // by worker id
	denied  map[string]bool   // the policy for a step does not change
	asking  bool
}

// allowed returns the workers that the policy permits for a step, and has more asked
// while there are none with a valid ticket that have room.
func (e *Engine) allowed(key plan.StepKey, policy *catalog.Advisor, service string) map[string]bool {
	known := e.advice[key]
	if known == nil {
		known = &advice{tickets: map[string]ticket{}, denied: map[string]bool{}}
		e.advice[key] = known
	}
	now := e.clock()
	out := map[string]bool{}
	var unknown []*node
	room := false
	for _, n := range e.nodes {
		if n.worker == nil || n.worker.Service != service || known.denied[n.key.ID] {
			continue
		}
		if t, ok := known.tickets[n.key.ID]; ok && t.life == n.key && t.until.After(now) {
			out[n.key.ID] = true
			room = room || n.used.CPUMilli*2 < n.capacity().CPUMilli
			continue
		}
		if ok, _ := n.usable(nil, now); ok {
			unknown = append(unknown, n)
		}
	}
	if !room && len(unknown) > 0 {
		e.ask(key, known, policy, unknown)
	}
	return out
}

// ask asks the policy about the emptiest of the workers.
func (e *Engine) ask(key plan.StepKey, known *advice, policy *catalog.Advisor, workers []*node) {
	if known.asking || e.advising >= adviceSlots {
		return
	}
	slices.SortFunc(workers, func(a, b *node) int {
		return int((a.used.CPUMilli - b.used.CPUMilli) - (a.capacity().CPUMilli - b.capacity().CPUMilli))
	})
	workers = workers[:min(len(workers), adviceBatch)]
	lives := map[string]work.WorkerKey{}
	ids := make([]string, 0, len(workers))
	for _, n := range workers {
		lives[n.key.ID] = n.key
		ids = append(ids, n.key.ID)
	}
	known.asking = true
	e.advising++
	waits := time.Duration(e.advising) * (policy.DecisionTime + time.Duration(len(ids))*policy.TimePerWorker)
	go e.advise(key, known, policy.TicketValid, waits+adviceSlack, ids, lives)
}

// advise puts one question and takes in its answer.
func (e *Engine) advise(key plan.StepKey, known *advice, valid, patience time.Duration, ids []string, lives map[string]work.WorkerKey) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	asked := e.clock()
	step := fmt.Sprintf("%s.%d.%d", key.Job, key.Occurrence, key.Step)
	tickets, err := e.settings.Advisor.Advise(ctx, step, ids)
	e.mu.Lock()
	defer e.mu.Unlock()
	known.asking = false
	e.advising--
	if err != nil {
		events.AdviceUnanswered.LogError(err, "step", step, "workers", len(ids))
		e.replan()
		return
	}
	for _, id := range ids {
		if text, ok := tickets[id]; ok {
			known.tickets[id] = ticket{text: text, life: lives[id], until: asked.Add(valid - ticketMargin)}
		} else {
			known.denied[id] = true
		}
	}
	events.AdviceTaken.Log("step", step, "asked", len(ids), "permitted", len(tickets), "took", e.clock().Sub(asked))
	e.replan()
}

// ticketFor returns the ticket with which a run starts; empty if its queue needs none.
func (e *Engine) ticketFor(r *work.Run) string {
	if known := e.advice[stepKey(r.Ref)]; known != nil {
		if t, ok := known.tickets[r.Worker.ID]; ok && t.life == r.Worker {
			return t.text
		}
	}
	return ""
}

// forgetTicket drops a ticket that the worker did not take.
func (e *Engine) forgetTicket(r *work.Run) {
	if known := e.advice[stepKey(r.Ref)]; known != nil {
		delete(known.tickets, r.Worker.ID)
	}
}

// forgetAdvice drops what is known for jobs that have ended.
func (e *Engine) forgetAdvice() {
	for key := range e.advice {
		if e.open[key.Job] == nil {
			delete(e.advice, key)
		}
	}
}
