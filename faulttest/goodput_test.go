package faulttest

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Parameters of engines that warm up over several seconds of full load.
const (
	warmBatch      = 8
	coldBatch      = 2
	answersPerSlot = 20
	// warmTime is how long the warm engines are measured; coldTime is how long all
	// are measured after half of them have restarted cold.
	warmTime = 1500 * time.Millisecond
	coldTime = 8 * time.Second
	// oracleShare is the lowest accepted goodput, as a share of an oracle's.
	oracleShare = 0.9
)

// oracleGoodput returns the number of answers that an engine gives within duration
// of a cold restart if it always runs exactly as many calls as its capacity allows.
// ratePerSlot is the answers per second of one running call.
func oracleGoodput(ratePerSlot float64, duration time.Duration) float64 {
	answered := 0.0
	const step = 0.001
	for at := 0.0; at < duration.Seconds(); at += step {
		capacity := min(warmBatch, coldBatch+int(answered/answersPerSlot))
		answered += float64(capacity) * ratePerSlot * step
	}
	return answered
}

// Guards against too little goodput when half of the engines restart cold under full
// load: the gates have to follow the growing capacity without overloading an engine.
func TestHalfOfTheEnginesColdUnderFullLoadKeepMostOfAnOraclesGoodput(t *testing.T) {
	g := NewWithT(t)
	c := fourEngines(t, "-max-batch", fmt.Sprint(warmBatch), "-cold-batch", fmt.Sprint(coldBatch),
		"-answers-per-slot", fmt.Sprint(answersPerSlot), "-token-interval", "5ms")
	var answered atomic.Int64
	_, stop := background(saturatingCallers, c.loadBalancer(), func(e *entryVM, n int) answer {
		a := chat(e, fmt.Sprintf("Goodput %d.", n), loadTokens, "X-Deadline-Ms", loadDeadline)
		if a.complete {
			answered.Add(1)
		} else {
			time.Sleep(20 * time.Millisecond)
		}
		return a
	})
	time.Sleep(500 * time.Millisecond)
	before := answered.Load()
	time.Sleep(warmTime)
	perEngine := float64(answered.Load()-before) / warmTime.Seconds() / 4
	for _, e := range c.engines[:2] {
		c.setFaults(e.url, map[string]any{"goCold": true})
	}
	before = answered.Load()
	time.Sleep(coldTime)
	got := float64(answered.Load() - before)
	stop()
	oracle := 2*perEngine*coldTime.Seconds() + 2*oracleGoodput(perEngine/warmBatch, coldTime)
	t.Logf("warm %.0f a second each; %.0f answered in %s after two engines restarted cold, an oracle %.0f: %.3f", perEngine, got, coldTime, oracle, got/oracle)
	g.Expect(c.collapses()).To(BeZero())
	g.Expect(got / oracle).To(BeNumerically(">=", oracleShare))
}
