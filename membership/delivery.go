package membership

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// Receiver describes the receiver of a message: what it already has and what it
// requests.
type Receiver struct {
	ID             core.VMID
	ConfigRevision uint64
	VMsRevision    uint64
	// WantsEndpoints requests endpoint states. It is set for entries; endpoint
	// processes do not route.
	WantsEndpoints bool
	// Joining requests all endpoint states, including those delivered before.
	Joining bool
	// Zone is the receiver's zone.
	Zone core.ZoneID
	// Pool, if set, requests the endpoint states of one pool in the receiver's
	// zone.
	Pool core.PoolID
	// Protocol is the protocol version that the receiver supports.
	Protocol uint32
	// Requested is the receiver's request for documents. It is used from
	// ProtocolOnRequest, version 1, on.
	Requested DocumentRequest
	// Unknown holds the keys of keepalives that the receiver could not resolve
	// to a stored state. The full states are sent to it.
	Unknown []uint64
	// Now is the current time. It determines whether the primary entry of an
	// endpoint is silent, in which case this process relays the endpoint's state.
	Now time.Time
}

// Protocol versions of the exchange between processes.
const (
	// ProtocolFull sends full documents to every process that has older ones.
	ProtocolFull = 0
	// ProtocolOnRequest sends documents only on request, as deltas if possible.
	ProtocolOnRequest = 1
	// ProtocolKeepalives also sends endpoint states in which only sequence, load
	// or configuration revision changed as keepalives, in requests and replies.
	ProtocolKeepalives = 2
	// Protocol is the version that this program implements.
	Protocol = ProtocolKeepalives
)

// DocumentRequest is the request of a process for newer documents.
type DocumentRequest struct {
	Config, VMs bool
	// ConfigBase and VMsBase are the hashes of the documents that the process
	// has, or 0 to request a full document.
	ConfigBase, VMsBase uint64
}

// RequestOf returns the document request in a message.
func RequestOf(message *peerpb.Knowledge) DocumentRequest {
	return DocumentRequest{
		Config: message.GetWantsConfig(), VMs: message.GetWantsVms(),
		ConfigBase: message.GetConfigBase(), VMsBase: message.GetVmsBase(),
	}
}

// Delivery is a message together with the cursor to advance once the message was
// delivered.
type Delivery struct {
	Message *peerpb.Knowledge
	cursor  uint64
	// cursorID is the peer whose cursor is advanced; see State.cursorID.
	cursorID core.VMID
}

// Build returns the next message for receiver: documents newer than its own, all
// zone orders, and the endpoint states not yet delivered to it.
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
	s.addMissingStates(message, receiver)
	if receiver.WantsEndpoints {
		s.addStates(message, receiver)
	}
	return Delivery{Message: message, cursor: s.lastIndex, cursorID: s.cursorID(receiver)}
}

// cursorID returns the ID of the peer whose cursor is used for receiver. All
// entries of another zone share one cursor, because an entry relays what it
// receives within its zone and requests missing states.
func (s *State) cursorID(receiver Receiver) core.VMID {
	if receiver.Zone == s.zone || receiver.Protocol < ProtocolKeepalives {
		return receiver.ID
	}
	return zonePeer(receiver.Zone)
}

// addStates adds the endpoint states that were not yet delivered to the
// receiver. A state of which only the fields in a keepalive changed is added as a
// keepalive.
func (s *State) addStates(message *peerpb.Knowledge, receiver Receiver) {
	known := s.peer(s.cursorID(receiver))
	after := known.cursor
	if receiver.Joining {
		after = 0
	}
	for _, e := range s.endpoints {
		switch {
		case e.index <= after || e.from == receiver.ID:
		case !receiver.Joining && !s.shouldRelay(e, receiver):
		case e.changed <= after && e.key != 0 && receiver.Protocol >= ProtocolKeepalives:
			s.addKeepalive(message, e)
		default:
			message.Endpoints = append(message.Endpoints, e.state)
		}
	}
	known.sent = s.lastIndex
	message.Delivered, message.Confirms = s.lastIndex, known.received
}

// addDocuments adds the documents that are newer than those of the receiver and,
// from ProtocolOnRequest on, were requested.
func (s *State) addDocuments(message *peerpb.Knowledge, receiver Receiver) {
	onRequest := receiver.Protocol >= ProtocolOnRequest
	if s.Config().Revision > receiver.ConfigRevision && (!onRequest || receiver.Requested.Config) {
		json, change := s.config.body(receiver.Requested.ConfigBase)
		message.Config = &peerpb.Config{Revision: s.Config().Revision, Json: json, Change: change}
	}
	if s.VMs().Revision > receiver.VMsRevision && (!onRequest || receiver.Requested.VMs) {
		json, change := s.vms.body(receiver.Requested.VMsBase)
		message.Vms = &peerpb.VMList{Revision: s.VMs().Revision, Json: json, Change: change}
	}
}

// shouldRelay reports whether the state of e is sent to receiver. Within the
// zone, a process relays states received from the endpoint itself, unless the
// endpoint's primary entry does so, and states received from other zones. To
// other zones it relays the states of its own zone and those received from the
// endpoint itself, limited per pool by inRemoteSubset.
func (s *State) shouldRelay(e *endpoint, receiver Receiver) bool {
	if receiver.Zone == s.zone {
		return e.path != pathOwnZone && !e.relayedByPrimary(receiver.Now)
	}
	ofZone := e.path == pathOwnZone && e.state.GetZone() == string(s.zone)
	return (ofZone || e.path == pathDirect) && s.inRemoteSubset(e, receiver.Zone)
}

// inRemoteSubset reports whether e is among the MaxRemoteEndpoints endpoints of
// its pool and zone whose states are sent to another zone. Endpoints of plain
// services always are, because all entries must have the same list of them to
// compute the home of a key.
func (s *State) inRemoteSubset(e *endpoint, zone core.ZoneID) bool {
	if e.state.GetService() != "" {
		return true
	}
	own := subsetRank(zone, e.state.GetVm())
	ahead := 0
	for _, other := range s.endpoints {
		same := other.state.GetPool() == e.state.GetPool() && other.state.GetZone() == e.state.GetZone()
		if same && subsetRank(zone, other.state.GetVm()) > own {
			ahead++
		}
		if ahead >= MaxRemoteEndpoints {
			return false
		}
	}
	return true
}

// subsetRank returns the rendezvous hash by which inRemoteSubset selects endpoints.
func subsetRank(zone core.ZoneID, vm string) uint64 { return xxh3.HashString(string(zone) + "/" + vm) }

// poolStates returns the states of the endpoints of receiver.Pool in the
// receiver's zone.
func (s *State) poolStates(receiver Receiver) []*peerpb.EndpointState {
	var states []*peerpb.EndpointState
	for _, e := range s.endpoints {
		if e.state.GetPool() == string(receiver.Pool) && e.state.GetZone() == string(receiver.Zone) {
			states = append(states, e.state)
		}
	}
	return states
}

// Delivered records that d was delivered, so that its endpoint states are not
// sent again.
func (s *State) Delivered(d Delivery) {
	known := s.peer(d.cursorID)
	known.cursor = max(known.cursor, d.cursor)
}

// PoolOf returns the pool of an endpoint, or "" if the endpoint is unknown.
func (s *State) PoolOf(id core.VMID) core.PoolID {
	if e := s.endpoints[id]; e != nil {
		return core.PoolID(e.state.GetPool())
	}
	return ""
}
