package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/startquota"
)

const remoteService core.ServiceID = "plain"

// remotePlacer returns a placer whose calls all have to go to another region, "r1": it has two
// engines and an endpoint without an agent.
func remotePlacer() *placement.Placer {
	view := fleetView(4, 1)
	delete(view.Endpoints, "e0")
	delete(view.Endpoints, "e2")
	view.Deployment.Services[remoteService] = catalogue.Backend{Name: remoteService}
	view.Endpoints["p0"] = &fleet.Endpoint{ID: "p0", Service: remoteService, Address: "10.0.1.1:80", Slots: slots, Zone: "z1", Region: "r1", SeenAt: start}
	return newPlacer(view)
}

// report has the agent of an engine report a round trip that ends now, with a lease or without.
func report(p *placement.Placer, now boottime.Instant, address string, roundTrip time.Duration, leased bool) {
	if leased {
		p.UpdatePermit(address, startquota.Permit{Starts: 1000, Boot: 1, Until: now.Add(time.Minute)})
	}
	p.UpdateEngine(placement.EngineStatus{
		Address: address, Boot: 1, Version: 1, Granted: slots, At: now,
		Path: placement.PathSample{SentAt: now.Add(-roundTrip), RoundTrip: roundTrip},
	})
}

// placed reports whether a call of a caller who leaves after a time is placed, and ends it.
func placed(p *placement.Placer, now boottime.Instant, service core.ServiceID, left time.Duration) bool {
	request := call(now)
	request.Service, request.FirstEventBy = service, now.Add(left)
	ticket := p.Submit(now, request)
	defer p.Cancel(ticket)
	defer p.Ended(now, ticket, placement.OutcomeCanceled)
	return ticket.Decision().Verdict == placement.Place && p.MayStart(now, ticket)
}

const hurried, patient = 200 * time.Millisecond, 3 * time.Second

// Replays a link to another region that is filled for seconds. Guards against calls that wait on
// it and reach engines long after their callers have left.
func TestCallsWithoutTimeForADelayedLinkAreNotSentOverIt(t *testing.T) {
	g := NewWithT(t)
	p := remotePlacer()
	now := start
	for _, delay := range []time.Duration{5, 5, 100, 400, 900, 900, 400, 60, 5, 5} {
		delay *= time.Millisecond
		now = now.Add(1100 * time.Millisecond)
		report(p, now, "10.0.0.2:80", delay, true)
		for _, service := range []core.ServiceID{engines, remoteService} {
			g.Expect(placed(p, now, service, patient)).To(BeTrue(), "%s, delay %s, 3 s left", service, delay)
			if delay >= hurried {
				g.Expect(placed(p, now, service, hurried)).To(BeFalse(), "%s, delay %s, 0.2 s left", service, delay)
			}
			if delay <= 60*time.Millisecond {
				g.Expect(placed(p, now, service, hurried)).To(BeTrue(), "%s, delay %s, 0.2 s left", service, delay)
			}
		}
	}
}

// Guards against calls that are sent when the delay has become known only while the connection
// was being opened.
func TestACallWhoseLinkIsDelayedMeanwhileIsNotSent(t *testing.T) {
	g := NewWithT(t)
	p := remotePlacer()
	report(p, start, "10.0.0.2:80", 5*time.Millisecond, true)
	var tickets []*placement.Ticket
	for _, left := range []time.Duration{600 * time.Millisecond, patient} {
		request := call(start)
		request.FirstEventBy = start.Add(left)
		ticket := p.Submit(start, request)
		g.Expect(ticket.Decision().Verdict).To(Equal(placement.Place))
		tickets = append(tickets, ticket)
	}
	now := start.Add(450 * time.Millisecond)
	report(p, now, "10.0.0.4:80", 400*time.Millisecond, true)
	g.Expect(p.MayStart(now, tickets[0])).To(BeFalse(), "150 ms left, 400 ms of delay")
	g.Expect(p.MayStart(now, tickets[1])).To(BeTrue())
}

// Guards against sending calls over a link on which nothing arrives any more, and against taking
// idle engines, whose agents have nothing to send, for a delayed link.
func TestTheSilenceOfARegionCountsAsItsDelayOnlyWhereSamplesAreDue(t *testing.T) {
	for name, c := range map[string]struct {
		leased  bool
		silence time.Duration
		want    bool
	}{
		"samples are due":                     {true, 1100 * time.Millisecond, false},
		"the next one is not yet due":         {true, 900 * time.Millisecond, true},
		"none is due":                         {false, 1100 * time.Millisecond, true},
		"none is due for a long time":         {false, time.Minute, true},
		"nothing is known after a long time":  {true, 11 * time.Second, true},
		"nothing arrives for several seconds": {true, 9 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := remotePlacer()
			if !c.leased {
				p.UpdatePermit("10.0.0.2:80", startquota.Permit{})
			}
			report(p, start, "10.0.0.2:80", 5*time.Millisecond, c.leased)
			now := start.Add(c.silence)
			NewWithT(t).Expect(placed(p, now, remoteService, hurried)).To(Equal(c.want))
		})
	}
}

// Guards against a choice that prefers a distant engine over a near one with a little more load.
func TestADelayedLinkMakesNearEnginesPreferred(t *testing.T) {
	g := NewWithT(t)
	p := newPlacer(fleetView(2, 1)) // e0 is near, e1 is in another region
	report(p, start, "10.0.0.1:80", 2*time.Millisecond, true)
	report(p, start, "10.0.0.2:80", 400*time.Millisecond, true)
	for range 4 {
		ticket := p.Submit(start, call(start))
		g.Expect(ticket.Decision().Endpoint.ID).To(BeEquivalentTo("e0"))
		g.Expect(ticket.Decision().PathDelay).To(BeZero())
		p.Started(start, ticket)
	}
	request := call(start)
	request.Homes = [][]core.RegionID{{"r1"}}
	decision := p.Submit(start, request).Decision()
	g.Expect(decision.PathDelay).To(Equal(400 * time.Millisecond))
	g.Expect(decision.Expected).To(BeNumerically(">", decision.PathDelay))
	borrower := callerOf(start)
	borrower.FirstEventBy = start.Add(hurried)
	waiting := placement.Ticket{Request: borrower}
	g.Expect(p.PlaceBorrowed(start, &waiting, "e1", 50*time.Millisecond, start.Add(time.Second))).To(BeNil(), "a slot lent behind the delayed link")
}
