package routing

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// maxPrefixes is the maximum number of prefix hashes in the table.
	maxPrefixes = 8192
	// maxHolders is the maximum number of endpoints per prefix.
	maxHolders = 4
	// maxEventStates is the maximum number of endpoints with tracked cache events.
	maxEventStates = 4096
	// prefixHalfLife is the half-life of the trust in an entry of the table.
	prefixHalfLife = 30 * time.Second
	// gapTrustFactor is the trust left in entries from before a gap in the cache
	// events.
	gapTrustFactor = 0.5
)

// CacheEvent is an engine's report about its prefix cache. Events can be delayed or
// lost.
type CacheEvent struct {
	ID core.VMID
	// Sequence numbers the events of one endpoint. A gap means that events were lost.
	Sequence uint64
	Stored   []uint64
	Evicted  []uint64
	// Cleared is set when the cache is empty, for example after a restart.
	Cleared bool
}

// holder is an endpoint that had a prefix in its cache at the given time.
type holder struct {
	id core.VMID
	at time.Time
}

// eventState is the last sequence number of an endpoint's cache events and the times of
// the last gap and reset. Entries from before a gap have less trust, entries from
// before a reset none.
type eventState struct {
	sequence uint64
	gapAt    time.Time
	resetAt  time.Time
}

// prefixTable records which endpoints have which prompt prefixes in their cache.
type prefixTable struct {
	holders     *lru.Cache[uint64, []holder]
	eventStates *lru.Cache[core.VMID, eventState]
}

func newPrefixTable() *prefixTable {
	return &prefixTable{holders: newCache[uint64, []holder](maxPrefixes), eventStates: newCache[core.VMID, eventState](maxEventStates)}
}

// newCache returns a bounded map. It panics if size is less than 1.
func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	cache, err := lru.New[K, V](size)
	if err != nil {
		panic("routing: " + err.Error())
	}
	return cache
}

// learn records that an endpoint has the prefixes in its cache.
func (p *prefixTable) learn(now time.Time, id core.VMID, hashes []uint64) {
	for _, hash := range hashes {
		known, _ := p.holders.Get(hash)
		p.holders.Add(hash, withHolder(known, holder{id: id, at: now}))
	}
}

// withHolder returns the holders with the newest first. It drops the oldest if there
// are too many.
func withHolder(known []holder, newest holder) []holder {
	next := make([]holder, 1, min(len(known)+1, maxHolders))
	next[0] = newest
	for _, h := range known {
		if h.id != newest.id && len(next) < maxHolders {
			next = append(next, h)
		}
	}
	return next
}

// drop records that an endpoint no longer has the prefixes in its cache.
func (p *prefixTable) drop(id core.VMID, hashes []uint64) {
	for _, hash := range hashes {
		known, ok := p.holders.Peek(hash)
		if !ok {
			continue
		}
		next := make([]holder, 0, len(known))
		for _, h := range known {
			if h.id != id {
				next = append(next, h)
			}
		}
		p.holders.Add(hash, next)
	}
}

// apply applies one cache event. It ignores an event that is not newer than the last
// one, unless it clears the cache.
func (p *prefixTable) apply(now time.Time, event CacheEvent) {
	state, known := p.eventStates.Get(event.ID)
	if known && event.Sequence <= state.sequence && !event.Cleared {
		return
	}
	if known && event.Sequence > state.sequence+1 {
		state.gapAt = now
	}
	if event.Cleared {
		state.resetAt = now
	}
	state.sequence = event.Sequence
	p.eventStates.Add(event.ID, state)
	p.drop(event.ID, event.Evicted)
	p.learn(now, event.ID, event.Stored)
}

// trust returns the estimated probability that the holder still has the prefix in its
// cache.
func (p *prefixTable) trust(now time.Time, h holder) float64 {
	trust := math.Exp2(-now.Sub(h.at).Seconds() / prefixHalfLife.Seconds())
	state, known := p.eventStates.Peek(h.id)
	switch {
	case !known:
		return trust
	case h.at.Before(state.resetAt):
		return 0
	case h.at.Before(state.gapAt):
		return trust * gapTrustFactor
	default:
		return trust
	}
}

// match returns, for each endpoint, the expected fraction of the prompt that it has
// cached.
func (p *prefixTable) match(now time.Time, hashes []uint64) map[core.VMID]float64 {
	if len(hashes) == 0 {
		return nil
	}
	shares := map[core.VMID]float64{}
	for i, hash := range hashes {
		known, ok := p.holders.Get(hash)
		if !ok {
			continue
		}
		depth := float64(i+1) / float64(len(hashes))
		for _, h := range known {
			shares[h.id] = max(shares[h.id], depth*p.trust(now, h))
		}
	}
	return shares
}
