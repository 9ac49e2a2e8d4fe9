package serving

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxCacheEntries bounds the number of entries in an engine's prefix cache.
const maxCacheEntries = 1 << 16

// clearCache empties the prefix cache.
func (e *engine) clearCache() {
	cache, err := simplelru.NewLRU[uint64, int](maxCacheEntries, nil)
	if err != nil {
		panic("serving: " + err.Error())
	}
	e.cache, e.cached = cache, 0
}

// cachedTokens returns the number of prompt tokens of a call in cached leading prefixes.
func (e *engine) cachedTokens(a *attempt) int {
	cached := 0
	for _, part := range a.request.prefixes {
		if _, hit := e.cache.Get(part.hash); !hit {
			break
		}
		cached += part.tokens
	}
	return cached
}

// cachePrefixes caches the prompt prefixes of a call, evicts the least recently used ones
// above cacheTokens and notifies the listener of both.
func (e *engine) cachePrefixes(a *attempt) {
	var stored, evicted []uint64
	for _, part := range a.request.prefixes {
		if e.cache.Contains(part.hash) {
			continue
		}
		e.cache.Add(part.hash, part.tokens)
		e.cached += part.tokens
		stored = append(stored, part.hash)
	}
	for e.cached > e.shape.cacheTokens {
		hash, tokens, ok := e.cache.RemoveOldest()
		if !ok {
			break
		}
		e.cached -= tokens
		evicted = append(evicted, hash)
	}
	if len(stored)+len(evicted) > 0 {
		e.listener.cacheChanged(stored, evicted)
	}
}
