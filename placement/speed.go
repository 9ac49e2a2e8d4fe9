package placement

import (
	"math"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
)

const (
	// speedTTL is how long a reported slowdown scales predictions. Endpoints that share their
	// machines become slow and fast again within a second.
	speedTTL = 500 * time.Millisecond
	// speedTimeConstant is the time constant of the EWMA of reported slowdowns: longer than a
	// single slow spell, so that only lasting slowness moves shares of the demand.
	speedTimeConstant = 3 * time.Second
	// minSlowdown bounds how fast an endpoint may claim to be.
	minSlowdown = 0.5
)

// speed is how long work takes at an endpoint by its own reports, 1 being as usual.
type speed struct {
	latest float64
	at     boottime.Instant
	mean   float64
}

// report records a slowdown.
func (s *speed) report(at boottime.Instant, slowdown float64) {
	if at < s.at {
		return
	}
	slowdown = max(slowdown, minSlowdown)
	if s.at == 0 {
		s.mean = slowdown
	} else {
		s.mean += (slowdown - s.mean) * (1 - math.Exp(-at.Sub(s.at).Seconds()/speedTimeConstant.Seconds()))
	}
	s.latest, s.at = slowdown, at
}

// now returns the present slowdown, 1 if it is unknown or old.
func (s *speed) now(now boottime.Instant) float64 {
	if s.at == 0 || now.Sub(s.at) > speedTTL {
		return 1
	}
	return s.latest
}

// lasting returns the mean slowdown, 1 if it is unknown.
func (s *speed) lasting() float64 {
	if s.at == 0 {
		return 1
	}
	return s.mean
}

// scaled returns a predicted time at an endpoint with a slowdown.
func scaled(d time.Duration, slowdown float64) time.Duration {
	return time.Duration(float64(d) * slowdown)
}
