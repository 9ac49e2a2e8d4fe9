package metastore_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/metastore"
)

// script answers reads and watches in order and ends the test's context after the last.
type script struct {
	steps []func() ([]metastore.Change, uint64, error)
	calls []string
	end   context.CancelFunc
}

func (s *script) next(call string) ([]metastore.Change, uint64, error) {
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		s.end()
		return nil, 0, context.Canceled
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step()
}

func (s *script) Read(context.Context, string) (metastore.Snapshot, error) {
	items, revision, err := s.next("read")
	return metastore.Snapshot{Items: items, Revision: revision}, err
}

func (s *script) Watch(_ context.Context, _ string, after uint64, _ time.Duration) ([]metastore.Change, uint64, error) {
	return s.next("watch")
}

type sink struct{ seen []string }

func (s *sink) Replace(snapshot metastore.Snapshot, _ boottime.Instant, recovered bool) {
	word := "replace"
	if recovered {
		word = "recovered"
	}
	s.seen = append(s.seen, word)
}
func (s *sink) Apply([]metastore.Change, uint64, boottime.Instant) { s.seen = append(s.seen, "apply") }
func (s *sink) Disconnected(error)                                 { s.seen = append(s.seen, "lost") }

func answer(revision uint64) func() ([]metastore.Change, uint64, error) {
	return func() ([]metastore.Change, uint64, error) { return nil, revision, nil }
}

func failure(err error) func() ([]metastore.Change, uint64, error) {
	return func() ([]metastore.Change, uint64, error) { return nil, 0, err }
}

func follow(t *testing.T, steps ...func() ([]metastore.Change, uint64, error)) (*script, *sink) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	store, seen := &script{steps: steps, end: cancel}, &sink{}
	follower := metastore.Follower{Store: store, Sink: seen, Now: boottime.Now}
	NewWithT(t).Expect(follower.Run(ctx)).To(MatchError(context.Canceled))
	return store, seen
}

// growing is a store in which one key after the other is written.
type growing struct {
	from time.Time
	// every is the time between two writes, of which there are writes.
	every  time.Duration
	writes uint64
	calls  int
	end    context.CancelFunc
}

func (s *growing) revision() uint64 { return min(uint64(time.Since(s.from)/s.every), s.writes) }

func (s *growing) Read(context.Context, string) (metastore.Snapshot, error) {
	return metastore.Snapshot{}, nil
}

func (s *growing) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]metastore.Change, uint64, error) {
	s.calls++
	if after == s.writes {
		s.end()
		return nil, after, nil
	}
	due := s.every * time.Duration(after+1)
	if err := kernel.Sleep(ctx, min(max(due-time.Since(s.from), 0), wait)); err != nil {
		return nil, after, err
	}
	revision := s.revision()
	return make([]metastore.Change, revision-after), revision, nil
}

// Load pattern: 24 endpoints register within five seconds. The bound is half of
// one call a change.
func TestChangesThatKeepComingAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		store := &growing{from: time.Now(), every: 200 * time.Millisecond, writes: 24, end: cancel}
		seen := &sink{}
		follower := metastore.Follower{
			Store: store, Sink: seen, Now: func() boottime.Instant { return boottime.Instant(time.Since(store.from)) },
			Wait: 2400 * time.Millisecond, BatchDelay: 150 * time.Millisecond, MaxBatchDelay: 600 * time.Millisecond,
		}
		g.Expect(follower.Run(ctx)).To(MatchError(context.Canceled))
		t.Logf("%d calls for %d changes", store.calls, store.writes)
		g.Expect(store.calls).To(BeNumerically("<=", store.writes/2))
		g.Expect(time.Since(store.from)).To(BeNumerically("<=", 24*store.every+2*follower.MaxBatchDelay))
	})
}

func TestForgottenHistoryIsReadAgain(t *testing.T) {
	g := NewWithT(t)
	store, seen := follow(t, answer(3), answer(4), failure(metastore.ErrCompacted), answer(9), answer(10))
	g.Expect(store.calls).To(Equal([]string{"read", "watch", "watch", "read", "watch", "watch"}))
	g.Expect(seen.seen).To(Equal([]string{"replace", "apply", "replace", "apply"}))
}

func TestAnOutageIsToldOnceAndTheReturnAsRecovered(t *testing.T) {
	g := NewWithT(t)
	away := errors.New("away")
	_, seen := follow(t, answer(3), failure(away), failure(away), failure(metastore.ErrRateLimited), answer(7), answer(8))
	g.Expect(seen.seen).To(Equal([]string{"replace", "lost", "recovered", "apply"}))
}
