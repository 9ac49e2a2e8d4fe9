package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/metastore"
)

// selectiveStore turns one process away for a while and serves all others.
type selectiveStore struct {
	*liveStore
	// refuse returns the error of a call while away is set.
	refuse func(call string, wait time.Duration) error
	away   atomic.Bool
	// refused is set once a call has failed, and recovered closed at the first answer after the
	// end of away.
	refused   atomic.Bool
	recovered chan struct{}
	once      sync.Once
}

func (s *selectiveStore) answer(call string, wait time.Duration) error {
	if s.away.Load() {
		err := s.refuse(call, wait)
		if err != nil {
			s.refused.Store(true)
		}
		return err
	}
	if s.refused.Load() {
		s.once.Do(func() { close(s.recovered) })
	}
	return nil
}

func (s *selectiveStore) Read(ctx context.Context, prefix string) (metastore.Snapshot, error) {
	if err := s.answer("read", 0); err != nil {
		return metastore.Snapshot{}, err
	}
	return s.liveStore.Read(ctx, prefix)
}

func (s *selectiveStore) Revision(ctx context.Context) (uint64, error) {
	if err := s.answer("revision", 0); err != nil {
		return 0, err
	}
	return s.liveStore.Revision(ctx)
}

func (s *selectiveStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]metastore.Change, uint64, error) {
	if err := s.answer("watch", wait); err != nil {
		return nil, 0, err
	}
	return s.liveStore.Watch(ctx, prefix, after, wait)
}

func refuseAll(string, time.Duration) error { return metastore.ErrRateLimited }

func refuseWatches(call string, _ time.Duration) error {
	if call == "watch" {
		return metastore.ErrUnavailable
	}
	return nil
}

func cutWaitingWatches(_ string, wait time.Duration) error {
	if wait > 0 {
		return io.ErrUnexpectedEOF
	}
	return nil
}

func TestAnEndpointThatLeavesWhileTheStoreTurnsTheGatewayAwayGetsNoMoreCalls(t *testing.T) {
	NewWithT(t).Expect(callsAfterDeparture(t, 5, refuseAll, false)).To(BeZero(), "calls that reached the endpoint")
}

// The store is there for everybody, but watches are cut or refused.
func TestAnEndpointOfThreeThatLeavesWhileWatchesFailGetsNoMoreCalls(t *testing.T) {
	for name, test := range map[string]struct {
		refuse func(call string, wait time.Duration) error
		// lasting is set if the store goes on refusing while calls come. Otherwise it has
		// served the gateway again just before.
		lasting bool
	}{
		"watches that wait are cut for a moment": {cutWaitingWatches, false},
		"watches that wait are always cut":       {cutWaitingWatches, true},
		"all watches are refused":                {refuseWatches, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent := callsAfterDeparture(t, 3, test.refuse, test.lasting)
			NewWithT(t).Expect(sent).To(BeZero(), "calls that reached the endpoint")
		})
	}
}

// The store is away for everybody, the entries of all endpoints expire, and the endpoints register
// again 0.9 s after its return. Their calls go on.
func TestEndpointsWhoseEntriesExpireWithTheStoreAwayGoOnGettingCalls(t *testing.T) {
	const (
		backends = 3
		away     = 3500 * time.Millisecond
		expireAt = 2600 * time.Millisecond
		backAt   = away + 900*time.Millisecond
		judged   = 6 * time.Second
		interval = 50 * time.Millisecond
	)
	g := NewWithT(t)
	s := &selectiveStore{liveStore: newLiveStore(), refuse: refuseAll, recovered: make(chan struct{})}
	s.put("op/config", []byte(departureDeclaration))
	entries := map[string][]byte{}
	for i := range backends {
		b := newBackend(t, func(http.ResponseWriter, *http.Request) {})
		key := fmt.Sprintf("servers/b%d", i)
		entries[key] = fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","capacity":4,"state":"ready"}`, b.address)
		s.put(key, entries[key])
	}
	gateway := startOn(t, s)
	start := time.Now()
	s.away.Store(true)
	at := func(since time.Duration, act func()) { time.AfterFunc(time.Until(start.Add(since)), act) }
	at(expireAt, func() {
		for key := range entries {
			s.remove(key)
		}
	})
	at(away, func() { s.away.Store(false) })
	at(backAt, func() {
		for key, entry := range entries {
			s.put(key, entry)
		}
	})
	for number := 0; time.Since(start) < judged; number++ {
		g.Expect(departureCall(gateway, number)).To(Equal(http.StatusOK), "after %s", time.Since(start))
		time.Sleep(interval)
	}
}

const departureDeclaration = `{"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"idempotent","timeout-ms":2000,"goal-ms":100,
	"service":"s","max-attempts":1,"anonymous":true}],"services":[{"name":"s"}]}`

// departureCall sends a call and returns the status of its answer, 0 for none.
func departureCall(gateway string, number int) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+gateway+"/a/x", strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	request.Host = "h"
	request.Header.Set("X-Request-Id", fmt.Sprintf("departure%d", number))
	return status(http.DefaultClient.Do(request))
}

// callsAfterDeparture has one of some backends leave while the store refuses calls of the
// gateway, and returns how many calls reach it then.
func callsAfterDeparture(t *testing.T, backends int, refuse func(string, time.Duration) error, lasting bool) int64 {
	const (
		// settle is how long the store has refused calls when the backend leaves.
		settle = time.Second
		// applied is how long a gateway may take to apply what it has read, and unread how
		// long it may take to learn it while watches fail.
		applied, unread = 200 * time.Millisecond, 1500 * time.Millisecond
		// Each backend would get some of the calls: they run at once, in rounds.
		rounds, callsAtOnce = 5, 12
		callTime            = 30 * time.Millisecond
	)
	g := NewWithT(t)
	s := &selectiveStore{liveStore: newLiveStore(), refuse: refuse, recovered: make(chan struct{})}
	s.put("op/config", []byte(departureDeclaration))
	arrived := make([]atomic.Int64, backends)
	for i := range backends {
		b := newBackend(t, func(http.ResponseWriter, *http.Request) {
			arrived[i].Add(1)
			time.Sleep(callTime)
		})
		s.put(fmt.Sprintf("servers/b%d", i), fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","capacity":4,"state":"ready"}`, b.address))
	}
	gateway := startOn(t, s)
	s.away.Store(true)
	g.Eventually(s.refused.Load, 5*time.Second, time.Millisecond).Should(BeTrue())
	if lasting {
		time.Sleep(settle)
	}
	s.remove("servers/b0")
	if lasting {
		time.Sleep(unread)
	} else {
		s.away.Store(false)
		g.Eventually(s.recovered, 5*time.Second).Should(BeClosed())
		time.Sleep(applied)
	}

	before := arrived[0].Load()
	for round := range rounds {
		var done sync.WaitGroup
		for number := range callsAtOnce {
			done.Go(func() {
				if code := departureCall(gateway, round*callsAtOnce+number); code != http.StatusOK {
					t.Errorf("status %d", code)
				}
			})
		}
		done.Wait()
	}
	g.Expect(arrived[1].Load()).To(BeNumerically(">", 0))
	return arrived[0].Load() - before
}
