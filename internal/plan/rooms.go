package plan

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// room is workers on which a request would fit, and when.
type room struct {
	target  target
	in      time.Duration
	workers []int
	counts  []int // tasks by worker
	// unsound is set if a worker is slow or to be avoided.
	unsound bool
}

// findRoom returns where the request fits first. It keeps the queue's target as long as that may
// have room, since room that was kept there would be lost otherwise.
func (rd *round) findRoom(r *Request, q *reservedQueue, avoid map[string]bool) (room, bool) {
	var best room
	found := false
	if rd.defers(r, q) || q.quiet > maxQuiet || rd.exceedsBound(r) || rd.searches[r.Queue] >= maxSearches {
		return best, false
	}
	rd.searches[r.Queue]++
	for _, candidate := range rd.rooms(r, avoid) {
		if q.resting[candidate.target] > 0 {
			continue
		}
		if q.reserved && candidate.target == q.target {
			return candidate, true
		}
		if !found || rd.compareRooms(r, candidate, best) < 0 {
			best, found = candidate, true
		}
	}
	return best, found
}

// defers reports whether no room is made for a long-running task yet, neither by a reservation nor
// by packing: it would keep the room permanently, at the expense of short tasks.
func (rd *round) defers(r *Request, q *reservedQueue) bool {
	return r.Step.LongRunning && q.waited[r.Key] < longRunningWait && !rd.leavesRoomForShort(r)
}

// leavesRoomForShort reports whether the free CPU of the service suffices for a long-running task
// beside the tasks that end. It takes its room permanently, so that where capacity is short a reservation
// displaces short tasks for ever.
func (rd *round) leavesRoomForShort(r *Request) bool {
	needs := longRunningNeeds{r.Service, r.Priority, Needs(r.Step).CPUMilli}
	if rd.crowded[needs] {
		return false
	}
	var free, short int64
	for i := range rd.workers {
		if w := &rd.workers[i]; w.Service == r.Service {
			free += w.Capacity.CPUMilli - w.Used.CPUMilli
			for _, end := range w.Ends {
				short += end.Frees.CPUMilli
			}
		}
	}
	for i := range rd.requests {
		if x := &rd.requests[i]; x.Service == r.Service && !x.Step.LongRunning && x.Priority <= r.Priority {
			free -= Needs(x.Step).CPUMilli * int64(len(x.Indexes))
		}
	}
	rd.crowded[needs] = free < needs.cpuMilli+short/shortDivisor
	return !rd.crowded[needs]
}

// longRunningNeeds is what leavesRoomForShort depends on besides the workers.
type longRunningNeeds struct {
	service  string
	priority int
	cpuMilli int64
}

// compareRooms orders rooms: sound workers first, then by time, by the room that would be held idle
// and by name.
func (rd *round) compareRooms(r *Request, a, b room) int {
	unsound := func(x room) int {
		if x.unsound {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(unsound(a), unsound(b)), cmp.Compare(a.in, b.in),
		cmp.Compare(rd.idleOf(r, a).CPUMilli, rd.idleOf(r, b).CPUMilli),
		strings.Compare(a.target.rack, b.target.rack), strings.Compare(a.target.worker.Node, b.target.worker.Node),
	)
}

// idleOf returns the free room that a reservation would hold.
func (rd *round) idleOf(r *Request, x room) Resources {
	var sum Resources
	for n, i := range x.workers {
		sum = sum.Add(idlePart(Needs(r.Step).times(x.counts[n]), rd.workers[i].Capacity.Sub(rd.workers[i].Used)))
	}
	return sum
}

// halfUsed reports whether at least half of any resource of the service is in use.
func (rd *round) halfUsed(service string) bool {
	used, total := rd.used[service].times(2), rd.total[service]
	half := func(used, total int64) bool { return total > 0 && used >= total }
	return half(used.CPUMilli, total.CPUMilli) || half(used.MemoryMB, total.MemoryMB) || half(used.GPUs, total.GPUs)
}

// exceedsBound reports whether no reservation for the request can be within the bound.
func (rd *round) exceedsBound(r *Request) bool {
	tasks := 1
	if r.Step.Gang {
		tasks = len(r.Indexes)
	}
	return !rd.withinBound(r, tasks)
}

// withinBound reports whether a reservation for that many tasks of the request keeps what is
// reserved in the service within its bound.
func (rd *round) withinBound(r *Request, tasks int) bool {
	reserved, total, largest := rd.reserved[r.Service], rd.total[r.Service], rd.largest[r.Service]
	needs := Needs(r.Step).times(tasks)
	bound := Resources{
		max(total.CPUMilli/reservedDivisor, largest.CPUMilli), max(total.MemoryMB/reservedDivisor, largest.MemoryMB), max(total.GPUs/reservedDivisor, largest.GPUs),
	}
	return reserved.Add(needs).Fits(bound) ||
		tasks > 1 && reserved == Resources{} && needs.Fits(Resources{total.CPUMilli / gangDivisor, total.MemoryMB / gangDivisor, total.GPUs / gangDivisor})
}

// rooms returns the workers, racks or sets of workers that will have room for the request.
func (rd *round) rooms(r *Request, avoid map[string]bool) []room {
	var suited []int
	for i := range rd.workers {
		w := &rd.workers[i]
		if w.hold == nil && !rd.rests(w, r) && w.suits(r) && Needs(r.Step).Fits(w.Capacity) && !(r.StrictAvoid && avoid[w.Key.ID]) {
			suited = append(suited, i)
		}
	}
	if r.Step.Gang && len(r.Indexes) > 1 {
		return rd.gangRooms(r, suited, avoid)
	}
	var out []room
	for _, i := range suited {
		if in, ok := rd.firstFit(i, Needs(r.Step)); ok {
			w := &rd.workers[i]
			out = append(out, room{target: target{worker: w.Key}, in: in, workers: []int{i}, counts: []int{1}, unsound: w.Suspicion > 0 || avoid[w.Key.ID]})
		}
	}
	return out
}

// rests reports whether the worker may not be reserved for the request because an earlier
// reservation on it has expired.
func (rd *round) rests(w *Worker, r *Request) bool {
	priority, rests := rd.restingFrom[w.Key]
	return rests && priority <= r.Priority
}

// gangRooms returns the rooms of a gang: one for each rack if it asks for one rack and any will
// have room, otherwise one of all workers.
func (rd *round) gangRooms(r *Request, suited []int, avoid map[string]bool) []room {
	var out []room
	if r.Step.SameRack {
		racks := map[string][]int{}
		for _, i := range suited {
			racks[rd.workers[i].Rack] = append(racks[rd.workers[i].Rack], i)
		}
		for rack, workers := range racks {
			if x, ok := rd.gangRoom(r, workers, avoid); ok {
				x.target.rack = rack
				out = append(out, x)
			}
		}
	}
	if len(out) == 0 {
		if x, ok := rd.gangRoom(r, suited, avoid); ok {
			out = append(out, x)
		}
	}
	return out
}

// gangRoom returns when all tasks of a gang fit on the workers at once, and where.
func (rd *round) gangRoom(r *Request, workers []int, avoid map[string]bool) (room, bool) {
	times := []time.Duration{0}
	for _, i := range workers {
		for _, end := range rd.workers[i].Ends {
			times = append(times, end.In)
		}
	}
	slices.Sort(times)
	times = slices.Compact(times)
	fits := func(t time.Duration) bool {
		left := len(r.Indexes)
		for _, i := range workers {
			left -= rd.countAt(r, i, t)
		}
		return left <= 0
	}
	at, _ := slices.BinarySearchFunc(times, true, func(t time.Duration, _ bool) int {
		if fits(t) {
			return 0
		}
		return -1
	})
	if at == len(times) {
		return room{}, false
	}
	out := room{in: times[at]}
	order := slices.Clone(workers) // workers that have the most room now need the fewest ends
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(rd.countAt(r, j, 0), rd.countAt(r, i, 0)) })
	left := len(r.Indexes)
	for _, i := range order {
		if n := min(left, rd.countAt(r, i, out.in)); n > 0 {
			out.workers, out.counts = append(out.workers, i), append(out.counts, n)
			out.unsound = out.unsound || rd.workers[i].Suspicion > 0 || avoid[rd.workers[i].Key.ID]
			left -= n
		}
	}
	return out, true
}

// countAt returns how many tasks of the request the worker has room for at a time, at most all.
func (rd *round) countAt(r *Request, i int, t time.Duration) int {
	return rd.workers[i].countWithin(r, rd.freeAt(i, t))
}

// countWithin returns how many tasks of the request fit in the free room, at most all.
func (w *Worker) countWithin(r *Request, free Resources) int {
	needs, n := Needs(r.Step), int64(len(r.Indexes))
	if r.Step.MaxPerWorker > 0 {
		n = min(n, int64(r.Step.MaxPerWorker)-int64(w.RunsPerStep[r.Key]))
	}
	for _, x := range [...][2]int64{{needs.CPUMilli, free.CPUMilli}, {needs.MemoryMB, free.MemoryMB}, {needs.GPUs, free.GPUs}} {
		if x[0] > 0 {
			n = min(n, x[1]/x[0])
		}
	}
	return int(max(0, n))
}

// sortEnds sorts the ends of worker i, once per round.
func (rd *round) sortEnds(i int) []End {
	ends := rd.workers[i].Ends
	if !rd.sorted[i] {
		slices.SortFunc(ends, func(a, b End) int { return cmp.Compare(a.In, b.In) })
		rd.sorted[i] = true
	}
	return ends
}

// firstFit returns when worker i has room for needs, if it ever will.
func (rd *round) firstFit(i int, needs Resources) (time.Duration, bool) {
	free := rd.workers[i].Capacity.Sub(rd.workers[i].Used)
	if needs.Fits(free) {
		return 0, true
	}
	for _, end := range rd.sortEnds(i) {
		if free = free.Add(end.Frees); needs.Fits(free) {
			return max(0, end.In), true
		}
	}
	return 0, false
}

// freeAt returns what is free on worker i at a time, by the forecast.
func (rd *round) freeAt(i int, t time.Duration) Resources {
	free := rd.workers[i].Capacity.Sub(rd.workers[i].Used)
	for _, end := range rd.sortEnds(i) {
		if end.In > t {
			break
		}
		free = free.Add(end.Frees)
	}
	return free
}
