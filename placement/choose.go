package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
)

// best returns the endpoint with room that is expected to answer first, and how
// many may run the request at all. Endpoints that fail or do not respond are
// used only when no other may run it, even if that has no room now.
func (p *Placer) best(now boottime.Instant, request *Request) (*endpointState, time.Duration, int) {
	var sound, doubtful choice
	able, healthy := 0, 0
	for _, e := range p.byService[request.Service] {
		if !p.may(now, e, request) {
			continue
		}
		able++
		of := &doubtful
		if !e.health.avoided(now) && !e.unresponsive(now) {
			healthy++
			of = &sound
		}
		if p.hasRoom(now, e, request) {
			of.offer(e, e.expect(now, request)+p.distance(e), p.config.Random)
		}
	}
	if healthy > 0 {
		return sound.endpoint, sound.expected, able
	}
	return doubtful.endpoint, doubtful.expected, able
}

// choice is the endpoint that is expected to answer first of those offered.
type choice struct {
	endpoint *endpointState
	expected time.Duration
}

// offer takes an endpoint that is better than the present one; chance decides
// between equal ones.
func (c *choice) offer(e *endpointState, expected time.Duration, random *rand.Rand) {
	if c.endpoint == nil || expected < c.expected || expected == c.expected && random.IntN(2) == 0 {
		c.endpoint, c.expected = e, expected
	}
}

func (p *Placer) distance(e *endpointState) time.Duration {
	switch {
	case e.Zone == p.config.Zone:
		return 0
	case e.Region == p.config.Region:
		return zoneCost
	default:
		return regionCost
	}
}

// may reports whether the rules let an endpoint run a request.
func (p *Placer) may(now boottime.Instant, e *endpointState, request *Request) bool {
	if e.Draining || e.gone(now) || p.view.ZonesOut[e.Zone] || slices.Contains(request.Tried, e.ID) {
		return false
	}
	for _, homes := range request.Homes {
		if len(homes) > 0 && !slices.Contains(homes, e.Region) {
			return false
		}
	}
	return e.profile == nil || p.servable(now, e) && !e.closing(now, request)
}

// servable reports whether an engine holds weights that may begin work.
func (p *Placer) servable(now boottime.Instant, e *endpointState) bool {
	held := e.version(now)
	if held == 0 || e.loading(now) {
		return false
	}
	margin := p.versionMargin(now, e)
	for _, model := range e.profile.Models {
		for _, declared := range p.declared[model] {
			if held < declared.version && now.Sub(declared.since) > p.config.VersionSwitch-margin {
				return false
			}
		}
	}
	return true
}

func (p *Placer) hasRoom(now boottime.Instant, e *endpointState, request *Request) bool {
	if now.Before(e.closedUntil) {
		return false
	}
	if e.full(now) || e.reading(now, request) {
		return false
	}
	return !p.coldFull(now, e)
}

// coldFull reports whether an endpoint, which may turn cold at any moment, had this process's share of calls in
// the last second.
func (p *Placer) coldFull(now boottime.Instant, e *endpointState) bool {
	if e.backend == nil || e.backend.ColdRate <= 0 {
		return false
	}
	share := p.config.ColdShare
	if e.divided(now) {
		if e.news.Granted == 0 {
			return true
		}
		share = float64(e.news.Granted) / float64(e.Slots)
	}
	bound := (e.backend.ColdRate*p.config.ColdOver + p.config.ColdSlack) * share
	return e.cold.count(now) >= max(int(bound), 1)
}

// mayCome reports whether an endpoint that can't run the request now may do so soon.
func (p *Placer) mayCome(request *Request) bool {
	for _, e := range p.byService[request.Service] {
		if !slices.Contains(request.Tried, e.ID) && !e.Draining && !p.view.ZonesOut[e.Zone] {
			return true
		}
	}
	return false
}
