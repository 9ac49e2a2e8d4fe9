package configsync_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
)

// setOfSize returns a valid set of about the given number of objects: up to 14
// zones, and models that each have two versions, a pool and a route.
func setOfSize(objects int) *catalogue.Set {
	set := &catalogue.Set{}
	var zones []core.ZoneID
	for i := range min(14, objects/5) {
		name := core.ZoneID(fmt.Sprintf("zone-%02d", i))
		zones = append(zones, name)
		set.Zones = append(set.Zones, catalogue.Zone{Name: name, Region: "region", State: catalogue.ZoneIn})
	}
	for i := range (objects - len(zones)) / 5 {
		model := core.ModelID(fmt.Sprintf("model-%03d", i))
		set.Models = append(set.Models, catalogue.Model{Name: model})
		for _, v := range []string{"a", "b"} {
			name := string(model) + v
			digest := core.DigestOf([]byte(name)).String()
			set.Versions = append(set.Versions, catalogue.Version{Name: core.VersionID(name), Model: model, Digest: digest, SizeBytes: 1 << 30})
		}
		set.Pools = append(set.Pools, catalogue.Pool{Name: core.PoolID(model), Model: model, Version: core.VersionID(model + "a"), Zones: zones})
		set.Routes = append(set.Routes, catalogue.Route{Name: model, Model: model, Pool: core.PoolID(model), Priority: "briefing"})
	}
	return set
}

// sizes are the numbers of objects in the sets.
var sizes = []int{10, 100, 1000}

// longestDocument returns a document with a lineage of maximum length.
func longestDocument(b *testing.B, set *catalogue.Set) *configsync.Document {
	var doc *configsync.Document
	for i := range 33 {
		next := *set
		next.Teams = []catalogue.Team{{Name: "t", Weight: i + 1}}
		doc = publishOn(b, doc, configsync.Draft{Set: &next, Author: "operator"}, hlc.Stamp(i+1))
	}
	return doc
}

// BenchmarkPublish measures the cost of one change in the publishing process: validate,
// build the document, encode.
func BenchmarkPublish(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("objects=%d", size), func(b *testing.B) {
			base := longestDocument(b, setOfSize(size))
			set := base.Set
			set.Teams = []catalogue.Team{{Name: "t", Weight: 99}}
			for b.Loop() {
				if problems := catalogue.Validate(&set); len(problems) > 0 {
					b.Fatal(problems)
				}
				doc := publishOn(b, base, configsync.Draft{Set: &set, Author: "operator"}, 99)
				data, err := doc.Encode()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes/change")
			}
		})
	}
}

// BenchmarkCompress measures the compression time and the compressed size of
// one document.
func BenchmarkCompress(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("objects=%d", size), func(b *testing.B) {
			data, err := longestDocument(b, setOfSize(size)).Encode()
			if err != nil {
				b.Fatal(err)
			}
			var compressed bytes.Buffer
			for b.Loop() {
				compressed.Reset()
				w := gzip.NewWriter(&compressed)
				_, _ = w.Write(data)
				_ = w.Close()
			}
			b.ReportMetric(float64(compressed.Len()), "bytes/change")
		})
	}
}

// BenchmarkTake measures the cost of one change in every other process: decode the
// document, build the index.
func BenchmarkTake(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("objects=%d", size), func(b *testing.B) {
			data, err := longestDocument(b, setOfSize(size)).Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				doc, err := configsync.Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				catalogue.NewIndex(&doc.Set)
			}
			b.ReportMetric(float64(len(data)), "bytes/change")
		})
	}
}
