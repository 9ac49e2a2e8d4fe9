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
	// misdirectedFor is how long an endpoint is passed over when another one answered
	// at its address: entries of endpoints that are gone last up to 3 s.
	misdirectedFor = 3 * time.Second
	// leastVersionMargin is kept from the time in which older weights may begin work:
	// a call begins with its first token, which a full engine writes up to 0.4 s
	// after the call was sent, and a declaration is known up to 0.2 s late. The
	// margin grows with the slowest first token of the service in the last seconds,
	// up to maxVersionMargin.
	leastVersionMargin = time.Second
	maxVersionMargin   = 2 * time.Second
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
	// demand is what comes for each service, slowest its longest time to a first byte.
	demand  map[core.ServiceID]*demand
	slowest map[core.ServiceID]*slowest
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
		demand: map[core.ServiceID]*demand{}, slowest: map[core.ServiceID]*slowest{},
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

// UpdateEngine takes what the agent beside an engine said. It returns the calls
// that wait for an engine which has just become unreachable and may run
// elsewhere. Those that are being answered go on: the agent may be wrong.
func (p *Placer) UpdateEngine(news EngineStatus) []*Ticket {
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
		switch {
		case state.Boot != 0 && news.Boot > state.Boot:
			state.replaced = true
		case state.Boot == 0 || state.Boot == news.Boot:
			state.news = news
			state.takeReport(LoadReport{Running: news.Running, Waiting: news.Waiting, At: news.At})
		}
	}
	return lost
}

// UpdateLoad takes what an endpoint said of its load.
func (p *Placer) UpdateLoad(id fleet.EndpointID, report LoadReport) {
	if state := p.endpoints[id]; state != nil {
		state.takeReport(report)
	}
}

// Submit takes a request and decides on it at once, or lets it wait.
func (p *Placer) Submit(now boottime.Instant, request Request) *Ticket {
	ticket := &Ticket{Request: request, arrived: now}
	p.demandFor(request.Service).add(now)
	p.decide(now, ticket, p.waitingOnTime(now, request.Service))
	if ticket.decision.Verdict == Wait {
		if len(p.queue) >= queueBound {
			p.reject(now, ticket, core.ReasonOverloaded)
			return ticket
		}
		p.queue = append(p.queue, ticket)
	}
	return ticket
}

// waitingOnTime counts the waiting calls of a service that can be on time.
func (p *Placer) waitingOnTime(now boottime.Instant, service core.ServiceID) int {
	count := 0
	for _, ticket := range p.queue {
		if ticket.Request.Service == service && p.classOf(now, ticket) == classOnTime {
			count++
		}
	}
	return count
}

// Pump decides anew on the waiting requests and returns those with a verdict.
func (p *Placer) Pump(now boottime.Instant) []*Ticket {
	if len(p.queue) == 0 {
		return nil
	}
	slices.SortStableFunc(p.queue, func(a, b *Ticket) int { return p.compare(now, a, b) })
	var decided []*Ticket
	ahead := map[core.ServiceID]int{}
	waiting := p.queue[:0]
	for _, ticket := range p.queue {
		service := ticket.Request.Service
		p.decide(now, ticket, ahead[service])
		if ticket.decision.Verdict == Wait {
			waiting = append(waiting, ticket)
			ahead[service]++
			continue
		}
		decided = append(decided, ticket)
	}
	clear(p.queue[len(waiting):])
	p.queue = waiting
	return decided
}

// decide sets the verdict on a request that has so many calls ahead of it.
func (p *Placer) decide(now boottime.Instant, ticket *Ticket, ahead int) {
	request := &ticket.Request
	ticket.decision = Decision{Verdict: Wait, Waited: now.Sub(ticket.arrived)}
	best, expected, able := p.best(now, request)
	ticket.decision.Candidates = able
	switch {
	case best != nil && (best.profile == nil || !p.reserved(now, ticket)):
		p.place(now, ticket, best, expected)
	case able == 0 && !p.mayCome(request):
		p.reject(now, ticket, core.ReasonNoEndpoint)
	case p.hopeless(now, ticket, ahead):
		p.reject(now, ticket, core.ReasonOverloaded)
	}
}

// place has a request run at an endpoint.
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
