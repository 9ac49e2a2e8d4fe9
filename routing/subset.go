package routing

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// DefaultSubset is how many endpoints of a pool one entry keeps in sight.
	DefaultSubset = 64
	// localShare is the part of the subset that is kept for the entry's own zone.
	localShare = 0.75
)

// Location is where an endpoint is.
type Location struct {
	ID     core.VMID
	Zone   core.ZoneID
	Region core.RegionID
}

// Subset picks the endpoints that one entry works with when there are more than
// size. It takes them by rendezvous hash, so that entries differ, every endpoint
// is in the subset of some entry, and one more endpoint changes little. Own-zone
// endpoints fill up to three quarters, or more when there are few others. It
// returns indexes in ascending order.
func Subset(salt uint64, zone core.ZoneID, places []Location, size int) []int {
	if len(places) <= size {
		return allIndexes(len(places))
	}
	type ranked struct {
		index int
		hash  uint64
	}
	var local, other []ranked
	for i, place := range places {
		r := ranked{index: i, hash: rendezvous(salt, place.ID)}
		if place.Zone == zone {
			local = append(local, r)
		} else {
			other = append(other, r)
		}
	}
	fromLocal := min(len(local), int(localShare*float64(size)))
	fromOther := min(len(other), size-fromLocal)
	fromLocal = min(len(local), size-fromOther)
	byHash := func(a, b ranked) int {
		switch {
		case a.hash > b.hash:
			return -1
		case a.hash < b.hash:
			return 1
		default:
			return a.index - b.index
		}
	}
	slices.SortFunc(local, byHash)
	slices.SortFunc(other, byHash)
	picked := make([]int, 0, size)
	for _, r := range local[:fromLocal] {
		picked = append(picked, r.index)
	}
	for _, r := range other[:fromOther] {
		picked = append(picked, r.index)
	}
	slices.Sort(picked)
	return picked
}

func allIndexes(count int) []int {
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	return all
}

// rendezvous is the rank of an endpoint at the entry with the given salt.
func rendezvous(salt uint64, id core.VMID) uint64 {
	return xxh3.HashStringSeed(string(id), salt)
}
