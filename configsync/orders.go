package configsync

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
)

// MaxZoneOrders is the maximum number of volatile zone orders in one process.
const MaxZoneOrders = 256

// ProvisionalText is the status of a volatile order in reports to operators.
const ProvisionalText = "provisional: obeyed by processes that were reached, not accepted"

// ZoneOrder is a volatile order of an operator that takes a zone out or in. It
// applies until a published configuration supersedes it.
type ZoneOrder struct {
	Zone   core.ZoneID `json:"zone"`
	Out    bool        `json:"out"`
	Stamp  hlc.Stamp   `json:"stamp"`
	Author string      `json:"author"`
}

// newerOrder reports whether a replaces b, an order for the same zone. At equal
// stamps an out order replaces an in order.
func newerOrder(a, b ZoneOrder) bool {
	if a.Stamp != b.Stamp {
		return a.Stamp > b.Stamp
	}
	if a.Out != b.Out {
		return a.Out
	}
	return a.Author > b.Author
}

// ZoneOrders is the newest volatile order of each zone. Merging is commutative
// and idempotent. It is not safe for concurrent use.
type ZoneOrders struct {
	orders map[core.ZoneID]ZoneOrder
}

// NewZoneOrders returns an empty set of orders.
func NewZoneOrders() *ZoneOrders { return &ZoneOrders{orders: map[core.ZoneID]ZoneOrder{}} }

// Merge stores order if it is newer than the stored order for its zone. An
// order for a further zone is ignored at MaxZoneOrders.
func (z *ZoneOrders) Merge(order ZoneOrder) (changed bool) {
	stored, exists := z.orders[order.Zone]
	if exists && !newerOrder(order, stored) {
		return false
	}
	if !exists && len(z.orders) >= MaxZoneOrders {
		return false
	}
	z.orders[order.Zone] = order
	return true
}

// List returns the orders sorted by zone.
func (z *ZoneOrders) List() []ZoneOrder {
	return slices.SortedFunc(maps.Values(z.orders), func(a, b ZoneOrder) int { return cmp.Compare(a.Zone, b.Zone) })
}

// DropSuperseded removes the orders that doc, the active configuration,
// contains or overrides, and returns their zones.
func (z *ZoneOrders) DropSuperseded(doc *Document) []core.ZoneID {
	var dropped []core.ZoneID
	for _, order := range z.List() {
		if Superseded(doc, order) {
			delete(z.orders, order.Zone)
			dropped = append(dropped, order.Zone)
		}
	}
	return dropped
}

// Superseded reports whether doc has a zone state that is at least as recent as
// order, so that the order no longer applies.
func Superseded(doc *Document, order ZoneOrder) bool {
	return doc != nil && doc.ZoneStamps[order.Zone] >= order.Stamp
}

// ZonesOut returns the zones that accept no new work. For each zone, the more
// recent of the document and the volatile order decides.
func ZonesOut(doc *Document, orders []ZoneOrder) map[core.ZoneID]bool {
	out := map[core.ZoneID]bool{}
	for _, zone := range setOf(doc).Zones {
		if zone.State == catalogue.ZoneOut {
			out[zone.Name] = true
		}
	}
	for _, order := range orders {
		if Superseded(doc, order) {
			continue
		}
		delete(out, order.Zone)
		if order.Out {
			out[order.Zone] = true
		}
	}
	return out
}

// FoldAuthor is the author of revisions that add volatile orders to the
// configuration.
const FoldAuthor = "zone-orders"

// Fold returns a draft that applies the orders not superseded by doc to its
// set. If there is nothing to apply, needed is false. Orders for undeclared
// zones and orders that would make the set invalid are skipped.
func Fold(doc *Document, orders []ZoneOrder) (draft Draft, needed bool) {
	if doc == nil {
		return Draft{}, false
	}
	draft = Draft{Set: &doc.Set, Author: FoldAuthor, DecidedAt: map[core.ZoneID]hlc.Stamp{}}
	for _, order := range orders {
		if Superseded(doc, order) {
			continue
		}
		changed, known := draft.Set.WithZoneState(order.Zone, order.state())
		if !known || len(catalogue.Validate(changed)) > 0 {
			continue
		}
		draft.Set = changed
		draft.DecidedAt[order.Zone] = order.Stamp
		draft.Author = FoldAuthor + " of " + order.Author
	}
	return draft, len(draft.DecidedAt) > 0
}

func (o ZoneOrder) state() catalogue.ZoneState {
	if o.Out {
		return catalogue.ZoneOut
	}
	return catalogue.ZoneIn
}
