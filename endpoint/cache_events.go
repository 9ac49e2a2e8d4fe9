package endpoint

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

const (
	// cachePollInterval is the interval between polls of the engine's cache events.
	cachePollInterval = 200 * time.Millisecond
	// cacheRetryDelay is the delay after a failed poll.
	cacheRetryDelay = 5 * time.Second
	// maxCacheLog is the maximum number of events kept for entries.
	maxCacheLog = 512
	// maxUpdatePrefixes is the maximum number of prefixes sent with one answer, 8
	// bytes each.
	maxUpdatePrefixes = 64
)

// cacheLog keeps the latest events of the engine's prefix cache. Entries receive them
// with the answers to their calls. It is safe for concurrent use.
type cacheLog struct {
	mu sync.Mutex
	// epoch identifies the cache contents that the events refer to. It is the last
	// known time at which the cache was empty, in Unix nanoseconds.
	epoch   uint64
	boot    uint64
	version core.VersionID
	events  []engine.CacheEvent
	// dropped is the sequence number up to which events have been discarded.
	dropped uint64
	last    uint64
}

// followCache polls the engine's cache events until ctx is done.
func (p *Process) followCache(ctx context.Context) error {
	timer := time.NewTimer(cachePollInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		timer.Reset(p.pollCache(ctx))
	}
}

// pollCache reads one page of events and returns the delay until the next poll.
func (p *Process) pollCache(ctx context.Context) time.Duration {
	target, ok := p.weights.serving()
	if !ok {
		return cachePollInterval
	}
	page, err := p.engine.CacheEvents(ctx, p.cache.lastSequence())
	if err != nil {
		return cacheRetryDelay
	}
	p.cache.add(time.Now(), target.Version, page)
	return cachePollInterval
}

// lastSequence returns the sequence number after which to continue reading.
func (c *cacheLog) lastSequence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// add appends a page of events. After a restart of the engine or a change of version
// the cache is empty: add starts a new epoch and discards the page, which was requested
// with the position of the old epoch.
func (c *cacheLog) add(now time.Time, version core.VersionID, page *engine.CacheEvents) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch == 0 || page.Boot != c.boot || version != c.version {
		restarted := page.Boot != c.boot
		c.epoch, c.boot, c.version = uint64(now.UnixNano()), page.Boot, version
		c.events = nil
		if restarted {
			c.last = 0
		}
		c.dropped = c.last
		return
	}
	for _, event := range page.Events {
		if event.Sequence > c.last {
			c.last = event.Sequence
			c.events = append(c.events, event)
		}
	}
	if over := len(c.events) - maxCacheLog; over > 0 {
		c.dropped = c.events[over-1].Sequence
		c.events = slices.Delete(c.events, 0, over)
	}
}

// cacheUpdate returns the events that the entry has not received yet, without those it
// derives from the answer itself.
func (p *Process) cacheUpdate(request *peerpb.CallRequest) *peerpb.CacheNews {
	if request.GetCache() == nil || p.weights == nil {
		return nil
	}
	return p.cache.updateSince(request.GetCache(), request.GetPrefixHashes())
}

// updateSince returns the net effect of the events after the cursor, limited to the
// latest maxUpdatePrefixes events. It returns nil if there is nothing to send.
func (c *cacheLog) updateSince(cursor *peerpb.CacheCursor, known []uint64) *peerpb.CacheNews {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.dropped
	if cursor.GetEpoch() == c.epoch {
		from = cursor.GetSequence()
	}
	if c.epoch == 0 || cursor.GetEpoch() == c.epoch && from == c.last {
		return nil
	}
	index, _ := slices.BinarySearchFunc(c.events, from+1, func(e engine.CacheEvent, sequence uint64) int {
		return int(int64(e.Sequence - sequence))
	})
	fresh := c.events[index:]
	update := &peerpb.CacheNews{Epoch: c.epoch, Sequence: c.last, Gap: uint64(len(fresh)) != c.last-from}
	if over := len(fresh) - maxUpdatePrefixes; over > 0 {
		fresh, update.Gap = fresh[over:], true
	}
	addNetEffect(update, fresh, known)
	return update
}

// addNetEffect adds the last event of each prefix to update. Prefixes in known are not
// reported as stored.
func addNetEffect(update *peerpb.CacheNews, events []engine.CacheEvent, known []uint64) {
	seen := make(map[uint64]bool, len(events))
	for _, event := range slices.Backward(events) {
		if seen[event.Prefix] {
			continue
		}
		seen[event.Prefix] = true
		switch {
		case event.Evicted:
			update.Evicted = append(update.Evicted, event.Prefix)
		case !slices.Contains(known, event.Prefix):
			update.Stored = append(update.Stored, event.Prefix)
		}
	}
}
