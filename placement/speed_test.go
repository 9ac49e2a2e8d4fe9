package placement_test

import (
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
	share := func() float64 {
		demands := p.SlotDemand(start)
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
}
