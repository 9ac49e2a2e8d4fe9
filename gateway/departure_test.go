package gateway_test

import (
	"context"
	"fmt"
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
	away atomic.Bool
	// recovered is closed at the first answer after that.
	recovered chan struct{}
	returned  atomic.Bool
}

func (s *selectiveStore) answer() error {
	if s.away.Load() {
		s.returned.Store(true)
		return metastore.ErrRateLimited
	}
	if s.returned.CompareAndSwap(true, false) {
		close(s.recovered)
	}
	return nil
}

func (s *selectiveStore) Read(ctx context.Context, prefix string) (metastore.Snapshot, error) {
	if err := s.answer(); err != nil {
		return metastore.Snapshot{}, err
	}
	return s.liveStore.Read(ctx, prefix)
}

func (s *selectiveStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]metastore.Change, uint64, error) {
	if err := s.answer(); err != nil {
		return nil, 0, err
	}
	return s.liveStore.Watch(ctx, prefix, after, wait)
}

func TestAnEndpointThatLeavesWhileTheStoreTurnsTheGatewayAwayGetsNoMoreCalls(t *testing.T) {
	const (
		backends = 5
		// applied is how long a gateway may take to apply what it has read.
		applied = 200 * time.Millisecond
		// Each backend would get some of the calls: they run at once, in rounds.
		rounds, callsAtOnce = 5, 12
		callTime            = 30 * time.Millisecond
	)
	g := NewWithT(t)
	s := &selectiveStore{liveStore: newLiveStore(), recovered: make(chan struct{})}
	s.put("op/config", []byte(`{"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"idempotent","timeout-ms":2000,"goal-ms":100,
		"service":"s","max-attempts":1,"anonymous":true}],"services":[{"name":"s"}]}`))
	var arrived [backends]atomic.Int64
	for i := range backends {
		b := newBackend(t, func(http.ResponseWriter, *http.Request) {
			arrived[i].Add(1)
			time.Sleep(callTime)
		})
		s.put(fmt.Sprintf("servers/b%d", i), fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","capacity":4,"state":"ready"}`, b.address))
	}
	gateway := startOn(t, s)
	s.away.Store(true)
	g.Eventually(s.returned.Load, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
	s.remove("servers/b0")
	s.away.Store(false)
	g.Eventually(s.recovered, 5*time.Second).Should(BeClosed())
	time.Sleep(applied)

	before := arrived[0].Load()
	for round := range rounds {
		var done sync.WaitGroup
		for number := range callsAtOnce {
			done.Go(func() {
				request, err := http.NewRequest(http.MethodPost, "http://"+gateway+"/a/x", strings.NewReader("body"))
				if err != nil {
					t.Error(err)
					return
				}
				request.Host = "h"
				request.Header.Set("X-Request-Id", fmt.Sprintf("departure%d-%d", round, number))
				if code := status(http.DefaultClient.Do(request)); code != http.StatusOK {
					t.Errorf("status %d", code)
				}
			})
		}
		done.Wait()
	}
	g.Expect(arrived[0].Load()).To(Equal(before))
	g.Expect(arrived[1].Load()).To(BeNumerically(">", 0))
}
