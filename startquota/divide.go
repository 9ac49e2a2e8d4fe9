package startquota

import (
	"maps"
	"slices"

	"github.com/zinniaseam/zinniaseam/boottime"
)

// Divide ends the leases of gateways that sent no message within LeaseTime, and renews the
// leases of the others by the slots that they may fill, as far as calls are free. It
// reports whether a lease changed.
func (q *Quota) Divide(now boottime.Instant, slotsOf func(gateway string) int) bool {
	used := 0
	q.former = current(now, q.former)
	for _, past := range q.former {
		used += past.starts
	}
	for gateway, h := range q.holders {
		if now.Sub(h.seenAt) > LeaseTime {
			h.hold(h.leased(), h.seenAt.Add(LeaseTime+holdTime))
			h.leases = nil
		}
		charge := h.charge(now)
		if charge == 0 && len(h.leases) == 0 {
			delete(q.holders, gateway)
			continue
		}
		used += charge
	}
	changed := false
	q.gateways = 0
	shared, before := q.shared(now), 0
	free := shared - used
	for _, gateway := range slices.Sorted(maps.Keys(q.holders)) {
		h := q.holders[gateway]
		if len(h.leases) == 0 {
			continue
		}
		q.gateways++
		slots := slotsOf(gateway)
		free = q.renew(now, h, q.startsFor(shared, before, slots), free, &changed)
		before += slots
	}
	return changed
}

// renew replaces a gateway's lease if it should have another number of starts, and returns
// how many starts remain free. A lower number takes effect at once; a higher one needs free
// starts beyond those that the gateway is charged with already.
func (q *Quota) renew(now boottime.Instant, h *holder, want, free int, changed *bool) int {
	newest, charge := h.newest().Starts, h.charge(now)
	if want > charge {
		want = min(want, charge+max(free, 0))
		free -= max(want-charge, 0)
	}
	if want == newest {
		return free
	}
	h.leases = append(h.leases, Lease{Number: q.next(), Starts: want})
	*changed = true
	return free
}

// shared returns how many starts all gateways may hold together.
func (q *Quota) shared(now boottime.Instant) int {
	usual, age := q.part(usualShare), now.Sub(q.startedAt)
	switch {
	case q.unprecedented:
		return usual
	case age < holdTime:
		return q.limit - usual
	case age < LeaseTime+holdTime:
		return q.part(succeedingShare)
	}
	return usual
}

// part returns a part of the limit, rounded up.
func (q *Quota) part(share int) int {
	return (q.limit*share + shareDenominator - 1) / shareDenominator
}

// startsFor returns how many of the shared starts belong to a gateway's slots, which follow
// the given number of slots of other gateways. Fractions are handed on to the next gateway.
func (q *Quota) startsFor(shared, before, slots int) int {
	if q.slots == 0 {
		return 0
	}
	return (before+slots)*shared/q.slots - before*shared/q.slots
}
