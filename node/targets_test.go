package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// entriesOf returns the nodes of entries in several zones. Each has all entries in
// its VM list and has received a message from each of them at now.
func entriesOf(zones, each int, now time.Time) []*Node {
	var vms []core.VM
	for i := range zones * each {
		vms = append(vms, core.VM{ID: core.VMID(fmt.Sprint("entry-", i)), Role: core.RoleEntry, Zone: core.ZoneID(fmt.Sprint("z", i%zones)), PeerAddr: fmt.Sprint("127.0.0.1:", i+1)})
	}
	var nodes []*Node
	for _, vm := range vms {
		n := New(Identity{VM: vm.ID, Role: vm.Role, Zone: vm.Zone, PeerAddr: vm.PeerAddr, Incarnation: 1}, logging.Discard())
		n.UpdateVMs(platform.VMListReply{Revision: 1, VMs: vms})
		for _, other := range vms {
			if other.ID != vm.ID {
				n.state.Merge(now, &peerpb.Knowledge{From: string(other.ID), Zone: string(other.Zone), FromEntry: true, Incarnation: 1})
			}
		}
		nodes = append(nodes, n)
	}
	return nodes
}

func TestEachPairOfAZoneAndEachPairOfZonesIsToldInARound(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	const zones, each = 4, 6
	nodes := entriesOf(zones, each, now)
	pairs, between := map[[2]core.VMID]int{}, map[[2]core.ZoneID]int{}
	reached := map[[2]core.ZoneID]core.VMID{}
	for _, n := range nodes {
		for _, to := range n.targets(now, scopeRegular) {
			if to.zone == n.Zone {
				pairs[[2]core.VMID{min(n.VM, to.id), max(n.VM, to.id)}]++
				continue
			}
			link := [2]core.ZoneID{n.Zone, to.zone}
			between[link]++
			if earlier := reached[link]; earlier != "" {
				g.Expect(to.id).To(Equal(earlier), "both reporters must pick the same entry")
			}
			reached[link] = to.id
		}
	}
	g.Expect(pairs).To(HaveLen(zones * each * (each - 1) / 2))
	g.Expect(pairs).To(HaveEach(1))
	g.Expect(between).To(HaveLen(zones * (zones - 1)))
	g.Expect(between).To(HaveEach(reportersPerZone))
}

func TestNewsGoToAllOfTheZoneOrOnlyToOtherZones(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	n := entriesOf(2, 4, now)[0]
	countInZone := func(targets []target) (own int) {
		for _, to := range targets {
			if to.zone == n.Zone {
				own++
			}
		}
		return own
	}
	g.Expect(countInZone(n.targets(now, scopeAll))).To(Equal(3))
	g.Expect(countInZone(n.targets(now, scopeZones))).To(BeZero())
}

func TestAReporterThatFellSilentIsReplaced(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	later := now.Add(time.Minute)
	nodes := entriesOf(2, 4, now)
	reporting := 0
	for _, n := range nodes {
		if n.Zone == "z0" && len(n.otherZoneTargets(later, scopeRegular, nil, n.View().Entries(n.VM))) > 0 {
			reporting++
		}
	}
	g.Expect(reporting).To(Equal(4), "an entry without live peers in its zone must report")
}
