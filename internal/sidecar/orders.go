package sidecar

import (
	"context"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/interference"
	"chervilridge/platform"
)

const (
	// orderConcurrency bounds the calls of the worker at once; it takes 64 connections.
	orderConcurrency = 24
	// startTimeout bounds one try of a start; a sound worker answers within some ms.
	startTimeout = 450 * time.Millisecond
	// stopTimeout bounds one try of a stop.
	stopTimeout = 600 * time.Millisecond
	// startLease is how long a start is valid: a start that the worker carries out
	// later is rejected by the worker itself.
	startLease = 1500 * time.Millisecond
	// startTries is how often a start is tried before it is fenced off by a stop.
	startTries = 3
	orderPause = 60 * time.Millisecond
	// refusedKept is how long a refused run is remembered; no order is that old.
	refusedKept = time.Minute
)

// task is an order that is being carried out.
type task struct {
	start    *chervilv2.StartOrder
	stopping bool
}

// Orders takes in orders of the owner and carries them out in the background.
func (a *Agent) Orders(ctx context.Context, o *chervilv2.OwnerOrders, sentAt boottime.Instant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Epoch < a.epoch {
		events.StaleOwnerIgnored.Log("epoch", o.Epoch, "known", a.epoch)
		return false
	}
	a.epoch = o.Epoch
	if o.HoldMs > 0 && sentAt != 0 {
		a.authority = max(a.authority, sentAt.Add(time.Duration(o.HoldMs)*time.Millisecond))
	}
	l := a.life
	if l != nil && o.StoredEnd > l.stored && o.WorkerId == l.id && o.BornUnixMs == l.born {
		l.stored = o.StoredEnd
		for len(l.ends) > 0 && l.ends[0].Number <= l.stored {
			l.ends = l.ends[1:]
		}
		signal(a.holdNow)
	}
	for _, i := range o.Interference {
		a.model.SetSlope(interference.Pair{Serving: i.Serving, BestEffort: i.Filling}, float64(i.SlopeMilli)/1000)
	}
	for _, r := range o.Runs {
		a.info[runKey{r.Task, r.Attempt}] = runInfo{fills: r.Fills, target: r.TargetLatencyMs, image: r.Image, cpu: r.CpuMilli, since: a.clock()}
	}
	for _, s := range o.Starts {
		key := runKey{s.Task, s.Attempt}
		if _, refused := a.refused[key]; refused {
			a.results = append(a.results, &chervilv2.StartResult{Task: key.task, Attempt: key.attempt, Answer: chervilv2.StartAnswer_START_ANSWER_NOT_STARTED})
			signal(a.changed)
			continue
		}
		a.info[key] = runInfo{fills: s.Fills, target: s.TargetLatencyMs, image: s.Image, cpu: s.CpuMilli, since: a.clock()}
		if a.tasks[key] == nil {
			t := &task{start: s}
			a.tasks[key] = t
			go a.carryOutStart(ctx, key, t)
		}
	}
	for _, s := range o.Stops {
		key := runKey{s.Task, s.Attempt}
		t := a.tasks[key]
		if t == nil {
			t = &task{}
			a.tasks[key] = t
			t.stopping = true
			go a.carryOutStop(ctx, key)
			continue
		}
		if !t.stopping { // the start under way turns into a stop
			t.stopping = true
		}
	}
	return true
}

// resolved ends an order whose outcome is known.
func (a *Agent) resolved(ctx context.Context, key runKey, answer chervilv2.StartAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &chervilv2.StartResult{Task: key.task, Attempt: key.attempt, Answer: answer}
	if answer == chervilv2.StartAnswer_START_ANSWER_STARTED {
		delete(a.tasks, key)
		a.results = append(a.results, r)
		a.paceNew(ctx, key)
		signal(a.changed)
		return
	}
	a.refuse(key)
	a.settled = append(a.settled, r)
	signal(a.holdNow)
}

// refuse makes sure that a run which is said not to have started never starts: the owner
// may have repeated its order meanwhile.
func (a *Agent) refuse(key runKey) {
	now := a.clock()
	a.refused[key] = now
	for old, at := range a.refused {
		if now.Sub(at) > refusedKept {
			delete(a.refused, old)
		}
	}
}

// carryOutStart starts a run. If the worker does not answer, a stop of the same run
// makes sure that it never starts.
func (a *Agent) carryOutStart(ctx context.Context, key runKey, t *task) {
	a.slots <- struct{}{}
	defer func() { <-a.slots }()
	for try := 1; try <= startTries; try++ {
		start, id, reason := a.prepareStart(key, t)
		if reason != "" {
			if try == 1 { // the worker never heard of the run
				events.StartAnswered.Log("task", key.task, "attempt", key.attempt, "answer", "not tried", "reason", reason)
				a.resolved(ctx, key, chervilv2.StartAnswer_START_ANSWER_NOT_STARTED)
				return
			}
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, startTimeout)
		_, err := a.worker.Start(callCtx, id, start)
		cancel()
		if answer, known := startAnswer(err, try); known {
			events.StartAnswered.Log("task", key.task, "attempt", key.attempt, "worker", id, "answer", answer, "try", try, "err", err)
			if answer == chervilv2.StartAnswer_START_ANSWER_STARTED && a.stopAsked(t) {
				break
			}
			a.resolved(ctx, key, answer)
			return
		}
		events.StartUnanswered.LogError(err, "task", key.task, "attempt", key.attempt, "worker", id, "try", try)
		if ctx.Err() != nil {
			return
		}
		time.Sleep(orderPause)
	}
	a.fence(ctx, key)
}

// stopAsked reports whether a stop came while the run was being started.
func (a *Agent) stopAsked(t *task) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return t.stopping
}

// prepareStart returns the start to send, or why it may not be sent.
func (a *Agent) prepareStart(key runKey, t *task) (platform.StartRequest, string, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, now := a.life, a.clock()
	switch {
	case t.stopping:
		return platform.StartRequest{}, "", "stop ordered"
	case l == nil || l.gone || l.lapsed || l.id != t.start.WorkerId:
		return platform.StartRequest{}, "", "another life of the worker"
	case l.draining || l.left:
		return platform.StartRequest{}, "", "worker is draining"
	case l.clockAt == 0 || !a.authority.After(now):
		return platform.StartRequest{}, "", "no right to hold runs"
	}
	end := min(a.authority, now.Add(startLease))
	until := l.clock + end.Sub(l.clockAt)*clockRateMilli/1000
	l.until = max(l.until, until)
	return platform.StartRequest{
		Task: key.task, Attempt: key.attempt, Payload: t.start.Payload, LeaseExpiresAt: until, Fence: a.epoch,
		Checkpoint: t.start.Checkpoint, Ticket: t.start.Ticket,
	}, l.id, ""
}

// startAnswer translates the worker's answer; known is false if the run may have begun
// or begin later.
func startAnswer(err error, try int) (answer chervilv2.StartAnswer, known bool) {
	if err == nil {
		return chervilv2.StartAnswer_START_ANSWER_STARTED, true
	}
	// After an unanswered try only answers that speak of all tries are definite.
	switch platform.KindOf(err) {
	case platform.Superseded:
		return chervilv2.StartAnswer_START_ANSWER_OLD, true
	case platform.InsufficientResources:
		return chervilv2.StartAnswer_START_ANSWER_NO_ROOM, try == 1
	case platform.InvalidTicket:
		return chervilv2.StartAnswer_START_ANSWER_TICKET, try == 1
	case platform.Fenced, platform.Unavailable, platform.LeaseExpired, platform.Invalid, platform.ConnectionRefused:
		return chervilv2.StartAnswer_START_ANSWER_NOT_STARTED, try == 1
	}
	return chervilv2.StartAnswer_START_ANSWER_UNKNOWN, false
}

// carryOutStop stops a run that the worker may list.
func (a *Agent) carryOutStop(ctx context.Context, key runKey) {
	a.slots <- struct{}{}
	defer func() { <-a.slots }()
	a.fence(ctx, key)
}

// fence stops a run until the worker has answered: afterwards it has ended, is ending,
// or never begins.
func (a *Agent) fence(ctx context.Context, key runKey) {
	for ctx.Err() == nil {
		a.mu.Lock()
		l, epoch := a.life, a.epoch
		a.mu.Unlock()
		if l == nil || l.id == "" || l.gone || l.lapsed {
			a.resolved(ctx, key, chervilv2.StartAnswer_START_ANSWER_NOT_STARTED)
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		_, err := a.worker.Stop(callCtx, l.id, key.task, key.attempt, epoch)
		cancel()
		kind := platform.ErrorKind("")
		if err != nil {
			kind = platform.KindOf(err)
		}
		if err == nil || kind == platform.Superseded {
			a.resolved(ctx, key, chervilv2.StartAnswer_START_ANSWER_NOT_STARTED)
			return
		}
		events.StopUnanswered.LogError(err, "task", key.task, "attempt", key.attempt, "worker", l.id)
		time.Sleep(orderPause)
	}
}
