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

// openStore is a store whose watches are answered after their wait, with the changes that it
// had when they were sent.
type openStore struct {
	mu      sync.Mutex
	history []metastore.Change
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
	return metastore.Snapshot{Items: items, Revision: revision}, nil
}

func (s *openStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]metastore.Change, uint64, error) {
	changes, revision := s.since(after)
	select {
	case <-time.After(wait):
		return changes, revision, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (s *openStore) Revision(context.Context) (uint64, error) {
	_, revision := s.since(0)
	return revision, nil
}

// confirmSink records when the content was confirmed last.
type confirmSink struct{ confirmed atomic.Int64 }

func (s *confirmSink) Replace(_ metastore.Snapshot, confirmed boottime.Instant, _ metastore.Outage) {
	s.confirmed.Store(int64(confirmed))
}

func (s *confirmSink) Apply(_ []metastore.Change, _ uint64, confirmed boottime.Instant, _ metastore.Outage) {
	s.confirmed.Store(int64(confirmed))
}
func (s *confirmSink) Disconnected(error) {}

// followOpen runs test with a follower whose watches wait for two seconds.
func followOpen(t *testing.T, test func(ctx context.Context, store *openStore, sink *confirmSink, follower *metastore.Follower)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		from := time.Now()
		store, sink := &openStore{}, &confirmSink{}
		follower := &metastore.Follower{Store: store, Sink: sink, Wait: 2 * time.Second, Now: func() boottime.Instant { return boottime.Instant(time.Since(from)) }}
		done := make(chan struct{})
		go func() { defer close(done); _ = follower.Run(ctx) }()
		synctest.Wait()
		test(ctx, store, sink, follower)
		cancel()
		<-done
	})
}

func TestContentThatHasNotChangedIsConfirmedWithoutTheOpenWatch(t *testing.T) {
	followOpen(t, func(ctx context.Context, store *openStore, sink *confirmSink, follower *metastore.Follower) {
		g := NewWithT(t)
		store.write("a")
		time.Sleep(4500 * time.Millisecond)
		g.Expect(sink.confirmed.Load()).To(BeEquivalentTo(2 * time.Second))
		g.Expect(follower.Confirm(ctx)).To(Succeed())
		g.Expect(sink.confirmed.Load()).To(BeEquivalentTo(4500 * time.Millisecond))
	})
}

// The open watch brings the change. A confirmation that transferred it as well would send a
// large declaration over the link twice.
func TestContentThatHasChangedSinceIsNotConfirmed(t *testing.T) {
	followOpen(t, func(ctx context.Context, store *openStore, sink *confirmSink, follower *metastore.Follower) {
		g := NewWithT(t)
		time.Sleep(2500 * time.Millisecond)
		store.write("a")
		g.Expect(errors.Is(follower.Confirm(ctx), metastore.ErrNotConfirmed)).To(BeTrue())
		g.Expect(sink.confirmed.Load()).To(BeEquivalentTo(0))
	})
}
