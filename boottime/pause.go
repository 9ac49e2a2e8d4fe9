package boottime

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseCheckInterval is how often a PauseDetector records that the process runs.
	pauseCheckInterval = 100 * time.Millisecond
	// minPause is the shortest interruption that counts as a pause. A process that waits
	// for its share of a processor is interrupted for less.
	minPause = 500 * time.Millisecond
)

// PauseDetector detects that the process did not run for a while: the VM was suspended,
// or the process was stopped. It is safe for concurrent use.
type PauseDetector struct {
	now Clock

	mu sync.Mutex
	// seenAt is when the process was last seen running. resumedAt is when it was first
	// seen running after its last pause, 0 if it never paused.
	seenAt, resumedAt Instant
}

// NewPauseDetector returns a detector that has seen the process running now.
func NewPauseDetector(now Clock) *PauseDetector {
	return &PauseDetector{now: now, seenAt: now()}
}

// Run records that the process runs until ctx ends.
func (d *PauseDetector) Run(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.observe()
		}
	}
}

// observe records that the process runs. It returns the present instant and when the
// process resumed after its last pause.
func (d *PauseDetector) observe() (now, resumedAt Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.now()
	if now.Sub(d.seenAt) >= minPause {
		d.resumedAt = now
	}
	d.seenAt = now
	return now, d.resumedAt
}

// RanSince reports whether no pause has been detected since an instant.
func (d *PauseDetector) RanSince(at Instant) bool {
	_, resumedAt := d.observe()
	return resumedAt <= at
}

// RanFor reports whether no pause has been detected within a duration.
func (d *PauseDetector) RanFor(duration time.Duration) bool {
	now, resumedAt := d.observe()
	return resumedAt == 0 || now.Sub(resumedAt) >= duration
}
