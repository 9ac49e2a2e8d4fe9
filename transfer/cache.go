package transfer

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/zinniaseam/zinniaseam/core"
)

// maxCacheEntries limits the number of cached chunks; the byte budget is the
// usual limit.
const maxCacheEntries = 1 << 16

// chunkCache is an LRU cache of chunks by digest with a byte budget.
type chunkCache struct {
	mu     sync.Mutex
	lru    *simplelru.LRU[core.Digest, []byte]
	bytes  int64
	budget int64
}

func newChunkCache(budget int64) *chunkCache {
	c := &chunkCache{budget: budget}
	lru, err := simplelru.NewLRU(maxCacheEntries, func(_ core.Digest, data []byte) { c.bytes -= int64(len(data)) })
	if err != nil {
		panic(err) // only a size below 1 is invalid
	}
	c.lru = lru
	return c
}

func (c *chunkCache) add(digest core.Digest, data []byte) {
	if int64(len(data)) > c.budget {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lru.Contains(digest) {
		return
	}
	c.bytes += int64(len(data))
	c.lru.Add(digest, data)
	for c.bytes > c.budget {
		c.lru.RemoveOldest()
	}
}

func (c *chunkCache) get(digest core.Digest) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lru.Get(digest)
}
