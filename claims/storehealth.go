package claims

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// failuresUntilDown is the number of consecutive failed store calls after which new
// claims are rejected.
const failuresUntilDown = 2

// maxRetryDoublings prevents an overflow of the backoff.
const maxRetryDoublings = 16

// Bounds of the retry-after hint for calls rejected during an outage.
const (
	outageRetryMin = time.Second
	outageRetryMax = 4 * time.Second
)

// storeHealth is the state of a partition's circuit breaker for the store.
type storeHealth struct {
	// busy is set while a store call is open; since is when it was issued.
	busy  bool
	since time.Time
	// slow is set once the open call has exceeded SlowAfter.
	slow     bool
	failures int
	retryAt  time.Time
	// down is set while the circuit is open: new claims are rejected until a store
	// call succeeds.
	down bool
}

// openStoreCall issues a store call.
func (p *partition) openStoreCall(a action) {
	p.store.busy = true
	p.store.slow = false
	p.store.since = p.now
	p.emit(a)
}

// storeCallEnded ends the open store call and reports whether it succeeded.
func (p *partition) storeCallEnded(err error) bool {
	p.store.busy = false
	if err != nil {
		p.storeFailed()
		return false
	}
	p.store.failures = 0
	p.store.retryAt = time.Time{}
	p.store.down = false
	return true
}

// storeFailed schedules a retry with backoff and jitter, and opens the circuit after
// repeated failures.
func (p *partition) storeFailed() {
	wait := p.config.RetryMin << min(p.store.failures, maxRetryDoublings)
	wait = min(wait, p.config.RetryMax)
	p.store.failures++
	p.store.retryAt = p.now.Add(wait/2 + p.jitter(wait/2))
	if p.store.failures >= failuresUntilDown {
		p.openCircuit()
	}
}

// checkSlow opens the circuit if the open store call takes too long.
func (p *partition) checkSlow() {
	if p.store.slow || p.now.Before(p.store.since.Add(p.config.SlowAfter)) {
		return
	}
	p.store.slow = true
	p.openCircuit()
}

// openCircuit rejects every call that was not started. The rejection is final: the
// claims are dropped, so the calls are never started, even if the store has recorded
// the claims.
func (p *partition) openCircuit() {
	p.store.down = true
	p.rejectUnstarted(p.outageRefusal)
	p.flushDelayed()
}

// rejectsForOutage reports whether a new claim would have to wait for an unresponsive
// store.
func (p *partition) rejectsForOutage() bool {
	return p.store.down && (p.store.busy || p.inFlight != nil || p.seal != nil || p.now.Before(p.store.retryAt))
}

func (p *partition) outageRefusal() *core.Refusal {
	after := outageRetryMin + p.jitter(outageRetryMax-outageRetryMin)
	return core.NotRun(core.ReasonPlatformDown, after, "the platform does not take claims at present; the call was not handed over")
}

// jitter returns a random duration below limit.
func (p *partition) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(p.random.Int64N(int64(limit)))
}
