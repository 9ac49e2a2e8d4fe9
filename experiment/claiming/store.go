package claiming

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaseam/zinniaseam/claims"
)

var _ claims.Store = (*latencyStore)(nil)

// latencyStore is an in-memory claims.Store with a fixed latency. It counts its
// operations and the bytes written.
type latencyStore struct {
	latency time.Duration
	reads   atomic.Int64
	writes  atomic.Int64
	bytes   atomic.Int64

	mu     sync.Mutex
	values map[string][]byte
	revs   map[string]uint64
	last   uint64 // latest revision
}

func newLatencyStore(latency time.Duration) *latencyStore {
	return &latencyStore{latency: latency, values: map[string][]byte{}, revs: map[string]uint64{}}
}

// Get implements claims.Store.
func (s *latencyStore) Get(_ context.Context, key string) ([]byte, uint64, error) {
	s.reads.Add(1)
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], s.revs[key], nil
}

// CompareAndSwap implements claims.Store.
func (s *latencyStore) CompareAndSwap(_ context.Context, key string, value []byte, previous uint64) (uint64, bool, error) {
	s.writes.Add(1)
	s.bytes.Add(int64(len(value)))
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revs[key] != previous {
		return s.revs[key], false, nil
	}
	s.last++
	s.values[key], s.revs[key] = value, s.last
	return s.last, true, nil
}
