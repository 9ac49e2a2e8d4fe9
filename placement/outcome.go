package placement

import (
	"slices"

	"github.com/zinniaseam/zinniaseam/boottime"
)

// maxSlowShare is the share of a service's endpoints up to which calls are moved
// away from those that do not respond. Beyond it the load is too high, not an
// endpoint slow, and moved calls would only add to it.
const maxSlowShare = 0.25

// Overdue returns the calls that are better moved to another endpoint.
//
// Load pattern answered: one endpoint hangs, or weights fill its narrow link,
// while the others have room; its callers would leave before their first event.
func (p *Placer) Overdue(now boottime.Instant) []*Ticket {
	var overdue []*Ticket
	for _, list := range p.byService {
		slow := 0
		var tickets []*Ticket
		for _, e := range list {
			before := len(tickets)
			for ticket := range e.open {
				if ticket.Request.MayMove && ticket.overdue(now) {
					tickets = append(tickets, ticket)
				}
			}
			if len(tickets) > before {
				slow++
			}
		}
		if float64(slow) <= maxSlowShare*float64(len(list)) {
			overdue = append(overdue, tickets...)
		}
	}
	return slices.DeleteFunc(overdue, func(t *Ticket) bool { return !p.hasOther(now, t) })
}

// hasOther reports whether an endpoint with room, that responds, may take a call
// from the one that it runs at.
func (p *Placer) hasOther(now boottime.Instant, ticket *Ticket) bool {
	request := ticket.Request
	return slices.ContainsFunc(p.byService[request.Service], func(e *endpointState) bool {
		return e != ticket.endpoint && p.may(now, e, &request) && p.hasRoom(now, e, &request) && !e.health.avoided(now) && !e.unresponsive(now)
	})
}

// Started says that the first byte of an answer has come.
func (p *Placer) Started(now boottime.Instant, ticket *Ticket) {
	ticket.started = true
	if e := ticket.endpoint; e != nil {
		p.slowestOf(e.Service).add(now, now.Sub(ticket.sentAt))
	}
}

// Outcome is how a call at an endpoint ended.
type Outcome uint8

// Endings.
const (
	// OutcomeAnswered means that the endpoint answered whole.
	OutcomeAnswered Outcome = iota
	// OutcomeRejected means that the endpoint was full and did not run the call.
	OutcomeRejected
	// OutcomeFailed means that the endpoint failed the call, or did not answer.
	OutcomeFailed
	// OutcomeCanceled means that the caller left or its time was over.
	OutcomeCanceled
	// OutcomeOverdue means that the call was moved because its first byte did not come.
	OutcomeOverdue
	// OutcomeMisdirected means that another endpoint has the address.
	OutcomeMisdirected
)

// Ended says that a placed call does not run at its endpoint any more.
func (p *Placer) Ended(now boottime.Instant, ticket *Ticket, ending Outcome) {
	e := ticket.endpoint
	if e == nil {
		return
	}
	ticket.endpoint = nil
	delete(e.open, ticket)
	if ticket.borrowed {
		e.borrowed--
	}
	e.endedSince++
	switch ending {
	case OutcomeAnswered:
		e.health.answered()
		e.learn(now.Sub(ticket.sentAt))
	case OutcomeRejected:
		e.closedUntil = now.Add(refusedFor)
	case OutcomeMisdirected:
		e.replacedUntil = now.Add(misdirectedFor)
	case OutcomeFailed:
		e.health.failed(now)
	case OutcomeOverdue:
		e.health.overdue(now)
	case OutcomeCanceled:
	}
}
