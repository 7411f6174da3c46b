// Package suppression spreads an action that any one of many processes may
// take, so that few take it at once however many there are. It uses the
// exponentially distributed timers of multicast feedback suppression: most draws
// are late and few early, so that the earliest of N processes acts, and the
// others see its act before their own time comes.
package suppression

import (
	"math"
	"time"
)

// maxProcesses is the number of processes up to which few act at once.
const maxProcesses = 4400

// Delay returns how long to wait, up to spread, for u drawn evenly from [0, 1).
func Delay(spread time.Duration, u float64) time.Duration {
	lambda := math.Log(maxProcesses) + 1
	share := math.Log(1+u*(math.Exp(lambda)-1)) / lambda
	return time.Duration(share * float64(spread))
}
