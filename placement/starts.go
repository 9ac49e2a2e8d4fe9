package placement

import (
	"maps"
	"math"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/startquota"
)

// noExpiry is the end of permits that do not end.
const noExpiry = boottime.Instant(math.MaxInt64)

// MaxStarts returns how many calls an endpoint of a backend may receive within a second, 0
// if that is not limited.
func (c Config) MaxStarts(backend *catalogue.Backend) int {
	if backend.ColdRate <= 0 {
		return 0
	}
	return max(int(backend.ColdRate*c.ColdOver+c.ColdSlack), 1)
}

// Paced reports whether agents limit the slots that they divide after their engine has
// started or recovered.
func (p *Placer) Paced() bool { return p.config.Contention }

// MaxStarts returns how many calls an endpoint of a service may receive within a second, 0
// if that is not limited.
func (p *Placer) MaxStarts(service core.ServiceID) int {
	if p.view.Deployment == nil {
		return 0
	}
	backend := p.view.Deployment.Services[service]
	return p.config.MaxStarts(&backend)
}

// UpdateGateways records how many gateways there are, if it is the largest number so far, and
// reports whether that changed with which engines this process keeps in touch.
func (p *Placer) UpdateGateways(count int) bool {
	if count <= p.gateways {
		return false
	}
	p.gateways = count
	before := p.inTouch
	p.chooseEndpoints()
	for _, e := range p.endpoints {
		p.refreshPlainPermit(e)
	}
	return !maps.Equal(before, p.inTouch)
}

// refreshPlainPermit sets the permit for an endpoint without an agent to an even share of its
// limit. A gateway that does not know the others sends one call per second.
func (p *Placer) refreshPlainPermit(e *endpointState) {
	if e.profile != nil || !e.limited() {
		return
	}
	share := 1
	if p.gateways > 0 {
		share = max(p.config.MaxStarts(e.backend)/p.gateways, 1)
	}
	p.UpdatePermit(e.Address, startquota.Permit{Starts: share, Until: noExpiry})
}

// UpdatePermit replaces the permit for the calls to an address.
func (p *Placer) UpdatePermit(address string, permit startquota.Permit) {
	p.senderTo(address).SetPermit(permit)
}

// StartsSent returns the number of calls that were sent to an address within the last
// second.
func (p *Placer) StartsSent(now boottime.Instant, address string) int {
	return p.senderTo(address).Sent(now)
}

func (p *Placer) senderTo(address string) *startquota.Sender {
	s := p.senders[address]
	if s == nil {
		s = &startquota.Sender{}
		p.senders[address] = s
	}
	return s
}

// forgetSenders drops the senders to addresses without an endpoint.
func (p *Placer) forgetSenders(now boottime.Instant) {
	known := map[string]bool{}
	for _, e := range p.endpoints {
		known[e.Address] = true
	}
	for address, s := range p.senders {
		until := s.Permit().Until
		if !known[address] && s.Used(now) == 0 && (!now.Before(until) || until == noExpiry) {
			delete(p.senders, address)
		}
	}
}

// limited reports whether calls to the endpoint need a permit. A cold rate applies to warm
// endpoints as well, since an endpoint may become cold at any moment.
func (e *endpointState) limited() bool { return e.backend != nil && e.backend.ColdRate > 0 }

// startLimitReached reports whether this process may not send another call to the endpoint
// now.
func (p *Placer) startLimitReached(now boottime.Instant, e *endpointState) bool {
	if !e.limited() {
		return false
	}
	s := p.senderTo(e.Address)
	return s.Used(now) >= s.Limit(now, e.Boot)
}

// countPlaced counts a call that has been placed on a limited endpoint. The gateway that
// lent the slot of a borrowed call has counted it.
func (p *Placer) countPlaced(ticket *Ticket, e *endpointState) {
	if e.limited() && !ticket.borrowed {
		ticket.sender = p.senderTo(e.Address)
		ticket.sender.Place()
	}
}

// maySend reports whether the limit of the endpoint permits a placed call to be sent now.
func (t *Ticket) maySend(now boottime.Instant) bool {
	switch {
	case t.borrowed:
		return !t.endpoint.limited() || now.Before(t.sendBy)
	case t.sender == nil:
		return true
	case !t.sender.Start(now, t.endpoint.Boot):
		return false
	}
	t.sender = nil
	return true
}

// settleStart ends the count of a call as placed, if MayStart did not permit to send it.
func (t *Ticket) settleStart(now boottime.Instant, outcome Outcome) {
	switch {
	case t.sender == nil:
		return
	case outcome == OutcomeAnswered:
		t.sender.StartAt(now)
	default:
		t.sender.Withdraw()
	}
	t.sender = nil
}

// lendStart counts a call whose slot is lent as sent when the borrower sends it at the
// latest, and returns for how long the borrower may send it.
func (t *Ticket) lendStart(now boottime.Instant) time.Duration {
	if t.sender == nil {
		return startquota.MaxSendDelay
	}
	t.sender.StartAt(now.Add(startquota.MaxSendDelay))
	within := min(startquota.MaxSendDelay, t.sender.Permit().Until.Sub(now))
	t.sender = nil
	return within
}
