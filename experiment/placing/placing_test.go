package placing

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Bounds of the replays.
const (
	// fullShare is the least share of value earned with a load within the capacity.
	fullShare = 0.98
	// lostEnginesShare is the least share of value earned when the engines can carry 0.92
	// of the load.
	lostEnginesShare = 0.8
	// manyShare is the least share of value earned with a load within the capacity
	// that arrives through many gateways.
	manyShare = 0.97
	// maxQueuedShare is the largest share of calls that may wait in engine queues.
	maxQueuedShare = 0.1
)

// replay runs a scenario with seven gateways and seed 1.
func replay(name string, undivided bool) *Tally {
	scenario := findScenario(name)
	scenario.GatewayShares, scenario.Undivided = sevenGateways, undivided
	return Run(scenario, 1)
}

func findScenario(name string) Scenario {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario
		}
	}
	panic("no such scenario: " + name)
}

func TestTheUsualLoadIsAnsweredOnTime(t *testing.T) {
	NewWithT(t).Expect(replay("usual load", false).Total.Share()).To(BeNumerically(">=", fullShare))
}

func TestCallsDoNotQueueInsideEnginesWhenTooFewAreLeft(t *testing.T) {
	g := NewWithT(t)
	shared, divided := replay("a third of the engines lost", true), replay("a third of the engines lost", false)
	t.Logf("share of value earned: %.3f with shared slots, %.3f with divided slots; share queued in engines: %.3f and %.3f",
		shared.Total.Share(), divided.Total.Share(), shared.QueuedShare(), divided.QueuedShare())
	g.Expect(divided.QueuedShare()).To(BeNumerically("<", maxQueuedShare))
	g.Expect(divided.Total.Share()).To(BeNumerically(">=", lostEnginesShare))
	g.Expect(divided.Total.Share()).To(BeNumerically(">", shared.Total.Share()))
}

func TestManyGatewaysLendEachOtherSlots(t *testing.T) {
	g := NewWithT(t)
	scenario := Scenarios()[0]
	scenario.GatewayShares = manyGateways()
	alone := Run(scenario, 1).Total.Share()
	scenario.Lending = true
	lent := Run(scenario, 1)
	t.Logf("share of value earned: %.3f without lending, %.3f with lending; %d of %d calls in borrowed slots", alone, lent.Total.Share(), lent.Borrowed, lent.Begun)
	g.Expect(lent.Total.Share()).To(BeNumerically(">=", manyShare))
	g.Expect(lent.Total.Share()).To(BeNumerically(">", alone))
}

// Guards against calls that gateways place on engines that are about to drain: with
// announced drains, engines reject fewer calls and more of the value is earned.
func TestTurnsThatAreToldKeepMoreOfAFullPoolsWorth(t *testing.T) {
	g := NewWithT(t)
	const seeds = 6
	share, rejections := map[bool]float64{}, map[bool]int{}
	for _, announced := range []bool{true, false} {
		for seed := range uint64(seeds) {
			scenario := findScenario("engines change version")
			change := *scenario.Change
			change.Announced = announced
			scenario.Change, scenario.GatewayShares = &change, sevenGateways
			tally := Run(scenario, seed+1)
			share[announced] += tally.Total.Share() / seeds
			rejections[announced] += tally.Rejections
		}
	}
	t.Logf("share of value earned: %.3f with announced drains, %.3f without; %d and %d calls rejected by engines", share[true], share[false], rejections[true], rejections[false])
	g.Expect(share[true]).To(BeNumerically(">", share[false]))
	g.Expect(rejections[true]).To(BeNumerically("<", rejections[false]/10))
}

// Guards against large calls that starve while too few engines are left.
func TestNoSizeIsLeftOutWhenTooFewEnginesAreLeft(t *testing.T) {
	total := replay("a third of the engines lost", false).Total
	served := float64(total.OnTime+total.Late) / float64(total.Asked)
	NewWithT(t).Expect(float64(total.LargeServed) / float64(total.LargeAsked)).To(BeNumerically(">=", served/2))
}
