package serving

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/experiment"
)

// seeds are the seeds of the runs that are checked against the targets.
var seeds = []uint64{1, 2}

// routingTestRuns is the number of runs in the medians of the routing comparison.
const routingTestRuns = 5

func TestColdStartPushesNothingOverAndKeepsTheOraclesGoodput(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for i, engine := range engineCases(true) {
		adaptive, err := coldStartRun(seeds[i], "adaptive", engine)
		g.Expect(err).NotTo(HaveOccurred())
		oracle, err := coldStartRun(seeds[i], oracleLimiter, engine)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(adaptive.collapses()).To(BeZero(), engine.name)
		share := ratio(adaptive.tally.total.Answered, oracle.tally.total.Answered)
		g.Expect(share).To(BeNumerically(">=", minOracleShare), engine.name)
	}
}

func TestColdStartPushesEnginesOverWithoutAnAdaptiveGate(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for _, limiter := range []string{"none", "fixed"} {
		f, err := coldStartRun(seeds[0], limiter, engineCases(true)[0])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(f.collapses()).To(BeNumerically(">", 0), limiter)
	}
}

// Seeds with which an engine collapsed because the adaptive limiter raised its limit
// too early.
func TestNoEngineIsPushedOverInTheRunsThatOnceDid(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	oneCall := defaultShape
	oneCall.cold, oneCall.ramp = 1, time.Minute
	queues := defaultShape
	queues.queues = true
	for _, c := range []struct {
		name  string
		shape engineShape
		seeds []uint64
	}{
		{"cold capacity 1: limit raised to three calls too early", oneCall, []uint64{3, 11}},
		{"internal queue: limit raised although the calls only fill the engine's queue", queues, []uint64{1, 17}},
	} {
		for _, seed := range c.seeds {
			f, err := coldStartRun(seed, "adaptive", engineCase{c.name, c.shape, fullRate})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(f.collapses()).To(BeZero(), "%s, seed %d", c.name, seed)
		}
	}
}

func TestLightLoadWaitsLittleAtSmallLimits(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p95 := map[string]float64{}
	for _, limiter := range []string{"adaptive", oracleLimiter} {
		f, err := newFleet(setup{
			seed: seeds[0], endpoints: coldEndpoints, entries: coldEntries, zones: zoneCount, limiter: limiter,
			picker: "weighted", workload: defaultWorkload(lightRate), shapeOf: func(int) engineShape { return defaultShape },
		})
		g.Expect(err).NotTo(HaveOccurred())
		f.tally.window(0, coldStartWindow)
		f.run(coldStartWindow)
		p95[limiter] = quantile(f.tally.firstTokens, 95)
	}
	g.Expect(p95["adaptive"]).To(BeNumerically("<=", 1.2*p95[oracleLimiter]))
}

// lightRate is the arrival rate that keeps about one call in flight at each of eight
// endpoints.
const lightRate = 6.0

func TestOverloadKeepsTheFirstClassTheTeamSharesAndQuickRefusals(t *testing.T) {
	t.Parallel()
	options := experiment.Options{Seed: seeds[0], Runs: 1, OutDir: t.TempDir()}
	NewWithT(t).Expect(RunOverload(context.Background(), options)).To(Succeed())
}

func TestWeightedPickerBeatsTheBaselines(t *testing.T) {
	t.Parallel()
	options := experiment.Options{Seed: seeds[0], Runs: routingTestRuns, OutDir: t.TempDir()}
	NewWithT(t).Expect(RunRouting(context.Background(), options)).To(Succeed())
}

func TestRunsRepeatExactly(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	first, second := shortRun(g), shortRun(g)
	g.Expect(second.tally.total).To(Equal(first.tally.total))
	g.Expect(second.tally.reasons).To(Equal(first.tally.reasons))
	g.Expect(second.tally.attempts).To(Equal(first.tally.attempts))
}

// shortRun simulates all policies with three endpoints, one of which restarts cold.
func shortRun(g *WithT) *fleet {
	f, err := newFleet(setup{
		seed: seeds[0], endpoints: 3, entries: 2, zones: zoneCount, limiter: "adaptive",
		picker: "weighted", admission: true, hedges: true, workload: overloadWorkload(),
		shapeOf: func(int) engineShape { return defaultShape },
	})
	g.Expect(err).NotTo(HaveOccurred())
	f.tally.window(0, overloadEnd)
	f.run(overloadFrom / 4)
	f.endpoints[0].engine.restart()
	f.run(overloadFrom / 2)
	return f
}

func TestFairSharesGiveNoTeamMoreThanItAskedFor(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := &fleet{tally: newTally()}
	f.setup.workload.teams = []teamMix{{name: "a", weight: 1}, {name: "b", weight: 1}, {name: "c", weight: 2}}
	f.tally.teams["a"] = &count{Arrived: 10}
	f.tally.teams["b"] = &count{Arrived: 100}
	f.tally.teams["c"] = &count{Arrived: 100}
	f.tally.total.Answered = 100
	fair := fairShares(f)
	g.Expect(fair["a"]).To(BeNumerically("~", 10, 0.01))
	g.Expect(fair["b"]).To(BeNumerically("~", 30, 0.01))
	g.Expect(fair["c"]).To(BeNumerically("~", 60, 0.01))
}
