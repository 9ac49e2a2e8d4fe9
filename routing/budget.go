package routing

import "time"

// BudgetConfig configures a retry budget. Zero fields take defaults.
type BudgetConfig struct {
	// Ratio is the number of retries earned per answered request.
	Ratio float64
	// Burst is the maximum number of unused retries.
	Burst float64
	// PerSecond is the number of retries per second earned independently of answers,
	// so that an entry with little traffic can retry as well.
	PerSecond float64
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.Ratio == 0 {
		c.Ratio = 0.1
	}
	if c.Burst == 0 {
		c.Burst = 10
	}
	if c.PerSecond == 0 {
		c.PerSecond = 0.5
	}
	return c
}

// Budget is a token bucket that limits retries to a fraction of the answered requests,
// so that retries cannot multiply the load of a failing system. At any time the number
// of retries taken is at most Burst + Ratio*answers + PerSecond*elapsed.
type Budget struct {
	config BudgetConfig
	tokens float64
	at     time.Time
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	config = config.withDefaults()
	return &Budget{config: config, tokens: config.Burst}
}

// SetBurst changes the maximum number of unused retries. Unused retries above it are lost.
func (b *Budget) SetBurst(burst float64) {
	b.config.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// Answered adds the retries earned by one answered request.
func (b *Budget) Answered(now time.Time) {
	b.refill(now)
	b.add(b.config.Ratio)
}

// Take takes one retry and reports whether one was available.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TakeAboveReserve takes one retry and reports whether one was available. It leaves the
// given fraction of the burst for other retries.
func (b *Budget) TakeAboveReserve(now time.Time, reserve float64) bool {
	b.refill(now)
	if b.tokens < 1+reserve*b.config.Burst {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of retries available now.
func (b *Budget) Available(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// refill adds the retries earned since the last refill.
func (b *Budget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.add(b.config.PerSecond * now.Sub(b.at).Seconds())
	}
	if b.at.IsZero() || now.After(b.at) {
		b.at = now
	}
}

// add adds retries up to the burst.
func (b *Budget) add(tokens float64) { b.tokens = min(b.config.Burst, b.tokens+tokens) }
