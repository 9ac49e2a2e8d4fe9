package routing

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// RetryConfig configures retries. Zero fields take defaults.
type RetryConfig struct {
	// MaxAttempts is the maximum number of attempts per request, including the first.
	MaxAttempts int
	// FirstDelay is the maximum delay before the first retry, which goes to another
	// endpoint.
	FirstDelay time.Duration
	// MaxDelay is the maximum delay before any retry.
	MaxDelay time.Duration
}

func (c RetryConfig) withDefaults() RetryConfig {
	if c.MaxAttempts == 0 {
		c.MaxAttempts = 4
	}
	if c.FirstDelay == 0 {
		c.FirstDelay = 2 * time.Millisecond
	}
	if c.MaxDelay == 0 {
		c.MaxDelay = time.Second
	}
	return c
}

// reserveShare is the fraction of the burst that retries of requests rejected as
// overloaded leave unused.
const reserveShare = 0.5

// delayGrowth is the factor by which the bound of the delay grows with each retry.
const delayGrowth = 4

// Attempt describes a request whose latest attempt was not answered.
type Attempt struct {
	// Number is the number of attempts so far, including the first.
	Number int
	// Refusal is the outcome of the latest attempt.
	Refusal *core.Refusal
	// Idempotent is set when the request may run more than once.
	Idempotent bool
	// Untried is the number of endpoints to which the request was not sent yet.
	Untried int
	// NoCapacity is set when no visible endpoint has free capacity. Requests that were
	// rejected as overloaded are then not retried.
	NoCapacity bool
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Expected is the typical duration of one attempt.
	Expected time.Duration
}

// RetryDecision is the decision after an attempt that was not answered.
type RetryDecision struct {
	// Retry is set when another attempt should be made.
	Retry bool
	// After is the delay before that attempt.
	After time.Duration
	// Refusal is the final outcome if Retry is false.
	Refusal *core.Refusal
}

// Retrier decides on retries. It is not safe for concurrent use.
type Retrier struct {
	config RetryConfig
	budget *Budget
	random *rand.Rand
}

// NewRetrier returns a retrier that takes retries from budget and random delays from
// random.
func NewRetrier(config RetryConfig, budget *Budget, random *rand.Rand) *Retrier {
	return &Retrier{config: config.withDefaults(), budget: budget, random: random}
}

// Decide returns whether and when to retry. A request that may have run is retried only
// if it is idempotent. Every retry is taken from the budget.
func (r *Retrier) Decide(now time.Time, a Attempt) RetryDecision {
	final := RetryDecision{Refusal: a.Refusal}
	if !Retryable(a.Refusal, a.Idempotent) || a.Number >= r.config.MaxAttempts || a.Untried <= 0 {
		return final
	}
	if a.Refusal.Reason == core.ReasonOverloaded && a.NoCapacity {
		return final
	}
	delay := r.delay(a.Number)
	if !a.Deadline.IsZero() && now.Add(delay+a.Expected).After(a.Deadline) {
		return final
	}
	if !r.spend(now, a.Refusal.Reason) {
		return final
	}
	return RetryDecision{Retry: true, After: delay}
}

// spend takes one retry from the budget. Requests rejected as overloaded can be
// numerous enough to exhaust any budget, so part of it is reserved for lost connections
// and failed endpoints.
func (r *Retrier) spend(now time.Time, reason core.Reason) bool {
	if reason == core.ReasonOverloaded {
		return r.budget.TakeAboveReserve(now, reserveShare)
	}
	return r.budget.Take(now)
}

// delay returns a random delay before the retry that follows attempt number. Its upper
// bound grows exponentially.
func (r *Retrier) delay(number int) time.Duration {
	bound := r.config.FirstDelay
	for range number - 1 {
		bound = min(delayGrowth*bound, r.config.MaxDelay)
	}
	return time.Duration(r.random.Int64N(int64(bound) + 1))
}

// Retryable reports whether a request that ended with refusal may be sent to another
// endpoint and could be answered there.
func Retryable(refusal *core.Refusal, idempotent bool) bool {
	if refusal == nil {
		return false
	}
	if refusal.Kind != core.OutcomeNotRun && !idempotent {
		return false
	}
	switch refusal.Reason {
	case core.ReasonOverloaded, core.ReasonNoEndpoint, core.ReasonZoneOut, core.ReasonLeaving,
		core.ReasonWarming, core.ReasonNotHome, core.ReasonConnectionLost,
		core.ReasonBackendFailed, core.ReasonIncomplete, core.ReasonVersionMismatch:
		return true
	default:
		return false
	}
}
