package gateway_test

import (
	"expvar"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// warmUp is how long sound calls are sent until the slots are divided among the gateways.
	warmUp = time.Second
	// contactTime is how long gateways have to act on the crashes.
	contactTime = 3 * time.Second
	// judgedTime is the last part of a run, in which sound calls have to be answered.
	judgedTime = 3 * time.Second
	// crashesToAct is the number of crashes after which contactTime begins.
	crashesToAct = 5
	// maxHarmful is how many harmful calls may reach engines after contactTime.
	maxHarmful = 3
)

// answeredShare returns the share of the sound calls sent in a period that were answered
// completely.
func answeredShare(g *WithT, c *callers, from, to time.Time) float64 {
	sent, answered := c.count(false, from, to)
	g.Expect(sent).To(BeNumerically(">", 0))
	return float64(answered) / float64(sent)
}

func TestACalmFleetAnswersItsCallsWithoutACrash(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t)
	c := newCallers(t, f)
	c.send(warmUp, false)
	from := time.Now()
	c.send(judgedTime, false)
	to := time.Now()
	share := answeredShare(g, c, from, to)
	seen := f.record.happened()
	t.Logf("answered %.3f, first attempts begun %d, crashes %d", share, countBetween(seen.begins, from, to), len(seen.crashes))
	g.Expect(share).To(BeNumerically(">", 0.99))
	g.Expect(seen.crashes).To(BeEmpty())
}

// Crashes without a common cause say nothing about the parts that all calls share.
func TestCrashesOfEnginesAloneBlockNoPart(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t)
	c := newCallers(t, f)
	c.send(warmUp, false)
	const crashInterval = 350 * time.Millisecond
	for i, e := range f.engines {
		time.AfterFunc(time.Duration(i)*crashInterval, e.crash)
	}
	crashing := time.Now()
	c.send(engineCount*crashInterval, false)
	crashed := time.Now()
	c.send(judgedTime, false)
	to := time.Now()
	during, afterwards := answeredShare(g, c, crashing, crashed), answeredShare(g, c, crashed, to)
	seen := f.record.happened()
	t.Logf("answered %.3f while engines crashed and %.3f afterwards, crashes %d", during, afterwards, len(seen.crashes))
	g.Expect(seen.crashes).To(HaveLen(engineCount))
	g.Expect(afterwards).To(BeNumerically(">=", 0.95))
}

func TestOnePartOfPromptsDoesNotCrashEngineAfterEngine(t *testing.T) {
	testOneHarmfulPart(t, 0)
}

// BUDGET: a harmful part that was one of hundreds in each prompt crashed engine after engine.
func TestOnePartOfLongPromptsDoesNotCrashEngineAfterEngine(t *testing.T) {
	testOneHarmfulPart(t, 200)
}

func testOneHarmfulPart(t *testing.T, ownParts int) {
	t.Helper()
	g := NewWithT(t)
	f := startFleet(t)
	c := newCallers(t, f)
	c.ownParts = ownParts
	c.send(warmUp, false)
	calm := time.Now()
	c.send(time.Second, false)
	start := time.Now()
	c.send(7*time.Second, true)
	end := time.Now()
	judged := end.Add(-judgedTime)
	share := answeredShare(g, c, judged, end)

	seen := f.record.happened()
	late, lateSent, fifth := 0, 0, time.Duration(0)
	if len(seen.crashes) >= crashesToAct {
		at := seen.crashes[crashesToAct-1].Add(contactTime)
		fifth = seen.crashes[crashesToAct-1].Sub(start)
		late = countBetween(seen.harmful, at, end)
		lateSent, _ = c.count(true, at, end)
		g.Expect(lateSent).To(BeNumerically(">", 2*maxHarmful), "harmful calls sent after the bound")
	}
	calmBegins := float64(countBetween(seen.begins, calm, start)) / start.Sub(calm).Seconds()
	begins := float64(countBetween(seen.begins, judged, end)) / judgedTime.Seconds()
	t.Logf("crashes %d, the fifth after %d ms; harmful calls that reached engines %d, %d of them later than %s after the fifth crash (%d calls sent then); "+
		"answered in the last %s %.3f; first attempts begun %.1f/s, in calm %.1f/s",
		len(seen.crashes), fifth.Milliseconds(), len(seen.harmful), late, contactTime, lateSent, judgedTime, share, begins, calmBegins)
	g.Expect(seen.crashes).NotTo(BeEmpty())
	g.Expect(late).To(BeNumerically("<=", maxHarmful), "harmful calls that reached engines")
	g.Expect(share).To(BeNumerically(">=", 0.8), "sound calls answered")
	g.Expect(begins).To(BeNumerically(">=", calmBegins/2), "sound calls begun at the first attempt")
}

// BUDGET: after all processes had been killed, the part that crashes engines was not known any
// more, and as many engines crashed as at first. All harmful calls here come after five crashes.
// Of the three that may reach engines, the last is left for the trial that is due 20 s later.
func TestOnePartOfPromptsCrashesHardlyAnyEngineAfterARestartOfAllProcesses(t *testing.T) {
	g := NewWithT(t)
	config := usualFleet
	config.restarted = true
	f := startFleetOf(t, config)
	c := newCallers(t, f)
	c.send(warmUp+contactTime, false)
	const harmfulCalls, interval = 12, 500 * time.Millisecond
	start := time.Now()
	for i := range harmfulCalls {
		c.done.Go(func() { c.call(f.gateways[i%len(f.gateways)], true) })
		c.send(interval, false)
	}
	end := time.Now()
	share := answeredShare(g, c, start, end)
	seen := f.record.happened()
	t.Logf("crashes %d, harmful calls that reached engines %d, sound calls answered %.3f", len(seen.crashes), len(seen.harmful), share)
	g.Expect(seen.harmful).NotTo(BeEmpty())
	g.Expect(len(seen.harmful)).To(BeNumerically("<=", maxHarmful-1), "harmful calls that reached engines")
	g.Expect(share).To(BeNumerically(">=", 0.95), "sound calls answered")
}

// LOST: all engines ended at one moment. The trial of the part that all calls share went to an
// engine that had not started again, and the next one was due seconds after the engines were back.
func TestASharedPartIsReleasedSoonAfterAllEnginesAreBack(t *testing.T) {
	const (
		down = 2 * time.Second
		// back is how long after the crash engines have their weights again.
		back = down + 1500*time.Millisecond
	)
	g := NewWithT(t)
	config := usualFleet
	config.downTime = down
	f := startFleetOf(t, config)
	c := newCallers(t, f)
	c.send(2*warmUp, false)
	crashed := time.Now()
	for _, e := range f.engines {
		go e.crash()
	}
	c.send(back, false)
	from := time.Now()
	c.send(2*time.Second, false)
	share := answeredShare(g, c, from, time.Now())
	t.Logf("answered %.3f of the calls sent from %s after the crash on", share, from.Sub(crashed))
	g.Expect(share).To(BeNumerically(">=", 0.95), "sound calls answered")
}

// counter returns the value of a counter of this process.
func counter(name string) int64 { return expvar.Get(name).(*expvar.Int).Value() }

// BUDGET: harmful calls that came a few at a moment crashed engines at each moment.
func TestHarmfulCallsThatComeAtOneMomentDoNotCrashEngineAfterEngine(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t)
	c := newCallers(t, f)
	c.send(warmUp, false)
	heldBefore := counter("calls_held_by_quarantine")
	start := time.Now()
	const clumps, clumpInterval = 6, 2 * time.Second
	for range clumps {
		for i := range 4 {
			c.done.Go(func() { c.call(f.gateways[i%len(f.gateways)], true) })
		}
		c.send(clumpInterval, false)
	}
	end := time.Now()
	share := answeredShare(g, c, end.Add(-judgedTime), end)
	seen := f.record.happened()
	late := 0
	if len(seen.crashes) >= crashesToAct {
		late = countBetween(seen.harmful, seen.crashes[crashesToAct-1].Add(contactTime), end)
	}
	t.Logf("crashes %d in %s; harmful calls that reached engines %d, %d of them later than %s after the fifth crash; answered in the last %s %.3f",
		len(seen.crashes), end.Sub(start), len(seen.harmful), late, contactTime, judgedTime, share)
	g.Expect(seen.crashes).NotTo(BeEmpty())
	g.Expect(late).To(BeNumerically("<=", maxHarmful), "harmful calls that reached engines")
	g.Expect(share).To(BeNumerically(">=", 0.95), "sound calls answered")
	g.Expect(counter("calls_held_by_quarantine")).To(BeNumerically(">", heldBefore), "calls that waited for a trial or an answer")
}
