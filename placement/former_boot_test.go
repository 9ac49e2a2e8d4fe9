package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
)

// An engine restarts under its ID while a connection to it is opened. What was known of its
// former start permits nothing now.
func TestACallPlacedOnAFormerStartOfAnEndpointIsNotSent(t *testing.T) {
	for name, change := range map[string]func(*fleet.Endpoint){
		"the endpoint holds no weights": func(e *fleet.Endpoint) { e.Weights = nil },
		"the endpoint drains":           func(e *fleet.Endpoint) { e.Draining = true },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPlacer(fleetView(1, 1))
			ticket := p.Submit(start, call(start))
			g.Expect(ticket.Decision().Verdict).To(Equal(placement.Place))
			restarted := fleetView(1, 1)
			restarted.Endpoints["e0"].Boot = 2
			change(restarted.Endpoints["e0"])
			p.SetView(start.Add(500*time.Millisecond), restarted)
			g.Expect(p.MayStart(start.Add(600*time.Millisecond), ticket)).To(BeFalse())
		})
	}
}
