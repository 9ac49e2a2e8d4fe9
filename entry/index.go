package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/routing"
)

// target is the pool or service that a call is for. Exactly one field is set.
type target struct {
	pool    core.PoolID
	service core.ServiceID
}

// member is an endpoint in the index and in the group of its target.
type member struct {
	id       core.VMID
	target   target
	state    *peerpb.EndpointState
	lastSeen time.Time
	// usage is what this entry has recorded about the endpoint, nil before the first
	// call to it.
	usage *usage
	// allowed is whether the current view allows new work on the endpoint: its VM is
	// not leaving and its zone is in service.
	allowed bool
	// usable is whether the endpoint is in the usable list of its group.
	usable bool
}

// acceptsWork reports whether the endpoint itself accepts new work.
func (m *member) acceptsWork() bool { return m.state.GetReady() && !m.state.GetLeaving() }

// targetGroup holds the endpoints of one target.
type targetGroup struct {
	members []*member
	// stale marks the lists below for a rebuild. view is the view they were built
	// from, and expires is when the first report among them exceeds its maximum age.
	stale   bool
	view    *node.View
	expires time.Time
	// usable lists the endpoints that accept new work, sorted by identifier.
	usable []*member
	// subset is the bounded part of usable that this entry sends calls to.
	subset []*member
}

// endpointIndex maintains lists of the endpoints that accept new work. A list is
// rebuilt only when an endpoint is added, removed, or changes whether it accepts work,
// when a report expires, and on each new view. Load reports only replace the state in
// place. It performs no I/O and is not safe for concurrent use.
type endpointIndex struct {
	zone   core.ZoneID
	salt   uint64
	all    map[core.VMID]*member
	groups map[target]*targetGroup
}

// newEndpointIndex returns an empty index for an entry in zone. salt makes its subset
// differ from those of other entries.
func newEndpointIndex(zone core.ZoneID, salt uint64) *endpointIndex {
	return &endpointIndex{zone: zone, salt: salt, all: map[core.VMID]*member{}, groups: map[target]*targetGroup{}}
}

// update applies a newer state of an endpoint.
func (x *endpointIndex) update(e membership.Endpoint) *member {
	id := core.VMID(e.State.GetVm())
	to := target{pool: core.PoolID(e.State.GetPool()), service: core.ServiceID(e.State.GetService())}
	m := x.all[id]
	if m != nil && m.target != to {
		x.remove(id)
		m = nil
	}
	if m == nil {
		m = &member{id: id, target: to, state: e.State, lastSeen: e.LastSeen}
		x.add(m)
		return m
	}
	moved := m.state.GetZone() != e.State.GetZone()
	m.state, m.lastSeen = e.State, e.LastSeen
	if moved || m.usable != (m.allowed && m.acceptsWork()) {
		x.groups[to].stale = true
	}
	return m
}

func (x *endpointIndex) add(m *member) {
	x.all[m.id] = m
	g := x.groups[m.target]
	if g == nil {
		g = &targetGroup{}
		x.groups[m.target] = g
	}
	at, _ := slices.BinarySearchFunc(g.members, m.id, compareID)
	g.members = slices.Insert(g.members, at, m)
	g.stale = true
}

func compareID(m *member, id core.VMID) int { return strings.Compare(string(m.id), string(id)) }

// remove removes an endpoint.
func (x *endpointIndex) remove(id core.VMID) {
	m := x.all[id]
	if m == nil {
		return
	}
	delete(x.all, id)
	g := x.groups[m.target]
	if at, found := slices.BinarySearchFunc(g.members, id, compareID); found {
		g.members = slices.Delete(g.members, at, at+1)
	}
	g.stale = true
	if len(g.members) == 0 {
		delete(x.groups, m.target)
	}
}

// lookup returns the group of a target with lists valid at now, nil if the target has
// no endpoints.
func (x *endpointIndex) lookup(to target, now time.Time, view *node.View) *targetGroup {
	g := x.groups[to]
	if g == nil {
		return nil
	}
	if g.stale || g.view != view || now.After(g.expires) {
		x.rebuild(g, now, view)
	}
	return g
}

// rebuild lists the endpoints of a group that accept new work.
func (x *endpointIndex) rebuild(g *targetGroup, now time.Time, view *node.View) {
	g.stale, g.view = false, view
	g.expires = now.Add(membership.EndpointTimeout)
	g.usable = g.usable[:0]
	for _, m := range g.members {
		m.allowed = !view.Leaving(m.id) && !view.ZonesOut[core.ZoneID(m.state.GetZone())]
		until := m.lastSeen.Add(membership.EndpointTimeout)
		m.usable = m.allowed && m.acceptsWork() && !now.After(until)
		if !m.usable {
			continue
		}
		g.usable = append(g.usable, m)
		if until.Before(g.expires) {
			g.expires = until
		}
	}
	g.subset = x.selectSubset(g)
}

// selectSubset selects the entry's subset of the usable endpoints.
func (x *endpointIndex) selectSubset(g *targetGroup) []*member {
	if len(g.usable) <= routing.DefaultSubset {
		return g.usable
	}
	locations := make([]routing.Location, len(g.usable))
	for i, m := range g.usable {
		locations[i] = routing.Location{ID: m.id, Zone: core.ZoneID(m.state.GetZone()), Region: core.RegionID(m.state.GetRegion())}
	}
	subset := make([]*member, 0, routing.DefaultSubset)
	for _, i := range routing.Subset(x.salt, x.zone, locations, routing.DefaultSubset) {
		subset = append(subset, g.usable[i])
	}
	return subset
}
