// Package hlc implements a hybrid logical clock, which combines wall time in
// milliseconds with a counter. It orders causally related events across processes
// whose wall clocks differ.
package hlc

import (
	"sync"
	"time"
)

// Stamp is a timestamp of the clock. The upper 48 bits are Unix milliseconds, the
// lower 16 bits a counter.
type Stamp uint64

const counterBits = 16

// FromTime returns the smallest stamp in the millisecond of t.
func FromTime(t time.Time) Stamp { return Stamp(uint64(t.UnixMilli()) << counterBits) }

// Time returns the wall-clock part, with a precision of one millisecond.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) }

// Clock issues strictly increasing stamps. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Stamp
}

// New returns a clock that reads wall time from now.
func New(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp greater than every stamp issued or witnessed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, FromTime(c.now()))
	return c.last
}

// MaxSkew is how far a witnessed stamp may move the clock ahead of wall time.
const MaxSkew = time.Minute

// Witness advances the clock to a stamp received from a peer, so that the next
// stamp is greater. It ignores stamps more than MaxSkew ahead of wall time.
func (c *Clock) Witness(seen Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seen > FromTime(c.now().Add(MaxSkew)) {
		return
	}
	c.last = max(c.last, seen)
}
