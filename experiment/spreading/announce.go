package spreading

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// announcePeriod is how often a machine tells its neighbours what it holds.
const announcePeriod = 100 * time.Millisecond

// startAnnouncing tells the machines that have m as a neighbour of its new
// chunks, when the policy wants it.
func (s *simulation) startAnnouncing(m *machine) {
	if _, wants := m.policy.(spread.Announcer); !wants {
		return
	}
	m.log = nil
	m.told = map[*machine]int{}
	version := m.epoch
	var round func()
	round = func() {
		if !m.alive || m.epoch != version || s.unfinished <= 0 {
			return
		}
		s.announce(m)
		s.After(announcePeriod, round)
	}
	s.After(announcePeriod, round)
}

func (s *simulation) announce(m *machine) {
	for _, listener := range s.listeners(m) {
		news := m.log[m.told[listener]:]
		if len(news) == 0 || listener.epoch != m.epoch || s.cut(m, listener) {
			continue
		}
		m.told[listener] = len(m.log)
		m.messages++
		chunks := append([]int(nil), news...)
		s.After(latency(m, listener), func() {
			if listener.epoch == m.epoch {
				listener.messages++
				s.step(listener, spread.PeerChunks{Peer: m.member.ID, Chunks: chunks})
			}
		})
	}
}

// listeners returns the machines that have m as a neighbour.
func (s *simulation) listeners(m *machine) []*machine {
	if s.listenersOf == nil {
		s.listenersOf = map[core.VMID][]*machine{}
		for _, other := range s.machines {
			announcer, ok := other.policy.(spread.Announcer)
			if !ok || !other.alive {
				continue
			}
			for _, id := range announcer.Neighbours() {
				s.listenersOf[id] = append(s.listenersOf[id], other)
			}
		}
	}
	return s.listenersOf[m.member.ID]
}
