package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

// best returns the endpoint with room and the earliest predicted first byte, that
// prediction, and the number of eligible endpoints. Endpoints that are in backoff,
// unresponsive or too slow for the answer are used only when no other endpoint is eligible, even if the others
// have no room now. Endpoints that a call ahead is waiting for are left to it.
//
// Load pattern: the prompts that engines have to read permit small calls only. A large call
// that waits would be passed by all small ones that arrive after it.
func (p *Placer) best(now boottime.Instant, request *Request, ahead []*Ticket) (*endpointState, time.Duration, int) {
	var preferred, fallback choice
	candidates, healthy := 0, 0
	for _, e := range p.byService[request.Service] {
		facts := p.factsOf(now, e)
		if !facts.permitted || !e.runs(now, request) {
			continue
		}
		candidates++
		tier := &fallback
		if facts.preferred && !e.outlasts(now, request) {
			healthy++
			tier = &preferred
		}
		if facts.open && !e.prefillLimitReached(now, request) && !p.waitedFor(now, e, ahead) {
			tier.consider(e, e.predictFirstByte(now, request)+p.distancePenalty(e)+e.callDelay(now), p.config.Random)
		}
	}
	if healthy > 0 {
		return preferred.endpoint, preferred.expected, candidates
	}
	return fallback.endpoint, fallback.expected, candidates
}

// waitedFor reports whether one of the given calls waits for an endpoint that may start calls.
func (p *Placer) waitedFor(now boottime.Instant, e *endpointState, calls []*Ticket) bool {
	return slices.ContainsFunc(calls, func(t *Ticket) bool {
		return t.Request.Service == e.Service && e.runs(now, &t.Request)
	})
}

// choice is the considered endpoint with the earliest predicted first byte.
type choice struct {
	endpoint *endpointState
	expected time.Duration
}

// consider replaces the current choice if e is better. Ties are broken at random.
func (c *choice) consider(e *endpointState, expected time.Duration, random *rand.Rand) {
	if c.endpoint == nil || expected < c.expected || expected == c.expected && random.IntN(2) == 0 {
		c.endpoint, c.expected = e, expected
	}
}

func (p *Placer) distancePenalty(e *endpointState) time.Duration {
	switch {
	case e.Zone == p.config.Zone:
		return 0
	case e.Region == p.config.Region:
		return zoneCost
	default:
		return regionCost
	}
}

// eligible reports whether a request may be placed on an endpoint.
func (p *Placer) eligible(now boottime.Instant, e *endpointState, request *Request) bool {
	return e.runs(now, request) && p.startsCalls(now, e)
}

// runs reports whether a request may be placed on an endpoint that starts calls.
func (e *endpointState) runs(now boottime.Instant, request *Request) bool {
	if slices.Contains(request.Tried, e.ID) || !e.inHomes(request) || e.tooFar(now, request) {
		return false
	}
	return e.profile == nil || !e.closesDuring(now, request)
}

// startsCalls reports whether an endpoint may start calls now.
func (p *Placer) startsCalls(now boottime.Instant, e *endpointState) bool {
	if e.leaves() || e.closed(now) || e.superseded(now) || p.view.ZonesOut[e.Zone] {
		return false
	}
	return e.profile == nil || p.servable(now, e)
}

// inHomes reports whether the endpoint's region may run a request.
func (e *endpointState) inHomes(request *Request) bool {
	return !slices.ContainsFunc(request.Homes, func(homes []core.RegionID) bool {
		return len(homes) > 0 && !slices.Contains(homes, e.Region)
	})
}

// MayStart reports whether a placed call may still be sent to its endpoint. Opening a
// connection can take more than a second, and the process may be suspended meanwhile.
func (p *Placer) MayStart(now boottime.Instant, ticket *Ticket) bool {
	e := ticket.endpoint
	if e == nil {
		return false
	}
	// An endpoint that has started again has another state under the same ID.
	_, registered := p.view.Endpoints[e.ID]
	return registered && p.endpoints[e.ID] == e && e.inHomes(&ticket.Request) && p.startsCalls(now, e) && !ticket.sentTooLate(now) && ticket.maySend(now)
}

// servable reports whether an engine has all layers of a version on which calls may
// start now.
func (p *Placer) servable(now boottime.Instant, e *endpointState) bool {
	version := e.version(now)
	if version == 0 || e.loading(now) {
		return false
	}
	return !p.switchOver(now, e, version)
}

func (p *Placer) hasRoom(now boottime.Instant, e *endpointState, request *Request) bool {
	return p.hasSlot(now, e) && !e.prefillLimitReached(now, request)
}

// hasSlot reports whether another call may be sent to an endpoint now.
func (p *Placer) hasSlot(now boottime.Instant, e *endpointState) bool {
	return !now.Before(e.closedUntil) && !e.full(now) && !p.startLimitReached(now, e)
}

// mayBecomeEligible reports whether an endpoint that cannot run a waiting request now may be
// able to while it waits.
func (p *Placer) mayBecomeEligible(now boottime.Instant, ticket *Ticket) bool {
	request, waitsUntil := &ticket.Request, ticket.latestStart
	for _, e := range p.byService[request.Service] {
		if !slices.Contains(request.Tried, e.ID) && !e.leaves() && !p.view.ZonesOut[e.Zone] && e.said.ClosedUntil <= waitsUntil {
			return true
		}
	}
	return false
}
