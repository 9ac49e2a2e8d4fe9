package entry

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/routing"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// errSuperseded ends an attempt when another attempt of its request came first.
var errSuperseded = errors.New("entry: another attempt came first")

// hedgeAttempt is one of the attempts of a hedged request, and the Sink of its answer.
type hedgeAttempt struct {
	race   *hedged
	number uint32
	chosen choice
	state  *progress
	// ctx ends with errSuperseded when another attempt wins.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// done closes when the attempt has ended.
	done chan struct{}
}

var _ Sink = (*hedgeAttempt)(nil)

// hedged runs a request that may have a second attempt before its first token.
type hedged struct {
	dispatcher *Dispatcher
	call       *Call
	sink       Sink
	// before is what was known when the first attempt started.
	before *progress

	mu       sync.Mutex
	race     *routing.Race
	attempts []*hedgeAttempt
}

// try runs an attempt on the chosen endpoint, and a second one beside it when the
// first token is slow to come and the hedging policy allows it.
func (d *Dispatcher) try(ctx context.Context, call *Call, chosen choice, state *progress, sink Sink) *core.Refusal {
	delay, may := d.endpoints.hedgeDelay(call, state)
	if !may {
		return d.attempt(ctx, call, chosen, state, sink)
	}
	h := &hedged{dispatcher: d, call: call, sink: sink, before: state.fork(), race: routing.NewRace(call.Pool != "")}
	return h.run(ctx, chosen, state, delay)
}

// fork returns a copy that another attempt may change.
func (s *progress) fork() *progress {
	forked := *s
	forked.tried = maps.Clone(s.tried)
	return &forked
}

// run returns when all attempts have ended; state is then that of the winner.
func (h *hedged) run(ctx context.Context, chosen choice, state *progress, delay time.Duration) *core.Refusal {
	first := h.begin(ctx, chosen, state.fork())
	second := time.AfterFunc(delay, func() { h.second(ctx, first) })
	h.attempt(first)
	second.Stop()
	h.mu.Lock()
	attempts := h.attempts
	h.mu.Unlock()
	for _, a := range attempts {
		<-a.done
	}
	return h.settle(state)
}

// begin adds an attempt; it returns nil when the request needs no further attempt.
func (h *hedged) begin(ctx context.Context, chosen choice, state *progress) *hedgeAttempt {
	if !h.race.Begin(state.attempt) {
		return nil
	}
	a := &hedgeAttempt{race: h, number: state.attempt, chosen: chosen, state: state, done: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	h.attempts = append(h.attempts, a)
	return a
}

// second starts the second attempt, at an endpoint with the version of the first.
func (h *hedged) second(ctx context.Context, first *hedgeAttempt) {
	h.mu.Lock()
	a := h.beginSecond(ctx, first)
	h.mu.Unlock()
	if a == nil {
		return
	}
	h.dispatcher.node.Recorder.Add(timeline.KindHedge, h.call.ID, string(a.chosen.id), "The first token is slow; second attempt.")
	attempts.Add(1)
	h.attempt(a)
}

func (h *hedged) beginSecond(ctx context.Context, first *hedgeAttempt) *hedgeAttempt {
	if ctx.Err() != nil || !h.race.CanBegin() {
		return nil
	}
	state := h.before.fork()
	state.attempt++
	state.version = first.chosen.version
	state.tried[first.chosen.id] = true
	chosen, ok := h.dispatcher.endpoints.chooseSecond(h.call, state)
	if !ok {
		return nil
	}
	return h.begin(ctx, chosen, state)
}

// attempt runs one attempt to its end.
func (h *hedged) attempt(a *hedgeAttempt) {
	refusal := h.dispatcher.attempt(a.ctx, h.call, a.chosen, a.state, a)
	h.mu.Lock()
	h.race.End(a.number, refusal)
	losers := h.losers()
	h.mu.Unlock()
	h.supersede(losers)
	a.cancel(nil)
	close(a.done)
}

// losers lists the attempts to cancel; h.mu is held.
func (h *hedged) losers() []*hedgeAttempt {
	var losers []*hedgeAttempt
	for _, number := range h.race.Losers() {
		for _, a := range h.attempts {
			if a.number == number {
				losers = append(losers, a)
			}
		}
	}
	return losers
}

// supersede cancels attempts that lost.
func (h *hedged) supersede(losers []*hedgeAttempt) {
	for _, a := range losers {
		a.cancel(errSuperseded)
		h.dispatcher.node.Recorder.Add(timeline.KindHedge, h.call.ID, string(a.chosen.id), "Attempt cancelled; another came first.")
	}
}

// settle takes over what the attempts did and returns how the request ended.
func (h *hedged) settle(state *progress) *core.Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	refusal, mayHaveRun := h.race.Result()
	last := h.attempts[len(h.attempts)-1].number
	for _, a := range h.attempts {
		switch h.race.Winner() {
		case a.number:
			*state = *a.state
		case 0:
			maps.Copy(state.tried, a.state.tried)
		}
	}
	state.attempt = last
	state.mayHaveRun = state.mayHaveRun || mayHaveRun
	if len(h.attempts) > 1 {
		state.hedged = true
		h.report()
	}
	return refusal
}

// report counts which attempt won, and lets an endpoint that lost to a later
// attempt rest.
func (h *hedged) report() {
	first, winner := h.attempts[0], h.race.Winner()
	switch winner {
	case 0:
		hedges.Add("none_won", 1)
	case first.number:
		hedges.Add("first_won", 1)
	default:
		hedges.Add("second_won", 1)
		h.dispatcher.endpoints.slow(first.chosen.id)
	}
}

// Head implements Sink: the first attempt with a head wins.
func (a *hedgeAttempt) Head(head *peerpb.CallHead) error {
	h := a.race
	h.mu.Lock()
	passes := h.race.Head(a.number)
	losers := h.losers()
	h.mu.Unlock()
	if !passes {
		return errSuperseded
	}
	h.supersede(losers)
	return h.sink.Head(head)
}

// Data implements Sink.
func (a *hedgeAttempt) Data(data *peerpb.CallData) error {
	h := a.race
	h.mu.Lock()
	passes := h.race.Data(a.number, data.GetTokenOffset())
	h.mu.Unlock()
	if !passes {
		return errSuperseded
	}
	return h.sink.Data(data)
}

// Restart implements Sink.
func (a *hedgeAttempt) Restart() bool { return a.race.sink.Restart() }
