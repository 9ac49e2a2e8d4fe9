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
	// speedMeanTTL is how long the mean scales shares of the demand without further reports. Reports
	// come with each answer and health check.
	speedMeanTTL = 3 * speedTimeConstant
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

// lasting returns the mean slowdown, 1 if it is unknown or old.
func (s *speed) lasting(now boottime.Instant) float64 {
	if s.at == 0 || now.Sub(s.at) > speedMeanTTL {
		return 1
	}
	return s.mean
}

// scaled returns a predicted time at an endpoint with a slowdown.
func scaled(d time.Duration, slowdown float64) time.Duration {
	return time.Duration(float64(d) * slowdown)
}

// slowdown returns how long work takes at the endpoint now, 1 being as declared. An engine's own
// agent knows that better than single answers.
func (e *endpointState) slowdown(now boottime.Instant) float64 {
	if pace := e.pace(); pace > 0 {
		return pace
	}
	return e.speed.now(now)
}

// lastingSlowdown is slowdown without short spells.
func (e *endpointState) lastingSlowdown(now boottime.Instant) float64 {
	if pace := e.pace(); pace > 0 {
		return pace
	}
	return e.speed.lasting(now)
}

// pace returns the pace of an engine by the report of its agent, 0 if it is not used.
func (e *endpointState) pace() float64 {
	if !e.usesPace || e.status.At == 0 || e.status.Pace <= 0 {
		return 0
	}
	return max(e.status.Pace, minSlowdown)
}

// outlasts reports whether the answer of a request would end after its deadline on an engine that
// is slower than declared.
//
// Load pattern: a tenth of the engines take 2.5 times as long, for as long as they run. Long answers
// that are placed there are cut at the caller's deadline, although other engines finish them.
func (e *endpointState) outlasts(now boottime.Instant, request *Request) bool {
	pace := e.pace()
	if pace <= 1 || request.Continues { // how much is left of an answer that goes on is unknown
		return false
	}
	sized := e.withUsualSizes(*request)
	return request.Deadline.Before(now.Add(scaled(e.duration(&sized), pace)))
}
