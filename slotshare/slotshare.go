// Package slotshare divides the slots of one endpoint among the gateways that send
// calls to it. It performs no I/O.
//
// Load pattern: arrivals exceed what all endpoints can start, for seconds. Gateways
// that learn of an endpoint's load with a delay all fill the same slots, and their
// calls queue inside the endpoint, each of them late. A gateway that owns slots refills
// them as soon as its own calls end, without a round trip to another process, and no
// call waits inside an endpoint.
package slotshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/boottime"
)

const (
	// minDemand is the minimum demand assumed for a gateway, in calls, so that an
	// unexpected call finds a slot.
	minDemand = 0.05
	// hysteresis is the factor by which a demand must change before slots move. Moving a
	// slot leaves it unused, or used twice, until a call has ended.
	hysteresis = 1.3
	// demandTTL is how long a reported demand remains valid: three times the interval at
	// which gateways repeat their demand.
	demandTTL = 3 * time.Second
	// settleTime is how long after an increase of the number of slots none moves from one
	// gateway to another. Gateways report the calls that they run up to 1 s late.
	settleTime = time.Second
)

// Demand is the need for slots that one gateway reports.
type Demand struct {
	// Calls is the number of calls that the gateway would run at the endpoint if it had
	// the slots.
	Calls float64
	// Ranked are the calls by rank, the highest first. All calls of a gateway that does not
	// tell them have the lowest rank.
	Ranked [Ranks]float64
	// Open is the number of calls that it runs there now.
	Open int
}

// Ranks is the number of ranks that are told apart.
const Ranks = 10

// Rank returns the index of a priority among the ranks.
func Rank(priority int) int { return min(max(priority, 0), Ranks-1) }

// byRank returns the demand by rank, of at least minDemand in total.
func (d Demand) byRank() [Ranks]float64 {
	ranked, total := d.Ranked, 0.0
	for _, calls := range ranked {
		total += calls
	}
	if total == 0 {
		ranked[Ranks-1], total = d.Calls, d.Calls
	}
	ranked[Ranks-1] += max(minDemand-total, 0)
	return ranked
}

// Divider divides the slots of one endpoint. It is not safe for concurrent use.
type Divider struct {
	// offset differs between endpoints, so that fractions of a slot go to different
	// gateways.
	offset   float64
	slots    int
	gateways map[string]*share
	// divided is the number of slots at the last Divide. settledAt is settleTime after its
	// last change if that was an increase.
	divided   int
	settledAt boottime.Instant
	// settles is set if slots stay with their gateways for settleTime after an increase.
	settles bool
}

// share is the state of one gateway.
type share struct {
	demand Demand
	at     boottime.Instant
	// weights are the calls by rank by which slots are divided.
	weights [Ranks]float64
	// target is the number of slots intended for the gateway, granted the number it may
	// fill now.
	target, granted int
}

// NewDivider returns the divider of an endpoint without gateways. The endpoint's name
// determines which gateways receive the fractions of slots.
func NewDivider(endpoint string) *Divider {
	return &Divider{offset: float64(xxh3.HashString(endpoint)>>11) / (1 << 53), gateways: map[string]*share{}}
}

// SetSlots sets the number of calls that the endpoint runs at once.
func (d *Divider) SetSlots(slots int) { d.slots = slots }

// SetSettling sets whether slots stay with their gateways for a second after their number has
// increased, as it does several times while an engine is paced.
func (d *Divider) SetSettling(settles bool) { d.settles = settles }

// SetDemand records the demand of a gateway.
func (d *Divider) SetDemand(now boottime.Instant, gateway string, demand Demand) {
	s := d.gateways[gateway]
	if s == nil {
		s = &share{}
		d.gateways[gateway] = s
	}
	s.demand, s.at = demand, now
}

// Remove removes a disconnected gateway.
func (d *Divider) Remove(gateway string) { delete(d.gateways, gateway) }

// Granted returns the number of slots that a gateway may fill. It returns false if the
// gateway has no valid demand or the number of slots is not known.
func (d *Divider) Granted(gateway string) (slots int, known bool) {
	s := d.gateways[gateway]
	if s == nil || d.slots == 0 {
		return 0, false
	}
	return s.granted, true
}

// Divide removes gateways whose demand has expired, recomputes the grants, and reports
// whether anything changed.
func (d *Divider) Divide(now boottime.Instant) bool {
	changed := false
	for name, s := range d.gateways {
		if now.Sub(s.at) > demandTTL {
			delete(d.gateways, name)
			changed = true
		}
	}
	switch {
	case d.slots < d.divided:
		d.settledAt = now
	case d.settles && d.slots > d.divided && d.divided > 0:
		d.settledAt = now.Add(settleTime)
	}
	d.divided = d.slots
	d.setTargets()
	return d.grant(!now.Before(d.settledAt)) || changed
}

// setTargets assigns slots to the demand of the highest rank of all gateways, then to the
// next one, and what is left in proportion to the whole demand. Targets are rounded so that
// they add up to the endpoint's slots.
//
// Load pattern: calls of all ranks exceed the endpoint's slots, and gateways have different
// parts of each rank. In proportion to all calls, a gateway with calls of low rank keeps
// slots while another one rejects calls of a high rank.
func (d *Divider) setTargets() {
	var totals [Ranks]float64
	all := 0.0
	for _, s := range d.gateways {
		for rank, calls := range s.demand.byRank() {
			if weight := s.weights[rank]; calls > weight*hysteresis || calls < weight/hysteresis {
				s.weights[rank] = calls
			}
			totals[rank] += s.weights[rank]
			all += s.weights[rank]
		}
	}
	var filled [Ranks]float64
	left := float64(d.slots)
	for rank, total := range totals {
		if total > 0 {
			filled[rank] = min(left/total, 1)
			left -= filled[rank] * total
		}
	}
	cumulative, begin := 0.0, math.Floor(d.offset)
	for _, name := range d.names() {
		s := d.gateways[name]
		for rank, weight := range s.weights {
			cumulative += weight * (filled[rank] + left/all)
		}
		end := math.Floor(cumulative + d.offset)
		s.target = int(end - begin)
		begin = end
	}
}

func (d *Divider) names() []string {
	names := make([]string, 0, len(d.gateways))
	for name := range d.gateways {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashStringSeed(a, math.Float64bits(d.offset)), xxh3.HashStringSeed(b, math.Float64bits(d.offset))), cmp.Compare(a, b))
	})
	return names
}

// grant lowers grants at once and raises them as far as slots are free. Unless the number of
// slots has settled after an increase, it lowers them only as far as more are granted than
// there are.
//
// Load pattern: the number of slots rises several times within a second while an engine
// recovers. With each rise the shares of many gateways fall on other gateways, and one that
// loses a slot may just have filled it: its call and that of the new holder both run.
func (d *Divider) grant(settled bool) bool {
	changed := false
	excess := -d.slots
	for _, s := range d.gateways {
		excess += s.granted
	}
	used := 0
	for _, name := range d.names() {
		s := d.gateways[name]
		lower := max(s.granted-s.target, 0)
		if !settled {
			lower = min(lower, max(excess, 0))
		}
		if lower > 0 {
			s.granted, excess, changed = s.granted-lower, excess-lower, true
		}
		used += max(s.granted, s.demand.Open)
	}
	for _, name := range d.names() {
		s := d.gateways[name]
		raise := min(s.target-s.granted, d.slots-used+max(s.demand.Open-s.granted, 0))
		if raise <= 0 {
			continue
		}
		used += max(s.granted+raise, s.demand.Open) - max(s.granted, s.demand.Open)
		s.granted += raise
		changed = true
	}
	return changed
}
