package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

// class orders waiting calls.
type class uint8

const (
	// classOnTime can still be answered on time.
	classOnTime class = iota
	// classReturned was turned away before: to be turned away again helps nobody.
	classReturned
	// classLate can only be answered late.
	classLate
)

// classOf returns the class of a waiting call. A call is late as soon as no
// endpoint could begin its answer in time.
func (p *Placer) classOf(now boottime.Instant, t *Ticket) class {
	switch {
	case t.Request.Continues:
		return classOnTime
	case t.Request.Retried:
		return classReturned
	case now.Add(p.soonest(t)).Before(t.Request.OnTimeBy):
		return classOnTime
	default:
		return classLate
	}
}

// answerSlack is added to the soonest answer: the way to the caller and back.
const answerSlack = 30 * time.Millisecond

// soonest predicts the time from its placing to the first byte of a call at an
// endpoint that has just got room: the pass under way, prompts that are read in
// it, and the call's own.
func (p *Placer) soonest(t *Ticket) time.Duration {
	list := p.byService[t.Request.Service]
	if len(list) == 0 {
		return answerSlack
	}
	e := list[0]
	if e.profile == nil {
		return e.usualCall() + answerSlack
	}
	return e.passTime(e.Slots)*3/2 + e.readTime(t.Request.PromptTokens+e.profile.UsualPrompt) + answerSlack
}

// compare puts first what can still be on time, and of it what is due first.
func (p *Placer) compare(now boottime.Instant, a, b *Ticket) int {
	return cmp.Or(
		cmp.Compare(a.Request.Priority, b.Request.Priority),
		cmp.Compare(p.classOf(now, a), p.classOf(now, b)),
		cmp.Compare(a.Request.OnTimeBy, b.Request.OnTimeBy),
	)
}

const (
	// returnedWait is how long a caller waits for a place that was turned away
	// before, or that has a part of the answer. Callers leave when they have seen no
	// event for 2 s or somewhat more.
	returnedWait = 1200 * time.Millisecond
	// freshWait is how long a call waits at the most that was not turned away before:
	// long enough that slots which become free find a call, and the same for kinds of
	// different objectives.
	freshWait = 150 * time.Millisecond
	// waitShare bounds each wait by the time that the caller has.
	waitShare = 0.3
)

// hopeless reports whether a waiting request is better turned away: it can't be
// on time any more, or those ahead of it take all the time that it has.
//
// Load pattern answered: arrivals exceed what can be begun, for seconds. Calls
// that waited on would each make the one behind them late, until all are late;
// those turned away at once can come back when there is room.
func (p *Placer) hopeless(now boottime.Instant, ticket *Ticket, ahead int) bool {
	request := &ticket.Request
	waited := now.Sub(ticket.arrived)
	if waited > time.Duration(waitShare*float64(request.Deadline.Sub(ticket.arrived))) {
		return true
	}
	if request.Retried || request.Continues {
		return waited > returnedWait
	}
	left := min(request.OnTimeBy.Sub(now)-p.soonest(ticket), freshWait-waited)
	return left <= 0 || float64(ahead) > p.startsPerSecond(now, request.Service)*left.Seconds()
}

// leastStarts is the rate at which calls are begun at the least while none runs
// that would tell it.
const leastStarts = 10.0

// startsPerSecond returns how many calls of a service this process can begin in
// a second while all slots are in use.
func (p *Placer) startsPerSecond(now boottime.Instant, service core.ServiceID) float64 {
	starts := 0.0
	for _, e := range p.byService[service] {
		if p.usable(now, e) {
			starts += float64(e.own(now)) / e.usualCall().Seconds()
		}
	}
	return max(starts, leastStarts)
}

// reserveTime is how many of its free slots, in arrivals of so much time, a
// process keeps for calls that can be on time. In this time about one slot in
// ten becomes free.
const reserveTime = 130 * time.Millisecond

// reserved reports whether the free slots are kept for calls that can be on time.
//
// Load pattern answered: callers return while fresh calls fill all slots. Calls
// that can only be late would take each slot that is free for a moment, and the
// fresh call after them would wait until it is late as well.
func (p *Placer) reserved(now boottime.Instant, ticket *Ticket) bool {
	if p.classOf(now, ticket) == classOnTime {
		return false
	}
	free := 0
	for _, e := range p.byService[ticket.Request.Service] {
		if p.usable(now, e) {
			free += e.free(now)
		}
	}
	return float64(free) < p.demandFor(ticket.Request.Service).rate(now)*reserveTime.Seconds()
}

// Bounds of the time that a rejected caller is asked to stay away.
const (
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

func (p *Placer) reject(now boottime.Instant, ticket *Ticket, reason core.Reason) {
	ticket.decision.Verdict, ticket.decision.Reason = Reject, reason
	ticket.decision.RetryAfter = p.retryAfter(now, ticket)
}

// retryAfter spreads the return of rejected callers over the time in which the
// waiting calls are expected to be placed.
func (p *Placer) retryAfter(now boottime.Instant, ticket *Ticket) time.Duration {
	base := max(min(ticket.Request.Deadline.Sub(now)/4, maxRetryAfter), minRetryAfter)
	return base/2 + time.Duration(p.config.Random.Int64N(int64(base)))
}

// Cancel takes a waiting request out of the queue.
func (p *Placer) Cancel(ticket *Ticket) {
	p.queue = slices.DeleteFunc(p.queue, func(t *Ticket) bool { return t == ticket })
}

// Waiting returns how many requests wait.
func (p *Placer) Waiting() int { return len(p.queue) }
