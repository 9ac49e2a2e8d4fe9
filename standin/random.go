package standin

import (
	"math/rand/v2"
	"sync"
)

// Random is a seeded source of random decisions, safe for concurrent use.
type Random struct {
	mu     sync.Mutex
	source *rand.Rand
}

// NewRandom returns a source with the given seed.
func NewRandom(seed uint64) *Random {
	return &Random{source: rand.New(rand.NewPCG(seed, seed))}
}

// Reseed starts the sequence of the given seed.
func (c *Random) Reseed(seed uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source = rand.New(rand.NewPCG(seed, seed))
}

// Bernoulli returns true with the given probability.
func (c *Random) Bernoulli(probability float64) bool {
	if probability <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source.Float64() < probability
}

// IntN returns a number in [0, n).
func (c *Random) IntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source.IntN(n)
}
