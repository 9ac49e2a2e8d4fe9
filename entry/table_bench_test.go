package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/routing"
)

// testZones is the number of zones used by endpointState.
const testZones = 14

// endpointState returns a report, with the given sequence number, of a ready endpoint
// of pool main.
func endpointState(index int, sequence uint64) *peerpb.EndpointState {
	zone := fmt.Sprintf("zone-%d", index%testZones)
	return &peerpb.EndpointState{
		Vm: fmt.Sprintf("vm-%d", index), Zone: zone, Region: zone, Pool: "main", PeerAddr: "127.0.0.1:1",
		Incarnation: 1, Sequence: sequence, LoadedVersion: "v1", Ready: true,
		Load: &peerpb.EndpointLoad{Limit: 10, InFlight: uint32(index % 7)},
	}
}

// zoneOut returns an order that takes a zone out of service.
func zoneOut(zone core.ZoneID) configsync.ZoneOrder {
	return configsync.ZoneOrder{Zone: zone, Out: true, Stamp: hlc.New(time.Now).Now(), Author: "operator"}
}

// newNodeWithEndpoints returns an entry's node with reports of count ready endpoints.
func newNodeWithEndpoints(t testing.TB, count int) *node.Node {
	t.Helper()
	n := node.New(node.Identity{VM: "entry-1", Role: core.RoleEntry, Zone: "zone-1", Incarnation: 1}, logging.Discard())
	gossip := &peerpb.Knowledge{From: "entry-2", FromEntry: true}
	for i := range count {
		gossip.Endpoints = append(gossip.Endpoints, endpointState(i, 1))
	}
	if _, err := n.Exchange(t.Context(), gossip); err != nil {
		t.Fatal(err)
	}
	return n
}

// newTable returns a table with the default picker.
func newTable(t testing.TB, n *node.Node) *EndpointTable {
	t.Helper()
	construct, err := routing.Pickers.New(routing.DefaultPicker)
	if err != nil {
		t.Fatal(err)
	}
	return NewEndpointTable(n, construct, routing.HedgeConfig{}, true)
}

// BenchmarkRequest measures admission and endpoint choice for one request.
func BenchmarkRequest(b *testing.B) {
	for _, count := range []int{10, 164, 268, 2300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := newTable(b, newNodeWithEndpoints(b, count))
			call := &Call{Pool: "main", Idempotent: true, Priority: core.PriorityBriefing, PrefixHashes: []uint64{1, 2, 3}}
			b.ReportAllocs()
			for b.Loop() {
				if refusal := table.admit(call); refusal != nil {
					b.Fatal(refusal)
				}
				if _, refusal := table.choose(call, &progress{}); refusal != nil {
					b.Fatal(refusal)
				}
				table.admission.Done(call.Team)
			}
		})
	}
}

// BenchmarkReports measures the processing of one load report and the choice after it.
func BenchmarkReports(b *testing.B) {
	for _, count := range []int{10, 2300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			n := newNodeWithEndpoints(b, count)
			table := newTable(b, n)
			call := &Call{Pool: "main", Idempotent: true}
			sequence := uint64(1)
			for b.Loop() {
				sequence++
				gossip := &peerpb.Knowledge{From: "vm-1", Endpoints: []*peerpb.EndpointState{endpointState(1, sequence)}}
				if _, err := n.Exchange(b.Context(), gossip); err != nil {
					b.Fatal(err)
				}
				if _, refusal := table.choose(call, &progress{}); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}
