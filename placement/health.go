package placement

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// initialBackoff is how long an endpoint is avoided after a first failure. Each
	// further consecutive failure doubles it, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// overdueBackoff is how long an endpoint is avoided after a call was moved away from
	// it because it was overdue. Each further consecutive failure doubles it, up to
	// maxOverdueBackoff. A narrow link stays narrow for seconds.
	overdueBackoff    = 2 * time.Second
	maxOverdueBackoff = 8 * time.Second
	// maxBackoffShift and maxOverdueShift bound the doublings, so that the shift cannot
	// overflow.
	maxBackoffShift = 6
	maxOverdueShift = 2
)

// health tracks an endpoint's consecutive failures, its backoff, and whether calls start
// in time.
type health struct {
	failures int
	until    boottime.Instant
	// lateAt is when a call was last seen to start far later than predicted, 0 if a call
	// that was sent afterwards started in time.
	lateAt boottime.Instant
}

func (h *health) failed(now boottime.Instant) {
	wait := initialBackoff << min(h.failures, maxBackoffShift)
	h.failures++
	h.until = now.Add(min(wait, maxBackoff))
}

func (h *health) overdue(now boottime.Instant) {
	wait := overdueBackoff << min(h.failures, maxOverdueShift)
	h.failures++
	h.until = now.Add(min(wait, maxOverdueBackoff))
}

func (h *health) startedLate(now boottime.Instant) { h.lateAt = now }

// startedInTime records that a call sent at the given time started in time. An answer to
// a call that was sent before the link became narrow says nothing about the link now.
func (h *health) startedInTime(sentAt boottime.Instant) {
	if sentAt > h.lateAt {
		h.lateAt = 0
	}
}

// failing reports whether the last call failed or was overdue, or no call has started in
// time since one started late.
func (h *health) failing() bool { return h.failures > 0 || h.lateAt != 0 }

func (h *health) answered() { h.failures = 0 }

func (h *health) backingOff(now boottime.Instant) bool { return now.Before(h.until) }

// slowestTTL is how long the slowest time to first byte counts in full.
const slowestTTL = 5 * time.Second

// slowest is the longest recent time to first byte.
type slowest struct {
	took time.Duration
	at   boottime.Instant
}

// value returns the recorded time, 0 if it is older than slowestTTL.
func (s *slowest) value(now boottime.Instant) time.Duration {
	if s.at == 0 || now.Sub(s.at) > slowestTTL {
		return 0
	}
	return s.took
}

func (s *slowest) add(now boottime.Instant, took time.Duration) {
	if took >= s.value(now) {
		s.took, s.at = took, now
	}
}

func (p *Placer) slowestFor(service core.ServiceID) *slowest {
	s := p.slowest[service]
	if s == nil {
		s = &slowest{}
		p.slowest[service] = s
	}
	return s
}

// maxCoveredWait is the longest time to first byte that maxVersionMargin allows for.
const maxCoveredWait = (maxVersionMargin - minVersionMargin/2) / 2

// versionMargin is how long before the end of the switch period an endpoint receives no
// more calls on older weights.
func (p *Placer) versionMargin(now boottime.Instant, e *endpointState) time.Duration {
	if e.health.failing() || e.unresponsive(now) {
		return failingMargin
	}
	margin := min(max(2*p.slowestFor(e.Service).value(now)+minVersionMargin/2, minVersionMargin), maxVersionMargin)
	return min(margin+e.pathDelay(now), failingMargin)
}
