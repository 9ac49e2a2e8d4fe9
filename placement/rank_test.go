package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/slotshare"
)

// rankedPlacer returns a placer with all slots of an engine in its region and none of one in
// another region.
func rankedPlacer(contention bool) *placement.Placer {
	p := placement.New(placement.Config{Zone: "z0", Region: "r0", VersionSwitch: 8 * time.Second, Contention: contention, Random: rand.New(rand.NewPCG(1, 2))})
	view := fleetView(2, 1)
	backend := view.Deployment.Services[engines]
	backend.ColdRate = 0
	view.Deployment.Services[engines] = backend
	p.SetView(start, view)
	grant(p, start, "10.0.0.1:80", slots)
	grant(p, start, "10.0.0.2:80", 0)
	return p
}

// Guards against a gateway that keeps a free slot for a waiting call of a low rank while
// another gateway turns away one of a high rank.
func TestASlotIsNotLentToACallOfAHigherRankThanTheOneThatWaits(t *testing.T) {
	for _, c := range []struct {
		contention bool
		rank       int
		lent       bool
	}{{true, 0, true}, {true, 2, false}, {true, 3, false}, {false, 0, false}} {
		g := NewWithT(t)
		p := rankedPlacer(c.contention)
		waiting := call(start)
		waiting.Priority, waiting.Homes = 2, [][]core.RegionID{{"r1"}}
		g.Expect(p.Submit(start, waiting).Decision().Verdict).To(Equal(placement.Wait))
		request := call(start)
		request.Priority = c.rank
		g.Expect(p.Lend(start, request) != nil).To(Equal(c.lent), "%+v", c)
	}
}

// Guards against agents that divide slots without knowing which rank the demand has.
func TestTheDemandOfAGatewayLacksItsRanks(t *testing.T) {
	g := NewWithT(t)
	p := rankedPlacer(true)
	for range 8 {
		urgent, patient := call(start), call(start)
		patient.Priority = 2
		p.Submit(start, urgent)
		p.Submit(start, patient)
		p.Submit(start, patient)
	}
	demand := p.SlotDemand(start)["10.0.0.1:80"]
	g.Expect(demand.Ranked[0]).To(BeNumerically(">", 0))
	g.Expect(demand.Ranked[2]).To(BeNumerically("~", 2*demand.Ranked[0], demand.Ranked[0]*2))
	g.Expect(demand.Ranked[0] + demand.Ranked[2]).To(BeNumerically("~", demand.Calls, 0.01))
	g.Expect(rankedPlacer(false).SlotDemand(start)["10.0.0.1:80"].Ranked).To(HaveEach(BeZero()))
}

// Guards against a waiting call that is placed on an engine of another service: the call for
// which the slot was borrowed has left, and the next waiting one is for another service.
func TestASlotIsBorrowedForACallOfAnotherService(t *testing.T) {
	g := NewWithT(t)
	p := rankedPlacer(true)
	other := call(start)
	other.Service = "other"
	ticket := placement.Ticket{Request: other}
	g.Expect(p.PlaceBorrowed(start, &ticket, "e0", 50*time.Millisecond, start.Add(time.Second))).To(BeNil())
}

// Guards against a slot that is lent to a peer that tells no rank, or the lowest one, while an
// own call of an even lower declared priority waits.
func TestASlotIsLentBeforeAnOwnCallBelowTheLowestRank(t *testing.T) {
	g := NewWithT(t)
	p := rankedPlacer(true)
	waiting := call(start)
	waiting.Priority, waiting.Homes = slotshare.Ranks+1, [][]core.RegionID{{"r1"}}
	g.Expect(p.Submit(start, waiting).Decision().Verdict).To(Equal(placement.Wait))
	for _, rank := range []int{slotshare.Ranks - 1, slotshare.Ranks} {
		request := call(start)
		request.Priority = rank
		g.Expect(p.Lend(start, request)).To(BeNil(), "rank %d", rank)
	}
}

// Guards against a waiting call whose regions have no slots, for which slots are requested in vain
// while calls behind it wait for engines of which another gateway has some.
func TestSlotsAreOnlyRequestedForTheFirstWaitingCall(t *testing.T) {
	g := NewWithT(t)
	p := rankedPlacer(true)
	grant(p, start, "10.0.0.1:80", 0)
	restricted := call(start)
	restricted.Homes = [][]core.RegionID{{"r1"}}
	patient := call(start)
	patient.Priority = 2
	first, second, third, other := p.Submit(start, restricted), p.Submit(start, patient), p.Submit(start, patient), p.Submit(start, restricted)
	for _, ticket := range []*placement.Ticket{first, second, third, other} {
		g.Expect(ticket.Decision().Verdict).To(Equal(placement.Wait))
	}
	g.Expect(p.NextToBorrow(nil)).To(BeIdenticalTo(first))
	g.Expect(p.NextToBorrow(first)).To(BeIdenticalTo(second))
	g.Expect(p.NextToBorrow(second)).To(BeIdenticalTo(first))
	p.Cancel(first)
	p.Cancel(other)
	g.Expect(p.NextToBorrow(first)).To(BeIdenticalTo(second), "one class is left")
	g.Expect(p.NextToBorrow(second)).To(BeIdenticalTo(second))
	g.Expect(rankedPlacer(false).NextToBorrow(nil)).To(BeNil())
}
