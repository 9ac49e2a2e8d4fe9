package spread

import (
	"slices"

	"github.com/zinniaseam/zinniaseam/core"
)

// zoneArity is how many zones the root machine of a zone serves.
const zoneArity = 2

// tree arranges the machines of one region for each chunk. The root is the
// chunk's head. The head's successor asks it directly, so that the successor is
// the first to detect its failure. The remaining machines of each zone form a
// k-ary tree over the zone's machines, rotated by a start that depends on the
// chunk. Over all chunks each machine takes each position equally often, and so
// sends the same amount. The roots of the zone trees form a tree too, with the
// zone of the head first.
type tree struct {
	topology *topology
	arity    int
}

// places is the order of the machines of one zone for one chunk: rotated by
// start, without the excluded machines.
type places struct {
	machines []core.VMID
	start    int
	// excluded holds the rotated positions of the head and its successor,
	// ascending.
	excluded [2]int
	count    int
}

// ancestors appends the machines between self and the chunk's head to path, the
// parent first and the head last.
func (t *tree) ancestors(path []core.VMID, chunk int) []core.VMID {
	self := t.topology.self
	head, successor := t.leaders(chunk)
	if t.topology.relaysRespond() {
		return t.relaysAbove(path, chunk, head)
	}
	switch self.ID {
	case head.ID:
		return path
	case successor.ID:
		return append(path, head.ID)
	}
	own := t.places(self.Zone, chunk, head.ID, successor.ID)
	for position := own.positionOf(t.topology.index[self.ID]); position > 0; {
		position = (position - 1) / t.arity
		path = append(path, own.at(position))
	}
	return append(t.zoneRoots(path, chunk, head, successor), head.ID)
}

// relaysAbove appends the relays that a machine asks for a chunk. Each machine
// starts with a different relay, so that machines that need the same chunk at
// once do not all wait for one relay. A relay asks only the head.
func (t *tree) relaysAbove(path []core.VMID, chunk int, head Member) []core.VMID {
	self := t.topology.self
	switch {
	case self.ID == head.ID:
		return path
	case self.Relay:
		return append(path, head.ID)
	}
	relays := t.topology.relays
	start := chunk + t.topology.index[self.ID]
	for i := range relays {
		path = append(path, relays[(start+i)%len(relays)])
	}
	if !slices.Contains(relays, head.ID) {
		path = append(path, head.ID)
	}
	return path
}

// zoneRoots appends the root machines of the zones between this zone and the
// zone of the head.
func (t *tree) zoneRoots(path []core.VMID, chunk int, head, successor Member) []core.VMID {
	zones := t.topology.zoneNames
	first := slices.Index(zones, head.Zone)
	position := (slices.Index(zones, t.topology.self.Zone) - first + len(zones)) % len(zones)
	for position > 0 {
		position = (position - 1) / zoneArity
		zone := t.places(zones[(first+position)%len(zones)], chunk, head.ID, successor.ID)
		if zone.len() > 0 {
			path = append(path, zone.at(0))
		}
	}
	return path
}

// leaders returns the chunk's head in this region and its successor.
func (t *tree) leaders(chunk int) (head, successor Member) {
	region := t.topology.self.Region
	head, _ = t.topology.headOrder(region, chunk, 0)
	for position := 1; position < HeadsPerRegion; position++ {
		next, _ := t.topology.headOrder(region, chunk, position)
		if next.ID != head.ID {
			return head, next
		}
	}
	return head, Member{}
}

func (t *tree) places(zone core.ZoneID, chunk int, excluded ...core.VMID) places {
	p := places{machines: t.topology.zones[zone]}
	n := len(p.machines)
	// Consecutive chunks start an equal part of the zone apart, so that the
	// machines with children differ from chunk to chunk. Each round over the
	// heads shifts the start by one, so that every head is combined with every
	// start.
	p.start = (chunk%t.arity*n/t.arity + chunk/t.arity + chunk/HeadsPerRegion) % n
	for _, id := range excluded {
		if index, ok := t.topology.index[id]; ok && index < n && p.machines[index] == id {
			p.excluded[p.count] = p.rotated(index)
			p.count++
		}
	}
	slices.Sort(p.excluded[:p.count])
	return p
}

func (p *places) len() int { return len(p.machines) - p.count }

func (p *places) rotated(index int) int {
	return (index - p.start + len(p.machines)) % len(p.machines)
}

// positionOf returns the position of the machine at an index of the zone's
// list.
func (p *places) positionOf(index int) int {
	rotated := p.rotated(index)
	position := rotated
	for _, excluded := range p.excluded[:p.count] {
		if excluded < rotated {
			position--
		}
	}
	return position
}

// at returns the machine at a position.
func (p *places) at(position int) core.VMID {
	for _, excluded := range p.excluded[:p.count] {
		if excluded <= position {
			position++
		}
	}
	return p.machines[(position+p.start)%len(p.machines)]
}
