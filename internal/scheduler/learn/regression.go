package learn

import "math"

const (
	// forget is how much of the old evidence stays with each measurement.
	forget = 0.99995
	// measurementVariance is that of the logarithm of a latency, and of what the
	// straight lines of the model leave out.
	measurementVariance = 0.03
)

// regression is a recursive least squares fit with forgetting and instrumental
// variables. It tells effects apart that come together, as those of classes that
// share workers do, also where control makes a value depend on the noise.
type regression struct {
	mean       []float64
	prior      []float64 // variance that a coefficient has before any evidence
	covariance [][]float64
}

// add appends a coefficient and returns its position.
func (r *regression) add(mean, variance float64) int {
	r.mean = append(r.mean, mean)
	r.prior = append(r.prior, variance)
	n := len(r.mean)
	for i := range r.covariance {
		r.covariance[i] = append(r.covariance[i], 0)
	}
	row := make([]float64, n)
	row[n-1] = variance
	r.covariance = append(r.covariance, row)
	return n - 1
}

// term is a coefficient's position and what it is multiplied with. The instrument
// varies with that value but not with the noise of the measurement.
type term struct {
	at         int
	value      float64
	instrument float64
}

func (r *regression) predict(terms []term) float64 {
	sum := 0.0
	for _, t := range terms {
		sum += r.mean[t.at] * t.value
	}
	return sum
}

// update corrects the coefficients by a measurement.
func (r *regression) update(terms []term, measured float64) {
	gain := make([]float64, len(r.mean))
	back := make([]float64, len(r.mean))
	for i := range gain {
		for _, t := range terms {
			gain[i] += r.covariance[i][t.at] * t.instrument
			back[i] += t.value * r.covariance[t.at][i]
		}
	}
	spread := 0.0
	for _, t := range terms {
		spread += gain[t.at] * t.value
	}
	if spread < 0 {
		return // the instrument says nothing here
	}
	spread += measurementVariance
	wrong := measured - r.predict(terms)
	for i := range r.mean {
		r.mean[i] += gain[i] / spread * wrong
		for j := range r.mean {
			r.covariance[i][j] = (r.covariance[i][j] - gain[i]*back[j]/spread) / forget
		}
	}
	r.bound()
}

// bound keeps forgetting from making a coefficient less certain than it was
// before any evidence, which would let noise move it at will.
func (r *regression) bound() {
	for i := range r.mean {
		if r.covariance[i][i] <= r.prior[i] {
			continue
		}
		f := math.Sqrt(r.prior[i] / r.covariance[i][i])
		for j := range r.mean {
			r.covariance[i][j] *= f
			r.covariance[j][i] *= f
		}
	}
}
