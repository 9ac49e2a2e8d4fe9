package node_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// presentRevision is the revision of both documents that the node starts with.
const presentRevision = 5

// document returns an encoded configuration with one zone.
func document(t testing.TB, revision uint64, zone core.ZoneID) []byte {
	t.Helper()
	doc := configsync.Document{
		ID:  configsync.ID{Revision: revision, Author: "operator"},
		Set: catalogue.Set{Zones: []catalogue.Zone{{Name: zone, Region: "r", State: catalogue.ZoneIn}}},
	}
	data, err := doc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func documentsMessage(revision uint64, config, vms []byte) *peerpb.Knowledge {
	return &peerpb.Knowledge{
		From: "entry-2", FromEntry: true, Joining: true, WantsPool: true,
		Config: &peerpb.Config{Revision: revision, Json: config}, Vms: &peerpb.VMList{Revision: revision, Json: vms},
	}
}

// nodeWithDocuments returns a node that has a configuration and a VM list.
func nodeWithDocuments(t testing.TB) *node.Node {
	t.Helper()
	n := node.New(node.Identity{VM: "entry-1", Role: core.RoleEntry, Zone: "a", Incarnation: 1}, logging.Discard())
	send(t, n, documentsMessage(presentRevision, document(t, presentRevision, "present"), []byte(`[{"id":"entry-2","role":"entry"}]`)))
	if n.View().ConfigRevision != presentRevision || len(n.View().VMs) != 1 {
		t.Fatalf("unexpected view after the first documents: %+v", n.View())
	}
	return n
}

func send(t testing.TB, n *node.Node, message *peerpb.Knowledge) {
	t.Helper()
	if _, err := n.Exchange(context.Background(), message); err != nil {
		t.Fatal(err)
	}
}

func malformedConfig(data []byte) bool {
	_, err := configsync.Decode(data)
	return err != nil
}

func malformedVMs(data []byte) bool {
	var vms []core.VM
	return json.Unmarshal(data, &vms) != nil
}

// FuzzExchange sends arbitrary bytes as documents. A malformed document must change
// nothing, and valid documents received later must still be applied.
func FuzzExchange(f *testing.F) {
	f.Add([]byte(``), []byte(``), uint64(6))
	f.Add([]byte(`{"revision":9}`), []byte(`[]`), uint64(9))
	f.Add([]byte(`{"revision":9,"digest":"x","set":{}}`), []byte(`[{"id":"entry-3","role":"entry"}]`), uint64(7))
	f.Add(document(f, 8, "a"), []byte(`[{"id":1}]`), uint64(8))
	f.Add([]byte(`{"revision":6,"set":{"zones":[{}]}}`), []byte(`not json`), uint64(6))
	f.Add([]byte(`[[[[`), []byte(`{"id":"entry-3"}`), uint64(1)<<63)
	f.Fuzz(func(t *testing.T, config, vms []byte, revision uint64) {
		n := nodeWithDocuments(t)
		before := *n.View()
		send(t, n, documentsMessage(revision, config, vms))
		after := n.View()
		if malformedConfig(config) && after.ConfigRevision != before.ConfigRevision {
			t.Fatalf("a malformed configuration was applied as revision %d", after.ConfigRevision)
		}
		if malformedVMs(vms) && len(after.VMs) != len(before.VMs) {
			t.Fatalf("a malformed VM list was applied: %v", after.VMs)
		}
		if !malformedConfig(config) || !malformedVMs(vms) || revision > 1<<62 {
			return
		}
		next := max(revision, presentRevision) + 1
		send(t, n, documentsMessage(next, document(t, next, "later"), []byte(`[{"id":"entry-2"},{"id":"entry-3"}]`)))
		if got := n.View(); got.ConfigRevision != next || len(got.VMs) != 2 {
			t.Fatalf("valid documents after malformed ones were not applied: revision %d, %d VMs", got.ConfigRevision, len(got.VMs))
		}
	})
}

// FuzzConfigAfterBadVMs sends arbitrary bytes as the VM list. A configuration
// received later must be applied in any case.
func FuzzConfigAfterBadVMs(f *testing.F) {
	f.Add([]byte(`[]`), uint64(6))
	f.Add([]byte(`not json`), uint64(6))
	f.Add([]byte(`[{"id":1}]`), uint64(1)<<63)
	f.Fuzz(func(t *testing.T, vms []byte, revision uint64) {
		n := nodeWithDocuments(t)
		send(t, n, documentsMessage(revision, nil, vms))
		send(t, n, documentsMessage(presentRevision+1, document(t, presentRevision+1, "later"), nil))
		if got := n.View().ConfigRevision; got != presentRevision+1 {
			t.Fatalf("active revision is %d, want %d", got, presentRevision+1)
		}
	})
}
