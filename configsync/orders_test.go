package configsync_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
)

func drawOrder(t *rapid.T) configsync.ZoneOrder {
	return configsync.ZoneOrder{
		Zone: core.ZoneID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")), Out: rapid.Bool().Draw(t, "out"),
		Stamp: hlc.Stamp(rapid.IntRange(1, 4).Draw(t, "stamp")), Author: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "author"),
	}
}

func TestMergingOrdersGivesTheSameInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		orders := rapid.SliceOfN(rapid.Custom(drawOrder), 1, 8).Draw(t, "orders")
		forward, reversed := configsync.NewZoneOrders(), configsync.NewZoneOrders()
		for i := range orders {
			forward.Merge(orders[i])
			reversed.Merge(orders[len(orders)-1-i])
			reversed.Merge(orders[len(orders)-1-i])
		}
		NewWithT(t).Expect(forward.List()).To(Equal(reversed.List()))
	})
}

func twoZones() *catalogue.Set {
	return &catalogue.Set{Zones: []catalogue.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}}
}

// published returns the document that results from publishing set as the first
// revision.
func published(t fataler, set *catalogue.Set, stamp hlc.Stamp) *configsync.Document {
	return publishOn(t, nil, configsync.Draft{Set: set, Author: "operator"}, stamp)
}

// publishOn publishes a draft on base, without faults or competing publishers, and
// returns the document.
func publishOn(t fataler, base *configsync.Document, draft configsync.Draft, stamp hlc.Stamp) *configsync.Document {
	var revision uint64
	if base != nil {
		revision = base.Revision
	}
	pub := configsync.NewPublication(revision, draft, stamp, base, nil)
	pub.Read(configsync.Observed{ModRevision: revision, Doc: base})
	if pub.Next() != configsync.StepSwap {
		t.Fatalf("publish rejected: %v", pub.Outcome())
	}
	return pub.Document()
}

func TestAnOrderCountsUntilItIsFoldedAndThenIsDropped(t *testing.T) {
	g := NewWithT(t)
	doc := published(t, twoZones(), 5)
	orders := configsync.NewZoneOrders()
	orders.Merge(configsync.ZoneOrder{Zone: "a", Out: true, Stamp: 9, Author: "night"})
	g.Expect(configsync.ZonesOut(doc, orders.List())).To(HaveKey(core.ZoneID("a")))

	unrelated := *twoZones()
	unrelated.Teams = []catalogue.Team{{Name: "t", Weight: 1}}
	doc = publishOn(t, doc, configsync.Draft{Set: &unrelated}, 20)
	g.Expect(configsync.ZonesOut(doc, orders.List())).To(HaveKey(core.ZoneID("a")), "a publish without a change of the zone's state does not supersede the order")

	draft, needed := configsync.Fold(doc, orders.List())
	g.Expect(needed).To(BeTrue())
	doc = publishOn(t, doc, draft, 30)
	g.Expect(doc.Set.Zones[0].State).To(Equal(catalogue.ZoneOut))
	g.Expect(orders.DropSuperseded(doc)).To(Equal([]core.ZoneID{"a"}))
	g.Expect(configsync.ZonesOut(doc, nil)).To(HaveKey(core.ZoneID("a")))
	_, needed = configsync.Fold(doc, orders.List())
	g.Expect(needed).To(BeFalse())
}

func TestADecisionAfterAnOrderOverrulesIt(t *testing.T) {
	g := NewWithT(t)
	doc := published(t, twoZones(), 5)
	order := configsync.ZoneOrder{Zone: "a", Out: true, Stamp: 9}
	set, _ := doc.Set.WithZoneState("a", catalogue.ZoneIn)
	doc = publishOn(t, doc, configsync.Draft{Set: set, DecidedAt: map[core.ZoneID]hlc.Stamp{"a": 12}}, 12)
	g.Expect(configsync.ZonesOut(doc, []configsync.ZoneOrder{order})).To(BeEmpty())
}

func TestAnOrderThatWouldLeaveAPoolWithoutZonesIsNotFolded(t *testing.T) {
	g := NewWithT(t)
	set := twoZones()
	set.Services = []catalogue.Service{{Name: "s", Zones: []core.ZoneID{"a"}}}
	doc := published(t, set, 5)
	_, needed := configsync.Fold(doc, []configsync.ZoneOrder{{Zone: "a", Out: true, Stamp: 9}, {Zone: "gone", Out: true, Stamp: 9}})
	g.Expect(needed).To(BeFalse())
}
