package startquota

import (
	"maps"
	"slices"

	"github.com/zinniaseam/zinniaseam/boottime"
)

// Divide ends the leases of gateways that sent no message within LeaseTime, and replaces the
// leases of the others by their shares. A gateway gets more starts as far as some are free,
// and loses some only if others miss them. It reports whether a lease changed.
func (q *Quota) Divide(now boottime.Instant, slotsOf func(gateway string) int) bool {
	q.expire(now)
	shares := q.shares(now, slotsOf)
	q.gateways = len(shares)
	free := q.shared(now) - q.used(now)
	missing := -free
	for _, s := range shares {
		missing += max(s.starts-s.holder.charge(now), 0)
	}
	changed := false
	for _, s := range shares {
		lease, charge := s.holder.newest().Starts, s.holder.charge(now)
		starts := lease
		switch {
		case s.starts < lease:
			starts = max(s.starts, lease-max(missing, 0))
			missing -= lease - starts
		case s.starts > lease:
			starts = min(s.starts, charge+max(free, 0))
			free -= max(starts-charge, 0)
		}
		if starts != lease {
			s.holder.leases = append(s.holder.leases, Lease{Number: q.next(), Starts: starts})
			changed = true
		}
	}
	return changed
}

// expire ends the leases of gateways that have sent no message for LeaseTime, and forgets
// gateways whose calls no longer count.
func (q *Quota) expire(now boottime.Instant) {
	for gateway, h := range q.holders {
		if now.Sub(h.seenAt) > LeaseTime {
			h.hold(h.leased(), h.seenAt.Add(LeaseTime+holdTime))
			h.leases = nil
		}
		if h.charge(now) == 0 && len(h.leases) == 0 {
			delete(q.holders, gateway)
		}
	}
}

// used returns how many starts gateways hold, may still use, or have used lately.
func (q *Quota) used(now boottime.Instant) int {
	q.former = current(now, q.former)
	used := 0
	for _, past := range q.former {
		used += past.starts
	}
	for _, h := range q.holders {
		used += h.charge(now)
	}
	return used
}

// share is the number of starts that a gateway should have, between least and most.
type share struct {
	holder              *holder
	starts, least, most int
}

// shares divides the shared starts by the slots that gateways may fill, in the order of
// their names. A gateway keeps a lease within a start of its exact share, since a start that
// moves is not used for a Window.
func (q *Quota) shares(now boottime.Instant, slotsOf func(gateway string) int) []share {
	shared := q.shared(now)
	left := shared
	var shares []share
	for _, gateway := range slices.Sorted(maps.Keys(q.holders)) {
		h := q.holders[gateway]
		if len(h.leases) == 0 {
			continue
		}
		s := share{holder: h}
		if slots := slotsOf(gateway); slots > 0 && q.slots > 0 {
			s.least = slots * shared / q.slots
			s.most = (slots*shared + q.slots - 1) / q.slots
		}
		s.starts = s.least
		left -= s.starts
		shares = append(shares, s)
	}
	for _, keep := range []bool{true, false} {
		for i := range shares {
			s := &shares[i]
			if left > 0 && s.starts < s.most && (!keep || s.holder.newest().Starts >= s.most) {
				s.starts++
				left--
			}
		}
	}
	return shares
}

// shared returns how many starts all gateways may hold together. A process that may succeed
// another one leases none for holdTime, in which the former one's calls count.
func (q *Quota) shared(now boottime.Instant) int {
	age := now.Sub(q.startedAt)
	switch {
	case q.unprecedented || age >= LeaseTime+holdTime:
		return q.limit
	case age >= holdTime:
		return (q.limit*succeedingShare + shareDenominator - 1) / shareDenominator
	}
	return 0
}
