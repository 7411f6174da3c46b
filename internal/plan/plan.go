package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/interference"
)

// Plan is the outcome of a round.
type Plan struct {
	Grants   []Grant
	Unplaced []Unplaced
}

// Make places waiting tasks in the order of priority and urgency. It changes the
// workers' use as it goes, so that no worker is granted beyond its capacity.
func Make(workers []Worker, requests []Request, known Interference) Plan {
	Sort(requests)
	var out Plan
	for i := range workers {
		workers[i].known = known
	}

	for i := range requests {
		r := &requests[i]
		if r.Step.Gang {
			placeGang(workers, r, &out)
			continue
		}
		placeTasks(workers, r, &out)
	}
	return out
}

// Sort orders requests as they are placed.
func Sort(requests []Request) {
	slices.SortStableFunc(requests, func(a, b Request) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Slack, b.Slack),
			strings.Compare(a.Key.Job, b.Key.Job), cmp.Compare(a.Key.Occurrence, b.Key.Occurrence), cmp.Compare(a.Key.Step, b.Key.Step),
		)
	})
}

func placeTasks(workers []Worker, r *Request, out *Plan) {
	for n, index := range r.Indexes {
		best := choose(workers, r)
		if best < 0 {
			out.Unplaced = append(out.Unplaced, Unplaced{Key: r.Key, Count: len(r.Indexes) - n, Reason: NoRoom})
			return
		}
		workers[best].take(r)
		out.Grants = append(out.Grants, Grant{Key: r.Key, Index: index, Worker: best})
	}
}

// placeGang places all tasks of a step or none, on one rack if the step asks for that
// and a rack has room.
func placeGang(workers []Worker, r *Request, out *Plan) {
	if r.Step.SameRack {
		for _, rack := range racks(workers, r) {
			if tryGang(workers, r, rack, out) {
				return
			}
		}
	}
	if !tryGang(workers, r, "", out) {
		out.Unplaced = append(out.Unplaced, Unplaced{Key: r.Key, Count: len(r.Indexes), Reason: NoRoom})
	}
}

func tryGang(workers []Worker, r *Request, rack string, out *Plan) bool {
	trial := slices.Clone(workers)
	for i := range trial {
		trial[i].PerStep = maps.Clone(trial[i].PerStep)
		trial[i].Serves = maps.Clone(trial[i].Serves)
		trial[i].FillShares = maps.Clone(trial[i].FillShares)
	}
	grants := make([]Grant, 0, len(r.Indexes))
	for _, index := range r.Indexes {
		best := -1
		for i := range trial {
			if (rack == "" || trial[i].Rack == rack) && trial[i].admits(r) && (best < 0 || trial[i].better(&trial[best], r.Step)) {
				best = i
			}
		}
		if best < 0 {
			return false
		}
		trial[best].take(r)
		grants = append(grants, Grant{Key: r.Key, Index: index, Worker: best})
	}
	copy(workers, trial)
	out.Grants = append(out.Grants, grants...)
	return true
}

// racks returns the racks by falling room.
func racks(workers []Worker, r *Request) []string {
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

func choose(workers []Worker, r *Request) int {
	best := -1
	if r.Step.TargetLatencyMs > 0 {
		mix := mixImages(workers, r)
		for i := range workers {
			workers[i].mix = mix
		}
	}
	for i := range workers {
		if workers[i].admits(r) && (best < 0 || workers[i].better(&workers[best], r.Step)) {
			best = i
		}
	}
	if best >= 0 || len(r.Avoid) == 0 || r.Strict {
		return best
	}
	// Nothing else has room: a worker on which the task failed before is better than
	// none.
	r.Avoid = nil
	return choose(workers, r)
}

// mixImages reports whether serving tasks go beside those of other images rather than on
// an empty worker. Where there are many workers for each image, a worker serves one image
// and disturbs few filling tasks, unless a good part of them has room left so. Where there
// are few, that would leave none empty.
func mixImages(workers []Worker, r *Request) bool {
	all, partly := 0, 0
	images := map[string]bool{r.Step.Image: true}
	for i := range workers {
		if workers[i].Service != r.Service {
			continue
		}
		all++
		if len(workers[i].Serves) > 0 && workers[i].admits(r) {
			partly++
		}
		for image := range workers[i].Serves {
			images[image] = true
		}
	}
	return len(images)*workersPerImage > all || partly*mixParts >= all
}

const (
	// workersPerImage is how many workers there must be for each serving image for each to
	// get workers of its own. Tried: at 2 workers an image mixing gains 0.06 of a day's
	// worth, at 8 it costs 0.02.
	workersPerImage = 6
	// mixParts is the part of the workers, one in so many, that may serve with room left
	// before images are mixed.
	mixParts = 4
)

// admits reports whether the worker may and can take a task of the request.
func (w *Worker) admits(r *Request) bool {
	switch {
	case w.Service != r.Service,
		r.Step.RequiredLabel != "" && !slices.Contains(w.Labels, r.Step.RequiredLabel),
		r.Allowed != nil && !r.Allowed[w.Key.ID],
		r.Avoid[w.Key.ID],
		r.Step.MaxPerWorker > 0 && w.PerStep[r.Key] >= int(r.Step.MaxPerWorker),
		!Needs(r.Step).Fits(w.Capacity.Sub(w.Used)):
		return false
	case r.Step.Fills:
		return r.Pressed || w.FillMilli+int64(r.Step.CpuMilli) <= w.FillLimitMilli && w.headroom(r.Step) >= leastHeadroom
	}
	return true
}

func (w *Worker) take(r *Request) {
	w.Used = w.Used.Add(Needs(r.Step))
	if r.Step.Fills {
		w.FillMilli += int64(r.Step.CpuMilli)
		w.FillShares = addTo(w.FillShares, r.Step.Image, w.share(r.Step))
	}
	if r.Step.TargetLatencyMs > 0 {
		w.ServingMilli += int64(r.Step.CpuMilli)
		w.Serving++
		w.serve(r.Step.Image)
	}
	if r.Step.MaxPerWorker > 0 {
		if w.PerStep == nil {
			w.PerStep = map[StepKey]int{}
		}
		w.PerStep[r.Key]++
	}
}

// better reports whether w is preferred to o for a task of the step: sound workers
// first, then the data's rack, then by what runs there, then by room.
func (w *Worker) better(o *Worker, s *chervilv2.Step) bool {
	if w.Doubt != o.Doubt {
		return w.Doubt < o.Doubt
	}
	if s.DataRack != "" && (w.Rack == s.DataRack) != (o.Rack == s.DataRack) {
		return w.Rack == s.DataRack
	}
	if a, b := w.company(s), o.company(s); a != b {
		return a > b
	}
	if a, b := w.room(s), o.room(s); a != b {
		return a > b
	}
	return w.Key.Node < o.Key.Node
}

// company ranks a worker by its neighbours. It answers for many filling tasks beside
// serving ones: filling tasks of some images disturb serving ones of some others, so
// serving tasks are packed on few workers, tasks with processors of their own go beside
// them, and filling tasks go where they disturb least.
func (w *Worker) company(s *chervilv2.Step) int64 {
	switch {
	case s.Fills:
		return -int64(w.takes(s) * takenSteps)
	case s.TargetLatencyMs > 0:
		return w.servingCompany(s.Image)
	default:
		return int64(min(w.Serving, 1))
	}
}

const (
	// leastHeadroom is the headroom that serving tasks must keep when a filling task
	// joins; the load may take some of it while the task runs.
	leastHeadroom = 1.7
	// unknownHeadroom is assumed of a serving task that has just been placed.
	unknownHeadroom = 2.0
	// takenSteps is in how many steps a headroom of 1 is told apart.
	takenSteps = 10
	// lostSteps is in how many steps the part of the filling images that become harmful is
	// told apart; nearlySame is the part up to which two images count as alike.
	lostSteps  = 100
	nearlySame = 0.1
	// sameImage, alike and lastResort rank workers that serve the same image, one that is
	// disturbed by the same filling images, and empty ones where images are mixed; they lie
	// further apart than what is lost and taken.
	sameImage, alike, lastResort = 1000, 300, -1000
)

// servingCompany prefers workers that serve the same image already: no more filling images
// become harmful there. After these come empty workers, on which any filling task works at
// its full pace, and those that serve other images, by what is lost; the other way round
// once many workers have room beside other images.
func (w *Worker) servingCompany(image string) int64 {
	if w.Serves[image].Tasks > 0 {
		return sameImage - w.disturbed(image)
	}
	if len(w.Serves) == 0 {
		if w.mix {
			return lastResort
		}
		return 0
	}
	lost := w.lost(image)
	if !w.mix && lost > nearlySame*lostSteps {
		return -lost
	}
	return alike - lost - w.disturbed(image)
}

// lost is the part of the filling images, in steps, that become harmful on the worker if
// it serves the image too.
func (w *Worker) lost(image string) int64 {
	if w.known == nil || w.known.Filling() == 0 {
		return lostSteps
	}
	var now interference.Images
	for serving := range w.Serves {
		now |= w.known.Harmful(serving)
	}
	more := w.known.Harmful(image) &^ now
	return int64(more.Count() * lostSteps / w.known.Filling())
}

// disturbed is how much the filling tasks that work here take of the image, in steps.
func (w *Worker) disturbed(image string) int64 {
	if w.known == nil {
		return 0
	}
	return int64(w.known.Taken(image, w.FillShares) * takenSteps)
}

func (w *Worker) serve(image string) {
	if w.Serves == nil {
		w.Serves = map[string]Served{}
	}
	served, ok := w.Serves[image]
	if !ok {
		served.Headroom = unknownHeadroom
	}
	served.Tasks++
	w.Serves[image] = served
}

// headroom is the least headroom that a serving task here keeps if a filling task of the
// step joins; without serving tasks it has no bound.
func (w *Worker) headroom(s *chervilv2.Step) float64 {
	least := math.Inf(1)
	if w.known == nil {
		return least
	}
	for serving, served := range w.Serves {
		joining := w.known.Taken(serving, map[string]float64{s.Image: w.share(s)})
		if joining < harmless {
			continue
		}
		least = min(least, served.Headroom-w.known.Taken(serving, w.FillShares)-joining)
	}
	return least
}

// harmless is the headroom that a task may take without being told apart from noise.
const harmless = 0.1

// takes is the most headroom that a filling task of the step takes of a serving task.
func (w *Worker) takes(s *chervilv2.Step) float64 {
	most := 0.0
	if w.known == nil {
		return 0
	}
	for serving := range w.Serves {
		most = max(most, w.known.Taken(serving, map[string]float64{s.Image: w.share(s)}))
	}
	return most
}

// share is the part of the worker's processors that a task of the step asks for.
func (w *Worker) share(s *chervilv2.Step) float64 {
	return float64(s.CpuMilli) / float64(max(w.Capacity.CPUMilli, 1))
}

func addTo[V int | float64](m map[string]V, key string, by V) map[string]V {
	if m == nil {
		m = map[string]V{}
	}
	m[key] += by
	return m
}

// room is what the worker has left for tasks like those of the step.
func (w *Worker) room(s *chervilv2.Step) int64 {
	if s.Fills {
		return w.FillLimitMilli - w.FillMilli
	}
	return w.Capacity.CPUMilli - w.Used.CPUMilli - w.FillMilli/2
}
