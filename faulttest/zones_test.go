package faulttest

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
)

// zoneLimit is the time after an accepted zone order within which a zone must stop
// starting new requests.
const zoneLimit = 3 * time.Second

// threeZones starts an entry, two engines and a service in each of three zones, behind
// relays.
func threeZones(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t)
	c.relayed = true
	zones := []core.ZoneID{"a", "b", "c"}
	for _, zone := range zones {
		c.addEntry(zone)
	}
	for _, zone := range zones {
		c.addEngine(zone, "main", "-warm")
		c.addEngine(zone, "main", "-warm")
		c.addService(zone, "desk")
	}
	c.deploy(c.addVersion("v1", 1<<20, 1), zones...)
	c.waitServing("v1", 20*time.Second)
	for _, e := range c.entries {
		c.waitAnswering(e, "v1")
	}
	return c
}

// setZone publishes the state of a zone.
func (c *cluster) setZone(zone core.ZoneID, state catalogue.ZoneState) {
	c.t.Helper()
	for i := range c.set.Zones {
		if c.set.Zones[i].Name == zone {
			c.set.Zones[i].State = state
		}
	}
	c.publish()
}

// servedInZone returns the number of streams that the engines of a zone have served.
func (c *cluster) servedInZone(zone core.ZoneID) int {
	c.t.Helper()
	total := 0
	for _, e := range c.engines {
		if e.vm.Zone != zone {
			continue
		}
		var stats struct{ Served int }
		c.getJSON(e.url+"/admin/stats", &stats)
		total += stats.Served
	}
	return total
}

// Guards against a zone that still gets requests after it is taken out, or none after
// it is put back into service.
func TestAZoneTakenOutGetsNoNewWorkAndComesBack(t *testing.T) {
	g := NewWithT(t)
	c := threeZones(t)
	c.warmUpGates()
	chats, stopChats := background(6, c.loadBalancer(), shortChat)
	stocks, stopStocks := background(2, c.loadBalancer(), func(e *entryVM, n int) answer {
		time.Sleep(5 * time.Millisecond)
		return readStock(e, n)
	})
	time.Sleep(2 * time.Second)
	c.setZone("a", catalogue.ZoneOut)
	time.Sleep(zoneLimit)
	before := c.servedInZone("a")
	time.Sleep(2 * time.Second)
	g.Expect(c.servedInZone("a")).To(Equal(before), "new requests in a zone that is out")
	c.setZone("a", catalogue.ZoneIn)
	time.Sleep(3 * time.Second)
	g.Expect(c.servedInZone("a")).To(BeNumerically(">", before), "no new requests after the zone is back in service")
	stopChats()
	stopStocks()
	for _, report := range []*loadReport{chats, stocks} {
		report.requireNoBrokenAnswers(t)
		report.requireAnsweredShare(t, 0.99)
	}
}

// Guards against an entry with an outdated configuration that starts requests in a zone
// that is out: the gates of the zone have to reject them.
func TestAFrozenEntryThatMissedTheOrderIsRefusedByTheGate(t *testing.T) {
	g := NewWithT(t)
	c := threeZones(t)
	// The entry of zone b is frozen while the order is published, so it would still
	// send to zone a.
	c.entries[1].proc.freeze()
	c.setZone("a", catalogue.ZoneOut)
	time.Sleep(zoneLimit)
	before := c.servedInZone("a")
	// Zone b is disconnected from the platform and the origin, so that the entry cannot
	// read the order there. The endpoints of zone a stay reachable for calls.
	for _, r := range c.zoneRelays["b"] {
		r.block(func(string) bool { return true })
	}
	c.entries[1].proc.unfreeze()
	for range 20 {
		a := chat(c.entries[1], "Late order.", 3)
		g.Expect(a.complete || a.outcome == "not_run").To(BeTrue(), "%+v", a)
	}
	g.Expect(c.servedInZone("a")).To(Equal(before))
}

func TestACutOffZoneGoesOnServing(t *testing.T) {
	c := threeZones(t)
	c.warmUpGates()
	inside := c.entries[2]
	report, stop := background(3, func(int) *entryVM { return inside }, shortChat)
	stocks, stopStocks := background(1, func(int) *entryVM { return inside }, func(e *entryVM, n int) answer {
		time.Sleep(5 * time.Millisecond)
		return readStock(e, n)
	})
	outside, stopOutside := background(2, func(int) *entryVM { return c.entries[0] }, shortChat)
	time.Sleep(time.Second)
	c.partition("c")
	time.Sleep(8 * time.Second)
	c.healPartitions()
	time.Sleep(2 * time.Second)
	stop()
	stopStocks()
	stopOutside()
	for _, r := range []*loadReport{report, stocks, outside} {
		r.requireNoBrokenAnswers(t)
		r.requireAnsweredShare(t, 0.99)
	}
}

func TestAVMStartedInACutOffZoneIsConfiguredByPeers(t *testing.T) {
	g := NewWithT(t)
	c := threeZones(t)
	c.partition("c")
	joining := c.addEntry("c", "-seeds", c.entries[2].vm.PeerAddr)
	c.partition("c")
	c.eventually(6*time.Second, "answer from the joining entry", func() bool {
		return chat(joining, "Born in the cut.", 3).complete
	})
	g.Expect(joining).NotTo(BeNil())
}

func TestServingGoesOnThroughAPlatformOutage(t *testing.T) {
	c := threeZones(t)
	c.warmUpGates()
	report, stop := background(4, c.loadBalancer(), shortChat)
	time.Sleep(time.Second)
	c.setFaults(c.platform, map[string]any{"outage": true})
	time.Sleep(10 * time.Second)
	c.setFaults(c.platform, map[string]any{})
	time.Sleep(time.Second)
	stop()
	report.requireNoBrokenAnswers(t)
	report.requireAnsweredShare(t, 0.99)
}

func TestALeavingEndpointGetsNoNewWork(t *testing.T) {
	g := NewWithT(t)
	c := threeZones(t)
	c.warmUpGates()
	report, stop := background(4, c.loadBalancer(), shortChat)
	time.Sleep(time.Second)
	leaving := c.engines[0]
	for i := range c.vms {
		if c.vms[i].ID == leaving.vm.ID {
			c.vms[i].State = core.VMLeaving
		}
	}
	c.declareVMs()
	time.Sleep(zoneLimit)
	var before, after struct{ Served int }
	c.getJSON(leaving.url+"/admin/stats", &before)
	time.Sleep(2 * time.Second)
	c.getJSON(leaving.url+"/admin/stats", &after)
	stop()
	g.Expect(after.Served).To(Equal(before.Served))
	report.requireNoBrokenAnswers(t)
	report.requireAnsweredShare(t, 0.99)
}
