package membership

import "github.com/zinniaseam/zinniaseam/core"

// zoneIncarnation is the incarnation of a peer that represents all entries of a
// zone.
const zoneIncarnation = 1

// peer is the exchange state with another process.
type peer struct {
	// incarnation and protocol are those of the peer's last message.
	incarnation uint64
	protocol    uint32
	// sent is the greatest index sent to the peer, cursor the greatest index that
	// the peer confirmed.
	sent, cursor uint64
	// received is the greatest of the peer's indexes that was received from it.
	received uint64
	// unknown holds the keys of the peer's keepalives whose full states are not
	// known here.
	unknown []uint64
}

// peer returns the exchange state with a process. If there is none, it adds an
// empty one; at MaxPeers it clears all others first.
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

// zonePeer returns the ID of the peer that represents all entries of a zone.
func zonePeer(zone core.ZoneID) core.VMID { return core.VMID("zone/" + zone) }

// ProtocolOf returns the protocol version in the last message of a process. If
// none was received, it returns the version last received from an entry of its
// zone, or else ProtocolFull.
func (s *State) ProtocolOf(id core.VMID, zone core.ZoneID) uint32 {
	for _, known := range []*peer{s.peers[id], s.peers[zonePeer(zone)]} {
		if known != nil && known.incarnation != 0 {
			return known.protocol
		}
	}
	return ProtocolFull
}

// recordMessage records a message of the peer. If the incarnation changed, the
// process restarted and lost its state, so all cursors are reset.
func (p *peer) recordMessage(incarnation uint64, protocol uint32) {
	if incarnation != 0 && incarnation != p.incarnation {
		*p = peer{incarnation: incarnation}
	}
	p.protocol = protocol
}

// confirm advances the cursor to an index that the peer confirmed. An index
// greater than sent is ignored: it dates from before this process restarted.
func (p *peer) confirm(change uint64) {
	if change <= p.sent {
		p.cursor = max(p.cursor, change)
	}
}
