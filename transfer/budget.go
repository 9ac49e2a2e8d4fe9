package transfer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// pacer is a token bucket whose rate can be changed and which can be paused.
type pacer struct {
	limiter *rate.Limiter
	mu      sync.Mutex
	resumed chan struct{} // closed while not paused
	paused  bool
}

// newPacer returns a pacer with a bucket of burst bytes; a rate of 0 is
// unlimited.
func newPacer(bytesPerSecond int64, burst int) *pacer {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	p := &pacer{limiter: rate.NewLimiter(limit, burst), resumed: make(chan struct{})}
	close(p.resumed)
	return p
}

// setRate changes the rate, in bytes per second; 0 pauses the pacer.
func (p *pacer) setRate(bytesPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pause := bytesPerSecond <= 0
	if !pause {
		p.limiter.SetLimit(rate.Limit(bytesPerSecond))
	}
	if pause == p.paused {
		return
	}
	p.paused = pause
	if pause {
		p.resumed = make(chan struct{})
		return
	}
	close(p.resumed)
}

// takeWithoutWaiting takes n tokens at once, which delays later callers of
// wait.
func (p *pacer) takeWithoutWaiting(n int) { p.limiter.ReserveN(time.Now(), n) }

// wait waits for n tokens; n is at most a burst.
func (p *pacer) wait(ctx context.Context, n int) error {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	select {
	case <-resumed:
	case <-ctx.Done():
		return ctx.Err()
	}
	return p.limiter.WaitN(ctx, n)
}
