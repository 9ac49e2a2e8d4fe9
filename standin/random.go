package standin

import (
	"math/rand/v2"
	"sync"
)

// Random is a seeded random number generator. It is safe for concurrent use.
type Random struct {
	mu     sync.Mutex
	source *rand.Rand
}

// NewRandom returns a generator with the given seed.
func NewRandom(seed uint64) *Random {
	return &Random{source: rand.New(rand.NewPCG(seed, seed))}
}

// Reseed restarts the generator with the given seed.
func (r *Random) Reseed(seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source = rand.New(rand.NewPCG(seed, seed))
}

// Bernoulli returns true with the given probability. A probability of zero or less
// does not advance the generator.
func (r *Random) Bernoulli(probability float64) bool {
	if probability <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Float64() < probability
}

// IntN returns a random integer in [0, n). It panics if n <= 0.
func (r *Random) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.IntN(n)
}
