package spread

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
)

// ranked is a machine with the hash that orders it for one version.
type ranked struct {
	member Member
	hash   uint64
}

// topology is what one machine works out from the member list. Machines with
// the same list work out the same.
type topology struct {
	self Member
	// root is the region whose heads draw from the origin.
	root core.RegionID
	// others are the remaining regions, in the order of their names.
	others []core.RegionID
	// entries are the ways into each region and out of it.
	entries map[core.RegionID]*regionEntries
	// zones lists the machines of each zone of this region in the order of their hashes.
	zones map[core.ZoneID][]core.VMID
	// zoneNames are the zones of this region in order.
	zoneNames []core.ZoneID
	// index is each machine's place in its zone's list.
	index map[core.VMID]int
	// zoneOf is the zone of every machine.
	zoneOf map[core.VMID]core.ZoneID
	// region holds the machines of this machine's region, without self.
	region []core.VMID
	// relays are those of this machine's zone, or of the region when the zone has
	// none, in the order of their hashes.
	relays []core.VMID
	// holders are the machines of this region that hold all chunks.
	holders []core.VMID
}

// regionEntries are the machines by which chunks come into a region and go out of
// it: its relays, and its other machines when it has none or none answers.
type regionEntries struct {
	relays []core.VMID
	// byRelays and plain are used while a relay answers and while none does.
	byRelays, plain entryLists
	// silent says that no relay answers.
	silent bool
}

type entryLists struct {
	// heads has HeadsPerRegion slots.
	heads []Member
	// gateways are the machines that send to this machine's region.
	gateways []Member
}

func (e *regionEntries) lists() *entryLists {
	if len(e.relays) == 0 || e.silent && len(e.plain.heads) > 0 {
		return &e.plain
	}
	return &e.byRelays
}

func newTopology(version core.VersionID, self Member, originRegion core.RegionID, members []Member) *topology {
	t := &topology{self: self, entries: map[core.RegionID]*regionEntries{}, zoneOf: make(map[core.VMID]core.ZoneID, len(members)+1)}
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
		t.entries[region] = t.entriesOf(machines)
	}
	t.chooseRelays(byRegion[self.Region])
	t.chooseRoot(version, originRegion)
	return t
}

// entriesOf picks the heads and gateways of a region.
func (t *topology) entriesOf(machines []ranked) *regionEntries {
	relays, plain := splitRelays(machines)
	e := &regionEntries{byRelays: t.listsOf(relays), plain: t.listsOf(plain)}
	for _, r := range relays {
		e.relays = append(e.relays, r.member.ID)
	}
	return e
}

func (t *topology) listsOf(machines []ranked) entryLists {
	heads := pickHeads(machines)
	return entryLists{heads: heads, gateways: gatewaysOf(heads, t.others, t.self.Region)}
}

// noteSilent notes the regions none of whose relays answers.
func (t *topology) noteSilent(silent func(core.VMID) bool) {
	for _, e := range t.entries {
		e.silent = !slices.ContainsFunc(e.relays, func(id core.VMID) bool { return id == t.self.ID || !silent(id) })
	}
}

// relaysAnswer reports whether chunks come to this machine by relays.
func (t *topology) relaysAnswer() bool {
	return len(t.relays) > 0 && !t.entries[t.self.Region].silent
}

func (t *topology) headsOf(region core.RegionID) []Member {
	if e := t.entries[region]; e != nil {
		return e.lists().heads
	}
	return nil
}

func (t *topology) gatewaysOf(region core.RegionID) []Member {
	if e := t.entries[region]; e != nil {
		return e.lists().gateways
	}
	return nil
}

// orderZones sorts the machines of this region into their zones.
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

// chooseRelays notes the relays that serve this machine.
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

func splitRelays(machines []ranked) (relays, plain []ranked) {
	for _, r := range machines {
		if r.member.Relay {
			relays = append(relays, r)
		} else {
			plain = append(plain, r)
		}
	}
	return relays, plain
}

// chooseRoot takes the origin's region, or the best by hash when it has no machine.
func (t *topology) chooseRoot(version core.VersionID, originRegion core.RegionID) {
	t.root = originRegion
	if _, has := t.entries[originRegion]; !has {
		t.root = slices.MinFunc(t.others, func(a, b core.RegionID) int {
			return cmp.Compare(hashName(version, string(a)), hashName(version, string(b)))
		})
	}
	t.others = slices.DeleteFunc(t.others, func(r core.RegionID) bool { return r == t.root })
}

// Heads returns the machines of a region that take chunks in from outside of it,
// one for each of HeadsPerRegion slots: its relays, where it has any. Each
// machine is picked once before any is picked twice, so that the slots are even
// over the machines.
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

// Gateways returns the machines of one region that may send chunks to another,
// some of the heads, each once. A requester asks them in turn from a place that
// depends on the chunk.
func Gateways(version core.VersionID, from, to core.RegionID, members []Member) []Member {
	var names []core.RegionID
	for _, m := range members {
		names = append(names, m.Region)
	}
	slices.Sort(names)
	return gatewaysOf(Heads(version, from, members), slices.Compact(names), to)
}

// gatewaysOf takes the heads at the places of the receiving region.
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
// passes it on to the others. Every link between two regions then carries an
// equal part of the weights.
func (t *topology) firstRegion(chunk int) core.RegionID {
	if len(t.others) == 0 {
		return t.root
	}
	return t.others[chunk%len(t.others)]
}

// headRow is how many chunks in a row have the same head: one for each region
// that they go to first.
func (t *topology) headRow() int { return max(len(t.others), 1) }

// headOrder returns the machine at a position of a chunk's head order in a region.
func (t *topology) headOrder(region core.RegionID, chunk, position int) (Member, bool) {
	heads := t.headsOf(region)
	if len(heads) == 0 {
		return Member{}, false
	}
	start := chunk / t.headRow()
	return heads[(start+position)%len(heads)], true
}

// headRank returns the position of self among the first distinct heads of a
// chunk in its region, or limit.
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

// slotSalt keeps the slots' hashes apart from small numbers.
const slotSalt = 1 << 40

func hashMember(version core.VersionID, id core.VMID) uint64 { return hashName(version, string(id)) }

func hashName(version core.VersionID, name string) uint64 {
	return xxh3.HashStringSeed(name, xxh3.HashString(string(version)))
}

// mix derives the hash of a machine for one slot.
func mix(hash, salt uint64) uint64 {
	x := hash + salt*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
