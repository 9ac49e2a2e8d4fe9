package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/metastore"
)

var (
	// cutWatch is a watch that was cut and sent again at once.
	cutWatch = metastore.Outage{Failed: true, AtMost: 1900 * time.Millisecond}
	// shortOutage is one in which some entries of live endpoints have expired and others not.
	shortOutage = metastore.Outage{Failed: true, AtLeast: 2 * time.Second, AtMost: 4 * time.Second}
	// suspension is one of the process itself.
	suspension = metastore.Outage{AtMost: 6 * time.Second}
)

// registeredAgain returns the entries of endpoints, some of which were created anew.
func registeredAgain(items []metastore.Change, revision uint64) []metastore.Change {
	for i := range items {
		items[i].Created = revision
	}
	return items
}

// An entry that is removed soon after the store's last answer cannot have expired, whatever
// share of the endpoints that is. The endpoint has left and must get no more calls.
func TestAnEndpointThatLeavesAsAWatchIsCutIsGoneAtOnce(t *testing.T) {
	for known := 1; known <= 6; known++ {
		for leaving := 1; leaving <= known; leaving++ {
			g := NewWithT(t)
			tracker, now := newTracker()
			tracker.Replace(metastore.Snapshot{Items: entriesOf(known)}, *now, metastore.Outage{})
			*now = now.Add(cutWatch.AtMost)
			var removed []metastore.Change
			for number := range leaving {
				removed = append(removed, metastore.Change{Key: fmt.Sprint("endpoint/", number), Deleted: true})
			}
			tracker.Apply(removed, 5, *now, cutWatch)
			g.Expect(tracker.View().Endpoints).To(HaveLen(known-leaving), "%d of %d", leaving, known)
		}
	}
}

// What an endpoint renewed after all entries would have expired outlasted no outage of the store
// for everybody: the process alone had lost it, and the others have left.
func TestAnEndpointOfThreeThatLeavesInALongOutageOfOneProcessIsGoneAtOnce(t *testing.T) {
	for name, outage := range map[string]metastore.Outage{"turned away": longOutage, "suspended": suspension} {
		g := NewWithT(t)
		tracker, now := newTracker()
		tracker.Replace(metastore.Snapshot{Items: entriesOf(3)}, *now, metastore.Outage{})
		*now = now.Add(6 * time.Second)
		tracker.Replace(metastore.Snapshot{Items: entriesOf(3, 1)}, *now, outage)
		g.Expect(tracker.View().Endpoints).To(HaveLen(2), name)
	}
}

// The entries of live endpoints expire together, and are back within two seconds.
func TestEndpointsWhoseEntriesExpiredAreKept(t *testing.T) {
	for name, test := range map[string]struct {
		outage metastore.Outage
		after  []metastore.Change
	}{
		"none is back":                   {longOutage, nil},
		"one has registered again":       {longOutage, registeredAgain(entriesOf(3, 0, 1), 9)},
		"some have not expired yet":      {shortOutage, entriesOf(3, 0, 1)},
		"while the process is suspended": {suspension, nil},
		"the copy of the store is older": {metastore.Outage{Rewound: true, AtMost: time.Second}, entriesOf(3, 2)},
	} {
		g := NewWithT(t)
		tracker, now := newTracker()
		tracker.Replace(metastore.Snapshot{Items: entriesOf(3)}, *now, metastore.Outage{})
		*now = now.Add(test.outage.AtMost)
		tracker.Replace(metastore.Snapshot{Items: test.after}, *now, test.outage)
		g.Expect(tracker.View().Endpoints).To(HaveLen(3), name)
		left, waiting := tracker.NextExpiry()
		g.Expect(waiting).To(BeTrue())
		g.Expect(left).To(Equal(2 * time.Second))
		*now = now.Add(left)
		tracker.Expire()
		g.Expect(tracker.View().Endpoints).To(HaveLen(len(test.after)), name)
	}
}

// A second failure within the grace of an outage tells nothing new of the endpoints that are kept.
func TestAnEndpointThatIsKeptAfterAnOutageIsKeptWhenAWatchIsCut(t *testing.T) {
	g := NewWithT(t)
	tracker, now := newTracker()
	tracker.Replace(metastore.Snapshot{Items: entriesOf(3)}, *now, metastore.Outage{})
	tracker.Replace(metastore.Snapshot{}, *now, longOutage)
	*now = now.Add(time.Second)
	tracker.Replace(metastore.Snapshot{Items: registeredAgain(entriesOf(3, 1, 2), 9)}, *now, cutWatch)
	g.Expect(tracker.View().Endpoints).To(HaveLen(3))
	*now = now.Add(time.Second)
	tracker.Expire()
	g.Expect(tracker.View().Endpoints).To(HaveLen(1))
}
