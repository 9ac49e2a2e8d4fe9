package placement_test

import (
	"cmp"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/startquota"
)

// obstacleCase prepares a placer so that one endpoint has an obstacle for a request at start.
type obstacleCase struct {
	// endpoints is the number of endpoints, 2 if it is 0. The first one is e0 in region r0.
	endpoints int
	view      func(view *fleet.View)
	state     func(p *placement.Placer)
	request   func(request *placement.Request)
}

// status returns a status of e0 as reported at start.
func status(change func(s *placement.EngineStatus)) func(p *placement.Placer) {
	return func(p *placement.Placer) {
		s := placement.EngineStatus{Address: "10.0.0.1:80", Boot: 1, Version: 1, Granted: slots, At: start}
		change(&s)
		p.UpdateEngine(s)
	}
}

// ended has calls end with an outcome until one of them ran at e0.
func ended(outcome placement.Outcome) func(p *placement.Placer) {
	return func(p *placement.Placer) {
		for {
			ticket := p.Submit(start, call(start))
			if ticket.Decision().Endpoint.ID == "e0" {
				p.Ended(start, ticket, outcome)
				return
			}
		}
	}
}

var obstacleCases = map[placement.Obstacle]obstacleCase{
	placement.ObstacleLeaving: {view: func(v *fleet.View) { v.Endpoints["e0"].Draining = true }},
	placement.ObstacleClosed: {state: func(p *placement.Placer) {
		p.Close(start, &fleet.Endpoint{ID: "e0", Address: "10.0.0.1:80", Boot: 1}, time.Second)
	}},
	placement.ObstacleZoneOut:  {view: func(v *fleet.View) { v.ZonesOut["z0"] = true }},
	placement.ObstacleReplaced: {state: ended(placement.OutcomeMisdirected)},
	placement.ObstacleLoading:  {state: status(func(s *placement.EngineStatus) { s.Loading = true })},
	placement.ObstacleNoWeights: {state: status(func(s *placement.EngineStatus) {
		s.Version = 0
	})},
	placement.ObstacleOldWeights: {view: func(v *fleet.View) {
		v.Versions[model], v.DeclaredAt[model] = 2, fleet.DeclarationTime{MadeAt: start.Add(-10 * time.Second)}
	}},
	placement.ObstacleTried: {request: func(r *placement.Request) { r.Tried = []fleet.EndpointID{"e0"} }},
	placement.ObstacleHomes: {request: func(r *placement.Request) { r.Homes = [][]core.RegionID{{"r1"}} }},
	placement.ObstacleClosesEarly: {state: status(func(s *placement.EngineStatus) {
		s.ClosesAt = start.Add(100 * time.Millisecond)
	})},
	placement.ObstaclePathDelay: {state: status(func(s *placement.EngineStatus) {
		s.Path = placement.PathSample{SentAt: start.Add(-time.Second), RoundTrip: time.Second}
	}), request: func(r *placement.Request) { r.FirstEventBy = start.Add(500 * time.Millisecond) }},
	placement.ObstacleBackingOff: {state: ended(placement.OutcomeFailed)},
	placement.ObstacleUnresponsive: {state: status(func(s *placement.EngineStatus) {
		s.Unreachable = true
	})},
	placement.ObstacleRejected: {state: ended(placement.OutcomeRejected)},
	placement.ObstacleNoSlot:   {state: status(func(s *placement.EngineStatus) { s.Granted = 0 })},
	placement.ObstacleStartLimit: {state: func(p *placement.Placer) {
		p.UpdatePermit("10.0.0.1:80", startquota.Permit{Starts: 0, Boot: 1, Until: start.Add(time.Minute)})
	}},
	placement.ObstaclePrefill: {endpoints: 1, state: func(p *placement.Placer) {
		grant(p, start, "10.0.0.1:80", slots/2)
		p.Submit(start, call(start))
	}},
	placement.ObstacleCallAhead: {endpoints: 1, state: func(p *placement.Placer) {
		placed := fill(p, start)
		p.Submit(start, callerOf(start))
		p.Ended(start, placed[0], placement.OutcomeAnswered)
		p.Ended(start, placed[1], placement.OutcomeAnswered)
	}, request: func(r *placement.Request) { r.Priority = 1 }},
}

// Guards against an explanation that names the wrong reason or none.
func TestExplainNamesEachObstacle(t *testing.T) {
	for obstacle, c := range obstacleCases {
		t.Run(string(obstacle), func(t *testing.T) {
			g := NewWithT(t)
			view := fleetView(cmp.Or(c.endpoints, 2), 1)
			if c.view != nil {
				c.view(view)
			}
			p := newPlacer(view)
			if c.state != nil {
				c.state(p)
			}
			request := call(start)
			if c.request != nil {
				c.request(&request)
			}
			x := p.Explain(start, request)
			g.Expect(x.Endpoints).To(HaveLen(len(view.Endpoints)))
			g.Expect(x.Endpoints[0].Endpoint.ID).To(BeEquivalentTo("e0"))
			g.Expect(x.Endpoints[0].Obstacle).To(Equal(obstacle))
			g.Expect(x.Endpoints[0].Chosen).To(BeFalse())
		})
	}
}

// Guards against engines that are missing in the explanation because this process leaves them to
// other gateways.
func TestExplainShowsEnginesThatAreNotFollowed(t *testing.T) {
	g := NewWithT(t)
	p := newPlacer(fleetView(400, 1))
	p.UpdateGateways(30)
	x := p.Explain(start, call(start))
	g.Expect(x.Endpoints).To(HaveLen(400))
	for _, row := range x.Endpoints {
		g.Expect(row.Obstacle == placement.ObstacleNotFollowed).To(Equal(!p.InTouch(row.Endpoint.Address)), "%s", row.Endpoint.ID)
	}
	g.Expect(x.Candidates).To(And(BeNumerically(">", 0), BeNumerically("<", 400)))
}

// Guards against an endpoint that is shown as avoided although it is the only one left.
func TestExplainShowsAnEndpointOfLastResort(t *testing.T) {
	g := NewWithT(t)
	p := newPlacer(fleetView(1, 1))
	ended(placement.OutcomeFailed)(p)
	x := p.Explain(start, call(start))
	g.Expect(x.Verdict).To(Equal(placement.Place))
	g.Expect(x.Endpoints[0].LastResort).To(BeTrue())
	g.Expect(x.Endpoints[0].OpensIn).To(BeNumerically(">", 0))
}

// Guards against an explanation that hides the calls ahead, by rank.
func TestExplainShowsTheQueueByRank(t *testing.T) {
	g := NewWithT(t)
	p := newPlacer(fleetView(1, 1))
	fill(p, start)
	for _, rank := range []int{0, 2, 2} {
		request := callerOf(start)
		request.Priority = rank
		p.Submit(start, request)
	}
	request := callerOf(start.Add(time.Millisecond))
	request.Priority = 1
	x := p.Explain(start, request)
	g.Expect(x.Verdict).To(Equal(placement.Wait))
	g.Expect(x.Ahead).To(Equal(1))
	g.Expect(x.StartsIn).To(BeNumerically(">", 0))
	g.Expect(x.Ranks).To(HaveLen(3))
	for i, want := range []placement.RankExplanation{{Rank: 0, Waiting: 1, Ahead: 1}, {Rank: 1}, {Rank: 2, Waiting: 2}} {
		got := x.Ranks[i]
		g.Expect([]int{got.Rank, got.Waiting, got.Ahead}).To(Equal([]int{want.Rank, want.Waiting, want.Ahead}))
	}
	g.Expect(p.Waiting()).To(Equal(3))
}
