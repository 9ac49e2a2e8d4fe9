package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// warmUp is how long sound calls are sent until the slots are divided among the gateways.
	warmUp = time.Second
	// judgedTime is the last part of a run, in which sound calls have to be answered.
	judgedTime = 3 * time.Second
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
