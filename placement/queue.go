package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

// compare orders calls by priority, then by their latest start: of two calls with the same time
// left, the one with more work left goes first.
func compare(a, b *Ticket) int {
	return cmp.Or(cmp.Compare(a.Request.Priority, b.Request.Priority), cmp.Compare(a.latestStart, b.latestStart))
}

// travelTime covers the trips of a call and its answer between caller, gateway and endpoint, and
// the interval at which waiting calls are evaluated.
const travelTime = 30 * time.Millisecond

// work predicts how long the first byte and the complete answer of a request take from when it
// is placed on an endpoint that is full with it: the pass in progress, the call's own prefill,
// and its own passes.
func (p *Placer) work(request *Request) (firstByte, answer time.Duration) {
	list := p.byService[request.Service]
	if len(list) == 0 {
		return travelTime, travelTime
	}
	e := list[0]
	if e.profile == nil {
		return e.expectedCallTime() + travelTime, e.expectedCallTime() + travelTime
	}
	inProgress := e.passTime(e.Slots) + e.prefillTime(e.profile.UsualPrompt)
	sized := e.withUsualSizes(*request)
	firstByte = inProgress + e.passTime(e.Slots) + e.prefillTime(sized.PromptTokens) + travelTime
	return firstByte, max(firstByte, inProgress+e.duration(&sized)+travelTime)
}

// withUsualSizes replaces token counts that are unknown by those that the service declares as
// usual.
func (e *endpointState) withUsualSizes(request Request) Request {
	if request.PromptTokens == 0 {
		request.PromptTokens = e.profile.UsualPrompt
	}
	if request.OutputTokens == 0 {
		request.OutputTokens = e.profile.UsualAnswer
	}
	return request
}

// latestStart returns the last moment at which a request can be placed and still serve its
// caller: the first event comes before the caller leaves, and the complete answer before the
// deadline. How much of an answer is left that the caller has in part is unknown, so that it may
// start until its next event would miss the deadline.
func (p *Placer) latestStart(request *Request) boottime.Instant {
	firstByte, answer := p.work(request)
	if request.Continues {
		answer = firstByte
	}
	latest := request.Deadline.Add(-answer)
	if request.FirstEventBy != 0 {
		latest = min(latest, request.FirstEventBy.Add(-firstByte))
	}
	return latest
}

// admits reports whether a new call can be answered in its caller's time if it is inserted into the
// queue at index, without taking the time of a call of the same priority that was admitted before.
// It also returns how many calls start before it, or have to if it is not admitted. A call is held
// to a prediction only here: afterwards it waits as long as it can be of use, since capacity that
// returns is not predicted.
//
// Load pattern: arrivals exceed the rate at which calls can start, for seconds. If calls stayed
// in the queue that can't be answered in time, each would delay the next until all are late.
// They are rejected before they wait, as far as that can be predicted.
func (p *Placer) admits(now boottime.Instant, ticket *Ticket, index int) (ahead int, admitted bool) {
	request := &ticket.Request
	ahead = countOf(p.queue[:index], request.Service)
	switch {
	case len(p.queue) >= maxQueue:
		return countOf(p.queue, request.Service), false
	case request.Continues:
		return ahead, true
	case p.startsTooLate(now, ticket, ahead):
		return ahead, false
	}
	behind := ahead
	for _, waiting := range p.queue[index:] {
		if waiting.Request.Service != request.Service {
			continue
		}
		if waiting.Request.Priority == request.Priority && !p.startsTooLate(now, waiting, behind) && p.startsTooLate(now, waiting, behind+1) {
			return countOf(p.queue, request.Service), false
		}
		behind++
	}
	return ahead, true
}

// startsTooLate reports whether the latest start of a call comes before a slot is predicted to be
// free for it.
func (p *Placer) startsTooLate(now boottime.Instant, ticket *Ticket, ahead int) bool {
	return ticket.latestStart.Before(now.Add(p.startsIn(now, &ticket.Request, ahead)))
}

// unpredictable is a wait longer than any caller's.
const unpredictable = time.Hour

// startsIn predicts how long a request waits for a slot with the given number of calls of its
// service ahead of it. Arrivals of higher priorities go first meanwhile. It returns 0 if the
// process has no slot for the request: an endpoint may become ready at any moment, and slots follow
// the demand.
func (p *Placer) startsIn(now boottime.Instant, request *Request, ahead int) time.Duration {
	all, own := p.startRates(now, request)
	if own == 0 {
		return 0
	}
	spare := all - p.arrivalsBefore(now, request.Service, request.Priority)
	if spare <= 0 {
		return unpredictable
	}
	seconds := (float64(ahead) + all/own) / spare
	return min(time.Duration(seconds*float64(time.Second)), unpredictable)
}

// startRates returns how many calls per second this process can start while all slots are in
// use, on all endpoints of a request's service and on those that may run the request.
func (p *Placer) startRates(now boottime.Instant, request *Request) (all, own float64) {
	capacity := p.capacityOf(now, request.Service)
	if !request.restricted() {
		return capacity.startRate, capacity.startRate
	}
	for _, e := range p.byService[request.Service] {
		if e.inHomes(request) {
			own += p.factsOf(now, e).startRate(capacity.granted)
		}
	}
	return capacity.startRate, own
}

// startRate returns how many calls per second this process can start on an endpoint.
func (p *Placer) startRate(now boottime.Instant, e *endpointState) float64 {
	rate := float64(e.ownSlots(now)) / e.expectedCallTime().Seconds()
	if e.limited() {
		rate = min(rate, float64(p.senderTo(e.Address).Limit(now, e.Boot)))
	}
	return rate
}

// countOf returns the number of tickets for a service.
func countOf(tickets []*Ticket, service core.ServiceID) int {
	count := 0
	for _, ticket := range tickets {
		if ticket.Request.Service == service {
			count++
		}
	}
	return count
}

func (p *Placer) reject(now boottime.Instant, ticket *Ticket, reason core.Reason, ahead int) {
	d := &ticket.decision
	d.Verdict, d.Reason = Reject, reason
	d.Ahead, d.StartsIn, d.TimeLeft = ahead, p.startsIn(now, &ticket.Request, ahead), ticket.latestStart.Sub(now)
	d.RetryAfter = p.retryAfter(now, ticket, d.StartsIn)
}

const (
	// honoredDivisor divides the remaining time of callers into what they wait at most before
	// they retry.
	honoredDivisor = 3
	// entryInterval is how often endpoints write their entries. One that becomes ready is known
	// after about that time.
	entryInterval = time.Second
)

// retryAfter returns when a rejected caller should come back: when a call like this one is
// predicted to be admitted, given when it would start now and the callers who were told to return
// before it, one for each slot that is freed. A time beyond what the caller honors is not told,
// unless no endpoint takes calls before.
//
// Load pattern: callers who are rejected together and come back together, or before there is
// room, are rejected again.
func (p *Placer) retryAfter(now boottime.Instant, ticket *Ticket, startsIn time.Duration) time.Duration {
	request := &ticket.Request
	all, own := p.startRates(now, request)
	if own == 0 {
		return p.retryWithoutSlots(now, request, time.Duration(p.config.Random.Int64N(int64(entryInterval))))
	}
	after, taken := p.nextReturn(now, ticket, startsIn, all)
	if taken != 0 {
		p.returns[request.Service] = taken
	}
	return after
}

// retryWithoutSlots returns when a rejected caller should come back while no slot for its call is
// predicted. offset, in [0, entryInterval), spreads the callers.
func (p *Placer) retryWithoutSlots(now boottime.Instant, request *Request, offset time.Duration) time.Duration {
	honored := request.Deadline.Sub(now) / honoredDivisor
	after := entryInterval/2 + offset
	return max(min(after, max(honored, entryInterval/2)), p.opensAt(now, request).Sub(now)+after-entryInterval/2)
}

// nextReturn returns when a rejected caller should come back, given how many calls per second this
// process can start, and the time that is then taken by this caller in returns, 0 for none.
func (p *Placer) nextReturn(now boottime.Instant, ticket *Ticket, startsIn time.Duration, perSecond float64) (after time.Duration, taken boottime.Instant) {
	request := &ticket.Request
	opens := p.opensAt(now, request)
	honored := request.Deadline.Sub(now) / honoredDivisor
	interval := time.Duration(float64(time.Second) / perSecond)
	maxWait := ticket.latestStart.Sub(ticket.arrived)
	if ticket.decision.StandingFor > 0 {
		maxWait = 0 // callers come back once the queue has drained
	}
	at := now.Add(max(startsIn-maxWait, interval))
	at = max(at, p.returns[request.Service].Add(interval))
	if at > now.Add(honored) {
		return max(honored, travelTime, opens.Sub(now)), 0
	}
	return max(at, opens).Sub(now), at
}

// Cancel removes a waiting request from the queue.
func (p *Placer) Cancel(ticket *Ticket) {
	p.queue = slices.DeleteFunc(p.queue, func(t *Ticket) bool { return t == ticket })
}

// Waiting returns the number of waiting requests.
func (p *Placer) Waiting() int { return len(p.queue) }
