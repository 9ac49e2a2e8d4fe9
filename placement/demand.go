package placement

import (
	"math"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/slotshare"
)

// arrivalRateTimeConstant is the time constant of the EWMA of arrivals: about twice the
// duration of a call, so that a gateway's share of the slots follows its load within
// seconds.
const arrivalRateTimeConstant = 2 * time.Second

// arrivalRate is the EWMA of the arrivals of one priority for one service, in calls per second.
type arrivalRate struct {
	perSecond float64
	at        boottime.Instant
}

// rate returns the mean rate, decayed to now.
func (d *arrivalRate) rate(now boottime.Instant) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.at).Seconds()/arrivalRateTimeConstant.Seconds())
}

func (d *arrivalRate) add(now boottime.Instant) {
	d.perSecond = d.rate(now) + 1/arrivalRateTimeConstant.Seconds()
	d.at = now
}

func (p *Placer) arrivalsOf(service core.ServiceID, priority int) *arrivalRate {
	byPriority := p.arrivals[service]
	if byPriority == nil {
		byPriority = map[int]*arrivalRate{}
		p.arrivals[service] = byPriority
	}
	if byPriority[priority] == nil {
		byPriority[priority] = &arrivalRate{}
	}
	return byPriority[priority]
}

// arrivalsBefore returns the rate of arrivals for a service that go before calls of a priority.
func (p *Placer) arrivalsBefore(now boottime.Instant, service core.ServiceID, priority int) float64 {
	total := 0.0
	for of, rate := range p.arrivals[service] {
		if of < priority {
			total += rate.rate(now)
		}
	}
	return total
}

// anyPriority is lower than the priority of any call.
const anyPriority = math.MaxInt

// SlotDemand returns the number of slots that this process needs at each engine, by
// engine address.
func (p *Placer) SlotDemand(now boottime.Instant) map[string]slotshare.Demand {
	demands := map[string]slotshare.Demand{}
	for service, list := range p.byService {
		p.addSlotDemand(now, service, list, demands)
	}
	return demands
}

// addSlotDemand divides the load of a service among its engines: what arrives while a call runs,
// and what waits, so that callers wait as long at one gateway as at another. Engines
// nearby get a larger part, to limit the traffic between regions. An engine that will
// become ready gets the demand that it would have then, so that its slots are divided when
// the first calls are placed. One that is suspect is wanted as a last resort only.
func (p *Placer) addSlotDemand(now boottime.Instant, service core.ServiceID, list []*endpointState, demands map[string]slotshare.Demand) {
	var ready, coming []*endpointState
	for _, e := range list {
		switch {
		case e.profile == nil || e.leaves() || p.view.ZonesOut[e.Zone]:
		case e.suspect(now):
			demands[e.Address] = slotshare.Demand{Open: e.usedSlots()}
		case p.servable(now, e):
			ready = append(ready, e)
		default:
			coming = append(coming, e)
		}
	}
	weights := 0.0
	for _, e := range ready {
		weights += p.demandWeight(e, now)
	}
	measured := ready
	if len(ready) == 0 {
		measured = coming
	}
	calls := p.arrivalsBefore(now, service, anyPriority)*meanCallTime(measured).Seconds() + float64(countOf(p.queue, service))
	ranked := p.rankedShares(now, service, meanCallTime(measured))
	for _, e := range ready {
		part := p.demandWeight(e, now) / weights
		demands[e.Address] = slotshare.Demand{Calls: calls * part, Ranked: times(ranked, part), Open: e.usedSlots()}
	}
	for _, e := range coming {
		part := p.demandWeight(e, now) / (weights + p.demandWeight(e, now))
		demands[e.Address] = slotshare.Demand{Calls: calls * part, Ranked: times(ranked, part), Open: e.usedSlots()}
	}
}

// rankedShares returns the demand for a service by rank, nothing unless calls compete by rank.
func (p *Placer) rankedShares(now boottime.Instant, service core.ServiceID, callTime time.Duration) (ranked [slotshare.Ranks]float64) {
	if !p.config.Contention {
		return ranked
	}
	for rank, rate := range p.arrivals[service] {
		ranked[slotshare.Rank(rank)] += rate.rate(now) * callTime.Seconds()
	}
	for _, ticket := range p.queue {
		if ticket.Request.Service == service {
			ranked[slotshare.Rank(ticket.Request.Priority)]++
		}
	}
	return ranked
}

// times returns the values multiplied by a factor.
func times(values [slotshare.Ranks]float64, factor float64) [slotshare.Ranks]float64 {
	for i := range values {
		values[i] *= factor
	}
	return values
}

// demandWeight is the weight of an engine in the division of the demand: less for those that are
// far or have been slow for seconds.
func (p *Placer) demandWeight(e *endpointState, now boottime.Instant) float64 {
	return p.proximityWeight(e) / e.lastingSlowdown(now)
}

func meanCallTime(engines []*endpointState) time.Duration {
	var total time.Duration
	for _, e := range engines {
		total += e.expectedCallTime()
	}
	return total / time.Duration(max(len(engines), 1))
}

// Weights of engines by proximity. Engines of other regions have a weight above zero,
// so that a region with more calls than its engines can run is served too.
const (
	ownZoneWeight   = 4.0
	ownRegionWeight = 3.0
	elsewhereWeight = 1.0
)

func (p *Placer) proximityWeight(e *endpointState) float64 {
	switch {
	case e.Zone == p.config.Zone:
		return ownZoneWeight
	case e.Region == p.config.Region:
		return ownRegionWeight
	default:
		return elsewhereWeight
	}
}

// usable reports whether an endpoint may receive new calls now.
func (p *Placer) usable(now boottime.Instant, e *endpointState) bool {
	return !e.leaves() && !p.view.ZonesOut[e.Zone] && !e.suspect(now) && (e.profile == nil || p.servable(now, e))
}

// suspect reports whether calls should rather go to other endpoints.
func (e *endpointState) suspect(now boottime.Instant) bool {
	return e.status.Unreachable || e.health.backingOff(now) || e.closed(now)
}
