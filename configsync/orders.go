package configsync

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
)

// MaxZoneOrders bounds the volatile orders of one process.
const MaxZoneOrders = 256

// ProvisionalText is how a volatile order is reported to operators.
const ProvisionalText = "provisional: obeyed by processes that were reached, not accepted"

// ZoneOrder takes a zone out or in until the configuration says the same.
type ZoneOrder struct {
	Zone   core.ZoneID `json:"zone"`
	Out    bool        `json:"out"`
	Stamp  hlc.Stamp   `json:"stamp"`
	Author string      `json:"author"`
}

// newerOrder orders two orders for one zone; out goes before in at the same stamp.
func newerOrder(a, b ZoneOrder) bool {
	if a.Stamp != b.Stamp {
		return a.Stamp > b.Stamp
	}
	if a.Out != b.Out {
		return a.Out
	}
	return a.Author > b.Author
}

// ZoneOrders holds the newest volatile order of each zone. Merging is
// commutative and idempotent. It is not safe for concurrent use.
type ZoneOrders struct {
	orders map[core.ZoneID]ZoneOrder
}

// NewZoneOrders returns an empty set of orders.
func NewZoneOrders() *ZoneOrders { return &ZoneOrders{orders: map[core.ZoneID]ZoneOrder{}} }

// Merge takes an order that is newer than the one held for its zone.
func (z *ZoneOrders) Merge(order ZoneOrder) (changed bool) {
	held, exists := z.orders[order.Zone]
	if exists && !newerOrder(order, held) {
		return false
	}
	if !exists && len(z.orders) >= MaxZoneOrders {
		return false
	}
	z.orders[order.Zone] = order
	return true
}

// List returns the orders by zone.
func (z *ZoneOrders) List() []ZoneOrder {
	return slices.SortedFunc(maps.Values(z.orders), func(a, b ZoneOrder) int { return cmp.Compare(a.Zone, b.Zone) })
}

// DropSuperseded forgets the orders that the configuration in force has taken in
// or overruled, and returns their zones.
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

// Superseded reports whether a document has decided the zone's state at or after
// the order, so that the order has no effect any more.
func Superseded(doc *Document, order ZoneOrder) bool {
	return doc != nil && doc.ZoneStamps[order.Zone] >= order.Stamp
}

// ZonesOut returns the zones that take no new work: for each zone the newest
// of the document and the volatile orders counts.
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

// FoldAuthor writes the revisions that take volatile orders into the configuration.
const FoldAuthor = "zone-orders"

// Fold returns the draft that takes the undecided orders into the document.
// needed=false says that there is nothing to take in. Orders for undeclared
// zones, and orders that would make the set invalid, are skipped.
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
