package serving

import (
	"time"

	"github.com/zinniaseam/zinniaseam/admission"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/routing"
)

// entry simulates an entry process: admission, routing, retries and hedged requests.
type entry struct {
	fleet     *fleet
	zone      core.ZoneID
	region    core.RegionID
	picker    routing.Picker
	retrier   *routing.Retrier
	budget    *routing.Budget
	hedger    *routing.Hedger
	admission *admission.Controller
	views     []view
	// serviceTime is an EWMA, with weight 1/16, of the time from the start to the end of
	// answered attempts.
	serviceTime time.Duration
}

// view is an entry's last known state of an endpoint.
type view struct {
	load        gate.Load
	at          time.Time
	outstanding int
	sent        []time.Time
}

// sentSinceReport returns the number of attempts sent since the latest report was made.
func (v *view) sentSinceReport() int { return len(v.sent) }

// update applies a load report, unless it is older than the latest one.
func (v *view) update(load gate.Load, at time.Time) {
	if at.Before(v.at) {
		return
	}
	v.load, v.at = load, at
	sentSince := v.sent[:0]
	for _, sent := range v.sent {
		if sent.After(at) {
			sentSince = append(sentSince, sent)
		}
	}
	v.sent = sentSince
}

// arrive handles a request from a caller.
func (e *entry) arrive(r *request) {
	now := e.fleet.clock.Now()
	if e.admission != nil {
		offer := admission.Request{Team: r.team, Priority: r.priority, Deadline: r.deadline}
		if refusal := e.admission.Offer(now, offer, e.capacity()).Refusal; refusal != nil {
			e.fleet.tally.rejected(r, refusal, now)
			return
		}
	}
	e.fleet.clock.After(r.deadline.Sub(now), func() { e.expire(r) })
	e.try(r, nil)
}

// capacity returns the total capacity of the endpoints in the entry's view.
func (e *entry) capacity() admission.Capacity {
	c := admission.Capacity{Endpoints: len(e.views), ServiceTime: e.serviceTime}
	for i := range e.views {
		v := &e.views[i]
		c.Limit += v.load.Limit
		c.InFlight += min(v.load.Limit, v.load.InFlight+v.sentSinceReport())
		c.Queued += v.load.Queued
		c.QueueCapacity += gate.DefaultQueueCapacity(v.load.Limit)
	}
	return c
}

// try starts the next attempt of a request. last is the refusal of the previous one,
// nil if there is none.
func (e *entry) try(r *request, last *core.Refusal) {
	now := e.fleet.clock.Now()
	if r.settled {
		return
	}
	candidates, indexes := e.candidates(r)
	query := routing.Query{Now: now, Zone: e.zone, Region: e.region, Priority: r.priority, PrefixHashes: r.hashes}
	picked := e.picker.Pick(query, candidates)
	if picked < 0 {
		if last == nil {
			last = core.NotRun(core.ReasonNoEndpoint, time.Second, "no endpoint takes the call now")
		}
		e.reject(r, last)
		return
	}
	e.start(r, indexes[picked], false)
	e.scheduleHedge(r)
}

// start sends an attempt to an endpoint.
func (e *entry) start(r *request, index int, hedge bool) {
	endpoint := e.fleet.endpoints[index]
	r.tried[index] = true
	r.attempts++
	r.open++
	e.fleet.nextAttempt++
	a := &attempt{id: e.fleet.nextAttempt, request: r, entry: e, endpoint: endpoint, hedge: hedge}
	v := &e.views[index]
	v.outstanding++
	v.sent = append(v.sent, e.fleet.clock.Now())
	e.fleet.tally.attempts++
	e.fleet.clock.After(latency(e.region, endpoint.region), func() { endpoint.offer(a) })
}

// candidates returns the endpoints that the request was not sent to yet, and their
// indexes.
func (e *entry) candidates(r *request) ([]routing.Candidate, []int) {
	candidates := make([]routing.Candidate, 0, len(e.views))
	indexes := make([]int, 0, len(e.views))
	for i := range e.views {
		if r.tried[i] {
			continue
		}
		v, endpoint := &e.views[i], e.fleet.endpoints[i]
		candidates = append(candidates, routing.Candidate{
			ID: endpoint.id, Zone: endpoint.zone, Region: endpoint.region,
			ReportedInFlight: v.load.InFlight, ReportedQueued: v.load.Queued, ReportedLimit: v.load.Limit,
			ReportedAt: v.at, Outstanding: v.outstanding, SentSinceReport: v.sentSinceReport(),
		})
		indexes = append(indexes, i)
	}
	return candidates, indexes
}

// first records the first token of a request. Later first tokens of other attempts
// are ignored.
func (e *entry) first(a *attempt) {
	r := a.request
	if r.settled || !r.firstAt.IsZero() {
		return
	}
	r.firstAt = e.fleet.clock.Now()
	e.fleet.tally.first(r)
	if e.hedger != nil {
		e.hedger.Answered(e.fleet.clock.Now(), r.firstAt.Sub(r.arrivedAt))
	}
}

// ended handles the outcome of an attempt. A nil refusal means an answer.
func (e *entry) ended(a *attempt, refusal *core.Refusal, load gate.Load, at time.Time) {
	now := e.fleet.clock.Now()
	r := a.request
	v := &e.views[a.endpoint.index]
	v.outstanding--
	v.update(load, at)
	r.open--
	if refusal == nil {
		e.picker.Answered(now, a.endpoint.id, r.hashes, a.firstAfter)
		e.budget.Answered(now)
		e.answered(r, a)
		return
	}
	if refusal.Reason != core.ReasonDeadline {
		e.picker.Failed(now, a.endpoint.id)
	}
	if r.settled || r.open > 0 {
		return
	}
	e.retry(r, refusal)
}

// retry schedules another attempt after a refusal, or rejects the request if the
// retrier does not allow one.
func (e *entry) retry(r *request, refusal *core.Refusal) {
	decision := e.retrier.Decide(e.fleet.clock.Now(), routing.Attempt{
		Number: r.attempts, Refusal: refusal, Idempotent: true,
		Untried: len(e.views) - len(r.tried), NoCapacity: !e.hasFreeEndpoint(r), Deadline: r.deadline, Expected: e.serviceTime / 4,
	})
	if !decision.Retry {
		e.reject(r, refusal)
		return
	}
	r.firstAt = time.Time{}
	e.fleet.clock.After(decision.After, func() { e.try(r, refusal) })
}

// hasFreeEndpoint reports whether, in the entry's view, an endpoint that the request
// was not sent to has a free slot.
func (e *entry) hasFreeEndpoint(r *request) bool {
	for i := range e.views {
		v := &e.views[i]
		if !r.tried[i] && v.load.InFlight+v.load.Queued+v.sentSinceReport() < v.load.Limit {
			return true
		}
	}
	return false
}

// answered settles a request with a complete answer.
func (e *entry) answered(r *request, a *attempt) {
	if r.settled {
		return
	}
	ran := e.fleet.clock.Now().Sub(a.startedAt)
	if e.serviceTime == 0 {
		e.serviceTime = ran
	}
	e.serviceTime += (ran - e.serviceTime) / 16
	e.settle(r)
	e.fleet.tally.answered(r, e.fleet.clock.Now())
}

// reject settles a request with a refusal.
func (e *entry) reject(r *request, refusal *core.Refusal) {
	e.settle(r)
	e.fleet.tally.rejected(r, refusal, e.fleet.clock.Now())
}

// expire settles a request whose deadline has passed.
func (e *entry) expire(r *request) {
	if r.settled {
		return
	}
	e.settle(r)
	e.fleet.tally.expired(r)
}

// settle marks a request as completed.
func (e *entry) settle(r *request) {
	r.settled = true
	if e.admission != nil {
		e.admission.Done(r.team)
	}
}

// updateLoad applies a load report that was sent some time ago.
func (e *entry) updateLoad(index int, load gate.Load, at time.Time) { e.views[index].update(load, at) }

// scheduleHedge schedules a hedged attempt that is sent if there is no first token after
// the hedging delay.
func (e *entry) scheduleHedge(r *request) {
	if e.hedger == nil || r.attempts > 1 {
		return
	}
	query := routing.HedgeQuery{Idempotent: true, Untried: len(e.views) - len(r.tried)}
	delay, allowed := e.hedger.Delay(query)
	if !allowed {
		return
	}
	e.fleet.clock.After(delay, func() {
		if r.settled || !r.firstAt.IsZero() || r.attempts > 1 {
			return
		}
		candidates, indexes := e.candidates(r)
		routingQuery := routing.Query{Now: e.fleet.clock.Now(), Zone: e.zone, Region: e.region, PrefixHashes: r.hashes}
		picked := e.picker.Pick(routingQuery, candidates)
		if picked < 0 {
			return
		}
		c := candidates[picked]
		query.EndpointFree = c.ReportedInFlight+c.ReportedQueued+c.SentSinceReport < c.ReportedLimit
		if e.hedger.Start(e.fleet.clock.Now(), query) {
			e.fleet.tally.hedges++
			e.start(r, indexes[picked], true)
		}
	})
}
