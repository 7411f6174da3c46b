package interference

import (
	"math"

	"chervilridge/internal/boottime"
)

const (
	// priorSlope is assumed for a pair that has not been seen together: half the slope of a
	// harmful pair, so that the pair is tried with care. priorSlopeVariance is its variance;
	// slopes of up to 16 were observed.
	priorSlope, priorSlopeVariance = 2.0, 9.0
	// inheritedSlopeVariance is the variance of a slope that another owner learned.
	inheritedSlopeVariance = 1.0
	// priorBaseline is the initial estimate of a new service's baseline, and
	// priorBaselineVariance its variance; loads between 0.2 and 0.7 were observed.
	priorBaseline, priorBaselineVariance = 2.5, 1.0
	// baselineDrift is the variance that a baseline gains a second, as the load changes.
	baselineDrift = 0.2
	// medianNoise is the standard error of the median of at least minMedianTasks tasks, as a
	// fraction of the headroom; fewTasksNoise that of fewer tasks, of which one may have a
	// load of its own.
	medianNoise, fewTasksNoise = 0.06, 0.12
	// minMedianTasks is the number of tasks from which on the median ignores one outlier.
	minMedianTasks = 3
	// noiseFloor is the least standard error, since tail latencies are whole milliseconds.
	noiseFloor = 0.02
	// minExpected is the least headroom from which the standard error is computed.
	minExpected = 0.5
	// outlierSigmas is the deviation, in standard deviations, above which a sample has less
	// weight.
	outlierSigmas = 2.0
)

// filter is a Kalman filter for one serving image. Its state holds a baseline headroom for
// each service that runs the image and a slope for each best-effort image:
// headroom = baseline - sum of slope x use. Slopes are constant, baselines drift.
type filter struct {
	slopeIndex    map[string]int // index in state of a best-effort image's slope
	baselineIndex map[string]int // index in state of a service's headroom under its load alone
	lastSeen      map[string]boottime.Instant
	inherited     map[string]float64 // slopes by best-effort image that another owner learned
	state         []float64
	cov           [][]float64 // covariance of state
}

func newFilter(inherited map[string]float64) *filter {
	return &filter{inherited: inherited, slopeIndex: map[string]int{}, baselineIndex: map[string]int{}, lastSeen: map[string]boottime.Instant{}}
}

// addVariable adds a variable, independent of the others, to the state and returns its
// index.
func (f *filter) addVariable(value, variance float64) int {
	n := len(f.state)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	f.cov = append(f.cov, make([]float64, n+1))
	f.cov[n][n] = variance
	f.state = append(f.state, value)
	return n
}

// slopeVariable returns the index of a best-effort image's slope, adding it if it is new.
func (f *filter) slopeVariable(image string) int {
	i, ok := f.slopeIndex[image]
	if ok {
		return i
	}
	if slope, inherited := f.inherited[image]; inherited {
		i = f.addVariable(slope, inheritedSlopeVariance)
	} else {
		i = f.addVariable(priorSlope, priorSlopeVariance)
	}
	f.slopeIndex[image] = i
	return i
}

// baselineVariable returns the index of a service's baseline, adding it if it is new, and
// lets its variance grow by the drift since the service was last seen.
func (f *filter) baselineVariable(service string, now boottime.Instant) int {
	i, ok := f.baselineIndex[service]
	if !ok {
		i = f.addVariable(priorBaseline, priorBaselineVariance)
		f.baselineIndex[service] = i
	} else {
		f.cov[i][i] = min(f.cov[i][i]+baselineDrift*max(now.Sub(f.lastSeen[service]).Seconds(), 0), priorBaselineVariance)
	}
	f.lastSeen[service] = now
	return i
}

// observe updates the state with one sample.
func (f *filter) observe(s Sample) {
	coefficients := map[int]float64{f.baselineVariable(s.Service, s.At): 1}
	for image, share := range s.BestEffortUse {
		if share > 0 {
			coefficients[f.slopeVariable(image)] = -share
		}
	}
	expected := 0.0
	for i, factor := range coefficients {
		expected += f.state[i] * factor
	}
	relativeError := fewTasksNoise
	if s.Tasks >= minMedianTasks {
		relativeError = medianNoise
	}
	variance := math.Pow(relativeError*max(expected, minExpected), 2) + noiseFloor*noiseFloor
	f.update(coefficients, s.Headroom-expected, variance)
}

// update applies a Kalman update: coefficients is the sample's row of the observation
// matrix by state index, innovation the observed minus the expected headroom, variance the
// variance of the observation. Slopes stay within 0 and maxSlope.
func (f *filter) update(coefficients map[int]float64, innovation, variance float64) {
	crossCov := make([]float64, len(f.state))
	for i := range f.state {
		for k, factor := range coefficients {
			crossCov[i] += f.cov[i][k] * factor
		}
	}
	innovationVariance := variance
	for k, factor := range coefficients {
		innovationVariance += crossCov[k] * factor
	}
	if limit := outlierSigmas * math.Sqrt(innovationVariance); math.Abs(innovation) > limit {
		innovationVariance *= math.Abs(innovation) / limit
	}
	for i, r := range crossCov {
		f.state[i] += r / innovationVariance * innovation
	}
	for i, r := range crossCov {
		for k := range f.cov[i] {
			f.cov[i][k] -= r / innovationVariance * crossCov[k]
		}
	}
	for _, i := range f.slopeIndex {
		f.state[i] = min(max(f.state[i], 0), maxSlope)
	}
}

// forgetServices removes services not seen for serviceRetention, to keep the state small.
func (f *filter) forgetServices(now boottime.Instant) {
	for service, i := range f.baselineIndex {
		if now.Sub(f.lastSeen[service]) > serviceRetention {
			delete(f.baselineIndex, service)
			delete(f.lastSeen, service)
			f.removeVariable(i)
		}
	}
}

// removeVariable removes a variable from the state; the last one moves to its index.
func (f *filter) removeVariable(i int) {
	last := len(f.state) - 1
	f.state[i] = f.state[last]
	f.state = f.state[:last]
	for r := range f.cov {
		f.cov[r][i] = f.cov[r][last]
		f.cov[r] = f.cov[r][:last]
	}
	f.cov[i] = f.cov[last]
	f.cov = f.cov[:last]
	for _, index := range []map[string]int{f.slopeIndex, f.baselineIndex} {
		for name, at := range index {
			if at == last {
				index[name] = i
			}
		}
	}
}
