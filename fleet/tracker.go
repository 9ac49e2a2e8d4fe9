package fleet

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/metastore"
)

// Record is a decoded entry of the store: DeploymentRecord, VersionRecord,
// ZoneOutRecord or EndpointRecord.
type Record interface{ isRecord() }

type (
	// DeploymentRecord is the declared deployment.
	DeploymentRecord struct{ Deployment *catalogue.Deployment }
	// VersionRecord is the declared version of a model's weights.
	VersionRecord struct {
		Model   string
		Version int64
	}
	// ZoneOutRecord marks a zone as accepting no new work for as long as the entry
	// exists.
	ZoneOutRecord struct{ Zone core.ZoneID }
	// EndpointRecord is the registration of an endpoint.
	EndpointRecord struct{ Endpoint *Endpoint }
)

func (DeploymentRecord) isRecord() {}
func (VersionRecord) isRecord()    {}
func (ZoneOutRecord) isRecord()    {}
func (EndpointRecord) isRecord()   {}

// Decoder decodes entries of the store.
type Decoder interface {
	// Decode returns the record of an entry. ok is false if the entry is not a record of
	// the fleet. If err is not nil, the entry is malformed and the record must not be
	// used.
	Decode(key string, value []byte) (record Record, ok bool, err error)
	// Deleted returns the record of a deleted key with only its identity set. ok is
	// false if the key is not that of a record of the fleet.
	Deleted(key string) (record Record, ok bool)
}

var _ metastore.Sink = (*Tracker)(nil)

// Tracker builds views from the entries of the store. It is safe for concurrent use.
type Tracker struct {
	renewal RenewalInterval
	decoder Decoder
	now     boottime.Clock
	log     *log.Logger

	mu   sync.Mutex
	view atomic.Pointer[View]
	// missing are the endpoints without an entry after a store outage, with the time at
	// which each is removed.
	missing map[EndpointID]boottime.Instant
	changed []func(*View)
	// malformed are the malformed entries by key, with what is wrong with each.
	malformed map[string]string
}

var malformedEntries = expvar.NewInt("store_entries_malformed")

// NewTracker returns a tracker with an empty view.
func NewTracker(renewal RenewalInterval, decoder Decoder, now boottime.Clock, logger *log.Logger) *Tracker {
	t := &Tracker{renewal: renewal, decoder: decoder, now: now, log: logger, missing: map[EndpointID]boottime.Instant{}, malformed: map[string]string{}}
	t.view.Store(NewView())
	return t
}

// View returns the newest view.
func (t *Tracker) View() *View { return t.view.Load() }

// OnChange registers a function to be called with each new view. It is called with the
// tracker's lock held.
func (t *Tracker) OnChange(changed func(*View)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed = append(t.changed, changed)
}

// publish must be called with the lock held.
func (t *Tracker) publish(next *View) {
	t.view.Store(next)
	for _, changed := range t.changed {
		changed(next)
	}
}

// apply applies one change of the store to next.
func (t *Tracker) apply(next *View, change metastore.Change) {
	if change.Deleted {
		delete(t.malformed, change.Key)
		t.remove(next, change.Key)
		return
	}
	record, ok, err := t.decoder.Decode(change.Key, change.Value)
	if err != nil {
		t.rejectEntry(change, err)
		t.remove(next, change.Key)
		return
	}
	delete(t.malformed, change.Key)
	if !ok {
		return
	}
	switch r := record.(type) {
	case DeploymentRecord:
		t.applyDeployment(next, r.Deployment, change)
	case VersionRecord:
		if r.Version > next.Versions[r.Model] {
			t.applyVersion(next, r, change)
		}
	case ZoneOutRecord:
		next.ZonesOut[r.Zone] = true
		t.log.Info("Zone taken out of service; it receives no new work.", "zone", r.Zone, "revision", change.Revision)
	case EndpointRecord:
		r.Endpoint.Registered = change.Created
		t.applyEndpoint(next, r.Endpoint, change.Revision)
	}
}

// maxMalformed bounds the malformed entries that are remembered.
const maxMalformed = 1024

// rejectEntry counts a malformed entry and logs it, unless it was malformed in the same way
// when it was read last: writers renew their entries every second.
func (t *Tracker) rejectEntry(change metastore.Change, err error) {
	malformedEntries.Add(1)
	if t.malformed[change.Key] == err.Error() {
		return
	}
	if len(t.malformed) < maxMalformed {
		t.malformed[change.Key] = err.Error()
	}
	t.log.Warn("Malformed store entry; treating it as deleted.", "key", change.Key, "revision", change.Revision, "bytes", len(change.Value), "err", err)
}

// applyVersion applies a newer declared version. next.ConfirmedAt is still the
// confirmation of the view without it.
func (t *Tracker) applyVersion(next *View, record VersionRecord, change metastore.Change) {
	next.Versions[record.Model] = record.Version
	next.DeclaredAt[record.Model] = DeclarationTime{MadeAt: change.MadeAt, NotBefore: next.ConfirmedAt}
	now := t.now()
	t.log.Info("New model version declared.", "model", record.Model, "version", record.Version, "revision", change.Revision,
		"ageMs", ageMs(now, change.MadeAt), "unconfirmedMs", ageMs(now, next.ConfirmedAt))
}

// ageMs returns the age of an instant for a log line, -1 if the instant is unknown.
func ageMs(now, at boottime.Instant) int64 {
	if at == 0 {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// applyDeployment applies a declaration that is not older than the active one.
// next.ConfirmedAt is still the confirmation of the view without it.
func (t *Tracker) applyDeployment(next *View, deployment *catalogue.Deployment, change metastore.Change) {
	if next.Deployment != nil && deployment.Revision < next.Deployment.Revision {
		t.log.Warn("Declaration older than the active one; ignoring it.", "version", deployment.Revision, "known", next.Deployment.Revision, "revision", change.Revision)
		return
	}
	if next.Deployment == nil || deployment.Revision != next.Deployment.Revision {
		now := t.now()
		t.log.Info("Declaration active.", "version", deployment.Revision, "routes", len(deployment.Routes), "teams", len(deployment.Teams),
			"revision", change.Revision, "bytes", len(change.Value), "ageMs", ageMs(now, change.MadeAt), "unconfirmedMs", ageMs(now, next.ConfirmedAt))
	}
	next.Deployment = deployment
}

func (t *Tracker) applyEndpoint(next *View, endpoint *Endpoint, revision uint64) {
	if names(next, endpoint.Service) && !t.claimAddress(next, endpoint) {
		return
	}
	endpoint.SeenAt = t.now()
	before := next.Endpoints[endpoint.ID]
	next.Endpoints[endpoint.ID] = endpoint
	delete(t.missing, endpoint.ID)
	if before == nil || before.Draining != endpoint.Draining || before.Boot != endpoint.Boot {
		t.log.Info("Endpoint registered.", "endpoint", endpoint.ID, "service", endpoint.Service, "address", endpoint.Address,
			"zone", endpoint.Zone, "draining", endpoint.Draining, "coldMs", endpoint.ColdFor.Milliseconds(), "weights", len(endpoint.Weights), "revision", revision,
			"unconfirmedMs", ageMs(endpoint.SeenAt, next.ConfirmedAt))
	}
}

// names reports whether the declaration names a service. An entry of any other service may be
// from another writer, and takes no address from an endpoint.
func names(view *View, service core.ServiceID) bool {
	if view.Deployment == nil {
		return true
	}
	_, named := view.Deployment.Services[service]
	return named
}

// claimAddress removes the previous endpoints at the same address, whose entries remain
// for seconds after the endpoints stopped. It returns false if the endpoint itself has
// been superseded.
func (t *Tracker) claimAddress(next *View, endpoint *Endpoint) bool {
	for id, other := range next.Endpoints {
		if id == endpoint.ID || other.Address == "" || other.Address != endpoint.Address {
			continue
		}
		if other.Registered > endpoint.Registered {
			delete(next.Endpoints, endpoint.ID)
			return false
		}
		delete(next.Endpoints, id)
		delete(t.missing, id)
		t.log.Info("Endpoint removed: another endpoint registered its address.", "endpoint", id, "address", other.Address, "successor", endpoint.ID)
	}
	return true
}

func (t *Tracker) remove(next *View, key string) {
	record, ok := t.decoder.Deleted(key)
	if !ok {
		return
	}
	switch r := record.(type) {
	case ZoneOutRecord:
		delete(next.ZonesOut, r.Zone)
		t.log.Info("Zone returned to service; it receives new work again.", "zone", r.Zone)
	case EndpointRecord:
		if _, known := next.Endpoints[r.Endpoint.ID]; known {
			delete(next.Endpoints, r.Endpoint.ID)
			t.log.Info("Endpoint removed.", "endpoint", r.Endpoint.ID, "unconfirmedMs", ageMs(t.now(), next.ConfirmedAt))
		}
	}
}

// NextExpiry returns the time until Expire has an endpoint to remove; waiting is false if there
// is none.
func (t *Tracker) NextExpiry() (left time.Duration, waiting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, removeAt := range t.missing {
		if wait := max(removeAt.Sub(now), 0); !waiting || wait < left {
			left, waiting = wait, true
		}
	}
	return left, waiting
}

// Expire removes the endpoints that did not register again within reregistrationGrace
// after a store outage.
func (t *Tracker) Expire() {
	if left, waiting := t.NextExpiry(); !waiting || left > 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	next := t.view.Load().clone()
	for id, removeAt := range t.missing {
		if now.Before(removeAt) {
			continue
		}
		delete(t.missing, id)
		delete(next.Endpoints, id)
		t.log.Info("Endpoint removed: it did not register again after the store outage.", "endpoint", id)
	}
	t.publish(next)
}

// Replace implements metastore.Sink. Declarations and versions are kept, since they
// never revert to older ones. After an outage, endpoints whose entries may have expired are
// kept for reregistrationGrace.
func (t *Tracker) Replace(snapshot metastore.Snapshot, confirmed boottime.Instant, outage metastore.Outage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if outage.Failed {
		t.log.Info("Store reachable again; replacing the view with its content.", "revision", snapshot.Revision, "entries", len(snapshot.Items),
			"awayAtLeastMs", outage.AtLeast.Milliseconds(), "awayAtMostMs", outage.AtMost.Milliseconds())
	}
	before := t.view.Load()
	next := before.clone()
	clear(next.ZonesOut)
	clear(next.Endpoints)
	for _, item := range snapshot.Items {
		t.apply(next, item)
	}
	if outage.Happened() {
		t.keepExpired(before, next, outage)
	}
	next.ConfirmedAt, next.Revision = confirmed, max(next.Revision, snapshot.Revision)
	t.publish(next)
}

// Apply implements metastore.Sink. After an outage, endpoints whose entries may have expired are
// kept for reregistrationGrace.
func (t *Tracker) Apply(changes []metastore.Change, revision uint64, confirmed boottime.Instant, outage metastore.Outage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.view.Load()
	if len(changes) == 0 && !outage.Failed {
		confirmedView := *before
		confirmedView.ConfirmedAt, confirmedView.Revision = max(before.ConfirmedAt, confirmed), max(before.Revision, revision)
		t.publish(&confirmedView)
		return
	}
	next := before.clone()
	for _, change := range changes {
		t.apply(next, change)
	}
	if outage.Failed {
		t.log.Info("Store reachable again; applying the changes since.", "revision", revision, "changes", len(changes), "unconfirmedMs", ageMs(t.now(), before.ConfirmedAt),
			"awayAtLeastMs", outage.AtLeast.Milliseconds(), "awayAtMostMs", outage.AtMost.Milliseconds())
	}
	if outage.Happened() {
		t.keepExpired(before, next, outage)
	}
	next.ConfirmedAt, next.Revision = max(next.ConfirmedAt, confirmed), max(next.Revision, revision)
	t.publish(next)
}

// Disconnected implements metastore.Sink.
func (t *Tracker) Disconnected(err error) {
	t.log.Warn("Reading the store failed; the last known state stays in use.", "err", err, "ageMs", t.now().Sub(t.View().ConfirmedAt).Milliseconds())
}
