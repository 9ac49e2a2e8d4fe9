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
	// endpointFanout is how many entries an endpoint process reports to.
	endpointFanout = 2
	// reportersPerZone is how many entries of a zone tell each other zone.
	reportersPerZone = 2
	// newsTargets is how many entries of another zone a reporter tells news.
	newsTargets = 2
)

// target is one peer of a round.
type target struct {
	id   core.VMID
	zone core.ZoneID
	addr string
	// second says that another entry passes the endpoint's state on.
	second bool
}

// scope says whom a round of an entry tells.
type scope uint8

const (
	// scopeUsual is the entries of the zone to which this one opens exchanges,
	// and one entry of each zone to which it reports.
	scopeUsual scope = iota
	// scopeZones is the zones to which it reports: the own zone has the news.
	scopeZones
	// scopeAll is all entries of the zone, and the zones.
	scopeAll
)

// targets chooses the peers of one round.
func (n *Node) targets(now time.Time, scope scope) []target {
	entries := n.View().Entries(n.VM)
	if len(entries) == 0 {
		return n.seedTargets()
	}
	own, other := splitByZone(entries, n.Zone)
	if n.Role == core.RoleEndpoint {
		return n.endpointTargets(now, scope, own, other)
	}
	targets := n.otherZones(now, scope, own, other)
	if scope == scopeZones {
		return targets
	}
	for _, vm := range own {
		if scope == scopeAll || opens(n.VM, vm.ID) {
			targets = append(targets, targetOf(vm))
		}
	}
	return targets
}

// opens reports which of two entries of a zone opens the exchanges between
// them; each tells the other in them.
func opens(self, other core.VMID) bool {
	first, second := min(self, other), max(self, other)
	firstOpens := xxh3.HashString(string(first)+"/"+string(second))&1 == 0
	return firstOpens == (self == first)
}

// otherZones picks an entry of each zone to which this one reports, the same
// for all reporters at one time and the next one a round later.
func (n *Node) otherZones(now time.Time, scope scope, own, other []core.VM) []target {
	count := 1
	if scope != scopeUsual {
		count = newsTargets
	}
	slot := int(now.Unix() / int64(RoundInterval/time.Second))
	live := n.liveOf(now, own)
	var targets []target
	for zone, entries := range byZone(other) {
		if !n.reportsTo(zone, live) {
			continue
		}
		for i := range min(count, len(entries)) {
			targets = append(targets, targetOf(entries[(slot+i)%len(entries)]))
		}
	}
	return targets
}

// liveOf lists the entries that were heard lately.
func (n *Node) liveOf(now time.Time, entries []core.VM) []core.VMID {
	n.mu.Lock()
	heard := n.state.Entries()
	n.mu.Unlock()
	var live []core.VMID
	for _, vm := range entries {
		if entry, known := heard[vm.ID]; known && now.Sub(entry.LastSeen) <= membership.EndpointTimeout {
			live = append(live, vm.ID)
		}
	}
	return live
}

// reportsTo reports whether this entry is among the reporters of its zone to
// another zone: those with the greatest rendezvous hashes.
func (n *Node) reportsTo(zone core.ZoneID, live []core.VMID) bool {
	rank := func(id core.VMID) uint64 { return xxh3.HashString("report/" + string(zone) + "/" + string(id)) }
	own, ahead := rank(n.VM), 0
	for _, id := range live {
		if rank(id) > own {
			ahead++
		}
	}
	return ahead < reportersPerZone
}

// byZone groups VMs by zone, each group in order of ID.
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

// seedTargets lists the seeds but this process.
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

// endpointTargets picks fixed entries of the own zone by rendezvous hash, or
// some of other zones so that a zone without live entries still reports. All
// are told news at once; the usual reports are spread over the round.
func (n *Node) endpointTargets(now time.Time, scope scope, own, other []core.VM) []target {
	sort.Slice(own, func(i, j int) bool { return n.rank(own[i].ID) > n.rank(own[j].ID) })
	if len(own) == 0 {
		return n.sample(other, endpointFanout)
	}
	var targets []target
	for i, vm := range own[:min(len(own), endpointFanout)] {
		t := targetOf(vm)
		t.second = i > 0 && !n.unreached(own[0].ID)
		if scope != scopeUsual || n.reports.due(now, i) {
			targets = append(targets, t)
		}
	}
	return targets
}

func (n *Node) rank(id core.VMID) uint64 { return xxh3.HashString(string(n.VM) + "/" + string(id)) }

func (n *Node) sample(vms []core.VM, count int) []target {
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
