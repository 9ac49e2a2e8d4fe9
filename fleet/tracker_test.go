package fleet_test

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/metastore"
)

// decoder decodes keys of the form endpoint/ID, and the key deployment. The value of an
// endpoint is its address, the length of the value of deployment its revision.
type decoder struct{}

func (decoder) Decode(key string, value []byte) (fleet.Record, bool, error) {
	if string(value) == "bad" {
		return nil, true, errors.New("bad")
	}
	if key == "deployment" {
		return fleet.DeploymentRecord{Deployment: &catalogue.Deployment{Revision: int64(len(value))}}, true, nil
	}
	record, ok := decoder{}.Deleted(key)
	if endpoint, is := record.(fleet.EndpointRecord); is {
		endpoint.Endpoint.Address = string(value)
	}
	return record, ok, nil
}

func (decoder) Deleted(key string) (fleet.Record, bool) {
	if id, found := strings.CutPrefix(key, "endpoint/"); found {
		return fleet.EndpointRecord{Endpoint: &fleet.Endpoint{ID: fleet.EndpointID(id)}}, true
	}
	return nil, false
}

func item(key, value string) metastore.Change {
	return metastore.Change{Key: key, Value: []byte(value)}
}

// renewalInterval is the time between two renewals of an entry.
const renewalInterval = 1200 * time.Millisecond

// longOutage is an outage in which all entries expire that do so at all.
var longOutage = metastore.Outage{Failed: true, AtLeast: 5500 * time.Millisecond, AtMost: 6 * time.Second}

func newTracker() (*fleet.Tracker, *boottime.Instant) {
	now := boottime.Instant(time.Hour)
	return fleet.NewTracker(fleet.RenewalInterval(renewalInterval), decoder{}, func() boottime.Instant { return now }, logging.Discard()), &now
}

func TestEndpointsThatLapsedInAnOutageAreKeptForTwoSeconds(t *testing.T) {
	g := NewWithT(t)
	tracker, now := newTracker()
	tracker.Replace(metastore.Snapshot{Items: []metastore.Change{item("endpoint/a", "x:1"), item("endpoint/b", "x:2")}}, *now, metastore.Outage{})
	tracker.Replace(metastore.Snapshot{Items: []metastore.Change{item("endpoint/a", "x:1")}}, *now, shortOutage)
	g.Expect(tracker.View().Endpoints).To(HaveLen(2))
	*now = now.Add(1900 * time.Millisecond)
	tracker.Expire()
	g.Expect(tracker.View().Endpoints).To(HaveLen(2))
	*now = now.Add(200 * time.Millisecond)
	tracker.Expire()
	g.Expect(tracker.View().Endpoints).To(HaveLen(1))
}

func TestAnEndpointThatComesBackInTimeStays(t *testing.T) {
	g := NewWithT(t)
	tracker, now := newTracker()
	tracker.Replace(metastore.Snapshot{Items: []metastore.Change{item("endpoint/a", "x:1")}}, *now, metastore.Outage{})
	tracker.Replace(metastore.Snapshot{}, *now, longOutage)
	tracker.Apply([]metastore.Change{item("endpoint/a", "x:1")}, 5, *now, metastore.Outage{})
	*now = now.Add(time.Minute)
	tracker.Expire()
	g.Expect(tracker.View().Endpoints).To(HaveLen(1))
}

func TestARemovedEntryEndsAnEndpointAtOnceWhileTheStoreIsThere(t *testing.T) {
	g := NewWithT(t)
	tracker, now := newTracker()
	tracker.Replace(metastore.Snapshot{Items: []metastore.Change{item("endpoint/a", "x:1")}}, *now, metastore.Outage{})
	tracker.Apply([]metastore.Change{{Key: "endpoint/a", Deleted: true}}, 5, *now, metastore.Outage{})
	g.Expect(tracker.View().Endpoints).To(BeEmpty())
}

func TestAnOlderDeclarationNeverReplacesANewerOne(t *testing.T) {
	g := NewWithT(t)
	tracker, now := newTracker()
	tracker.Apply([]metastore.Change{item("deployment", "1234567")}, 5, *now, metastore.Outage{})
	tracker.Replace(metastore.Snapshot{Items: []metastore.Change{item("deployment", "123")}}, *now, longOutage)
	g.Expect(tracker.View().Deployment.Revision).To(BeEquivalentTo(7))
}

func TestAnEntryThatCannotBeReadNamesNoEndpointAndTheOthersHold(t *testing.T) {
	g := NewWithT(t)
	tracker, now := newTracker()
	tracker.Replace(metastore.Snapshot{Items: []metastore.Change{item("endpoint/a", "bad"), item("endpoint/b", "x:2")}}, *now, metastore.Outage{})
	g.Expect(tracker.View().Endpoints).To(HaveLen(1))
}

// Load pattern: all machines restart at once. Their endpoints register under new names
// at the same addresses, three seconds before the previous entries expire.
func TestAnEndpointTakesTheAddressOfTheOneBefore(t *testing.T) {
	g := NewWithT(t)
	tracker, now := newTracker()
	old := metastore.Change{Key: "endpoint/a", Value: []byte("10.0.0.1:80"), Created: 3, Revision: 3}
	young := metastore.Change{Key: "endpoint/b", Value: []byte("10.0.0.1:80"), Created: 9, Revision: 9}
	other := metastore.Change{Key: "endpoint/c", Value: []byte("10.0.0.2:80"), Created: 4, Revision: 4}
	ids := func() []fleet.EndpointID { return slices.Sorted(maps.Keys(tracker.View().Endpoints)) }
	tracker.Replace(metastore.Snapshot{Items: []metastore.Change{old, other}}, *now, metastore.Outage{})
	tracker.Apply([]metastore.Change{young}, 9, *now, metastore.Outage{})
	g.Expect(ids()).To(Equal([]fleet.EndpointID{"b", "c"}))
	old.Revision = 10
	tracker.Apply([]metastore.Change{old}, 10, *now, metastore.Outage{})
	g.Expect(ids()).To(Equal([]fleet.EndpointID{"b", "c"}))
	tracker.Replace(metastore.Snapshot{Items: []metastore.Change{young, old, other}}, *now, longOutage)
	g.Expect(ids()).To(Equal([]fleet.EndpointID{"b", "c"}))
	tracker.Apply([]metastore.Change{{Key: "endpoint/a", Deleted: true}}, 11, *now, metastore.Outage{})
	g.Expect(ids()).To(Equal([]fleet.EndpointID{"b", "c"}))
}

func TestAnOutageKeepsNoEndpointWhoseAddressIsTaken(t *testing.T) {
	g := NewWithT(t)
	tracker, now := newTracker()
	tracker.Replace(metastore.Snapshot{Items: []metastore.Change{item("endpoint/a", "x:1")}}, *now, metastore.Outage{})
	tracker.Replace(metastore.Snapshot{Items: []metastore.Change{item("endpoint/b", "x:1")}}, *now, longOutage)
	g.Expect(tracker.View().Endpoints).To(HaveLen(1))
	g.Expect(tracker.View().Endpoints).To(HaveKey(fleet.EndpointID("b")))
}
