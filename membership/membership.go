// Package membership merges what processes tell each other: the configuration,
// the platform's VM list, volatile zone orders and the state of endpoints. It
// performs no I/O. Merging is commutative and idempotent: for each item the
// greatest revision, stamp or (incarnation, sequence) pair wins.
package membership

import (
	"maps"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// Bounds on the state of one process.
const (
	// MaxEndpoints bounds the endpoint states kept.
	MaxEndpoints = 4096
	// MaxRemoteEndpoints is how many endpoints of one pool in one zone another zone hears of.
	MaxRemoteEndpoints = 8
	// MaxZoneOrders bounds the zone orders kept.
	MaxZoneOrders = 256
	// MaxPeers bounds the delivery cursors kept.
	MaxPeers = 4096
	// EndpointTimeout is how long an endpoint counts as alive after its last
	// fresh state. States come every 2 to 2.5 s, and from another zone over three
	// processes that each pass them on every 2 s, so that 8 s may lie between two.
	EndpointTimeout = 10 * time.Second
	// ExpireAfter is how long the state of a silent endpoint is kept.
	ExpireAfter = 60 * time.Second
)

// endpoint is the newest known state of one endpoint.
type endpoint struct {
	state *peerpb.EndpointState
	// heard is when a fresh state arrived.
	heard time.Time
	// index orders local updates for delta delivery.
	index uint64
	// from is the peer that told us.
	from core.VMID
	path path
	// key identifies the state but for what a keepalive carries; changed is the
	// index at which it last became another.
	key     uint64
	changed uint64
	// second says that the endpoint reports to another entry first; relayed is
	// when that one was last heard to pass the state on.
	second  bool
	relayed time.Time
}

// path is how a state came here; it decides to whom it is passed on, so that
// each entry hears each state from few others.
type path uint8

const (
	// pathDirect means that the endpoint process itself told us.
	pathDirect path = iota
	// pathOtherZone means that an entry of another zone told us.
	pathOtherZone
	// pathOwnZone means that an entry of this zone told us; it tells the others too.
	pathOwnZone
)

// Changes says what a merge brought that was new.
type Changes struct {
	VMs        bool
	ZoneOrders bool
	Endpoints  int
	// Urgent says that an endpoint came or changed in a way that others should
	// hear of at once.
	Urgent bool
}

// State is the merged knowledge of one process. It is not safe for concurrent use.
type State struct {
	self      core.VMID
	zone      core.ZoneID
	config    documents
	vms       documents
	orders    map[core.ZoneID]*peerpb.ZoneOrder
	endpoints map[core.VMID]*endpoint
	nextIndex uint64
	// byKey finds endpoints by the keys of their states.
	byKey   map[uint64]core.VMID
	peers   map[core.VMID]*peer
	entries map[core.VMID]Entry
	// news is set by a state that others should hear of at once.
	news    bool
	watcher Observer
}

// Observer follows the endpoint states that a State keeps, in the order of the
// changes. It must not call the State.
type Observer interface {
	// EndpointUpdated takes each state that was accepted.
	EndpointUpdated(endpoint Endpoint)
	// EndpointRemoved says that the state of an endpoint is no longer kept.
	EndpointRemoved(id core.VMID)
}

// Observe sets the watcher and tells it of all states kept now.
func (s *State) Observe(watcher Observer) {
	s.watcher = watcher
	for _, e := range s.endpoints {
		watcher.EndpointUpdated(Endpoint{State: e.state, LastSeen: e.heard})
	}
}

// Entry is what an entry process last said of itself.
type Entry struct {
	LastSeen       time.Time
	ConfigRevision uint64
}

// New returns an empty state for the process self in no zone.
func New(self core.VMID) *State { return NewInZone(self, "") }

// NewInZone returns an empty state for the process self.
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

// SetConfig takes the configuration document that the process has in force.
// Which document is newer is decided by package configsync.
func (s *State) SetConfig(doc Document) { s.config.set(doc) }

// OfferVMs takes a VM list when it is newer.
func (s *State) OfferVMs(doc Document) bool { return s.vms.offer(doc) }

// OfferZoneOrder takes a zone order when it is newer than the one held for its zone.
func (s *State) OfferZoneOrder(order *peerpb.ZoneOrder) bool {
	zone := core.ZoneID(order.GetZone())
	held := s.orders[zone]
	if held != nil && !newerOrder(order, held) {
		return false
	}
	if held == nil && len(s.orders) >= MaxZoneOrders {
		return false
	}
	s.orders[zone] = order
	return true
}

// newerOrder orders two orders for one zone as configsync does; at the same
// stamp out goes before in.
func newerOrder(a, b *peerpb.ZoneOrder) bool {
	if a.GetStamp() != b.GetStamp() {
		return a.GetStamp() > b.GetStamp()
	}
	if a.GetOut() != b.GetOut() {
		return a.GetOut()
	}
	return a.GetAuthor() > b.GetAuthor()
}

// DropZoneOrder forgets an order that the configuration now contains.
func (s *State) DropZoneOrder(zone core.ZoneID) { delete(s.orders, zone) }

// ZoneOrders returns the volatile orders held.
func (s *State) ZoneOrders() []*peerpb.ZoneOrder {
	orders := make([]*peerpb.ZoneOrder, 0, len(s.orders))
	for _, order := range s.orders {
		orders = append(orders, order)
	}
	return orders
}

// OfferEndpoint takes an endpoint's state from the endpoint itself or a peer of
// this zone when it is newer than the one held.
func (s *State) OfferEndpoint(now time.Time, from core.VMID, state *peerpb.EndpointState) bool {
	return s.offer(now, source{from: from, zone: s.zone}, state, keyOf(state))
}

// OfferOwn takes the state of the endpoint on this process's VM. It reports
// whether it is fresh, and whether others should hear of it at once.
func (s *State) OfferOwn(now time.Time, state *peerpb.EndpointState) (fresh, news bool) {
	s.news = false
	fresh = s.OfferEndpoint(now, s.self, state)
	return fresh, s.news
}

// source is who told a state.
type source struct {
	from core.VMID
	zone core.ZoneID
	// second says that the endpoint reports to another entry first.
	second bool
}

func sourceOf(told *peerpb.Knowledge) source {
	return source{from: core.VMID(told.GetFrom()), zone: core.ZoneID(told.GetZone()), second: told.GetSecond()}
}

func (s *State) offer(now time.Time, by source, state *peerpb.EndpointState, key uint64) bool {
	id := core.VMID(state.GetVm())
	if id == "" {
		return false
	}
	held := s.endpoints[id]
	taken := &endpoint{state: state, heard: now, from: by.from, path: s.pathOf(by.from, by.zone, id), key: key, relayed: now}
	if held != nil && taken.path == pathOwnZone {
		held.relayed = now
	}
	if held != nil && !newer(state, held.state) {
		return false
	}
	if held == nil && len(s.endpoints) >= MaxEndpoints {
		return false
	}
	s.nextIndex++
	taken.index, taken.changed = s.nextIndex, s.nextIndex
	taken.second = taken.path == pathDirect && by.second
	if held != nil {
		taken.relayed = held.relayed
		delete(s.byKey, held.key)
	}
	if held != nil && held.key == key {
		taken.changed = held.changed
	}
	s.news = s.news || held == nil || isNews(held.state, state)
	s.endpoints[id] = taken
	s.byKey[key] = id
	if s.watcher != nil {
		s.watcher.EndpointUpdated(Endpoint{State: state, LastSeen: now})
	}
	return true
}

// isNews reports whether b says something that others should hear of at once.
func isNews(a, b *peerpb.EndpointState) bool {
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

func newer(a, b *peerpb.EndpointState) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// Merge takes what a peer told, but for the configuration document.
func (s *State) Merge(now time.Time, told *peerpb.Knowledge) Changes {
	var changes Changes
	if vms := told.GetVms(); vms != nil {
		changes.VMs = s.OfferVMs(Document{Revision: vms.GetRevision(), JSON: vms.GetJson()})
	}
	for _, order := range told.GetZoneOrders() {
		if s.OfferZoneOrder(order) {
			changes.ZoneOrders = true
		}
	}
	from := core.VMID(told.GetFrom())
	sender := s.peer(from)
	sender.hears(told.GetIncarnation(), told.GetProtocol())
	sender.confirm(told.GetConfirms())
	if told.GetFromEntry() {
		s.noteEntry(now, from, told.GetConfigRevision())
		zone := s.peer(zonePeer(core.ZoneID(told.GetZone())))
		zone.incarnation, zone.protocol = anyIncarnation, told.GetProtocol()
	}
	s.news = false
	for _, state := range told.GetEndpoints() {
		if s.offer(now, sourceOf(told), state, keyOf(state)) {
			changes.Endpoints++
		}
	}
	changes.Endpoints += s.mergeKeepalives(now, told)
	s.setSecond(from, told.GetSecond())
	sender.taken = max(sender.taken, told.GetDelivered())
	changes.Urgent = s.news
	return changes
}

// noteEntry records that an entry spoke.
func (s *State) noteEntry(now time.Time, id core.VMID, revision uint64) {
	if _, known := s.entries[id]; !known && len(s.entries) >= MaxPeers {
		return
	}
	s.entries[id] = Entry{LastSeen: now, ConfigRevision: revision}
}

// Entries returns what each entry last said of itself.
func (s *State) Entries() map[core.VMID]Entry { return maps.Clone(s.entries) }

// Expire drops endpoints silent for longer than ExpireAfter.
func (s *State) Expire(now time.Time) {
	for id, e := range s.endpoints {
		if now.Sub(e.heard) > ExpireAfter {
			delete(s.endpoints, id)
			delete(s.byKey, e.key)
			if s.watcher != nil {
				s.watcher.EndpointRemoved(id)
			}
		}
	}
	for id, e := range s.entries {
		if now.Sub(e.LastSeen) > ExpireAfter {
			delete(s.entries, id)
		}
	}
}

// Endpoint is one endpoint as routing sees it.
type Endpoint struct {
	State    *peerpb.EndpointState
	LastSeen time.Time
}

// Alive lists the endpoints heard of within EndpointTimeout.
func (s *State) Alive(now time.Time) []Endpoint {
	alive := make([]Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		if now.Sub(e.heard) <= EndpointTimeout {
			alive = append(alive, Endpoint{State: e.state, LastSeen: e.heard})
		}
	}
	return alive
}
