package gate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
)

var _ = Describe("Gate before an endpoint that is away", func() {
	var (
		now    time.Time
		g      *gate.Gate
		nextID uint64
	)
	BeforeEach(func() {
		now, nextID = time.Unix(1_000_000, 0), 0
		g = gate.New(gate.Config{})
	})
	offer := func() (uint64, gate.Actions) {
		nextID++
		return nextID, g.Offer(now, gate.Ticket{ID: nextID})
	}
	unreachable := gate.Result{Failed: true, Unreachable: true, Elapsed: time.Millisecond}

	It("refuses what waits and what comes at once, and tries with one call after a while", func() {
		first, actions := offer()
		Expect(actions.Admitted).To(ConsistOf(first))
		waiting, _ := offer()
		actions = g.Done(now, first, unreachable)
		Expect(actions.Admitted).To(BeEmpty())
		Expect(actions.Rejected).To(HaveLen(1))
		Expect(actions.Rejected[0].ID).To(Equal(waiting))
		for wait := 100 * time.Millisecond; wait <= 800*time.Millisecond; wait *= 2 {
			now = now.Add(wait - time.Millisecond)
			_, actions = offer()
			Expect(actions.Rejected).To(HaveLen(1), "after %s", wait)
			refusal := actions.Rejected[0].Refusal
			Expect(refusal.Kind).To(Equal(core.OutcomeNotRun))
			Expect(refusal.Reason).To(Equal(core.ReasonBackendFailed))
			Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
			now = now.Add(2 * time.Millisecond)
			try, actions := offer()
			Expect(actions.Admitted).To(ConsistOf(try))
			_, actions = offer()
			Expect(actions.Admitted).To(BeEmpty())
			g.Done(now, try, unreachable)
		}
	})

	It("opens from the start limit once a call was answered", func() {
		first, _ := offer()
		g.Done(now, first, unreachable)
		now = now.Add(time.Second)
		try, _ := offer()
		now = now.Add(10 * time.Millisecond)
		g.Done(now, try, gate.Result{FirstToken: 5 * time.Millisecond, Tokens: 2, Elapsed: 10 * time.Millisecond})
		next, actions := offer()
		Expect(actions.Admitted).To(ConsistOf(next))
		_, actions = offer()
		Expect(actions.Admitted).To(BeEmpty())
		Expect(g.Load(now)).To(Equal(gate.Load{InFlight: 1, Limit: 1, Queued: 1}))
	})
})
