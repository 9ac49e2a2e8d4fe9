// Package manifests decides from which source a machine reads the manifest of a
// version.
//
// The weight store accepts few calls per second and may be unreachable, so not
// every machine asks it. Two machines of each availability zone, the readers,
// ask it first. The others ask the readers, then random machines of their zone,
// and the store only after a delay. A machine whose zone is partitioned gets
// the manifest from any reachable peer that has it. The decisions perform no
// I/O.
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
	// StoreDelay is the minimum time for which the other machines ask only peers;
	// a random time of up to the same length is added.
	StoreDelay = 2 * time.Second
	// One in otherZoneInterval requests to peers goes to another zone.
	otherZoneInterval = 3
	// storeRetry is the mean time between two requests to the store.
	storeRetry = time.Second
	// minWait and maxWait limit the backoff between two attempts, before jitter.
	minWait = 50 * time.Millisecond
	maxWait = time.Second
	// maxDoublings prevents an overflow of the backoff.
	maxDoublings = 8
)

// Source is where one attempt reads the manifest from: the weight store when
// Peer is empty.
type Source struct{ Peer core.VMID }

// IsStore reports whether the source is the weight store.
func (s Source) IsStore() bool { return s.Peer == "" }

// Plan determines the attempts of one machine to read the manifest of one
// version. It is not safe for concurrent use.
type Plan struct {
	random  *rand.Rand
	self    core.VMID
	ownZone core.ZoneID
	version core.VersionID
	// readers are the readers of the zone except this machine; isReader is set
	// when this machine is a reader.
	readers  []core.VMID
	isReader bool
	zone     []core.VMID
	others   []core.VMID
	// storeAt is the time of the next request to the store.
	storeAt   time.Time
	storeOnly bool
	// tries counts all attempts, peerTries those at peers.
	tries, peerTries int
}

// New returns the plan of the machine self in zone. members are the machines
// that need the same version; a joining machine may not be among them yet.
// storeOnly excludes peers, after one of them returned an invalid manifest.
func New(self core.VMID, zone core.ZoneID, members []spread.Member, version core.VersionID, storeOnly bool, now time.Time, random *rand.Rand) *Plan {
	p := &Plan{random: random, self: self, ownZone: zone, version: version, storeOnly: storeOnly, storeAt: now}
	p.SetMembers(members)
	if !storeOnly && !p.isReader {
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
		case m.Zone == p.ownZone:
			p.zone = append(p.zone, m.ID)
		default:
			p.others = append(p.others, m.ID)
		}
	}
	p.readers = readers(append(slices.Clone(p.zone), p.self), p.version)
	total := len(p.readers)
	p.readers = slices.DeleteFunc(p.readers, func(id core.VMID) bool { return id == p.self })
	p.isReader = len(p.readers) < total
}

// readers returns the machines of a zone that ask the store first. Every
// machine computes the same ones.
func readers(zone []core.VMID, version core.VersionID) []core.VMID {
	hash := func(id core.VMID) uint64 { return xxh3.HashString(string(version) + "\x00" + string(id)) }
	slices.SortFunc(zone, func(a, b core.VMID) int { return cmp.Or(cmp.Compare(hash(b), hash(a)), cmp.Compare(a, b)) })
	return zone[:min(readersPerZone, len(zone))]
}

// Next returns the source of the next attempt; ok is false when there is none
// at present. storePending means that a read from the store is still in
// progress. Peers are asked meanwhile, because the store may be unresponsive.
func (p *Plan) Next(now time.Time, storePending bool) (source Source, ok bool) {
	p.tries++
	switch {
	case !storePending && !now.Before(p.storeAt):
		p.storeAt = now.Add(storeRetry/2 + time.Duration(p.random.Int64N(int64(storeRetry))))
		return Source{}, true
	case p.storeOnly || len(p.zone)+len(p.others) == 0:
		return Source{}, false
	default:
		p.peerTries++
		return Source{Peer: p.peer(p.peerTries - 1)}, true
	}
}

// peer returns the peer for the n-th request to a peer: first the readers of
// the zone, then random machines of the zone, and on every third request a
// random machine of another zone.
func (p *Plan) peer(n int) core.VMID {
	if n < len(p.readers) {
		return p.readers[n]
	}
	choices := p.zone
	if len(choices) == 0 || len(p.others) > 0 && n%otherZoneInterval == otherZoneInterval-1 {
		choices = p.others
	}
	return choices[p.random.IntN(len(choices))]
}

// Wait returns the time until the next attempt: an exponential backoff with
// jitter.
func (p *Plan) Wait() time.Duration {
	wait := min(minWait<<min(p.tries/2, maxDoublings), maxWait)
	return wait/2 + time.Duration(p.random.Int64N(int64(wait)))
}
