package routing

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// DefaultSubset is the number of endpoints of a pool that are visible to one
	// entry.
	DefaultSubset = 64
	// localShare is the fraction of the subset that is reserved for the entry's own
	// zone.
	localShare = 0.75
)

// Location is the location of an endpoint.
type Location struct {
	ID     core.VMID
	Zone   core.ZoneID
	Region core.RegionID
}

// Subset returns the endpoints that one entry uses if there are more than size. It
// selects them by rendezvous hashing, so that entries use different endpoints, every
// endpoint is in the subset of some entry, and adding an endpoint changes little.
// Endpoints in the entry's own zone fill up to three quarters of the subset, or more if
// there are few others. The returned indexes are in ascending order.
func Subset(salt uint64, zone core.ZoneID, locations []Location, size int) []int {
	if len(locations) <= size {
		return allIndexes(len(locations))
	}
	type ranked struct {
		index int
		hash  uint64
	}
	var local, other []ranked
	for i, location := range locations {
		r := ranked{index: i, hash: rendezvous(salt, location.ID)}
		if location.Zone == zone {
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

// rendezvous returns the rank of an endpoint at the entry with the given salt.
func rendezvous(salt uint64, id core.VMID) uint64 {
	return xxh3.HashStringSeed(string(id), salt)
}
