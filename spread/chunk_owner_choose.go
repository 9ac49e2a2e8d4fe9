package spread

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// choose returns the next source for a chunk: the nearest ancestor in the tree
// that is not in its hold-off, then the head.
func (p *chunkOwner) choose(now time.Time, chunk int) (Source, fetchClass) {
	p.chunks[chunk].guess = false
	p.updateSilentRegions(now, chunk)
	head, ok := p.effectiveHead(now, chunk)
	if ok && head.ID == p.start.Self.ID {
		return p.chooseAsHead(now, chunk)
	}
	p.path = p.tree.ancestors(p.path[:0], chunk)
	if ok && (len(p.path) == 0 || p.path[len(p.path)-1] != head.ID) {
		p.path = append(p.path, head.ID)
	}
	skip := int(p.chunks[chunk].skippedAncestors) % (len(p.path) + 1)
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

// updateSilentRegions determines which regions have to be reached without their
// relays. A relay whose hold-off has ended is probed by one chunk at a time, and
// the same chunk may probe one failed relay after another. A chunk that has
// failed ownerRelayAttempts times therefore bypasses every relay that has
// failed, on every second attempt.
func (p *chunkOwner) updateSilentRegions(now time.Time, chunk int) {
	attempts := p.chunks[chunk].attempts
	without := attempts >= ownerRelayAttempts && attempts%2 == 1
	p.topology.updateSilent(func(id core.VMID) bool {
		_, failed := p.suspects[id]
		return p.suspects.has(id, now) || without && failed
	})
}

// effectiveHead returns the first head of the chunk in this region that is not
// in its hold-off. When a head fails, its successor takes over at once.
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

// chooseAsHead returns the source of a chunk for the head of this region.
func (p *chunkOwner) chooseAsHead(now time.Time, chunk int) (Source, fetchClass) {
	switch p.chunks[chunk].attempts % ownerGuessInterval {
	case ownerGuessInterval - 1:
		// The chunk may already be in the region, fetched by a head that has died.
		return p.randomInRegion(now, chunk)
	case ownerGuessInterval - 2:
		if gateway, ok := p.randomOtherRegion(now, chunk); ok {
			return Source{Peer: gateway}, classCross
		}
	}
	if holder, ok := p.holder(now, chunk); ok {
		return Source{Peer: holder}, classPeer
	}
	if p.mayAskOrigin(chunk) {
		if !p.suspects.has(originSuspect, now) {
			return Source{}, classOrigin
		}
		return p.chooseWithoutOrigin(now, chunk)
	}
	if upstream, ok := p.upstream(now, chunk); ok {
		return Source{Peer: upstream}, classCross
	}
	if gateway, ok := p.randomOtherRegion(now, chunk); ok {
		return Source{Peer: gateway}, classCross
	}
	return p.randomInRegion(now, chunk)
}

// holder returns a machine of this region that already has all chunks, for the
// first ownerHolderAttempts attempts. A version that was spread before then
// needs no region link.
func (p *chunkOwner) holder(now time.Time, chunk int) (core.VMID, bool) {
	holders := p.topology.holders
	if len(holders) == 0 || p.chunks[chunk].attempts >= ownerHolderAttempts {
		return "", false
	}
	for i := range holders {
		if id := holders[(chunk+i)%len(holders)]; !p.suspects.has(id, now) {
			return id, true
		}
	}
	return "", false
}

// crossRegionOdds is the n of the 1-in-n probability with which a head asks
// another region while the origin is unavailable.
const crossRegionOdds = 4

// chooseWithoutOrigin returns the source for a head while the origin is in its
// hold-off: the chunk may have arrived at another machine.
func (p *chunkOwner) chooseWithoutOrigin(now time.Time, chunk int) (Source, fetchClass) {
	if len(p.topology.region) == 0 || p.random.IntN(crossRegionOdds) == 0 {
		if gateway, ok := p.randomOtherRegion(now, chunk); ok {
			return Source{Peer: gateway}, classCross
		}
	}
	return p.randomInRegion(now, chunk)
}

// mayAskOrigin reports whether this machine may request a chunk from the
// origin. That holds for the first ranks of the root region and, after
// ownerFirstOriginAttempts failures, for the first rank of the chunk's first
// region.
func (p *chunkOwner) mayAskOrigin(chunk int) bool {
	switch p.start.Self.Region {
	case p.topology.root:
		return p.topology.headRank(chunk, ownerRootRanks) < ownerRootRanks
	case p.topology.firstRegion(chunk):
		failedEnough := p.chunks[chunk].attempts >= ownerFirstOriginAttempts
		return failedEnough && p.topology.headRank(chunk, ownerFirstRanks) < ownerFirstRanks
	default:
		return false
	}
}

// upstream returns a gateway of the chunk's first region, or of the root region
// for the first region itself. After repeated misses at the first region, the
// root region is tried before it. The order root, first region, other regions
// rules out cycles of regions that wait for each other.
func (p *chunkOwner) upstream(now time.Time, chunk int) (core.VMID, bool) {
	self := p.start.Self.Region
	root, first := p.topology.root, p.topology.firstRegion(chunk)
	switch {
	case self == root:
		return "", false
	case self == first:
		return p.liveGateway(now, chunk, root)
	case p.chunks[chunk].skippedAncestors%2 == 1:
		first, root = root, first
	}
	if head, ok := p.liveGateway(now, chunk, first); ok {
		return head, true
	}
	return p.liveGateway(now, chunk, root)
}

// liveGateway returns a chunk's gateway in a region or, when that one is in its
// hold-off, one of the others. The chunks of a failed gateway are distributed
// evenly over the others.
func (p *chunkOwner) liveGateway(now time.Time, chunk int, region core.RegionID) (core.VMID, bool) {
	gateways := p.topology.gatewaysOf(region)
	n := len(gateways)
	round := chunk / p.topology.chunksPerHead()
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

// randomOtherRegion returns a gateway of a random region; false when the random
// region is this one or has no live gateway.
func (p *chunkOwner) randomOtherRegion(now time.Time, chunk int) (core.VMID, bool) {
	regions := append([]core.RegionID{p.topology.root}, p.topology.others...)
	region := regions[p.random.IntN(len(regions))]
	if region == p.start.Self.Region {
		return "", false
	}
	gateway, ok := p.liveGateway(now, chunk, region)
	p.chunks[chunk].guess = ok
	return gateway, ok
}

// chooseFallback returns the source for a machine whose ancestors have all
// failed: a random machine of the region or, on every second attempt and only
// for the first ranks of a chunk, the source that a head would use, or the head
// itself.
func (p *chunkOwner) chooseFallback(now time.Time, chunk int) (Source, fetchClass) {
	if p.topology.headRank(chunk, ownerRootRanks) >= ownerRootRanks {
		return p.randomOrHead(now, chunk)
	}
	if p.chunks[chunk].attempts%2 != 0 {
		return p.randomInRegion(now, chunk)
	}
	if !p.mayStandIn(now) {
		if head, ok := p.effectiveHead(now, chunk); ok {
			return Source{Peer: head.ID}, classPeer
		}
	}
	return p.chooseAsHead(now, chunk)
}

// mayStandIn reports whether this machine may use the source of a head that has
// not failed.
//
// Load pattern: the origin returns after an outage in which all heads failed. If
// each of a chunk's first ranks requested it from the origin, the origin's link
// would carry every chunk several times. A machine of the root region therefore
// fetches the chunks of which it is the head first, and then leaves the heads
// some time for theirs.
func (p *chunkOwner) mayStandIn(now time.Time) bool {
	if p.start.Self.Region != p.topology.root {
		return true
	}
	return now.Sub(p.originReturnedAt) >= p.tuning.Timeouts.PeerWait && !p.needsOwnChunks(now)
}

// needsOwnChunks reports whether a chunk of which this machine is the head is not
// stored.
func (p *chunkOwner) needsOwnChunks(now time.Time) bool {
	for chunk := range p.chunks {
		if p.chunks[chunk].state == chunkStored {
			continue
		}
		if head, ok := p.effectiveHead(now, chunk); ok && head.ID == p.start.Self.ID {
			return true
		}
	}
	return false
}

// randomOrHead returns a random machine of this region or, if all fetches from random machines are
// in use, one of those that fetch the chunk from outside of it.
//
// Load pattern: the origin returns after an outage in which a machine has given up on the heads of
// most chunks. Each of them would wait for its turn to be requested from a random machine, up to 3 s
// longer than its head takes to have it.
func (p *chunkOwner) randomOrHead(now time.Time, chunk int) (Source, fetchClass) {
	if p.mayGuess() {
		return p.randomInRegion(now, chunk)
	}
	head, ok := p.someHead(now, chunk)
	if !ok {
		return p.randomInRegion(now, chunk)
	}
	p.chunks[chunk].guess = true
	return Source{Peer: head}, classPeer
}

// someHead returns one of the first ranks of a chunk in this region that is not in its hold-off.
func (p *chunkOwner) someHead(now time.Time, chunk int) (core.VMID, bool) {
	first := p.random.IntN(ownerRootRanks)
	for i := range ownerRootRanks {
		head, ok := p.topology.headOrder(p.start.Self.Region, chunk, (first+i)%ownerRootRanks)
		if ok && !p.suspects.has(head.ID, now) {
			return head.ID, true
		}
	}
	return "", false
}

// mayGuess reports whether a fetch from a random machine may start now, or has to be waited for: the
// few fetches of a machine that has relays are for them.
func (p *chunkOwner) mayGuess() bool {
	return p.inFlight[classGuess] < p.windows[classGuess] || p.fetchesFromRelays()
}

// leaveGuesses moves chunks that would wait for a fetch from a random machine, and for which
// randomOrHead has another source, to the queue of the fetches from this region. It reports
// whether there were any.
func (p *chunkOwner) leaveGuesses(now time.Time) bool {
	if p.mayGuess() {
		return false
	}
	var kept chunkQueue
	for _, rank := range p.ready[classGuess] {
		chunk := int(p.order.chunks[rank])
		_, ok := p.someHead(now, chunk)
		if ok && p.topology.headRank(chunk, ownerRootRanks) >= ownerRootRanks {
			p.ready[classPeer].add(int(rank))
		} else {
			kept.add(int(rank))
		}
	}
	moved := len(kept) < len(p.ready[classGuess])
	p.ready[classGuess] = kept
	return moved
}

// randomAttempts is how many machines randomInRegion tries before it accepts
// one in its hold-off.
const randomAttempts = 8

func (p *chunkOwner) randomInRegion(now time.Time, chunk int) (Source, fetchClass) {
	machines := p.topology.region
	if len(machines) == 0 {
		return p.chooseWithoutPeers()
	}
	p.chunks[chunk].guess = true
	var id core.VMID
	for range randomAttempts {
		id = machines[p.random.IntN(len(machines))]
		if !p.suspects.has(id, now) {
			break
		}
	}
	return Source{Peer: id}, classGuess
}

// chooseWithoutPeers returns the source for a machine that is the only one in
// its region: a random gateway of the root region, even one in its hold-off, or
// the origin.
func (p *chunkOwner) chooseWithoutPeers() (Source, fetchClass) {
	gateways := p.topology.gatewaysOf(p.topology.root)
	if p.start.Self.Region == p.topology.root || len(gateways) == 0 {
		return Source{}, classOrigin
	}
	return Source{Peer: gateways[p.random.IntN(len(gateways))].ID}, classCross
}
