// Package ring provides a bounded queue between goroutines. Offer does not block: it
// reports a full ring to the sender at once.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded FIFO queue. It is safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns an empty ring with room for capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds item and returns true. If the ring is full, it counts a dropped item
// and returns false.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put adds item. While the ring is full it blocks until there is room or ctx is
// done, in which case it returns ctx.Err().
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel from which items are received.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns the number of items that Offer dropped.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
