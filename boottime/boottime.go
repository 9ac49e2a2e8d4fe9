// Package boottime reads a monotonic clock that includes the time during which the VM was
// suspended. The age of a last known state is measured with it, so that a process that
// resumes after a suspension computes the correct staleness.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the VM booted, suspension included.
type Instant time.Duration

// Clock returns the current instant.
type Clock func() Instant

// Now reads CLOCK_BOOTTIME. It panics if the kernel does not support the clock.
func Now() Instant {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		panic("boottime: reading CLOCK_BOOTTIME failed: " + err.Error())
	}
	return Instant(at.Nano())
}

// Sub returns the duration from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant i+wait.
func (i Instant) Add(wait time.Duration) Instant { return i + Instant(wait) }

// Time returns the instant as a time.Time for code that only compares times. It has no
// relation to the time of day.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)) }

// Before reports whether i is before other.
func (i Instant) Before(other Instant) bool { return i < other }
