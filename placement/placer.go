package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/notices"
	"github.com/zinniaseam/zinniaseam/rollout"
	"github.com/zinniaseam/zinniaseam/startquota"
)

// Config configures a Placer.
type Config struct {
	// Name is the name of this process, which differs between gateways.
	Name   string
	Zone   core.ZoneID
	Region core.RegionID
	// ColdOver and ColdSlack bound the calls per second that a cold endpoint may receive
	// from all entries together: its declared cold rate times ColdOver, plus ColdSlack.
	ColdOver, ColdSlack float64
	// VersionSwitch is how long older weights may start work after newer ones were
	// declared.
	VersionSwitch time.Duration
	// Contention is set where calls of different ranks compete for the endpoints, so that the
	// rank decides wherever a call competes for room.
	Contention bool
	// Random is the source of randomness.
	Random *rand.Rand
}

const (
	// maxQueue bounds the waiting calls of one process.
	maxQueue = 512
	// engineQueue is how many calls may queue at an engine beyond its slots: enough to
	// refill a slot immediately when it becomes free.
	engineQueue = 1
	// plainQueue is the same for plain services.
	plainQueue = 2
	// regionCost and zoneCost are added to the predicted first byte of endpoints in
	// another region or zone.
	regionCost = 4 * time.Millisecond
	zoneCost   = 2 * time.Millisecond
	// rejectedBackoff is how long an endpoint is skipped after it rejected a call.
	rejectedBackoff = 100 * time.Millisecond
	// misdirectedBackoff is how long an endpoint is skipped after another endpoint
	// answered at its address. Entries of stopped endpoints remain for up to 3 s.
	misdirectedBackoff = 3 * time.Second
	// minVersionMargin is subtracted from the period in which older weights may start
	// work. A call starts with its first token, which a full engine sends up to 0.4 s
	// after the call was sent. A declaration may be dated up to 0.6 s late, by a
	// suspension too short to be detected and by the tolerance of ages. The margin
	// grows with the slowest recent time to first byte of the service, up to
	// maxVersionMargin, and with the delay of the path to the endpoint.
	minVersionMargin = time.Second
	maxVersionMargin = 2 * time.Second
	// failingMargin is the margin for endpoints whose last call failed or was overdue,
	// where calls may wait on a narrow link for seconds.
	failingMargin = 5 * time.Second
)

// Placer places calls. It is not safe for concurrent use.
type Placer struct {
	config    Config
	view      *fleet.View
	endpoints map[fleet.EndpointID]*endpointState
	byService map[core.ServiceID][]*endpointState
	queue     []*Ticket
	// pass numbers the passes over the queue, from 1. capacities are those of the present one.
	pass       uint64
	capacities map[core.ServiceID]capacity
	// returns are the latest times at which rejected callers of a service were told to return.
	returns map[core.ServiceID]boottime.Instant
	// senders count the calls to each address.
	senders map[string]*startquota.Sender
	// gateways is the largest number of gateways that is known to have run at once, 0 if
	// none is known.
	gateways int
	// declared are the declared versions of each model.
	declared map[string]*rollout.Declarations
	// regionPaths are the newest measured round trips to each other region.
	regionPaths map[core.RegionID]*regionPath
	// arrivals are the arrival rates of each service by priority, slowest its longest recent
	// time to first byte.
	arrivals map[core.ServiceID]map[int]*arrivalRate
	slowest  map[core.ServiceID]*slowest
	// inTouch are the addresses of the engines with whose agents this process keeps in touch.
	inTouch map[string]bool
	// notices are what endpoints have said about themselves.
	notices *notices.Book
	// standing are the queues that may be standing ones, displaced the waiting calls that have
	// been rejected since the last Pump.
	standing  map[queueKey]*standingQueue
	displaced []*Ticket
	// reportsSpeed are the services whose endpoints report how long work takes.
	reportsSpeed map[core.ServiceID]bool
}

// New returns a placer without endpoints.
func New(config Config) *Placer {
	return &Placer{
		config: config, view: fleet.NewView(), endpoints: map[fleet.EndpointID]*endpointState{},
		byService: map[core.ServiceID][]*endpointState{}, returns: map[core.ServiceID]boottime.Instant{}, capacities: map[core.ServiceID]capacity{}, senders: map[string]*startquota.Sender{}, declared: map[string]*rollout.Declarations{},
		arrivals: map[core.ServiceID]map[int]*arrivalRate{}, slowest: map[core.ServiceID]*slowest{},
		notices: notices.NewBook(), standing: map[queueKey]*standingQueue{}, reportsSpeed: map[core.ServiceID]bool{},
		regionPaths: map[core.RegionID]*regionPath{},
	}
}

// SetView replaces the view of the fleet.
func (p *Placer) SetView(now boottime.Instant, view *fleet.View) {
	same := view.SameContent(p.view)
	p.view = view
	if same {
		p.forgetSenders(now)
		p.forgetNotices(now)
		return
	}
	for model, version := range view.Versions {
		at := view.DeclaredAt[model]
		// A process that reads a version without delay has read all versions before it.
		p.declarations(model).Add(rollout.Declaration{Version: version, MadeAt: at.MadeAt, NotBefore: at.NotBefore, Gapless: at.MadeAt != 0})
	}
	for id, known := range p.endpoints {
		if _, still := view.Endpoints[id]; !still && len(known.open) == 0 {
			delete(p.endpoints, id)
		}
	}
	for id, endpoint := range view.Endpoints {
		state := p.endpoints[id]
		if state == nil || state.Boot != endpoint.Boot || state.Address != endpoint.Address {
			state = newEndpointState(endpoint)
			p.endpoints[id] = state
		}
		p.refresh(state, endpoint)
	}
	p.chooseEndpoints()
	p.forgetSenders(now)
	p.forgetNotices(now)
}

func (p *Placer) refresh(state *endpointState, endpoint *fleet.Endpoint) {
	state.Endpoint = *endpoint
	p.setRegionPath(state)
	state.said = p.notices.Lookup(subjectOf(&state.Endpoint))
	if p.view.Deployment == nil {
		return
	}
	backend, known := p.view.Deployment.Services[endpoint.Service]
	if known {
		state.backend, state.profile = &backend, backend.Engine
		state.usesPace = p.usesPace(state)
		p.refreshPlainPermit(state)
	}
}

// UpdateEngine applies a status report of the agent on an engine's VM. When an engine
// becomes unreachable, UpdateEngine returns the calls that wait for their first byte
// there and may run elsewhere. Calls that are being answered continue, since the agent
// may be wrong.
func (p *Placer) UpdateEngine(status EngineStatus) []*Ticket {
	var lost []*Ticket
	for _, state := range p.endpoints {
		if state.Address != status.Address {
			continue
		}
		p.addPathSample(state, &status)
		if status.Unreachable {
			if !state.status.Unreachable {
				lost = append(lost, state.movable()...)
			}
			state.status.Unreachable = true
			continue
		}
		switch {
		case state.Boot != 0 && status.Boot > state.Boot:
			state.replaced = true
		case state.Boot == 0 || state.Boot == status.Boot:
			state.status = status
			state.applyReport(LoadReport{Running: status.Running, Waiting: status.Waiting, At: status.At})
		}
	}
	return lost
}

// UpdateLoad applies a load report of an endpoint.
func (p *Placer) UpdateLoad(id fleet.EndpointID, report LoadReport) {
	if state := p.endpoints[id]; state != nil {
		state.applyReport(report)
		if report.Slowdown > 0 && !p.reportsSpeed[state.Service] {
			p.reportsSpeed[state.Service] = true
			for _, e := range p.byService[state.Service] {
				e.usesPace = p.usesPace(e)
			}
		}
	}
}

// usesPace reports whether the pace that an engine's agent reports is used: for services whose
// standing queues are drained.
func (p *Placer) usesPace(e *endpointState) bool {
	return e.profile != nil && p.drainsQueues(e.Service)
}

// Submit adds a request and either decides on it at once or queues it.
func (p *Placer) Submit(now boottime.Instant, request Request) *Ticket {
	p.nextPass()
	ticket := &Ticket{Request: request, arrived: now, latestStart: p.latestStart(&request)}
	p.arrivalsOf(request.Service, request.Priority).add(now)
	index := p.position(ticket)
	p.decide(now, ticket, p.queue[:index])
	if ticket.decision.Verdict != Wait {
		return ticket
	}
	ahead, admitted := p.admits(now, ticket, index)
	victim := p.turnAway(now, ticket, admitted)
	if !admitted || victim == ticket {
		p.reject(now, ticket, core.ReasonOverloaded, ahead)
		return ticket
	}
	if victim != nil {
		p.displace(now, victim)
		index = p.position(ticket)
		ahead = countOf(p.queue[:index], request.Service)
	}
	ticket.decision.Ahead, ticket.decision.StartsIn = ahead, p.startsIn(now, &request, ahead)
	p.queue = slices.Insert(p.queue, index, ticket)
	return ticket
}

// position returns the index in the queue at which a new call belongs, behind those of the same
// rank.
func (p *Placer) position(ticket *Ticket) int {
	index := slices.IndexFunc(p.queue, func(waiting *Ticket) bool { return compare(waiting, ticket) > 0 })
	if index < 0 {
		return len(p.queue)
	}
	return index
}

// Pump evaluates the waiting requests again and returns those that were placed or
// rejected.
func (p *Placer) Pump(now boottime.Instant) []*Ticket {
	decided := p.displaced
	p.displaced = nil
	if len(p.queue) == 0 {
		return decided
	}
	p.nextPass()
	for _, ticket := range p.queue {
		ticket.latestStart = p.latestStart(&ticket.Request)
	}
	slices.SortStableFunc(p.queue, compare)
	waiting := p.queue[:0]
	for _, ticket := range p.queue {
		p.decide(now, ticket, waiting)
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

// decide evaluates a request that has the given calls ahead of it.
func (p *Placer) decide(now boottime.Instant, ticket *Ticket, ahead []*Ticket) {
	request := &ticket.Request
	ticket.decision = Decision{Verdict: Wait, Waited: now.Sub(ticket.arrived), Ahead: ticket.decision.Ahead, StartsIn: ticket.decision.StartsIn}
	best, expected, candidates := p.best(now, request, ahead)
	ticket.decision.Candidates = candidates
	switch {
	case best != nil:
		p.place(now, ticket, best, expected)
	case candidates == 0 && !p.mayBecomeEligible(now, ticket):
		p.reject(now, ticket, core.ReasonNoEndpoint, countOf(ahead, request.Service))
	case ticket.latestStart.Before(now):
		p.reject(now, ticket, core.ReasonOverloaded, countOf(ahead, request.Service))
	}
}

// place assigns a request to an endpoint.
func (p *Placer) place(now boottime.Instant, ticket *Ticket, e *endpointState, expected time.Duration) {
	calls, age := e.load(now)
	endpoint := e.Endpoint
	ticket.decision.Verdict, ticket.decision.Endpoint = Place, &endpoint
	ticket.decision.Expected, ticket.decision.Load, ticket.decision.LoadAge = expected, calls, age
	ticket.decision.PathDelay = e.callDelay(now)
	if e.profile != nil {
		ticket.decision.Weights = e.version(now)
		ticket.decision.NewestWeights, ticket.decision.SupersededFor = p.supersededFor(now, e, ticket.decision.Weights)
	}
	ticket.decision.ViewAge, ticket.decision.Unregistered = now.Sub(p.view.ConfirmedAt), e.Unregistered
	p.recordLimits(now, ticket, e)
	ticket.endpoint, ticket.sentAt = e, now
	e.open[ticket] = struct{}{}
	e.sentSince++
	p.countPlaced(ticket, e)
	p.forgetFacts(e)
}

// recordLimits records in a ticket's decision which limits allowed it.
func (p *Placer) recordLimits(now boottime.Instant, ticket *Ticket, e *endpointState) {
	d := &ticket.decision
	d.StartLimit, d.Starts, d.Granted, d.GrantAge = -1, 0, -1, 0
	if e.limited() {
		s := p.senderTo(e.Address)
		d.StartLimit, d.Starts = s.Limit(now, e.Boot), s.Used(now)
	}
	if e.divided(now) {
		d.Granted, d.GrantAge = e.status.Granted, now.Sub(e.status.At)
	}
}
