package placement

import (
	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

// facts are what holds for all requests at one endpoint during one pass over the queue. They are
// evaluated once in a pass, since hundreds of calls may wait.
type facts struct {
	pass uint64
	// permitted, preferred and open tell whether the endpoint may start calls, is not
	// suspected, and has a free slot.
	permitted, preferred, open bool
	// ownRate is how many calls per second this process can start there with its own slots,
	// evenRate with an even share of all slots; both are 0 if the endpoint is not usable.
	ownRate, evenRate float64
}

// startRate returns how many calls per second this process can start on the endpoint. granted is
// set if the process has slots anywhere.
func (f *facts) startRate(granted bool) float64 {
	if granted {
		return f.ownRate
	}
	return f.evenRate
}

// capacity is how many calls per second this process can start on a service's endpoints in one
// pass.
type capacity struct {
	pass      uint64
	startRate float64
	// granted is set if the process has slots.
	granted bool
}

// nextPass forgets all facts and capacities. It is called before each pass.
func (p *Placer) nextPass() { p.pass++ }

// factsOf returns the facts of an endpoint in the present pass.
func (p *Placer) factsOf(now boottime.Instant, e *endpointState) *facts {
	if e.facts.pass == p.pass {
		return &e.facts
	}
	e.facts = facts{
		pass: p.pass, permitted: p.startsCalls(now, e), preferred: !e.health.backingOff(now) && !e.unresponsive(now), open: p.hasSlot(now, e),
	}
	if p.usable(now, e) {
		e.facts.ownRate = p.startRate(now, e)
		e.facts.evenRate = float64(e.Slots) / e.expectedCallTime().Seconds() / float64(max(p.gateways, 1))
	}
	return &e.facts
}

// capacityOf returns the capacity of a service in the present pass.
//
// Load pattern: a process has just started, or was idle, and calls arrive before agents have granted
// it slots. Until then it counts on an even share.
func (p *Placer) capacityOf(now boottime.Instant, service core.ServiceID) capacity {
	if known := p.capacities[service]; known.pass == p.pass {
		return known
	}
	own, even := 0.0, 0.0
	for _, e := range p.byService[service] {
		facts := p.factsOf(now, e)
		own += facts.ownRate
		even += facts.evenRate
	}
	result := capacity{pass: p.pass, startRate: own, granted: own > 0}
	if !result.granted {
		result.startRate = even
	}
	p.capacities[service] = result
	return result
}

// forgetFacts has the facts of an endpoint and the capacity of its service evaluated again, after a
// call was placed there.
func (p *Placer) forgetFacts(e *endpointState) {
	e.facts.pass = 0
	delete(p.capacities, e.Service)
}
