package placing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/startquota"
)

// gateway drives a placer in the same way as the gateway process.
type gateway struct {
	name       string
	deployment *deployment
	placer     *placement.Placer
	waiting    map[*placement.Ticket]*call
	// zone is the index of the gateway's zone.
	zone int
	// emptyUntil is the time before which a peer that had no slot to lend is not
	// asked again.
	emptyUntil      map[*gateway]boottime.Instant
	releaseBorrowed map[*placement.Ticket]func()
	// leases are the numbers of the leases of call starts, by engine address.
	leases map[string]uint64
}

func newGateway(d *deployment, index int, view *fleet.View) *gateway {
	zone := index % 3
	g := &gateway{name: fmt.Sprintf("g%d", index), deployment: d, zone: zone, emptyUntil: map[*gateway]boottime.Instant{}, releaseBorrowed: map[*placement.Ticket]func(){}, leases: map[string]uint64{}, waiting: map[*placement.Ticket]*call{}, placer: placement.New(placement.Config{Name: fmt.Sprint("g", index),
		Zone: core.ZoneID("z" + string(rune('0'+zone))), Region: core.RegionID("r" + string(rune('0'+zone))),
		VersionSwitch: 8 * time.Second, ColdOver: coldOver, ColdSlack: coldSlack, Random: rand.New(rand.NewPCG(d.random.Uint64(), 1)),
	})}
	g.placer.UpdateGateways(len(d.scenario.GatewayShares))
	g.placer.SetView(d.now(), view)
	d.clock.Every(pumpInterval, g.pump)
	d.clock.Every(statusInterval, g.sendDemand)
	return g
}

func (g *gateway) updateEngine(status placement.EngineStatus) {
	g.placer.UpdateEngine(status)
	g.pump()
}

// sendDemand sends the gateway's slot demand to the agents of the engines.
func (g *gateway) sendDemand() {
	d := g.deployment
	demands := g.placer.SlotDemand(d.now())
	reports := map[string]startquota.Report{}
	for address := range d.quotas {
		reports[address] = startquota.Report{Process: 1, Number: g.leases[address], Sent: g.placer.StartsSent(d.now(), address)}
	}
	d.clock.After(engineLatency, func() {
		for address, demand := range demands {
			d.dividers[address].SetDemand(d.now(), g.name, demand)
		}
		for address, report := range reports {
			d.quotas[address].Seen(d.now(), g.name, report)
		}
	})
}

// arrive submits a call that has reached the gateway.
func (g *gateway) arrive(c *call) {
	now := g.deployment.now()
	age := g.deployment.clock.Now().Sub(c.arrived)
	request := placement.Request{
		Service: service, PromptTokens: c.prompt, OutputTokens: c.hint,
		Deadline: now.Add(callerTimeout - age), FirstEventBy: now.Add(eventTimeout - callerLatency),
	}
	g.submit(c, request)
}

// submit submits a call to the placer. While the call waits or is about to be
// rejected, the gateway tries to borrow a slot for it.
func (g *gateway) submit(c *call, request placement.Request) {
	ticket := g.placer.Submit(g.deployment.now(), request)
	switch ticket.Decision().Verdict {
	case placement.Wait:
		g.waiting[ticket] = c
		g.borrow(ticket, c, 2)
	case placement.Reject:
		if !g.borrow(ticket, c, 2) {
			g.act(ticket, c)
		}
	default:
		g.act(ticket, c)
	}
}

// borrow requests a slot from a random gateway of the zone, with up to tries
// gateways in turn. It reports whether a request was sent.
func (g *gateway) borrow(ticket *placement.Ticket, c *call, tries int) bool {
	d := g.deployment
	if !d.scenario.Lending || tries == 0 {
		return false
	}
	var peers []*gateway
	for _, peer := range d.gateways {
		if peer != g && peer.zone == g.zone && !d.now().Before(g.emptyUntil[peer]) {
			peers = append(peers, peer)
		}
	}
	if len(peers) == 0 {
		return false
	}
	peer := peers[d.random.IntN(len(peers))]
	d.clock.After(zoneLatency, func() {
		lease := peer.placer.Lend(d.now(), ticket.Request)
		d.clock.After(zoneLatency, func() { g.borrowed(ticket, c, peer, lease, tries) })
	})
	return true
}

// borrowed handles a peer's reply to a request for a slot. A nil lease means that the
// peer had none.
func (g *gateway) borrowed(ticket *placement.Ticket, c *call, peer *gateway, lease *placement.Ticket, tries int) {
	d := g.deployment
	release := func() {
		d.clock.After(zoneLatency, func() { peer.placer.Ended(d.now(), lease, placement.OutcomeCanceled); peer.pump() })
	}
	_, waiting := g.waiting[ticket]
	rejected := ticket.Decision().Verdict == placement.Reject
	switch {
	case lease == nil:
		g.emptyUntil[peer] = d.now().Add(emptyPeerBackoff)
		if g.borrow(ticket, c, tries-1) || waiting || !rejected {
			return
		}
		g.act(ticket, c)
	case !waiting && !rejected:
		release()
	default:
		placed := g.placer.PlaceBorrowed(d.now(), ticket, lease.Decision().Endpoint.ID, lease.Decision().Expected, d.now().Add(lease.Decision().SendWithin))
		if placed == nil {
			release()
		} else {
			borrower := g.waiting[placed]
			if placed == ticket {
				borrower = c
			}
			delete(g.waiting, placed)
			g.releaseBorrowed[placed] = release
			d.tally.Borrowed++
			g.act(placed, borrower)
		}
		if placed != ticket && rejected {
			g.act(ticket, c)
		}
	}
}

// pump acts on the waiting calls that the placer has decided.
func (g *gateway) pump() {
	for _, ticket := range g.placer.Pump(g.deployment.now()) {
		c := g.waiting[ticket]
		delete(g.waiting, ticket)
		g.act(ticket, c)
	}
}

// act carries out the placer's decision on a call.
func (g *gateway) act(ticket *placement.Ticket, c *call) {
	decision := ticket.Decision()
	if decision.Verdict == placement.Reject {
		g.reject(c, decision.RetryAfter, decision.Waited)
		return
	}
	if !g.placer.MayStart(g.deployment.now(), ticket) {
		g.resubmit(ticket, c, decision.Endpoint.ID)
		return
	}
	g.deployment.tally.started(decision.Endpoint.ID, g.deployment.clock.Now())
	g.deployment.clock.After(engineLatency, func() { g.send(ticket, c, decision.Endpoint.ID) })
}

// reject rejects the call. A caller with retries left comes back, through a random gateway, after
// at most a third of the time that it has left.
func (g *gateway) reject(c *call, retryAfter, waited time.Duration) {
	d := g.deployment
	left := c.arrived.Add(callerTimeout).Sub(d.clock.Now())
	d.tally.rejected(waited, c.retriesLeft == 0)
	if c.retriesLeft == 0 {
		return
	}
	c.retriesLeft--
	c.gateway = pickGateway(d.random, d.scenario.GatewayShares)
	pause := callerLatency + min(retryAfter, left/3)
	d.clock.After(pause, func() { c.sentAt = d.clock.Now() })
	d.clock.After(pause+callerLatency, func() { d.gateways[c.gateway].arrive(c) })
}

// send offers the call to an engine and reports its progress to the placer.
func (g *gateway) send(ticket *placement.Ticket, c *call, id fleet.EndpointID) {
	d := g.deployment
	e := d.byID[id]
	j := &job{prompt: c.prompt, output: c.output}
	j.onEvent = func() {
		if j.written > e.profile.StepsPerPass {
			return
		}
		load := placement.LoadReport{Running: len(e.running), Waiting: len(e.waiting)}
		d.tally.begun(j)
		d.clock.After(engineLatency, func() {
			load.At = d.now()
			g.placer.UpdateLoad(id, load)
			g.placer.Started(d.now(), ticket)
			d.clock.After(callerLatency, func() { c.firstAt = d.clock.Now() })
			g.pump()
		})
	}
	j.onEnd = func(complete bool) {
		d.clock.After(engineLatency, func() {
			outcome := placement.OutcomeAnswered
			if !complete {
				outcome = placement.OutcomeFailed
			}
			g.placer.Ended(d.now(), ticket, outcome)
			if release := g.releaseBorrowed[ticket]; release != nil {
				release()
				delete(g.releaseBorrowed, ticket)
			}
			d.tally.ended(c, d.clock.Now().Add(callerLatency), complete)
			g.pump()
		})
	}
	if !e.offer(j) {
		d.clock.After(engineLatency, func() { g.resubmit(ticket, c, id) })
	}
}

// resubmit returns the slot of a call that an engine rejected and submits the call
// again. The call is rejected after four engines have rejected it.
func (g *gateway) resubmit(ticket *placement.Ticket, c *call, id fleet.EndpointID) {
	g.placer.Ended(g.deployment.now(), ticket, placement.OutcomeRejected)
	if release := g.releaseBorrowed[ticket]; release != nil {
		release()
		delete(g.releaseBorrowed, ticket)
	}
	g.deployment.tally.Rejections++
	request := ticket.Request
	request.Tried = append(append([]fleet.EndpointID(nil), request.Tried...), id)
	if len(request.Tried) > 3 {
		g.reject(c, 300*time.Millisecond, ticket.Decision().Waited)
		return
	}
	g.submit(c, request)
}
