package gate_test

import (
	"testing"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
)

// BenchmarkOverloadedGate measures one offer with a full queue, including its share of
// completed calls.
func BenchmarkOverloadedGate(b *testing.B) {
	limiter, err := gate.Limiters.New("fixed")
	if err != nil {
		b.Fatal(err)
	}
	g := gate.New(gate.Config{Limiter: limiter})
	now := time.Unix(1_000_000, 0)
	var running []uint64
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		ticket := gate.Ticket{ID: uint64(i + 1), Request: gate.Request{
			Priority: core.Priority(i % 3), Team: teamName(i % 10), Deadline: now.Add(10 * time.Second),
		}}
		running = append(running, g.Offer(now, ticket).Admitted...)
		if i%2 == 0 && len(running) > 0 {
			done := g.Done(now, running[0], gate.Result{Elapsed: time.Second, FirstToken: 50 * time.Millisecond, Tokens: 40})
			running = append(running[1:], done.Admitted...)
		}
	}
}

// BenchmarkTokens measures one progress report to the adaptive limiter.
func BenchmarkTokens(b *testing.B) {
	g := gate.New(gate.Config{})
	now := time.Unix(1_000_000, 0)
	g.Offer(now, gate.Ticket{ID: 1})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		g.Tokens(now, 1, 10*time.Millisecond)
	}
}
