package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/slotshare"
)

// Guards against an agent that goes on dividing slots by ranks that have changed, because the
// total demand of the gateway has not.
func TestADemandOfOtherRanksIsNotSent(t *testing.T) {
	g := NewWithT(t)
	patient := slotshare.Demand{Calls: 8, Ranked: [slotshare.Ranks]float64{2: 8}}
	urgent := slotshare.Demand{Calls: 8, Ranked: [slotshare.Ranks]float64{0: 6, 2: 2}}
	similar := slotshare.Demand{Calls: 8, Ranked: [slotshare.Ranks]float64{0: 1, 2: 7}}
	fewer := slotshare.Demand{Calls: 8, Ranked: [slotshare.Ranks]float64{0: 8}}
	unranked := slotshare.Demand{Calls: 8}
	g.Expect(demandChanged(encodeDemand(patient), urgent)).To(BeTrue(), "calls of a higher rank")
	g.Expect(demandChanged(encodeDemand(urgent), patient)).To(BeTrue(), "calls of a lower rank")
	g.Expect(demandChanged(encodeDemand(patient), fewer)).To(BeTrue(), "fewer ranks in the message")
	g.Expect(demandChanged(encodeDemand(patient), similar)).To(BeFalse(), "a change below the threshold")
	g.Expect(demandChanged(encodeDemand(unranked), unranked)).To(BeFalse(), "no ranks")
}
