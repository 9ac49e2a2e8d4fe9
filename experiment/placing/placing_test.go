package placing

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Bounds of the replays.
const (
	// fullShare is what a load within the capacity is worth at the least.
	fullShare = 0.98
	// lostEngines is the least part of the worth when engines bear 0.92 of the load.
	lostEngines = 0.8
	// fewQueued is the largest part of calls that may wait inside engines.
	fewQueued = 0.1
)

func replay(name string, undivided bool) *Tally {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			scenario.GatewayShares, scenario.Undivided = sevenGateways, undivided
			return Run(scenario, 1)
		}
	}
	panic("no scenario " + name)
}

func TestTheUsualLoadIsAnsweredOnTime(t *testing.T) {
	NewWithT(t).Expect(replay("usual load", false).Total.Share()).To(BeNumerically(">=", fullShare))
}

func TestCallsDoNotQueueInsideEnginesWhenTooFewAreLeft(t *testing.T) {
	g := NewWithT(t)
	shared, divided := replay("a third of the engines lost", true), replay("a third of the engines lost", false)
	t.Logf("worth %.3f with shared slots, %.3f with divided ones; queued in engines %.3f and %.3f",
		shared.Total.Share(), divided.Total.Share(), shared.QueuedShare(), divided.QueuedShare())
	g.Expect(divided.QueuedShare()).To(BeNumerically("<", fewQueued))
	g.Expect(divided.Total.Share()).To(BeNumerically(">=", lostEngines))
	g.Expect(divided.Total.Share()).To(BeNumerically(">", shared.Total.Share()))
}

func TestNoSizeIsLeftOutWhenTooFewEnginesAreLeft(t *testing.T) {
	total := replay("a third of the engines lost", false).Total
	served := float64(total.OnTime+total.Late) / float64(total.Asked)
	NewWithT(t).Expect(float64(total.LargeServed) / float64(total.LargeAsked)).To(BeNumerically(">=", served/2))
}
