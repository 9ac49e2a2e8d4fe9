package membership

import (
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

const (
	// MaxUnknownKeys bounds the whole states that are asked of one peer in one message.
	MaxUnknownKeys = 512
	// TakeoverAfter is how long the second of an endpoint's two entries waits
	// for the first to pass its state on before it does so itself.
	TakeoverAfter = 5 * time.Second
)

// keyOf identifies a state but for what a keepalive carries: sequence, load and
// configuration revision. 0 means that it has no key.
func keyOf(state *peerpb.EndpointState) uint64 {
	plain := proto.CloneOf(state)
	plain.Sequence, plain.Load, plain.ConfigRevision = 0, nil, 0
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(plain)
	if err != nil {
		return 0
	}
	return max(1, xxh3.Hash(data))
}

// addKeepalive adds the short form of a state to a message.
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

// wholeKeepalives reports whether every list of keepalives has one item for each key.
func wholeKeepalives(k *peerpb.Keepalives) bool {
	count := len(k.GetKeys())
	return len(k.GetSequences()) == count && len(k.GetInFlight()) == count && len(k.GetLimits()) == count &&
		len(k.GetQueued()) == count && len(k.GetConfigBehind()) == count
}

// mergeKeepalives takes the short states of a message and notes those whose
// whole states are lacking. It returns how many were new.
func (s *State) mergeKeepalives(now time.Time, told *peerpb.Knowledge) (fresh int) {
	k := told.GetKeepalives()
	if !wholeKeepalives(k) {
		return 0
	}
	sender := s.peer(core.VMID(told.GetFrom()))
	for i, key := range k.GetKeys() {
		held := s.endpoints[s.byKey[key]]
		if held == nil {
			if len(sender.unknown) < MaxUnknownKeys {
				sender.unknown = append(sender.unknown, key)
			}
			continue
		}
		state := held.state
		if k.GetSequences()[i] > state.GetSequence() {
			state = proto.CloneOf(state)
			state.Sequence = k.GetSequences()[i]
			state.Load = &peerpb.EndpointLoad{InFlight: k.GetInFlight()[i], Limit: k.GetLimits()[i], Queued: k.GetQueued()[i]}
			state.ConfigRevision = told.GetConfigRevision() - uint64(k.GetConfigBehind()[i])
		}
		if s.offer(now, sourceOf(told), state, key) {
			fresh++
		}
	}
	return fresh
}

// addUnknown adds what is lacking of the receiver's states, and of the own
// states those that the receiver lacks.
func (s *State) addUnknown(message *peerpb.Knowledge, receiver Receiver) {
	if known := s.peers[receiver.ID]; known != nil {
		message.Unknown, known.unknown = known.unknown, nil
	}
	for _, key := range receiver.Unknown {
		if e := s.endpoints[s.byKey[key]]; e != nil {
			message.Endpoints = append(message.Endpoints, e.state)
		}
	}
}

// leavesToFirst reports whether the first of the endpoint's two entries passes
// its state on: it was heard to do so lately.
func (e *endpoint) leavesToFirst(now time.Time) bool {
	return e.second && now.Sub(e.relayed) <= TakeoverAfter
}

// setSecond takes what an endpoint says of its two entries. When the first can't
// be reached any more, the state counts as new for those who are told by this process.
func (s *State) setSecond(id core.VMID, second bool) {
	e := s.endpoints[id]
	if e == nil || e.path != pathDirect || e.second == second {
		return
	}
	e.second = second
	s.nextIndex++
	e.index = s.nextIndex
}
