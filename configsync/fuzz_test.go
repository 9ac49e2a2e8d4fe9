package configsync_test

import (
	"testing"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
)

// FuzzDecode checks that any document that decodes can be indexed and offered to a
// holder, and that it keeps its ID when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	doc := publishOn(f, nil, configsync.Draft{Set: twoZones(), Author: "operator"}, 7)
	data, err := doc.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"revision":1,"set":{"zones":null}}`))
	f.Add([]byte(`{"revision":18446744073709551615,"zoneStamps":{"a":1},"lineage":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := configsync.Decode(data)
		if err != nil {
			return
		}
		catalogue.NewIndex(&doc.Set)
		configsync.ZonesOut(doc, []configsync.ZoneOrder{{Zone: "a", Out: true, Stamp: 1}})
		holder := configsync.NewHolder()
		holder.Offer(doc)
		encoded, err := doc.Encode()
		if err != nil {
			return // a document near the size limit may exceed it when re-encoded
		}
		again, err := configsync.Decode(encoded)
		if err != nil || again.ID != doc.ID {
			t.Fatalf("document changed in an encode-decode round trip: %v", err)
		}
	})
}
