package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/standin"
)

const (
	// PrefixBlockBytes is the number of prompt bytes that one cache block covers.
	PrefixBlockBytes = engine.PrefixBlockBytes
	maxCacheEvents   = 8192
	maxEventPage     = 1000
)

// PrefixHashes returns the hashes of all prefixes of the prompt that consist of
// complete blocks, shortest first.
func PrefixHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	for end := PrefixBlockBytes; end <= len(prompt); end += PrefixBlockBytes {
		hashes = append(hashes, xxh3.HashString(prompt[:end]))
	}
	return hashes
}

type timedEvent struct {
	event engine.CacheEvent
	at    time.Time
}

// prefixCache is an LRU cache of prompt prefixes with a delayed and lossy event log.
type prefixCache struct {
	size    int
	lag     time.Duration
	gapRate float64
	random  *standin.Random

	mu       sync.Mutex
	blocks   *simplelru.LRU[uint64, struct{}]
	sequence uint64
	events   []timedEvent
}

func newPrefixCache(config Config, random *standin.Random) *prefixCache {
	c := &prefixCache{lag: max(0, config.EventLag), gapRate: config.EventGapRate, random: random}
	c.size = max(1, config.CacheBlocks)
	c.blocks = c.newBlocks()
	return c
}

// use returns the number of leading bytes of the prompt that were cached, and caches
// all of its blocks.
func (c *prefixCache) use(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	contiguous := true
	for _, prefix := range PrefixHashes(prompt) {
		_, hit := c.blocks.Get(prefix)
		contiguous = contiguous && hit
		if contiguous {
			cached += PrefixBlockBytes
		}
		if !hit {
			c.blocks.Add(prefix, struct{}{})
			c.log(prefix, false)
		}
	}
	return cached
}

// clear removes all prefixes, as a restart does. It logs no event and drops the
// events that were not read yet; the skipped sequence number reveals the gap.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocks.Len() > 0 {
		c.sequence++
	}
	c.blocks, c.events = c.newBlocks(), nil
}

func (c *prefixCache) newBlocks() *simplelru.LRU[uint64, struct{}] {
	blocks, err := simplelru.NewLRU(c.size, func(prefix uint64, _ struct{}) { c.log(prefix, true) })
	if err != nil {
		panic(err)
	}
	return blocks
}

// log appends an event, or drops it with probability gapRate; c.mu must be held.
func (c *prefixCache) log(prefix uint64, evicted bool) {
	c.sequence++
	if c.random.Bernoulli(c.gapRate) {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = c.events[1:]
	}
	event := engine.CacheEvent{Sequence: c.sequence, Prefix: prefix, Evicted: evicted}
	c.events = append(c.events, timedEvent{event: event, at: time.Now()})
}

// page returns the events after a sequence number that are at least lag old, up to
// maxEventPage.
func (c *prefixCache) page(after uint64, now time.Time) engine.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := engine.CacheEvents{Events: []engine.CacheEvent{}}
	for _, e := range c.events {
		if len(page.Events) == maxEventPage || e.at.Add(c.lag).After(now) {
			break
		}
		if e.event.Sequence > after {
			page.Events = append(page.Events, e.event)
		}
	}
	return page
}

func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	boot := s.Status().Boot
	page := s.cache.page(after, time.Now())
	page.Boot = boot
	standin.WriteJSON(w, http.StatusOK, page)
}
