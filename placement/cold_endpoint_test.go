package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
	g.Expect(len(placed)).To(BeNumerically(">", bound))
	allowed := 0
	for _, ticket := range placed {
		if p.MayStart(now, ticket) {
			allowed++
		}
	}
	t.Logf("%d calls placed in %v, %d of them allowed to start at once", len(placed), now.Sub(start), allowed)
	g.Expect(allowed).To(BeNumerically(">", 0))
	g.Expect(allowed).To(BeNumerically("<=", bound))
}
