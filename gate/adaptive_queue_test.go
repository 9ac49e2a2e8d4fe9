package gate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/gate"
)

// queueingEngine is an engine that keeps the time between tokens constant and queues
// calls beyond its batch size internally.
type queueingEngine struct {
	limiter *gate.Adaptive
	now     time.Time
	calls   []queuedCall
}

// queuedCall is one call at a queueing engine.
type queuedCall struct {
	started time.Time
	first   time.Duration
	tokens  int
}

// Time between tokens and answer length of a queueing engine.
const (
	queueStep   = 20 * time.Millisecond
	queueTokens = 30
)

// run keeps the limiter saturated for the given duration against an engine with the
// given batch size. It returns the peak number of calls.
func (q *queueingEngine) run(batch int, duration time.Duration) int {
	peak := 0
	for end := q.now.Add(duration); q.now.Before(end); {
		for len(q.calls) < q.limiter.Limit(q.now) {
			q.limiter.Started(q.now)
			q.calls = append(q.calls, queuedCall{started: q.now})
		}
		peak = max(peak, len(q.calls))
		q.now = q.now.Add(queueStep)
		q.step(batch)
	}
	return peak
}

// step adds one token to each call of the batch and ends completed calls.
func (q *queueingEngine) step(batch int) {
	var left []queuedCall
	for i, call := range q.calls {
		if i < batch {
			call.tokens++
			q.report(&call)
		}
		if call.tokens < queueTokens+i%7 {
			left = append(left, call)
			continue
		}
		q.limiter.Done(q.now, gate.Result{
			FirstToken: call.first, Tokens: call.tokens, Elapsed: q.now.Sub(call.started), Observed: true,
		})
	}
	q.calls = left
}

// report reports one token of a call to the limiter.
func (q *queueingEngine) report(call *queuedCall) {
	if call.tokens > 1 {
		q.limiter.Tokens(q.now, 1, queueStep)
		return
	}
	call.first = q.now.Sub(call.started)
	q.limiter.FirstToken(q.now, call.first)
}

var _ = Describe("Adaptive before an engine that queues calls inside", func() {
	It("stays near the batch though the pace never changes", func() {
		for _, batch := range []int{4, 16, 32} {
			q := &queueingEngine{limiter: gate.NewAdaptive(gate.AdaptiveConfig{}), now: time.Unix(1_000_000, 0)}
			peak := q.run(batch, 60*time.Second)
			Expect(peak).To(BeNumerically("<", 2*batch), "batch %d", batch)
			Expect(q.limiter.Limit(q.now)).To(BeNumerically(">=", 3*batch/4), "batch %d", batch)
		}
	})
})
