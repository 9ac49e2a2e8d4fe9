package membership

import (
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

const (
	// MaxUnknownKeys is the maximum number of full states requested from one
	// peer in one message.
	MaxUnknownKeys = 512
	// TakeoverAfter is how long the secondary of an endpoint's two entries waits
	// for the primary to relay the endpoint's state before it relays it itself.
	TakeoverAfter = 5 * time.Second
)

// keyOf returns a hash of all fields of state except those in a keepalive:
// sequence, load and configuration revision. It returns 0, which means no key,
// if the state cannot be marshaled.
func keyOf(state *peerpb.EndpointState) uint64 {
	plain := proto.CloneOf(state)
	plain.Sequence, plain.Load, plain.ConfigRevision = 0, nil, 0
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(plain)
	if err != nil {
		return 0
	}
	return max(1, xxh3.Hash(data))
}

// addKeepalive adds a keepalive for the state of e to a message.
func (s *State) addKeepalive(message *peerpb.Knowledge, e *endpoint) {
	if message.Keepalives == nil {
		message.Keepalives = &peerpb.Keepalives{}
	}
	k, load := message.Keepalives, e.state.GetLoad()
	k.Keys = append(k.Keys, e.key)
	k.Sequences = append(k.Sequences, e.state.GetSequence())
	k.InFlight = append(k.InFlight, load.GetInFlight())
	k.Limits = append(k.Limits, load.GetLimit())
	k.Queued = append(k.Queued, load.GetQueued())
	k.ConfigBehind = append(k.ConfigBehind, int64(s.Config().Revision-e.state.GetConfigRevision()))
}

// validKeepalives reports whether every list in k has exactly one item per key.
func validKeepalives(k *peerpb.Keepalives) bool {
	count := len(k.GetKeys())
	return len(k.GetSequences()) == count && len(k.GetInFlight()) == count && len(k.GetLimits()) == count &&
		len(k.GetQueued()) == count && len(k.GetConfigBehind()) == count
}

// mergeKeepalives applies the keepalives of a message and records the unknown
// keys, whose full states will be requested from the sender. It returns the
// number of states that were updated.
func (s *State) mergeKeepalives(now time.Time, message *peerpb.Knowledge) (fresh int) {
	k := message.GetKeepalives()
	if !validKeepalives(k) {
		return 0
	}
	sender := s.peer(core.VMID(message.GetFrom()))
	for i, key := range k.GetKeys() {
		current := s.endpoints[s.byKey[key]]
		if current == nil {
			if len(sender.unknown) < MaxUnknownKeys {
				sender.unknown = append(sender.unknown, key)
			}
			continue
		}
		state := current.state
		if k.GetSequences()[i] > state.GetSequence() {
			state = proto.CloneOf(state)
			state.Sequence = k.GetSequences()[i]
			state.Load = &peerpb.EndpointLoad{InFlight: k.GetInFlight()[i], Limit: k.GetLimits()[i], Queued: k.GetQueued()[i]}
			state.ConfigRevision = message.GetConfigRevision() - uint64(k.GetConfigBehind()[i])
		}
		if s.offer(now, sourceOf(message), state, key) {
			fresh++
		}
	}
	return fresh
}

// addMissingStates adds the keys of the receiver's keepalives whose full states are
// unknown here, and the full states that the receiver requested.
func (s *State) addMissingStates(message *peerpb.Knowledge, receiver Receiver) {
	if known := s.peers[receiver.ID]; known != nil {
		message.Unknown, known.unknown = known.unknown, nil
	}
	for _, key := range receiver.Unknown {
		if e := s.endpoints[s.byKey[key]]; e != nil {
			message.Endpoints = append(message.Endpoints, e.state)
		}
	}
}

// relayedByPrimary reports whether this process is the endpoint's secondary
// entry and the primary relayed the endpoint's state within TakeoverAfter.
func (e *endpoint) relayedByPrimary(now time.Time) bool {
	return e.secondary && now.Sub(e.lastRelayed) <= TakeoverAfter
}

// setSecondary records whether the endpoint reports to this process as its
// secondary entry. On a change the state gets a new index, so that it is
// delivered again: this process takes over relaying once the endpoint cannot
// reach its primary.
func (s *State) setSecondary(id core.VMID, secondary bool) {
	e := s.endpoints[id]
	if e == nil || e.path != pathDirect || e.secondary == secondary {
		return
	}
	e.secondary = secondary
	s.lastIndex++
	e.index = s.lastIndex
}
