package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// firstTurn and lastTurn are the parts of the time for a change at which the
	// first and the last endpoint begin. Weights take some 0.3 of it to spread;
	// gateways send no calls on older weights in the last eighth, and running calls
	// may end later.
	firstTurn = 0.3
	lastTurn  = 0.9
)

// Location is where an endpoint stands that is to change.
type Location struct {
	ID   core.VMID
	Zone core.ZoneID
}

// Candidate is an endpoint that is to change to a declared version.
type Candidate struct {
	Self    Location
	Version core.VersionID
	// Members are all endpoints that are to change.
	Members []Location
	// Limit is the time within which all must have changed.
	Limit time.Duration
	// RecentlySwitched says that the endpoint changed to its present version within the limit.
	RecentlySwitched bool
}

// SwitchDelay returns how long after the declaration an endpoint may change.
// Members with the same list work out the same turns.
//
// Load pattern answered: the whole load goes on while all endpoints change, and
// each that changes first waits for its calls. One after the other, evenly in
// each availability zone, leaves the most capacity at any moment. Those that have
// just changed go in the second half: the version that they serve may be served
// longest.
func SwitchDelay(c Candidate) time.Duration {
	part := c.part()
	if c.RecentlySwitched {
		part = 0.5 + part/2
	}
	return time.Duration((firstTurn + (lastTurn-firstTurn)*part) * float64(c.Limit))
}

// part is the endpoint's place in the order of turns, from 0 to 1.
func (c Candidate) part() float64 {
	zones := map[core.ZoneID][]Location{}
	for _, m := range append(slices.Clone(c.Members), c.Self) {
		if !slices.Contains(zones[m.Zone], m) {
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	type ranked struct {
		place Location
		share float64
	}
	var order []ranked
	for _, places := range zones {
		slices.SortFunc(places, func(a, b Location) int {
			return cmp.Or(cmp.Compare(turnHash(a.ID, c.Version), turnHash(b.ID, c.Version)), cmp.Compare(a.ID, b.ID))
		})
		for i, place := range places {
			order = append(order, ranked{place: place, share: (float64(i) + 0.5) / float64(len(places))})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(turnHash(a.place.ID, c.Version), turnHash(b.place.ID, c.Version)), cmp.Compare(a.place.ID, b.place.ID))
	})
	index := slices.IndexFunc(order, func(r ranked) bool { return r.place == c.Self })
	return float64(index) / float64(max(len(order)-1, 1))
}

func turnHash(vm core.VMID, version core.VersionID) uint64 {
	return xxh3.HashStringSeed(string(vm), xxh3.HashString(string(version)))
}
