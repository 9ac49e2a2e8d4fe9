package membership_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// encoded returns the wire encoding of a message.
func encoded(f *testing.F, message *peerpb.Knowledge) []byte {
	f.Helper()
	data, err := proto.Marshal(message)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// decoded returns the message encoded in data, or nil if data is malformed.
func decoded(data []byte) *peerpb.Knowledge {
	message := &peerpb.Knowledge{}
	if proto.Unmarshal(data, message) != nil {
		return nil
	}
	return message
}

// oversizedMessage returns a message with more zone orders and endpoints than a
// State stores.
func oversizedMessage() *peerpb.Knowledge {
	message := &peerpb.Knowledge{From: "flood", Incarnation: 1}
	for i := range 2 * membership.MaxZoneOrders {
		message.ZoneOrders = append(message.ZoneOrders, &peerpb.ZoneOrder{Zone: fmt.Sprint("zone-", i), Out: true, Stamp: uint64(i)})
	}
	for i := range membership.MaxEndpoints + 10 {
		message.Endpoints = append(message.Endpoints, &peerpb.EndpointState{Vm: fmt.Sprint("vm-", i), Incarnation: 1})
	}
	return message
}

func addSeeds(f *testing.F, add func(*peerpb.Knowledge)) {
	f.Helper()
	add(&peerpb.Knowledge{})
	add(&peerpb.Knowledge{From: "entry-1", Vms: &peerpb.VMList{Revision: 3, Json: []byte(`[{"id":"entry-1"}]`)}})
	add(&peerpb.Knowledge{From: "entry-1", Vms: &peerpb.VMList{Revision: 1 << 63, Json: []byte(`[`)}})
	add(&peerpb.Knowledge{ZoneOrders: []*peerpb.ZoneOrder{{Zone: "a", Out: true, Stamp: 9}, {Zone: "a", Stamp: 9}, {Zone: "", Stamp: 1 << 63}}})
	add(&peerpb.Knowledge{From: "e", Endpoints: []*peerpb.EndpointState{{Vm: "e", Incarnation: 2, Sequence: 1}, {Vm: "e", Incarnation: 1, Sequence: 9}, {}}})
	add(oversizedMessage())
}

// FuzzMerge checks that merging arbitrary messages keeps the state bounded, and
// that merging the same message again changes nothing.
func FuzzMerge(f *testing.F) {
	addSeeds(f, func(message *peerpb.Knowledge) { f.Add(encoded(f, message), "peer", uint64(7)) })
	f.Fuzz(func(t *testing.T, data []byte, receiver string, revision uint64) {
		message := decoded(data)
		if message == nil {
			return
		}
		now := time.Unix(1_000_000, 0)
		state := membership.New("self")
		state.Merge(now, message)
		if again := state.Merge(now, message); again != (membership.Changes{}) {
			t.Fatalf("merging the same message again changed the state: %+v", again)
		}
		checkBounds(t, state, now)
		built := state.Build(membership.Receiver{
			ID: core.VMID(receiver), ConfigRevision: revision, VMsRevision: revision, WantsEndpoints: true, Pool: core.PoolID(receiver),
		})
		if _, err := proto.Marshal(built.Message); err != nil {
			t.Fatalf("cannot marshal the message built for a peer: %v", err)
		}
		state.Delivered(built)
		state.Expire(now.Add(2 * membership.ExpireAfter))
		if left := len(state.Alive(now)); left > 0 {
			t.Fatalf("%d silent endpoints were not removed", left)
		}
	})
}

func checkBounds(t *testing.T, state *membership.State, now time.Time) {
	t.Helper()
	if stored := len(state.ZoneOrders()); stored > membership.MaxZoneOrders {
		t.Fatalf("%d zone orders are stored", stored)
	}
	if stored := len(state.Alive(now)); stored > membership.MaxEndpoints {
		t.Fatalf("%d endpoints are stored", stored)
	}
}

// FuzzMergeOrder checks that merging two arbitrary messages in either order
// yields the same zone orders.
func FuzzMergeOrder(f *testing.F) {
	out := encoded(f, &peerpb.Knowledge{ZoneOrders: []*peerpb.ZoneOrder{{Zone: "a", Out: true, Stamp: 9, Author: "day"}}})
	f.Add(out, encoded(f, &peerpb.Knowledge{ZoneOrders: []*peerpb.ZoneOrder{{Zone: "a", Stamp: 8, Author: "night"}}}))
	f.Add(out, encoded(f, &peerpb.Knowledge{ZoneOrders: []*peerpb.ZoneOrder{{Zone: "a", Stamp: 9, Author: "night"}}}))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		a, b := decoded(first), decoded(second)
		if a == nil || b == nil || len(a.GetZoneOrders())+len(b.GetZoneOrders()) > membership.MaxZoneOrders {
			return
		}
		forward, reversed := mergedOrders(a, b), mergedOrders(b, a)
		if len(forward) != len(reversed) {
			t.Fatalf("%d orders in one merge order, %d in the other", len(forward), len(reversed))
		}
		for zone, order := range forward {
			if !proto.Equal(order, reversed[zone]) {
				t.Fatalf("zone %q: %v in one merge order, %v in the other", zone, order, reversed[zone])
			}
		}
	})
}

// mergedOrders merges messages in the given order and returns the resulting zone
// orders by zone.
func mergedOrders(messages ...*peerpb.Knowledge) map[string]*peerpb.ZoneOrder {
	state := membership.New("self")
	for _, message := range messages {
		state.Merge(time.Unix(1_000_000, 0), message)
	}
	merged := map[string]*peerpb.ZoneOrder{}
	for _, order := range state.ZoneOrders() {
		merged[order.GetZone()] = order
	}
	return merged
}
