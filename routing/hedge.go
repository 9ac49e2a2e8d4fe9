package routing

import (
	"slices"
	"time"
)

// HedgeConfig configures hedged requests. Zero fields take defaults.
type HedgeConfig struct {
	// Off disables hedging.
	Off bool
	// Quantile is the quantile of the times to the first token after which a second
	// attempt starts.
	Quantile float64
	// MinDelay is the minimum delay before a second attempt.
	MinDelay time.Duration
	// Budget limits the second attempts.
	Budget BudgetConfig
}

func (c HedgeConfig) withDefaults() HedgeConfig {
	if c.Quantile == 0 {
		c.Quantile = 0.95
	}
	if c.MinDelay == 0 {
		c.MinDelay = 20 * time.Millisecond
	}
	if c.Budget.Ratio == 0 {
		c.Budget.Ratio = 0.03
	}
	return c
}

const (
	// hedgeSamples is the number of times to the first token from which the delay is
	// computed.
	hedgeSamples = 256
	// minHedgeSamples is the number of samples required before any request is hedged.
	minHedgeSamples = 32
	// delayUpdateInterval is the number of answers after which the delay is
	// recomputed.
	delayUpdateInterval = 16
)

// HedgeQuery describes a request that waits for its first token.
type HedgeQuery struct {
	Idempotent bool
	// Untried is the number of endpoints to which the request was not sent yet.
	Untried int
	// EndpointFree is set when a visible endpoint has no waiting calls.
	EndpointFree bool
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Expected is the typical time to a complete answer.
	Expected time.Duration
}

// Hedger decides on second attempts for slow idempotent requests. It is not safe for
// concurrent use.
type Hedger struct {
	config      HedgeConfig
	budget      *Budget
	samples     []time.Duration
	next        int
	sinceUpdate int
	delay       time.Duration
}

// NewHedger returns a hedger without samples.
func NewHedger(config HedgeConfig) *Hedger {
	config = config.withDefaults()
	return &Hedger{config: config, budget: NewBudget(config.Budget)}
}

// Answered records the time to the first token of a request.
func (h *Hedger) Answered(now time.Time, firstToken time.Duration) {
	h.budget.Answered(now)
	if len(h.samples) < hedgeSamples {
		h.samples = append(h.samples, firstToken)
	} else {
		h.samples[h.next] = firstToken
		h.next = (h.next + 1) % hedgeSamples
	}
	h.sinceUpdate++
	if h.sinceUpdate >= delayUpdateInterval {
		h.sinceUpdate = 0
		h.updateDelay()
	}
}

// Delay returns how long a request should wait for its first token before Start is
// called. It reports false if the request must not be hedged.
func (h *Hedger) Delay(query HedgeQuery) (time.Duration, bool) {
	if h.config.Off || !query.Idempotent || query.Untried <= 0 || len(h.samples) < minHedgeSamples {
		return 0, false
	}
	return max(h.delay, h.config.MinDelay), true
}

// Start reports whether a second attempt may start now. If so, it takes one attempt
// from the budget.
func (h *Hedger) Start(now time.Time, query HedgeQuery) bool {
	if _, allowed := h.Delay(query); !allowed || !query.EndpointFree {
		return false
	}
	if !query.Deadline.IsZero() && now.Add(query.Expected).After(query.Deadline) {
		return false
	}
	return h.budget.Take(now)
}

// updateDelay sets the delay to the configured quantile of the samples.
func (h *Hedger) updateDelay() {
	sorted := slices.Clone(h.samples)
	slices.Sort(sorted)
	h.delay = sorted[int(h.config.Quantile*float64(len(sorted)-1))]
}
