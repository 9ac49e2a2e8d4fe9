package endpoint

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// pageWithEvent returns a page with one event.
func pageWithEvent(boot, sequence, prefix uint64) *engine.CacheEvents {
	return &engine.CacheEvents{Boot: boot, Events: []engine.CacheEvent{{Sequence: sequence, Prefix: prefix}}}
}

func TestEntriesHearOfTheCacheWhatTheyLack(t *testing.T) {
	g := NewWithT(t)
	var log cacheLog
	now := time.Unix(1_000_000, 0)
	g.Expect(log.updateSince(&peerpb.CacheCursor{}, nil)).To(BeNil())
	log.add(now, "v1", &engine.CacheEvents{Boot: 1})
	log.add(now, "v1", pageWithEvent(1, 1, 7))
	log.add(now, "v1", pageWithEvent(1, 2, 8))
	update := log.updateSince(&peerpb.CacheCursor{}, []uint64{7})
	g.Expect(update.GetStored()).To(Equal([]uint64{8}))
	g.Expect(update.GetGap()).To(BeFalse())
	cursor := &peerpb.CacheCursor{Epoch: update.GetEpoch(), Sequence: update.GetSequence()}
	g.Expect(log.updateSince(cursor, nil)).To(BeNil())

	log.add(now, "v1", pageWithEvent(1, 5, 9))
	update = log.updateSince(cursor, nil)
	g.Expect(update.GetStored()).To(Equal([]uint64{9}))
	g.Expect(update.GetGap()).To(BeTrue())

	log.add(now.Add(time.Second), "v1", pageWithEvent(2, 1, 7))
	update = log.updateSince(cursor, nil)
	g.Expect(update.GetEpoch()).To(BeNumerically(">", cursor.GetEpoch()))
	g.Expect(update.GetStored()).To(BeEmpty())
	log.add(now.Add(2*time.Second), "v2", pageWithEvent(2, 1, 7))
	g.Expect(log.updateSince(cursor, nil).GetEpoch()).To(BeNumerically(">", update.GetEpoch()))
}

// TestNewsIsBoundedAndSaysWhenEventsAreMissing loses events at random while an entry
// requests updates at random times. As long as no gap is reported, the entry's view
// must match the cache.
func TestNewsIsBoundedAndSaysWhenEventsAreMissing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log cacheLog
		now := time.Unix(1_000_000, 0)
		log.add(now, "v1", &engine.CacheEvents{Boot: 1})
		cached, reported := map[uint64]bool{}, map[uint64]bool{}
		cursor := &peerpb.CacheCursor{}
		complete := true
		for sequence := uint64(1); sequence < 1200; sequence++ {
			event := engine.CacheEvent{Sequence: sequence, Prefix: rapid.Uint64Range(1, 200).Draw(t, "prefix"), Evicted: rapid.Bool().Draw(t, "evicted")}
			cached[event.Prefix] = !event.Evicted
			if rapid.IntRange(0, 400).Draw(t, "lost") > 0 {
				log.add(now, "v1", &engine.CacheEvents{Boot: 1, Events: []engine.CacheEvent{event}})
			}
			if rapid.IntRange(0, 40).Draw(t, "asks") > 0 {
				continue
			}
			update := log.updateSince(cursor, nil)
			if len(update.GetStored())+len(update.GetEvicted()) > maxUpdatePrefixes {
				t.Fatalf("the update has %d prefixes, more than the maximum", len(update.GetStored())+len(update.GetEvicted()))
			}
			if update == nil {
				continue
			}
			cursor = &peerpb.CacheCursor{Epoch: update.GetEpoch(), Sequence: update.GetSequence()}
			complete = complete && !update.GetGap()
			for _, prefix := range update.GetStored() {
				reported[prefix] = true
			}
			for _, prefix := range update.GetEvicted() {
				reported[prefix] = false
			}
			for prefix := range cached {
				if complete && cursor.GetSequence() == sequence && cached[prefix] != reported[prefix] {
					t.Fatalf("prefix %d: cached %v, reported %v, without a reported gap", prefix, cached[prefix], reported[prefix])
				}
			}
		}
	})
}
