// Package reach decides with which engines a gateway keeps in touch. It performs no I/O.
//
// Load pattern: hundreds of gateways serve in front of hundreds of engines. If each gateway
// kept in touch with each engine, messages and wake-ups of both would grow with the fleet. A
// gateway needs the engines of its region, which serve most of its calls, and a few of each
// other region, which take over when its own have no room or are gone. Gateways choose
// different ones, so that together they reach all engines.
package reach

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
)

const (
	// minPerRegion is the smallest number of engines of another region that are chosen.
	minPerRegion = 8
	// coverage is by how many gateways of all each engine is chosen on average at least.
	coverage = 4
)

// Gateway is the gateway that chooses.
type Gateway struct {
	// Name differs between gateways.
	Name   string
	Region core.RegionID
	// Gateways is the number of gateways of the deployment, 0 if it is not known.
	Gateways int
}

// Choose returns the engines of one service with which a gateway keeps in touch: all of its
// region, and some of each other region by rendezvous hashing. Engines that accept no new
// work, as told by closed, are chosen last.
func Choose(gateway Gateway, engines []*fleet.Endpoint, closed func(*fleet.Endpoint) bool) []*fleet.Endpoint {
	var chosen []*fleet.Endpoint
	remote := map[core.RegionID][]ranked{}
	for _, e := range engines {
		if e.Region == gateway.Region {
			chosen = append(chosen, e)
			continue
		}
		remote[e.Region] = append(remote[e.Region], ranked{endpoint: e, closed: closed(e), hash: xxh3.HashString(gateway.Name + "|" + e.Address)})
	}
	for _, list := range remote {
		slices.SortFunc(list, compare)
		for _, r := range list[:min(gateway.perRegion(len(list)), len(list))] {
			chosen = append(chosen, r.endpoint)
		}
	}
	return chosen
}

// perRegion returns how many of a region's engines are chosen.
func (g Gateway) perRegion(engines int) int {
	if g.Gateways == 0 {
		return minPerRegion
	}
	return max(minPerRegion, (coverage*engines+g.Gateways-1)/g.Gateways)
}

type ranked struct {
	endpoint *fleet.Endpoint
	closed   bool
	hash     uint64
}

func compare(a, b ranked) int {
	if a.closed != b.closed {
		if a.closed {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
}

// CountGateways returns the number of gateways of a deployment. counted are the gateways that
// agents have heard from, by region. A region of which nothing is known counts as the largest
// known one, so that nobody takes a larger part of a common bound than it has.
func CountGateways(regions []core.RegionID, counted map[core.RegionID]int) int {
	largest, total, known := 0, 0, 0
	for _, count := range counted {
		largest = max(largest, count)
		total += count
	}
	for _, region := range regions {
		if _, heard := counted[region]; heard {
			known++
		}
	}
	return total + (len(regions)-known)*largest
}
