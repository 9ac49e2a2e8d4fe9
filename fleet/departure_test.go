package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/metastore"
)

// entriesOf returns the entries of endpoints 0 to count-1, less those that have left.
func entriesOf(count int, left ...int) []metastore.Change {
	gone := map[int]bool{}
	for _, number := range left {
		gone[number] = true
	}
	var items []metastore.Change
	for number := range count {
		if !gone[number] {
			items = append(items, item(fmt.Sprintf("endpoint/%d", number), fmt.Sprintf("10.0.0.%d:80", number)))
		}
	}
	return items
}

// The store served all others while it turned this process away or cut its watch, and few
// endpoints have no entry any more: they have left and must get no more calls.
func TestAnEndpointThatLeavesWhileOnlyThisProcessHasLostTheStoreIsGoneAtOnce(t *testing.T) {
	g := NewWithT(t)
	tracker, now := newTracker()
	tracker.Replace(metastore.Snapshot{Items: entriesOf(18)}, *now, metastore.Outage{})
	*now = now.Add(6 * time.Second)
	tracker.Replace(metastore.Snapshot{Items: entriesOf(18, 3)}, *now, longOutage)
	g.Expect(tracker.View().Endpoints).To(HaveLen(17))
	g.Expect(tracker.View().Endpoints).NotTo(HaveKey(BeEquivalentTo("3")))
}

// All entries expired with the store away; some endpoints have registered again already.
func TestEndpointsWhoseEntriesExpiredTogetherAreKeptUntilTheyRegisterAgain(t *testing.T) {
	g := NewWithT(t)
	tracker, now := newTracker()
	tracker.Replace(metastore.Snapshot{Items: entriesOf(18)}, *now, metastore.Outage{})
	*now = now.Add(6 * time.Second)
	tracker.Replace(metastore.Snapshot{Items: registeredAgain(entriesOf(18, 0, 1, 2, 3, 4, 5, 6, 7), 9)}, *now, longOutage)
	g.Expect(tracker.View().Endpoints).To(HaveLen(18))
	*now = now.Add(2100 * time.Millisecond)
	tracker.Expire()
	g.Expect(tracker.View().Endpoints).To(HaveLen(10))
}
