package routing

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

func init() {
	Pickers.Register("random", func() Factory { return newRandom })
	Pickers.Register("round_robin", func() Factory { return newRoundRobin })
	Pickers.Register("least_outstanding", func() Factory { return newLeastOutstanding })
}

var (
	_ Picker = (*randomPicker)(nil)
	_ Picker = (*roundRobin)(nil)
	_ Picker = (*leastOutstanding)(nil)
)

// stateless is embedded by pickers that do not learn from results.
type stateless struct{}

func (stateless) Answered(time.Time, core.VMID, []uint64, time.Duration) {}
func (stateless) Failed(time.Time, core.VMID)                            {}

// randomPicker picks uniformly at random. It serves as a baseline in comparisons.
type randomPicker struct {
	stateless
	random *rand.Rand
}

func newRandom(random *rand.Rand) Picker { return &randomPicker{random: random} }

func (p *randomPicker) Pick(_ Query, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	return p.random.IntN(len(candidates))
}

// roundRobin picks candidates in turn. It serves as a baseline in comparisons.
type roundRobin struct {
	stateless
	next int
}

func newRoundRobin(*rand.Rand) Picker { return &roundRobin{} }

func (p *roundRobin) Pick(_ Query, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	p.next++
	return p.next % len(candidates)
}

// leastOutstanding picks the endpoint at which this entry has the fewest open attempts.
// It serves as a baseline in comparisons.
type leastOutstanding struct {
	stateless
	random *rand.Rand
}

func newLeastOutstanding(random *rand.Rand) Picker { return &leastOutstanding{random: random} }

func (p *leastOutstanding) Pick(_ Query, candidates []Candidate) int {
	best, ties := -1, 0
	for i, candidate := range candidates {
		switch {
		case best < 0 || candidate.Outstanding < candidates[best].Outstanding:
			best, ties = i, 1
		case candidate.Outstanding == candidates[best].Outstanding:
			ties++
			if p.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
