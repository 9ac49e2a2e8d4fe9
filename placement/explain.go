package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
)

// Obstacle is why an endpoint is not chosen for a request; empty if there is none.
type Obstacle string

// Obstacles, in the order in which they are evaluated.
const (
	// ObstacleNotFollowed means that this process keeps no contact with the engine's agent.
	ObstacleNotFollowed Obstacle = "not_followed"
	// ObstacleLeaving means that the endpoint is about to stop.
	ObstacleLeaving Obstacle = "leaving"
	// ObstacleClosed means that the endpoint has asked for a pause.
	ObstacleClosed Obstacle = "closed_by_itself"
	// ObstacleZoneOut means that its zone is out of service.
	ObstacleZoneOut Obstacle = "zone_out"
	// ObstacleReplaced means that another endpoint has its address.
	ObstacleReplaced Obstacle = "address_taken_over"
	// ObstacleLoading means that the engine is loading weights, ObstacleNoWeights that it has
	// no complete version, ObstacleOldWeights that its version may start no more calls.
	ObstacleLoading    Obstacle = "loading"
	ObstacleNoWeights  Obstacle = "no_weights"
	ObstacleOldWeights Obstacle = "old_weights"
	// ObstacleTried means that the request was sent there before.
	ObstacleTried Obstacle = "tried"
	// ObstacleHomes means that the region may not run the request.
	ObstacleHomes Obstacle = "homes"
	// ObstacleClosesEarly means that the engine loads other weights before the answer would end.
	ObstacleClosesEarly Obstacle = "closes_before_end"
	// ObstaclePathDelay means that the request would arrive after its caller has left.
	ObstaclePathDelay Obstacle = "path_delay"
	// ObstacleBackingOff and ObstacleUnresponsive mean that other endpoints are preferred: calls
	// failed there, or have waited far longer than predicted.
	ObstacleBackingOff   Obstacle = "backing_off"
	ObstacleUnresponsive Obstacle = "unresponsive"
	// ObstacleTooSlow means that the engine is so slow that the answer would end after the deadline.
	ObstacleTooSlow Obstacle = "too_slow"
	// ObstacleRejected means that the endpoint has just rejected a call.
	ObstacleRejected Obstacle = "rejected_a_call"
	// ObstacleNoSlot, ObstacleStartLimit and ObstaclePrefill mean that a limit is reached.
	ObstacleNoSlot     Obstacle = "no_slot"
	ObstacleStartLimit Obstacle = "start_limit"
	ObstaclePrefill    Obstacle = "prefill_limit"
	// ObstacleCallAhead means that a waiting call goes there first.
	ObstacleCallAhead Obstacle = "call_ahead"
)

// unknownAge is the age of a value of which there is none.
const unknownAge = time.Duration(-1)

// Explanation is the decision that Submit would make on a request, with its inputs.
type Explanation struct {
	Verdict Verdict
	// Reason is why the request would be rejected; empty unless Verdict is Reject.
	Reason core.Reason
	// Chosen are the endpoints with the earliest predicted first byte. Submit chooses one of
	// several at random.
	Chosen []fleet.EndpointID
	// Endpoints are all endpoints of the service, in the order of their IDs.
	Endpoints []EndpointExplanation
	// Candidates is the number of endpoints that may run the request now or once they have room.
	Candidates int
	// Ahead is the number of calls of the service ahead in the queue, StartsIn the predicted
	// wait behind them, TimeLeft how long the request may wait.
	Ahead              int
	StartsIn, TimeLeft time.Duration
	// Ranks are the queues of the service by rank, with that of the request.
	Ranks []RankExplanation
	// DisplacedTeam is the team of which a waiting call would be rejected instead of the request,
	// if Displaces is set.
	Displaces     bool
	DisplacedTeam core.TeamID
	// StandingFor is for how long the queue has not been short, if a call would be rejected so that
	// it drains; 0 otherwise.
	StandingFor time.Duration
	// RetryAfterMin and RetryAfterMax bound the time after which a rejection would tell the
	// caller to return. They differ if that time is drawn at random.
	RetryAfterMin, RetryAfterMax time.Duration
	// Zone and Region are those of this process.
	Zone   core.ZoneID
	Region core.RegionID
}

// RankExplanation is the state of the queue of one rank.
type RankExplanation struct {
	Rank           int
	Waiting, Ahead int
	// Draining is set while new calls that would wait are rejected, NotShortFor is for how long
	// no call has found the queue short, negative if that is not tracked.
	Draining    bool
	NotShortFor time.Duration
}

// EndpointExplanation is what decides for or against one endpoint.
type EndpointExplanation struct {
	Endpoint fleet.Endpoint
	Obstacle Obstacle
	// LastResort is set for an endpoint that would be avoided if there were another one.
	LastResort bool
	Chosen     bool
	// Expected is the predicted time to the first byte.
	Expected time.Duration
	// Load is the estimated number of calls, LoadAge the age of the report that it is based on.
	// Ages are negative where there is no report.
	Load    int
	LoadAge time.Duration
	// Granted are the slots that the agent grants to this process, -1 if it does not divide
	// them, and UsedSlots those in use.
	Granted, UsedSlots int
	GrantAge           time.Duration
	PathDelay, PathAge time.Duration
	// Slowdown is how long work takes, 1 being as usual.
	Slowdown    float64
	SlowdownAge time.Duration
	// Weights, NewestWeights and SupersededFor are those of Decision.
	Weights, NewestWeights int64
	SupersededFor          time.Duration
	// StartLimit is the number of calls that may be sent within a second, -1 for no limit, and
	// Starts how many were.
	StartLimit, Starts int
	// PendingPrefill are the prompt tokens of own calls without a first event.
	PendingPrefill int
	// OpensIn is how long the endpoint will be avoided as far as that is known, ClosesIn the time
	// until it loads other weights; 0 if there is none.
	OpensIn, ClosesIn time.Duration
}

// Explain returns the decision that Submit would make on a request now. It changes no later
// decision: the request is not counted as an arrival, joins no queue, takes no time in returns, and
// no random number is drawn. It may only fill caches of the present pass, which the next one
// drops.
func (p *Placer) Explain(now boottime.Instant, request Request) Explanation {
	p.nextPass()
	ticket := &Ticket{Request: request, arrived: now, latestStart: p.latestStart(&request)}
	index := p.position(ticket)
	ahead := p.queue[:index]
	x := Explanation{Zone: p.config.Zone, Region: p.config.Region, Ahead: countOf(ahead, request.Service), TimeLeft: ticket.latestStart.Sub(now)}
	p.explainEndpoints(now, &x, &request, ahead)
	switch {
	case len(x.Chosen) > 0:
		x.Verdict = Place
	case x.Candidates == 0 && !p.mayBecomeEligible(now, ticket):
		x.Verdict, x.Reason = Reject, core.ReasonNoEndpoint
	case ticket.latestStart.Before(now):
		x.Verdict, x.Reason = Reject, core.ReasonOverloaded
	default:
		p.explainQueue(now, &x, ticket, index)
	}
	x.Ranks = p.explainRanks(now, &request, ahead)
	x.StartsIn = p.startsIn(now, &request, x.Ahead)
	x.RetryAfterMin, x.RetryAfterMax = p.explainRetryAfter(now, ticket, x.StartsIn)
	return x
}

// explainQueue evaluates whether a request that cannot be placed would wait.
func (p *Placer) explainQueue(now boottime.Instant, x *Explanation, ticket *Ticket, index int) {
	request := &ticket.Request
	ahead, admitted := p.admits(now, ticket, index)
	x.Ahead = ahead
	var victim *Ticket
	if p.drainsQueues(request.Service) {
		q := p.copyOfQueue(now, queueKey{request.Service, request.Priority})
		if victim = p.drainVictim(now, ticket, &q); victim != nil && (admitted || victim == ticket) {
			x.StandingFor = now.Sub(q.shortAt)
		}
	}
	if !admitted || victim == ticket {
		ticket.decision.StandingFor = x.StandingFor
		x.Verdict, x.Reason = Reject, core.ReasonOverloaded
		return
	}
	x.Verdict = Wait
	if victim == nil {
		return
	}
	x.Displaces, x.DisplacedTeam = true, victim.Request.Team
	x.Ahead = countOf(p.queue[:index], request.Service)
	if slices.Contains(p.queue[:index], victim) {
		x.Ahead--
	}
}

// copyOfQueue returns a copy of the state of a queue, which may be changed.
func (p *Placer) copyOfQueue(now boottime.Instant, key queueKey) standingQueue {
	if q := p.standing[key]; q != nil {
		return *q
	}
	return standingQueue{shortAt: now}
}

func (p *Placer) explainRanks(now boottime.Instant, request *Request, ahead []*Ticket) []RankExplanation {
	ranks := []RankExplanation{{Rank: request.Priority}}
	of := func(rank int) *RankExplanation {
		i := slices.IndexFunc(ranks, func(r RankExplanation) bool { return r.Rank == rank })
		if i < 0 {
			ranks, i = append(ranks, RankExplanation{Rank: rank}), len(ranks)
		}
		return &ranks[i]
	}
	for i, t := range p.queue {
		if t.Request.Service != request.Service {
			continue
		}
		r := of(t.Request.Priority)
		r.Waiting++
		if i < len(ahead) {
			r.Ahead++
		}
	}
	for i := range ranks {
		r := &ranks[i]
		r.NotShortFor = unknownAge
		if q := p.standing[queueKey{request.Service, r.Rank}]; q != nil {
			r.Draining, r.NotShortFor = q.draining, now.Sub(q.shortAt)
		}
	}
	slices.SortFunc(ranks, func(a, b RankExplanation) int { return cmp.Compare(a.Rank, b.Rank) })
	return ranks
}

func (p *Placer) explainRetryAfter(now boottime.Instant, ticket *Ticket, startsIn time.Duration) (least, most time.Duration) {
	all, own := p.startRates(now, &ticket.Request)
	if own == 0 {
		return p.retryWithoutSlots(now, &ticket.Request, 0), p.retryWithoutSlots(now, &ticket.Request, entryInterval-1)
	}
	after, _ := p.nextReturn(now, ticket, startsIn, all)
	return after, after
}

// explainEndpoints evaluates all endpoints of the service as best does.
func (p *Placer) explainEndpoints(now boottime.Instant, x *Explanation, request *Request, ahead []*Ticket) {
	followed := p.byService[request.Service]
	var all []*endpointState
	healthy := 0
	for id, endpoint := range p.view.Endpoints {
		if state := p.endpoints[id]; state != nil && endpoint.Service == request.Service {
			all = append(all, state)
		}
	}
	slices.SortFunc(all, func(a, b *endpointState) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range all {
		row := p.figuresOf(now, e, request)
		switch {
		case !slices.Contains(followed, e):
			row.Obstacle = ObstacleNotFollowed
		default:
			row.Obstacle = p.barrier(now, e, request)
		}
		if row.Obstacle == "" {
			x.Candidates++
			if suspicion(now, e, request) == "" {
				healthy++
			}
		}
		x.Endpoints = append(x.Endpoints, row)
	}
	for i, e := range all {
		row := &x.Endpoints[i]
		if row.Obstacle != "" {
			continue
		}
		if why := suspicion(now, e, request); why != "" {
			row.LastResort = healthy == 0
			if healthy > 0 {
				row.Obstacle = why
				continue
			}
		}
		row.Obstacle = p.shortage(now, e, request, ahead)
	}
	x.choose()
}

// choose marks the endpoints with the earliest predicted first byte among those without an
// obstacle.
func (x *Explanation) choose() {
	earliest := time.Duration(math.MaxInt64)
	for _, row := range x.Endpoints {
		if row.Obstacle == "" {
			earliest = min(earliest, row.Expected)
		}
	}
	for i := range x.Endpoints {
		row := &x.Endpoints[i]
		row.Chosen = row.Obstacle == "" && row.Expected == earliest
		if row.Chosen {
			x.Chosen = append(x.Chosen, row.Endpoint.ID)
		}
	}
}

// barrier returns why an endpoint may not run a request, in the terms of startsCalls and runs.
func (p *Placer) barrier(now boottime.Instant, e *endpointState, request *Request) Obstacle {
	switch {
	case e.leaves():
		return ObstacleLeaving
	case e.closed(now):
		return ObstacleClosed
	case p.view.ZonesOut[e.Zone]:
		return ObstacleZoneOut
	case e.superseded(now):
		return ObstacleReplaced
	case e.profile != nil && e.loading(now):
		return ObstacleLoading
	case e.profile != nil && e.version(now) == 0:
		return ObstacleNoWeights
	case e.profile != nil && p.switchOver(now, e, e.version(now)):
		return ObstacleOldWeights
	case slices.Contains(request.Tried, e.ID):
		return ObstacleTried
	case !e.inHomes(request):
		return ObstacleHomes
	case e.profile != nil && e.closesDuring(now, request):
		return ObstacleClosesEarly
	case e.tooFar(now, request):
		return ObstaclePathDelay
	}
	return ""
}

// suspicion returns why an endpoint is used only if no other may run a request.
func suspicion(now boottime.Instant, e *endpointState, request *Request) Obstacle {
	switch {
	case e.health.backingOff(now):
		return ObstacleBackingOff
	case e.unresponsive(now):
		return ObstacleUnresponsive
	case e.outlasts(now, request):
		return ObstacleTooSlow
	}
	return ""
}

// shortage returns why an endpoint that may run a request has no room for it now, in the terms of
// hasSlot and best.
func (p *Placer) shortage(now boottime.Instant, e *endpointState, request *Request, ahead []*Ticket) Obstacle {
	switch {
	case now.Before(e.closedUntil):
		return ObstacleRejected
	case e.full(now):
		return ObstacleNoSlot
	case p.startLimitReached(now, e):
		return ObstacleStartLimit
	case e.prefillLimitReached(now, request):
		return ObstaclePrefill
	case p.waitedFor(now, e, ahead):
		return ObstacleCallAhead
	}
	return ""
}

// figuresOf returns the inputs of the decision on one endpoint.
func (p *Placer) figuresOf(now boottime.Instant, e *endpointState, request *Request) EndpointExplanation {
	row := EndpointExplanation{
		Endpoint: e.Endpoint, Granted: -1, GrantAge: unknownAge, UsedSlots: e.usedSlots(), PathDelay: e.callDelay(now), PathAge: e.pathAge(now),
		Slowdown: e.speed.now(now), SlowdownAge: ageOf(now, e.speed.at), StartLimit: -1,
	}
	row.Load, row.LoadAge = e.load(now)
	// predictFirstByte divides by the slots.
	if e.Slots > 0 {
		row.Expected = e.predictFirstByte(now, request) + p.distancePenalty(e) + row.PathDelay
	}
	if e.divided(now) {
		row.Granted, row.GrantAge = e.status.Granted, now.Sub(e.status.At)
	}
	if e.profile != nil {
		row.Weights = e.version(now)
		row.NewestWeights, row.SupersededFor = p.supersededFor(now, e, row.Weights)
		row.PendingPrefill = e.pendingPrefill()
	}
	if e.limited() {
		sender := p.senderTo(e.Address)
		row.StartLimit, row.Starts = sender.Limit(now, e.Boot), sender.Used(now)
	}
	row.OpensIn = max(max(e.said.ClosedUntil, e.replacedUntil, e.health.until, e.closedUntil).Sub(now), 0)
	if e.status.ClosesAt != 0 && now.Sub(e.status.At) < statusTTL {
		row.ClosesIn = max(e.status.ClosesAt.Sub(now), 0)
	}
	return row
}

// pathAge returns the age of the newest sample of the path to the endpoint or its region.
func (e *endpointState) pathAge(now boottime.Instant) time.Duration {
	newest := e.path.receivedAt
	if e.regionPath != nil {
		newest = max(newest, e.regionPath.heardAt)
	}
	return ageOf(now, newest)
}

// ageOf returns the age of a value that was received at an instant, unknownAge for 0.
func ageOf(now, at boottime.Instant) time.Duration {
	if at == 0 {
		return unknownAge
	}
	return now.Sub(at)
}
