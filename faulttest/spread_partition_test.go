package faulttest

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
)

// Sizes for the tests that lose a link or a zone during a spread.
const (
	// partitionEnginesPerZone is the number of engines in each of the three zones.
	// Each zone is a region of its own.
	partitionEnginesPerZone = 2
	// partitionRegionRate is the rate of the link between two regions, in KiB per
	// second.
	partitionRegionRate = 2048
	partitionTime       = 2 * time.Second
	// regionOverhead is what a link between regions may carry in addition to one
	// copy, in copies.
	regionOverhead = 0.1
)

// relayedFleet starts engines without weights in three zones, with relays between
// all VMs.
func relayedFleet(t *testing.T) (*cluster, catalogue.Version) {
	t.Helper()
	c := newCluster(t)
	c.relayed = true
	c.slowOrigin()
	zones := []core.ZoneID{"a", "b", "c"}
	for _, zone := range zones {
		c.addEntry(zone)
	}
	for _, zone := range zones {
		for range partitionEnginesPerZone {
			c.addSpreadEngine(zone, "-region-rate", fmt.Sprint(partitionRegionRate))
		}
	}
	v1 := c.addSpreadVersion("v1", 1)
	c.declareVMs()
	time.Sleep(2 * time.Second) // Time for every process to read the VM list.
	c.set = catalogue.Set{
		Models:   []catalogue.Model{{Name: "assistant"}},
		Versions: []catalogue.Version{v1},
		Pools:    []catalogue.Pool{{Name: "main", Model: "assistant", Version: "v1", Zones: zones, MaxSwitching: partitionEnginesPerZone}},
		Routes:   []catalogue.Route{{Name: "assistant", Model: "assistant", Pool: "main"}},
	}
	for _, zone := range zones {
		c.set.Zones = append(c.set.Zones, catalogue.Zone{Name: zone, Region: regionOf(zone)})
	}
	return c, v1
}

// regionCopies returns the highest number of bytes that a link between regions
// carried, in copies of the weights.
func (c *cluster) regionCopies() float64 {
	c.t.Helper()
	most := int64(0)
	for direction, bytes := range c.regionBytes() {
		if direction[0] != direction[1] {
			most = max(most, bytes)
		}
	}
	return float64(most) / spreadBytes
}

// regionBytes returns the bytes that all relays forwarded, by source and target
// region.
func (c *cluster) regionBytes() map[[2]core.RegionID]int64 {
	total := map[[2]core.RegionID]int64{}
	for id, r := range c.peerRelays {
		target := regionOf(c.vmZone(id))
		for source, bytes := range r.forwardedBytes() {
			far := regionOf(c.zoneOf[source])
			total[[2]core.RegionID{far, target}] += bytes[0]
			total[[2]core.RegionID{target, far}] += bytes[1]
		}
	}
	return total
}

// Guards against a spread that stays incomplete, or that fetches too much from the
// origin, when a zone is partitioned during the spread.
func TestAZoneCutOffInMidSpreadEndsWhole(t *testing.T) {
	g := NewWithT(t)
	c, v1 := relayedFleet(t)
	times := newReplicas()
	c.publish()
	c.eventually(spreadLimit, "a third of a copy from the origin", func() bool { return c.copies("v1") >= 0.3 })
	c.partition("c")
	time.Sleep(partitionTime)
	c.healPartitions()
	times.await(c, "v1")
	t.Log("zone partitioned for " + partitionTime.String() + ": " + times.summary(len(c.engines)))
	t.Logf("origin sent %.2f copies; the busiest link between regions carried %.2f", c.copies("v1"), c.regionCopies())
	c.requireIntendedWeights(v1)
	g.Expect(c.copies("v1")).To(BeNumerically("<=", originCopiesFaults))
}

// Guards against a spread that hangs when the connections to two VMs stay open but
// drop all data.
func TestASilentLinkInMidSpreadEndsWhole(t *testing.T) {
	g := NewWithT(t)
	c, v1 := relayedFleet(t)
	times := newReplicas()
	c.publish()
	c.eventually(spreadLimit, "a third of a copy from the origin", func() bool { return c.copies("v1") >= 0.3 })
	// The existing connections to two VMs drop all data from now on; new ones work.
	for _, e := range []*endpointVM{c.engines[0], c.engines[partitionEnginesPerZone]} {
		c.peerRelays[e.vm.ID].blackhole()
	}
	times.await(c, "v1")
	t.Log("connections to two VMs blackholed: " + times.summary(len(c.engines)))
	t.Logf("origin sent %.2f copies; the busiest link between regions carried %.2f", c.copies("v1"), c.regionCopies())
	c.requireIntendedWeights(v1)
	g.Expect(c.copies("v1")).To(BeNumerically("<=", originCopiesFaults))
}

func TestASpreadCarriesOneCopyAcrossEachRegionLink(t *testing.T) {
	g := NewWithT(t)
	c, v1 := relayedFleet(t)
	times := newReplicas()
	c.publish()
	times.await(c, "v1")
	t.Log(times.summary(len(c.engines)))
	t.Logf("the busiest link between regions carried %.2f copies", c.regionCopies())
	c.requireIntendedWeights(v1)
	g.Expect(c.regionCopies()).To(BeNumerically("<=", 1+regionOverhead))
	g.Expect(c.copies("v1")).To(BeNumerically("<=", originCopies))
}
