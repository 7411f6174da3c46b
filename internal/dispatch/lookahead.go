package dispatch

import (
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/plan"
	"chervilridge/internal/urgency"
)

const (
	// stopTime is the time in which a run that is being stopped usually ends and is reported.
	stopTime = time.Second
	// reservationLogInterval is the minimum interval between two log lines about reservations.
	reservationLogInterval = time.Second
)

// lookahead is what the owner keeps for the reservations of large tasks, in memory only. The
// zero value is ready for use.
type lookahead struct {
	planner           plan.Lookahead
	tails             *urgency.TailEstimator // nil until a task has ended
	plannedAt, logged boottime.Instant
}

// observe learns from a task that ran at full pace to its end.
func (l *lookahead) observe(queue string, step *chervilv2.Step, took time.Duration) {
	if step.LongRunning {
		return
	}
	if l.tails == nil {
		l.tails = urgency.NewTailEstimator()
	}
	l.tails.Observe(queue, took)
}

// forecast returns how long a task takes at full pace, with the tail of its queue, or as its client
// estimates if no task of the queue has ended; 0 if neither is known.
func (l *lookahead) forecast(queue string, step *chervilv2.Step) time.Duration {
	if l.tails != nil {
		if tail := l.tails.Tail(queue); tail > 0 {
			return tail
		}
	}
	return time.Duration(step.EstimateMs) * time.Millisecond
}

// taskDuration returns how long a task will hold its room, or 0 if that is unknown, as for
// best-effort tasks, which may be slowed.
func (l *lookahead) taskDuration(queue string, step *chervilv2.Step) time.Duration {
	if step.LongRunning || step.Fills {
		return 0
	}
	return l.forecast(queue, step)
}

// placeAhead plans the round, with reservations for large requests.
func (e *Engine) placeAhead(workers []plan.Worker, requests []plan.Request) plan.Plan {
	now := e.clock()
	elapsed := time.Duration(0)
	if e.lookahead.plannedAt != 0 {
		elapsed = now.Sub(e.lookahead.plannedAt)
	}
	e.lookahead.plannedAt = now
	if plan.NeedsForecast(workers, requests) {
		for i := range workers {
			workers[i].Ends = e.forecastEnds(e.nodes[workers[i].Key.Node], now)
		}
	}
	planned := e.lookahead.planner.Place(workers, requests, e.model, elapsed)
	for _, o := range planned.Outcomes {
		reservations.increment(string(o.Outcome))
	}
	e.logReservations(planned.Reservations, workers, now)
	return planned
}

// forecastEnds returns the ends of the node's runs as far as they can be forecast.
func (e *Engine) forecastEnds(n *node, now boottime.Instant) []plan.End {
	out := make([]plan.End, 0, len(n.runs))
	for _, tr := range n.runs {
		needs := plan.Needs(tr.step)
		if needs == (plan.Resources{}) {
			continue
		}
		if in, known := e.remainingTime(tr, now); known {
			out = append(out, plan.End{Frees: needs, In: in})
		}
	}
	return out
}

// remainingTime returns when the run is expected to end, if that is known.
func (e *Engine) remainingTime(tr *trackedRun, now boottime.Instant) (time.Duration, bool) {
	if tr.run.Stopping {
		return stopTime, true
	}
	en := e.jobs[tr.run.Ref.Job]
	if tr.step.LongRunning || en == nil {
		return 0, false
	}
	forecast := e.lookahead.forecast(en.job.Spec.Queue, tr.step)
	if forecast == 0 {
		return 0, false
	}
	if tr.step.Fills {
		return tr.remainingAtPace(forecast)
	}
	started := tr.startedAt
	if started == 0 {
		started = tr.orderedAt
	}
	return urgency.Remaining(forecast, max(0, now.Sub(started))), true
}

// remainingAtPace returns the time that a best-effort run needs for the rest of its work at
// its pace, which is unknown if it has reported no progress or is halted.
func (tr *trackedRun) remainingAtPace(forecast time.Duration) (time.Duration, bool) {
	pace := uint32(fullPacePercent)
	if tr.paced {
		pace = min(tr.pacePercent, fullPacePercent)
	}
	if tr.percent == 0 || pace == 0 {
		return 0, false
	}
	left := fullPacePercent - min(tr.percent, fullPacePercent)
	return forecast * time.Duration(left) / time.Duration(pace), true
}

// logReservations logs what is reserved, at most once per reservationLogInterval.
func (e *Engine) logReservations(reserved []plan.Reservation, workers []plan.Worker, now boottime.Instant) {
	if len(reserved) == 0 || e.lookahead.logged != 0 && now.Sub(e.lookahead.logged) < reservationLogInterval {
		return
	}
	e.lookahead.logged = now
	var idle plan.Resources
	oldest := reserved[0]
	for _, r := range reserved {
		idle = idle.Add(r.Idle)
		if r.Waited > oldest.Waited {
			oldest = r
		}
	}
	events.RoomReserved.Log("reservations", len(reserved), "idleMilli", idle.CPUMilli, "idleMemoryMB", idle.MemoryMB,
		"queue", oldest.Queue, "job", oldest.Key.Job, "step", oldest.Key.Step, "workers", len(oldest.Workers),
		"node", workers[oldest.Workers[0]].Key.Node, "in", oldest.In, "age", oldest.Age, "waited", oldest.Waited)
}
