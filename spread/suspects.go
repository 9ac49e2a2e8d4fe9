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

// originSuspect stands for the origin among the suspects.
const originSuspect core.VMID = ""

// suspects remembers the machines that failed, each until its hold-off ends.
// It holds at most one entry for each member and one for the
// origin.
type suspects map[core.VMID]suspicion

type suspicion struct {
	until   time.Time
	holdOff time.Duration
	// probed says that one fetch tries the machine again.
	probed bool
}

// add holds a machine off; each further failure doubles the time from least up to most.
func (s suspects) add(id core.VMID, now time.Time, least, most time.Duration) {
	known, ok := s[id]
	holdOff := least
	switch {
	case ok && now.Before(known.until) && !known.probed:
		return
	case ok:
		holdOff = min(2*known.holdOff, most)
	}
	s[id] = suspicion{until: now.Add(holdOff), holdOff: holdOff}
}

// probe lets one fetch try a machine whose hold-off ended and holds the machine
// off for the others until that fetch is over.
func (s suspects) probe(id core.VMID, now time.Time, timeout time.Duration) {
	if known, ok := s[id]; ok {
		known.until, known.probed = now.Add(timeout), true
		s[id] = known
	}
}

// clear trusts a machine again that answered. When it was under suspicion, its
// whole zone is trusted again, because zones are cut off and return as one.
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

// keep forgets machines that are not members any more.
func (s suspects) keep(zoneOf map[core.VMID]core.ZoneID) {
	for id := range s {
		if _, member := zoneOf[id]; !member {
			delete(s, id)
		}
	}
}
