package gateway

import (
	"sync"
	"time"
)

// retryDetector records the longest time-out seen on each route. A caller that retries
// after a rejection sends a shorter one.
type retryDetector struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// maxTrackedRoutes bounds the recorded routes. All are dropped when it is reached.
const maxTrackedRoutes = 4096

// retried reports whether a time-out is short enough to be that of a retry.
func (d *retryDetector) retried(route string, timeout time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.longest == nil || len(d.longest) >= maxTrackedRoutes {
		d.longest = map[string]time.Duration{}
	}
	if timeout >= d.longest[route] {
		d.longest[route] = timeout
		return false
	}
	return float64(timeout) < retriedShare*float64(d.longest[route])
}
