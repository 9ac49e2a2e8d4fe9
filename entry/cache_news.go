package entry

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/routing"
)

// CacheNews is the setting -cache-news: whether the entry follows the engines' prefix
// caches.
type CacheNews bool

// cacheCursor is the position up to which the cache events of one endpoint have been
// applied.
type cacheCursor struct {
	epoch    uint64
	sequence uint64
	// pickerSequence numbers the events passed to the picker. A gap in the engine's
	// events skips a number.
	pickerSequence uint64
}

// advance moves the cursor and returns the event for the picker. It returns false for
// an update that is out of date or a duplicate.
func (c *cacheCursor) advance(id core.VMID, update *peerpb.CacheNews) (routing.CacheEvent, bool) {
	cleared := update.GetEpoch() > c.epoch
	if update.GetEpoch() < c.epoch || !cleared && update.GetSequence() <= c.sequence {
		return routing.CacheEvent{}, false
	}
	c.epoch, c.sequence = update.GetEpoch(), update.GetSequence()
	c.pickerSequence++
	if update.GetGap() {
		c.pickerSequence++
	}
	event := routing.CacheEvent{ID: id, Sequence: c.pickerSequence, Stored: update.GetStored(), Evicted: update.GetEvicted(), Cleared: cleared}
	return event, true
}

// cacheCursor returns the cursor to send with the next call to the endpoint. It returns
// nil if prefix caches are not followed or the call is not for a model.
func (t *EndpointTable) cacheCursor(call *Call, id core.VMID) *peerpb.CacheCursor {
	if !bool(t.cacheNews) || call.Pool == "" {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.usageOf(id)
	return &peerpb.CacheCursor{Epoch: u.cache.epoch, Sequence: u.cache.sequence}
}

// applyCacheUpdate passes an update of an engine's prefix cache to the picker. t.mu must
// be held.
func (t *EndpointTable) applyCacheUpdate(id core.VMID, now time.Time, update *peerpb.CacheNews) {
	observer, ok := t.picker.(routing.CacheObserver)
	if !ok || update == nil || !bool(t.cacheNews) {
		return
	}
	event, fresh := t.usageOf(id).cache.advance(id, update)
	if !fresh {
		cacheEvents.Add("late", 1)
		return
	}
	cacheEvents.Add("stored", int64(len(event.Stored)))
	cacheEvents.Add("evicted", int64(len(event.Evicted)))
	if event.Cleared {
		cacheEvents.Add("emptied", 1)
	}
	if update.GetGap() {
		cacheEvents.Add("gaps", 1)
	}
	observer.ObserveCacheEvent(now, event)
}
