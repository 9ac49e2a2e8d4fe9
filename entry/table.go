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

// homeFailureBackoff is how long an endpoint is not computed as the home of a key after
// a connection to it failed.
const homeFailureBackoff = 2 * time.Second

// choice is the endpoint chosen for one attempt.
type choice struct {
	id   core.VMID
	addr string
	// version is the loaded version that the endpoint last reported.
	version string
}

// usage is what this entry has recorded about an endpoint, in addition to its reports.
type usage struct {
	outstanding     int
	sentSinceReport int
	load            *peerpb.EndpointLoad
	loadAt          time.Time
	failedAt        time.Time
	cache           cacheCursor
}

// EndpointTable selects endpoints for calls. It is safe for concurrent use.
type EndpointTable struct {
	node *node.Node

	mu        sync.Mutex
	picker    routing.Picker
	random    *rand.Rand
	usage     map[core.VMID]*usage
	budget    *routing.Budget
	retrier   *routing.Retrier
	cacheNews CacheNews
	// hedgers track the times to the first token per pool or service.
	hedging routing.HedgeConfig
	hedgers map[target]*routing.Hedger
	index   *endpointIndex
	// eligible and candidateBuf are buffers reused by each choice.
	eligible     []*member
	candidateBuf []routing.Candidate

	admission    *admission.Controller
	serviceTimes serviceTimes
}

// NewEndpointTable returns a table of the endpoints known to n, with a picker built by
// construct.
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
	m := t.index.update(endpoint)
	if m.usage == nil {
		m.usage = t.usage[m.id]
	}
}

// EndpointRemoved implements membership.Observer.
func (t *EndpointTable) EndpointRemoved(id core.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.index.remove(id)
}

// group returns the endpoints of the call's target that accept new work.
func (t *EndpointTable) group(call *Call, now time.Time) *targetGroup {
	return t.index.lookup(call.target(), now, t.node.View())
}

// choose picks the endpoint for the next attempt of call.
func (t *EndpointTable) choose(call *Call, state *progress) (choice, *core.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	g := t.group(call, now)
	if g == nil || !slices.ContainsFunc(g.usable, state.eligible) {
		if state.last != nil {
			return choice{}, state.last
		}
		return choice{}, core.NotRun(core.ReasonNoEndpoint, t.jitterLocked(defaultRetryAfter), "no endpoint takes the call now")
	}
	if call.Service != "" && !call.Idempotent {
		return t.home(call, state, g), nil
	}
	eligible := t.eligibleEndpoints(g, state)
	index := t.picker.Pick(t.query(call, now), t.candidates(eligible))
	if index < 0 {
		return choice{}, core.NotRun(core.ReasonOverloaded, t.jitterLocked(defaultRetryAfter), "every endpoint is busy")
	}
	return choiceOf(eligible[index].state), nil
}

func (t *EndpointTable) query(call *Call, now time.Time) routing.Query {
	return routing.Query{Now: now, Zone: t.node.Zone, Region: t.node.Region, Priority: call.Priority, PrefixHashes: call.PrefixHashes}
}

func choiceOf(state *peerpb.EndpointState) choice {
	return choice{id: core.VMID(state.GetVm()), addr: state.GetPeerAddr(), version: state.GetLoadedVersion()}
}

// eligible reports whether the request may be sent to the endpoint.
func (s *progress) eligible(m *member) bool {
	return !s.tried[m.id] && (s.version == "" || s.version == m.state.GetLoadedVersion())
}

// eligibleEndpoints returns the endpoints for the next attempt: those of the subset, or
// all usable ones if the subset has none. Suspect endpoints are included only if no
// other is left. The result is valid until the next call.
func (t *EndpointTable) eligibleEndpoints(g *targetGroup, state *progress) []*member {
	t.eligible = appendEligible(t.eligible[:0], g.subset, state, true)
	if len(t.eligible) == 0 {
		t.eligible = appendEligible(t.eligible, g.usable, state, true)
	}
	if len(t.eligible) == 0 {
		t.eligible = appendEligible(t.eligible, g.usable, state, false)
	}
	return t.eligible
}

func appendEligible(eligible, from []*member, state *progress, skipSuspect bool) []*member {
	for _, m := range from {
		if state.eligible(m) && (!skipSuspect || !m.suspect()) {
			eligible = append(eligible, m)
		}
	}
	return eligible
}

// suspect reports whether a connection to the endpoint has failed since its last
// report.
func (m *member) suspect() bool { return m.usage != nil && !m.usage.failedAt.Before(m.lastSeen) }

// home picks the endpoint that owns the call's key: the one named by an endpoint if
// any, otherwise the one that every entry computes from the live endpoints.
func (t *EndpointTable) home(call *Call, state *progress, g *targetGroup) choice {
	now := time.Now()
	eligible := appendEligible(nil, g.usable, state, true)
	if len(eligible) == 0 {
		eligible = appendEligible(nil, g.usable, state, false)
	}
	live := make([]core.VMID, 0, len(eligible))
	for _, m := range eligible {
		if m.id == state.home {
			return choiceOf(m.state)
		}
		if m.usage == nil || now.Sub(m.usage.failedAt) > homeFailureBackoff {
			live = append(live, m.id)
		}
	}
	// The named home may have started so recently that this entry has no report of it
	// yet.
	if vm, known := t.node.View().VMs[state.home]; known && vm.Service == call.Service && vm.State == core.VMLive && !state.tried[vm.ID] {
		return choice{id: vm.ID, addr: vm.PeerAddr}
	}
	if len(live) == 0 {
		return choiceOf(eligible[0].state)
	}
	return choiceOf(t.index.all[claims.Home(call.Service, call.IdempotencyKey, live)].state)
}

// candidates returns the picker's view of the endpoints. The result is valid until the
// next call.
func (t *EndpointTable) candidates(endpoints []*member) []routing.Candidate {
	t.candidateBuf = t.candidateBuf[:0]
	for _, m := range endpoints {
		t.candidateBuf = append(t.candidateBuf, m.candidate())
	}
	return t.candidateBuf
}

// candidate describes the endpoint by its most recent load.
func (m *member) candidate() routing.Candidate {
	s := m.state
	c := routing.Candidate{
		ID: m.id, Zone: core.ZoneID(s.GetZone()), Region: core.RegionID(s.GetRegion()), Version: core.VersionID(s.GetLoadedVersion()),
	}
	load, at := s.GetLoad(), m.lastSeen
	if u := m.usage; u != nil {
		c.Outstanding, c.SentSinceReport = u.outstanding, min(u.sentSinceReport, u.outstanding)
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

func (t *EndpointTable) usageOf(id core.VMID) *usage {
	u := t.usage[id]
	if u == nil {
		if len(t.usage) >= membership.MaxEndpoints {
			t.removeIdleUsage()
		}
		u = &usage{}
		t.usage[id] = u
		if m := t.index.all[id]; m != nil {
			m.usage = u
		}
	}
	return u
}

func (t *EndpointTable) removeIdleUsage() {
	for id, u := range t.usage {
		if u.outstanding == 0 {
			delete(t.usage, id)
			if m := t.index.all[id]; m != nil {
				m.usage = nil
			}
		}
	}
}

func (t *EndpointTable) sent(id core.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.usageOf(id)
	u.outstanding++
	u.sentSinceReport++
}

func (t *EndpointTable) ended(id core.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usageOf(id).outstanding--
}

// answered records a complete answer. firstToken is 0 if the answer had no data.
func (t *EndpointTable) answered(call *Call, id core.VMID, firstToken time.Duration, end *peerpb.CallEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.updateLoad(id, now, end.GetLoad())
	t.applyCacheUpdate(id, now, end.GetCache())
	t.picker.Answered(now, id, call.PrefixHashes, firstToken)
	t.budget.Answered(now)
	if call.Idempotent && firstToken > 0 {
		t.hedger(call).Answered(now, firstToken)
	}
}

func (t *EndpointTable) rejected(id core.VMID, load *peerpb.EndpointLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.updateLoad(id, now, load)
	t.picker.Failed(now, id)
}

func (t *EndpointTable) updateLoad(id core.VMID, now time.Time, load *peerpb.EndpointLoad) {
	if load == nil {
		return
	}
	u := t.usageOf(id)
	u.load, u.loadAt, u.sentSinceReport = load, now, 0
}

func (t *EndpointTable) failed(id core.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.usageOf(id).failedAt = now
	t.picker.Failed(now, id)
}

// decide applies the retry policy to an attempt that ended with refusal.
func (t *EndpointTable) decide(call *Call, state *progress, refusal *core.Refusal) routing.RetryDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var untried []*member
	if g := t.group(call, now); g != nil {
		untried = t.eligibleEndpoints(g, state)
	}
	return t.retrier.Decide(now, routing.Attempt{
		Number: int(state.attempt), Refusal: refusal, Idempotent: call.Idempotent, Untried: len(untried),
		NoCapacity: refusal.Reason == core.ReasonOverloaded && noneHasCapacity(untried), Deadline: call.Deadline, Expected: t.serviceTimes[call.target()],
	})
}

// noneHasCapacity reports whether none of the endpoints has capacity.
func noneHasCapacity(endpoints []*member) bool {
	return !slices.ContainsFunc(endpoints, (*member).hasCapacity)
}

// hasCapacity reports whether a call sent now is expected to start without queueing.
func (m *member) hasCapacity() bool {
	c := m.candidate()
	return c.ReportedQueued == 0 && c.ReportedInFlight+c.SentSinceReport < max(c.ReportedLimit, 1)
}

// jitter returns a random duration between base and twice base.
func (t *EndpointTable) jitter(base time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.jitterLocked(base)
}

func (t *EndpointTable) jitterLocked(base time.Duration) time.Duration {
	return base + time.Duration(t.random.Int64N(int64(base)))
}
