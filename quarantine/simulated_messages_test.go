package quarantine_test

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/quarantine"
)

// exchange sends a gateway's records if they have changed or were not sent for a while.
func (s *simulation) exchange(g *gateway) {
	since := s.now() - g.sentAt
	news := g.tracker.Version() != g.sentVersion || g.tracker.Reported() != g.lastCut
	if since < sendInterval || !news && since < repeatInterval {
		return
	}
	records := g.tracker.Records(s.instant(g))
	cuts, last := g.tracker.Cuts(s.instant(g), g.lastCut)
	g.sentVersion, g.lastCut, g.sentAt = g.tracker.Version(), last, s.now()
	if s.hubs > 0 {
		s.tell(s.hub, records, cuts, 25*time.Millisecond, 200*time.Millisecond)
		return
	}
	s.tell(s.peers(g), records, nil, 50*time.Millisecond, 400*time.Millisecond)
}

// passOn sends a hub's records to all gateways if they have changed or were not sent for a while.
func (s *simulation) passOn(hub *gateway) {
	if hub.tracker.Version() == hub.sentVersion && s.now()-hub.sentAt < hubRepeatInterval {
		return
	}
	records := hub.tracker.Records(s.instant(hub))
	hub.sentVersion, hub.sentAt = hub.tracker.Version(), s.now()
	s.tell(s.gateway, records, nil, 25*time.Millisecond, 200*time.Millisecond)
}

// tell sends records and cuts to other processes.
func (s *simulation) tell(others []*gateway, records []quarantine.Record, cuts []quarantine.Cut, soonest, latest time.Duration) {
	if len(records)+len(cuts) == 0 {
		return
	}
	for _, other := range others {
		if s.random.Float64() >= s.loss {
			to := other.tracker
			s.clock.After(s.between(soonest, latest), func() {
				if other.tracker != to {
					return // killed meanwhile
				}
				other.tracker.LearnCuts(s.instant(other), cuts)
				other.tracker.Learn(s.instant(other), records)
			})
		}
	}
}

// peers returns the gateways that get a message.
func (s *simulation) peers(g *gateway) []*gateway {
	if len(s.gateway) <= fanOut {
		return slices.DeleteFunc(slices.Clone(s.gateway), func(other *gateway) bool { return other == g })
	}
	var chosen []*gateway
	for range fanOut {
		if other := s.gateway[s.random.IntN(len(s.gateway))]; other != g {
			chosen = append(chosen, other)
		}
	}
	return chosen
}
