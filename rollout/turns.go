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
	// lastTurn is the part of the time for a change at which the last group begins:
	// the rest is left for calls that run and for the load.
	lastTurn = 0.62
	// firstTurn is the part at which the first group begins.
	firstTurn = 0.3
)

// TurnAfter returns how long after the declaration of a version an endpoint may
// change to it, when all must have changed within limit. Members with the same
// list work out the same groups, each spread over all zones.
func TurnAfter(self core.VMID, version core.VersionID, members []core.VMID, limit time.Duration) time.Duration {
	order := append(slices.Clone(members), self)
	slices.SortFunc(order, func(a, b core.VMID) int {
		return cmp.Or(cmp.Compare(turnHash(a, version), turnHash(b, version)), cmp.Compare(a, b))
	})
	order = slices.Compact(order)
	group := slices.Index(order, self) * turns / len(order)
	share := firstTurn + (lastTurn-firstTurn)*float64(group)/float64(turns-1)
	return time.Duration(share * float64(limit))
}

func turnHash(vm core.VMID, version core.VersionID) uint64 {
	return xxh3.HashStringSeed(string(vm), xxh3.HashString(string(version)))
}
