package routing

import (
	"slices"
	"time"
)

// HedgeConfig configures hedging; zero fields take defaults.
type HedgeConfig struct {
	// Off stops all second attempts.
	Off bool
	// Quantile of the times to the first token after which a second attempt starts.
	Quantile float64
	// MinDelay is the shortest wait before a second attempt.
	MinDelay time.Duration
	// Budget bounds the second attempts.
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
	// hedgeSamples is how many first tokens the delay is learnt from.
	hedgeSamples = 256
	// minHedgeSamples is how many are needed before any hedge.
	minHedgeSamples = 32
	// hedgeRefresh is after how many answers the delay is computed again.
	hedgeRefresh = 16
)

// HedgeQuery describes a request that waits for its first token.
type HedgeQuery struct {
	Idempotent bool
	// Untried is how many endpoints are left that the request was not sent to.
	Untried int
	// EndpointFree says that an endpoint is in sight where no call waits.
	EndpointFree bool
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Expected is how long a whole answer usually takes.
	Expected time.Duration
}

// Hedger decides on second attempts for slow idempotent requests. It is not
// safe for concurrent use.
type Hedger struct {
	config  HedgeConfig
	budget  *Budget
	samples []time.Duration
	next    int
	stale   int
	delay   time.Duration
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
	h.stale++
	if h.stale >= hedgeRefresh {
		h.stale = 0
		h.learnDelay()
	}
}

// Delay returns how long a request should wait for its first token before
// Start is asked. It reports false when the request must not be hedged.
func (h *Hedger) Delay(query HedgeQuery) (time.Duration, bool) {
	if h.config.Off || !query.Idempotent || query.Untried <= 0 || len(h.samples) < minHedgeSamples {
		return 0, false
	}
	return max(h.delay, h.config.MinDelay), true
}

// Start reports whether the second attempt may start now, and pays for it.
func (h *Hedger) Start(now time.Time, query HedgeQuery) bool {
	if _, may := h.Delay(query); !may || !query.EndpointFree {
		return false
	}
	if !query.Deadline.IsZero() && now.Add(query.Expected).After(query.Deadline) {
		return false
	}
	return h.budget.Take(now)
}

// learnDelay computes the quantile of the samples.
func (h *Hedger) learnDelay() {
	sorted := slices.Clone(h.samples)
	slices.Sort(sorted)
	h.delay = sorted[int(h.config.Quantile*float64(len(sorted)-1))]
}
