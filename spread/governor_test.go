package spread

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestGovernorSlowsStopsAndComesBack(t *testing.T) {
	g := NewWithT(t)
	governor := NewGovernor(GovernorConfig{LinkRate: 1000})
	now := time.Unix(0, 0)
	observe := func(latency time.Duration) int64 {
		now = now.Add(time.Second)
		return governor.Observe(now, latency)
	}
	g.Expect(observe(10 * time.Millisecond)).To(BeEquivalentTo(800))
	g.Expect(observe(12 * time.Millisecond)).To(BeEquivalentTo(560))
	g.Expect(observe(30 * time.Millisecond)).To(BeEquivalentTo(0))
	g.Expect(observe(10 * time.Millisecond)).To(BeEquivalentTo(100))
	for range 20 {
		observe(10 * time.Millisecond)
	}
	g.Expect(governor.Rate()).To(BeEquivalentTo(800))
}

// TestGovernorStaysInItsBounds also runs the governor on a model link whose
// latency grows with its load: enough of the link must remain for live
// requests.
func TestGovernorStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const linkRate = 1_000_000
		governor := NewGovernor(GovernorConfig{LinkRate: linkRate})
		live := rapid.Float64Range(0, 0.6).Draw(t, "live share")
		now := time.Unix(0, 0)
		governor.Observe(now, 4*time.Millisecond)
		high := 0
		for range 300 {
			now = now.Add(time.Second)
			load := live + float64(governor.Rate())/linkRate
			latency := time.Duration(4 * float64(time.Millisecond) / max(1-max(load-0.7, 0), 0.05))
			if rate := governor.Observe(now, latency); rate < 0 || rate > 800_000 {
				t.Fatalf("rate %d is outside 0..800000", rate)
			}
			if load > 0.85 {
				high++
			}
		}
		if high > 60 {
			t.Fatalf("the link was overloaded in %d of 300 seconds", high)
		}
	})
}

func TestGovernorForgivesARiseWithinItsSlack(t *testing.T) {
	g := NewWithT(t)
	governor := NewGovernor(GovernorConfig{LinkRate: 1000, Slack: 10 * time.Millisecond})
	now := time.Unix(0, 0)
	observe := func(latency time.Duration) int64 {
		now = now.Add(time.Second)
		return governor.Observe(now, latency)
	}
	observe(time.Millisecond)
	g.Expect(observe(9 * time.Millisecond)).To(BeEquivalentTo(800))
	g.Expect(observe(20 * time.Millisecond)).To(BeEquivalentTo(560))
	g.Expect(observe(39 * time.Millisecond)).To(BeEquivalentTo(392))
	g.Expect(observe(60 * time.Millisecond)).To(BeEquivalentTo(0))
}

func TestGovernorDoublesFromItsStartUntilTheFirstExcess(t *testing.T) {
	g := NewWithT(t)
	governor := NewGovernor(GovernorConfig{LinkRate: 1000, StartShare: 0.125})
	now := time.Unix(0, 0)
	observe := func(latency time.Duration) int64 {
		now = now.Add(time.Second)
		return governor.Observe(now, latency)
	}
	g.Expect(governor.Rate()).To(BeEquivalentTo(100))
	g.Expect(observe(time.Millisecond)).To(BeEquivalentTo(200))
	g.Expect(observe(time.Millisecond)).To(BeEquivalentTo(400))
	g.Expect(observe(1500 * time.Microsecond)).To(BeEquivalentTo(280))
	g.Expect(observe(time.Millisecond)).To(BeEquivalentTo(330))
}
