package node

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/membership"
)

// Fan-out of one round of exchange.
const (
	// endpointFanout is the number of entries that an endpoint process reports to.
	endpointFanout = 2
	// reportersPerZone is the number of entries of a zone that send its state to
	// another zone.
	reportersPerZone = 2
	// urgentZoneFanout is the number of entries of another zone to which a reporter
	// sends a change.
	urgentZoneFanout = 2
)

// target is one peer of a round.
type target struct {
	id   core.VMID
	zone core.ZoneID
	addr string
	// secondary is set if another entry relays the endpoint's state.
	secondary bool
}

// scope determines the targets of a round of an entry.
type scope uint8

const (
	// scopeRegular selects the entries of the zone with which this entry initiates
	// the exchange, and one entry of each zone that it reports to.
	scopeRegular scope = iota
	// scopeZones selects the zones that this entry reports to, for a change that the
	// own zone already has.
	scopeZones
	// scopeAll selects all entries of the zone and the zones that this entry reports
	// to.
	scopeAll
)

// targets returns the peers of a round.
func (n *Node) targets(now time.Time, scope scope) []target {
	entries := n.View().Entries(n.VM)
	if len(entries) == 0 {
		return n.seedTargets()
	}
	own, other := splitByZone(entries, n.Zone)
	if n.Role == core.RoleEndpoint {
		return n.endpointTargets(now, scope, own, other)
	}
	targets := n.otherZoneTargets(now, scope, own, other)
	if scope == scopeZones {
		return targets
	}
	for _, vm := range own {
		if scope == scopeAll || initiates(n.VM, vm.ID) {
			targets = append(targets, targetOf(vm))
		}
	}
	return targets
}

// initiates reports whether self, rather than other, initiates the exchanges
// between two entries of a zone. An exchange sends state in both directions, so one
// side is enough.
func initiates(self, other core.VMID) bool {
	first, second := min(self, other), max(self, other)
	firstInitiates := xxh3.HashString(string(first)+"/"+string(second))&1 == 0
	return firstInitiates == (self == first)
}

// otherZoneTargets picks an entry of each zone that this entry reports to, more for
// a change. At any time all reporters pick the same entry; the next round picks the
// next one.
func (n *Node) otherZoneTargets(now time.Time, scope scope, own, other []core.VM) []target {
	count := 1
	if scope != scopeRegular {
		count = urgentZoneFanout
	}
	slot := int(now.Unix() / int64(RoundInterval/time.Second))
	live := n.liveEntries(now, own)
	var targets []target
	for zone, entries := range byZone(other) {
		if !n.isReporterTo(zone, live) {
			continue
		}
		for i := range min(count, len(entries)) {
			targets = append(targets, targetOf(entries[(slot+i)%len(entries)]))
		}
	}
	return targets
}

// liveEntries returns the entries that sent a message within
// membership.EndpointTimeout.
func (n *Node) liveEntries(now time.Time, entries []core.VM) []core.VMID {
	n.mu.Lock()
	states := n.state.Entries()
	n.mu.Unlock()
	var live []core.VMID
	for _, vm := range entries {
		if entry, known := states[vm.ID]; known && now.Sub(entry.LastSeen) <= membership.EndpointTimeout {
			live = append(live, vm.ID)
		}
	}
	return live
}

// isReporterTo reports whether this entry is one of its zone's reporters to another
// zone. The reporters are the live entries with the greatest rendezvous hashes.
func (n *Node) isReporterTo(zone core.ZoneID, live []core.VMID) bool {
	weight := func(id core.VMID) uint64 { return xxh3.HashString("report/" + string(zone) + "/" + string(id)) }
	own, ahead := weight(n.VM), 0
	for _, id := range live {
		if weight(id) > own {
			ahead++
		}
	}
	return ahead < reportersPerZone
}

// byZone groups VMs by zone, sorted by ID within each group.
func byZone(vms []core.VM) map[core.ZoneID][]core.VM {
	zones := map[core.ZoneID][]core.VM{}
	for _, vm := range vms {
		zones[vm.Zone] = append(zones[vm.Zone], vm)
	}
	for _, group := range zones {
		slices.SortFunc(group, func(a, b core.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return zones
}

// seedTargets returns all seeds except this process.
func (n *Node) seedTargets() []target {
	var targets []target
	for _, addr := range n.Seeds {
		if addr != n.PeerAddr {
			targets = append(targets, target{id: core.VMID(addr), zone: n.Zone, addr: addr})
		}
	}
	return targets
}

func splitByZone(vms []core.VM, zone core.ZoneID) (own, other []core.VM) {
	for _, vm := range vms {
		if vm.Zone == zone {
			own = append(own, vm)
		} else {
			other = append(other, vm)
		}
	}
	return own, other
}

// endpointTargets picks the entries of the zone with the greatest rendezvous
// hashes, which are the same in each round. If the zone has no entries, it picks
// random ones of other zones so that its endpoints still report. Urgent changes go
// to all of them at once; regular reports are spread over the round.
func (n *Node) endpointTargets(now time.Time, scope scope, own, other []core.VM) []target {
	sort.Slice(own, func(i, j int) bool { return n.weight(own[i].ID) > n.weight(own[j].ID) })
	if len(own) == 0 {
		return n.randomTargets(other, endpointFanout)
	}
	var targets []target
	for i, vm := range own[:min(len(own), endpointFanout)] {
		t := targetOf(vm)
		t.secondary = i > 0 && !n.reportFailed(own[0].ID)
		if scope != scopeRegular || n.reports.due(now, i) {
			targets = append(targets, t)
		}
	}
	return targets
}

// weight returns the rendezvous hash of an entry for this process.
func (n *Node) weight(id core.VMID) uint64 { return xxh3.HashString(string(n.VM) + "/" + string(id)) }

// randomTargets returns up to count random VMs. It reorders vms.
func (n *Node) randomTargets(vms []core.VM, count int) []target {
	n.mu.Lock()
	n.random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	n.mu.Unlock()
	targets := make([]target, 0, count)
	for _, vm := range vms[:min(len(vms), count)] {
		targets = append(targets, targetOf(vm))
	}
	return targets
}

func targetOf(vm core.VM) target { return target{id: vm.ID, zone: vm.Zone, addr: vm.PeerAddr} }
