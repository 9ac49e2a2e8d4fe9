package entry

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/load/answer"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/routing"
	standin "github.com/zinniaseam/zinniaseam/standin/engine"
)

func TestPrefixHashesAreTheNamesOfTheEnginesBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := &engine.ChatRequest{}
		for range rapid.IntRange(0, 4).Draw(t, "messages") {
			content := strings.Repeat(rapid.String().Draw(t, "text"), rapid.IntRange(0, 90).Draw(t, "times"))
			body.Messages = append(body.Messages, engine.Message{Role: rapid.SampledFrom([]string{"system", "user"}).Draw(t, "role"), Content: content})
		}
		want := standin.PrefixHashes(answer.Prompt(body.Messages))
		want = want[:min(len(want), maxPrefixHashes)]
		got := prefixHashes(body)
		if len(got) != len(want) {
			t.Fatalf("got %d hashes, want %d", len(got), len(want))
		}
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("hash %d differs from the engine's", i)
			}
		}
	})
}

// picksCached reports whether the picker sends more than 90 of 100 prompts with the
// prefix to vm-1.
func picksCached(picker routing.Picker, now time.Time, prefix uint64) bool {
	candidates := make([]routing.Candidate, 20)
	for i := range candidates {
		candidates[i] = routing.Candidate{ID: choiceOf(endpointState(i, 1)).id, ReportedLimit: 10, ReportedAt: now}
	}
	hits := 0
	for range 100 {
		if picker.Pick(routing.Query{Now: now, PrefixHashes: []uint64{prefix}}, candidates) == 1 {
			hits++
		}
	}
	return hits > 90
}

func TestNewsOfACacheIsTakenOnceAndInOrder(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	picker := routing.NewWeighted(routing.WeightedConfig{}, rand.New(rand.NewPCG(1, 1)))
	var cursor cacheCursor
	apply := func(update *peerpb.CacheNews) bool {
		now = now.Add(time.Millisecond)
		event, fresh := cursor.advance("vm-1", update)
		if fresh {
			picker.ObserveCacheEvent(now, event)
		}
		return fresh
	}
	g.Expect(apply(&peerpb.CacheNews{Epoch: 1, Sequence: 5, Stored: []uint64{7, 8}, Gap: true})).To(BeTrue())
	g.Expect(picksCached(picker, now, 7)).To(BeTrue())
	g.Expect(apply(&peerpb.CacheNews{Epoch: 1, Sequence: 6, Evicted: []uint64{7}})).To(BeTrue())
	g.Expect(picksCached(picker, now, 7)).To(BeFalse())
	g.Expect(apply(&peerpb.CacheNews{Epoch: 1, Sequence: 5, Stored: []uint64{7}})).To(BeFalse())
	g.Expect(picksCached(picker, now, 7)).To(BeFalse())
	g.Expect(picksCached(picker, now, 8)).To(BeTrue())
	g.Expect(apply(&peerpb.CacheNews{Epoch: 2, Sequence: 1, Stored: []uint64{9}})).To(BeTrue())
	g.Expect(picksCached(picker, now, 8)).To(BeFalse())
	g.Expect(picksCached(picker, now, 9)).To(BeTrue())
	g.Expect(apply(&peerpb.CacheNews{Epoch: 1, Sequence: 9, Stored: []uint64{8}})).To(BeFalse())
	g.Expect(picksCached(picker, now, 8)).To(BeFalse())
}
