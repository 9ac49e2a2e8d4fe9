package placement

import (
	"math"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/slotshare"
)

// demandTime is the time constant of the mean rate of arrivals: about two calls
// long, so that a gateway's part of the slots follows its load within seconds.
const demandTime = 2 * time.Second

// demand is the rate of arrivals for one service.
type demand struct {
	perSecond float64
	at        boottime.Instant
}

// rate returns the mean of the last seconds.
func (d *demand) rate(now boottime.Instant) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds())
}

func (d *demand) add(now boottime.Instant) {
	d.perSecond = d.rate(now) + 1/demandTime.Seconds()
	d.at = now
}

func (p *Placer) demandFor(service core.ServiceID) *demand {
	d := p.demand[service]
	if d == nil {
		d = &demand{}
		p.demand[service] = d
	}
	return d
}

// SlotDemand returns what this process would like to run at each engine, by its address.
func (p *Placer) SlotDemand(now boottime.Instant) map[string]slotshare.Demand {
	wants := map[string]slotshare.Demand{}
	for service, list := range p.byService {
		p.wantOf(now, service, list, wants)
	}
	return wants
}

// wantOf divides the calls that come for a service among its engines. Engines that
// are near get more, so that few bytes go between regions.
func (p *Placer) wantOf(now boottime.Instant, service core.ServiceID, list []*endpointState, wants map[string]slotshare.Demand) {
	var callTime time.Duration
	count, weights := 0, 0.0
	for _, e := range list {
		if e.profile != nil && p.usable(now, e) {
			callTime += e.usualCall()
			weights += p.nearness(e)
			count++
		}
	}
	if count == 0 {
		return
	}
	calls := p.demandFor(service).rate(now) * callTime.Seconds() / float64(count)
	for _, e := range list {
		if e.profile != nil && p.usable(now, e) {
			wants[e.Address] = slotshare.Demand{Calls: calls * p.nearness(e) / weights, Open: e.filled()}
		}
	}
}

// Weights of engines by where they stand. Those of other regions count, so that
// a region with more calls than engines is served.
const (
	ownZoneWeight   = 4.0
	ownRegionWeight = 3.0
	elsewhereWeight = 1.0
)

func (p *Placer) nearness(e *endpointState) float64 {
	switch {
	case e.Zone == p.config.Zone:
		return ownZoneWeight
	case e.Region == p.config.Region:
		return ownRegionWeight
	default:
		return elsewhereWeight
	}
}

// usable reports whether an endpoint may take new calls now.
func (p *Placer) usable(now boottime.Instant, e *endpointState) bool {
	return !e.Draining && !p.view.ZonesOut[e.Zone] && !e.news.Unreachable && !e.health.avoided(now) &&
		(e.profile == nil || p.servable(now, e))
}
