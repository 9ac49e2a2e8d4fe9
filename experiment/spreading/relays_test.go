package spreading

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/spread"
)

// Link rates of the users' deployments: 15 Mbit/s for the origin, 9.4 Mbit/s for
// engines' VMs and 26 Mbit/s between regions, of which weights use five sixths.
// Gateways' VMs have 1,000 Mbit/s; on large deployments most have 40 Mbit/s.
var (
	narrowLinks = Network{Origin: 15e6 / 8, Up: 9.4e6 / 8, Down: 9.4e6 / 8, Region: 2.6e6, Relay: 1000e6 / 8}
	grownLinks  = Network{Origin: 15e6 / 8, Up: 9.4e6 / 8, Down: 9.4e6 / 8, Region: 2.6e6, Relay: 40e6 / 8}
)

// relayRatio is the largest ratio of the time until all store the weights to the
// bound, as for every spread without faults. The bound is the time that one engine's
// link needs for one copy.
const relayRatio = 1.3

func TestRelaysFillTheLinksOfEngines(t *testing.T) {
	g := NewWithT(t)
	c := Case{
		Policy: chunkOwnerPolicy, Fault: FaultNone, Weights: Weights{SizeBytes: 48 * 49152, ChunkBytes: 49152},
		Shape: Shape{Machines: 24, Zones: 3, Regions: 3}, Seed: 1, Tuning: &spread.QuickTuning, Network: &narrowLinks,
	}
	plain, err := c.run()
	g.Expect(err).NotTo(HaveOccurred())
	c.Shape.Relays = 7
	relayed, err := c.run()
	g.Expect(err).NotTo(HaveOccurred())
	oneCopy := float64(c.Weights.SizeBytes) / narrowLinks.Down
	t.Logf("all machines store the weights after %.2f s without relays and %.2f s with them; a link needs %.2f s for one copy", plain.All, relayed.All, oneCopy)
	g.Expect(relayed.Finished).To(BeTrue())
	g.Expect(relayed.All).To(BeNumerically("<=", relayRatio*oneCopy))
	g.Expect(relayed.All).To(BeNumerically("<", plain.All))
	g.Expect(relayed.OriginCopies).To(BeNumerically("<=", 1.01))
	g.Expect(relayed.RegionLinkCopies).To(BeNumerically("<=", 1.01))
}

// Load pattern: all machines of a region request the same chunks from its relays in
// the same order. The relays' links keep up with the machines' links only if every
// relay serves some machines at any time, instead of one relay after the other serving
// all of them.
func TestRelaysServeTheMachinesOfARegionSideBySide(t *testing.T) {
	g := NewWithT(t)
	c := Case{
		Policy: chunkOwnerPolicy, Fault: FaultNone, Weights: Weights{SizeBytes: 48 * 49152, ChunkBytes: 49152},
		Shape: Shape{Machines: 56, Zones: 4, Regions: 4, Relays: 40}, Seed: 1, Tuning: &spread.QuickTuning, Network: &grownLinks,
	}
	result, err := c.run()
	g.Expect(err).NotTo(HaveOccurred())
	// The first chunk passes the origin's link and a gateway's share of two region
	// links before an engine's link has anything to transfer.
	chunk := float64(c.Weights.ChunkBytes)
	share := grownLinks.Region / float64(spread.GatewaysPerLink(c.Shape.Regions))
	bound := chunk/grownLinks.Origin + 2*chunk/share + float64(c.Weights.SizeBytes)/grownLinks.Down
	t.Logf("all machines store the weights after %.2f s; the links need %.2f s", result.All, bound)
	g.Expect(result.Finished).To(BeTrue())
	g.Expect(result.All).To(BeNumerically("<=", relayRatio*bound))
	g.Expect(result.OriginCopies).To(BeNumerically("<=", 1.01))
	g.Expect(result.RegionLinkCopies).To(BeNumerically("<=", 1.01))
}
