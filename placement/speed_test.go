package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
)

// Load pattern: servers share their machines, and each is 2.5 times slower for 0.6 s at a time.
// Guards against calls that go to a server that has just said that it is slow, and against a
// server that is avoided long after it was slow.
func TestCallsGoToAnEndpointThatIsSlowNow(t *testing.T) {
	g := NewWithT(t)
	view := fleetView(4, 1)
	p := newPlacer(view)
	slow := fleet.EndpointID("e0")
	p.UpdateLoad(slow, placement.LoadReport{Slowdown: 2.5, At: start})
	counts := map[fleet.EndpointID]int{}
	place := func(at time.Duration) {
		now := start.Add(at)
		ticket := p.Submit(now, call(now))
		counts[ticket.Decision().Endpoint.ID]++
		p.Started(now, ticket)
		p.Ended(now, ticket, placement.OutcomeCanceled)
	}
	for i := range 20 {
		place(time.Duration(i) * 10 * time.Millisecond)
	}
	g.Expect(counts[slow]).To(BeZero())
	for i := range 20 {
		place(time.Second + time.Duration(i)*10*time.Millisecond)
	}
	g.Expect(counts[slow]).NotTo(BeZero())
}

// Guards against a share of the demand that follows a single slow spell, and against one that
// ignores lasting slowness.
func TestTheDemandForAnEndpointThatIsSlowForLongIsUnchanged(t *testing.T) {
	g := NewWithT(t)
	p := newPlacer(fleetView(4, 1))
	for range 40 {
		p.Submit(start, call(start))
	}
	now := start
	share := func() float64 {
		demands := p.SlotDemand(now)
		return demands["10.0.0.1:80"].Calls / demands["10.0.0.3:80"].Calls // both in zone z0
	}
	report := func(from, to time.Duration, slowdown float64) {
		for at := from; at < to; at += 50 * time.Millisecond {
			p.UpdateLoad("e0", placement.LoadReport{Slowdown: slowdown, At: start.Add(at)})
		}
	}
	report(0, 3*time.Second, 1)
	g.Expect(share()).To(BeNumerically("~", 1, 0.01))
	report(3*time.Second, 3600*time.Millisecond, 2.5)
	g.Expect(share()).To(BeNumerically(">", 0.75))
	report(4*time.Second, 14*time.Second, 2.5)
	g.Expect(share()).To(BeNumerically("~", 0.4, 0.05))
	now = start.Add(30 * time.Second)
	for range 40 {
		p.Submit(now, call(now))
	}
	g.Expect(share()).To(BeNumerically("~", 1, 0.01), "without reports")
}

// slowEngine returns a placer with four engines with slots, one of which reports that work takes
// 2.5 times as long.
func slowEngine(contention bool) *placement.Placer {
	view := fleetView(4, 1)
	p := placement.New(placement.Config{Zone: "z0", Region: "r0", VersionSwitch: 8 * time.Second, Contention: contention, Random: rand.New(rand.NewPCG(1, 2))})
	backend := view.Deployment.Services[engines]
	backend.ColdRate = 0
	view.Deployment.Services[engines] = backend
	p.SetView(start, view)
	for i, address := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"} {
		pace := 1.0
		if i == 0 {
			pace = 2.5
		}
		p.UpdateEngine(placement.EngineStatus{Address: address, Boot: 1, Version: 1, Granted: slots, At: start, Pace: pace})
	}
	return p
}

// Load pattern: a tenth of the engines are 2.5 times slower for as long as they run, and say so to
// their agents. Guards against callers who get them although others have room: every answer there
// is late, and the long ones are cut at their deadline.
func TestCallsGoToAnEngineThatSaysThatItIsSlow(t *testing.T) {
	g := NewWithT(t)
	p := slowEngine(true)
	for range 3 * slots / 2 {
		ticket := p.Submit(start, call(start))
		g.Expect(ticket.Decision().Endpoint.ID).NotTo(BeEquivalentTo("e0"))
		p.Started(start, ticket)
	}
	demands := p.SlotDemand(start)
	g.Expect(demands["10.0.0.1:80"].Calls).To(BeNumerically("~", demands["10.0.0.3:80"].Calls/2.5, 0.01))
}

// Guards against a slow engine that is left idle while callers wait, and against a long answer that
// is begun where it can't end in time.
func TestASlowEngineTakesLongCallsOrNone(t *testing.T) {
	g := NewWithT(t)
	p := slowEngine(true)
	counts := map[fleet.EndpointID]int{}
	for range 8 * slots {
		long, short := call(start), call(start)
		long.OutputTokens, short.OutputTokens = 500, 20
		for _, request := range []placement.Request{long, short} {
			ticket := p.Submit(start, request)
			if ticket.Decision().Verdict != placement.Place {
				continue
			}
			p.Started(start, ticket)
			counts[ticket.Decision().Endpoint.ID]++
			if ticket.Decision().Endpoint.ID == "e0" {
				g.Expect(ticket.Request.OutputTokens).To(Equal(20))
			}
		}
	}
	g.Expect(counts["e0"]).To(Equal(slots))
}

// Guards against a change for deployments that neither compete by rank nor report their speed.
func TestThePaceOfAnEngineCountsWhereNobodyAsksForIt(t *testing.T) {
	g := NewWithT(t)
	p := slowEngine(false)
	demands := p.SlotDemand(start)
	g.Expect(demands["10.0.0.1:80"].Calls).To(BeNumerically("~", demands["10.0.0.3:80"].Calls, 0.01))
}
