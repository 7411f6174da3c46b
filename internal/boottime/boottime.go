// Package boottime reads a steady clock that also counts the time for which the
// machine was suspended, so that leases run out while their holder is frozen.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the machine booted.
type Instant time.Duration

// Clock reads the time; tests replace it.
type Clock func() Instant

// Now reads CLOCK_BOOTTIME. The kernel always provides it on Linux, so that an
// error can only be a programming mistake.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// After reports whether i is later than other.
func (i Instant) After(other Instant) bool { return i > other }
