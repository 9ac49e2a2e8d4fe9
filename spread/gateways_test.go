package spread_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// TestFewRegionsShareTheirLinksWidely guards against too few gateways on a
// link: with two regions, four gateways sent 1.23 copies each and were the last
// to finish.
func TestFewRegionsShareTheirLinksWidely(t *testing.T) {
	g := NewWithT(t)
	for regions, want := range map[int]int{1: 16, 2: 16, 3: 8, 4: 5, 5: 4, 6: 4, 40: 4} {
		g.Expect(spread.GatewaysPerLink(regions)).To(Equal(want))
	}
	var members []spread.Member
	for region := range 2 {
		for i := range 64 {
			members = append(members, spread.Member{
				ID: core.VMID(fmt.Sprintf("vm-%d-%d", region, i)), Zone: "z", Region: core.RegionID(fmt.Sprintf("r%d", region)),
			})
		}
	}
	g.Expect(spread.Gateways("v1", "r0", "r1", members)).To(HaveLen(16))
}

// TestTheSenderAndTheReceiverAgreeOnTheGateways guards against duplicates in
// the member list: a sender that was listed twice did not count itself among
// the gateways.
func TestTheSenderAndTheReceiverAgreeOnTheGateways(t *testing.T) {
	g := NewWithT(t)
	var members []spread.Member
	for region := range 4 {
		for i := range 10 {
			members = append(members, spread.Member{
				ID: core.VMID(fmt.Sprintf("relay-%d-%d", region, i)), Zone: "z", Region: core.RegionID(fmt.Sprintf("r%d", region)), Relay: true,
			})
		}
	}
	want := spread.Gateways("v1", "r0", "r1", members)
	for _, twice := range members[:10] {
		g.Expect(spread.Gateways("v1", "r0", "r1", append(members, twice))).To(Equal(want), string(twice.ID))
	}
}
