package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// turns is how many groups of endpoints change version one after the other, so
	// that most of the capacity goes on serving.
	turns = 3
	// firstTurn and lastTurn are the parts of the time for a change at which the
	// first and the last group begin. Weights take some 0.4 of it to spread, and
	// running calls some 0.3 to end.
	firstTurn = 0.36
	lastTurn  = 0.68
)

// Candidate is an endpoint that is to change to a declared version.
type Candidate struct {
	Self    core.VMID
	Version core.VersionID
	// Members are all endpoints that are to change.
	Members []core.VMID
	// Limit is the time within which all must have changed.
	Limit time.Duration
	// Recent says that the endpoint changed to its present version within the limit.
	Recent bool
}

// TurnAfter returns how long after the declaration an endpoint may change.
// Members with the same list work out the same groups.
//
// Load pattern answered: the whole load goes on while all endpoints change, and
// each that changes first waits for its calls. One that has just changed goes
// last: the version that it serves may be served longest.
func TurnAfter(c Candidate) time.Duration {
	group := turns - 1
	if !c.Recent {
		group = c.group()
	}
	share := firstTurn + (lastTurn-firstTurn)*float64(group)/float64(turns-1)
	return time.Duration(share * float64(c.Limit))
}

func (c Candidate) group() int {
	order := append(slices.Clone(c.Members), c.Self)
	slices.SortFunc(order, func(a, b core.VMID) int {
		return cmp.Or(cmp.Compare(turnHash(a, c.Version), turnHash(b, c.Version)), cmp.Compare(a, b))
	})
	order = slices.Compact(order)
	return slices.Index(order, c.Self) * turns / len(order)
}

func turnHash(vm core.VMID, version core.VersionID) uint64 {
	return xxh3.HashStringSeed(string(vm), xxh3.HashString(string(version)))
}
