package placement

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
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

// slowestLife is how long the slowest first byte counts in full.
const slowestLife = 5 * time.Second

// slowest is the longest of the times seen of late.
type slowest struct {
	took time.Duration
	at   boottime.Instant
}

// of returns the longest time of the last seconds, 0 when none was seen.
func (s *slowest) of(now boottime.Instant) time.Duration {
	if s.at == 0 || now.Sub(s.at) > slowestLife {
		return 0
	}
	return s.took
}

func (s *slowest) add(now boottime.Instant, took time.Duration) {
	if took >= s.of(now) {
		s.took, s.at = took, now
	}
}

func (p *Placer) slowestOf(service core.ServiceID) *slowest {
	s := p.slowest[service]
	if s == nil {
		s = &slowest{}
		p.slowest[service] = s
	}
	return s
}

// versionMargin is how long before the end of the time for older weights an
// endpoint gets no more calls on them.
func (p *Placer) versionMargin(now boottime.Instant, e *endpointState) time.Duration {
	if e.health.doubtful() {
		return doubtfulMargin
	}
	return min(max(2*p.slowestOf(e.Service).of(now)+leastVersionMargin/2, leastVersionMargin), maxVersionMargin)
}
