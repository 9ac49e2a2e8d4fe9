package goruntime_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/goruntime"
)

const mebibyte = 1 << 20

func TestASmallHeapMayGatherMoreGarbage(t *testing.T) {
	g := NewWithT(t)
	const spare = 32 * mebibyte
	g.Expect(goruntime.GCPercent(0, spare, 100)).To(Equal(400))
	g.Expect(goruntime.GCPercent(4*mebibyte, spare, 100)).To(Equal(400))
	g.Expect(goruntime.GCPercent(16*mebibyte, spare, 100)).To(Equal(200))
	g.Expect(goruntime.GCPercent(60*mebibyte, spare, 400)).To(Equal(100))
	g.Expect(goruntime.GCPercent(15*mebibyte, spare, 200)).To(Equal(200), "a small change is not applied")
}

// TestGarbageIsBounded checks that the allowed garbage is never much larger than
// the spare bytes or the live heap, whichever is larger.
func TestGarbageIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := rapid.Uint64Range(0, 1<<36).Draw(t, "live")
		spare := rapid.Uint64Range(mebibyte, 1<<32).Draw(t, "spare")
		percent := goruntime.GCPercent(live, spare, rapid.IntRange(100, 400).Draw(t, "present"))
		if percent < 100 || percent > 400 {
			t.Fatalf("GC percentage %d, want 100 to 400", percent)
		}
		if garbage := live * uint64(percent) / 100; garbage > max(spare, live)+live/4 {
			t.Fatalf("%d bytes of garbage allowed with %d live and %d spare bytes", garbage, live, spare)
		}
	})
}
