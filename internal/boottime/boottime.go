// Package boottime reads a monotonic clock that also advances while the machine is
// suspended, so that leases expire while their holder is frozen.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time, as the time since the machine booted.
type Instant time.Duration

// Clock returns the current time; tests replace it.
type Clock func() Instant

// Now reads CLOCK_BOOTTIME. Linux always provides it, so an error is a programming mistake
// and panics.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// After reports whether i is later than other.
func (i Instant) After(other Instant) bool { return i > other }
