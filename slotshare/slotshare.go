// Package slotshare decides how the slots of one endpoint are divided among the
// gateways that send to it. It performs no I/O.
//
// Load pattern answered: arrivals exceed what all endpoints can start, for
// seconds. Gateways that see an endpoint's load only some time later all fill
// the same slots and their calls queue inside the endpoint, each of them late.
// A gateway that owns some slots fills them again as soon as its own calls end,
// without asking anybody, and no call waits inside an endpoint.
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
	// leastWant stands in for a gateway that wants next to nothing, so that a call
	// which comes finds a slot.
	leastWant = 0.05
	// stickiness is by what factor a want must change before slots move: moving a
	// slot leaves it unused, or used twice, until a call has ended.
	stickiness = 1.3
	// wantLife is how long a gateway counts that says nothing: three times the
	// interval at which gateways repeat what they want.
	wantLife = 3 * time.Second
)

// Demand is what one gateway says.
type Demand struct {
	// Calls is how many calls it would run at the endpoint if it could.
	Calls float64
	// Open is how many it runs there now.
	Open int
}

// Divider divides the slots of one endpoint. It is not safe for concurrent use.
type Divider struct {
	// offset differs between endpoints, so that parts of a slot go to other gateways.
	offset   float64
	slots    int
	gateways map[string]*share
}

// share is the state of one gateway.
type share struct {
	want   Demand
	at     boottime.Instant
	weight float64
	// goal is what the gateway is to have, granted what it may use now.
	goal, granted int
}

// NewDivider returns the divider of an endpoint that has no gateway yet.
func NewDivider(endpoint string) *Divider {
	return &Divider{offset: float64(xxh3.HashString(endpoint)>>11) / (1 << 53), gateways: map[string]*share{}}
}

// SetSlots sets how many calls the endpoint runs at once.
func (d *Divider) SetSlots(slots int) { d.slots = slots }

// SetDemand notes what a gateway wants.
func (d *Divider) SetDemand(now boottime.Instant, gateway string, want Demand) {
	s := d.gateways[gateway]
	if s == nil {
		s = &share{}
		d.gateways[gateway] = s
	}
	s.want, s.at = want, now
}

// Remove forgets a gateway that has gone.
func (d *Divider) Remove(gateway string) { delete(d.gateways, gateway) }

// Granted returns how many slots a gateway may fill; false when it is not counted.
func (d *Divider) Granted(gateway string) (slots int, counted bool) {
	s := d.gateways[gateway]
	if s == nil || d.slots == 0 {
		return 0, false
	}
	return s.granted, true
}

// Divide works out the grants anew and reports whether any changed.
func (d *Divider) Divide(now boottime.Instant) bool {
	changed := false
	for name, s := range d.gateways {
		if now.Sub(s.at) > wantLife {
			delete(d.gateways, name)
			changed = true
		}
	}
	d.setGoals()
	return d.grant() || changed
}

// setGoals gives each gateway its part by weight, in whole slots whose sum is
// that of the endpoint.
func (d *Divider) setGoals() {
	total := 0.0
	for _, s := range d.gateways {
		calls := max(s.want.Calls, leastWant)
		if s.weight == 0 || calls > s.weight*stickiness || calls < s.weight/stickiness {
			s.weight = calls
		}
		total += s.weight
	}
	upTo, before := 0.0, math.Floor(d.offset)
	for _, name := range d.names() {
		s := d.gateways[name]
		upTo += s.weight / total * float64(d.slots)
		whole := math.Floor(upTo + d.offset)
		s.goal = int(whole - before)
		before = whole
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

// grant lowers grants at once and raises them as far as slots are free.
func (d *Divider) grant() bool {
	changed := false
	used := 0
	for _, s := range d.gateways {
		if s.granted > s.goal {
			s.granted, changed = s.goal, true
		}
		used += max(s.granted, s.want.Open)
	}
	for _, name := range d.names() {
		s := d.gateways[name]
		raise := min(s.goal-s.granted, d.slots-used+max(s.want.Open-s.granted, 0))
		if raise <= 0 {
			continue
		}
		used += max(s.granted+raise, s.want.Open) - max(s.granted, s.want.Open)
		s.granted += raise
		changed = true
	}
	return changed
}
