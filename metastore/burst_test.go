package metastore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/metastore"
)

const (
	// declarationBytes is the size of a configuration declaration as the store encodes it.
	declarationBytes = 76_000
	// linkShare is half of a link of 25 Mbit/s between regions, in bytes per second, as shared
	// by the gateways of a region.
	linkShare = 25_000_000 / 8 / 2 / 12
)

// burstStore has one small entry and one large one that is written repeatedly.
type burstStore struct {
	from   time.Time
	every  time.Duration
	writes uint64
	// answerTime is how long each answer takes.
	answerTime time.Duration

	mu    sync.Mutex
	sent  int
	calls []string
}

func (s *burstStore) revision() uint64 {
	return 1 + min(uint64(time.Since(s.from)/s.every), s.writes)
}

func (s *burstStore) answer(call string, items []metastore.Change) []metastore.Change {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	for i := range items {
		s.sent += len(items[i].Value)
	}
	s.mu.Unlock()
	time.Sleep(s.answerTime)
	return items
}

func (s *burstStore) sentBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

func declarationAt(revision uint64) metastore.Change {
	value := make([]byte, declarationBytes)
	copy(value, fmt.Sprint(revision))
	return metastore.Change{Key: "config", Value: value, Revision: revision}
}

func (s *burstStore) Read(context.Context, string) (metastore.Snapshot, error) {
	revision := s.revision()
	items := []metastore.Change{{Key: "endpoint", Value: []byte("e"), Revision: 1}}
	if revision > 1 {
		items = append(items, declarationAt(revision))
	}
	return metastore.Snapshot{Items: s.answer("read", items), Revision: revision}, nil
}

func (s *burstStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]metastore.Change, uint64, error) {
	due := s.every * time.Duration(after)
	if after > s.writes {
		due = time.Hour
	}
	if err := kernel.Sleep(ctx, min(max(due-time.Since(s.from), 0), wait)); err != nil {
		return nil, after, err
	}
	revision := s.revision()
	var changes []metastore.Change
	for r := after + 1; r <= revision; r++ {
		changes = append(changes, declarationAt(r))
	}
	return s.answer("watch", changes), revision, nil
}

func (s *burstStore) Revision(context.Context) (uint64, error) { return s.revision(), nil }

// burstSink records when each revision of the declaration was applied, and how often the
// unchanged entry was passed on.
type burstSink struct {
	store     *burstStore
	applied   []uint64
	at        []time.Duration
	madeAt    []boottime.Instant
	endpoints int
}

func (s *burstSink) Replace(snapshot metastore.Snapshot, _ boottime.Instant, _ metastore.Outage) {
	s.add(snapshot.Items)
}

func (s *burstSink) Apply(changes []metastore.Change, _ uint64, _ boottime.Instant, _ metastore.Outage) {
	s.add(changes)
}
func (s *burstSink) Disconnected(error) {}

func (s *burstSink) add(changes []metastore.Change) {
	for _, change := range changes {
		if change.Key == "endpoint" {
			s.endpoints++
			continue
		}
		s.applied, s.at, s.madeAt = append(s.applied, change.Revision), append(s.at, time.Since(s.store.from)), append(s.madeAt, change.MadeAt)
	}
}

// Guards against followers of another region that read every version of a large declaration
// and fill the link between the regions: calls then wait on it longer than their callers.
func TestABurstOfLargeDeclarationsTakesABoundedPartOfTheLink(t *testing.T) {
	for name, answerTime := range map[string]time.Duration{"fast store": time.Millisecond, "slow store": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				const burst = 5 * time.Second
				store := &burstStore{from: time.Now(), every: 200 * time.Millisecond, writes: 25, answerTime: answerTime}
				sink := &burstSink{store: store}
				follower := metastore.Follower{
					Store: store, Sink: sink, Now: func() boottime.Instant { return boottime.Instant(time.Hour + time.Since(store.from)) },
					Wait: 2400 * time.Millisecond, BatchDelay: 150 * time.Millisecond, MaxBatchDelay: 600 * time.Millisecond,
				}
				done := make(chan struct{})
				go func() { defer close(done); _ = follower.Run(ctx) }()
				time.Sleep(burst)
				synctest.Wait()
				sent := store.sentBytes()
				time.Sleep(7 * time.Second)
				cancel()
				<-done
				t.Logf("%d bytes in %s, calls %v", sent, burst, store.calls)
				g.Expect(float64(sent)/burst.Seconds()).To(BeNumerically("<=", linkShare), "bytes per second")
				for revision := uint64(2); revision <= store.writes+1; revision++ {
					written := store.every * time.Duration(revision-1)
					g.Expect(sink.appliedBy(written+2*time.Second)).To(BeNumerically(">=", revision), "declaration %d, written after %s", revision, written)
				}
				g.Expect(sink.applied[len(sink.applied)-1]).To(Equal(store.writes + 1))
				for i, at := range sink.madeAt {
					written := boottime.Instant(time.Hour + store.every*time.Duration(sink.applied[i]-1))
					g.Expect(at).To(BeNumerically("<=", written.Add(answerTime)), "declaration %d", sink.applied[i])
				}
				g.Expect(sink.endpoints).To(Equal(1), "an unchanged entry is not passed on again")
				g.Expect(store.calls[len(store.calls)-1]).To(Equal("watch"), "watches resume after the burst")
			})
		})
	}
}

// appliedBy returns the newest declaration that was applied until a time.
func (s *burstSink) appliedBy(until time.Duration) uint64 {
	var newest uint64
	for i, at := range s.at {
		if at <= until {
			newest = max(newest, s.applied[i])
		}
	}
	return newest
}

// changeSink records the changes that it gets.
type changeSink struct {
	sinkLog
	changes []metastore.Change
}

func (s *changeSink) Apply(changes []metastore.Change, revision uint64, confirmed boottime.Instant, outage metastore.Outage) {
	s.sinkLog.Apply(changes, revision, confirmed, outage)
	s.changes = append(s.changes, changes...)
}

// Guards against entries that stay after they were deleted while the content is read instead of
// the history, and against a failed read in a burst that delays the recovery or loses changes.
func TestReadsInABurstApplyDeletionsAndAFailedOneIsRecoveredByAWatch(t *testing.T) {
	items := func(revision uint64, items ...metastore.Change) func() ([]metastore.Change, uint64, error) {
		return func() ([]metastore.Change, uint64, error) { return items, revision, nil }
	}
	entry, other := metastore.Change{Key: "endpoint", Value: []byte("e"), Revision: 1}, metastore.Change{Key: "other", Value: []byte("o"), Revision: 2}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	store := &scriptedStore{end: cancel, steps: []func() ([]metastore.Change, uint64, error){
		items(2, entry, other),
		items(4, declarationAt(3), declarationAt(4)),
		items(6, entry, declarationAt(5)),
		failure(metastore.ErrUnavailable),
		items(7),
		items(8),
	}}
	sink := &changeSink{}
	follower := metastore.Follower{Store: store, Sink: sink, Now: boottime.Now}
	g := NewWithT(t)
	g.Expect(follower.Run(ctx)).To(MatchError(context.Canceled))
	g.Expect(store.calls).To(Equal([]string{"read", "watch", "read", "read", "watch", "watch", "watch"}))
	g.Expect(sink.log).To(Equal([]string{"replace", "apply", "apply", "disconnected", "recovered", "apply"}))
	g.Expect(sink.changes).To(HaveLen(4))
	g.Expect(sink.changes[2].Revision).To(BeEquivalentTo(5))
	g.Expect(sink.changes[3].Key).To(Equal("other"))
	g.Expect(sink.changes[3].Deleted).To(BeTrue())
}
