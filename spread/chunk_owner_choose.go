package spread

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// choose returns the source that a chunk is asked from next: the nearest
// ancestor in the zone's tree that is not under suspicion, then the head.
func (p *chunkOwner) choose(now time.Time, chunk int) (Source, fetchClass) {
	p.chunks[chunk].guess = false
	p.noteSilent(now, chunk)
	head, ok := p.effectiveHead(now, chunk)
	if ok && head.ID == p.start.Self.ID {
		return p.chooseAsHead(now, chunk)
	}
	p.path = p.tree.ancestors(p.path[:0], chunk)
	if ok && (len(p.path) == 0 || p.path[len(p.path)-1] != head.ID) {
		p.path = append(p.path, head.ID)
	}
	skip := int(p.chunks[chunk].climb) % (len(p.path) + 1)
	for _, candidate := range p.path {
		if p.suspects.has(candidate, now) {
			continue
		}
		if skip == 0 {
			return Source{Peer: candidate}, classPeer
		}
		skip--
	}
	return p.chooseFallback(now, chunk)
}

// noteSilent notes which regions do without their relays. One chunk at a time
// finds each relay past its hold-off again, so that a chunk that failed often
// does without all that failed, every other time.
func (p *chunkOwner) noteSilent(now time.Time, chunk int) {
	attempts := p.chunks[chunk].attempts
	without := attempts >= ownerRelayPatience && attempts%2 == 1
	p.topology.noteSilent(func(id core.VMID) bool {
		_, failed := p.suspects[id]
		return p.suspects.has(id, now) || without && failed
	})
}

// effectiveHead returns the first head of the chunk in this region that is not
// under suspicion; its successors come in at once when it fails.
func (p *chunkOwner) effectiveHead(now time.Time, chunk int) (Member, bool) {
	for position := range HeadsPerRegion {
		head, ok := p.topology.headOrder(p.start.Self.Region, chunk, position)
		if !ok {
			return Member{}, false
		}
		if !p.suspects.has(head.ID, now) {
			return head, true
		}
	}
	return Member{}, false
}

// chooseAsHead returns where the head of this region takes the chunk from.
func (p *chunkOwner) chooseAsHead(now time.Time, chunk int) (Source, fetchClass) {
	switch p.chunks[chunk].attempts % ownerGuessEach {
	case ownerGuessEach - 1:
		// The chunk may be in the region already, from a head that died.
		return p.randomInRegion(now, chunk)
	case ownerGuessEach - 2:
		if far, ok := p.anyOtherRegion(now, chunk); ok {
			return Source{Peer: far}, classCross
		}
	}
	if holder, ok := p.holder(now, chunk); ok {
		return Source{Peer: holder}, classPeer
	}
	if p.mayAskOrigin(chunk) {
		if !p.suspects.has(originSuspect, now) {
			return Source{}, classOrigin
		}
		return p.withoutOrigin(now, chunk)
	}
	if upstream, ok := p.upstream(now, chunk); ok {
		return Source{Peer: upstream}, classCross
	}
	if far, ok := p.anyOtherRegion(now, chunk); ok {
		return Source{Peer: far}, classCross
	}
	return p.randomInRegion(now, chunk)
}

// holder returns a machine of this region that holds the chunk already, for the
// first attempts: a version that has spread before needs no link between regions.
func (p *chunkOwner) holder(now time.Time, chunk int) (core.VMID, bool) {
	holders := p.topology.holders
	if len(holders) == 0 || p.chunks[chunk].attempts >= ownerHolderTries {
		return "", false
	}
	for i := range holders {
		if id := holders[(chunk+i)%len(holders)]; !p.suspects.has(id, now) {
			return id, true
		}
	}
	return "", false
}

// farShare is how often, one time in so many, a machine that does without the
// origin asks another region.
const farShare = 4

// withoutOrigin serves a head while the origin is under suspicion: the chunk may
// have come in elsewhere.
func (p *chunkOwner) withoutOrigin(now time.Time, chunk int) (Source, fetchClass) {
	if len(p.topology.region) == 0 || p.chance.IntN(farShare) == 0 {
		if far, ok := p.anyOtherRegion(now, chunk); ok {
			return Source{Peer: far}, classCross
		}
	}
	return p.randomInRegion(now, chunk)
}

// mayAskOrigin holds for the first ranks of the root region and, once it has
// failed for long, of the chunk's first region.
func (p *chunkOwner) mayAskOrigin(chunk int) bool {
	switch p.start.Self.Region {
	case p.topology.root:
		return p.topology.headRank(chunk, ownerRootRanks) < ownerRootRanks
	case p.topology.firstRegion(chunk):
		patient := p.chunks[chunk].attempts >= ownerFirstPatience
		return patient && p.topology.headRank(chunk, ownerFirstRanks) < ownerFirstRanks
	default:
		return false
	}
}

// upstream returns a gateway of the chunk's first region, or of the root for the
// first region itself. When the first region has nothing for long, the root
// gets its turn. No region ever waits for one that may wait for it.
func (p *chunkOwner) upstream(now time.Time, chunk int) (core.VMID, bool) {
	self := p.start.Self.Region
	root, first := p.topology.root, p.topology.firstRegion(chunk)
	switch {
	case self == root:
		return "", false
	case self == first:
		return p.liveGateway(now, chunk, root)
	case p.chunks[chunk].climb%2 == 1:
		first, root = root, first
	}
	if head, ok := p.liveGateway(now, chunk, first); ok {
		return head, true
	}
	return p.liveGateway(now, chunk, root)
}

// liveGateway returns a chunk's gateway in a region or, when that is under
// suspicion, one of the others. The chunks of a failed gateway go to all others
// evenly.
func (p *chunkOwner) liveGateway(now time.Time, chunk int, region core.RegionID) (core.VMID, bool) {
	gateways := p.topology.gatewaysOf(region)
	n := len(gateways)
	round := chunk / p.topology.headRow()
	for i := range gateways {
		place := round
		if i > 0 {
			place += 1 + (round/n+i)%(n-1)
		}
		gateway := gateways[place%n]
		if !p.suspects.has(gateway.ID, now) {
			return gateway.ID, true
		}
	}
	return "", false
}

// anyOtherRegion returns a gateway of a region taken by chance.
func (p *chunkOwner) anyOtherRegion(now time.Time, chunk int) (core.VMID, bool) {
	regions := append([]core.RegionID{p.topology.root}, p.topology.others...)
	region := regions[p.chance.IntN(len(regions))]
	if region == p.start.Self.Region {
		return "", false
	}
	gateway, ok := p.liveGateway(now, chunk, region)
	p.chunks[chunk].guess = ok
	return gateway, ok
}

// chooseFallback serves a machine whose ancestors all failed: it asks any
// machine of the region and, when it is among the chunk's first ranks, takes
// the place of the head every other time.
func (p *chunkOwner) chooseFallback(now time.Time, chunk int) (Source, fetchClass) {
	if p.chunks[chunk].attempts%2 == 0 && p.topology.headRank(chunk, ownerRootRanks) < ownerRootRanks {
		return p.chooseAsHead(now, chunk)
	}
	return p.randomInRegion(now, chunk)
}

// randomSearch is how often randomInRegion draws before it takes a suspect.
const randomSearch = 8

func (p *chunkOwner) randomInRegion(now time.Time, chunk int) (Source, fetchClass) {
	machines := p.topology.region
	if len(machines) == 0 {
		return p.alone()
	}
	p.chunks[chunk].guess = true
	var id core.VMID
	for range randomSearch {
		id = machines[p.chance.IntN(len(machines))]
		if !p.suspects.has(id, now) {
			break
		}
	}
	return Source{Peer: id}, classGuess
}

// alone serves a machine that has its region for itself: it tries the gateways
// of the root again, suspects included.
func (p *chunkOwner) alone() (Source, fetchClass) {
	gateways := p.topology.gatewaysOf(p.topology.root)
	if p.start.Self.Region == p.topology.root || len(gateways) == 0 {
		return Source{}, classOrigin
	}
	return Source{Peer: gateways[p.chance.IntN(len(gateways))].ID}, classCross
}
