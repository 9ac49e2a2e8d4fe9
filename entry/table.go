package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/admission"
	"github.com/zinniaseam/zinniaseam/claims"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/routing"
)

// failureHold is how long a home that could not be reached is passed over.
const failureHold = 2 * time.Second

// choice is the endpoint of one attempt.
type choice struct {
	id   core.VMID
	addr string
	// version is what the endpoint last reported as loaded.
	version string
}

// usage is what this entry knows of one endpoint beyond its reports.
type usage struct {
	outstanding int
	sentSince   int
	load        *peerpb.EndpointLoad
	loadAt      time.Time
	failedAt    time.Time
	cache       cacheCursor
}

// EndpointTable chooses endpoints. It is safe for concurrent use.
type EndpointTable struct {
	node *node.Node

	mu      sync.Mutex
	picker  routing.Picker
	random  *rand.Rand
	usage   map[core.VMID]*usage
	budget  *routing.Budget
	retrier *routing.Retrier
	// cacheNews says whether the engines' prefix caches are followed.
	cacheNews CacheNews
	// hedgers learn the times to the first token of each pool or service.
	hedging routing.HedgeConfig
	hedgers map[target]*routing.Hedger
	index   *endpointIndex
	// fit and described are used again by each choice.
	fit       []*listed
	described []routing.Candidate

	admission    *admission.Controller
	serviceTimes serviceTimes
}

// NewEndpointTable returns a table of the endpoints that n hears of; construct builds its picker.
func NewEndpointTable(n *node.Node, construct routing.Factory, hedging routing.HedgeConfig, cacheNews CacheNews) *EndpointTable {
	random := rand.New(rand.NewPCG(n.Incarnation, 2))
	budget := routing.NewBudget(routing.BudgetConfig{})
	table := &EndpointTable{
		node: n, picker: construct(random), random: random, usage: map[core.VMID]*usage{},
		budget: budget, retrier: routing.NewRetrier(routing.RetryConfig{MaxAttempts: MaxAttempts}, budget, random),
		cacheNews: cacheNews, hedging: hedging, hedgers: map[target]*routing.Hedger{},
		index: newEndpointIndex(n.Zone, random.Uint64()), admission: admission.New(admission.Config{}, random), serviceTimes: serviceTimes{},
	}
	n.OnChange(table.setTeams)
	n.WatchEndpoints(table)
	return table
}

// EndpointUpdated implements membership.Observer.
func (t *EndpointTable) EndpointUpdated(endpoint membership.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.index.heard(endpoint)
	if l.use == nil {
		l.use = t.usage[l.id]
	}
}

// EndpointRemoved implements membership.Observer.
func (t *EndpointTable) EndpointRemoved(id core.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.index.forgotten(id)
}

// group returns the endpoints of the call's target that may take new work now.
func (t *EndpointTable) group(call *Call, now time.Time) *group {
	return t.index.of(call.target(), now, t.node.View())
}

// choose picks the endpoint for the next attempt of call.
func (t *EndpointTable) choose(call *Call, state *progress) (choice, *core.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	g := t.group(call, now)
	if g == nil || !slices.ContainsFunc(g.usable, state.fits) {
		if state.last != nil {
			return choice{}, state.last
		}
		return choice{}, core.NotRun(core.ReasonNoEndpoint, t.spreadLocked(defaultRetryAfter), "no endpoint takes the call now")
	}
	if call.Service != "" && !call.Idempotent {
		return t.home(call, state, g), nil
	}
	fit := t.fitting(g, state)
	index := t.picker.Pick(t.query(call, now), t.candidates(fit))
	if index < 0 {
		return choice{}, core.NotRun(core.ReasonOverloaded, t.spreadLocked(defaultRetryAfter), "every endpoint is busy")
	}
	return choiceOf(fit[index].state), nil
}

func (t *EndpointTable) query(call *Call, now time.Time) routing.Query {
	return routing.Query{Now: now, Zone: t.node.Zone, Region: t.node.Region, Priority: call.Priority, PrefixHashes: call.PrefixHashes}
}

func choiceOf(state *peerpb.EndpointState) choice {
	return choice{id: core.VMID(state.GetVm()), addr: state.GetPeerAddr(), version: state.GetLoadedVersion()}
}

// fits reports whether the request may still be sent to the endpoint.
func (s *progress) fits(l *listed) bool {
	return !s.tried[l.id] && (s.version == "" || s.version == l.state.GetLoadedVersion())
}

// fitting lists the endpoints for the next attempt: of those near, else of all;
// without those whose connection failed and that have not reported since, unless
// no other is left. The list is valid until the next call.
func (t *EndpointTable) fitting(g *group, state *progress) []*listed {
	t.fit = appendFitting(t.fit[:0], g.near, state, true)
	if len(t.fit) == 0 {
		t.fit = appendFitting(t.fit, g.usable, state, true)
	}
	if len(t.fit) == 0 {
		t.fit = appendFitting(t.fit, g.usable, state, false)
	}
	return t.fit
}

func appendFitting(fit, from []*listed, state *progress, sound bool) []*listed {
	for _, l := range from {
		if state.fits(l) && (!sound || !l.suspect()) {
			fit = append(fit, l)
		}
	}
	return fit
}

// suspect reports whether a connection to the endpoint failed and it has not reported since.
func (l *listed) suspect() bool { return l.use != nil && !l.use.failedAt.Before(l.heard) }

// home picks the endpoint that owns the call's key: the one an endpoint named,
// else the one that every entry computes from the live endpoints.
func (t *EndpointTable) home(call *Call, state *progress, g *group) choice {
	now := time.Now()
	fit := appendFitting(nil, g.usable, state, true)
	if len(fit) == 0 {
		fit = appendFitting(nil, g.usable, state, false)
	}
	live := make([]core.VMID, 0, len(fit))
	for _, l := range fit {
		if l.id == state.home {
			return choiceOf(l.state)
		}
		if l.use == nil || now.Sub(l.use.failedAt) > failureHold {
			live = append(live, l.id)
		}
	}
	// The named home may have started so lately that no report of it is here yet.
	if vm, known := t.node.View().VMs[state.home]; known && vm.Service == call.Service && vm.State == core.VMLive && !state.tried[vm.ID] {
		return choice{id: vm.ID, addr: vm.PeerAddr}
	}
	if len(live) == 0 {
		return choiceOf(fit[0].state)
	}
	return choiceOf(t.index.all[claims.Home(call.Service, call.IdempotencyKey, live)].state)
}

// candidates describes the endpoints to the picker. The list is valid until the next call.
func (t *EndpointTable) candidates(fit []*listed) []routing.Candidate {
	t.described = t.described[:0]
	for _, l := range fit {
		t.described = append(t.described, l.candidate())
	}
	return t.described
}

// candidate describes the endpoint by the newest load known.
func (l *listed) candidate() routing.Candidate {
	s := l.state
	c := routing.Candidate{
		ID: l.id, Zone: core.ZoneID(s.GetZone()), Region: core.RegionID(s.GetRegion()), Version: core.VersionID(s.GetLoadedVersion()),
	}
	load, at := s.GetLoad(), l.heard
	if u := l.use; u != nil {
		c.Outstanding, c.SentSinceReport = u.outstanding, min(u.sentSince, u.outstanding)
		if u.load != nil && u.loadAt.After(at) {
			load, at = u.load, u.loadAt
		}
	}
	c.ReportedInFlight = int(load.GetInFlight())
	c.ReportedQueued = int(load.GetQueued())
	c.ReportedLimit = int(load.GetLimit())
	c.ReportedAt = at
	return c
}

func (t *EndpointTable) of(id core.VMID) *usage {
	u := t.usage[id]
	if u == nil {
		if len(t.usage) >= membership.MaxEndpoints {
			t.forgetIdle()
		}
		u = &usage{}
		t.usage[id] = u
		if l := t.index.all[id]; l != nil {
			l.use = u
		}
	}
	return u
}

func (t *EndpointTable) forgetIdle() {
	for id, u := range t.usage {
		if u.outstanding == 0 {
			delete(t.usage, id)
			if l := t.index.all[id]; l != nil {
				l.use = nil
			}
		}
	}
}

func (t *EndpointTable) sent(id core.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.of(id)
	u.outstanding++
	u.sentSince++
}

func (t *EndpointTable) ended(id core.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(id).outstanding--
}

// answered learns from a whole answer; firstToken is 0 when it had no data.
func (t *EndpointTable) answered(call *Call, id core.VMID, firstToken time.Duration, end *peerpb.CallEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.takeLoad(id, now, end.GetLoad())
	t.takeCache(id, now, end.GetCache())
	t.picker.Answered(now, id, call.PrefixHashes, firstToken)
	t.budget.Answered(now)
	if call.Idempotent && firstToken > 0 {
		t.hedger(call).Answered(now, firstToken)
	}
}

func (t *EndpointTable) refused(id core.VMID, load *peerpb.EndpointLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.takeLoad(id, now, load)
	t.picker.Failed(now, id)
}

func (t *EndpointTable) takeLoad(id core.VMID, now time.Time, load *peerpb.EndpointLoad) {
	if load == nil {
		return
	}
	u := t.of(id)
	u.load, u.loadAt, u.sentSince = load, now, 0
}

func (t *EndpointTable) failed(id core.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.of(id).failedAt = now
	t.picker.Failed(now, id)
}

// decide asks the retry policy about an attempt that ended with refusal.
func (t *EndpointTable) decide(call *Call, state *progress, refusal *core.Refusal) routing.RetryDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var untried []*listed
	if g := t.group(call, now); g != nil {
		untried = t.fitting(g, state)
	}
	return t.retrier.Decide(now, routing.Attempt{
		Number: int(state.attempt), Refusal: refusal, Idempotent: call.Idempotent, Untried: len(untried),
		NoCapacity: refusal.Reason == core.ReasonOverloaded && full(untried), Deadline: call.Deadline, Expected: t.serviceTimes[call.target()],
	})
}

// full reports whether none of the endpoints has room in sight.
func full(fit []*listed) bool {
	return !slices.ContainsFunc(fit, (*listed).hasRoom)
}

// hasRoom reports whether a call sent to the endpoint now should not have to wait.
func (l *listed) hasRoom() bool {
	c := l.candidate()
	return c.ReportedQueued == 0 && c.ReportedInFlight+c.SentSinceReport < max(c.ReportedLimit, 1)
}

// spread returns a time between base and twice base.
func (t *EndpointTable) spread(base time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spreadLocked(base)
}

func (t *EndpointTable) spreadLocked(base time.Duration) time.Duration {
	return base + time.Duration(t.random.Int64N(int64(base)))
}
