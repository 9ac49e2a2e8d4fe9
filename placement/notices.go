package placement

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/notices"
)

func subjectOf(e *fleet.Endpoint) notices.Subject {
	return notices.Subject{Address: e.Address, ID: string(e.ID), Boot: e.Boot}
}

// Leaving records that an endpoint has said in an answer that it is about to stop. It gets no
// more calls; those that run there continue. Leaving returns false if that was known.
func (p *Placer) Leaving(now boottime.Instant, endpoint *fleet.Endpoint) bool {
	return p.leaving(now, subjectOf(endpoint))
}

// EngineLeaving is Leaving for a start of an engine that has told its agent.
func (p *Placer) EngineLeaving(now boottime.Instant, address string, boot int64) bool {
	return p.leaving(now, notices.Subject{Address: address, Boot: boot})
}

func (p *Placer) leaving(now boottime.Instant, subject notices.Subject) bool {
	known := p.notices.Lookup(subject).Leaving
	p.notices.Leaving(now, subject)
	p.applyNotices(subject.Address)
	return !known
}

// Close records that an endpoint wants no calls from this process for a time.
func (p *Placer) Close(now boottime.Instant, endpoint *fleet.Endpoint, pause time.Duration) {
	p.notices.Close(now, subjectOf(endpoint), pause)
	p.applyNotices(endpoint.Address)
}

func (p *Placer) applyNotices(address string) {
	for _, e := range p.endpoints {
		if e.Address == address {
			e.said = p.notices.Lookup(subjectOf(&e.Endpoint))
		}
	}
}

// forgetNotices drops notices that are out of force.
func (p *Placer) forgetNotices(now boottime.Instant) {
	if p.notices.Len() == 0 {
		return
	}
	registered := map[string]bool{}
	for _, e := range p.endpoints {
		registered[e.Address] = true
	}
	p.notices.Forget(now, func(address string) bool { return registered[address] })
}

// leaves reports whether the endpoint accepts no new work because it is about to stop.
func (e *endpointState) leaves() bool { return e.Draining || e.said.Leaving }

// closed reports whether the endpoint wants no calls from this process now.
func (e *endpointState) closed(now boottime.Instant) bool { return now.Before(e.said.ClosedUntil) }

// opensAt returns when the first endpoint that may run a request wants calls again, 0 if one
// wants them now or there is none.
func (p *Placer) opensAt(now boottime.Instant, request *Request) boottime.Instant {
	var first boottime.Instant
	for _, e := range p.byService[request.Service] {
		if e.leaves() || p.view.ZonesOut[e.Zone] || !e.inHomes(request) {
			continue
		}
		if !e.closed(now) {
			return 0
		}
		if first == 0 || e.said.ClosedUntil < first {
			first = e.said.ClosedUntil
		}
	}
	return first
}
