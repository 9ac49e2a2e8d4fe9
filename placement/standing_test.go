package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/placement"
)

// loadReplay replays arrivals against a placer whose engines answer each call after its
// duration.
type loadReplay struct {
	placer  *placement.Placer
	random  *rand.Rand
	now     boottime.Instant
	running map[*placement.Ticket]boottime.Instant
	waiting map[*placement.Ticket]boottime.Instant
	// waits are the waits of the calls that started, by arrival. atOnce and afterWait are the
	// calls that were rejected, by when that was.
	waits             map[boottime.Instant]time.Duration
	atOnce, afterWait []*placement.Ticket
}

func newLoadReplay(contention bool) *loadReplay {
	view := fleetView(4, 1)
	p := placement.New(placement.Config{Zone: "z0", Region: "r0", VersionSwitch: 8 * time.Second, Contention: contention, Random: rand.New(rand.NewPCG(1, 2))})
	backend := view.Deployment.Services[engines]
	backend.ColdRate = 0
	view.Deployment.Services[engines] = backend
	p.SetView(start, view)
	return &loadReplay{placer: p, random: rand.New(rand.NewPCG(3, 4)), now: start, running: map[*placement.Ticket]boottime.Instant{},
		waiting: map[*placement.Ticket]boottime.Instant{}, waits: map[boottime.Instant]time.Duration{}}
}

// grant gives the placer a number of slots of each engine.
func (r *loadReplay) grant(granted int) {
	for _, address := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"} {
		grant(r.placer, r.now, address, granted)
	}
}

// note records the verdict on a call that arrived at a time.
func (r *loadReplay) note(ticket *placement.Ticket, arrived boottime.Instant) {
	switch ticket.Decision().Verdict {
	case placement.Place:
		delete(r.waiting, ticket)
		r.placer.Started(r.now, ticket)
		r.waits[arrived] = r.now.Sub(arrived)
		r.running[ticket] = r.now.Add(800*time.Millisecond + time.Duration(r.random.Int64N(int64(400*time.Millisecond))))
	case placement.Reject:
		_, waited := r.waiting[ticket]
		delete(r.waiting, ticket)
		if waited {
			r.afterWait = append(r.afterWait, ticket)
		} else {
			r.atOnce = append(r.atOnce, ticket)
		}
	case placement.Wait:
		r.waiting[ticket] = arrived
	}
}

// run lets calls of the given kinds arrive at a mean rate per second for some time.
func (r *loadReplay) run(perSecond float64, lasts time.Duration, kinds ...placement.Request) {
	const step = 5 * time.Millisecond
	for end := r.now.Add(lasts); r.now.Before(end); r.now = r.now.Add(step) {
		for ticket, at := range r.running {
			if !r.now.Before(at) {
				delete(r.running, ticket)
				r.placer.Ended(r.now, ticket, placement.OutcomeAnswered)
			}
		}
		for _, ticket := range r.placer.Pump(r.now) {
			r.note(ticket, r.waiting[ticket])
		}
		if r.random.Float64() < perSecond*step.Seconds() {
			request := kinds[r.random.IntN(len(kinds))]
			request.Service, request.PromptTokens, request.OutputTokens = engines, 200, 120
			request.Deadline, request.FirstEventBy = r.now.Add(6*time.Second), r.now.Add(2400*time.Millisecond)
			r.note(r.placer.Submit(r.now, request), r.now)
		}
	}
}

// medianWait returns the median wait of the calls that arrived in an interval and started.
func (r *loadReplay) medianWait(from, to boottime.Instant) time.Duration {
	var waits []time.Duration
	for arrived, wait := range r.waits {
		if !arrived.Before(from) && arrived.Before(to) {
			waits = append(waits, wait)
		}
	}
	slices.Sort(waits)
	return waits[len(waits)/2]
}

// standingLoad replays the loss of half of the slots for two seconds under a load that all
// slots bear, and returns the replay with the time at which the slots are back.
func standingLoad(contention bool) (*loadReplay, boottime.Instant) {
	const perSecond = 46 // of 48 slots and calls of one second
	r := newLoadReplay(contention)
	r.grant(12)
	r.run(perSecond, 6*time.Second, placement.Request{})
	r.grant(6)
	r.run(perSecond, 2*time.Second, placement.Request{})
	r.grant(12)
	back := r.now
	r.run(perSecond, 14*time.Second, placement.Request{})
	return r, back
}

// Guards against a queue that stays after the loss of slots that built it: every caller waited
// for it for as long as arrivals were at the capacity.
func TestAQueueStaysAfterTheSlotsAreBack(t *testing.T) {
	g := NewWithT(t)
	standing, back := standingLoad(false)
	drained, _ := standingLoad(true)
	from, to := back.Add(3*time.Second), back.Add(14*time.Second)
	t.Logf("median wait %v and %v, answered %d and %d, rejected at once %d and %d, after a wait %d and %d", standing.medianWait(from, to), drained.medianWait(from, to),
		len(standing.waits), len(drained.waits), len(standing.atOnce), len(drained.atOnce), len(standing.afterWait), len(drained.afterWait))
	g.Expect(drained.medianWait(from, to)).To(BeNumerically("<=", 80*time.Millisecond), "callers find the queue short again")
	g.Expect(len(drained.waits)).To(BeNumerically(">=", len(standing.waits)*95/100), "not fewer callers are answered")
	g.Expect(drained.afterWait).To(BeEmpty(), "callers are turned away at once")
	for _, ticket := range drained.atOnce {
		g.Expect(ticket.Decision().RetryAfter).To(BeNumerically(">", 0))
	}
}

// Guards against callers being turned away although the slots absorb a burst: in the half
// second after it no call needs to be rejected.
func TestABurstShorterThanACallIsTurnedAway(t *testing.T) {
	g := NewWithT(t)
	r := newLoadReplay(true)
	r.grant(12)
	r.run(30, 4*time.Second, placement.Request{})
	r.run(100, 400*time.Millisecond, placement.Request{})
	r.run(30, 2*time.Second, placement.Request{})
	g.Expect(r.atOnce).To(BeEmpty())
	g.Expect(r.afterWait).To(BeEmpty())
}

// Guards against calls of a high rank being turned away because those of a low rank stand.
func TestCallsOfAHighRankAreTurnedAwayForAQueueOfALowOne(t *testing.T) {
	g := NewWithT(t)
	r := newLoadReplay(true)
	r.grant(12)
	r.run(90, 8*time.Second, placement.Request{Priority: 0}, placement.Request{Priority: 2}, placement.Request{Priority: 2})
	for _, ticket := range append(r.atOnce, r.afterWait...) {
		g.Expect(ticket.Request.Priority).To(Equal(2))
	}
	g.Expect(r.atOnce).NotTo(BeEmpty())
}

// Guards against a large team that fills the queue: while it drains, calls of the team with
// most calls waiting are turned away, and not those of teams with fewer.
func TestALargeTeamIsServedWhileSmallOnesAreTurnedAway(t *testing.T) {
	g := NewWithT(t)
	r := newLoadReplay(true)
	r.grant(12)
	kinds := slices.Repeat([]placement.Request{{Team: "large"}}, 9)
	r.run(70, 10*time.Second, append(kinds, placement.Request{Team: "small"})...)
	rejected := map[core.TeamID]int{}
	for _, ticket := range append(r.atOnce, r.afterWait...) {
		rejected[ticket.Request.Team]++
	}
	g.Expect(rejected["large"]).To(BeNumerically(">", 20*rejected["small"]))
}

// Guards against the loss of calls that were accepted: one that has been sent or answered in
// part is not turned away.
func TestACallThatHasBeenSentIsTurnedAway(t *testing.T) {
	g := NewWithT(t)
	r := newLoadReplay(true)
	r.grant(12)
	r.run(90, 6*time.Second, placement.Request{})
	g.Expect(r.atOnce).NotTo(BeEmpty())
	again := call(r.now)
	again.Tried = append(again.Tried, "another")
	g.Expect(r.placer.Submit(r.now, again).Decision().Verdict).NotTo(Equal(placement.Reject))
}

// Guards against calls that wait, or are rejected later for another reason, being marked as
// rejected for a standing queue: the counter of these rejections and the times to come back
// were wrong.
func TestOnlyCallsThatAreTurnedAwayHaveATimeOfStanding(t *testing.T) {
	g := NewWithT(t)
	r := newLoadReplay(true)
	r.grant(12)
	kinds := slices.Repeat([]placement.Request{{Team: "large"}}, 9)
	displaced := 0
	for range 2000 {
		r.run(70, 5*time.Millisecond, append(kinds, placement.Request{Team: "small"})...)
		for ticket := range r.waiting {
			if ticket.Decision().Verdict == placement.Wait {
				g.Expect(ticket.Decision().StandingFor).To(BeZero())
			}
		}
	}
	for _, ticket := range r.afterWait {
		if ticket.Decision().StandingFor > 0 {
			displaced++
		}
	}
	g.Expect(displaced).To(BeNumerically(">", 0))
}

// Guards against a gateway without slots that turns calls away as if its queue were standing,
// while their callers have time to wait for slots.
func TestAGatewayWithoutSlotsHasAStandingQueue(t *testing.T) {
	g := NewWithT(t)
	r := newLoadReplay(true)
	r.grant(0)
	for range 6 {
		r.note(r.placer.Submit(r.now, call(r.now)), r.now)
		r.now = r.now.Add(400 * time.Millisecond)
		r.grant(0)
		for _, ticket := range r.placer.Pump(r.now) {
			r.note(ticket, r.waiting[ticket])
		}
	}
	g.Expect(r.atOnce).To(BeEmpty())
	g.Expect(r.afterWait).To(BeEmpty())
}

// Load pattern: the engines' weights are too old to start calls, and newer ones arrive seconds
// later. Guards against callers who wait for all the time that they have and are rejected then.
func TestCallersWaitInVainWhileNoEngineMayStartCalls(t *testing.T) {
	g := NewWithT(t)
	r := newLoadReplay(true)
	r.grant(12)
	r.run(40, 2*time.Second, placement.Request{})
	for _, address := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"} {
		r.placer.UpdateEngine(placement.EngineStatus{Address: address, Boot: 1, Version: 1, Loading: true, Granted: 12, At: r.now})
	}
	r.run(40, 5*time.Second, placement.Request{}) // those who came before the queue stood leave
	former := len(r.afterWait)
	r.run(40, 4*time.Second, placement.Request{})
	g.Expect(r.atOnce).NotTo(BeEmpty())
	g.Expect(r.afterWait).To(HaveLen(former))
}
