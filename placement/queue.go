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
//
// Load pattern answered: arrivals exceed what can be begun, for seconds. In the
// order of their deadlines all calls would be begun just too late.
func (p *Placer) classOf(now boottime.Instant, t *Ticket) class {
	switch {
	case t.Request.Continues:
		return classOnTime
	case t.Request.Returned:
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

// compare puts first what can still be on time, and of it what came first.
func (p *Placer) compare(now boottime.Instant, a, b *Ticket) int {
	return cmp.Or(
		cmp.Compare(a.Request.Priority, b.Request.Priority),
		cmp.Compare(p.classOf(now, a), p.classOf(now, b)),
		cmp.Compare(a.Request.OnTimeBy, b.Request.OnTimeBy),
	)
}

const (
	// lateWait is how long a call waits for a place that can only be answered late,
	// beyond the time in which it could be on time. Longer queues make the calls
	// behind them late as well, at no gain in calls answered.
	lateWait = 150 * time.Millisecond
	// returnedWait is the same for a caller that was turned away before, and for one
	// that has a part of the answer. Callers leave when they have seen no event for
	// 2 s or somewhat more.
	returnedWait = 1200 * time.Millisecond
	// waitShare bounds both by the time that the caller has.
	waitShare = 0.3
)

// hopeless reports whether a waiting request is better turned away.
func (p *Placer) hopeless(now boottime.Instant, ticket *Ticket) bool {
	request := &ticket.Request
	most := returnedWait
	if !request.Returned && !request.Continues {
		most = request.OnTimeBy.Sub(ticket.arrived) - p.soonest(ticket) + lateWait
	}
	most = min(max(most, lateWait), time.Duration(waitShare*float64(request.Deadline.Sub(ticket.arrived))))
	return now.Sub(ticket.arrived) > most || p.behind(ticket) > p.slots(request)
}

// behind returns how many calls wait before this one.
func (p *Placer) behind(ticket *Ticket) int {
	ahead := 0
	for _, other := range p.queue {
		if other == ticket {
			break
		}
		if other.Request.Service == ticket.Request.Service {
			ahead++
		}
	}
	return ahead
}

func (p *Placer) slots(request *Request) int {
	slots := 0
	for _, e := range p.byService[request.Service] {
		slots += e.Slots
	}
	return slots
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
