package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
)

// Calls are counted when they are placed, but their connections may open all at once later.
func TestCallsPlacedOverSecondsDoNotReachAColdEndpointInOne(t *testing.T) {
	g := NewWithT(t)
	view := fleetView(1, 1)
	backend := view.Deployment.Services[engines]
	backend.ColdRate = 2
	view.Deployment.Services[engines] = backend
	p := newPlacer(view)
	const bound = 2*1.5 + 5
	var placed []*placement.Ticket
	now := start
	for range 2 * slots {
		if ticket := p.Submit(now, call(now)); ticket.Decision().Verdict == placement.Place {
			placed = append(placed, ticket)
		}
		now = now.Add(90 * time.Millisecond)
	}
	allowed := 0
	for _, ticket := range placed {
		if p.MayStart(now, ticket) {
			allowed++
		}
	}
	t.Logf("%d calls placed in %v, %d of them allowed to start at once", len(placed), now.Sub(start), allowed)
	g.Expect(allowed).To(BeNumerically(">=", bound/2))
	g.Expect(allowed).To(BeNumerically("<=", bound))
}

// An engine's entry is lost for half a second. The engine itself has not changed.
func TestAColdEndpointGetsNoMoreThanItsBoundWhenItsEntryIsGoneForAMoment(t *testing.T) {
	g := NewWithT(t)
	const bound = 2*1.5 + 5
	coldView := func() *fleet.View {
		view := fleetView(1, 1)
		backend := view.Deployment.Services[engines]
		backend.ColdRate = 2
		view.Deployment.Services[engines] = backend
		return view
	}
	p := newPlacer(coldView())
	fill := func(now, until boottime.Instant) int {
		placed := 0
		for range 2 * slots {
			ticket := p.Submit(now, call(now))
			if ticket.Decision().Verdict != placement.Place {
				p.Cancel(ticket)
				continue
			}
			placed++
			p.Ended(until, ticket, placement.OutcomeAnswered)
		}
		return placed
	}
	first := fill(start, start.Add(100*time.Millisecond))
	g.Expect(first).To(BeNumerically(">=", bound/2))
	gone := coldView()
	clear(gone.Endpoints)
	p.SetView(start.Add(200*time.Millisecond), gone)
	p.SetView(start.Add(700*time.Millisecond), coldView())
	now := start.Add(800 * time.Millisecond)
	g.Expect(first + fill(now, now)).To(BeNumerically("<=", bound))
}
