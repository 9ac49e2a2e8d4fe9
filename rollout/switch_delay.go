package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// firstSwitch and lastSwitch are the fractions of Candidate.Limit at which the
	// first and the last endpoint switch. Spreading the weights takes about 0.3 of the
	// limit. In the last eighth of the limit, gateways start no more calls on
	// older weights; calls that are running may end later.
	firstSwitch = 0.3
	lastSwitch  = 0.9
)

// Location is the VM and the availability zone of an endpoint.
type Location struct {
	ID   core.VMID
	Zone core.ZoneID
}

// Candidate is an endpoint that is to switch to a declared version.
type Candidate struct {
	Self    Location
	Version core.VersionID
	// Members are all endpoints that are to switch.
	Members []Location
	// Limit is the time within which all members must have switched.
	Limit time.Duration
	// RecentlySwitched is set if the endpoint switched to its current version less
	// than Limit ago.
	RecentlySwitched bool
}

// SwitchDelay returns how long after the declaration an endpoint may switch. Members
// with the same list of members compute the same schedule.
//
// Load pattern: the full load continues while all endpoints switch, and each endpoint
// waits for its running calls before it switches. Switching one endpoint at a time,
// evenly across the availability zones, leaves the most capacity at any moment.
// Endpoints that have just switched go in the second half, since the version that they
// serve may be served for the longest time.
func SwitchDelay(c Candidate) time.Duration {
	position := c.switchPosition()
	if c.RecentlySwitched {
		position = 0.5 + position/2
	}
	return time.Duration((firstSwitch + (lastSwitch-firstSwitch)*position) * float64(c.Limit))
}

// switchPosition returns the endpoint's position in the switch order, from 0 to 1.
func (c Candidate) switchPosition() float64 {
	zones := map[core.ZoneID][]Location{}
	for _, m := range append(slices.Clone(c.Members), c.Self) {
		if !slices.Contains(zones[m.Zone], m) {
			zones[m.Zone] = append(zones[m.Zone], m)
		}
	}
	type ranked struct {
		location Location
		share    float64
	}
	var order []ranked
	for _, locations := range zones {
		slices.SortFunc(locations, func(a, b Location) int {
			return cmp.Or(cmp.Compare(switchHash(a.ID, c.Version), switchHash(b.ID, c.Version)), cmp.Compare(a.ID, b.ID))
		})
		for i, location := range locations {
			order = append(order, ranked{location: location, share: (float64(i) + 0.5) / float64(len(locations))})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(switchHash(a.location.ID, c.Version), switchHash(b.location.ID, c.Version)), cmp.Compare(a.location.ID, b.location.ID))
	})
	index := slices.IndexFunc(order, func(r ranked) bool { return r.location == c.Self })
	return float64(index) / float64(max(len(order)-1, 1))
}

func switchHash(vm core.VMID, version core.VersionID) uint64 {
	return xxh3.HashStringSeed(string(vm), xxh3.HashString(string(version)))
}
