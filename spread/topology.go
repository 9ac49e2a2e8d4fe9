package spread

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
)

// ranked is a machine with its hash for one version. Machines are ordered by
// this hash.
type ranked struct {
	member Member
	hash   uint64
}

// topology is derived from the member list. Machines with the same list derive
// the same topology.
type topology struct {
	self Member
	// root is the region whose heads fetch from the origin.
	root core.RegionID
	// others are the remaining regions, sorted by name.
	others []core.RegionID
	// regionHeads are the heads and gateways of each region.
	regionHeads map[core.RegionID]*regionHeads
	// zones lists the machines of each zone of this region, ordered by hash and
	// without relays.
	zones map[core.ZoneID][]core.VMID
	// zoneNames are the zones of this region, sorted.
	zoneNames []core.ZoneID
	// index is each machine's index in the list of its zone.
	index map[core.VMID]int
	// zoneOf is the zone of every machine.
	zoneOf map[core.VMID]core.ZoneID
	// region lists the machines of this machine's region, except self.
	region []core.VMID
	// relays are the relays of this machine's zone, or of its region when the
	// zone has none, ordered by hash.
	relays []core.VMID
	// holders are the machines of this region that have all chunks.
	holders []core.VMID
}

// regionHeads are the machines that bring chunks into a region and send them
// out of it: its relays, or its other machines when it has no relays or none of
// them responds.
type regionHeads struct {
	relays []core.VMID
	// relayLists is used while a relay responds, machineLists while none does.
	relayLists, machineLists headLists
	// silent is set while no relay responds.
	silent bool
}

type headLists struct {
	// heads has HeadsPerRegion slots.
	heads []Member
	// gateways are the heads that send to this machine's region.
	gateways []Member
}

func (h *regionHeads) lists() *headLists {
	if len(h.relays) == 0 || h.silent && len(h.machineLists.heads) > 0 {
		return &h.machineLists
	}
	return &h.relayLists
}

func newTopology(version core.VersionID, self Member, originRegion core.RegionID, members []Member) *topology {
	t := &topology{self: self, regionHeads: map[core.RegionID]*regionHeads{}, zoneOf: make(map[core.VMID]core.ZoneID, len(members)+1)}
	byRegion := map[core.RegionID][]ranked{}
	for _, m := range append(slices.Clone(members), self) {
		if _, seen := t.zoneOf[m.ID]; seen {
			continue
		}
		if m.ID == self.ID {
			m = self
		}
		t.zoneOf[m.ID] = m.Zone
		r := ranked{member: m, hash: hashMember(version, m.ID)}
		byRegion[m.Region] = append(byRegion[m.Region], r)
	}
	t.orderZones(byRegion[self.Region])
	t.others = slices.Sorted(maps.Keys(byRegion))
	for region, machines := range byRegion {
		t.regionHeads[region] = t.regionHeadsOf(machines)
	}
	t.chooseRelays(byRegion[self.Region])
	t.chooseRoot(version, originRegion)
	return t
}

// regionHeadsOf picks the heads and gateways of a region.
func (t *topology) regionHeadsOf(machines []ranked) *regionHeads {
	relays, others := splitRelays(machines)
	h := &regionHeads{relayLists: t.listsOf(relays), machineLists: t.listsOf(others)}
	for _, r := range relays {
		h.relays = append(h.relays, r.member.ID)
	}
	return h
}

func (t *topology) listsOf(machines []ranked) headLists {
	heads := pickHeads(machines)
	return headLists{heads: heads, gateways: gatewaysOf(heads, t.others, t.self.Region)}
}

// updateSilent marks the regions in which no relay responds.
func (t *topology) updateSilent(silent func(core.VMID) bool) {
	for _, h := range t.regionHeads {
		h.silent = !slices.ContainsFunc(h.relays, func(id core.VMID) bool { return id == t.self.ID || !silent(id) })
	}
}

// relaysRespond reports whether this machine fetches its chunks from relays.
func (t *topology) relaysRespond() bool {
	return len(t.relays) > 0 && !t.regionHeads[t.self.Region].silent
}

func (t *topology) headsOf(region core.RegionID) []Member {
	if h := t.regionHeads[region]; h != nil {
		return h.lists().heads
	}
	return nil
}

func (t *topology) gatewaysOf(region core.RegionID) []Member {
	if h := t.regionHeads[region]; h != nil {
		return h.lists().gateways
	}
	return nil
}

// orderZones groups the machines of this region by zone, ordered by hash.
func (t *topology) orderZones(machines []ranked) {
	sorted := slices.Clone(machines)
	slices.SortFunc(sorted, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member.ID, b.member.ID))
	})
	t.zones = map[core.ZoneID][]core.VMID{}
	t.index = make(map[core.VMID]int, len(sorted))
	for _, r := range sorted {
		if r.member.ID != t.self.ID {
			t.region = append(t.region, r.member.ID)
			if r.member.HasAllChunks {
				t.holders = append(t.holders, r.member.ID)
			}
		}
		if r.member.Relay {
			continue
		}
		zone := r.member.Zone
		t.index[r.member.ID] = len(t.zones[zone])
		t.zones[zone] = append(t.zones[zone], r.member.ID)
	}
	t.zoneNames = slices.Sorted(maps.Keys(t.zones))
}

// chooseRelays sets the relays that serve this machine.
func (t *topology) chooseRelays(machines []ranked) {
	relays, _ := splitRelays(machines)
	slices.SortFunc(relays, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	for _, ownZone := range []bool{true, false} {
		for _, r := range relays {
			if !ownZone || r.member.Zone == t.self.Zone {
				t.relays = append(t.relays, r.member.ID)
			}
		}
		if len(t.relays) > 0 {
			return
		}
	}
}

// splitRelays separates the relays from the other machines.
func splitRelays(machines []ranked) (relays, others []ranked) {
	for _, r := range machines {
		if r.member.Relay {
			relays = append(relays, r)
		} else {
			others = append(others, r)
		}
	}
	return relays, others
}

// chooseRoot sets the origin's region as the root or, when that has no machine,
// the region with the lowest hash.
func (t *topology) chooseRoot(version core.VersionID, originRegion core.RegionID) {
	t.root = originRegion
	if _, has := t.regionHeads[originRegion]; !has {
		t.root = slices.MinFunc(t.others, func(a, b core.RegionID) int {
			return cmp.Compare(hashName(version, string(a)), hashName(version, string(b)))
		})
	}
	t.others = slices.DeleteFunc(t.others, func(r core.RegionID) bool { return r == t.root })
}

// Heads returns the machines of a region that fetch chunks from outside the
// region, one for each of HeadsPerRegion slots. A region with relays uses only
// its relays. Every machine is picked once before any is picked twice, so that
// the slots are distributed evenly.
func Heads(version core.VersionID, region core.RegionID, members []Member) []Member {
	var machines []ranked
	seen := map[core.VMID]bool{}
	for _, m := range members {
		if m.Region == region && !seen[m.ID] {
			seen[m.ID] = true
			machines = append(machines, ranked{member: m, hash: hashMember(version, m.ID)})
		}
	}
	if relays, _ := splitRelays(machines); len(relays) > 0 {
		machines = relays
	}
	return pickHeads(machines)
}

// Gateways returns the machines of one region that may send chunks to another:
// a subset of the heads, without duplicates. A requester tries them in order,
// from a start that depends on the chunk.
func Gateways(version core.VersionID, from, to core.RegionID, members []Member) []Member {
	var names []core.RegionID
	for _, m := range members {
		names = append(names, m.Region)
	}
	slices.Sort(names)
	return gatewaysOf(Heads(version, from, members), slices.Compact(names), to)
}

// gatewaysOf returns the heads in the slots that are assigned to the receiving
// region.
func gatewaysOf(heads []Member, regions []core.RegionID, to core.RegionID) []Member {
	place, known := slices.BinarySearch(regions, to)
	if !known || len(heads) == 0 {
		return nil
	}
	var gateways []Member
	perLink := GatewaysPerLink(len(regions))
	for i := range perLink {
		gateway := heads[(place*perLink+i)%len(heads)]
		if !slices.Contains(gateways, gateway) {
			gateways = append(gateways, gateway)
		}
	}
	return gateways
}

func pickHeads(machines []ranked) []Member {
	if len(machines) == 0 {
		return nil
	}
	heads := make([]Member, 0, HeadsPerRegion)
	picked := make([]bool, len(machines))
	left := len(machines)
	for slot := range HeadsPerRegion {
		if left == 0 {
			clear(picked)
			left = len(machines)
		}
		best := bestForSlot(machines, picked, slot)
		picked[best] = true
		left--
		heads = append(heads, machines[best].member)
	}
	return heads
}

func bestForSlot(machines []ranked, picked []bool, slot int) int {
	best := -1
	var bestHash uint64
	for i, machine := range machines {
		if picked[i] {
			continue
		}
		hash := mix(machine.hash, uint64(slot)|slotSalt)
		if best < 0 || hash < bestHash || hash == bestHash && machine.member.ID < machines[best].member.ID {
			best, bestHash = i, hash
		}
	}
	return best
}

// firstRegion returns the region that gets a chunk first after the root and
// sends it on to the others. The first regions alternate, so that every link
// between two regions carries an equal part of the weights.
func (t *topology) firstRegion(chunk int) core.RegionID {
	if len(t.others) == 0 {
		return t.root
	}
	return t.others[chunk%len(t.others)]
}

// chunksPerHead returns how many consecutive chunks have the same head: one for
// each possible first region.
func (t *topology) chunksPerHead() int { return max(len(t.others), 1) }

// headOrder returns the machine at a position of a chunk's head order in a
// region; false when the region has no heads.
func (t *topology) headOrder(region core.RegionID, chunk, position int) (Member, bool) {
	heads := t.headsOf(region)
	if len(heads) == 0 {
		return Member{}, false
	}
	start := chunk / t.chunksPerHead()
	return heads[(start+position)%len(heads)], true
}

// headRank returns the rank of self among the first distinct heads of a chunk
// in its region, or limit when it is not among the first limit heads.
func (t *topology) headRank(chunk, limit int) int {
	rank := 0
	var before [HeadsPerRegion]core.VMID
	for position := 0; position < HeadsPerRegion && rank < limit; position++ {
		head, ok := t.headOrder(t.self.Region, chunk, position)
		if !ok {
			return limit
		}
		if head.ID == t.self.ID {
			return rank
		}
		if !slices.Contains(before[:rank], head.ID) {
			before[rank] = head.ID
			rank++
		}
	}
	return limit
}

// slotSalt keeps the salts of slots distinct from small numbers.
const slotSalt = 1 << 40

func hashMember(version core.VersionID, id core.VMID) uint64 { return hashName(version, string(id)) }

func hashName(version core.VersionID, name string) uint64 {
	return xxh3.HashStringSeed(name, xxh3.HashString(string(version)))
}

// mix returns the hash of a machine for one slot. It is the finalizer of SplitMix64.
func mix(hash, salt uint64) uint64 {
	x := hash + salt*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
