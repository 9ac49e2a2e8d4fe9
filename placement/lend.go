package placement

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/slotshare"
)

// Lend lends one of this process's free slots to another process for a request. The
// ticket occupies the slot until Ended is called for it. Lend returns nil if no slot
// is free or own calls wait for one; where calls compete by rank, own calls of the same or a
// higher rank.
//
// Load pattern: many gateways send to many engines. Each owns few slots, and while
// calls wait at one gateway, slots of others are briefly free. Waiting calls borrow
// these.
func (p *Placer) Lend(now boottime.Instant, request Request) *Ticket {
	p.nextPass()
	ticket := &Ticket{Request: request, arrived: now}
	if slices.ContainsFunc(p.queue, func(own *Ticket) bool {
		return own.Request.Service == request.Service && (!p.config.Contention || slotshare.Rank(own.Request.Priority) <= request.Priority)
	}) {
		return nil
	}
	best, expected, _ := p.best(now, &request, nil)
	if best == nil || best.profile == nil || !best.divided(now) {
		return nil
	}
	p.place(now, ticket, best, expected)
	ticket.decision.SendWithin = ticket.lendStart(now)
	// The borrower detects overdue first bytes.
	ticket.started = true
	return ticket
}

// NextToBorrow returns the waiting call for an engine of a service with contended slots for which
// a slot is requested next, nil if none waits: the first one of its service and homes. last is the
// call for which one was requested before, nil for none. Services and homes take turns, since no
// gateway may have a slot for those of the first call.
//
// Load pattern: arrivals are near the capacity and the slots of an engine are divided among
// dozens of gateways. While calls wait at some of them, slots of others are free for some
// hundred milliseconds: a sixth of all slots in a play. A call that has found no slot to borrow
// when it arrived finds one while it waits.
func (p *Placer) NextToBorrow(last *Ticket) *Ticket {
	var firsts []*Ticket
	for _, ticket := range p.queue {
		if p.drainsQueues(ticket.Request.Service) && p.runsEngines(ticket.Request.Service) && !slices.ContainsFunc(firsts, ticket.Request.sameEngines) {
			firsts = append(firsts, ticket)
		}
	}
	if len(firsts) == 0 {
		return nil
	}
	next := 0
	if last != nil {
		next = slices.IndexFunc(firsts, last.Request.sameEngines) + 1
	}
	return firsts[next%len(firsts)]
}

// sameEngines reports whether another call is for the same service and homes.
func (r *Request) sameEngines(other *Ticket) bool {
	return r.Service == other.Request.Service && slices.EqualFunc(r.Homes, other.Request.Homes, slices.Equal)
}

// PlaceBorrowed places a call in a slot of another process, to be sent before sendBy: the ticket
// for which the slot was borrowed, or the first waiting call that goes before it. It returns
// the ticket that was placed; nil if the one given is placed already or is for another service, or
// if according to this process's view the endpoint cannot run any of them.
func (p *Placer) PlaceBorrowed(now boottime.Instant, ticket *Ticket, id fleet.EndpointID, expected time.Duration, sendBy boottime.Instant) *Ticket {
	e := p.endpoints[id]
	if ticket.endpoint != nil || e == nil || e.Service != ticket.Request.Service || !p.usable(now, e) {
		return nil
	}
	first := p.firstFor(now, e, ticket)
	if first == nil {
		return nil
	}
	p.Cancel(first)
	first.borrowed, first.sendBy = true, sendBy
	first.decision.Waited = now.Sub(first.arrived)
	e.borrowed++
	p.place(now, first, e, expected)
	return first
}

// firstFor returns the first of a ticket and the waiting calls of its service that may run on
// an endpoint, nil if none may.
func (p *Placer) firstFor(now boottime.Instant, e *endpointState, ticket *Ticket) *Ticket {
	for _, waiting := range p.queue {
		if compare(waiting, ticket) < 0 && waiting.Request.Service == ticket.Request.Service && p.eligible(now, e, &waiting.Request) {
			return waiting
		}
	}
	if !p.eligible(now, e, &ticket.Request) {
		return nil
	}
	return ticket
}
