package metastore_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/metastore"
)

// openStore is a store whose watches with a wait are answered after that wait, with the
// changes that it had when they were sent.
type openStore struct {
	mu      sync.Mutex
	history []metastore.Change
	// compacted is set if the history is gone.
	compacted atomic.Bool
	reads     atomic.Int64
}

func (s *openStore) write(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, metastore.Change{Key: key, Revision: uint64(len(s.history) + 1)})
}

func (s *openStore) since(after uint64) ([]metastore.Change, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history[after:]), uint64(len(s.history))
}

func (s *openStore) Read(context.Context, string) (metastore.Snapshot, error) {
	items, revision := s.since(0)
	s.reads.Add(1)
	return metastore.Snapshot{Items: items, Revision: revision}, nil
}

func (s *openStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]metastore.Change, uint64, error) {
	if wait == 0 && s.compacted.CompareAndSwap(true, false) {
		return nil, 0, metastore.ErrCompacted
	}
	changes, revision := s.since(after)
	select {
	case <-time.After(wait):
		return changes, revision, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// keySink records the keys that it is told, and when the content was confirmed last.
type keySink struct {
	mu        sync.Mutex
	keys      []string
	confirmed boottime.Instant
}

func (s *keySink) told() ([]string, boottime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.keys), s.confirmed
}

func (s *keySink) Replace(snapshot metastore.Snapshot, confirmed boottime.Instant, _ bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys, s.confirmed = nil, confirmed
}

func (s *keySink) Apply(changes []metastore.Change, _ uint64, confirmed boottime.Instant, _ bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		s.keys = append(s.keys, change.Key)
	}
	s.confirmed = confirmed
}
func (s *keySink) Disconnected(error) {}

// followOpen runs test with a follower whose watches wait for two seconds.
func followOpen(t *testing.T, test func(ctx context.Context, store *openStore, sink *keySink, follower *metastore.Follower)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		from := time.Now()
		store, sink := &openStore{}, &keySink{}
		follower := &metastore.Follower{Store: store, Sink: sink, Wait: 2 * time.Second, Now: func() boottime.Instant { return boottime.Instant(time.Since(from)) }}
		done := make(chan struct{})
		go func() { defer close(done); _ = follower.Run(ctx) }()
		synctest.Wait()
		test(ctx, store, sink, follower)
		cancel()
		<-done
	})
}

func TestAConfirmationTellsAChangeThatTheOpenWatchHasNotReturnedAndTellsItOnce(t *testing.T) {
	followOpen(t, func(ctx context.Context, store *openStore, sink *keySink, follower *metastore.Follower) {
		g := NewWithT(t)
		store.write("a")
		time.Sleep(2500 * time.Millisecond)
		store.write("b")
		g.Expect(follower.Confirm(ctx)).To(Succeed())
		keys, confirmed := sink.told()
		g.Expect(keys).To(Equal([]string{"a", "b"}))
		g.Expect(confirmed).To(BeEquivalentTo(2500 * time.Millisecond))
		time.Sleep(4 * time.Second)
		keys, _ = sink.told()
		g.Expect(keys).To(Equal([]string{"a", "b"}))
	})
}

func TestAConfirmationWithoutHistoryConfirmsNothingAndEverythingIsReadAgain(t *testing.T) {
	followOpen(t, func(ctx context.Context, store *openStore, _ *keySink, follower *metastore.Follower) {
		g := NewWithT(t)
		store.compacted.Store(true)
		err := follower.Confirm(ctx)
		g.Expect(errors.Is(err, metastore.ErrNotConfirmed)).To(BeTrue())
		time.Sleep(2500 * time.Millisecond)
		g.Expect(store.reads.Load()).To(BeEquivalentTo(2))
	})
}
