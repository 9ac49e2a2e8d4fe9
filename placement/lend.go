package placement

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/fleet"
)

// Lend gives one of this process's free slots to another process for a request.
// The ticket holds the slot until it is ended. It returns nil when no slot can be
// spared.
//
// Load pattern answered: many gateways before many engines. Each owns few slots,
// and while calls wait at one, slots of others are free for a moment.
func (p *Placer) Lend(now boottime.Instant, request Request) *Ticket {
	ticket := &Ticket{Request: request, arrived: now}
	if p.waitingOnTime(now, request.Service) > 0 || p.spare(now, &request) < 1 {
		return nil
	}
	best, expected, _ := p.best(now, &request)
	if best == nil || best.profile == nil || !best.divided(now) {
		return nil
	}
	p.place(now, ticket, best, expected)
	// The borrower watches its progress.
	ticket.started = true
	return ticket
}

// spare returns how many own slots are free beyond those kept for the calls that
// come here.
func (p *Placer) spare(now boottime.Instant, request *Request) float64 {
	free := 0
	for _, e := range p.byService[request.Service] {
		if p.usable(now, e) && e.divided(now) {
			free += e.free(now)
		}
	}
	return float64(free) - p.demandFor(request.Service).rate(now)*reserveTime.Seconds()
}

// PlaceBorrowed places a request in a slot of another process. It reports false when
// this process knows a reason why the endpoint can't run the request.
func (p *Placer) PlaceBorrowed(now boottime.Instant, ticket *Ticket, id fleet.EndpointID, expected time.Duration) bool {
	e := p.endpoints[id]
	if ticket.endpoint != nil || e == nil || !p.may(now, e, &ticket.Request) || !p.usable(now, e) {
		return false
	}
	p.Cancel(ticket)
	ticket.borrowed = true
	ticket.decision.Waited = now.Sub(ticket.arrived)
	e.borrowed++
	p.place(now, ticket, e, expected)
	return true
}
