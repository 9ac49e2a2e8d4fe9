package routing

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// RetryConfig configures retries; zero fields take defaults.
type RetryConfig struct {
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// FirstDelay bounds the wait before the first retry, which goes to another endpoint.
	FirstDelay time.Duration
	// MaxDelay bounds the wait before any retry.
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

// keptPart is the part of the burst that retries for lack of room leave unspent.
const keptPart = 0.5

// Attempt describes a request whose latest attempt was not answered.
type Attempt struct {
	// Number counts the attempts made so far, the first being 1.
	Number int
	// Refusal is how the latest attempt ended.
	Refusal *core.Refusal
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Untried is how many endpoints are left that the request was not sent to.
	Untried int
	// NoCapacity says that no endpoint with room is in sight. A request that was refused
	// for lack of room is then not tried again.
	NoCapacity bool
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Expected is how long one attempt usually takes.
	Expected time.Duration
}

// RetryDecision says what to do after an attempt that was not answered.
type RetryDecision struct {
	// Retry asks for another attempt.
	Retry bool
	// After is how long to wait before it.
	After time.Duration
	// Refusal is the final answer when Retry is false.
	Refusal *core.Refusal
}

// Retrier decides on retries. It is not safe for concurrent use.
type Retrier struct {
	config RetryConfig
	budget *Budget
	random *rand.Rand
}

// NewRetrier returns a retrier that spends budget and draws chance from random.
func NewRetrier(config RetryConfig, budget *Budget, random *rand.Rand) *Retrier {
	return &Retrier{config: config.withDefaults(), budget: budget, random: random}
}

// Decide says whether and when to try again. A request that may have run is
// tried again only if it is idempotent. Every retry is paid from the budget.
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
	if !r.pay(now, a.Refusal.Reason) {
		return final
	}
	return RetryDecision{Retry: true, After: delay}
}

// pay spends one retry. Requests that were refused for lack of room may come in
// numbers that spend any budget, so a part of it is kept for lost connections
// and failed endpoints.
func (r *Retrier) pay(now time.Time, reason core.Reason) bool {
	if reason == core.ReasonOverloaded {
		return r.budget.TakeAboveReserve(now, keptPart)
	}
	return r.budget.Take(now)
}

// delay draws the wait before the retry that follows attempt number.
func (r *Retrier) delay(number int) time.Duration {
	bound := r.config.FirstDelay
	for range number - 1 {
		bound = min(4*bound, r.config.MaxDelay)
	}
	return time.Duration(r.random.Int64N(int64(bound) + 1))
}

// Retryable reports whether a request that ended with refusal may be sent to
// another endpoint and could be answered there.
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
