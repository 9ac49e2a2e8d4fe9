package placement

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
)

const (
	// holdOff is how long an endpoint is avoided after its first failure in a row;
	// each further one doubles it up to maxHoldOff.
	holdOff    = 250 * time.Millisecond
	maxHoldOff = 4 * time.Second
	// overdueHoldOff is how long an endpoint is avoided from which a call was moved;
	// each further one doubles it up to maxOverdueHoldOff, some time of a narrow link.
	overdueHoldOff    = 2 * time.Second
	maxOverdueHoldOff = 8 * time.Second
)

// health holds an endpoint off after failures in a row.
type health struct {
	failures int
	until    boottime.Instant
}

func (h *health) failed(now boottime.Instant) {
	wait := holdOff << min(h.failures, 6)
	h.failures++
	h.until = now.Add(min(wait, maxHoldOff))
}

func (h *health) overdue(now boottime.Instant) {
	wait := overdueHoldOff << min(h.failures, 2)
	h.failures++
	h.until = now.Add(min(wait, maxOverdueHoldOff))
}

// doubtful reports whether the last call failed or was overdue.
func (h *health) doubtful() bool { return h.failures > 0 }

func (h *health) answered() { h.failures = 0 }

func (h *health) avoided(now boottime.Instant) bool { return now.Before(h.until) }

// window counts events in the last second.
type window struct{ at []boottime.Instant }

func (w *window) count(now boottime.Instant) int {
	keep := 0
	for keep < len(w.at) && now.Sub(w.at[keep]) >= time.Second {
		keep++
	}
	w.at = w.at[keep:]
	return len(w.at)
}

func (w *window) add(now boottime.Instant) { w.at = append(w.at, now) }
