// Package membudget divides the memory that one process may use for its transfers: bodies
// that are being received, bodies that are kept while their request runs, and responses that
// are read and delivered. It performs no I/O and reads no clock.
package membudget

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
)

// Kind is what a holder transfers.
type Kind uint8

const (
	// Request is the body of a request. It can be rejected without a loss, since the request
	// has not run.
	Request Kind = iota
	// Response is the body of a response. Its request has run, so it takes precedence.
	Response
)

const (
	// SmallBytes and MediumBytes are the sizes up to which a transfer is small and medium.
	SmallBytes  = 64 << 10
	MediumBytes = 512 << 10
	// StallTimeout is how long a transfer may make no progress. It is not shorter than the
	// idle time of connections that deployments declare (15 s).
	StallTimeout = 15 * time.Second
	// PressureTimeout is the same while another transfer lacks memory. Clients are known to
	// give up a response after 2 s without data.
	PressureTimeout = 2 * time.Second
	// ProgressParts is the number of parts of a transfer of which each counts as progress. A
	// single byte now and then would keep a large buffer for hours.
	ProgressParts = 64
)

// Shares of the capacity, in sixteenths, that transfers may use together with all others. Larger
// requests leave room for smaller ones and for responses, and responses for small requests.
// Small requests may use all of it. Small responses are always granted: there are at most as
// many as requests that run, and those have been granted. New requests leave room for the growth
// of those that were granted a part of their announced size: to reject one that has been half
// received wastes the memory and time that it took.
const (
	sixteenths         = 16
	responseSixteenths = 14
	growthSixteenths   = 14
	mediumSixteenths   = 13
	largeSixteenths    = 12
)

// Budget is the memory for transfers of one process. It is safe for concurrent use.
type Budget struct {
	capacity int64

	mu      sync.Mutex
	used    int64
	holders map[*Holder]struct{}
}

// New returns a budget of capacity bytes.
func New(capacity int64) *Budget {
	return &Budget{capacity: capacity, holders: map[*Holder]struct{}{}}
}

// Used returns the bytes that are granted, and Capacity the bytes that may be.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Capacity returns the bytes of the budget.
func (b *Budget) Capacity() int64 { return b.capacity }

// Holder is one transfer with its share of the budget.
type Holder struct {
	budget *Budget
	kind   Kind
	giveUp func()

	// The fields below are guarded by the budget.
	size int64
	// announced is set if the holder opened with more than a small size: it knows what it needs.
	announced bool
	// moving is set while the progress depends on the client. Only then can the holder be evicted.
	moving bool
	// movedAt is the time of the latest progress, and fresh the bytes transferred since.
	movedAt boottime.Instant
	fresh   int64
	evicted bool
	closed  bool
}

// Open grants size bytes to a new transfer, or returns nil if they are not available.
// giveUp is called if the transfer loses its share; it must make the transfer fail soon. It is
// called with the budget locked, so it must neither block nor call the budget. It is not called
// after Close, nor unless the transfer is moving.
func (b *Budget) Open(kind Kind, size int64, now boottime.Instant, giveUp func()) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Holder{budget: b, kind: kind, giveUp: giveUp, movedAt: now}
	if !b.grant(h, size, now) {
		return nil
	}
	b.holders[h] = struct{}{}
	h.announced = size > SmallBytes
	return h
}

// grant changes the share of h to size bytes if they are available, possibly after evicting
// stalled transfers. The bytes of an evicted transfer are granted before its buffer is
// collected, so the use can exceed the capacity for the time of a garbage collection.
func (b *Budget) grant(h *Holder, size int64, now boottime.Instant) bool {
	others := b.used - h.size
	excess := others + size - b.limit(h, size)
	if size > h.size && others > 0 && excess > 0 && !b.evict(h, excess, now) {
		return false
	}
	b.used += size - h.size
	h.size = size
	return true
}

// limit returns the bytes that may be in use after a grant.
func (b *Budget) limit(h *Holder, size int64) int64 {
	switch {
	case h.kind == Response && size <= SmallBytes:
		return math.MaxInt64
	case h.kind == Response:
		return b.capacity / sixteenths * responseSixteenths
	case size <= SmallBytes:
		return b.capacity
	case h.announced:
		return b.capacity / sixteenths * growthSixteenths
	case size <= MediumBytes:
		return b.capacity / sixteenths * mediumSixteenths
	default:
		return b.capacity / sixteenths * largeSixteenths
	}
}

// evict evicts stalled transfers other than h, the largest first, until they have given back
// excess bytes. It evicts none and returns false if all of them have less.
func (b *Budget) evict(h *Holder, excess int64, now boottime.Instant) bool {
	var stalled []*Holder
	var total int64
	for other := range b.holders {
		if other != h && other.moving && now.Sub(other.movedAt) >= PressureTimeout {
			stalled = append(stalled, other)
			total += other.size
		}
	}
	if total < excess {
		return false
	}
	slices.SortFunc(stalled, func(x, y *Holder) int { return cmp.Compare(y.size, x.size) })
	for _, other := range stalled {
		if excess <= 0 {
			break
		}
		excess -= other.size
		other.evicted = true
		b.remove(other)
		other.giveUp()
	}
	return true
}

func (b *Budget) remove(h *Holder) {
	if h.closed {
		return
	}
	h.closed, h.moving = true, false
	b.used -= h.size
	h.size = 0
	delete(b.holders, h)
}

// Resize changes the share of the transfer to size bytes. It reports whether they are
// available; otherwise the share stays as it is.
func (h *Holder) Resize(size int64, now boottime.Instant) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return !h.closed && h.budget.grant(h, size, now)
}

// Begin declares that from now on the progress depends on the client.
func (h *Holder) Begin(now boottime.Instant) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.moving, h.movedAt, h.fresh = !h.closed, now, 0
}

// Progress reports that n more bytes have been transferred.
func (h *Holder) Progress(n int, now boottime.Instant) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.fresh += int64(n)
	if h.fresh >= max(1, h.size/ProgressParts) {
		h.movedAt, h.fresh = now, 0
	}
}

// Deadline returns when the transfer has stalled unless it makes progress before.
func (h *Holder) Deadline() boottime.Instant {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.movedAt.Add(StallTimeout)
}

// Settle declares that the transfer is complete and that its bytes are still needed. It
// reports whether the transfer has them.
func (h *Holder) Settle() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.moving = false
	return !h.closed
}

// Evicted reports whether the transfer has lost its share to another one.
func (h *Holder) Evicted() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// Close gives the share back. It may be called more than once.
func (h *Holder) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.remove(h)
}
