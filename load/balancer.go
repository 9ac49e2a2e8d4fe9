package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// Interval and timeout of the balancer's readiness checks.
const (
	readyInterval = 200 * time.Millisecond
	readyTimeout  = time.Second
)

// balancer selects entries round-robin. While watch runs, entries that are not ready
// are skipped, as the platform's load balancer does.
type balancer struct {
	entries []string
	ready   atomic.Pointer[[]string]
}

func newBalancer(entries []string) *balancer {
	b := &balancer{entries: entries}
	b.ready.Store(&entries)
	return b
}

// pick returns the entry with index turn modulo the number of entries in rotation.
func (b *balancer) pick(turn int) string {
	ready := *b.ready.Load()
	return ready[turn%len(ready)]
}

// watch checks the readiness of every entry until ctx is done. If no entry is ready,
// all stay in rotation.
func (b *balancer) watch(ctx context.Context) {
	for now := time.Now(); ; now = time.Now() {
		var ready []string
		for _, entry := range b.entries {
			if isReady(ctx, entry) {
				ready = append(ready, entry)
			}
		}
		if len(ready) == 0 {
			ready = b.entries
		}
		b.ready.Store(&ready)
		next := now.Add(readyInterval)
		if !sleepUntil(ctx, next, next) {
			return
		}
	}
}

func isReady(ctx context.Context, entry string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
