// Package fleet holds what a process believes about the deployment: which
// endpoints there are, what operators declared, and how old that knowledge is.
// It performs no I/O.
package fleet

import (
	"maps"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
)

// EndpointID names one start of an endpoint, or several when it keeps its name.
type EndpointID string

// Endpoint is a back end as it registered itself.
type Endpoint struct {
	ID      EndpointID
	Service core.ServiceID
	// Address is the IP number and port that takes calls.
	Address string
	Zone    core.ZoneID
	Region  core.RegionID
	// Slots is how many calls it runs at once.
	Slots int
	// Draining says that it is about to leave and takes no new work.
	Draining bool
	// ColdFor is how long it stays cold, as of SeenAt.
	ColdFor time.Duration
	// Boot is when it started, in Unix milliseconds; 0 when it does not tell.
	Boot int64
	// Weights are the layers that it holds; empty for plain services.
	Weights []LoadedLayers
	// Registered is the store's revision at which the entry was made.
	Registered uint64
	// SeenAt is when this process learned of the entry.
	SeenAt boottime.Instant
}

// LoadedLayers is a range of layers of one version that an engine holds.
type LoadedLayers struct {
	Model string
	// Version is the declared number of the weights.
	Version int64
	// From and To bound the layers, To exclusive.
	From, To int
}

// CompleteVersion returns the newest version of which the endpoint holds all layers, 0 when there is none.
func (e *Endpoint) CompleteVersion(layers int) int64 {
	var newest int64
	for _, held := range e.Weights {
		if held.From == 0 && held.To >= layers && held.Version > newest {
			newest = held.Version
		}
	}
	return newest
}

// View is a consistent set of beliefs. It never changes once published.
type View struct {
	// Deployment is what operators declared; nil while that is not known.
	Deployment *catalogue.Deployment
	// Versions are the declared weights of each model.
	Versions map[string]int64
	// ZonesOut are the availability zones that take no new work.
	ZonesOut map[core.ZoneID]bool
	// Endpoints are those that registered, by their ID.
	Endpoints map[EndpointID]*Endpoint
	// ConfirmedAt is when the store last confirmed all of it.
	ConfirmedAt boottime.Instant
	// Revision is the store's revision of the newest change taken in.
	Revision uint64
}

// TargetVersion returns the version that engines of a service are to serve: the
// declared one, and before any was declared the newest that an engine holds.
func (v *View) TargetVersion(service core.ServiceID, profile *catalogue.EngineProfile) (model string, version int64) {
	for _, name := range profile.Models {
		if v.Versions[name] > version {
			model, version = name, v.Versions[name]
		}
	}
	if version > 0 {
		return model, version
	}
	for _, endpoint := range v.Endpoints {
		if endpoint.Service != service {
			continue
		}
		for _, held := range endpoint.Weights {
			if held.Version > version {
				model, version = held.Model, held.Version
			}
		}
	}
	return model, version
}

// clone copies the parts of a view that a change may replace.
func (v *View) clone() *View {
	next := *v
	next.Versions = maps.Clone(v.Versions)
	next.ZonesOut = maps.Clone(v.ZonesOut)
	next.Endpoints = maps.Clone(v.Endpoints)
	return &next
}

// NewView returns a view without knowledge.
func NewView() *View {
	return &View{Versions: map[string]int64{}, ZonesOut: map[core.ZoneID]bool{}, Endpoints: map[EndpointID]*Endpoint{}}
}
