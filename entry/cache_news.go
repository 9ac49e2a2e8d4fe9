package entry

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/routing"
)

// CacheNews says whether the entry follows the engines' prefix caches.
type CacheNews bool

// cacheCursor says up to where the cache events of one endpoint are known.
type cacheCursor struct {
	epoch    uint64
	sequence uint64
	// told numbers the news for the picker; a gap skips a number.
	told uint64
}

// take moves the cursor and returns the event for the picker; false when the
// news brings nothing, for it is late or repeated.
func (c *cacheCursor) take(id core.VMID, news *peerpb.CacheNews) (routing.CacheEvent, bool) {
	emptied := news.GetEpoch() > c.epoch
	if news.GetEpoch() < c.epoch || !emptied && news.GetSequence() <= c.sequence {
		return routing.CacheEvent{}, false
	}
	c.epoch, c.sequence = news.GetEpoch(), news.GetSequence()
	c.told++
	if news.GetGap() {
		c.told++
	}
	event := routing.CacheEvent{ID: id, Sequence: c.told, Stored: news.GetStored(), Evicted: news.GetEvicted(), Cleared: emptied}
	return event, true
}

// cursor returns what the next call to the endpoint asks for; nil when the entry
// follows no caches or the call is none of a model.
func (t *EndpointTable) cursor(call *Call, id core.VMID) *peerpb.CacheCursor {
	if !bool(t.cacheNews) || call.Pool == "" {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.of(id)
	return &peerpb.CacheCursor{Epoch: u.cache.epoch, Sequence: u.cache.sequence}
}

// takeCache passes news of an engine's prefix cache to the picker; t.mu is held.
func (t *EndpointTable) takeCache(id core.VMID, now time.Time, news *peerpb.CacheNews) {
	observer, ok := t.picker.(routing.CacheObserver)
	if !ok || news == nil || !bool(t.cacheNews) {
		return
	}
	event, fresh := t.of(id).cache.take(id, news)
	if !fresh {
		cacheEvents.Add("late", 1)
		return
	}
	cacheEvents.Add("stored", int64(len(event.Stored)))
	cacheEvents.Add("evicted", int64(len(event.Evicted)))
	if event.Cleared {
		cacheEvents.Add("emptied", 1)
	}
	if news.GetGap() {
		cacheEvents.Add("gaps", 1)
	}
	observer.ObserveCacheEvent(now, event)
}
