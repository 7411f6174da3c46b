package interference

import (
	"math"

	"chervilridge/internal/boottime"
)

const (
	// unknownSlope is assumed of a pair that was not seen together yet: half of what a harmful
	// one takes, so that it is tried with care. unknownVariance is how unsure that is: slopes
	// up to 16 were seen.
	unknownSlope, unknownVariance = 2.0, 9.0
	// toldVariance is how unsure a slope is that another owner learned.
	toldVariance = 1.0
	// unknownAlone is the headroom assumed of a service that was not seen yet, and
	// aloneVariance how unsure that is: loads between 0.2 and 0.7 were seen.
	unknownAlone, aloneVariance = 2.5, 1.0
	// drift is how fast a service's load moves, as variance a second.
	drift = 0.2
	// noise is the error of the median of several tasks, as a part of the headroom;
	// soloNoise that of one or two, of which one may have a load of its own.
	noise, soloNoise = 0.06, 0.12
	// medianTasks is from how many tasks the median leaves one strange task out.
	medianTasks = 3
	// noiseFloor is the error that a tail in whole milliseconds has at least.
	noiseFloor = 0.02
	// leastExpected bounds the error of a very low headroom from below.
	leastExpected = 0.5
	// outlier is from how many standard deviations a sample counts less.
	outlier = 2.0
)

// filter is a Kalman filter over what a serving image is sensitive to and the load of the
// services that run it: headroom = alone - sum of slope x use. The slopes stay, the load
// drifts.
type filter struct {
	filling map[string]int // index of the slope of a filling image
	alone   map[string]int // index of the headroom that a service's load alone leaves
	seen    map[string]boottime.Instant
	told    map[string]float64 // slopes that another owner learned
	state   []float64
	cov     [][]float64
}

func newFilter(told map[string]float64) *filter {
	return &filter{told: told, filling: map[string]int{}, alone: map[string]int{}, seen: map[string]boottime.Instant{}}
}

// variable adds a variable to the state and returns its index.
func (f *filter) variable(value, variance float64) int {
	n := len(f.state)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	f.cov = append(f.cov, make([]float64, n+1))
	f.cov[n][n] = variance
	f.state = append(f.state, value)
	return n
}

func (f *filter) slopeOf(image string) int {
	i, ok := f.filling[image]
	if ok {
		return i
	}
	if slope, told := f.told[image]; told {
		i = f.variable(slope, toldVariance)
	} else {
		i = f.variable(unknownSlope, unknownVariance)
	}
	f.filling[image] = i
	return i
}

func (f *filter) aloneOf(service string, now boottime.Instant) int {
	i, ok := f.alone[service]
	if !ok {
		i = f.variable(unknownAlone, aloneVariance)
		f.alone[service] = i
	} else {
		f.cov[i][i] = min(f.cov[i][i]+drift*max(now.Sub(f.seen[service]).Seconds(), 0), aloneVariance)
	}
	f.seen[service] = now
	return i
}

// observe takes in one sample.
func (f *filter) observe(s Sample) {
	row := map[int]float64{f.aloneOf(s.Service, s.At): 1}
	for image, share := range s.Use {
		if share > 0 {
			row[f.slopeOf(image)] = -share
		}
	}
	expected := 0.0
	for i, factor := range row {
		expected += f.state[i] * factor
	}
	relative := soloNoise
	if s.Tasks >= medianTasks {
		relative = noise
	}
	variance := math.Pow(relative*max(expected, leastExpected), 2) + noiseFloor*noiseFloor
	f.correct(row, s.Headroom-expected, variance)
}

// correct moves the state by a sample's deviation.
func (f *filter) correct(row map[int]float64, deviation, variance float64) {
	reach := make([]float64, len(f.state))
	for i := range f.state {
		for k, factor := range row {
			reach[i] += f.cov[i][k] * factor
		}
	}
	total := variance
	for k, factor := range row {
		total += reach[k] * factor
	}
	if limit := outlier * math.Sqrt(total); math.Abs(deviation) > limit {
		total *= math.Abs(deviation) / limit
	}
	for i, r := range reach {
		f.state[i] += r / total * deviation
	}
	for i, r := range reach {
		for k := range f.cov[i] {
			f.cov[i][k] -= r / total * reach[k]
		}
	}
	for _, i := range f.filling {
		f.state[i] = min(max(f.state[i], 0), maxSlope)
	}
}

// forget drops services that were not seen for a while, so that the state stays small.
func (f *filter) forget(now boottime.Instant) {
	for service, i := range f.alone {
		if now.Sub(f.seen[service]) > serviceKept {
			delete(f.alone, service)
			delete(f.seen, service)
			f.drop(i)
		}
	}
}

// drop takes a variable out; the last one takes its place.
func (f *filter) drop(i int) {
	last := len(f.state) - 1
	f.state[i] = f.state[last]
	f.state = f.state[:last]
	for r := range f.cov {
		f.cov[r][i] = f.cov[r][last]
		f.cov[r] = f.cov[r][:last]
	}
	f.cov[i] = f.cov[last]
	f.cov = f.cov[:last]
	for _, index := range []map[string]int{f.filling, f.alone} {
		for name, at := range index {
			if at == last {
				index[name] = i
			}
		}
	}
}
