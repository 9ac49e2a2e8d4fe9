package placing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
)

// gateway runs a placer as the process does.
type gateway struct {
	name       string
	deployment *deployment
	placer     *placement.Placer
	waiting    map[*placement.Ticket]*call
	// zone is the index of its zone; emptyUntil is until when a peer counts as one
	// that has nothing to lend.
	zone       int
	emptyUntil map[*gateway]boottime.Instant
	lent       map[*placement.Ticket]func()
}

func newGateway(d *deployment, index int, view *fleet.View) *gateway {
	zone := index % 3
	g := &gateway{name: fmt.Sprintf("g%d", index), deployment: d, zone: zone, emptyUntil: map[*gateway]boottime.Instant{}, lent: map[*placement.Ticket]func(){}, waiting: map[*placement.Ticket]*call{}, placer: placement.New(placement.Config{
		Zone: core.ZoneID("z" + string(rune('0'+zone))), Region: core.RegionID("r" + string(rune('0'+zone))),
		VersionSwitch: 8 * time.Second, ColdShare: 1, Random: rand.New(rand.NewPCG(d.random.Uint64(), 1)),
	})}
	g.placer.SetView(d.now(), view)
	d.clock.Every(pumpInterval, g.pump)
	d.clock.Every(newsInterval, g.tellWants)
	return g
}

func (g *gateway) engineNews(news placement.EngineStatus) {
	g.placer.UpdateEngine(news)
	g.pump()
}

// tellWants tells the agents what the gateway wants of their engines.
func (g *gateway) tellWants() {
	wants := g.placer.SlotDemand(g.deployment.now())
	g.deployment.clock.After(engineLatency, func() {
		for address, want := range wants {
			g.deployment.dividers[address].SetDemand(g.deployment.now(), g.name, want)
		}
	})
}

// arrive takes a call of a caller.
func (g *gateway) arrive(c *call) {
	now := g.deployment.now()
	age := g.deployment.clock.Now().Sub(c.arrived)
	request := placement.Request{
		Service: service, PromptTokens: c.prompt, OutputTokens: c.hint, Retried: c.returned,
		OnTimeBy: now.Add(c.kind.objective - age), Deadline: now.Add(patience - age),
	}
	g.submit(c, request)
}

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

// borrow asks another gateway of the zone for a slot; it reports whether one was asked.
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
		loan := peer.placer.Lend(d.now(), ticket.Request)
		d.clock.After(zoneLatency, func() { g.borrowed(ticket, c, peer, loan, tries) })
	})
	return true
}

func (g *gateway) borrowed(ticket *placement.Ticket, c *call, peer *gateway, loan *placement.Ticket, tries int) {
	d := g.deployment
	giveBack := func() {
		d.clock.After(zoneLatency, func() { peer.placer.Ended(d.now(), loan, placement.OutcomeCanceled); peer.pump() })
	}
	_, waits := g.waiting[ticket]
	rejected := ticket.Decision().Verdict == placement.Reject
	switch {
	case loan == nil:
		g.emptyUntil[peer] = d.now().Add(emptyTime)
		if g.borrow(ticket, c, tries-1) || waits || !rejected {
			return
		}
		g.act(ticket, c)
	case !waits && !rejected:
		giveBack()
	case !g.placer.PlaceBorrowed(d.now(), ticket, loan.Decision().Endpoint.ID, loan.Decision().Expected):
		giveBack()
		if rejected {
			g.act(ticket, c)
		}
	default:
		delete(g.waiting, ticket)
		g.lent[ticket] = giveBack
		d.tally.Borrowed++
		g.act(ticket, c)
	}
}

// pump acts on the waiting calls that have a verdict.
func (g *gateway) pump() {
	for _, ticket := range g.placer.Pump(g.deployment.now()) {
		c := g.waiting[ticket]
		delete(g.waiting, ticket)
		g.act(ticket, c)
	}
}

func (g *gateway) act(ticket *placement.Ticket, c *call) {
	decision := ticket.Decision()
	if decision.Verdict == placement.Reject {
		g.reject(c, decision.RetryAfter)
		return
	}
	g.deployment.clock.After(engineLatency, func() { g.send(ticket, c, decision.Endpoint.ID) })
}

// reject sends the caller away, who comes back once.
func (g *gateway) reject(c *call, retryAfter time.Duration) {
	d := g.deployment
	left := c.arrived.Add(patience).Sub(d.clock.Now())
	d.tally.refused(c)
	if c.returned || left < retryAfter {
		return
	}
	c.returned = true
	c.gateway = pick(d.random, d.scenario.GatewayShares)
	d.clock.After(2*callerLatency+min(retryAfter, left/3), func() { d.gateways[c.gateway].arrive(c) })
}

// send offers the call to an engine.
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
	j.onEnd = func(whole bool) {
		d.clock.After(engineLatency, func() {
			ending := placement.OutcomeAnswered
			if !whole {
				ending = placement.OutcomeFailed
			}
			g.placer.Ended(d.now(), ticket, ending)
			if giveBack := g.lent[ticket]; giveBack != nil {
				giveBack()
				delete(g.lent, ticket)
			}
			d.tally.ended(c, whole)
			g.pump()
		})
	}
	if !e.offer(j) {
		d.clock.After(engineLatency, func() { g.refused(ticket, c, id) })
	}
}

// refused places a call again that an engine rejected.
func (g *gateway) refused(ticket *placement.Ticket, c *call, id fleet.EndpointID) {
	g.placer.Ended(g.deployment.now(), ticket, placement.OutcomeRejected)
	if giveBack := g.lent[ticket]; giveBack != nil {
		giveBack()
		delete(g.lent, ticket)
	}
	g.deployment.tally.Rejections++
	request := ticket.Request
	request.Tried = append(append([]fleet.EndpointID(nil), request.Tried...), id)
	if len(request.Tried) > 3 {
		g.reject(c, 300*time.Millisecond)
		return
	}
	g.submit(c, request)
}
