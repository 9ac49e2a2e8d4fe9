package gate_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/virtualtime"
)

// steadyEngine is a gate with an engine whose time between tokens does not depend on
// the load. Arrivals have exponentially distributed intervals. It runs in virtual time.
type steadyEngine struct {
	gate   *gate.Gate
	random *rand.Rand
	clock  *virtualtime.Clock
	offers map[uint64]time.Time
	nextID uint64
	// pace is the time between tokens, tokens the length of an answer.
	pace     time.Duration
	tokens   int
	waits    []time.Duration
	rejected int
}

func (s *steadyEngine) after(d time.Duration, run func()) {
	s.clock.After(d, run)
}

// load discards earlier waits and offers perSecond calls per second for the given time.
func (s *steadyEngine) load(perSecond float64, lasting time.Duration) {
	s.waits, s.rejected = nil, 0
	end := s.clock.Now().Add(lasting)
	var arrive func()
	arrive = func() {
		if s.clock.Now().After(end) {
			return
		}
		s.nextID++
		s.offers[s.nextID] = s.clock.Now()
		s.apply(s.gate.Offer(s.clock.Now(), gate.Ticket{ID: s.nextID, Request: gate.Request{Priority: core.PriorityBriefing}}))
		s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	arrive()
	s.clock.RunUntil(end)
}

// apply starts the admitted calls.
func (s *steadyEngine) apply(actions gate.Actions) {
	s.rejected += len(actions.Rejected)
	for _, id := range actions.Admitted {
		s.waits = append(s.waits, s.clock.Now().Sub(s.offers[id]))
		delete(s.offers, id)
		s.run(id, s.clock.Now(), 1)
	}
}

// run produces the tokens of a call until its answer is complete.
func (s *steadyEngine) run(id uint64, started time.Time, token int) {
	s.after(s.pace, func() {
		switch {
		case token == 1:
			s.gate.FirstToken(s.clock.Now(), s.clock.Now().Sub(started))
		case token%4 == 1:
			s.apply(s.gate.Tokens(s.clock.Now(), 4, 4*s.pace))
		}
		if token < s.tokens {
			s.run(id, started, token+1)
			return
		}
		s.apply(s.gate.Done(s.clock.Now(), id, gate.Result{
			FirstToken: s.pace, Tokens: s.tokens, Elapsed: s.clock.Now().Sub(started), Observed: true,
		}))
	})
}

// waitQuantile returns the given quantile of the queueing times.
func (s *steadyEngine) waitQuantile(part float64) time.Duration {
	slices.Sort(s.waits)
	return s.waits[int(part*float64(len(s.waits)-1))]
}

// newSteadyEngine returns an engine with answers of 16 tokens and 4 ms between tokens.
func newSteadyEngine(seed uint64) *steadyEngine {
	return &steadyEngine{
		gate: gate.New(gate.Config{}), random: rand.New(rand.NewPCG(seed, 1)), clock: virtualtime.New(time.Unix(1_000_000, 0)),
		offers: map[uint64]time.Time{}, pace: 4 * time.Millisecond, tokens: 16,
	}
}

var _ = Describe("Adaptive before an engine that bears more than is asked of it", func() {
	It("lets short bursts above the mean pass", func() {
		for seed := range uint64(3) {
			for _, perSecond := range []float64{50, 200, 500, 1500} {
				s := newSteadyEngine(seed + 1)
				s.load(perSecond, 15*time.Second)
				s.load(perSecond, 20*time.Second)
				GinkgoWriter.Printf("%4.0f/s: limit %d, waited p95 %s p99 %s, rejected %d\n", perSecond,
					s.gate.Load(s.clock.Now()).Limit, s.waitQuantile(0.95), s.waitQuantile(0.99), s.rejected)
				Expect(s.waitQuantile(0.99)).To(BeZero(), "%.0f a second, seed %d", perSecond, seed)
				Expect(s.rejected).To(BeZero(), "%.0f a second, seed %d", perSecond, seed)
			}
		}
	})
})
