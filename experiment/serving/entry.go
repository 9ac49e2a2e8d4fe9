package serving

import (
	"time"

	"github.com/zinniaseam/zinniaseam/admission"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/routing"
)

// entry is one entry process: admission, routing, retries and hedges.
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
	service   time.Duration
}

// view is what an entry knows of one endpoint.
type view struct {
	load        gate.Load
	at          time.Time
	outstanding int
	sent        []time.Time
}

// sentSince counts the attempts sent after the latest report was made.
func (v *view) sentSince() int { return len(v.sent) }

// take stores a newer report.
func (v *view) take(load gate.Load, at time.Time) {
	if at.Before(v.at) {
		return
	}
	v.load, v.at = load, at
	kept := v.sent[:0]
	for _, sent := range v.sent {
		if sent.After(at) {
			kept = append(kept, sent)
		}
	}
	v.sent = kept
}

// arrive takes one request of a caller.
func (e *entry) arrive(r *request) {
	now := e.fleet.clock.Now()
	if e.admission != nil {
		offer := admission.Request{Team: r.team, Priority: r.priority, Deadline: r.deadline}
		if refusal := e.admission.Offer(now, offer, e.capacity()).Refusal; refusal != nil {
			e.fleet.tally.refused(r, refusal, now)
			return
		}
	}
	e.fleet.clock.After(r.deadline.Sub(now), func() { e.expire(r) })
	e.try(r, nil)
}

// capacity sums up what the entry sees.
func (e *entry) capacity() admission.Capacity {
	c := admission.Capacity{Endpoints: len(e.views), ServiceTime: e.service}
	for i := range e.views {
		v := &e.views[i]
		c.Limit += v.load.Limit
		c.InFlight += min(v.load.Limit, v.load.InFlight+v.sentSince())
		c.Queued += v.load.Queued
		c.QueueCapacity += gate.DefaultQueueCapacity(v.load.Limit)
	}
	return c
}

// try starts the next attempt of a request; last is how the one before ended.
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
		e.refuse(r, last)
		return
	}
	e.start(r, indexes[picked], false)
	e.planHedge(r)
}

// start sends one attempt to an endpoint.
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

// candidates lists the endpoints that the request was not sent to.
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
			ReportedAt: v.at, Outstanding: v.outstanding, SentSinceReport: v.sentSince(),
		})
		indexes = append(indexes, i)
	}
	return candidates, indexes
}

// first records the first token of a request; a slower attempt is not waited for.
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

// ended takes the end of an attempt.
func (e *entry) ended(a *attempt, refusal *core.Refusal, load gate.Load, at time.Time) {
	now := e.fleet.clock.Now()
	r := a.request
	v := &e.views[a.endpoint.index]
	v.outstanding--
	v.take(load, at)
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

// retry asks the retrier what follows a failed attempt.
func (e *entry) retry(r *request, refusal *core.Refusal) {
	decision := e.retrier.Decide(e.fleet.clock.Now(), routing.Attempt{
		Number: r.attempts, Refusal: refusal, Idempotent: true,
		Untried: len(e.views) - len(r.tried), NoCapacity: !e.free(r), Deadline: r.deadline, Expected: e.service / 4,
	})
	if !decision.Retry {
		e.refuse(r, refusal)
		return
	}
	r.firstAt = time.Time{}
	e.fleet.clock.After(decision.After, func() { e.try(r, refusal) })
}

// free reports whether an endpoint with room, to which the request was not sent, is in sight.
func (e *entry) free(r *request) bool {
	for i := range e.views {
		v := &e.views[i]
		if !r.tried[i] && v.load.InFlight+v.load.Queued+v.sentSince() < v.load.Limit {
			return true
		}
	}
	return false
}

// answered settles a request with a whole answer.
func (e *entry) answered(r *request, a *attempt) {
	if r.settled {
		return
	}
	ran := e.fleet.clock.Now().Sub(a.startedAt)
	if e.service == 0 {
		e.service = ran
	}
	e.service += (ran - e.service) / 16
	e.settle(r)
	e.fleet.tally.answered(r, e.fleet.clock.Now())
}

// refuse settles a request with a refusal.
func (e *entry) refuse(r *request, refusal *core.Refusal) {
	e.settle(r)
	e.fleet.tally.refused(r, refusal, e.fleet.clock.Now())
}

// expire settles a request whose caller stopped waiting.
func (e *entry) expire(r *request) {
	if r.settled {
		return
	}
	e.settle(r)
	e.fleet.tally.expired(r)
}

// settle marks the end of a request.
func (e *entry) settle(r *request) {
	r.settled = true
	if e.admission != nil {
		e.admission.Done(r.team)
	}
}

// reported takes a lagged load report.
func (e *entry) reported(index int, load gate.Load, at time.Time) { e.views[index].take(load, at) }

// planHedge starts a second attempt when the first token is slow to come.
func (e *entry) planHedge(r *request) {
	if e.hedger == nil || r.attempts > 1 {
		return
	}
	query := routing.HedgeQuery{Idempotent: true, Untried: len(e.views) - len(r.tried)}
	delay, may := e.hedger.Delay(query)
	if !may {
		return
	}
	e.fleet.clock.After(delay, func() {
		if r.settled || !r.firstAt.IsZero() || r.attempts > 1 {
			return
		}
		candidates, indexes := e.candidates(r)
		routed := routing.Query{Now: e.fleet.clock.Now(), Zone: e.zone, Region: e.region, PrefixHashes: r.hashes}
		picked := e.picker.Pick(routed, candidates)
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
