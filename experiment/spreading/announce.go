package spreading

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// announcePeriod is the interval at which a machine announces new chunks to its
// neighbours.
const announcePeriod = 100 * time.Millisecond

// startAnnouncing starts periodic announcements of new chunks of m, if the policy
// uses them. They stop when m gets another version.
func (s *simulation) startAnnouncing(m *machine) {
	if _, announces := m.policy.(spread.Announcer); !announces {
		return
	}
	m.chunkLog = nil
	m.announced = map[*machine]int{}
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

// announce sends the chunks stored since the last announcement to each machine that
// has m as a neighbour.
func (s *simulation) announce(m *machine) {
	for _, listener := range s.listeners(m) {
		newChunks := m.chunkLog[m.announced[listener]:]
		if len(newChunks) == 0 || listener.epoch != m.epoch || s.unreachable(m, listener) {
			continue
		}
		m.announced[listener] = len(m.chunkLog)
		m.messages++
		chunks := append([]int(nil), newChunks...)
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
