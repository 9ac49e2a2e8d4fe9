package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
)

// Config configures a Placer.
type Config struct {
	Zone   core.ZoneID
	Region core.RegionID
	// ColdOver and ColdSlack bound what a cold endpoint may get in a second over
	// all entries: its declared rate times ColdOver, plus ColdSlack.
	ColdOver, ColdSlack float64
	// ColdShare is the part of that bound that this process may use.
	ColdShare float64
	// VersionSwitch is how long older weights may begin work after newer ones were declared.
	VersionSwitch time.Duration
	// Random is the source of chance.
	Random *rand.Rand
}

const (
	// queueBound bounds the waiting calls of one process.
	queueBound = 512
	// engineQueue is how many calls may wait at an engine beyond its slots: enough
	// that a slot is filled at once when it becomes free.
	engineQueue = 1
	// plainQueue is the same for plain services.
	plainQueue = 2
	// regionCost and zoneCost are added to the prediction for endpoints elsewhere.
	regionCost = 4 * time.Millisecond
	zoneCost   = 2 * time.Millisecond
	// refusedFor is how long an endpoint is passed over that refused a call.
	refusedFor = 100 * time.Millisecond
	// versionMargin is kept from the time in which older weights may begin work: a
	// call begins with its first token, which a full engine writes up to 1.2 s after
	// the call was sent.
	versionMargin = 1500 * time.Millisecond
	// doubtfulMargin is the same for endpoints that fail or do not respond: calls
	// may wait on a narrow link for seconds.
	doubtfulMargin = 5 * time.Second
)

// Placer places calls. It is not safe for concurrent use.
type Placer struct {
	config    Config
	view      *fleet.View
	endpoints map[fleet.EndpointID]*endpointState
	byService map[core.ServiceID][]*endpointState
	queue     []*Ticket
	// declared are the weights of each model, in the order in which this process
	// learned of them.
	declared map[string][]declaredVersion
}

type declaredVersion struct {
	version int64
	since   boottime.Instant
}

// New returns a placer that knows no endpoint.
func New(config Config) *Placer {
	return &Placer{
		config: config, view: fleet.NewView(), endpoints: map[fleet.EndpointID]*endpointState{},
		byService: map[core.ServiceID][]*endpointState{}, declared: map[string][]declaredVersion{},
	}
}

// SetView takes new beliefs.
func (p *Placer) SetView(now boottime.Instant, view *fleet.View) {
	first := p.view.Deployment == nil
	p.view = view
	for model, version := range view.Versions {
		if known := p.declared[model]; len(known) == 0 || version > known[len(known)-1].version {
			since := now
			if first {
				// Nobody knows how long ago it was declared.
				since = now.Add(-p.config.VersionSwitch)
			}
			p.declared[model] = append(known, declaredVersion{version: version, since: since})
		}
	}
	for id, known := range p.endpoints {
		if _, still := view.Endpoints[id]; !still && len(known.open) == 0 {
			delete(p.endpoints, id)
		}
	}
	p.byService = map[core.ServiceID][]*endpointState{}
	for id, endpoint := range view.Endpoints {
		state := p.endpoints[id]
		if state == nil || state.Boot != endpoint.Boot || state.Address != endpoint.Address {
			state = newEndpointState(endpoint)
			p.endpoints[id] = state
		}
		p.refresh(now, state, endpoint)
		p.byService[endpoint.Service] = append(p.byService[endpoint.Service], state)
	}
	for _, list := range p.byService {
		slices.SortFunc(list, func(a, b *endpointState) int { return cmp.Compare(a.ID, b.ID) })
	}
}

func (p *Placer) refresh(now boottime.Instant, state *endpointState, endpoint *fleet.Endpoint) {
	state.Endpoint = *endpoint
	state.coldUntil = endpoint.SeenAt.Add(endpoint.ColdFor)
	if p.view.Deployment == nil {
		return
	}
	backend, known := p.view.Deployment.Services[endpoint.Service]
	if known {
		state.backend, state.profile = &backend, backend.Engine
	}
}

// EngineNews takes what the agent beside an engine said. It returns the calls
// that wait for an engine which has just become unreachable and may run
// elsewhere. Those that are being answered go on: the agent may be wrong.
func (p *Placer) EngineNews(news EngineNews) []*Ticket {
	var lost []*Ticket
	for _, state := range p.endpoints {
		if state.Address != news.Address {
			continue
		}
		if news.Unreachable {
			if !state.news.Unreachable {
				lost = append(lost, state.movable()...)
			}
			state.news.Unreachable = true
			continue
		}
		if state.Boot == 0 || state.Boot == news.Boot {
			state.news = news
			state.takeReport(Report{Running: news.Running, Waiting: news.Waiting, At: news.At})
		}
	}
	return lost
}

// Report takes what an endpoint said of its load.
func (p *Placer) Report(id fleet.EndpointID, report Report) {
	if state := p.endpoints[id]; state != nil {
		state.takeReport(report)
	}
}

// Submit takes a request and decides on it at once, or lets it wait.
func (p *Placer) Submit(now boottime.Instant, request Request) *Ticket {
	ticket := &Ticket{Request: request, arrived: now}
	p.decide(now, ticket)
	if ticket.decision.Verdict == Wait {
		if len(p.queue) >= queueBound {
			p.reject(now, ticket, core.ReasonOverloaded)
			return ticket
		}
		p.queue = append(p.queue, ticket)
	}
	return ticket
}

// Pump decides anew on the waiting requests and returns those with a verdict.
func (p *Placer) Pump(now boottime.Instant) []*Ticket {
	if len(p.queue) == 0 {
		return nil
	}
	slices.SortStableFunc(p.queue, func(a, b *Ticket) int { return p.compare(now, a, b) })
	var decided []*Ticket
	waiting := p.queue[:0]
	for _, ticket := range p.queue {
		p.decide(now, ticket)
		if ticket.decision.Verdict == Wait {
			waiting = append(waiting, ticket)
			continue
		}
		decided = append(decided, ticket)
	}
	clear(p.queue[len(waiting):])
	p.queue = waiting
	return decided
}

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

// decide sets the verdict on a request.
func (p *Placer) decide(now boottime.Instant, ticket *Ticket) {
	request := &ticket.Request
	ticket.decision = Decision{Verdict: Wait, Waited: now.Sub(ticket.arrived)}
	best, expected, able := p.best(now, request)
	ticket.decision.Candidates = able
	switch {
	case best != nil:
		p.place(now, ticket, best, expected)
	case able == 0 && !p.mayCome(request):
		p.reject(now, ticket, core.ReasonNoEndpoint)
	case p.hopeless(now, ticket):
		p.reject(now, ticket, core.ReasonOverloaded)
	}
}

// best returns the endpoint with room that is expected to answer first, and how
// many may run the request at all. Endpoints that fail or do not respond are
// used only when no other may run it, even if that has no room now.
func (p *Placer) best(now boottime.Instant, request *Request) (*endpointState, time.Duration, int) {
	var sound, doubtful choice
	able, healthy := 0, 0
	for _, e := range p.byService[request.Service] {
		if !p.may(now, e, request) {
			continue
		}
		able++
		of := &doubtful
		if !e.health.avoided(now) && !e.unresponsive(now) {
			healthy++
			of = &sound
		}
		if p.hasRoom(now, e) {
			of.offer(e, e.expect(now, request)+p.distance(e), p.config.Random)
		}
	}
	if healthy > 0 {
		return sound.endpoint, sound.expected, able
	}
	return doubtful.endpoint, doubtful.expected, able
}

// choice is the endpoint that is expected to answer first of those offered.
type choice struct {
	endpoint *endpointState
	expected time.Duration
}

// offer takes an endpoint that is better than the present one; chance decides
// between equal ones.
func (c *choice) offer(e *endpointState, expected time.Duration, random *rand.Rand) {
	if c.endpoint == nil || expected < c.expected || expected == c.expected && random.IntN(2) == 0 {
		c.endpoint, c.expected = e, expected
	}
}

func (p *Placer) distance(e *endpointState) time.Duration {
	switch {
	case e.Zone == p.config.Zone:
		return 0
	case e.Region == p.config.Region:
		return zoneCost
	default:
		return regionCost
	}
}

// may reports whether the rules let an endpoint run a request.
func (p *Placer) may(now boottime.Instant, e *endpointState, request *Request) bool {
	if e.Draining || p.view.ZonesOut[e.Zone] || slices.Contains(request.Tried, e.ID) {
		return false
	}
	for _, homes := range request.Homes {
		if len(homes) > 0 && !slices.Contains(homes, e.Region) {
			return false
		}
	}
	return e.profile == nil || p.servable(now, e)
}

// servable reports whether an engine holds weights that may begin work.
func (p *Placer) servable(now boottime.Instant, e *endpointState) bool {
	held := e.version(now)
	if held == 0 || e.loading(now) {
		return false
	}
	margin := versionMargin
	if e.health.doubtful() {
		margin = doubtfulMargin
	}
	for _, model := range e.profile.Models {
		for _, declared := range p.declared[model] {
			if held < declared.version && now.Sub(declared.since) > p.config.VersionSwitch-margin {
				return false
			}
		}
	}
	return true
}

func (p *Placer) hasRoom(now boottime.Instant, e *endpointState) bool {
	if now.Before(e.closedUntil) {
		return false
	}
	calls, _ := e.load(now)
	extra := plainQueue
	if e.profile != nil {
		extra = engineQueue
	}
	if calls >= e.Slots+extra {
		return false
	}
	return !p.coldFull(now, e)
}

// coldFull reports whether a cold endpoint had this process's share of calls in
// the last second.
func (p *Placer) coldFull(now boottime.Instant, e *endpointState) bool {
	if e.backend == nil || e.backend.ColdRate <= 0 {
		return false
	}
	bound := (e.backend.ColdRate*p.config.ColdOver + p.config.ColdSlack) * p.config.ColdShare
	return e.cold.count(now) >= max(int(bound), 1)
}

// mayCome reports whether an endpoint that can't run the request now may do so soon.
func (p *Placer) mayCome(request *Request) bool {
	for _, e := range p.byService[request.Service] {
		if !slices.Contains(request.Tried, e.ID) && !e.Draining && !p.view.ZonesOut[e.Zone] {
			return true
		}
	}
	return false
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

func (p *Placer) place(now boottime.Instant, ticket *Ticket, e *endpointState, expected time.Duration) {
	calls, age := e.load(now)
	endpoint := e.Endpoint
	ticket.decision.Verdict, ticket.decision.Endpoint = Place, &endpoint
	ticket.decision.Expected, ticket.decision.Load, ticket.decision.LoadAge = expected, calls, age
	ticket.endpoint, ticket.sentAt = e, now
	e.open[ticket] = struct{}{}
	e.sentSince++
	e.cold.add(now)
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

// maxSlowShare is the share of a service's endpoints up to which calls are moved
// away from those that do not respond. Beyond it the load is too high, not an
// endpoint slow, and moved calls would only add to it.
const maxSlowShare = 0.25

// Overdue returns the calls that are better moved to another endpoint.
//
// Load pattern answered: one endpoint hangs, or weights fill its narrow link,
// while the others have room; its callers would leave before their first event.
func (p *Placer) Overdue(now boottime.Instant) []*Ticket {
	var overdue []*Ticket
	for _, list := range p.byService {
		slow := 0
		var tickets []*Ticket
		for _, e := range list {
			before := len(tickets)
			for ticket := range e.open {
				if ticket.Request.MayMove && ticket.overdue(now) {
					tickets = append(tickets, ticket)
				}
			}
			if len(tickets) > before {
				slow++
			}
		}
		if float64(slow) <= maxSlowShare*float64(len(list)) {
			overdue = append(overdue, tickets...)
		}
	}
	return slices.DeleteFunc(overdue, func(t *Ticket) bool { return !p.hasOther(now, t) })
}

// hasOther reports whether an endpoint with room, that responds, may take a call
// from the one that it runs at.
func (p *Placer) hasOther(now boottime.Instant, ticket *Ticket) bool {
	request := ticket.Request
	return slices.ContainsFunc(p.byService[request.Service], func(e *endpointState) bool {
		return e != ticket.endpoint && p.may(now, e, &request) && p.hasRoom(now, e) && !e.health.avoided(now) && !e.unresponsive(now)
	})
}

// Started says that the first byte of an answer has come.
func (p *Placer) Started(ticket *Ticket) { ticket.started = true }

// Ending is how a call at an endpoint ended.
type Ending uint8

// Endings.
const (
	// EndAnswered means that the endpoint answered whole.
	EndAnswered Ending = iota
	// EndRefused means that the endpoint was full and did not run the call.
	EndRefused
	// EndFailed means that the endpoint failed the call, or did not answer.
	EndFailed
	// EndLeft means that the caller left or its time was over.
	EndLeft
	// EndOverdue means that the call was moved because its first byte did not come.
	EndOverdue
	// EndMisdirected means that another endpoint has the address, or other weights.
	EndMisdirected
)

// Ended says that a placed call does not run at its endpoint any more.
func (p *Placer) Ended(now boottime.Instant, ticket *Ticket, ending Ending) {
	e := ticket.endpoint
	if e == nil {
		return
	}
	ticket.endpoint = nil
	delete(e.open, ticket)
	e.endedSince++
	switch ending {
	case EndAnswered:
		e.health.answered()
		e.learn(now.Sub(ticket.sentAt))
	case EndRefused, EndMisdirected:
		e.closedUntil = now.Add(refusedFor)
	case EndFailed:
		e.health.failed(now)
	case EndOverdue:
		e.health.overdue(now)
	case EndLeft:
	}
}

// Cancel takes a waiting request out of the queue.
func (p *Placer) Cancel(ticket *Ticket) {
	p.queue = slices.DeleteFunc(p.queue, func(t *Ticket) bool { return t == ticket })
}

// Waiting returns how many requests wait.
func (p *Placer) Waiting() int { return len(p.queue) }
