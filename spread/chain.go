package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	chainWindow  = 16
	chainWait    = 4 * time.Second
	chainTimeout = 3 * time.Second
	chainRetry   = 200 * time.Millisecond
)

func init() {
	Policies.Register("chain", func() Constructor { return newChain })
}

var _ Policy = (*chain)(nil)

// chain passes all chunks along a line of machines ordered by region, zone and
// ID, the origin's region first. The first machine fetches from the origin. It
// is a baseline.
type chain struct {
	start    Start
	before   []core.VMID // nearest first
	suspects suspects
	zoneOf   map[core.VMID]core.ZoneID
	ready    chunkQueue
	inFlight map[int]struct{}
	delayed  delayQueue
}

func newChain(start Start) Policy {
	p := &chain{start: start, suspects: suspects{}, inFlight: map[int]struct{}{}}
	for chunk, stored := range start.Stored {
		if !stored {
			p.ready.add(chunk)
		}
	}
	p.setMembers(start.Members)
	return p
}

func (p *chain) setMembers(members []Member) {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(p.distance(a)-p.distance(b), cmp.Compare(a.Region, b.Region),
			cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	p.before = p.before[:0]
	p.zoneOf = map[core.VMID]core.ZoneID{}
	for _, m := range sorted {
		p.zoneOf[m.ID] = m.Zone
	}
	for _, m := range sorted {
		if m.ID == p.start.Self.ID {
			break
		}
		p.before = append(p.before, m.ID)
	}
	slices.Reverse(p.before)
}

func (p *chain) distance(m Member) int {
	if m.Region == p.start.OriginRegion {
		return 0
	}
	return 1
}

// Step implements Policy.
func (p *chain) Step(now time.Time, event Event) []Fetch {
	switch e := event.(type) {
	case MembersChanged:
		p.setMembers(e.Members)
	case ChunkLost:
		p.ready.add(e.Chunk)
	case ChunkStored:
		delete(p.inFlight, e.Chunk)
		p.suspects.clear(e.Source.Peer, p.zoneOf)
	case FetchFailed:
		p.onFailed(now, e)
	}
	for chunk, due := p.delayed.takeDue(now); due; chunk, due = p.delayed.takeDue(now) {
		p.ready.add(chunk)
	}
	var fetches []Fetch
	for len(p.inFlight) < chainWindow && p.ready.Len() > 0 {
		chunk := p.ready.take()
		p.inFlight[chunk] = struct{}{}
		fetches = append(fetches, Fetch{Chunk: chunk, Source: p.source(now), Wait: chainWait, Timeout: chainTimeout})
	}
	return fetches
}

func (p *chain) onFailed(now time.Time, e FetchFailed) {
	delete(p.inFlight, e.Chunk)
	if !e.Source.IsOrigin() && (e.Failure == FailureTimeout || e.Failure == FailureCorrupt) {
		p.suspects.add(e.Source.Peer, now, firstHoldOff, maxHoldOff)
	}
	p.delayed.add(e.Chunk, now.Add(chainRetry))
}

// source returns the nearest predecessor that is not in its hold-off, or the
// origin.
func (p *chain) source(now time.Time) Source {
	for _, id := range p.before {
		if !p.suspects.has(id, now) {
			return Source{Peer: id}
		}
	}
	return Source{}
}

// NextTick implements Policy.
func (p *chain) NextTick() time.Time { return p.delayed.next() }
