// Package ramp decides how much of a data centre may be used after it came back.
package ramp

import "time"

// How a data centre comes back.
const (
	// FirstShare of its capacity may be used at once.
	FirstShare = 0.2
	// Duration is how long it takes until all of it may be used.
	Duration = 30 * time.Second
)

// Share returns the part of the capacity that may be used, 0 to 1, of a data
// centre that has been back in service for the given time.
func Share(back time.Duration) float64 {
	if back <= 0 {
		return FirstShare
	}
	return min(1, FirstShare+(1-FirstShare)*back.Seconds()/Duration.Seconds())
}
