package faulttest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stopLimit is the -stop-timeout of the processes plus the time for a process to exit.
const stopLimit = 21 * time.Second

// Guards against planned stops during a platform outage that interrupt requests or
// exceed the stop timeout. The claims cannot be handed over during the outage; their
// calls must still run at most once.
func TestPlannedStopsInAnOutageAreGraceful(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := newCluster(t)
	c.addEntry("a")
	c.addEntry("a")
	for range 2 {
		c.addEngine("a", "main", "-warm")
		c.addService("a", "desk")
	}
	c.deploy(c.addVersion("v1", 1<<20, 1), "a")
	c.waitServing("v1", 20*time.Second)
	for _, e := range c.entries {
		c.waitAnswering(e, "v1")
	}
	g.Expect(c.orderAll(20)).To(HaveEach(true), "orders before the outage")
	chats, stopChats := background(4, c.loadBalancer(), shortChat)
	stocks, stopStocks := background(2, c.loadBalancer(), readStock)
	c.setFaults(c.platform, map[string]any{"outage": true})
	time.Sleep(500 * time.Millisecond)
	for _, p := range []*proc{c.entries[1].proc, c.engines[1].proc, c.services[1].proc} {
		started := time.Now()
		g.Expect(p.terminate(stopLimit)).To(Succeed(), p.name)
		t.Logf("%s ended after %s", p.name, time.Since(started).Round(time.Millisecond))
	}
	c.setFaults(c.platform, map[string]any{})
	time.Sleep(time.Second)
	stopChats()
	stopStocks()
	chats.requireNoBrokenAnswers(t)
	stocks.requireNoBrokenAnswers(t)
	g.Expect(chats.reasons).To(BeEmpty())
	g.Expect(stocks.reasons).To(BeEmpty())
	c.orderAll(40)
	for key, count := range c.ledger() {
		g.Expect(key == "" || count == 1).To(BeTrue(), "key %s ran %d times", key, count)
	}
}

// orderAll sends count orders, with the same keys each time it is called, and reports
// which were answered.
func (c *cluster) orderAll(count int) []bool {
	answered := make([]bool, count)
	for n := range count {
		answered[n] = call(c.entries[0], http.MethodPost, "desk", "/orders", fmt.Sprintf("stop-order-%d", n)).complete
	}
	return answered
}
