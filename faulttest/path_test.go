package faulttest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
)

// deskCalls are the call rules of the test service.
var deskCalls = []catalogue.Call{
	{Methods: []string{"GET"}, Prefix: "/stock", Idempotent: true},
	{Prefix: "/orders", Priority: "dispatch"},
}

// deploy publishes a configuration with zones, one pool with version and one service.
func (c *cluster) deploy(version catalogue.Version, zones ...core.ZoneID) {
	c.t.Helper()
	c.set = catalogue.Set{
		Models:   []catalogue.Model{{Name: "assistant"}},
		Versions: []catalogue.Version{version},
		Pools:    []catalogue.Pool{{Name: "main", Model: "assistant", Version: version.Name, Zones: zones}},
		Services: []catalogue.Service{{Name: "desk", Zones: zones, Calls: deskCalls}},
		Routes: []catalogue.Route{
			{Name: "assistant", Model: "assistant", Pool: "main", Priority: "briefing"},
			{Name: "desk", Service: "desk"},
		},
		Teams: []catalogue.Team{{Name: "ploughs", Weight: 1}},
	}
	for _, zone := range zones {
		c.set.Zones = append(c.set.Zones, catalogue.Zone{Name: zone, Region: regionOf(zone)})
	}
	c.declareVMs()
	c.publish()
}

// waitServing waits until every engine serves version.
func (c *cluster) waitServing(version core.VersionID, within time.Duration) {
	c.t.Helper()
	c.eventually(within, "version "+string(version)+" on every engine", func() bool {
		for _, e := range c.engines {
			var status struct{ Version core.VersionID }
			c.getJSON(e.url+"/control/status", &status)
			if status.Version != version {
				return false
			}
		}
		return true
	})
}

// waitAnswering waits until the entry answers model calls with version.
func (c *cluster) waitAnswering(e *entryVM, version core.VersionID) {
	c.t.Helper()
	c.eventually(10*time.Second, "answers of "+string(version), func() bool {
		a := chat(e, "ready?", 2)
		return a.complete && a.version == version
	})
}

// ledger returns the number of executions of each key, summed over all service VMs.
func (c *cluster) ledger() map[string]int {
	c.t.Helper()
	total := map[string]int{}
	for _, s := range c.services {
		var one map[string]int
		c.getJSON(s.url+"/admin/ledger", &one)
		for key, count := range one {
			total[key] += count
		}
	}
	return total
}

func TestWholePathInSeparateProcesses(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t)
	a, b := c.addEntry("a"), c.addEntry("b")
	for _, zone := range []core.ZoneID{"a", "b"} {
		c.addEngine(zone, "main")
		c.addEngine(zone, "main")
		c.addService(zone, "desk")
	}
	version := c.addVersion("v1", 4<<20, 1)
	c.deploy(version, "a", "b")
	c.waitServing("v1", 30*time.Second)
	for _, e := range []*entryVM{a, b} {
		c.waitAnswering(e, "v1")
		got := chat(e, "Brief me on the Coquihalla.", 20)
		g.Expect(got.complete).To(BeTrue(), "%+v", got)
		stock := call(e, http.MethodGet, "desk", "/stock/salt", "")
		g.Expect(stock.complete).To(BeTrue(), "%+v", stock)
	}
	for i := range 10 {
		key := fmt.Sprintf("order-%d", i)
		first := call(a, http.MethodPost, "desk", "/orders", key)
		g.Expect(first.complete).To(BeTrue(), "%+v", first)
		again := call(b, http.MethodPost, "desk", "/orders", key)
		g.Expect(again.complete).To(BeTrue(), "%+v", again)
		g.Expect(again.body).To(Equal(first.body))
	}
	for key, count := range c.ledger() {
		g.Expect(count == 1 || key == "").To(BeTrue(), "key %q ran %d times", key, count)
	}
	missing := call(a, http.MethodPost, "desk", "/orders", "")
	g.Expect(missing.outcome).To(Equal("not_run"))
	g.Expect(missing.reason).To(Equal(core.ReasonKeyMissing))
}
