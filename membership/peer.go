package membership

import "github.com/zinniaseam/zinniaseam/core"

// anyIncarnation is the start number of what stands for several processes.
const anyIncarnation = 1

// peer is what is known of another process.
type peer struct {
	// incarnation is the start number under which it last spoke, protocol the
	// version of the exchange that it spoke.
	incarnation uint64
	protocol    uint32
	// sent is the change up to which messages told it, cursor the one that it confirmed.
	sent, cursor uint64
	// taken is the change up to which it told us.
	taken uint64
	// unknown holds the keys of its keepalives whose whole states are lacking.
	unknown []uint64
}

// peer returns what is known of a process; of a new one nothing.
func (s *State) peer(id core.VMID) *peer {
	if known := s.peers[id]; known != nil {
		return known
	}
	if len(s.peers) >= MaxPeers {
		clear(s.peers)
	}
	s.peers[id] = &peer{}
	return s.peers[id]
}

// zonePeer stands for all entries of another zone.
func zonePeer(zone core.ZoneID) core.VMID { return core.VMID("zone/" + zone) }

// ProtocolOf returns the version of the exchange that a process last spoke;
// before it has spoken, what an entry of its zone last spoke, or ProtocolFull.
func (s *State) ProtocolOf(id core.VMID, zone core.ZoneID) uint32 {
	for _, known := range []*peer{s.peers[id], s.peers[zonePeer(zone)]} {
		if known != nil && known.incarnation != 0 {
			return known.protocol
		}
	}
	return ProtocolFull
}

// hears notes a message of a process. One that has started anew holds
// nothing of what it was told before.
func (p *peer) hears(incarnation uint64, protocol uint32) {
	if incarnation != 0 && incarnation != p.incarnation {
		*p = peer{incarnation: incarnation}
	}
	p.protocol = protocol
}

// confirm takes the change up to which the process says that it was told. More
// than it was told is what it heard before this process started.
func (p *peer) confirm(change uint64) {
	if change <= p.sent {
		p.cursor = max(p.cursor, change)
	}
}
