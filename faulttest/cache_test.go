package faulttest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Sizes of the prefix cache tests.
const (
	// cachePrefixes prompts of cacheBlocks blocks each fit into the caches of all
	// engines together, but not into the cache of one.
	cachePrefixes   = 24
	cacheBlocks     = 8
	cacheEngines    = 4
	cachePerEngine  = 64
	cacheBlockBytes = 256
	cacheCallers    = 3
	cacheTime       = 8 * time.Second
)

// cachedPrompt returns a prompt with a shared prefix and a unique suffix.
func cachedPrompt(random *rand.Rand, n int) string {
	head := fmt.Sprintf("Route %d. ", random.IntN(cachePrefixes))
	return head + strings.Repeat("snow plan ", cacheBlocks*cacheBlockBytes/10) + fmt.Sprint(n)
}

// cachingResult is the measurement of one run with prefix caching over two entries.
type cachingResult struct {
	share  float64
	p50    time.Duration
	p99    time.Duration
	events map[string]float64
}

func (r cachingResult) String() string {
	return fmt.Sprintf("%.3f of the prompt bytes cached, first token p50 %s p99 %s, cache events %v", r.share, r.p50, r.p99, r.events)
}

// measureCaching sends prompts with shared prefixes for cacheTime.
func measureCaching(t *testing.T, entryArgs, engineArgs []string) cachingResult {
	t.Helper()
	c := newCluster(t)
	for range 2 {
		c.addEntry("a", entryArgs...)
	}
	engineArgs = append([]string{"-warm", "-prefill-per-byte", "20us", "-cache-blocks", fmt.Sprint(cachePerEngine)}, engineArgs...)
	for range cacheEngines {
		c.addEngine("a", "main", engineArgs...)
	}
	c.deploy(c.addVersion("v1", 1<<20, 1), "a")
	c.waitServing("v1", 20*time.Second)
	for _, e := range c.entries {
		c.waitAnswering(e, "v1")
	}
	var tokens firstTokens
	report, stop := background(2*cacheCallers, func(n int) *entryVM { return c.entries[n%2] }, func(e *entryVM, n int) answer {
		a := chat(e, cachedPrompt(rand.New(rand.NewPCG(uint64(n), 5)), n), 3)
		tokens.add(a)
		return a
	})
	time.Sleep(cacheTime)
	stop()
	report.requireNoBrokenAnswers(t)
	return cachingResult{share: c.cachedShare(), p50: tokens.quantile(0.5), p99: tokens.quantile(0.99), events: c.cacheEvents()}
}

// cachedShare returns the fraction of the prompt bytes that the engines found in
// their caches.
func (c *cluster) cachedShare() float64 {
	var all, cached float64
	for _, e := range c.engines {
		var stats struct{ PromptBytes, CachedBytes float64 }
		c.getJSON(e.url+"/admin/stats", &stats)
		all += stats.PromptBytes
		cached += stats.CachedBytes
	}
	return cached / all
}

// cacheEvents returns the counts of cache events that the first entry received.
func (c *cluster) cacheEvents() map[string]float64 {
	var vars struct {
		Events map[string]float64 `json:"entry_cache_events"`
	}
	c.entryVars(c.entries[0], &vars)
	return vars.Events
}

// Guards against cache events that do not reach the entries, and against a lower share
// of cached prompt bytes with events, also when a fifth of them is lost.
func TestCacheNewsReachEntriesAndCostNoCaching(t *testing.T) {
	g := NewWithT(t)
	without := measureCaching(t, []string{"-cache-news=false"}, nil)
	with := measureCaching(t, nil, nil)
	gaps := measureCaching(t, nil, []string{"-event-gaps", "20"})
	t.Logf("without: %s", without)
	t.Logf("with: %s", with)
	t.Logf("with a fifth of the events lost: %s", gaps)
	g.Expect(without.events).To(BeEmpty())
	g.Expect(with.events["stored"]).To(BeNumerically(">", 0))
	g.Expect(gaps.events["gaps"]).To(BeNumerically(">", 0))
	g.Expect(with.share).To(BeNumerically(">", without.share-0.05))
	g.Expect(gaps.share).To(BeNumerically(">", without.share-0.05))
}
