package entry

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/routing"
)

// hedger returns the policy on second attempts for the call's target; t.mu is held.
func (t *EndpointTable) hedger(call *Call) *routing.Hedger {
	h := t.hedgers[call.target()]
	if h == nil {
		h = routing.NewHedger(t.hedging)
		t.hedgers[call.target()] = h
	}
	return h
}

// hedgeDelay returns how long the first token of an attempt is waited for before
// a second attempt, and false when there must be none.
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

// chooseSecond picks the endpoint of a second attempt, one that seems free,
// and pays for the attempt.
func (t *EndpointTable) chooseSecond(call *Call, state *progress) (choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	fit := t.withRoom(call, state, now)
	if len(fit) == 0 {
		hedges.Add("no_room", 1)
		return choice{}, false
	}
	query := routing.HedgeQuery{
		Idempotent: call.Idempotent, Untried: len(fit), EndpointFree: true, Deadline: call.Deadline, Expected: t.serviceTimes[call.target()],
	}
	if !t.hedger(call).Start(now, query) {
		hedges.Add("withheld", 1)
		return choice{}, false
	}
	index := t.picker.Pick(t.query(call, now), t.candidates(fit))
	if index < 0 {
		return choice{}, false
	}
	return choiceOf(fit[index].state), true
}

// free reports whether a second attempt may go to the endpoint: it has room, or
// nothing waits at its gate and this entry has no call there. Gates keep their
// limits near what is asked of them, so few have room to spare.
func (l *listed) free() bool {
	c := l.candidate()
	return l.hasRoom() || c.ReportedQueued == 0 && c.Outstanding == 0
}

// withRoom lists the endpoints for a second attempt; t.mu is held.
func (t *EndpointTable) withRoom(call *Call, state *progress, now time.Time) []*listed {
	g := t.group(call, now)
	if g == nil {
		return nil
	}
	t.fit = t.fit[:0]
	for _, l := range g.near {
		if state.fits(l) && !l.suspect() && l.free() {
			t.fit = append(t.fit, l)
		}
	}
	return t.fit
}

// slow lets an endpoint rest that lost to an attempt sent later.
func (t *EndpointTable) slow(id core.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.picker.Failed(time.Now(), id)
}
