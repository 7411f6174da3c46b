// Package suppression computes random delays for an action that any one of many
// processes may take, so that only a few take it at the same time, however many
// there are. It uses the exponentially distributed timers of multicast feedback
// suppression: most delays are long and few are short, so the process with the
// shortest delay acts first, and the others see that before their delay ends.
package suppression

import (
	"math"
	"time"
)

// maxProcesses is the largest number of processes that the distribution is
// designed for. With more, more of them act at the same time.
const maxProcesses = 4400

// Delay maps u, a uniform random number in [0, 1), to an exponentially
// distributed delay between 0 and maxDelay.
func Delay(maxDelay time.Duration, u float64) time.Duration {
	lambda := math.Log(maxProcesses) + 1
	fraction := math.Log(1+u*(math.Exp(lambda)-1)) / lambda
	return time.Duration(fraction * float64(maxDelay))
}
