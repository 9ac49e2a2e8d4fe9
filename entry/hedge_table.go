package entry

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/routing"
)

// hedger returns the hedging policy for the call's target. t.mu must be held.
func (t *EndpointTable) hedger(call *Call) *routing.Hedger {
	h := t.hedgers[call.target()]
	if h == nil {
		h = routing.NewHedger(t.hedging)
		t.hedgers[call.target()] = h
	}
	return h
}

// hedgeDelay returns how long to wait for the first token of an attempt before starting
// a second one, and false if the request must not be hedged.
func (t *EndpointTable) hedgeDelay(call *Call, state *progress) (time.Duration, bool) {
	if !call.Idempotent || state.hedged || state.headSent || state.tokens > 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(call, time.Now())
	if g == nil {
		return 0, false
	}
	return t.hedger(call).Delay(routing.HedgeQuery{Idempotent: true, Untried: len(g.usable) - len(state.tried) - 1})
}

// chooseSecond picks an endpoint with free capacity for the second attempt and charges
// the attempt to the hedging budget.
func (t *EndpointTable) chooseSecond(call *Call, state *progress) (choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	eligible := t.hedgeCandidates(call, state, now)
	if len(eligible) == 0 {
		hedges.Add("no_room", 1)
		return choice{}, false
	}
	query := routing.HedgeQuery{
		Idempotent: call.Idempotent, Untried: len(eligible), EndpointFree: true, Deadline: call.Deadline, Expected: t.serviceTimes[call.target()],
	}
	if !t.hedger(call).Start(now, query) {
		hedges.Add("withheld", 1)
		return choice{}, false
	}
	index := t.picker.Pick(t.query(call, now), t.candidates(eligible))
	if index < 0 {
		return choice{}, false
	}
	return choiceOf(eligible[index].state), true
}

// acceptsHedge reports whether a second attempt may be sent to the endpoint: either it
// has capacity, or its queue is empty and this entry has no call outstanding there. The
// second case is needed because gates keep their limits close to demand, so few
// endpoints have spare capacity.
func (m *member) acceptsHedge() bool {
	c := m.candidate()
	return m.hasCapacity() || c.ReportedQueued == 0 && c.Outstanding == 0
}

// hedgeCandidates returns the endpoints for a second attempt. t.mu must be held.
func (t *EndpointTable) hedgeCandidates(call *Call, state *progress, now time.Time) []*member {
	g := t.group(call, now)
	if g == nil {
		return nil
	}
	t.eligible = t.eligible[:0]
	for _, m := range g.subset {
		if state.eligible(m) && !m.suspect() && m.acceptsHedge() {
			t.eligible = append(t.eligible, m)
		}
	}
	return t.eligible
}

// hedgeLost puts an endpoint into backoff after it has lost to a later attempt.
func (t *EndpointTable) hedgeLost(id core.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.picker.Failed(time.Now(), id)
}
