package gate_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
)

var _ = Describe("SharedGate", func() {
	newSharedGate := func(limiter string, capacity int) *gate.SharedGate {
		shared, err := gate.NewShared(gate.SharedConfig{Limiter: limiter, QueueCapacity: capacity})
		Expect(err).NotTo(HaveOccurred())
		return shared
	}

	It("names the limiters it knows", func() {
		_, err := gate.NewShared(gate.SharedConfig{Limiter: "other"})
		Expect(err).To(MatchError(ContainSubstring("known: adaptive, fixed, none")))
	})

	It("never lets more in than the limit and answers every call", func() {
		shared := newSharedGate("fixed", 256)
		var inFlight, peak, answered atomic.Int64
		var running sync.WaitGroup
		for range 100 {
			running.Go(func() {
				permit, refusal := shared.Enter(context.Background(), gate.Request{Team: "a"})
				if refusal != nil {
					return
				}
				now := inFlight.Add(1)
				for seen := peak.Load(); now > seen && !peak.CompareAndSwap(seen, now); seen = peak.Load() {
				}
				permit.FirstToken()
				permit.Token()
				time.Sleep(time.Millisecond)
				inFlight.Add(-1)
				answered.Add(1)
				permit.Done(gate.Result{})
				permit.Done(gate.Result{})
			})
		}
		running.Wait()
		Expect(answered.Load()).To(BeEquivalentTo(100))
		Expect(peak.Load()).To(BeNumerically("<=", gate.FixedLimit))
		Expect(shared.Load().InFlight).To(BeZero())
	})

	It("refuses what waits when it closes and lets work in flight end", func() {
		shared := newSharedGate("adaptive", 0)
		permit, refusal := shared.Enter(context.Background(), gate.Request{Team: "a"})
		Expect(refusal).To(BeNil())
		decision := make(chan *core.Refusal, 1)
		go func() {
			_, refusal := shared.Enter(context.Background(), gate.Request{Team: "a"})
			decision <- refusal
		}()
		Eventually(func() int { return shared.Load().Queued }).Should(Equal(1))
		shared.Close(core.ReasonZoneOut)
		var waited *core.Refusal
		Eventually(decision).Should(Receive(&waited))
		Expect(waited.Kind).To(Equal(core.OutcomeNotRun))
		Expect(waited.Reason).To(Equal(core.ReasonZoneOut))
		_, refusal = shared.Enter(context.Background(), gate.Request{Team: "a"})
		Expect(refusal.Reason).To(Equal(core.ReasonZoneOut))
		Expect(shared.Load().InFlight).To(Equal(1))
		permit.Done(gate.Result{})
		Expect(shared.Drain(context.Background())).To(Succeed())
		shared.Reopen()
		permit, refusal = shared.Enter(context.Background(), gate.Request{Team: "a"})
		Expect(refusal).To(BeNil())
		permit.Release()
	})

	It("frees the place of a caller that stops waiting", func() {
		shared := newSharedGate("adaptive", 0)
		permit, _ := shared.Enter(context.Background(), gate.Request{Team: "a"})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		defer cancel()
		_, refusal := shared.Enter(ctx, gate.Request{Team: "a"})
		Expect(refusal.Reason).To(Equal(core.ReasonDeadline))
		Expect(shared.Load().Queued).To(BeZero())
		permit.Done(gate.Result{})
	})

	It("expires waiting calls on its own timer", func() {
		shared := newSharedGate("adaptive", 0)
		permit, _ := shared.Enter(context.Background(), gate.Request{Team: "a"})
		deadline := time.Now().Add(2 * time.Second)
		_, refusal := shared.Enter(context.Background(), gate.Request{Team: "a", Deadline: deadline})
		Expect(refusal.Kind).To(Equal(core.OutcomeNotRun))
		Expect(refusal.Reason).To(Equal(core.ReasonDeadline))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		Expect(time.Now()).To(BeTemporally("<", deadline))
		permit.Done(gate.Result{})
	})
})
