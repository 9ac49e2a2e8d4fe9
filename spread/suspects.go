package spread

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Hold-off times of sources that failed.
const (
	firstHoldOff = 3 * time.Second
	maxHoldOff   = 60 * time.Second
)

// originSuspect is the key of the origin among the suspects.
const originSuspect core.VMID = ""

// suspects keeps the hold-offs of machines that failed. It has at most one
// entry for each member and one for the origin.
type suspects map[core.VMID]suspicion

type suspicion struct {
	until   time.Time
	holdOff time.Duration
	// probing is set while one fetch tests the machine again.
	probing bool
}

// add starts the hold-off of a machine; each further failure doubles it, from
// initial up to limit.
func (s suspects) add(id core.VMID, now time.Time, initial, limit time.Duration) {
	known, ok := s[id]
	holdOff := initial
	switch {
	case ok && now.Before(known.until) && !known.probing:
		return
	case ok:
		holdOff = min(2*known.holdOff, limit)
	}
	s[id] = suspicion{until: now.Add(holdOff), holdOff: holdOff}
}

// probe allows one fetch to test a machine whose hold-off has ended, and
// extends the hold-off for all other fetches until that one has ended.
func (s suspects) probe(id core.VMID, now time.Time, timeout time.Duration) {
	if known, ok := s[id]; ok {
		known.until, known.probing = now.Add(timeout), true
		s[id] = known
	}
}

// clear ends the hold-off of a machine that responded. It also ends the
// hold-offs of the other machines of its zone, because a zone is partitioned
// and recovers as a unit.
func (s suspects) clear(id core.VMID, zoneOf map[core.VMID]core.ZoneID) {
	if _, suspected := s[id]; !suspected {
		return
	}
	delete(s, id)
	for other := range s {
		if zoneOf[other] == zoneOf[id] {
			delete(s, other)
		}
	}
}

func (s suspects) has(id core.VMID, now time.Time) bool {
	known, ok := s[id]
	return ok && now.Before(known.until)
}

// keep removes the entries of machines that are no longer members.
func (s suspects) keep(zoneOf map[core.VMID]core.ZoneID) {
	for id := range s {
		if _, member := zoneOf[id]; !member {
			delete(s, id)
		}
	}
}
