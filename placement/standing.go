package placement

import (
	"math"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// minDrainInterval and maxDrainInterval bound the time after which a queue that was never
	// short counts as standing.
	minDrainInterval = 300 * time.Millisecond
	maxDrainInterval = 2 * time.Second
	// successionIntervals is for how many intervals after the end of an episode a further one
	// counts as its successor.
	successionIntervals = 4
)

// queueKey identifies the waiting calls of one service and rank. Ranks are kept apart, since
// calls of a higher rank start without a wait while those of a lower one stand.
type queueKey struct {
	service core.ServiceID
	rank    int
}

// standingQueue tracks whether the waiting calls of one service and rank are a standing queue:
// one that is never short, so that every call waits and none is answered that would not be
// answered otherwise.
//
// Load pattern: endpoints are lost for some seconds and return, or a burst ends, and arrivals
// are at the capacity from then on. The queue that has grown meanwhile stays as long as
// arrivals equal departures: each caller waits for the whole queue. Once the queue has run
// empty, the same number of callers is answered with hardly any wait.
type standingQueue struct {
	// shortAt is when a new call last found the queue empty, or the process without slots.
	shortAt boottime.Instant
	// draining is set from when the queue counts as standing until it is short again. Calls
	// that would wait are rejected meanwhile.
	draining bool
	// episodes is the number of episodes in succession, endedAt when the last one ended.
	episodes int
	endedAt  boottime.Instant
}

// short records that the queue is short, which ends an episode.
func (q *standingQueue) short(now boottime.Instant) {
	if q.draining {
		q.draining, q.endedAt = false, now
	}
	q.shortAt = now
}

// update reports whether the queue drains, given the interval after which a queue counts as
// standing. Under lasting overload the queue grows again after each episode; the interval
// becomes shorter with each, so that the wait does not grow to its full length every time.
func (q *standingQueue) update(now boottime.Instant, interval time.Duration) bool {
	if q.draining {
		return true
	}
	if now.Sub(q.endedAt) > successionIntervals*interval {
		q.episodes = 0
	}
	if now.Sub(q.shortAt) < time.Duration(float64(interval)/math.Sqrt(float64(q.episodes+1))) {
		return false
	}
	q.draining = true
	q.episodes++
	return true
}

// drainsQueues reports whether standing queues of a service are drained: where calls compete by
// rank, and where endpoints share their machines, so that their capacity varies.
func (p *Placer) drainsQueues(service core.ServiceID) bool {
	return p.config.Contention || p.reportsSpeed[service]
}

func (p *Placer) queueOf(now boottime.Instant, request *Request) *standingQueue {
	key := queueKey{request.Service, request.Priority}
	q := p.standing[key]
	if q == nil {
		q = &standingQueue{shortAt: now}
		p.standing[key] = q
	}
	return q
}

// drainInterval is the mean duration of a call: slots turn over once in that time, so that a
// burst which free slots absorb is no standing queue.
func (p *Placer) drainInterval(service core.ServiceID) time.Duration {
	return min(max(meanCallTime(p.byService[service]), minDrainInterval), maxDrainInterval)
}

// turnAway returns the call that is rejected so that a standing queue drains, nil if none is: a
// new call that would have to wait or, if another team has more calls waiting than its own, the
// last of those. A call that has been sent or answered in part is not rejected. admitted is set if
// the new call is not rejected for another reason; otherwise no waiting call is.
func (p *Placer) turnAway(now boottime.Instant, ticket *Ticket, admitted bool) *Ticket {
	request := &ticket.Request
	if !p.drainsQueues(request.Service) {
		return nil
	}
	q := p.queueOf(now, request)
	victim := p.drainVictim(now, ticket, q)
	if victim == nil || victim != ticket && !admitted {
		return nil
	}
	victim.decision.StandingFor = now.Sub(q.shortAt)
	return victim
}

// drainVictim is turnAway with the state of the queue. It changes that state only.
func (p *Placer) drainVictim(now boottime.Instant, ticket *Ticket, q *standingQueue) *Ticket {
	request := &ticket.Request
	byTeam := map[core.TeamID]int{}
	waiting := 0
	for _, t := range p.queue {
		if t.Request.Service != request.Service || t.Request.Priority != request.Priority {
			continue
		}
		byTeam[t.Request.Team]++
		if !t.Request.restricted() { // others may wait for a region without capacity
			waiting++
		}
	}
	// While no endpoint may start calls, an empty queue shows that callers have left. Calls that
	// wait for the first slot of this process are served when it comes.
	if p.startsCallsOf(now, request.Service) && (waiting == 0 || !p.capacityOf(now, request.Service).granted) {
		q.short(now)
	}
	if !q.update(now, p.drainInterval(request.Service)) || !request.mayBeTurnedAway() {
		return nil
	}
	victim, most := ticket, byTeam[request.Team]+1
	for _, t := range p.queue {
		if t.Request.Service == request.Service && t.Request.Priority == request.Priority && t.Request.mayBeTurnedAway() && byTeam[t.Request.Team] > most {
			victim = t
		}
	}
	return victim
}

// startsCallsOf reports whether an endpoint of a service may start calls.
func (p *Placer) startsCallsOf(now boottime.Instant, service core.ServiceID) bool {
	return slices.ContainsFunc(p.byService[service], func(e *endpointState) bool { return p.factsOf(now, e).permitted })
}

// mayBeTurnedAway reports whether a call has neither been sent nor answered in part.
func (r *Request) mayBeTurnedAway() bool { return !r.Continues && len(r.Tried) == 0 }

// displace rejects a waiting call in favor of one that has just arrived. Pump returns it.
func (p *Placer) displace(now boottime.Instant, ticket *Ticket) {
	p.Cancel(ticket)
	ticket.decision.Waited = now.Sub(ticket.arrived)
	p.reject(now, ticket, core.ReasonOverloaded, countOf(p.queue, ticket.Request.Service))
	p.displaced = append(p.displaced, ticket)
}
