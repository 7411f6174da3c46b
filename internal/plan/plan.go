package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/interference"
)

// Plan is the result of one planning round.
type Plan struct {
	Grants   []Grant
	Unplaced []Unplaced
	// Reservations is the room kept for large requests, Outcomes what changed in it.
	Reservations []Reservation
	Outcomes     []QueueOutcome
}

// Place assigns waiting tasks to workers in the order of priority and urgency, isolated tasks
// before all others. It sorts requests and adds each granted task to the worker's use, so that
// no worker is granted more than its capacity. Without a model (nil), no interference is
// assumed. It knows no earlier reservations; see Lookahead.Place.
func Place(workers []Worker, requests []Request, model InterferenceModel) Plan {
	return new(Lookahead).Place(workers, requests, model, 0)
}

// Place is like the function Place, and keeps the reservations of large requests over rounds.
// elapsed is the time since the previous round.
func (l *Lookahead) Place(workers []Worker, requests []Request, model InterferenceModel, elapsed time.Duration) Plan {
	SortRequests(requests)
	var out Plan
	for i := range workers {
		workers[i].model, workers[i].hold = model, nil
	}

	for _, r := range isolatedRequests(requests) { // first, since others would keep all workers starting tasks
		placeIsolated(workers, r, &out)
	}
	rd := l.newRound(workers, requests, &out, elapsed)
	for i := range requests {
		r := &requests[i]
		if rd != nil && (i == 0 || r.Priority != requests[i-1].Priority) {
			rd.beginPriority(i)
		}
		if r.Isolated {
			continue
		}
		avoid, granted, pack := r.Avoid, len(out.Grants), false
		if rd != nil {
			rd.release(r)
			pack = rd.packs(r)
		}
		if r.Step.Gang {
			placeGang(workers, r, &out)
		} else {
			placeTasks(workers, r, pack, &out)
		}
		if rd != nil {
			rd.placed(r, len(out.Grants)-granted, avoid)
		}
	}
	if rd != nil {
		rd.finish()
	}
	return out
}

// SortRequests sorts requests into the order in which Place handles them: by priority,
// class, rank and then key.
func SortRequests(requests []Request) {
	slices.SortStableFunc(requests, func(a, b Request) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Rank, b.Rank),
			strings.Compare(a.Key.Job, b.Key.Job), cmp.Compare(a.Key.Occurrence, b.Key.Occurrence), cmp.Compare(a.Key.Step, b.Key.Step),
		)
	})
}

func placeTasks(workers []Worker, r *Request, pack bool, out *Plan) {
	c := newCandidates(workers, r, "")
	c.pack = pack
	for n, index := range r.Indexes {
		if !r.Runs.allows(1) {
			out.Unplaced = append(out.Unplaced, Unplaced{Key: r.Key, Count: len(r.Indexes) - n, Reason: ReasonRunLimit})
			return
		}
		best := c.choose()
		if best < 0 {
			out.Unplaced = append(out.Unplaced, Unplaced{Key: r.Key, Count: len(r.Indexes) - n, Reason: ReasonNoRoom})
			return
		}
		c.assign(best)
		r.Runs.use(1)
		out.Grants = append(out.Grants, Grant{Key: r.Key, Index: index, Worker: best})
	}
}

// placeGang places all tasks of a step or none. If the step asks for one rack and no rack
// has room for the gang, the tasks are spread over racks. Workers to avoid are accepted if
// there is no room without them.
func placeGang(workers []Worker, r *Request, out *Plan) {
	if !r.Runs.allows(len(r.Indexes)) {
		out.Unplaced = append(out.Unplaced, Unplaced{Key: r.Key, Count: len(r.Indexes), Reason: ReasonRunLimit})
		return
	}
	placed := tryPlaceGangOnRacks(workers, r, out)
	if !placed && len(r.Avoid) > 0 && !r.StrictAvoid {
		r.Avoid = nil
		placed = tryPlaceGangOnRacks(workers, r, out)
	}
	if !placed {
		out.Unplaced = append(out.Unplaced, Unplaced{Key: r.Key, Count: len(r.Indexes), Reason: ReasonNoRoom})
	}
}

func tryPlaceGangOnRacks(workers []Worker, r *Request, out *Plan) bool {
	if r.Step.SameRack {
		for _, rack := range racksByFreeCPU(workers, r) {
			if tryPlaceGang(workers, r, rack, out) {
				return true
			}
		}
	}
	return tryPlaceGang(workers, r, "", out)
}

func tryPlaceGang(workers []Worker, r *Request, rack string, out *Plan) bool {
	if !mayFitGang(workers, r, rack) { // saves the copy of the workers
		return false
	}
	trial := slices.Clone(workers)
	for i := range trial {
		trial[i].RunsPerStep = maps.Clone(trial[i].RunsPerStep)
		trial[i].ServingByImage = maps.Clone(trial[i].ServingByImage)
		trial[i].BestEffortShares = maps.Clone(trial[i].BestEffortShares)
		if trial[i].hold != nil {
			trial[i].hold = new(*trial[i].hold)
		}
	}
	c := newCandidates(trial, r, rack)
	grants := make([]Grant, 0, len(r.Indexes))
	for _, index := range r.Indexes {
		best := c.best()
		if best < 0 {
			return false
		}
		c.assign(best)
		grants = append(grants, Grant{Key: r.Key, Index: index, Worker: best})
	}
	copy(workers, trial)
	r.Runs.use(len(r.Indexes))
	out.Grants = append(out.Grants, grants...)
	return true
}

// mayFitGang reports whether the resources that are free suffice for the gang.
func mayFitGang(workers []Worker, r *Request, rack string) bool {
	left := len(r.Indexes)
	for i := range workers {
		if w := &workers[i]; (rack == "" || w.Rack == rack) && w.admits(r) {
			left -= w.countWithin(r, w.Capacity.Sub(w.Used))
		}
		if left <= 0 {
			return true
		}
	}
	return false
}

// racksByFreeCPU returns the racks of the service, most free CPU first.
func racksByFreeCPU(workers []Worker, r *Request) []string {
	free := map[string]int64{}
	for i := range workers {
		if workers[i].Service == r.Service {
			free[workers[i].Rack] += workers[i].Capacity.CPUMilli - workers[i].Used.CPUMilli
		}
	}
	out := make([]string, 0, len(free))
	for rack := range free {
		out = append(out, rack)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(free[b], free[a]), strings.Compare(a, b)) })
	return out
}

// shouldMixImages reports whether a serving task may share a worker with other serving
// images rather than take an empty worker. It may if there are few workers for each image,
// since one image a worker would leave no worker empty, or if many workers serve and still
// have room. Otherwise each worker serves one image, so that fewer best-effort images are
// harmful there.
func shouldMixImages(workers []Worker, r *Request) bool {
	total, partlyUsed := 0, 0
	images := map[string]bool{r.Step.Image: true}
	for i := range workers {
		if workers[i].Service != r.Service {
			continue
		}
		total++
		if len(workers[i].ServingByImage) > 0 && workers[i].admits(r) {
			partlyUsed++
		}
		for image := range workers[i].ServingByImage {
			images[image] = true
		}
	}
	return len(images)*minWorkersPerImage > total || partlyUsed*partlyUsedDivisor >= total
}

const (
	// minWorkersPerImage is the least number of workers for each serving image at which images
	// get workers of their own. In trials with simulated days, mixing gained 0.06 of the value
	// of a day's work at 2 workers an image and cost 0.02 at 8.
	minWorkersPerImage = 6
	// partlyUsedDivisor is a threshold: images are mixed if at least one in this many workers
	// of the service serves and has room for another task of the request.
	partlyUsedDivisor = 4
)

// admits reports whether a task of the request may run on the worker and has room there now.
func (w *Worker) admits(r *Request) bool {
	return (!w.AtStartLimit() || r.Step.Gang) && !r.Avoid[w.Key.ID] && Needs(r.Step).Fits(w.Capacity.Sub(w.Used)) &&
		(w.hold == nil || w.hold.allows(r)) && w.suits(r)
}

// suits reports whether a task of the request may run on the worker once it has room and is
// not to be avoided.
func (w *Worker) suits(r *Request) bool { return !w.Isolated && w.permits(r) }

// permits is suits, also while an isolated task runs on the worker.
func (w *Worker) permits(r *Request) bool {
	switch {
	case w.Service != r.Service,
		r.Step.RequiredLabel != "" && !slices.Contains(w.Labels, r.Step.RequiredLabel),
		r.Allowed != nil && !r.Allowed[w.Key.ID],
		r.Step.MaxPerWorker > 0 && w.RunsPerStep[r.Key] >= int(r.Step.MaxPerWorker):
		return false
	case r.Step.Fills:
		return r.Starved || w.BestEffortCPUMilli+int64(r.Step.CpuMilli) <= w.BestEffortLimitMilli && w.headroomAfter(r.Step) >= minHeadroom
	}
	return true
}

// AtStartLimit reports whether a task that is not part of a gang must wait until those that the
// worker is starting run.
func (w *Worker) AtStartLimit() bool { return w.MaxStarting > 0 && w.Starting >= w.MaxStarting }

// assign adds one task of the request to the worker's use.
func (w *Worker) assign(r *Request) {
	w.Starting++
	w.Used = w.Used.Add(Needs(r.Step))
	if w.hold != nil && r.Key != w.hold.key && !w.hold.endsInTime(r) {
		w.hold.extra = w.hold.extra.Sub(Needs(r.Step))
	}
	if r.Step.Fills {
		w.BestEffortCPUMilli += int64(r.Step.CpuMilli)
		w.BestEffortShares = addToMap(w.BestEffortShares, r.Step.Image, w.cpuShare(r.Step))
	}
	if r.Step.TargetLatencyMs > 0 {
		w.ServingCPUMilli += int64(r.Step.CpuMilli)
		w.ServingTasks++
		w.addServingTask(r.Step.Image)
	}
	if r.Step.MaxPerWorker > 0 {
		if w.RunsPerStep == nil {
			w.RunsPerStep = map[StepKey]int{}
		}
		w.RunsPerStep[r.Key]++
	}
}

// colocationScore ranks a worker by the tasks on it; the highest is preferred. Best-effort
// tasks of some images slow down serving tasks of some others. Serving tasks are therefore
// packed on few workers, tasks with reserved CPU go beside them, and best-effort tasks go
// where they cost the least headroom.
func (w *Worker) colocationScore(s *chervilv2.Step) int64 {
	switch {
	case s.Fills:
		return -int64(w.maxHeadroomLoss(s) * headroomLossSteps)
	case s.TargetLatencyMs > 0:
		return w.servingColocationScore(s.Image)
	default:
		return int64(min(w.ServingTasks, 1))
	}
}

const (
	// minHeadroom is the headroom that serving tasks must keep when a best-effort task is
	// added. It is above 1 because their load may rise while the task runs.
	minHeadroom = 1.7
	// initialHeadroom is assumed for a serving task that has just been placed.
	initialHeadroom = 2.0
	// headroomLossSteps is the resolution of headroom in scores: a loss of 1 is this many
	// steps.
	headroomLossSteps = 10
	// newlyHarmfulSteps is the resolution of the fraction of the best-effort images that
	// become harmful; up to similarFraction, two serving images count as similar.
	newlyHarmfulSteps = 100
	similarFraction   = 0.1
	// sameImageScore, similarImageScore and emptyWorkerScore are the base scores of workers
	// that serve the same image, that serve images slowed down by the same best-effort
	// images, and that are empty while images are mixed. They lie further apart than the
	// losses that are subtracted from them.
	sameImageScore, similarImageScore, emptyWorkerScore = 1000, 300, -1000
)

// servingColocationScore prefers workers that already serve the image, since no further
// best-effort images become harmful there, and then workers that serve similar images.
// Without mixing, empty workers come before those that serve other images, which are ranked
// by newlyHarmful. With mixing, empty workers come last, so that best-effort tasks can run
// there at full pace.
func (w *Worker) servingColocationScore(image string) int64 {
	if w.ServingByImage[image].Tasks > 0 {
		return sameImageScore - w.currentLoss(image)
	}
	if len(w.ServingByImage) == 0 {
		if w.mixImages {
			return emptyWorkerScore
		}
		return 0
	}
	newlyHarmful := w.newlyHarmful(image)
	if !w.mixImages && newlyHarmful > similarFraction*newlyHarmfulSteps {
		return -newlyHarmful
	}
	return similarImageScore - newlyHarmful - w.currentLoss(image)
}

// newlyHarmful returns the fraction of the best-effort images that become harmful on the
// worker if it also serves the image, in newlyHarmfulSteps. It assumes all if none is known.
func (w *Worker) newlyHarmful(image string) int64 {
	if w.model == nil || w.model.BestEffortImageCount() == 0 {
		return newlyHarmfulSteps
	}
	var current interference.ImageSet
	for serving := range w.ServingByImage {
		current |= w.model.HarmfulImages(serving)
	}
	added := w.model.HarmfulImages(image) &^ current
	return int64(added.Count() * newlyHarmfulSteps / w.model.BestEffortImageCount())
}

// currentLoss returns the headroom that a serving task of the image would lose to the
// best-effort tasks on the worker, in headroomLossSteps.
func (w *Worker) currentLoss(image string) int64 {
	if w.model == nil {
		return 0
	}
	return int64(w.model.HeadroomLoss(image, w.BestEffortShares) * headroomLossSteps)
}

// addServingTask counts a new serving task of the image.
func (w *Worker) addServingTask(image string) {
	if w.ServingByImage == nil {
		w.ServingByImage = map[string]ServingGroup{}
	}
	served, ok := w.ServingByImage[image]
	if !ok {
		served.Headroom = initialHeadroom
	}
	served.Tasks++
	w.ServingByImage[image] = served
}

// headroomAfter returns the lowest headroom that a serving task on the worker keeps once a
// best-effort task of the step is added, or +Inf if the step slows none of them down.
func (w *Worker) headroomAfter(s *chervilv2.Step) float64 {
	least := math.Inf(1)
	if w.model == nil {
		return least
	}
	for serving, served := range w.ServingByImage {
		added := w.model.HeadroomLoss(serving, map[string]float64{s.Image: w.cpuShare(s)})
		if added < negligibleLoss {
			continue
		}
		least = min(least, served.Headroom-w.model.HeadroomLoss(serving, w.BestEffortShares)-added)
	}
	return least
}

// negligibleLoss is the loss of headroom below which a task's effect is lost in noise.
const negligibleLoss = 0.1

// maxHeadroomLoss returns the most headroom that a serving task on the worker would lose to
// a best-effort task of the step.
func (w *Worker) maxHeadroomLoss(s *chervilv2.Step) float64 {
	most := 0.0
	if w.model == nil {
		return 0
	}
	for serving := range w.ServingByImage {
		most = max(most, w.model.HeadroomLoss(serving, map[string]float64{s.Image: w.cpuShare(s)}))
	}
	return most
}

// cpuShare returns the fraction of the worker's CPU that a task of the step asks for.
func (w *Worker) cpuShare(s *chervilv2.Step) float64 {
	return float64(s.CpuMilli) / float64(max(w.Capacity.CPUMilli, 1))
}

func addToMap[V int | float64](m map[string]V, key string, by V) map[string]V {
	if m == nil {
		m = map[string]V{}
	}
	m[key] += by
	return m
}

// freeCPUMilli returns the CPU left for tasks of the step's kind. For tasks with reserved
// CPU, half of what best-effort tasks ask for counts as used.
func (w *Worker) freeCPUMilli(s *chervilv2.Step) int64 {
	if s.Fills {
		return w.BestEffortLimitMilli - w.BestEffortCPUMilli
	}
	return w.Capacity.CPUMilli - w.Used.CPUMilli - w.BestEffortCPUMilli/2
}
