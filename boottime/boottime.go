// Package boottime reads a clock that also counts the time in which the machine
// was suspended. Ages of beliefs are measured with it, so that a process that
// wakes up knows how old its knowledge is.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the machine started, suspension included.
type Instant time.Duration

// Clock returns the present instant.
type Clock func() Instant

// Now reads CLOCK_BOOTTIME.
func Now() Instant {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		panic("boottime: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return Instant(at.Nano())
}

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant after a wait.
func (i Instant) Add(wait time.Duration) Instant { return i + Instant(wait) }

// Before reports whether i comes before other.
func (i Instant) Before(other Instant) bool { return i < other }
