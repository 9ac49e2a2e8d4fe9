package fleet_test

import (
	"errors"
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

// decoder reads keys of the form endpoint/ID, zone/NAME and deployment.
type decoder struct{}

func (decoder) Decode(key string, value []byte) (fleet.Fact, bool, error) {
	if string(value) == "bad" {
		return nil, true, errors.New("bad")
	}
	if key == "deployment" {
		return fleet.DeploymentFact{Deployment: &catalogue.Deployment{Revision: int64(len(value))}}, true, nil
	}
	fact, ok := decoder{}.Deleted(key)
	return fact, ok, nil
}

func (decoder) Deleted(key string) (fleet.Fact, bool) {
	if id, found := strings.CutPrefix(key, "endpoint/"); found {
		return fleet.EndpointFact{Endpoint: &fleet.Endpoint{ID: fleet.EndpointID(id)}}, true
	}
	return nil, false
}

func item(key, value string) metastore.Change {
	return metastore.Change{Key: key, Value: []byte(value)}
}

func newHolder() (*fleet.Holder, *boottime.Instant) {
	now := boottime.Instant(time.Hour)
	return fleet.NewHolder(decoder{}, func() boottime.Instant { return now }, logging.Discard()), &now
}

func TestEndpointsThatLapsedInAnOutageAreKeptForTwoSeconds(t *testing.T) {
	g := NewWithT(t)
	h, now := newHolder()
	h.Replace(metastore.Snapshot{Items: []metastore.Change{item("endpoint/a", "x"), item("endpoint/b", "x")}}, *now, false)
	h.Replace(metastore.Snapshot{Items: []metastore.Change{item("endpoint/a", "x")}}, *now, true)
	g.Expect(h.View().Endpoints).To(HaveLen(2))
	*now = now.Add(1900 * time.Millisecond)
	h.Expire()
	g.Expect(h.View().Endpoints).To(HaveLen(2))
	*now = now.Add(200 * time.Millisecond)
	h.Expire()
	g.Expect(h.View().Endpoints).To(HaveLen(1))
}

func TestAnEndpointThatComesBackInTimeStays(t *testing.T) {
	g := NewWithT(t)
	h, now := newHolder()
	h.Replace(metastore.Snapshot{Items: []metastore.Change{item("endpoint/a", "x")}}, *now, false)
	h.Replace(metastore.Snapshot{}, *now, true)
	h.Apply([]metastore.Change{item("endpoint/a", "x")}, 5, *now)
	*now = now.Add(time.Minute)
	h.Expire()
	g.Expect(h.View().Endpoints).To(HaveLen(1))
}

func TestARemovedEntryEndsAnEndpointAtOnceWhileTheStoreIsThere(t *testing.T) {
	g := NewWithT(t)
	h, now := newHolder()
	h.Replace(metastore.Snapshot{Items: []metastore.Change{item("endpoint/a", "x")}}, *now, false)
	h.Apply([]metastore.Change{{Key: "endpoint/a", Deleted: true}}, 5, *now)
	g.Expect(h.View().Endpoints).To(BeEmpty())
}

func TestAnOlderDeclarationNeverReplacesANewerOne(t *testing.T) {
	g := NewWithT(t)
	h, now := newHolder()
	h.Apply([]metastore.Change{item("deployment", "1234567")}, 5, *now)
	h.Replace(metastore.Snapshot{Items: []metastore.Change{item("deployment", "123")}}, *now, true)
	g.Expect(h.View().Deployment.Revision).To(BeEquivalentTo(7))
}

func TestAnEntryThatCannotBeReadNamesNoEndpointAndTheOthersHold(t *testing.T) {
	g := NewWithT(t)
	h, now := newHolder()
	h.Replace(metastore.Snapshot{Items: []metastore.Change{item("endpoint/a", "bad"), item("endpoint/b", "x")}}, *now, false)
	g.Expect(h.View().Endpoints).To(HaveLen(1))
}
