// Package rollout decides when an endpoint may switch to the declared version, so that
// a pool keeps enough capacity and warm caches. It performs no I/O.
//
// There is no coordinator. The endpoints of a pool in one availability zone are
// ordered by a hash, and each waits for those before it. An endpoint announces that it
// is waiting for at least AnnounceTime before it switches, so that the others take it
// into account.
package rollout

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
)

// ViewDelay is the maximum age of an endpoint's information about the others.
const ViewDelay = 1500 * time.Millisecond

// AnnounceTime is how long an endpoint announces that it is waiting before it may
// switch. The others learn of the announcement within ViewDelay, and any switch that
// they start until then is known here within another ViewDelay.
const AnnounceTime = 2 * ViewDelay

// defaultDivisor is the divisor of the pool size that gives the default limit of
// concurrent switches.
const defaultDivisor = 4

// Phase is the progress of an endpoint's switch to another version.
type Phase string

// Phases of an endpoint; an endpoint that is not switching has the empty phase.
const (
	PhaseNone Phase = ""
	// PhaseWaiting means that the new weights are completely staged and the old
	// version is still served.
	PhaseWaiting Phase = "waiting"
	// PhaseSwitching means that the endpoint is draining or loading.
	PhaseSwitching Phase = "switching"
)

// Member is an endpoint of the pool in the same availability zone.
type Member struct {
	ID    core.VMID
	Phase Phase
}

// Limit returns how many of size endpoints may switch at once. A declared limit of
// zero means one quarter, rounded up.
func Limit(declared, size int) int {
	if declared > 0 {
		return declared
	}
	return max(1, (size+defaultDivisor-1)/defaultDivisor)
}

// MaySwitch reports whether self may switch now. The order of the endpoints depends on
// version, so that it is not always the same ones that switch first.
func MaySwitch(self core.VMID, version core.VersionID, members []Member, limit int) bool {
	ahead := 0
	own := rank(version, self)
	for _, m := range members {
		if m.ID == self {
			continue
		}
		if m.Phase == PhaseSwitching || m.Phase == PhaseWaiting && ranksBefore(rank(version, m.ID), m.ID, own, self) {
			ahead++
		}
	}
	return ahead < limit
}

func rank(version core.VersionID, id core.VMID) uint64 {
	return xxh3.HashString(string(version) + "\x00" + string(id))
}

func ranksBefore(rankA uint64, a core.VMID, rankB uint64, b core.VMID) bool {
	return rankA < rankB || rankA == rankB && a < b
}
