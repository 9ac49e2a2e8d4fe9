package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/routing"
)

// fleet returns count endpoints with a limit of ten calls each, distributed over zones.
func fleet(count, zones int, now time.Time) []routing.Candidate {
	candidates := make([]routing.Candidate, count)
	for i := range candidates {
		zone := core.ZoneID(fmt.Sprintf("zone-%d", i%zones))
		candidates[i] = routing.Candidate{
			ID: core.VMID(fmt.Sprintf("vm-%d", i)), Zone: zone, Region: core.RegionID(zone),
			ReportedLimit: 10, ReportedAt: now,
		}
	}
	return candidates
}

var _ = Describe("Weighted", func() {
	now := time.Unix(1_000_000, 0)
	newPicker := func(seed uint64) *routing.Weighted {
		return routing.NewWeighted(routing.WeightedConfig{}, rand.New(rand.NewPCG(seed, 1)))
	}
	// picks returns how often each candidate is chosen in 1000 picks.
	picks := func(w routing.Picker, query routing.Query, candidates []routing.Candidate) map[int]int {
		counts := map[int]int{}
		for range 1000 {
			counts[w.Pick(query, candidates)]++
		}
		return counts
	}

	It("stays in range for any input and returns -1 without candidates", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newPicker(rapid.Uint64().Draw(t, "seed"))
			candidates := fleet(rapid.IntRange(0, 100).Draw(t, "count"), 3, now)
			for i := range candidates {
				candidates[i].ReportedLimit = rapid.IntRange(-1, 50).Draw(t, "limit")
				candidates[i].ReportedInFlight = rapid.IntRange(0, 80).Draw(t, "load")
				candidates[i].Outstanding = rapid.IntRange(0, 20).Draw(t, "open")
				candidates[i].SentSinceReport = rapid.IntRange(-1, 20).Draw(t, "sent")
				if rapid.IntRange(0, 5).Draw(t, "failed") == 0 {
					w.Failed(now, candidates[i].ID)
				}
			}
			picked := w.Pick(routing.Query{Now: now, PrefixHashes: []uint64{1, 2}}, candidates)
			if len(candidates) == 0 && picked != -1 || len(candidates) > 0 && (picked < 0 || picked >= len(candidates)) {
				t.Fatalf("picked index %d of %d candidates", picked, len(candidates))
			}
		})
	})

	It("prefers room, counts what was sent since, and spares cold endpoints", func() {
		candidates := fleet(4, 1, now)
		candidates[0].ReportedInFlight = 10
		candidates[1].SentSinceReport, candidates[1].Outstanding = 10, 10
		candidates[2].ReportedLimit, candidates[2].ReportedInFlight = 1, 1
		Expect(picks(newPicker(1), routing.Query{Now: now}, candidates)[3]).To(BeNumerically(">", 980))
	})

	It("prefers the own zone, but not at the price of a queue", func() {
		candidates := fleet(6, 3, now)
		query := routing.Query{Now: now, Zone: "zone-0", Region: "zone-0"}
		counts := picks(newPicker(1), query, candidates)
		Expect(counts[0] + counts[3]).To(BeNumerically(">", 700))
		candidates[0].ReportedInFlight, candidates[3].ReportedInFlight = 10, 10
		counts = picks(newPicker(1), query, candidates)
		Expect(counts[0] + counts[3]).To(BeNumerically("<", 20))
	})

	It("spreads the picks of many entries that see the same stale reports", func() {
		candidates := fleet(20, 1, now)
		for i := range candidates {
			candidates[i].ReportedInFlight = i % 5
		}
		counts := map[int]int{}
		for entry := range uint64(340) {
			counts[newPicker(entry+1).Pick(routing.Query{Now: now}, candidates)]++
		}
		for i, count := range counts {
			Expect(count).To(BeNumerically("<", 100), "endpoint %d", i)
		}
	})

	It("avoids an endpoint that failed for a time that doubles, and takes it when all failed", func() {
		w := newPicker(1)
		candidates := fleet(2, 1, now)
		candidates[1].ReportedInFlight = 9
		w.Failed(now, "vm-0")
		Expect(picks(w, routing.Query{Now: now}, candidates)[0]).To(BeZero())
		later := now.Add(150 * time.Millisecond)
		Expect(picks(w, routing.Query{Now: later}, candidates)[0]).To(BeNumerically(">", 900))
		w.Failed(later, "vm-0")
		Expect(picks(w, routing.Query{Now: later.Add(150 * time.Millisecond)}, candidates)[0]).To(BeZero())
		w.Failed(later, "vm-1")
		Expect(w.Pick(routing.Query{Now: later}, candidates)).To(BeNumerically(">=", 0))
		w.Answered(later, "vm-0", nil, time.Millisecond)
		Expect(picks(w, routing.Query{Now: later}, candidates)[0]).To(Equal(1000))
	})

	It("follows the prefix cache through late, lost and clearing events", func() {
		w := newPicker(1)
		candidates := fleet(20, 1, now)
		query := routing.Query{Now: now, PrefixHashes: []uint64{1, 2, 3}}
		share := func() int { return picks(w, query, candidates)[7] }
		Expect(share()).To(BeNumerically("<", 150))
		w.Answered(now, "vm-7", query.PrefixHashes, time.Millisecond)
		Expect(share()).To(BeNumerically(">", 950))
		w.ObserveCacheEvent(now, routing.CacheEvent{ID: "vm-7", Sequence: 1, Stored: query.PrefixHashes})
		w.ObserveCacheEvent(now, routing.CacheEvent{ID: "vm-7", Sequence: 2, Evicted: query.PrefixHashes})
		Expect(share()).To(BeNumerically("<", 150))
		By("ignoring an event older than the last one")
		w.ObserveCacheEvent(now, routing.CacheEvent{ID: "vm-7", Sequence: 1, Stored: query.PrefixHashes})
		Expect(share()).To(BeNumerically("<", 150))
		w.ObserveCacheEvent(now, routing.CacheEvent{ID: "vm-7", Sequence: 3, Stored: query.PrefixHashes})
		query.Now = now.Add(time.Second)
		w.ObserveCacheEvent(query.Now, routing.CacheEvent{ID: "vm-7", Sequence: 9, Cleared: true})
		Expect(share()).To(BeNumerically("<", 150))
		By("discounting entries by age")
		w.Answered(now, "vm-8", query.PrefixHashes, time.Millisecond)
		query.Now = now.Add(10 * time.Minute)
		Expect(picks(w, query, candidates)[8]).To(BeNumerically("<", 150))
	})
})

var _ = Describe("Subset", func() {
	It("is bounded, stable, prefers the own zone and covers every endpoint", func() {
		locations := make([]routing.Location, 2300)
		for i := range locations {
			locations[i] = routing.Location{ID: core.VMID(fmt.Sprintf("vm-%d", i)), Zone: core.ZoneID(fmt.Sprintf("zone-%d", i%14))}
		}
		seen := map[int]int{}
		for entry := range uint64(340) {
			zone := core.ZoneID(fmt.Sprintf("zone-%d", entry%14))
			picked := routing.Subset(entry, zone, locations, routing.DefaultSubset)
			Expect(picked).To(HaveLen(routing.DefaultSubset))
			Expect(routing.Subset(entry, zone, locations, routing.DefaultSubset)).To(Equal(picked))
			local := 0
			for _, i := range picked {
				seen[i]++
				if locations[i].Zone == zone {
					local++
				}
			}
			Expect(local).To(Equal(48))
		}
		Expect(len(locations) - len(seen)).To(BeNumerically("<", 3))
	})
})

func BenchmarkPick2300(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	candidates := fleet(2300, 14, now)
	w := routing.NewWeighted(routing.WeightedConfig{}, rand.New(rand.NewPCG(1, 1)))
	query := routing.Query{Now: now, Zone: "zone-1", Region: "zone-1", PrefixHashes: []uint64{1, 2, 3}}
	b.ReportAllocs()
	for b.Loop() {
		w.Pick(query, candidates)
	}
}
