package membership

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// Receiver says what the receiver of a message is known to hold.
type Receiver struct {
	ID             core.VMID
	ConfigRevision uint64
	VMsRevision    uint64
	// WantsEndpoints is set for entries; endpoint processes do not route.
	WantsEndpoints bool
	// Joining asks for all endpoint states, whatever was delivered before.
	Joining bool
	// Zone is the receiver's zone.
	Zone core.ZoneID
	// Pool, when set, asks for the states of one pool in the receiver's zone.
	Pool core.PoolID
	// Protocol is the version of the exchange that the receiver speaks.
	Protocol uint32
	// Requested says which documents the receiver asked for, from protocol 1 on.
	Requested DocumentRequest
	// Unknown holds the keys of short states whose whole states it lacks.
	Unknown []uint64
	// Now is the time; endpoints whose other entry is silent are passed on.
	Now time.Time
}

// Versions of the exchange.
const (
	// ProtocolFull sends whole documents to whoever has older ones.
	ProtocolFull = 0
	// ProtocolOnRequest sends documents to who asks for them, as changes when it can.
	ProtocolOnRequest = 1
	// ProtocolKeepalives sends states that differ in little as keepalives, also in replies.
	ProtocolKeepalives = 2
	// Protocol is the version that this program speaks.
	Protocol = ProtocolKeepalives
)

// DocumentRequest is what a process asks another for.
type DocumentRequest struct {
	Config, VMs bool
	// ConfigBase and VMsBase are the hashes of the documents that it holds.
	ConfigBase, VMsBase uint64
}

// RequestOf returns what the sender of a message asks for.
func RequestOf(told *peerpb.Knowledge) DocumentRequest {
	return DocumentRequest{
		Config: told.GetWantsConfig(), VMs: told.GetWantsVms(),
		ConfigBase: told.GetConfigBase(), VMsBase: told.GetVmsBase(),
	}
}

// Delivery is a message with the cursor to confirm once it arrived.
type Delivery struct {
	Message *peerpb.Knowledge
	cursor  uint64
	// to is the receiver, or whose cursor counts for it.
	to core.VMID
}

// Build returns what receiver should be told: documents that are newer than
// its own, all zone orders, and the endpoint states not yet delivered to it.
func (s *State) Build(receiver Receiver) Delivery {
	message := &peerpb.Knowledge{
		From:           string(s.self),
		ConfigRevision: s.Config().Revision,
		VmsRevision:    s.VMs().Revision,
		ZoneOrders:     s.ZoneOrders(),
		Protocol:       Protocol,
	}
	s.addDocuments(message, receiver)
	if receiver.Pool != "" {
		message.Endpoints = s.poolStates(receiver)
	}
	s.addUnknown(message, receiver)
	if receiver.WantsEndpoints {
		s.addStates(message, receiver)
	}
	return Delivery{Message: message, cursor: s.nextIndex, to: s.countedAs(receiver)}
}

// countedAs returns whose cursor counts for a receiver. The entries of another
// zone count as one: whoever is told passes it on, and asks for what is lacking.
func (s *State) countedAs(receiver Receiver) core.VMID {
	if receiver.Zone == s.zone || receiver.Protocol < ProtocolKeepalives {
		return receiver.ID
	}
	return zonePeer(receiver.Zone)
}

// addStates adds the endpoint states that the receiver was not told: short ones
// when it holds all but what a keepalive carries.
func (s *State) addStates(message *peerpb.Knowledge, receiver Receiver) {
	known := s.peer(s.countedAs(receiver))
	after := known.cursor
	if receiver.Joining {
		after = 0
	}
	for _, e := range s.endpoints {
		switch {
		case e.index <= after || e.from == receiver.ID:
		case !receiver.Joining && !s.passesOn(e, receiver):
		case e.changed <= after && e.key != 0 && receiver.Protocol >= ProtocolKeepalives:
			s.addKeepalive(message, e)
		default:
			message.Endpoints = append(message.Endpoints, e.state)
		}
	}
	known.sent = s.nextIndex
	message.Delivered, message.Confirms = s.nextIndex, known.taken
}

// addDocuments adds the documents that the receiver lacks and asked for.
func (s *State) addDocuments(message *peerpb.Knowledge, receiver Receiver) {
	asks := receiver.Protocol >= ProtocolOnRequest
	if s.Config().Revision > receiver.ConfigRevision && (!asks || receiver.Requested.Config) {
		json, change := s.config.body(receiver.Requested.ConfigBase)
		message.Config = &peerpb.Config{Revision: s.Config().Revision, Json: json, Change: change}
	}
	if s.VMs().Revision > receiver.VMsRevision && (!asks || receiver.Requested.VMs) {
		json, change := s.vms.body(receiver.Requested.VMsBase)
		message.Vms = &peerpb.VMList{Revision: s.VMs().Revision, Json: json, Change: change}
	}
}

// passesOn reports whether a state goes to receiver: within the zone what came
// from the endpoint itself, unless the first of its two entries does that, or
// from another zone; to other zones the states of the own zone, and of each
// pool a bounded part.
func (s *State) passesOn(e *endpoint, receiver Receiver) bool {
	if receiver.Zone == s.zone {
		return e.path != pathOwnZone && !e.leavesToFirst(receiver.Now)
	}
	ofZone := e.path == pathOwnZone && e.state.GetZone() == string(s.zone)
	return (ofZone || e.path == pathDirect) && s.inPart(e, receiver.Zone)
}

// inPart reports whether an endpoint is among the MaxRemoteEndpoints of its pool
// and zone that another zone hears of. Endpoints of plain services always are,
// since every entry must know the same ones to find the home of a key.
func (s *State) inPart(e *endpoint, zone core.ZoneID) bool {
	if e.state.GetService() != "" {
		return true
	}
	own := partRank(zone, e.state.GetVm())
	ahead := 0
	for _, other := range s.endpoints {
		same := other.state.GetPool() == e.state.GetPool() && other.state.GetZone() == e.state.GetZone()
		if same && partRank(zone, other.state.GetVm()) > own {
			ahead++
		}
		if ahead >= MaxRemoteEndpoints {
			return false
		}
	}
	return true
}

func partRank(zone core.ZoneID, vm string) uint64 { return xxh3.HashString(string(zone) + "/" + vm) }

func (s *State) poolStates(receiver Receiver) []*peerpb.EndpointState {
	var states []*peerpb.EndpointState
	for _, e := range s.endpoints {
		if e.state.GetPool() == string(receiver.Pool) && e.state.GetZone() == string(receiver.Zone) {
			states = append(states, e.state)
		}
	}
	return states
}

// Delivered records that a delivery arrived, so that its endpoint states are not sent again.
func (s *State) Delivered(d Delivery) {
	known := s.peer(d.to)
	known.cursor = max(known.cursor, d.cursor)
}

// PoolOf returns the pool of an endpoint, empty when it is not known.
func (s *State) PoolOf(id core.VMID) core.PoolID {
	if e := s.endpoints[id]; e != nil {
		return core.PoolID(e.state.GetPool())
	}
	return ""
}
