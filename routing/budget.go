package routing

import "time"

// BudgetConfig configures a retry budget; zero fields take defaults.
type BudgetConfig struct {
	// Ratio is how many retries one answered request earns.
	Ratio float64
	// Burst is how many retries can be saved up.
	Burst float64
	// PerSecond is how many retries a second are earned without answers, so that
	// an entry with little traffic may retry at all.
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

// Budget bounds retries to a share of the answered requests, so that retries
// cannot multiply the load of a system that is failing. At any time the retries
// taken are at most Burst + Ratio*answers + PerSecond*elapsed.
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

// Answered earns the share of a retry that one answered request is worth.
func (b *Budget) Answered(now time.Time) {
	b.refill(now)
	b.add(b.config.Ratio)
}

// Take spends one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TakeAboveReserve spends one retry and reports whether there was one, only from what
// is saved up beyond a part of the burst. The part is kept for other retries.
func (b *Budget) TakeAboveReserve(now time.Time, part float64) bool {
	b.refill(now)
	if b.tokens < 1+part*b.config.Burst {
		return false
	}
	b.tokens--
	return true
}

// Available returns the retries that may be taken now.
func (b *Budget) Available(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// refill earns the retries for the time that passed.
func (b *Budget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.add(b.config.PerSecond * now.Sub(b.at).Seconds())
	}
	if b.at.IsZero() || now.After(b.at) {
		b.at = now
	}
}

// add earns retries up to the burst.
func (b *Budget) add(tokens float64) { b.tokens = min(b.config.Burst, b.tokens+tokens) }
