package gate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
)

var _ = Describe("Gate's estimate of the time that a call needs", func() {
	now := time.Unix(1_000_000, 0)
	limiter, err := gate.Limiters.New("fixed")
	// trained returns a gate that has completed calls with the given service times in
	// turn and has one call running. With cancelLast set, the calls with the
	// last service time were canceled.
	trained := func(cancelLast bool, lengths ...time.Duration) *gate.Gate {
		Expect(err).NotTo(HaveOccurred())
		g := gate.New(gate.Config{Limiter: limiter})
		for id := range uint64(200) {
			g.Offer(now, gate.Ticket{ID: id + 1})
			elapsed := lengths[int(id)%len(lengths)]
			g.Done(now, id+1, gate.Result{Elapsed: elapsed, Canceled: cancelLast && elapsed == lengths[len(lengths)-1]})
		}
		g.Offer(now, gate.Ticket{ID: 1000})
		return g
	}
	// rejects reports whether a call with this much time left is rejected.
	rejects := func(g *gate.Gate, left time.Duration) bool {
		actions := g.Offer(now, gate.Ticket{ID: 2000, Request: gate.Request{Deadline: now.Add(left)}})
		return len(actions.Rejected) == 1 && actions.Rejected[0].Refusal.Reason == core.ReasonDeadline
	}

	It("refuses a call with less time left than equal calls took", func() {
		Expect(rejects(trained(false, 100*time.Millisecond), 90*time.Millisecond)).To(BeTrue())
		Expect(rejects(trained(false, 100*time.Millisecond), 110*time.Millisecond)).To(BeFalse())
	})

	It("leaves room for the spread of the calls, those cut by their deadlines included", func() {
		for _, cancelLast := range []bool{false, true} {
			g := trained(cancelLast, 50*time.Millisecond, 150*time.Millisecond)
			Expect(rejects(g, 140*time.Millisecond)).To(BeTrue(), "last canceled: %v", cancelLast)
			Expect(rejects(g, 300*time.Millisecond)).To(BeFalse(), "last canceled: %v", cancelLast)
		}
	})
})
