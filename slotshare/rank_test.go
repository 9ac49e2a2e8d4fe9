package slotshare_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/slotshare"
)

// Guards against a gateway with calls of a low rank that keeps slots while another one turns
// away calls of a high rank. The load is three times the slots, most of it of the low rank.
func TestAGatewayWithCallsOfALowRankKeepsTheSlotsOfAHighOne(t *testing.T) {
	g := NewWithT(t)
	d := slotshare.NewDivider("e")
	d.SetSlots(slots)
	d.SetDemand(start, "urgent", slotshare.Demand{Calls: 12, Ranked: [slotshare.Ranks]float64{12}})
	d.SetDemand(start, "patient", slotshare.Demand{Calls: 36, Ranked: [slotshare.Ranks]float64{0, 0, 36}})
	d.Divide(start)
	g.Expect(granted(d, "urgent")).To(BeNumerically("~", 12, 1))
	g.Expect(granted(d, "patient")).To(BeNumerically("~", 4, 1))
}

// Guards against a low rank that is starved for nothing: slots that calls of higher ranks do
// not use go to it.
func TestSlotsThatAHighRankDoesNotNeedStayUnused(t *testing.T) {
	g := NewWithT(t)
	d := slotshare.NewDivider("e")
	d.SetSlots(slots)
	d.SetDemand(start, "urgent", slotshare.Demand{Calls: 2, Ranked: [slotshare.Ranks]float64{2}})
	d.SetDemand(start, "patient", slotshare.Demand{Calls: 30, Ranked: [slotshare.Ranks]float64{0, 30}})
	d.Divide(start)
	g.Expect(granted(d, "patient")).To(BeNumerically("~", slots-2, 1))
}

// Guards against a gateway that runs an older program, whose messages have no ranks, being
// left without slots.
func TestAGatewayThatTellsNoRanksGetsNoSlots(t *testing.T) {
	g := NewWithT(t)
	d := slotshare.NewDivider("e")
	d.SetSlots(slots)
	d.SetDemand(start, "older", slotshare.Demand{Calls: 8})
	d.SetDemand(start, "newer", slotshare.Demand{Calls: 4, Ranked: [slotshare.Ranks]float64{2, 2}})
	d.Divide(start)
	g.Expect(granted(d, "older")).To(BeNumerically(">=", 8))
	g.Expect(granted(d, "newer")).To(BeNumerically("~", 5, 1))
}

// Guards against demand by rank that makes grants exceed the slots.
func TestPropertyGrantsByRankNeverExceedTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := slotshare.NewDivider(rapid.String().Draw(t, "endpoint"))
		total := rapid.IntRange(1, 24).Draw(t, "slots")
		d.SetSlots(total)
		names := []string{"a", "b", "c", "d", "e"}
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			for _, name := range names {
				demand := slotshare.Demand{Calls: rapid.Float64Range(0, 40).Draw(t, "calls")}
				if rapid.Bool().Draw(t, "ranked") {
					demand.Ranked = [slotshare.Ranks]float64(rapid.SliceOfN(rapid.Float64Range(0, 40), slotshare.Ranks, slotshare.Ranks).Draw(t, "by rank"))
				}
				d.SetDemand(start, name, demand)
			}
			d.Divide(start)
			sum := 0
			for _, name := range names {
				sum += granted(d, name)
			}
			if sum != total {
				t.Fatalf("%d slots granted, %d exist", sum, total)
			}
		}
	})
}
