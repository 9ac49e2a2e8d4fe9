package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// play simulates a day with several seeds and hands each report to check.
func play(t *testing.T, name string, seeds uint64, day scenario, check func(g *WithT, r report)) {
	day.loss = 0.05
	for seed := range seeds {
		t.Run(fmt.Sprintf("%s, %d gateways, seed %d", name, day.gateways, seed), func(t *testing.T) {
			t.Parallel()
			r := simulate(seed, day)
			t.Log(r)
			check(NewWithT(t), r)
		})
	}
}

// fleets are the numbers of gateways, with the number of seeds, the length of a day in
// seconds and the harmful shares of all calls for each. At 340 gateways, a day ends before settled.
var fleets = []struct {
	gateways int
	seeds    uint64
	seconds  int
	shares   []float64
}{{7, 5, 22, []float64{0.01, 0.03, 0.1}}, {38, 1, 20, []float64{0.01, 0.03, 0.1}}, {340, 1, 9, []float64{0.03}}}

// expectContained checks the rules on calls with a harmful part.
func expectContained(g *WithT, r report) {
	for i, late := range r.late {
		g.Expect(late).To(BeNumerically("<=", 3), "calls with harmful part %d after the fifth crash", i)
	}
	if r.after.sent >= 20 {
		g.Expect(r.after.value()).To(BeNumerically(">=", 0.9*r.calm.value()))
	}
}

// BUDGET: calls with one part went on to end engine after engine.
func TestFewHarmfulCallsReachEnginesAfterTheFifthCrash(t *testing.T) {
	for _, fleet := range fleets {
		for _, share := range fleet.shares {
			play(t, fmt.Sprint("share ", share), fleet.seeds, scenario{
				gateways: fleet.gateways, seconds: fleet.seconds,
				harms: []harm{{from: 3 * time.Second, harmfulFrom: 3 * time.Second, share: share}},
			}, expectContained)
		}
	}
}

// Answers from before a part turned harmful kept it from being blocked.
func TestAPartThatTurnsHarmfulIsBlockedInTime(t *testing.T) {
	for _, fleet := range fleets[:2] {
		for _, share := range []float64{0.03, 0.1} {
			play(t, fmt.Sprint("share ", share), fleet.seeds, scenario{
				gateways: fleet.gateways, seconds: 30,
				harms: []harm{{from: 2 * time.Second, harmfulFrom: 12 * time.Second, share: share}},
			}, expectContained)
		}
	}
}

// A second harmful part was hidden by the first one.
func TestTwoHarmfulPartsOneAfterTheOtherAreBlocked(t *testing.T) {
	for _, fleet := range fleets[:2] {
		play(t, "two", fleet.seeds, scenario{
			gateways: fleet.gateways, seconds: 30,
			harms: []harm{{from: 3 * time.Second, harmfulFrom: 3 * time.Second, share: 0.03}, {from: 10 * time.Second, harmfulFrom: 10 * time.Second, share: 0.03}},
		}, expectContained)
	}
}

// BUDGET: engines that ended at one moment under calls with one part counted as one.
func TestHarmfulCallsThatComeAtOneMomentEndFewEngines(t *testing.T) {
	for _, gateways := range []int{2, 7, 38} {
		for _, clump := range []int{4, 6, 12} {
			for _, interval := range []time.Duration{1500 * time.Millisecond, 5 * time.Second, 20 * time.Second} {
				play(t, fmt.Sprint("clumps of ", clump, " every ", interval), 2, scenario{
					gateways: gateways, seconds: 70,
					harms: []harm{{from: 3 * time.Second, harmfulFrom: 3 * time.Second, clump: clump, interval: interval}},
				}, expectContained)
			}
		}
	}
}

// BUDGET: a harmful part among hundreds in each call was displaced, or not told to others.
func TestAHarmfulPartAmongHundredsIsBlocked(t *testing.T) {
	for _, fleet := range []struct {
		gateways, seconds int
		seeds             uint64
		shares            []float64
	}{{7, 22, 2, []float64{0.01, 0.03}}, {38, 22, 6, []float64{0.01}}, {340, 12, 1, []float64{0.03}}} {
		for _, share := range fleet.shares {
			play(t, fmt.Sprint("share ", share), fleet.seeds, scenario{
				gateways: fleet.gateways, seconds: fleet.seconds, ownParts: 200, hubs: 3,
				harms: []harm{{from: 3 * time.Second, harmfulFrom: 3 * time.Second, share: share}},
			}, expectContained)
		}
	}
}

// LOST: calls that share a part were rejected after power failures.
func TestPowerFailuresDoNotBlockAPartOfAllCalls(t *testing.T) {
	for _, engines := range []int{2, engineCount / 2, engineCount} {
		for _, interval := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
			if engines != engineCount || interval != 3*time.Second {
				playPowerFailures(t, engines, interval)
			}
		}
	}
}

// A sound part was still blocked half a minute after the last of several power failures.
func TestASoundPartComesBackAfterPowerFailuresEveryThreeSeconds(t *testing.T) {
	playPowerFailures(t, engineCount, 3*time.Second)
}

// playPowerFailures ends engines together five times, under a part of all calls.
func playPowerFailures(t *testing.T, engines int, interval time.Duration) {
	day := scenario{gateways: 7, seconds: 45, sharedPart: true}
	for i := range 5 {
		day.others = append(day.others, outage{at: 4*time.Second + time.Duration(i)*interval, engines: engines})
	}
	play(t, fmt.Sprint(engines, " engines every ", interval), 3, day, func(g *WithT, r report) {
		g.Expect(r.blockedRoutes).To(BeNumerically("<=", time.Second))
		g.Expect(float64(r.blockedCalls)).To(BeNumerically("<=", 0.02*float64(r.total)))
		g.Expect(r.stillBlocked).To(BeZero())
	})
}

// Popular parts were blocked after a power failure, and some of them for ever.
func TestCrashesForOtherReasonsHardlyBlockAnyPart(t *testing.T) {
	const at = 4 * time.Second
	outages := map[string]outage{
		"single":           {at: at, interval: 3 * time.Second, engines: 5},
		"half at once":     {at: at, engines: engineCount / 2},
		"all at once":      {at: at, engines: engineCount},
		"all in a second":  {at: at, interval: time.Second / engineCount, engines: engineCount},
		"all in 3 seconds": {at: at, interval: 3 * time.Second / engineCount, engines: engineCount},
		"all in turns":     {at: at, interval: time.Second, engines: engineCount},
	}
	for name, o := range outages {
		play(t, name, 2, scenario{gateways: 7, seconds: 45, others: []outage{o}, anyTries: true}, func(g *WithT, r report) {
			g.Expect(r.blockedRoutes).To(BeNumerically("<=", time.Second))
			g.Expect(float64(r.blockedCalls)).To(BeNumerically("<=", 0.02*float64(r.total)))
			g.Expect(r.stillBlocked).To(BeZero())
		})
	}
}
