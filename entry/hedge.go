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

// errSuperseded cancels an attempt after another attempt of the same request has won.
var errSuperseded = errors.New("entry: another attempt came first")

// hedgeAttempt is one attempt of a hedged request and the Sink for its answer.
type hedgeAttempt struct {
	request *hedgedRequest
	number  uint32
	chosen  choice
	state   *progress
	// ctx is canceled with errSuperseded when another attempt wins.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// done is closed when the attempt has ended.
	done chan struct{}
}

var _ Sink = (*hedgeAttempt)(nil)

// hedgedRequest is a request that may start a second attempt before its first token.
type hedgedRequest struct {
	dispatcher *Dispatcher
	call       *Call
	sink       Sink
	// initial is the progress at the start of the first attempt.
	initial *progress

	mu       sync.Mutex
	race     *routing.Race
	attempts []*hedgeAttempt
}

// attemptHedged runs an attempt on the chosen endpoint. If the hedging policy allows
// it, a second, concurrent attempt starts when the first token is late.
func (d *Dispatcher) attemptHedged(ctx context.Context, call *Call, chosen choice, state *progress, sink Sink) *core.Refusal {
	delay, allowed := d.endpoints.hedgeDelay(call, state)
	if !allowed {
		return d.attempt(ctx, call, chosen, state, sink)
	}
	h := &hedgedRequest{dispatcher: d, call: call, sink: sink, initial: state.clone(), race: routing.NewRace(call.Pool != "")}
	return h.run(ctx, chosen, state, delay)
}

// clone returns an independent copy for another attempt.
func (s *progress) clone() *progress {
	copied := *s
	copied.tried = maps.Clone(s.tried)
	return &copied
}

// run returns when all attempts have ended. It sets state to the progress of the
// winner.
func (h *hedgedRequest) run(ctx context.Context, chosen choice, state *progress, delay time.Duration) *core.Refusal {
	first := h.begin(ctx, chosen, state.clone())
	second := time.AfterFunc(delay, func() { h.startSecond(ctx, first) })
	h.attempt(first)
	second.Stop()
	h.mu.Lock()
	attempts := h.attempts
	h.mu.Unlock()
	for _, a := range attempts {
		<-a.done
	}
	return h.mergeResults(state)
}

// begin adds an attempt. It returns nil if no further attempt may start.
func (h *hedgedRequest) begin(ctx context.Context, chosen choice, state *progress) *hedgeAttempt {
	if !h.race.Begin(state.attempt) {
		return nil
	}
	a := &hedgeAttempt{request: h, number: state.attempt, chosen: chosen, state: state, done: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	h.attempts = append(h.attempts, a)
	return a
}

// startSecond starts the second attempt, on an endpoint with the same version as the
// first.
func (h *hedgedRequest) startSecond(ctx context.Context, first *hedgeAttempt) {
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

func (h *hedgedRequest) beginSecond(ctx context.Context, first *hedgeAttempt) *hedgeAttempt {
	if ctx.Err() != nil || !h.race.CanBegin() {
		return nil
	}
	state := h.initial.clone()
	state.attempt++
	state.version = first.chosen.version
	state.tried[first.chosen.id] = true
	chosen, ok := h.dispatcher.endpoints.chooseSecond(h.call, state)
	if !ok {
		return nil
	}
	return h.begin(ctx, chosen, state)
}

// attempt runs one attempt to completion.
func (h *hedgedRequest) attempt(a *hedgeAttempt) {
	refusal := h.dispatcher.attempt(a.ctx, h.call, a.chosen, a.state, a)
	h.mu.Lock()
	h.race.End(a.number, refusal)
	losers := h.losers()
	h.mu.Unlock()
	h.cancelLosers(losers)
	a.cancel(nil)
	close(a.done)
}

// losers returns the attempts to cancel. h.mu must be held.
func (h *hedgedRequest) losers() []*hedgeAttempt {
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

// cancelLosers cancels the attempts that lost.
func (h *hedgedRequest) cancelLosers(losers []*hedgeAttempt) {
	for _, a := range losers {
		a.cancel(errSuperseded)
		h.dispatcher.node.Recorder.Add(timeline.KindHedge, h.call.ID, string(a.chosen.id), "Attempt cancelled; another came first.")
	}
}

// mergeResults merges the progress of the attempts into state and returns the result of
// the request.
func (h *hedgedRequest) mergeResults(state *progress) *core.Refusal {
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
		h.recordResult()
	}
	return refusal
}

// recordResult counts which attempt won. An endpoint that lost to a later attempt is
// put into backoff.
func (h *hedgedRequest) recordResult() {
	first, winner := h.attempts[0], h.race.Winner()
	switch winner {
	case 0:
		hedges.Add("none_won", 1)
	case first.number:
		hedges.Add("first_won", 1)
	default:
		hedges.Add("second_won", 1)
		h.dispatcher.endpoints.hedgeLost(first.chosen.id)
	}
}

// Head implements Sink. The first attempt with a head wins.
func (a *hedgeAttempt) Head(head *peerpb.CallHead) error {
	h := a.request
	h.mu.Lock()
	accepted := h.race.Head(a.number)
	losers := h.losers()
	h.mu.Unlock()
	if !accepted {
		return errSuperseded
	}
	h.cancelLosers(losers)
	return h.sink.Head(head)
}

// Data implements Sink.
func (a *hedgeAttempt) Data(data *peerpb.CallData) error {
	h := a.request
	h.mu.Lock()
	accepted := h.race.Data(a.number, data.GetTokenOffset())
	h.mu.Unlock()
	if !accepted {
		return errSuperseded
	}
	return h.sink.Data(data)
}

// Restart implements Sink.
func (a *hedgeAttempt) Restart() bool { return a.request.sink.Restart() }
