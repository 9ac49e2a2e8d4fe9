package gateway_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// coldPerS, coldOver and coldSlack bound the calls that a cold engine may get per second.
	coldPerS  = 8
	coldOver  = 1.5
	coldSlack = 5.0
	// overloadCallers together send six times as many calls as two engines can run, so that
	// calls wait at all gateways.
	overloadCallers = 4
	// loadingTime is the longest time until the added engine is ready, servingTime how long
	// calls are sent afterwards at least.
	loadingTime = time.Second
	servingTime = 3 * time.Second
)

// largestSecond returns the most arrivals within a second. The arrivals must be in order.
func largestSecond(arrivals []arrival) []arrival {
	var largest []arrival
	from := 0
	for i, a := range arrivals {
		for a.at.Sub(arrivals[from].at) >= time.Second {
			from++
		}
		if i+1-from > len(largest) {
			largest = arrivals[from : i+1]
		}
	}
	return largest
}

// perGateway describes how many of the arrivals each gateway sent.
func (c *callers) perGateway(arrivals []arrival) string {
	c.done.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	gateways := map[string]int{}
	for _, result := range c.results {
		gateways[result.id] = slices.Index(c.fleet.gateways, result.gateway)
	}
	counts := make([]int, len(c.fleet.gateways))
	for _, a := range arrivals {
		counts[gateways[a.id]]++
	}
	return fmt.Sprint(counts)
}

// Each of many gateways with waiting calls takes the part of the bound that is meant for
// one of few, and the engine that has just become ready gets more than it bears.
func TestAColdEndpointGetsNoMoreThanItsBoundFromManyGateways(t *testing.T) {
	g := NewWithT(t)
	f := startFleetOf(t, fleetConfig{
		declaration: strings.Replace(engineDeclaration, `"name":"s",`, fmt.Sprintf(`"name":"s","cold-per-s":%d,`, coldPerS), 1),
		engines:     2, gateways: 36, coldOver: coldOver, coldSlack: coldSlack,
	})
	c := newCallers(t, f)
	var load sync.WaitGroup
	defer load.Wait()
	for range overloadCallers {
		load.Go(func() { c.send(2*warmUp+loadingTime+servingTime, false) })
	}
	time.Sleep(2 * warmUp)
	cold := f.startEngine(t, len(f.engines), 0)
	g.Eventually(func() int64 { return cold.present().serving() }, loadingTime, time.Millisecond).Should(BeEquivalentTo(engineVersion))
	ready := time.Now()
	load.Wait()
	c.done.Wait()
	arrivals, answers := f.record.at(cold.name)
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	largest := largestSecond(arrivals)
	served := countBetween(answers, ready, ready.Add(servingTime))
	g.Expect(largest).NotTo(BeEmpty())
	burst := 0
	for _, a := range largest {
		if a.at.Sub(largest[0].at) < 100*time.Millisecond {
			burst++
		}
	}
	t.Logf("largest second: %d calls in %v, %d of them in the first 100 ms, %v after the engine became ready, by gateway %s; %d calls answered in %v",
		len(largest), largest[len(largest)-1].at.Sub(largest[0].at), burst, largest[0].at.Sub(ready), c.perGateway(largest), served, servingTime)
	callTime := prefillTime + (answerEvents-1)*eventInterval
	g.Expect(served).To(BeNumerically(">=", engineSlots*int(servingTime/time.Millisecond)/int(callTime/time.Millisecond)/3), "a third of what the engine can run")
	g.Expect(len(largest)).To(BeNumerically("<=", coldPerS*coldOver+coldSlack))
}
