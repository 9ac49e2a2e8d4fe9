package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/startquota"
)

// explainReplay drives a placer with events that are drawn from a seed. Two replays with one
// seed draw the same events as long as their placers decide alike.
type explainReplay struct {
	placer  *placement.Placer
	view    *fleet.View
	events  *rand.Rand
	now     boottime.Instant
	open    []*placement.Ticket
	waiting []*placement.Ticket
	// history are all decisions so far.
	history []string
	// explain is called before each submitted request, unless it is nil.
	explain func(request placement.Request)
	// submitted is called with each decision on arrival, unless it is nil.
	submitted func(placement.Decision)
}

func newExplainReplay(seed uint64) *explainReplay {
	view := fleetView(4, 1)
	p := placement.New(placement.Config{
		Zone: "z0", Region: "r0", ColdOver: 1.5, ColdSlack: 5, VersionSwitch: 8 * time.Second, Contention: seed%2 == 0, Random: rand.New(rand.NewPCG(seed, 2)),
	})
	p.SetView(start, view)
	p.UpdateGateways(2)
	return &explainReplay{placer: p, view: view, events: rand.New(rand.NewPCG(seed, 3)), now: start}
}

func (r *explainReplay) note(ticket *placement.Ticket) {
	d := ticket.Decision()
	endpoint := fleet.EndpointID("")
	if d.Endpoint != nil {
		endpoint = d.Endpoint.ID
	}
	r.history = append(r.history, fmt.Sprint(r.now, d.Verdict, endpoint, d.Reason, d.RetryAfter, d.Expected, d.Load, d.StartLimit, d.Starts, d.Granted, d.Candidates, d.Ahead, d.StartsIn, d.TimeLeft, d.StandingFor))
	r.waiting = slices.DeleteFunc(r.waiting, func(t *placement.Ticket) bool { return t == ticket })
	switch d.Verdict {
	case placement.Place:
		r.open = append(r.open, ticket)
	case placement.Wait:
		r.waiting = append(r.waiting, ticket)
	}
}

func (r *explainReplay) request() placement.Request {
	n := r.events.IntN
	request := placement.Request{
		Service: engines, PromptTokens: n(4000), OutputTokens: 1 + n(200), Priority: n(3), Team: core.TeamID(fmt.Sprintf("t%d", n(3))),
		Deadline: r.now.Add(time.Duration(1+n(6)) * time.Second), MayMove: n(2) == 0,
	}
	if n(2) == 0 {
		request.FirstEventBy = r.now.Add(time.Duration(200+n(2200)) * time.Millisecond)
	}
	if n(6) == 0 {
		request.Homes = [][]core.RegionID{{"r0"}}
	}
	return request
}

func (r *explainReplay) submit() {
	request := r.request()
	if r.explain != nil {
		r.explain(request)
	}
	ticket := r.placer.Submit(r.now, request)
	if r.submitted != nil {
		r.submitted(ticket.Decision())
	}
	r.note(ticket)
}

// status has an agent report a random state of its engine.
func (r *explainReplay) status() {
	n := r.events.IntN
	address := fmt.Sprintf("10.0.0.%d:80", 1+n(4))
	status := placement.EngineStatus{Address: address, Boot: 1, Version: 1, Granted: n(slots/2) - 1, Loading: n(20) == 0, Unreachable: n(20) == 0, Running: n(slots), At: r.now}
	if n(8) == 0 {
		status.ClosesAt = r.now.Add(time.Duration(n(3000)) * time.Millisecond)
	}
	if n(3) == 0 {
		trip := time.Duration(n(300)) * time.Millisecond
		status.Path = placement.PathSample{SentAt: r.now.Add(-trip), RoundTrip: trip}
	}
	if n(2) == 0 {
		r.placer.UpdatePermit(address, startquota.Permit{Starts: n(40), Boot: 1, Until: r.now.Add(startquota.LeaseTime)})
	}
	r.placer.UpdateEngine(status)
}

// endOne ends an open call or tells that it has started.
func (r *explainReplay) endOne() {
	if len(r.open) == 0 {
		return
	}
	i := r.events.IntN(len(r.open))
	ticket := r.open[i]
	if r.events.IntN(3) == 0 {
		r.placer.MayStart(r.now, ticket)
		r.placer.Started(r.now, ticket)
		return
	}
	outcomes := []placement.Outcome{placement.OutcomeAnswered, placement.OutcomeAnswered, placement.OutcomeAnswered, placement.OutcomeAnswered, placement.OutcomeRejected, placement.OutcomeFailed, placement.OutcomeCanceled, placement.OutcomeOverdue, placement.OutcomeMisdirected}
	r.placer.Ended(r.now, ticket, outcomes[r.events.IntN(len(outcomes))])
	r.open = slices.Delete(r.open, i, i+1)
}

// changeView changes a zone, the declared version or an entry.
func (r *explainReplay) changeView() {
	n := r.events.IntN
	next := fleetView(4, 1)
	next.ZonesOut["z1"] = n(3) == 0
	next.Endpoints["e0"].Draining = n(3) == 0
	if n(2) == 0 {
		next.Versions[model], next.DeclaredAt[model] = 2, fleet.DeclarationTime{MadeAt: r.now}
	}
	r.placer.SetView(r.now, next)
	r.view = next
}

func (r *explainReplay) step() {
	r.now = r.now.Add(time.Duration(r.events.IntN(40)) * time.Millisecond)
	switch kind := r.events.IntN(40); {
	case kind < 18:
		r.submit()
	case kind < 26:
		r.endOne()
	case kind < 32:
		for _, ticket := range r.placer.Pump(r.now) {
			r.note(ticket)
		}
	case kind < 36:
		r.status()
	case kind == 36:
		r.placer.UpdateLoad("e1", placement.LoadReport{Running: r.events.IntN(slots), Slowdown: 0.5 + r.events.Float64()*3, At: r.now})
	case kind == 37:
		if lent := r.placer.Lend(r.now, r.request()); lent != nil {
			r.note(lent)
		}
	case kind == 38 && r.events.IntN(20) == 0:
		r.changeView()
	case kind == 39 && r.events.IntN(10) == 0:
		r.placer.Close(r.now, r.view.Endpoints["e2"], time.Duration(r.events.IntN(2000))*time.Millisecond)
	}
}

const (
	explainSeeds = 60
	explainSteps = 600
)

// Guards against an explanation that leaves a trace: an arrival that is counted, a return time that
// is taken, a random number that is drawn, or a queue that is taken for short.
func TestExplainChangesALaterDecision(t *testing.T) {
	for seed := range uint64(explainSeeds) {
		g := NewWithT(t)
		plain, explained := newExplainReplay(seed), newExplainReplay(seed)
		others := rand.New(rand.NewPCG(seed, 4))
		for range explainSteps {
			plain.step()
			for range others.IntN(3) {
				request := call(explained.now)
				request.Priority, request.PromptTokens, request.Team = others.IntN(4), others.IntN(4000), "other"
				request.Service = []core.ServiceID{engines, "unknown"}[others.IntN(2)]
				explained.placer.Explain(explained.now, request)
			}
			explained.step()
		}
		g.Expect(explained.history).To(Equal(plain.history), "seed %d", seed)
		for address, want := range plain.placer.SlotDemand(plain.now) {
			g.Expect(explained.placer.SlotDemand(explained.now)[address].Calls).To(BeNumerically("~", want.Calls, 1e-6), "seed %d, %s", seed, address)
		}
	}
}

// Guards against an explanation that differs from the decision on the request when it is made.
func TestExplainDiffersFromTheDecision(t *testing.T) {
	seen := map[placement.Verdict]int{}
	obstacles := map[placement.Obstacle]int{}
	drained := 0
	for seed := range uint64(explainSeeds) {
		g := NewWithT(t)
		r := newExplainReplay(seed)
		var x placement.Explanation
		r.explain = func(request placement.Request) { x = r.placer.Explain(r.now, request) }
		r.submitted = func(d placement.Decision) {
			seen[d.Verdict]++
			for _, row := range x.Endpoints {
				obstacles[row.Obstacle]++
			}
			at := fmt.Sprintf("seed %d at %v: %+v", seed, r.now, d)
			g.Expect(x.Verdict).To(Equal(d.Verdict), at)
			g.Expect(x.Reason).To(Equal(d.Reason), at)
			g.Expect(x.Candidates).To(Equal(d.Candidates), at)
			switch d.Verdict {
			case placement.Place:
				g.Expect(x.Chosen).To(ContainElement(d.Endpoint.ID), at)
				row := x.Endpoints[slices.IndexFunc(x.Endpoints, func(e placement.EndpointExplanation) bool { return e.Endpoint.ID == d.Endpoint.ID })]
				g.Expect([]any{row.Expected, row.Load, row.LoadAge, row.Granted, row.PathDelay, row.StartLimit, row.Starts, row.Weights}).To(
					Equal([]any{d.Expected, d.Load, d.LoadAge, d.Granted, d.PathDelay, d.StartLimit, d.Starts, d.Weights}), at)
			case placement.Wait:
				g.Expect([]any{x.Ahead, x.StartsIn}).To(Equal([]any{d.Ahead, d.StartsIn}), at)
			case placement.Reject:
				g.Expect([]any{x.Ahead, x.StartsIn, x.TimeLeft, x.StandingFor}).To(Equal([]any{d.Ahead, d.StartsIn, d.TimeLeft, d.StandingFor}), at)
				g.Expect(d.RetryAfter).To(And(BeNumerically(">=", x.RetryAfterMin), BeNumerically("<=", x.RetryAfterMax)), at)
				if d.StandingFor > 0 {
					drained++
				}
			}
		}
		for range explainSteps {
			r.step()
		}
	}
	t.Logf("verdicts %v, drained %d, obstacles %v", seen, drained, obstacles)
	NewWithT(t).Expect(seen).To(HaveLen(3))
}
