package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/reach"
)

func region(i int) core.RegionID { return core.RegionID(fmt.Sprint("r", i)) }

func enginesIn(regions, engines int) []*fleet.Endpoint {
	var list []*fleet.Endpoint
	for i := range engines {
		address := fmt.Sprintf("10.%d.%d.%d:80", i%regions, i>>8, i&255)
		list = append(list, &fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Address: address, Region: region(i % regions)})
	}
	return list
}

func open(*fleet.Endpoint) bool { return false }

// deployment sizes: this page's deployments, the size of two years, and others between.
var deployments = []struct{ regions, gateways, engines int }{
	{3, 7, 14}, {3, 38, 88}, {5, 99, 235}, {14, 340, 2300}, {1, 3, 60}, {5, 5, 100}, {6, 12, 300}, {3, 3, 60},
}

// What a gateway and an engine's agent cost grows with their region and the number of
// regions, not with the fleet.
func TestStreamsGrowWithTheRegionAndEveryEngineIsReached(t *testing.T) {
	for _, d := range deployments {
		t.Run(fmt.Sprint(d), func(t *testing.T) {
			g := NewWithT(t)
			engines := enginesIn(d.regions, d.engines)
			followers := map[fleet.EndpointID]int{}
			streams := 0
			for i := range d.gateways {
				gateway := reach.Gateway{Name: fmt.Sprint("g", i), Region: region(i % d.regions), Gateways: d.gateways}
				chosen := reach.Choose(gateway, engines, open)
				ownRegion := d.engines/d.regions + 1
				perOther := max(8, 4*ownRegion/d.gateways+1)
				g.Expect(len(chosen)).To(BeNumerically("<=", ownRegion+(d.regions-1)*perOther))
				streams += len(chosen)
				byRegion := map[core.RegionID]int{}
				for _, e := range chosen {
					followers[e.ID]++
					byRegion[e.Region]++
				}
				for r := range d.regions {
					g.Expect(byRegion[region(r)]).To(BeNumerically(">=", min(8, d.engines/d.regions)), "homes bind calls to a region")
				}
			}
			g.Expect(followers).To(HaveLen(d.engines), "every engine is in touch with a gateway")
			t.Logf("streams %d, full mesh %d", streams, d.gateways*d.engines)
		})
	}
}

// All gateways of a region are gone. Those of the others still reach nearly all its engines.
func TestEnginesOfARegionWithoutGatewaysAreReachedFromOthers(t *testing.T) {
	for _, d := range deployments {
		if d.regions == 1 {
			continue
		}
		g := NewWithT(t)
		engines := enginesIn(d.regions, d.engines)
		reached := map[fleet.EndpointID]bool{}
		orphans := 0
		for _, e := range engines {
			if e.Region == region(0) {
				orphans++
			}
		}
		for i := range d.gateways {
			if i%d.regions == 0 {
				continue
			}
			for _, e := range reach.Choose(reach.Gateway{Name: fmt.Sprint("g", i), Region: region(i % d.regions), Gateways: d.gateways}, engines, open) {
				if e.Region == region(0) {
					reached[e.ID] = true
				}
			}
		}
		g.Expect(float64(len(reached))).To(BeNumerically(">=", 0.9*float64(orphans)), "%v", d)
	}
}

func TestAnEngineThatComesOrGoesChangesOneOtherChoiceAtMost(t *testing.T) {
	g := NewWithT(t)
	engines := enginesIn(5, 235)
	gateway := reach.Gateway{Name: "g", Region: region(0), Gateways: 99}
	before := map[fleet.EndpointID]bool{}
	for _, e := range reach.Choose(gateway, engines, open) {
		before[e.ID] = true
	}
	for i := range engines {
		others := append(append([]*fleet.Endpoint(nil), engines[:i]...), engines[i+1:]...)
		added := 0
		for _, e := range reach.Choose(gateway, others, open) {
			if !before[e.ID] {
				added++
			}
		}
		g.Expect(added).To(BeNumerically("<=", 1))
	}
}

func TestEnginesThatAcceptNoWorkAreChosenLast(t *testing.T) {
	g := NewWithT(t)
	engines := enginesIn(2, 40)
	for i := range engines {
		engines[i].Draining = i >= 16
	}
	chosen := reach.Choose(reach.Gateway{Name: "g", Region: region(0), Gateways: 99}, engines, func(e *fleet.Endpoint) bool { return e.Draining })
	for _, e := range chosen {
		if e.Region == region(1) {
			g.Expect(e.Draining).To(BeFalse())
		}
	}
}

// Each gateway divides the slack for retries by the number of gateways that it counts. The
// sum of the parts stays within the slack, whatever part of the agents a gateway has heard.
func TestNoGatewayCountsFewerThanThereAreOnceItHasHeardOfItsOwnRegion(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		regions := 1 + random.IntN(14)
		perRegion := 1 + random.IntN(25)
		var all []core.RegionID
		counted := map[core.RegionID]int{}
		for r := range regions {
			all = append(all, region(r))
			if r == 0 || random.IntN(2) == 0 {
				counted[region(r)] = perRegion
			}
		}
		g.Expect(reach.CountGateways(all, counted)).To(Equal(regions * perRegion))
	}
	g.Expect(reach.CountGateways([]core.RegionID{"a", "b"}, nil)).To(BeZero())
	g.Expect(reach.CountGateways([]core.RegionID{"a", "b"}, map[core.RegionID]int{"a": 3, "b": 5})).To(Equal(8))
	g.Expect(reach.CountGateways([]core.RegionID{"a", "b", "c"}, map[core.RegionID]int{"a": 3, "b": 5})).To(Equal(13))
}
