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

// target is what a call goes to. Exactly one field is set.
type target struct {
	pool    core.PoolID
	service core.ServiceID
}

// listed is one endpoint in the index.
type listed struct {
	id     core.VMID
	target target
	state  *peerpb.EndpointState
	heard  time.Time
	// use is what this entry knows of the endpoint; nil before the first call.
	use *usage
	// allowed says that the view in force lets the endpoint take new work.
	allowed bool
	// usable says that the endpoint is in the usable list of its group.
	usable bool
}

// willing reports whether the endpoint itself takes new work.
func (l *listed) willing() bool { return l.state.GetReady() && !l.state.GetLeaving() }

// group holds the endpoints of one target.
type group struct {
	members []*listed
	// stale says that the lists below must be built anew, view is what they were
	// built from, and at expires the report of one of them becomes too old.
	stale   bool
	view    *node.View
	expires time.Time
	// usable lists the endpoints that may take new work, by identifier.
	usable []*listed
	// near is the bounded part of usable that this entry works with.
	near []*listed
}

// endpointIndex keeps the endpoints that may take new work in ready lists. A
// list is built anew only when an endpoint comes, goes or changes its mind, when
// a report becomes too old, and with each new view; load reports only replace
// the state in its place. It performs no I/O and is not safe for concurrent use.
type endpointIndex struct {
	zone   core.ZoneID
	salt   uint64
	all    map[core.VMID]*listed
	groups map[target]*group
}

// newEndpointIndex returns an empty index for an entry in zone; salt makes its
// bounded lists differ from those of other entries.
func newEndpointIndex(zone core.ZoneID, salt uint64) *endpointIndex {
	return &endpointIndex{zone: zone, salt: salt, all: map[core.VMID]*listed{}, groups: map[target]*group{}}
}

// heard takes a newer state of an endpoint.
func (x *endpointIndex) heard(e membership.Endpoint) *listed {
	id := core.VMID(e.State.GetVm())
	to := target{pool: core.PoolID(e.State.GetPool()), service: core.ServiceID(e.State.GetService())}
	l := x.all[id]
	if l != nil && l.target != to {
		x.forgotten(id)
		l = nil
	}
	if l == nil {
		l = &listed{id: id, target: to, state: e.State, heard: e.LastSeen}
		x.add(l)
		return l
	}
	moved := l.state.GetZone() != e.State.GetZone()
	l.state, l.heard = e.State, e.LastSeen
	if moved || l.usable != (l.allowed && l.willing()) {
		x.groups[to].stale = true
	}
	return l
}

func (x *endpointIndex) add(l *listed) {
	x.all[l.id] = l
	g := x.groups[l.target]
	if g == nil {
		g = &group{}
		x.groups[l.target] = g
	}
	at, _ := slices.BinarySearchFunc(g.members, l.id, compareID)
	g.members = slices.Insert(g.members, at, l)
	g.stale = true
}

func compareID(l *listed, id core.VMID) int { return strings.Compare(string(l.id), string(id)) }

// forgotten removes an endpoint.
func (x *endpointIndex) forgotten(id core.VMID) {
	l := x.all[id]
	if l == nil {
		return
	}
	delete(x.all, id)
	g := x.groups[l.target]
	if at, found := slices.BinarySearchFunc(g.members, id, compareID); found {
		g.members = slices.Delete(g.members, at, at+1)
	}
	g.stale = true
	if len(g.members) == 0 {
		delete(x.groups, l.target)
	}
}

// of returns the group of a target with its lists as of now; nil without endpoints.
func (x *endpointIndex) of(to target, now time.Time, view *node.View) *group {
	g := x.groups[to]
	if g == nil {
		return nil
	}
	if g.stale || g.view != view || now.After(g.expires) {
		x.rebuild(g, now, view)
	}
	return g
}

// rebuild lists the endpoints of a group that may take new work.
func (x *endpointIndex) rebuild(g *group, now time.Time, view *node.View) {
	g.stale, g.view = false, view
	g.expires = now.Add(membership.EndpointTimeout)
	g.usable = g.usable[:0]
	for _, l := range g.members {
		l.allowed = !view.Leaving(l.id) && !view.ZonesOut[core.ZoneID(l.state.GetZone())]
		until := l.heard.Add(membership.EndpointTimeout)
		l.usable = l.allowed && l.willing() && !now.After(until)
		if !l.usable {
			continue
		}
		g.usable = append(g.usable, l)
		if until.Before(g.expires) {
			g.expires = until
		}
	}
	g.near = x.nearest(g)
}

// nearest bounds the usable endpoints of a group to the entry's subset.
func (x *endpointIndex) nearest(g *group) []*listed {
	if len(g.usable) <= routing.DefaultSubset {
		return g.usable
	}
	places := make([]routing.Location, len(g.usable))
	for i, l := range g.usable {
		places[i] = routing.Location{ID: l.id, Zone: core.ZoneID(l.state.GetZone()), Region: core.RegionID(l.state.GetRegion())}
	}
	near := make([]*listed, 0, routing.DefaultSubset)
	for _, i := range routing.Subset(x.salt, x.zone, places, routing.DefaultSubset) {
		near = append(near, g.usable[i])
	}
	return near
}
