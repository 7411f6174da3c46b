package plan

import (
	"slices"
	"strings"
	"time"

	"chervilridge/internal/jobstate"
	"chervilridge/internal/urgency"
)

const (
	// largeDivisor defines large tasks: those that reserve at least one part in this many of the
	// largest worker of their service. Tasks smaller than that find gaps soon enough where
	// tasks end every second.
	largeDivisor = 8
	// reservedDivisor bounds the room that is reserved in a service, and thus held idle: one part in
	// this many of its capacity, or the largest worker if that is more. A single reservation for
	// a gang may be larger, up to one part in gangDivisor.
	reservedDivisor, gangDivisor = 10, 4
	// shortDivisor is the part of the CPU in use by tasks that end which must remain free
	// beside a reservation for a long-running task, since their use varies by about that much.
	// If it does not remain free, a long-running task waits for longRunningWait before it gets a reservation.
	shortDivisor    = 4
	longRunningWait = 30 * time.Second
	// overtakeAfter is how long a queue's large request waits before its reservation applies to
	// more urgent requests of the same priority too.
	overtakeAfter = 5 * time.Second
	// A reservation stays on its target for ageFactor times its first forecast and minAge, at most
	// maxAge. The target then gets none of the same queue for restTime, and its workers none of any
	// queue of the same priority or after it. Each time this happens to
	// a queue, the bound doubles, since forecasts are then too short by a factor.
	ageFactor = 2
	minAge    = 2 * time.Second
	maxAge    = 30 * time.Second
	restTime  = 10 * time.Second
	// maxExpirations doublings of minAge reach maxAge.
	maxExpirations = 4
	// maxQuiet is how long reservations are still made in a service of which less than half is in
	// use. There the platform expects a task to start within 3 s if there is room for it twice over.
	maxQuiet = 2 * time.Second
	// maxSearches bounds the requests of a queue for which room is searched in a round. A search for a
	// gang reads the ends of all runs: 0.35 ms for 4,800 runs on 240 workers.
	maxSearches = 8
)

// Lookahead carries reservations from one planning round to the next. The zero value has none.
type Lookahead struct {
	queues map[string]*reservedQueue
	// resting holds for how long workers are not reserved after a reservation on them has expired.
	resting map[restingWorker]time.Duration
}

// restingWorker is a worker and the priority of the reservation that has expired on it. It rests for
// requests of this priority and those that come after it.
type restingWorker struct {
	worker   jobstate.WorkerKey
	priority int
}

// advanceRests lets time pass for the resting workers.
func (l *Lookahead) advanceRests(elapsed time.Duration) {
	for w, left := range l.resting {
		if l.resting[w] = left - elapsed; left <= elapsed {
			delete(l.resting, w)
		}
	}
}

// rest keeps all queues of the reservation's priority or after it from reserving its workers.
// Otherwise queues could reserve a worker in turn for ever, and small tasks would never start there.
func (l *Lookahead) rest(q *reservedQueue) {
	if l.resting == nil {
		l.resting = map[restingWorker]time.Duration{}
	}
	for _, w := range q.workers {
		l.resting[restingWorker{w, q.priority}] = restTime
	}
}

// target is what a reservation names: a worker, a rack, or neither for a gang that is spread.
type target struct {
	worker jobstate.WorkerKey
	rack   string
}

// reservedQueue is a queue with a large request that waits.
type reservedQueue struct {
	// key is the request that is first. If reserved is set, target and workers are what is reserved
	// for it, priority is that of the request.
	key      StepKey
	service  string
	reserved bool
	target   target
	workers  []jobstate.WorkerKey
	priority int
	// age is the time on the target, limit its bound. until is the time up to which
	// backfilling tasks must end.
	age, limit, until time.Duration
	// expirations counts the reservations that have expired since one was met, up to
	// maxExpirations.
	expirations int
	// quiet is for how long less than half of the service has been in use.
	quiet time.Duration
	// waited is how long large requests have waited, seen those that wait in this round.
	waited map[StepKey]time.Duration
	seen   map[StepKey]bool
	// resting holds the targets that may not be used, and for how long.
	resting map[target]time.Duration
}

// advance lets time pass and reports whether the reservation has expired.
func (q *reservedQueue) advance(elapsed time.Duration) (expired bool) {
	for key := range q.waited {
		if q.waited[key] += elapsed; !q.seen[key] {
			delete(q.waited, key)
		}
	}
	clear(q.seen)
	q.age += elapsed
	q.until = max(0, q.until-elapsed)
	for t, left := range q.resting {
		if q.resting[t] = left - elapsed; left <= elapsed {
			delete(q.resting, t)
		}
	}
	if !q.reserved || q.age <= q.limit {
		return false
	}
	q.reserved, q.resting[q.target] = false, restTime
	q.expirations = min(q.expirations+1, maxExpirations)
	return true
}

// hold is the part of a reservation on one worker.
type hold struct {
	key StepKey
	// needs is what is reserved, extra what is left beside it once it is free.
	needs, extra Resources
	// until is the time by which other tasks must have ended if extra has no room for them.
	until time.Duration
}

// allows reports whether a task of the request may start beside the reserved room.
func (h *hold) allows(r *Request) bool {
	return r.Key == h.key || h.endsInTime(r) || Needs(r.Step).Fits(h.extra)
}

func (h *hold) endsInTime(r *Request) bool {
	return !r.Step.LongRunning && r.Duration > 0 && r.Duration <= h.until
}

// round is a planning round with reservations.
type round struct {
	workers  []Worker
	requests []Request
	state    *Lookahead
	out      *Plan
	// largest is the largest amount of each resource on a worker, by service; total the sum, used
	// what is in use of it at the start, reserved the sum of the reservations.
	largest, total, used, reserved map[string]Resources
	// packed is the highest priority of the large requests that wait since an earlier round and
	// are not deferred, by service.
	packed map[string]int
	// made has the reservations of this round by queue, as positions in out.Reservations.
	made   map[string]int
	sorted []bool // by worker: whether its Ends are sorted
	// restingFrom is the priority from which on each resting worker may not be reserved.
	restingFrom map[jobstate.WorkerKey]int
	// searches counts the searches for room by queue, crowded the long-running needs for which
	// leavesRoomForShort is false. That remains so, since use only grows in a round.
	searches map[string]int
	crowded  map[longRunningNeeds]bool
}

// newRound returns nil if no request is large, so that such rounds cost nothing more.
func (l *Lookahead) newRound(workers []Worker, requests []Request, out *Plan, elapsed time.Duration) *round {
	l.advanceRests(elapsed)
	largest := largestWorkers(workers)
	if !slices.ContainsFunc(requests, func(r Request) bool { return isLarge(&r, largest) }) {
		for queue, q := range l.queues {
			if q.reserved {
				out.Outcomes = append(out.Outcomes, QueueOutcome{queue, OutcomeDropped})
			}
		}
		l.queues = nil
		sortOutcomes(out.Outcomes)
		return nil
	}
	rd := &round{
		workers: workers, requests: requests, state: l, out: out, largest: largest, total: map[string]Resources{}, used: map[string]Resources{},
		reserved: map[string]Resources{}, made: map[string]int{}, packed: map[string]int{}, sorted: make([]bool, len(workers)),
		restingFrom: map[jobstate.WorkerKey]int{}, searches: map[string]int{}, crowded: map[longRunningNeeds]bool{},
	}
	for i := range workers {
		rd.total[workers[i].Service] = rd.total[workers[i].Service].Add(workers[i].Capacity)
		rd.used[workers[i].Service] = rd.used[workers[i].Service].Add(workers[i].Used)
	}
	if l.queues == nil {
		l.queues = map[string]*reservedQueue{}
	}
	for queue, q := range l.queues {
		if q.quiet += elapsed; rd.halfUsed(q.service) {
			q.quiet = 0
		}
		if q.advance(elapsed) {
			l.rest(q)
			out.Outcomes = append(out.Outcomes, QueueOutcome{queue, OutcomeExpired})
		}
	}
	for w := range l.resting {
		if priority, rests := rd.restingFrom[w.worker]; !rests || w.priority < priority {
			rd.restingFrom[w.worker] = w.priority
		}
	}
	for i := range requests {
		r := &requests[i]
		q := l.queues[r.Queue]
		if q == nil || !isLarge(r, largest) || rd.defers(r, q) {
			continue
		}
		if _, waits := q.waited[r.Key]; waits {
			if priority, ok := rd.packed[r.Service]; !ok || r.Priority < priority {
				rd.packed[r.Service] = r.Priority
			}
		}
	}
	return rd
}

// QueueOutcome is an outcome of a queue's reservation.
type QueueOutcome struct {
	Queue   string
	Outcome Outcome
}

// NeedsForecast reports whether a request may need a reservation, and thus the ends of the runs on
// the workers.
func NeedsForecast(workers []Worker, requests []Request) bool {
	largest := largestWorkers(workers)
	return slices.ContainsFunc(requests, func(r Request) bool { return isLarge(&r, largest) })
}

// largestWorkers returns the largest amount of each resource on a worker, by service.
func largestWorkers(workers []Worker) map[string]Resources {
	out := map[string]Resources{}
	for i := range workers {
		l, c := out[workers[i].Service], workers[i].Capacity
		out[workers[i].Service] = Resources{max(l.CPUMilli, c.CPUMilli), max(l.MemoryMB, c.MemoryMB), max(l.GPUs, c.GPUs)}
	}
	return out
}

// isLarge reports whether a request needs gaps that small tasks keep from forming. Nothing is kept
// for tasks that exceed every worker.
func isLarge(r *Request, largest map[string]Resources) bool {
	needs, most := Needs(r.Step), largest[r.Service]
	if r.Isolated || !needs.Fits(most) {
		return false
	}
	if r.Step.Gang && len(r.Indexes) > 1 {
		return true
	}
	part := func(need, most int64) bool { return need > 0 && need*largeDivisor >= most }
	return part(needs.CPUMilli, most.CPUMilli) || part(needs.MemoryMB, most.MemoryMB) || part(needs.GPUs, most.GPUs)
}

// beginPriority reserves room for the requests from position first on, of the same priority, that
// have waited so long that more urgent ones no longer precede them.
func (rd *round) beginPriority(first int) {
	for i := first; i < len(rd.requests) && rd.requests[i].Priority == rd.requests[first].Priority; i++ {
		r := &rd.requests[i]
		q := rd.state.queues[r.Queue]
		if q == nil || q.waited[r.Key] < overtakeAfter || r.Class == urgency.Expired || !isLarge(r, rd.largest) {
			continue
		}
		rd.reserve(r, r.Avoid)
	}
}

// placed ends the placement of a request: it notes whether a large one was placed, and reserves
// room for it if tasks of it are left.
func (rd *round) placed(r *Request, granted int, avoid map[string]bool) {
	if !isLarge(r, rd.largest) {
		return
	}
	q := rd.state.queues[r.Queue]
	if granted > 0 && q != nil && q.key == r.Key {
		if q.reserved {
			rd.out.Outcomes = append(rd.out.Outcomes, QueueOutcome{r.Queue, OutcomeMet})
		}
		q.reserved, q.expirations = false, 0
		if r.Step.LongRunning {
			q.waited[r.Key] = 0 // the step's other tasks start to wait
		}
	}
	if granted < len(r.Indexes) {
		rd.reserve(r, avoid)
	}
}

// release gives up the queue's reservation in this round, if it is for the request.
func (rd *round) release(r *Request) {
	at, ok := rd.made[r.Queue]
	if !ok || rd.out.Reservations[at].Key != r.Key {
		return
	}
	for _, i := range rd.out.Reservations[at].Workers {
		rd.reserved[r.Service] = rd.reserved[r.Service].Sub(rd.workers[i].hold.needs)
		rd.workers[i].hold = nil
	}
	rd.out.Reservations[at].Workers = nil
	delete(rd.made, r.Queue)
}

// holding reports whether room of the service is reserved.
func (rd *round) holding(service string) bool {
	for _, at := range rd.made {
		if rd.workers[rd.out.Reservations[at].Workers[0]].Service == service {
			return true
		}
	}
	return false
}

// heldIdle returns the free room that the worker's reservation holds.
func (w *Worker) heldIdle() Resources {
	if w.hold == nil {
		return Resources{}
	}
	return idlePart(w.hold.needs, w.Capacity.Sub(w.Used))
}

func idlePart(needs, free Resources) Resources {
	return Resources{max(0, min(needs.CPUMilli, free.CPUMilli)), max(0, min(needs.MemoryMB, free.MemoryMB)), max(0, min(needs.GPUs, free.GPUs))}
}

// reserve makes the queue's reservation for the request, unless it has one or none is possible.
func (rd *round) reserve(r *Request, avoid map[string]bool) {
	q := rd.state.queues[r.Queue]
	if q == nil {
		q = &reservedQueue{waited: map[StepKey]time.Duration{}, seen: map[StepKey]bool{}, resting: map[target]time.Duration{}}
		rd.state.queues[r.Queue] = q
	}
	q.service, q.seen[r.Key] = r.Service, true
	if _, known := q.waited[r.Key]; !known {
		q.waited[r.Key] = 0
	}
	if _, made := rd.made[r.Queue]; made {
		return
	}
	q.key = r.Key
	best, ok := rd.findRoom(r, q, avoid)
	if !ok {
		return
	}
	if !q.reserved || best.target != q.target {
		if q.reserved {
			rd.out.Outcomes = append(rd.out.Outcomes, QueueOutcome{r.Queue, OutcomeDropped})
		}
		rd.out.Outcomes = append(rd.out.Outcomes, QueueOutcome{r.Queue, OutcomeMade})
		q.reserved, q.target, q.age, q.until = true, best.target, 0, best.in
		q.limit = min((ageFactor*min(best.in, maxAge)+minAge)<<q.expirations, maxAge)
	}
	q.priority, q.workers = r.Priority, q.workers[:0]
	for _, i := range best.workers {
		q.workers = append(q.workers, rd.workers[i].Key)
	}
	q.until = min(q.until, best.in)
	extraAt := best.in
	if q.until == 0 { // the ends are late, so that only what is free now counts
		extraAt = 0
	}
	for n, i := range best.workers {
		w := &rd.workers[i]
		needs := Needs(r.Step).times(best.counts[n])
		w.hold = &hold{key: r.Key, needs: needs, extra: rd.freeAt(i, extraAt).Sub(needs), until: q.until}
		rd.reserved[r.Service] = rd.reserved[r.Service].Add(needs)
	}
	rd.made[r.Queue] = len(rd.out.Reservations)
	rd.out.Reservations = append(rd.out.Reservations, Reservation{Queue: r.Queue, Key: r.Key, Workers: best.workers, In: best.in, Age: q.age, Waited: q.waited[r.Key]})
}

// finish drops the reservations that were not made again and fills in what is held.
func (rd *round) finish() {
	for queue, q := range rd.state.queues {
		if _, made := rd.made[queue]; !made && q.reserved {
			q.reserved = false
			rd.out.Outcomes = append(rd.out.Outcomes, QueueOutcome{queue, OutcomeDropped})
		}
		if len(q.seen) == 0 {
			delete(rd.state.queues, queue)
		}
	}
	reservations := rd.out.Reservations[:0]
	for _, x := range rd.out.Reservations {
		for _, i := range x.Workers {
			x.Idle = x.Idle.Add(rd.workers[i].heldIdle())
		}
		if len(x.Workers) > 0 {
			reservations = append(reservations, x)
		}
	}
	rd.out.Reservations = reservations
	sortOutcomes(rd.out.Outcomes)
}

// sortOutcomes makes the order of outcomes independent of that of maps.
func sortOutcomes(outcomes []QueueOutcome) {
	slices.SortStableFunc(outcomes, func(a, b QueueOutcome) int { return strings.Compare(a.Queue, b.Queue) })
}

// times returns r n times.
func (r Resources) times(n int) Resources {
	return Resources{r.CPUMilli * int64(n), r.MemoryMB * int64(n), r.GPUs * int64(n)}
}

// packs reports whether tasks of the request are packed: small tasks with reserved CPU that serve no
// requests, while a large request of the same or a higher priority waits and is not deferred. Serving and best-effort
// tasks are placed by interference.
func (rd *round) packs(r *Request) bool {
	if r.Step.TargetLatencyMs > 0 || r.Step.Fills || isLarge(r, rd.largest) {
		return false
	}
	priority, waits := rd.packed[r.Service]
	return waits && r.Priority >= priority || rd.holding(r.Service)
}
