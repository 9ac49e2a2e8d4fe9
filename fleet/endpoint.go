// Package fleet holds the last known state of the deployment: the registered endpoints,
// the operators' declarations, and the age of this information. It performs no I/O.
package fleet

import (
	"maps"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
)

// EndpointID identifies one run of an endpoint, or several if the endpoint keeps its
// name across restarts.
type EndpointID string

// Endpoint is a back end as described by its registration.
type Endpoint struct {
	ID      EndpointID
	Service core.ServiceID
	// Address is the IP address and port that accepts calls.
	Address string
	Zone    core.ZoneID
	Region  core.RegionID
	// Slots is the number of calls that it runs at once.
	Slots int
	// Draining is set when the endpoint is about to stop and accepts no new work.
	Draining bool
	// ColdFor is how long it remains cold, measured from SeenAt.
	ColdFor time.Duration
	// Boot is its start time in Unix milliseconds; 0 if the endpoint does not report it.
	Boot int64
	// Weights are the layers that it has loaded; empty for plain services.
	Weights []LoadedLayers
	// Registered is the store revision at which the entry was created.
	Registered uint64
	// SeenAt is when this process received the entry.
	SeenAt boottime.Instant
	// Unregistered is set while the endpoint has no entry but is kept, since its entry may
	// have expired in an outage of the store.
	Unregistered bool
}

// LoadedLayers is a range of layers of one version that an engine has loaded.
type LoadedLayers struct {
	Model string
	// Version is the declared number of the weights.
	Version int64
	// From and To bound the range. To is exclusive.
	From, To int
}

// CompleteVersion returns the newest version of which the endpoint has loaded all
// layers, 0 for none.
func (e *Endpoint) CompleteVersion(layers int) int64 {
	var newest int64
	for _, layerRange := range e.Weights {
		if layerRange.From == 0 && layerRange.To >= layers && layerRange.Version > newest {
			newest = layerRange.Version
		}
	}
	return newest
}

// DeclarationTime is what this process knows about the time of a declaration. Unknown
// instants are 0.
type DeclarationTime struct {
	// MadeAt is about when it was made; it is unknown if it was read long after it was
	// made.
	MadeAt boottime.Instant
	// NotBefore is when the store last confirmed a view without it.
	NotBefore boottime.Instant
}

// View is a consistent snapshot of the last known state. It is immutable once
// published.
type View struct {
	// Deployment is the operators' declaration; nil until it is known.
	Deployment *catalogue.Deployment
	// Versions are the declared versions by model.
	Versions map[string]int64
	// DeclaredAt is when the version in Versions was declared, by model.
	DeclaredAt map[string]DeclarationTime
	// ZonesOut are the availability zones that accept no new work.
	ZonesOut map[core.ZoneID]bool
	// Endpoints are the registered endpoints.
	Endpoints map[EndpointID]*Endpoint
	// ConfirmedAt is when the store last confirmed the whole view.
	ConfirmedAt boottime.Instant
	// Revision is the store revision of the newest change applied.
	Revision uint64
	// Generation changes whenever anything but ConfirmedAt and Revision may have changed. It
	// is 0 for a view that was not built by a Tracker.
	Generation uint64
}

// SameContent reports whether two views differ in their age at most.
func (v *View) SameContent(other *View) bool {
	return v.Generation != 0 && v.Generation == other.Generation
}

// TargetVersion returns the version that engines of a service should serve: the
// declared one or, before any version was declared, the newest one that an engine has
// loaded.
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
		for _, layerRange := range endpoint.Weights {
			if layerRange.Version > version {
				model, version = layerRange.Model, layerRange.Version
			}
		}
	}
	return model, version
}

// DeclarationRevision returns the revision of the operators' declaration, 0 if none is known.
func (v *View) DeclarationRevision() int64 {
	if v.Deployment == nil {
		return 0
	}
	return v.Deployment.Revision
}

// clone returns a copy of the view whose maps may be modified.
func (v *View) clone() *View {
	next := *v
	next.Generation++
	next.Versions = maps.Clone(v.Versions)
	next.DeclaredAt = maps.Clone(v.DeclaredAt)
	next.ZonesOut = maps.Clone(v.ZonesOut)
	next.Endpoints = maps.Clone(v.Endpoints)
	return &next
}

// NewView returns an empty view.
func NewView() *View {
	return &View{Versions: map[string]int64{}, DeclaredAt: map[string]DeclarationTime{}, ZonesOut: map[core.ZoneID]bool{}, Endpoints: map[EndpointID]*Endpoint{}}
}
