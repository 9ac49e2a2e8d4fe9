// Package manifests decides from whom a machine reads the manifest of a version.
//
// The weight store takes few calls a second and may be out of reach, so not
// every machine asks it. Two machines of each availability zone, the readers,
// ask it first; the others ask the readers and then machines of their zone by
// chance, and the store only after a time. A machine whose zone is cut off has
// the manifest from any peer that holds it. The decisions perform no I/O.
package manifests

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

const (
	// readersPerZone is how many machines of a zone ask the store first.
	readersPerZone = 2
	// StoreDelay is how long the others ask peers alone; up to as much again
	// is added by chance.
	StoreDelay = 2 * time.Second
	// otherZoneEach is how often a machine of another zone is asked.
	otherZoneEach = 3
	// storeRetry is the mean time between two tries at the store.
	storeRetry = time.Second
	// minWait and maxWait bound the time between two tries.
	minWait = 50 * time.Millisecond
	maxWait = time.Second
	// maxDoublings keeps the wait from overflowing.
	maxDoublings = 8
)

// Source is where one try reads: the weight store when Peer is empty.
type Source struct{ Peer core.VMID }

// IsStore reports whether the source is the weight store.
func (s Source) IsStore() bool { return s.Peer == "" }

// Plan is the order of tries of one machine for one version. It is not safe for
// concurrent use.
type Plan struct {
	random  *rand.Rand
	self    core.VMID
	own     core.ZoneID
	version core.VersionID
	// readers are the others of the zone that ask the store first; reads says that
	// this machine does too.
	readers []core.VMID
	reads   bool
	zone    []core.VMID
	others  []core.VMID
	// storeAt is when the store is asked next.
	storeAt   time.Time
	storeOnly bool
	// tries counts all tries, asked those at peers.
	tries, asked int
}

// New returns the plan of self, a machine of zone, among members, which want the
// same version; a joining machine may not be among them yet. storeOnly keeps it from asking peers, after one gave a manifest that did not hold.
func New(self core.VMID, zone core.ZoneID, members []spread.Member, version core.VersionID, storeOnly bool, now time.Time, random *rand.Rand) *Plan {
	p := &Plan{random: random, self: self, own: zone, version: version, storeOnly: storeOnly, storeAt: now}
	p.SetMembers(members)
	if !storeOnly && !p.reads {
		p.storeAt = now.Add(StoreDelay + time.Duration(random.Int64N(int64(StoreDelay))))
	}
	return p
}

// SetMembers replaces the machines that may be asked.
func (p *Plan) SetMembers(members []spread.Member) {
	p.zone, p.others = nil, nil
	for _, m := range members {
		switch {
		case m.ID == p.self:
		case m.Zone == p.own:
			p.zone = append(p.zone, m.ID)
		default:
			p.others = append(p.others, m.ID)
		}
	}
	p.readers = readers(append(slices.Clone(p.zone), p.self), p.version)
	all := len(p.readers)
	p.readers = slices.DeleteFunc(p.readers, func(id core.VMID) bool { return id == p.self })
	p.reads = len(p.readers) < all
}

// readers returns the machines of a zone that ask the store first, the same at every machine.
func readers(zone []core.VMID, version core.VersionID) []core.VMID {
	hash := func(id core.VMID) uint64 { return xxh3.HashString(string(version) + "\x00" + string(id)) }
	slices.SortFunc(zone, func(a, b core.VMID) int { return cmp.Or(cmp.Compare(hash(b), hash(a)), cmp.Compare(a, b)) })
	return zone[:min(readersPerZone, len(zone))]
}

// Next returns where the next try reads; ok is false when there is nowhere now.
// storeOpen says that a read from the store has not ended, which does not keep
// peers from being asked: the store may be silent.
func (p *Plan) Next(now time.Time, storeOpen bool) (source Source, ok bool) {
	p.tries++
	switch {
	case !storeOpen && !now.Before(p.storeAt):
		p.storeAt = now.Add(storeRetry/2 + time.Duration(p.random.Int64N(int64(storeRetry))))
		return Source{}, true
	case p.storeOnly || len(p.zone)+len(p.others) == 0:
		return Source{}, false
	default:
		p.asked++
		return Source{Peer: p.peer(p.asked - 1)}, true
	}
}

// peer chooses whom the n-th question to a peer goes to: the readers of the zone
// at first, then any machine of the zone, and each third time one of another zone.
func (p *Plan) peer(n int) core.VMID {
	if n < len(p.readers) {
		return p.readers[n]
	}
	choices := p.zone
	if len(choices) == 0 || len(p.others) > 0 && n%otherZoneEach == otherZoneEach-1 {
		choices = p.others
	}
	return choices[p.random.IntN(len(choices))]
}

// Wait returns the time until the next try.
func (p *Plan) Wait() time.Duration {
	wait := min(minWait<<min(p.tries/2, maxDoublings), maxWait)
	return wait/2 + time.Duration(p.random.Int64N(int64(wait)))
}
