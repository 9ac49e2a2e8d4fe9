package placement

import (
	"slices"

	"github.com/zinniaseam/zinniaseam/boottime"
)

// maxSlowShare is the share of a service's endpoints up to which overdue calls are
// moved. If more are slow, the cause is overload and not a single endpoint, and moved
// calls would only add to it.
const maxSlowShare = 0.25

// Overdue returns the calls that should be moved to another endpoint.
//
// Load pattern: one endpoint hangs, or weight transfers fill its narrow link, while the
// others have room. Its callers would time out before their first event, so their calls
// are moved.
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
	return slices.DeleteFunc(overdue, func(t *Ticket) bool { return !p.hasAlternative(now, t) })
}

// hasAlternative reports whether another responsive endpoint has room for the call.
func (p *Placer) hasAlternative(now boottime.Instant, ticket *Ticket) bool {
	request := ticket.Request
	return slices.ContainsFunc(p.byService[request.Service], func(e *endpointState) bool {
		return e != ticket.endpoint && p.eligible(now, e, &request) && p.hasRoom(now, e, &request) && !e.health.backingOff(now) && !e.unresponsive(now)
	})
}

// Started records that the first byte of an answer arrived.
func (p *Placer) Started(now boottime.Instant, ticket *Ticket) {
	overdue := ticket.overdue(now)
	ticket.started = true
	e := ticket.endpoint
	if e == nil {
		return
	}
	p.slowestFor(e.Service).add(now, now.Sub(ticket.sentAt))
	switch {
	case now.Sub(ticket.sentAt) > maxCoveredWait:
		e.health.startedLate(now)
	case !overdue:
		e.health.startedInTime(ticket.sentAt)
	}
}

// Outcome is how a call at an endpoint ended.
type Outcome uint8

// Outcomes of a placed call.
const (
	// OutcomeAnswered means that the endpoint sent a complete answer.
	OutcomeAnswered Outcome = iota
	// OutcomeRejected means that the endpoint was full and did not run the call.
	OutcomeRejected
	// OutcomeFailed means that the endpoint failed the call or did not answer.
	OutcomeFailed
	// OutcomeCanceled means that the caller disconnected or the deadline passed.
	OutcomeCanceled
	// OutcomeOverdue means that the call was moved because its first byte was overdue.
	OutcomeOverdue
	// OutcomeMisdirected means that another endpoint answered at the address.
	OutcomeMisdirected
)

// Ended records that a placed call no longer runs at its endpoint, and frees its slot.
func (p *Placer) Ended(now boottime.Instant, ticket *Ticket, outcome Outcome) {
	e := ticket.endpoint
	if e == nil {
		return
	}
	ticket.settleStart(now, outcome)
	ticket.endpoint = nil
	delete(e.open, ticket)
	if ticket.borrowed {
		e.borrowed--
	}
	e.endedSince++
	// Data that was sent may still be queued on the link after the connection was reset,
	// so the call may start even later.
	if ticket.overdue(now) {
		e.health.startedLate(now)
	}
	switch outcome {
	case OutcomeAnswered:
		e.health.answered()
		e.recordCallTime(now.Sub(ticket.sentAt))
	case OutcomeRejected:
		e.closedUntil = now.Add(rejectedBackoff)
	case OutcomeMisdirected:
		e.replacedUntil = now.Add(misdirectedBackoff)
	case OutcomeFailed:
		e.health.failed(now)
	case OutcomeOverdue:
		e.health.overdue(now)
	case OutcomeCanceled:
	}
}
