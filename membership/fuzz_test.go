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

// encoded returns a message as it travels.
func encoded(f *testing.F, told *peerpb.Knowledge) []byte {
	f.Helper()
	data, err := proto.Marshal(told)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// decoded returns the message in data, nil when there is none.
func decoded(data []byte) *peerpb.Knowledge {
	told := &peerpb.Knowledge{}
	if proto.Unmarshal(data, told) != nil {
		return nil
	}
	return told
}

// flood has more zone orders and endpoints than are kept.
func flood() *peerpb.Knowledge {
	told := &peerpb.Knowledge{From: "flood", Incarnation: 1}
	for i := range 2 * membership.MaxZoneOrders {
		told.ZoneOrders = append(told.ZoneOrders, &peerpb.ZoneOrder{Zone: fmt.Sprint("zone-", i), Out: true, Stamp: uint64(i)})
	}
	for i := range membership.MaxEndpoints + 10 {
		told.Endpoints = append(told.Endpoints, &peerpb.EndpointState{Vm: fmt.Sprint("vm-", i), Incarnation: 1})
	}
	return told
}

func addSeeds(f *testing.F, add func(*peerpb.Knowledge)) {
	f.Helper()
	add(&peerpb.Knowledge{})
	add(&peerpb.Knowledge{From: "entry-1", Vms: &peerpb.VMList{Revision: 3, Json: []byte(`[{"id":"entry-1"}]`)}})
	add(&peerpb.Knowledge{From: "entry-1", Vms: &peerpb.VMList{Revision: 1 << 63, Json: []byte(`[`)}})
	add(&peerpb.Knowledge{ZoneOrders: []*peerpb.ZoneOrder{{Zone: "a", Out: true, Stamp: 9}, {Zone: "a", Stamp: 9}, {Zone: "", Stamp: 1 << 63}}})
	add(&peerpb.Knowledge{From: "e", Endpoints: []*peerpb.EndpointState{{Vm: "e", Incarnation: 2, Sequence: 1}, {Vm: "e", Incarnation: 1, Sequence: 9}, {}}})
	add(flood())
}

// FuzzMerge merges arbitrary messages: the state stays bounded, and a message
// that is merged again brings nothing.
func FuzzMerge(f *testing.F) {
	addSeeds(f, func(told *peerpb.Knowledge) { f.Add(encoded(f, told), "peer", uint64(7)) })
	f.Fuzz(func(t *testing.T, data []byte, receiver string, revision uint64) {
		told := decoded(data)
		if told == nil {
			return
		}
		now := time.Unix(1_000_000, 0)
		state := membership.New("self")
		state.Merge(now, told)
		if again := state.Merge(now, told); again != (membership.Changes{}) {
			t.Fatalf("merged again, the message brought %+v", again)
		}
		checkBounds(t, state, now)
		built := state.Build(membership.Receiver{
			ID: core.VMID(receiver), ConfigRevision: revision, VMsRevision: revision, WantsEndpoints: true, Pool: core.PoolID(receiver),
		})
		if _, err := proto.Marshal(built.Message); err != nil {
			t.Fatalf("the state can't be told to peers: %v", err)
		}
		state.Delivered(built)
		state.Expire(now.Add(2 * membership.ExpireAfter))
		if left := len(state.Alive(now)); left > 0 {
			t.Fatalf("%d silent endpoints are kept", left)
		}
	})
}

func checkBounds(t *testing.T, state *membership.State, now time.Time) {
	t.Helper()
	if kept := len(state.ZoneOrders()); kept > membership.MaxZoneOrders {
		t.Fatalf("%d zone orders are kept", kept)
	}
	if kept := len(state.Alive(now)); kept > membership.MaxEndpoints {
		t.Fatalf("%d endpoints are kept", kept)
	}
}

// FuzzMergeOrder merges two arbitrary messages in both orders: the zone orders
// that are held are the same.
func FuzzMergeOrder(f *testing.F) {
	out := encoded(f, &peerpb.Knowledge{ZoneOrders: []*peerpb.ZoneOrder{{Zone: "a", Out: true, Stamp: 9, Author: "day"}}})
	f.Add(out, encoded(f, &peerpb.Knowledge{ZoneOrders: []*peerpb.ZoneOrder{{Zone: "a", Stamp: 8, Author: "night"}}}))
	f.Add(out, encoded(f, &peerpb.Knowledge{ZoneOrders: []*peerpb.ZoneOrder{{Zone: "a", Stamp: 9, Author: "night"}}}))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		a, b := decoded(first), decoded(second)
		if a == nil || b == nil || len(a.GetZoneOrders())+len(b.GetZoneOrders()) > membership.MaxZoneOrders {
			return
		}
		forth, back := heldOrders(a, b), heldOrders(b, a)
		if len(forth) != len(back) {
			t.Fatalf("%d orders against %d", len(forth), len(back))
		}
		for zone, order := range forth {
			if !proto.Equal(order, back[zone]) {
				t.Fatalf("zone %q: %v against %v", zone, order, back[zone])
			}
		}
	})
}

// heldOrders returns the zone orders after messages in this order.
func heldOrders(messages ...*peerpb.Knowledge) map[string]*peerpb.ZoneOrder {
	state := membership.New("self")
	for _, told := range messages {
		state.Merge(time.Unix(1_000_000, 0), told)
	}
	held := map[string]*peerpb.ZoneOrder{}
	for _, order := range state.ZoneOrders() {
		held[order.GetZone()] = order
	}
	return held
}
