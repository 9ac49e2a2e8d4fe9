package claims

import (
	"context"
	"fmt"
	"testing"
	"unsafe"

	"github.com/zinniaseam/zinniaseam/core"
)

// BenchmarkRun measures the CPU time of one claim against a store in memory.
func BenchmarkRun(b *testing.B) {
	store := newMemoryStore()
	ledger := ledgerOn(store, "a", unpaced)
	execute := func(context.Context) (*Answer, *core.Refusal) { return &Answer{Status: 200}, nil }
	for i := 0; b.Loop(); i++ {
		if _, refusal := ledger.Run(context.Background(), call(fmt.Sprintf("order-%d", i)), execute); refusal != nil {
			b.Fatal(refusal)
		}
	}
	b.ReportMetric(float64(store.writes.Load())/float64(b.N), "writes/op")
	b.ReportMetric(float64(store.bytes.Load())/float64(b.N), "storebytes/op")
}

// BenchmarkSealedLookup measures a lookup with the maximum number of sealed keys in
// one partition.
func BenchmarkSealedLookup(b *testing.B) {
	config := Config{}.withDefaults()
	var sealed sealedClaims
	for start := 0; start < config.MaxTimed+config.MaxUntimed; start += config.SegmentClaims {
		list := make([]claim, config.SegmentClaims)
		for i := range list {
			list[i].key = hashKey(fmt.Sprint(start + i))
		}
		sealed.add(list)
	}
	absent := hashKey("absent")
	for b.Loop() {
		if _, ok := sealed.get(absent); ok {
			b.Fatal("absent key found")
		}
	}
	b.ReportMetric(float64(unsafe.Sizeof(sealedClaim{})), "B/key")
}
