// Package membership merges the state that processes exchange by gossip: the
// configuration, the platform's VM list, volatile zone orders and endpoint
// states. It performs no I/O. Merging is commutative and idempotent: for each
// item the greatest revision, stamp or (incarnation, sequence) pair wins.
package membership

import (
	"maps"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// Limits and timeouts of the state of one process.
const (
	// MaxEndpoints is the maximum number of endpoint states stored.
	MaxEndpoints = 4096
	// MaxRemoteEndpoints is the maximum number of endpoints of one pool in one
	// zone whose states are sent to another zone.
	MaxRemoteEndpoints = 8
	// MaxZoneOrders is the maximum number of zone orders stored.
	MaxZoneOrders = 256
	// MaxPeers is the maximum number of peers whose delivery cursors are stored,
	// and of entries.
	MaxPeers = 4096
	// EndpointTimeout is how long an endpoint is considered alive after its last
	// fresh state. States are sent every 2 to 2.5 s, and from another zone they
	// pass through three processes that each relay every 2 s, so up to 8 s may
	// pass between two.
	EndpointTimeout = 10 * time.Second
	// ExpireAfter is how long the state of a silent endpoint is stored.
	ExpireAfter = 60 * time.Second
)

// endpoint is the newest known state of one endpoint.
type endpoint struct {
	state *peerpb.EndpointState
	// lastSeen is when the last fresh state arrived.
	lastSeen time.Time
	// index is the value of State.lastIndex when the state was last stored or became
	// due for another delivery.
	index uint64
	// from is the peer that sent the state.
	from core.VMID
	path path
	// key identifies the state except for the fields in a keepalive; see keyOf.
	// changed is the index at which the key last changed.
	key     uint64
	changed uint64
	// secondary is set if this process is the secondary entry of the endpoint,
	// which reports to another entry first. lastRelayed is when another entry of
	// this zone last relayed the endpoint's state, at first the time of arrival.
	secondary   bool
	lastRelayed time.Time
}

// path is the last hop over which a state was received. It determines where the
// state is relayed, so that each entry receives a state from few others.
type path uint8

const (
	// pathDirect means that the endpoint process itself sent the state.
	pathDirect path = iota
	// pathOtherZone means that an entry of another zone sent the state.
	pathOtherZone
	// pathOwnZone means that an entry of this zone sent the state. That entry
	// also sends it to the other entries of the zone.
	pathOwnZone
)

// Changes reports which parts of the state a merge updated.
type Changes struct {
	VMs        bool
	ZoneOrders bool
	Endpoints  int
	// Urgent is set if an endpoint was added or changed in a way that is to be
	// propagated immediately; see isUrgentChange.
	Urgent bool
}

// State is the merged view of one process. It is not safe for concurrent use.
type State struct {
	self      core.VMID
	zone      core.ZoneID
	config    documents
	vms       documents
	orders    map[core.ZoneID]*peerpb.ZoneOrder
	endpoints map[core.VMID]*endpoint
	// lastIndex is the index of the latest update. A message contains the states whose
	// index is greater than the cursor of its receiver.
	lastIndex uint64
	// byKey maps the keys of endpoint states to endpoints.
	byKey   map[uint64]core.VMID
	peers   map[core.VMID]*peer
	entries map[core.VMID]Entry
	// urgent is set when a merged state is to be propagated immediately.
	urgent   bool
	observer Observer
}

// Observer is notified of changes to the endpoint states of a State, in order.
// Its methods must not call the State.
type Observer interface {
	// EndpointUpdated is called with each state that was stored.
	EndpointUpdated(endpoint Endpoint)
	// EndpointRemoved is called when the state of an endpoint was removed.
	EndpointRemoved(id core.VMID)
}

// Observe sets the observer and notifies it of all stored endpoint states.
func (s *State) Observe(observer Observer) {
	s.observer = observer
	for _, e := range s.endpoints {
		observer.EndpointUpdated(Endpoint{State: e.state, LastSeen: e.lastSeen})
	}
}

// Entry is the last known state of an entry process.
type Entry struct {
	LastSeen       time.Time
	ConfigRevision uint64
}

// New returns an empty State for the process self without a zone.
func New(self core.VMID) *State { return NewInZone(self, "") }

// NewInZone returns an empty State for the process self in zone.
func NewInZone(self core.VMID, zone core.ZoneID) *State {
	return &State{
		self:      self,
		zone:      zone,
		orders:    map[core.ZoneID]*peerpb.ZoneOrder{},
		endpoints: map[core.VMID]*endpoint{},
		byKey:     map[uint64]core.VMID{},
		peers:     map[core.VMID]*peer{},
		entries:   map[core.VMID]Entry{},
	}
}

// Config returns the newest configuration document.
func (s *State) Config() Document { return s.config.newest }

// VMs returns the newest VM list document.
func (s *State) VMs() Document { return s.vms.newest }

// SetConfig sets the configuration document that is active in the process. It
// does not compare revisions; package configsync decides which document is newer.
func (s *State) SetConfig(doc Document) { s.config.set(doc) }

// OfferVMs stores a VM list if it is newer, and reports whether it did.
func (s *State) OfferVMs(doc Document) bool { return s.vms.offer(doc) }

// OfferZoneOrder stores a zone order if it is newer than the stored order for its
// zone, and reports whether it did. An order for a further zone is ignored at
// MaxZoneOrders.
func (s *State) OfferZoneOrder(order *peerpb.ZoneOrder) bool {
	zone := core.ZoneID(order.GetZone())
	current := s.orders[zone]
	if current != nil && !newerOrder(order, current) {
		return false
	}
	if current == nil && len(s.orders) >= MaxZoneOrders {
		return false
	}
	s.orders[zone] = order
	return true
}

// newerOrder reports whether a replaces b, an order for the same zone, by the
// same rule as in package configsync: at equal stamps an out order replaces an in
// order.
func newerOrder(a, b *peerpb.ZoneOrder) bool {
	if a.GetStamp() != b.GetStamp() {
		return a.GetStamp() > b.GetStamp()
	}
	if a.GetOut() != b.GetOut() {
		return a.GetOut()
	}
	return a.GetAuthor() > b.GetAuthor()
}

// DropZoneOrder removes the order for a zone, after the configuration superseded
// it.
func (s *State) DropZoneOrder(zone core.ZoneID) { delete(s.orders, zone) }

// ZoneOrders returns the volatile zone orders in no particular order.
func (s *State) ZoneOrders() []*peerpb.ZoneOrder {
	orders := make([]*peerpb.ZoneOrder, 0, len(s.orders))
	for _, order := range s.orders {
		orders = append(orders, order)
	}
	return orders
}

// OfferEndpoint stores an endpoint state received from the endpoint itself or
// from a peer of this zone if it is newer, and reports whether it did.
func (s *State) OfferEndpoint(now time.Time, from core.VMID, state *peerpb.EndpointState) bool {
	return s.offer(now, source{from: from, zone: s.zone}, state, keyOf(state))
}

// OfferOwn stores the state of the endpoint on this process's VM if it is newer.
// It reports whether it did, and whether the state is to be propagated
// immediately.
func (s *State) OfferOwn(now time.Time, state *peerpb.EndpointState) (fresh, urgent bool) {
	s.urgent = false
	fresh = s.OfferEndpoint(now, s.self, state)
	return fresh, s.urgent
}

// source describes the sender of a state.
type source struct {
	from core.VMID
	zone core.ZoneID
	// secondary is set if the sender is an endpoint whose secondary entry is this
	// process.
	secondary bool
}

func sourceOf(message *peerpb.Knowledge) source {
	return source{from: core.VMID(message.GetFrom()), zone: core.ZoneID(message.GetZone()), secondary: message.GetSecond()}
}

// offer stores state if it is newer than the stored one. It also records when
// an entry of this zone last relayed the endpoint's state.
func (s *State) offer(now time.Time, src source, state *peerpb.EndpointState, key uint64) bool {
	id := core.VMID(state.GetVm())
	if id == "" {
		return false
	}
	current := s.endpoints[id]
	updated := &endpoint{state: state, lastSeen: now, from: src.from, path: s.pathOf(src.from, src.zone, id), key: key, lastRelayed: now}
	if current != nil && updated.path == pathOwnZone {
		current.lastRelayed = now
	}
	if current != nil && !newer(state, current.state) {
		return false
	}
	if current == nil && len(s.endpoints) >= MaxEndpoints {
		return false
	}
	s.lastIndex++
	updated.index, updated.changed = s.lastIndex, s.lastIndex
	updated.secondary = updated.path == pathDirect && src.secondary
	if current != nil {
		updated.lastRelayed = current.lastRelayed
		delete(s.byKey, current.key)
	}
	if current != nil && current.key == key {
		updated.changed = current.changed
	}
	s.urgent = s.urgent || current == nil || isUrgentChange(current.state, state)
	s.endpoints[id] = updated
	s.byKey[key] = id
	if s.observer != nil {
		s.observer.EndpointUpdated(Endpoint{State: state, LastSeen: now})
	}
	return true
}

// isUrgentChange reports whether the change from a to b is to be propagated
// immediately.
func isUrgentChange(a, b *peerpb.EndpointState) bool {
	return a.GetIncarnation() != b.GetIncarnation() || a.GetReady() != b.GetReady() || a.GetLeaving() != b.GetLeaving() ||
		a.GetLoadedVersion() != b.GetLoadedVersion() || a.GetSwitching() != b.GetSwitching() || a.GetEngineBoot() != b.GetEngineBoot()
}

func (s *State) pathOf(from core.VMID, fromZone core.ZoneID, endpoint core.VMID) path {
	switch {
	case from == endpoint:
		return pathDirect
	case fromZone != s.zone:
		return pathOtherZone
	default:
		return pathOwnZone
	}
}

// newer reports whether a has a greater (incarnation, sequence) pair than b.
func newer(a, b *peerpb.EndpointState) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// Merge merges a message of a peer, except for the configuration document.
func (s *State) Merge(now time.Time, message *peerpb.Knowledge) Changes {
	var changes Changes
	if vms := message.GetVms(); vms != nil {
		changes.VMs = s.OfferVMs(Document{Revision: vms.GetRevision(), JSON: vms.GetJson()})
	}
	for _, order := range message.GetZoneOrders() {
		if s.OfferZoneOrder(order) {
			changes.ZoneOrders = true
		}
	}
	from := core.VMID(message.GetFrom())
	sender := s.peer(from)
	sender.recordMessage(message.GetIncarnation(), message.GetProtocol())
	sender.confirm(message.GetConfirms())
	if message.GetFromEntry() {
		s.recordEntry(now, from, message.GetConfigRevision())
		zone := s.peer(zonePeer(core.ZoneID(message.GetZone())))
		zone.incarnation, zone.protocol = zoneIncarnation, message.GetProtocol()
	}
	s.urgent = false
	for _, state := range message.GetEndpoints() {
		if s.offer(now, sourceOf(message), state, keyOf(state)) {
			changes.Endpoints++
		}
	}
	changes.Endpoints += s.mergeKeepalives(now, message)
	s.setSecondary(from, message.GetSecond())
	sender.received = max(sender.received, message.GetDelivered())
	changes.Urgent = s.urgent
	return changes
}

// recordEntry records a message of an entry.
func (s *State) recordEntry(now time.Time, id core.VMID, revision uint64) {
	if _, known := s.entries[id]; !known && len(s.entries) >= MaxPeers {
		return
	}
	s.entries[id] = Entry{LastSeen: now, ConfigRevision: revision}
}

// Entries returns the last known state of each entry.
func (s *State) Entries() map[core.VMID]Entry { return maps.Clone(s.entries) }

// Expire removes endpoints and entries that were silent for longer than
// ExpireAfter.
func (s *State) Expire(now time.Time) {
	for id, e := range s.endpoints {
		if now.Sub(e.lastSeen) > ExpireAfter {
			delete(s.endpoints, id)
			delete(s.byKey, e.key)
			if s.observer != nil {
				s.observer.EndpointRemoved(id)
			}
		}
	}
	for id, e := range s.entries {
		if now.Sub(e.LastSeen) > ExpireAfter {
			delete(s.entries, id)
		}
	}
}

// Endpoint is the newest known state of one endpoint with its time of arrival.
type Endpoint struct {
	State    *peerpb.EndpointState
	LastSeen time.Time
}

// Alive returns the endpoints from which a fresh state arrived within
// EndpointTimeout.
func (s *State) Alive(now time.Time) []Endpoint {
	alive := make([]Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		if now.Sub(e.lastSeen) <= EndpointTimeout {
			alive = append(alive, Endpoint{State: e.state, LastSeen: e.lastSeen})
		}
	}
	return alive
}
