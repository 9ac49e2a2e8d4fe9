package routing_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/routing"
)

var _ = Describe("Retrier", func() {
	reasons := []core.Reason{
		core.ReasonOverloaded, core.ReasonConnectionLost, core.ReasonDeadline, core.ReasonBadRequest,
		core.ReasonKeyUsed, core.ReasonIncomplete, core.ReasonZoneOut, core.ReasonTeamShare,
	}

	It("never exceeds the budget, the deadline, the attempts or what may be repeated", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			config := routing.BudgetConfig{Ratio: 0.2, Burst: 3, PerSecond: 0.5}
			start := time.Unix(1_000_000, 0)
			now := start
			budget := routing.NewBudget(config)
			r := routing.NewRetrier(routing.RetryConfig{}, budget, rand.New(rand.NewPCG(1, 1)))
			retries, answers := 0, 0
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
				if rapid.IntRange(0, 2).Draw(t, "event") == 0 {
					budget.Answered(now)
					answers++
					continue
				}
				a := routing.Attempt{
					Number:     rapid.IntRange(1, 6).Draw(t, "number"),
					Idempotent: rapid.Bool().Draw(t, "idempotent"),
					Untried:    rapid.IntRange(0, 3).Draw(t, "untried"),
					NoCapacity: rapid.Bool().Draw(t, "full"),
					Deadline:   now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond),
					Expected:   100 * time.Millisecond,
					Refusal: &core.Refusal{
						Kind:   rapid.SampledFrom([]core.OutcomeKind{core.OutcomeNotRun, core.OutcomeUnknown}).Draw(t, "kind"),
						Reason: rapid.SampledFrom(reasons).Draw(t, "reason"),
					},
				}
				d := r.Decide(now, a)
				if !d.Retry {
					if d.Refusal != a.Refusal {
						t.Fatalf("final refusal is %v, want that of the attempt", d.Refusal)
					}
					continue
				}
				retries++
				if a.Refusal.Kind == core.OutcomeUnknown && !a.Idempotent {
					t.Fatal("retried a non-idempotent request that may have run")
				}
				if a.Refusal.Reason == core.ReasonOverloaded && a.NoCapacity || a.Refusal.Reason == core.ReasonTeamShare {
					t.Fatalf("retried a request rejected with %s and no capacity or a team over its share", a.Refusal.Reason)
				}
				if a.Number >= 4 || a.Untried == 0 || now.Add(d.After+a.Expected).After(a.Deadline) {
					t.Fatalf("retried attempt %+v after %s, beyond its attempts, endpoints or deadline", a, d.After)
				}
				earned := config.Burst + config.Ratio*float64(answers) + config.PerSecond*now.Sub(start).Seconds()
				if float64(retries) > earned+1e-9 {
					t.Fatalf("%d retries, the budget allows %.2f", retries, earned)
				}
			}
		})
	})
})

var _ = Describe("Retrier under overload", func() {
	It("keeps half of the burst for lost connections", func() {
		now := time.Unix(1_000_000, 0)
		r := routing.NewRetrier(routing.RetryConfig{}, routing.NewBudget(routing.BudgetConfig{}), rand.New(rand.NewPCG(1, 1)))
		retries := func(reason core.Reason) int {
			count := 0
			for range 100 {
				a := routing.Attempt{Number: 1, Idempotent: true, Untried: 3, Refusal: core.NotRun(reason, 0, "test")}
				if r.Decide(now, a).Retry {
					count++
				}
			}
			return count
		}
		Expect(retries(core.ReasonOverloaded)).To(Equal(5))
		Expect(retries(core.ReasonConnectionLost)).To(Equal(5))
	})
})

var _ = Describe("Hedger", func() {
	now := time.Unix(1_000_000, 0)
	trained := func() *routing.Hedger {
		h := routing.NewHedger(routing.HedgeConfig{Budget: routing.BudgetConfig{Ratio: 0.01, Burst: 2, PerSecond: 0.001}})
		for i := range 100 {
			h.Answered(now, time.Duration(i+1)*time.Millisecond)
		}
		return h
	}

	It("hedges only idempotent requests with another endpoint in sight", func() {
		h := trained()
		delay, allowed := h.Delay(routing.HedgeQuery{Idempotent: true, Untried: 1})
		Expect(allowed).To(BeTrue())
		Expect(delay).To(BeNumerically("~", 91*time.Millisecond, 5*time.Millisecond))
		_, allowed = h.Delay(routing.HedgeQuery{Untried: 1, EndpointFree: true})
		Expect(allowed).To(BeFalse())
		Expect(h.Start(now, routing.HedgeQuery{Untried: 1, EndpointFree: true})).To(BeFalse())
		Expect(h.Start(now, routing.HedgeQuery{Idempotent: true, EndpointFree: true})).To(BeFalse())
		Expect(h.Start(now, routing.HedgeQuery{Idempotent: true, Untried: 1})).To(BeFalse())
	})

	It("hedges only when the answer can still come in time, and never when off", func() {
		h := trained()
		query := routing.HedgeQuery{Idempotent: true, Untried: 1, EndpointFree: true, Deadline: now.Add(time.Second), Expected: 2 * time.Second}
		Expect(h.Start(now, query)).To(BeFalse())
		query.Expected = time.Second / 2
		Expect(h.Start(now, query)).To(BeTrue())
		off := routing.NewHedger(routing.HedgeConfig{Off: true})
		for range 100 {
			off.Answered(now, time.Millisecond)
		}
		_, allowed := off.Delay(query)
		Expect(allowed).To(BeFalse())
		Expect(off.Start(now, query)).To(BeFalse())
	})

	It("stops when the budget is spent", func() {
		h := trained()
		started := 0
		for range 10 {
			if h.Start(now, routing.HedgeQuery{Idempotent: true, Untried: 1, EndpointFree: true}) {
				started++
			}
		}
		Expect(started).To(Equal(2))
	})
})
