package faulttest

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// loadBalancer returns a function that picks the entries in turn and skips those that
// are not ready.
func (c *cluster) loadBalancer() func(n int) *entryVM {
	return func(n int) *entryVM {
		for i := range c.entries {
			e := c.entries[(n+i)%len(c.entries)]
			response, err := client.Get("http://" + e.caller + "/readyz")
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return e
			}
		}
		return c.entries[0]
	}
}

// Guards against requests that fail or run twice while all processes are replaced one
// after the other.
func TestRollingReplacementCutsNoRequest(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t)
	c.addEntry("a")
	c.addEntry("a")
	for range 3 {
		c.addEngine("a", "main", "-warm")
	}
	c.addService("a", "desk")
	c.addService("a", "desk")
	c.deploy(c.addVersion("v1", 1<<20, 1), "a")
	c.waitServing("v1", 20*time.Second)
	for _, e := range c.entries {
		c.waitAnswering(e, "v1")
	}
	chats, stopChats := background(4, c.loadBalancer(), shortChat)
	stocks, stopStocks := background(2, c.loadBalancer(), readStock)
	var logged atomic.Int32
	orders, stopOrders := background(2, c.loadBalancer(), func(e *entryVM, n int) answer {
		time.Sleep(10 * time.Millisecond)
		a := call(e, http.MethodPost, "desk", "/orders", fmt.Sprintf("order-%d", n))
		if !a.complete && logged.Add(1) <= 2 {
			c.logTimeline(a.request)
		}
		return a
	})
	time.Sleep(500 * time.Millisecond)
	for _, p := range c.productProcs() {
		g.Expect(p.terminate(20*time.Second)).To(Succeed(), p.name)
		p.run()
		c.waitSettled()
	}
	stopChats()
	stopStocks()
	stopOrders()
	for _, report := range []*loadReport{chats, stocks, orders} {
		report.requireNoBrokenAnswers(t)
		g.Expect(report.reasons).To(BeEmpty())
	}
	for key, count := range c.ledger() {
		g.Expect(key == "" || count == 1).To(BeTrue(), "key %s ran %d times", key, count)
	}
}

// productProcs returns all processes of the product, without the stand-ins.
func (c *cluster) productProcs() []*proc {
	var procs []*proc
	for _, e := range c.entries {
		procs = append(procs, e.proc)
	}
	for _, e := range c.engines {
		procs = append(procs, e.proc)
	}
	for _, e := range c.services {
		procs = append(procs, e.proc)
	}
	return procs
}

// waitSettled waits until every entry is ready, and then gives the endpoints time to
// report.
func (c *cluster) waitSettled() {
	c.t.Helper()
	c.eventually(10*time.Second, "ready entries", func() bool {
		for _, e := range c.entries {
			response, err := client.Get("http://" + e.caller + "/readyz")
			if err != nil {
				return false
			}
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	time.Sleep(1500 * time.Millisecond)
}
