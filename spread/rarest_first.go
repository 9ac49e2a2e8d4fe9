package spread

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	rarestNeighbours   = 16
	rarestWindow       = 16
	rarestOriginWindow = 1
	rarestTimeout      = 3 * time.Second
	rarestRetry        = 200 * time.Millisecond
	// rarestOriginMachines is how many machines fetch from the origin.
	rarestOriginMachines = 8
)

func init() {
	Policies.Register("rarest_first", func() Constructor { return newRarestFirst })
}

var (
	_ Policy    = (*rarestFirst)(nil)
	_ Announcer = (*rarestFirst)(nil)
)

// rarestFirst keeps a few random neighbours, which announce the chunks that
// they have, and fetches the chunk that the fewest of them have. The machines
// with the lowest hashes also fetch chunks that no neighbour has from the
// origin. It is a baseline.
type rarestFirst struct {
	start      Start
	random     *rand.Rand
	neighbours []core.VMID
	zoneOf     map[core.VMID]core.ZoneID
	// holders counts, for each chunk, the neighbours that have it.
	holders    []uint16
	has        map[core.VMID][]uint64
	needed     []int32
	busy       map[int]Source
	perPeer    map[core.VMID]int
	suspects   suspects
	retryAt    time.Time
	usesOrigin bool
	origin     int
}

func newRarestFirst(start Start) Policy {
	p := &rarestFirst{
		start:   start,
		random:  rand.New(rand.NewPCG(start.Seed, hashMember(start.Manifest.Version, start.Self.ID))),
		holders: make([]uint16, len(start.Stored)), has: map[core.VMID][]uint64{},
		busy: map[int]Source{}, perPeer: map[core.VMID]int{}, suspects: suspects{},
	}
	for chunk, stored := range start.Stored {
		if !stored {
			p.needed = append(p.needed, int32(chunk))
		}
	}
	p.setMembers(start.Members)
	return p
}

func (p *rarestFirst) setMembers(members []Member) {
	p.zoneOf = map[core.VMID]core.ZoneID{}
	lower := 0
	self := hashMember(p.start.Manifest.Version, p.start.Self.ID)
	for _, m := range members {
		p.zoneOf[m.ID] = m.Zone
		if hashMember(p.start.Manifest.Version, m.ID) < self {
			lower++
		}
	}
	p.usesOrigin = lower < rarestOriginMachines
	kept := p.neighbours[:0]
	for _, id := range p.neighbours {
		if _, member := p.zoneOf[id]; member {
			kept = append(kept, id)
			continue
		}
		p.removeNeighbour(id)
	}
	p.neighbours = kept
	p.addNeighbours(members)
}

func (p *rarestFirst) addNeighbours(members []Member) {
	known := map[core.VMID]bool{p.start.Self.ID: true}
	for _, id := range p.neighbours {
		known[id] = true
	}
	for _, i := range p.random.Perm(len(members)) {
		if len(p.neighbours) >= rarestNeighbours {
			return
		}
		if id := members[i].ID; !known[id] {
			known[id] = true
			p.neighbours = append(p.neighbours, id)
		}
	}
}

// Neighbours implements Announcer.
func (p *rarestFirst) Neighbours() []core.VMID { return p.neighbours }

// Step implements Policy.
func (p *rarestFirst) Step(now time.Time, event Event) []Fetch {
	switch e := event.(type) {
	case MembersChanged:
		p.setMembers(e.Members)
	case PeerChunks:
		p.onPeerChunks(e)
	case ChunkLost:
		p.needed = append(p.needed, int32(e.Chunk))
	case ChunkStored:
		p.release(e.Chunk)
		p.suspects.clear(e.Source.Peer, p.zoneOf)
	case FetchFailed:
		p.onFailed(now, e)
	}
	if now.Before(p.retryAt) {
		return nil
	}
	return p.startFetches(now)
}

func (p *rarestFirst) onPeerChunks(e PeerChunks) {
	set := p.has[e.Peer]
	if set == nil {
		set = make([]uint64, (len(p.holders)+63)/64)
		p.has[e.Peer] = set
	}
	for _, chunk := range e.Chunks {
		bit := uint64(1) << (chunk % 64)
		if set[chunk/64]&bit == 0 {
			set[chunk/64] |= bit
			p.holders[chunk]++
		}
	}
}

func (p *rarestFirst) removeNeighbour(id core.VMID) {
	for chunk := range p.holders {
		if p.peerHas(id, chunk) {
			p.holders[chunk]--
		}
	}
	delete(p.has, id)
}

func (p *rarestFirst) peerHas(id core.VMID, chunk int) bool {
	set := p.has[id]
	return set != nil && set[chunk/64]&(1<<(chunk%64)) != 0
}

func (p *rarestFirst) release(chunk int) {
	source := p.busy[chunk]
	delete(p.busy, chunk)
	if source.IsOrigin() {
		p.origin--
		return
	}
	p.perPeer[source.Peer]--
}

func (p *rarestFirst) onFailed(now time.Time, e FetchFailed) {
	p.release(e.Chunk)
	p.needed = append(p.needed, int32(e.Chunk))
	if !e.Source.IsOrigin() && (e.Failure == FailureTimeout || e.Failure == FailureCorrupt) {
		p.suspects.add(e.Source.Peer, now, firstHoldOff, maxHoldOff)
	}
	p.retryAt = now.Add(rarestRetry)
}

// startFetches fetches the rarest chunks first; ties are broken at random.
func (p *rarestFirst) startFetches(now time.Time) []Fetch {
	var fetches []Fetch
	for len(p.busy) < rarestWindow {
		index, source := p.rarest(now)
		if index < 0 {
			break
		}
		chunk := int(p.needed[index])
		p.needed[index] = p.needed[len(p.needed)-1]
		p.needed = p.needed[:len(p.needed)-1]
		p.busy[chunk] = source
		if source.IsOrigin() {
			p.origin++
		} else {
			p.perPeer[source.Peer]++
		}
		fetches = append(fetches, Fetch{Chunk: chunk, Source: source, Timeout: rarestTimeout})
	}
	return fetches
}

// rarest returns the index in needed of the next chunk and its source; the
// index is -1 when there is none.
func (p *rarestFirst) rarest(now time.Time) (int, Source) {
	best, count := -1, uint16(0)
	mayUseOrigin := p.usesOrigin && p.origin < rarestOriginWindow
	offset := 0
	if len(p.needed) > 0 {
		offset = p.random.IntN(len(p.needed))
	}
	for i := range p.needed {
		index := (i + offset) % len(p.needed)
		holders := p.holders[p.needed[index]]
		if holders == 0 && !mayUseOrigin {
			continue
		}
		if best >= 0 && holders >= count {
			continue
		}
		best, count = index, holders
		if holders == 0 {
			return best, Source{}
		}
	}
	if best < 0 {
		return -1, Source{}
	}
	peer, ok := p.holder(now, int(p.needed[best]))
	if !ok {
		return -1, Source{}
	}
	return best, Source{Peer: peer}
}

// holder returns the neighbour that has a chunk and the fewest fetches in
// flight from this machine.
func (p *rarestFirst) holder(now time.Time, chunk int) (core.VMID, bool) {
	var best core.VMID
	for _, id := range p.neighbours {
		if !p.peerHas(id, chunk) || p.suspects.has(id, now) {
			continue
		}
		if best == "" || p.perPeer[id] < p.perPeer[best] {
			best = id
		}
	}
	return best, best != ""
}

// NextTick implements Policy.
func (p *rarestFirst) NextTick() time.Time {
	if len(p.needed) == 0 {
		return time.Time{}
	}
	return p.retryAt
}
