package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/metastore"
)

// lapseGrace is how long an endpoint is kept whose entry is missing after the
// store was away: live endpoints register again within two seconds of its return.
const lapseGrace = 2 * time.Second

// Record is one decoded entry of the store: DeploymentFact, VersionFact,
// ZoneOutFact or EndpointFact.
type Record interface{ fleetFact() }

type (
	// DeploymentRecord is the declared deployment.
	DeploymentRecord struct{ Deployment *catalogue.Deployment }
	// VersionRecord is the declared version of a model's weights.
	VersionRecord struct {
		Model   string
		Version int64
	}
	// ZoneOutRecord says that a zone takes no new work while the entry stands.
	ZoneOutRecord struct{ Zone core.ZoneID }
	// EndpointRecord is an endpoint's own entry.
	EndpointRecord struct{ Endpoint *Endpoint }
)

func (DeploymentRecord) fleetFact() {}
func (VersionRecord) fleetFact()    {}
func (ZoneOutRecord) fleetFact()    {}
func (EndpointRecord) fleetFact()   {}

// Decoder turns entries of the store into facts. ok=false says that the entry
// is of no concern, err that it can't be read and names nothing to use.
type Decoder interface {
	Decode(key string, value []byte) (fact Record, ok bool, err error)
	// Deleted returns the fact that a deleted key stood for, without its content.
	Deleted(key string) (fact Record, ok bool)
}

var _ metastore.Sink = (*Tracker)(nil)

// Tracker builds views from facts. It is safe for concurrent use.
type Tracker struct {
	decoder Decoder
	now     boottime.Clock
	log     *log.Logger

	mu   sync.Mutex
	view atomic.Pointer[View]
	// lapsing are endpoints whose entries were missing when the store returned,
	// with the instant from which they count as gone.
	lapsing map[EndpointID]boottime.Instant
	changed []func(*View)
}

// NewTracker returns a holder without knowledge.
func NewTracker(decoder Decoder, now boottime.Clock, logger *log.Logger) *Tracker {
	h := &Tracker{decoder: decoder, now: now, log: logger, lapsing: map[EndpointID]boottime.Instant{}}
	h.view.Store(NewView())
	return h
}

// View returns the newest view.
func (h *Tracker) View() *View { return h.view.Load() }

// OnChange registers a function that is called with each new view.
func (h *Tracker) OnChange(changed func(*View)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changed = append(h.changed, changed)
}

// publish must be called with the lock held.
func (h *Tracker) publish(next *View) {
	h.view.Store(next)
	for _, changed := range h.changed {
		changed(next)
	}
}

// apply takes one entry into next.
func (h *Tracker) apply(next *View, change metastore.Change) {
	if change.Deleted {
		h.remove(next, change.Key)
		return
	}
	fact, ok, err := h.decoder.Decode(change.Key, change.Value)
	if err != nil {
		h.log.Warn("An entry of the store can't be read and is left out.", "key", change.Key, "revision", change.Revision, "err", err)
		h.remove(next, change.Key)
		return
	}
	if !ok {
		return
	}
	switch f := fact.(type) {
	case DeploymentRecord:
		h.takeDeployment(next, f.Deployment, change.Revision)
	case VersionRecord:
		if f.Version > next.Versions[f.Model] {
			next.Versions[f.Model] = f.Version
			h.log.Info("New weights are declared.", "model", f.Model, "version", f.Version, "revision", change.Revision)
		}
	case ZoneOutRecord:
		next.ZonesOut[f.Zone] = true
		h.log.Info("A zone takes no new work.", "zone", f.Zone, "revision", change.Revision)
	case EndpointRecord:
		f.Endpoint.Registered = change.Created
		h.takeEndpoint(next, f.Endpoint, change.Revision)
	}
}

func (h *Tracker) takeDeployment(next *View, deployment *catalogue.Deployment, revision uint64) {
	if next.Deployment != nil && deployment.Revision < next.Deployment.Revision {
		h.log.Warn("An older declaration is left out.", "version", deployment.Revision, "known", next.Deployment.Revision, "revision", revision)
		return
	}
	if next.Deployment == nil || deployment.Revision != next.Deployment.Revision {
		h.log.Info("Declaration in force.", "version", deployment.Revision, "routes", len(deployment.Routes), "teams", len(deployment.Teams), "revision", revision)
	}
	next.Deployment = deployment
}

func (h *Tracker) takeEndpoint(next *View, endpoint *Endpoint, revision uint64) {
	if !h.takeAddress(next, endpoint) {
		return
	}
	endpoint.SeenAt = h.now()
	before := next.Endpoints[endpoint.ID]
	next.Endpoints[endpoint.ID] = endpoint
	delete(h.lapsing, endpoint.ID)
	if before == nil || before.Draining != endpoint.Draining || before.Boot != endpoint.Boot {
		h.log.Info("Endpoint registered.", "endpoint", endpoint.ID, "service", endpoint.Service, "address", endpoint.Address,
			"zone", endpoint.Zone, "draining", endpoint.Draining, "coldMs", endpoint.ColdFor.Milliseconds(), "weights", len(endpoint.Weights), "revision", revision)
	}
}

// takeAddress removes the endpoints that had the address before, whose entries
// outlive them by seconds. It returns false when the endpoint itself is one.
func (h *Tracker) takeAddress(next *View, endpoint *Endpoint) bool {
	for id, other := range next.Endpoints {
		if id == endpoint.ID || other.Address == "" || other.Address != endpoint.Address {
			continue
		}
		if other.Registered > endpoint.Registered {
			delete(next.Endpoints, endpoint.ID)
			return false
		}
		delete(next.Endpoints, id)
		delete(h.lapsing, id)
		h.log.Info("Endpoint gone: another has its address.", "endpoint", id, "address", other.Address, "successor", endpoint.ID)
	}
	return true
}

func (h *Tracker) remove(next *View, key string) {
	fact, ok := h.decoder.Deleted(key)
	if !ok {
		return
	}
	switch f := fact.(type) {
	case ZoneOutRecord:
		delete(next.ZonesOut, f.Zone)
		h.log.Info("A zone takes work again.", "zone", f.Zone)
	case EndpointRecord:
		if _, known := next.Endpoints[f.Endpoint.ID]; known {
			delete(next.Endpoints, f.Endpoint.ID)
			h.log.Info("Endpoint gone.", "endpoint", f.Endpoint.ID)
		}
	}
}

// Expire drops the endpoints whose grace after an outage has passed.
func (h *Tracker) Expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.lapsing) == 0 {
		return
	}
	now := h.now()
	next := h.view.Load().clone()
	for id, gone := range h.lapsing {
		if now.Before(gone) {
			continue
		}
		delete(h.lapsing, id)
		delete(next.Endpoints, id)
		h.log.Info("Endpoint gone: its entry did not come back after the store's outage.", "endpoint", id)
	}
	h.publish(next)
}

// Replace implements metastore.Sink. Declarations and versions are kept, since
// they never go back. After an outage, endpoints without an entry are kept for
// lapseGrace.
func (h *Tracker) Replace(snapshot metastore.Snapshot, confirmed boottime.Instant, recovered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if recovered {
		h.log.Info("The store is known again.", "revision", snapshot.Revision, "entries", len(snapshot.Items))
	}
	before := h.view.Load()
	next := before.clone()
	clear(next.ZonesOut)
	clear(next.Endpoints)
	for _, item := range snapshot.Items {
		h.apply(next, item)
	}
	if recovered {
		h.keepLapsing(before, next)
	}
	next.ConfirmedAt, next.Revision = confirmed, max(next.Revision, snapshot.Revision)
	h.publish(next)
}

// keepLapsing keeps endpoints that are missing after an outage for lapseGrace,
// but for those whose address another has.
func (h *Tracker) keepLapsing(before, next *View) {
	taken := make(map[string]bool, len(next.Endpoints))
	for _, endpoint := range next.Endpoints {
		taken[endpoint.Address] = endpoint.Address != ""
	}
	for id, endpoint := range before.Endpoints {
		if _, registered := next.Endpoints[id]; registered || taken[endpoint.Address] {
			continue
		}
		next.Endpoints[id] = endpoint
		if _, lapsing := h.lapsing[id]; !lapsing {
			h.lapsing[id] = h.now().Add(lapseGrace)
		}
	}
}

// Apply implements metastore.Sink.
func (h *Tracker) Apply(changes []metastore.Change, revision uint64, confirmed boottime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.view.Load().clone()
	for _, change := range changes {
		h.apply(next, change)
	}
	next.ConfirmedAt, next.Revision = confirmed, max(next.Revision, revision)
	h.publish(next)
}

// Lost implements metastore.Sink.
func (h *Tracker) Lost(err error) {
	h.log.Warn("The store can't be read.", "err", err, "ageMs", h.now().Sub(h.View().ConfirmedAt).Milliseconds())
}
