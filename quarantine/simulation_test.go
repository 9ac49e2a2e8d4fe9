package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/quarantine"
	"github.com/zinniaseam/zinniaseam/virtualtime"
)

const (
	// sharedPart is the part that all calls of a scenario may have.
	sharedPart = core.PromptPart("shared")
	// holdTime is the longest time for which a gateway holds a call.
	holdTime         = 2 * time.Second
	simulatedService = core.ServiceID("pool")
	engineCount      = 18
	engineBatch      = 16
	routeCount       = 4
	customerCount    = 60
	documentCount    = 400
	// callsPerSecond is the load of the whole fleet.
	callsPerSecond = 125
	// suspectWindow is how long after its first event a call may still be what ended its
	// engine.
	suspectWindow = 500 * time.Millisecond
	// soundAfter is how long an answer has to go on at a gateway to show that its parts are
	// sound.
	soundAfter = 250 * time.Millisecond
	// crashDelay is the time from the start of a harmful answer to the end of the engine.
	crashDelay = 70 * time.Millisecond
	// eventDelay is how long an event of an engine takes to its gateway.
	eventDelay = 5 * time.Millisecond
	// sendInterval is the shortest time between two messages of a gateway, repeatInterval
	// the time after which it sends without news.
	sendInterval   = 200 * time.Millisecond
	repeatInterval = time.Second
	// hubInterval is the shortest time between two messages of a hub, hubRepeatInterval the time
	// after which it sends without news.
	hubInterval       = 50 * time.Millisecond
	hubRepeatInterval = 3 * time.Second
	// fanOut is the largest number of gateways to which a message is sent at once.
	fanOut = 20
	// afterFifth and settled are the bounds of the rules, after the fifth crash.
	afterFifth = 3 * time.Second
	settled    = 6 * time.Second
)

// scenario describes one simulated day.
type scenario struct {
	gateways int
	// seconds is its length.
	seconds int
	// loss is the share of messages that are lost.
	loss float64
	// harms are the harmful parts.
	harms []harm
	// others are crashes for other reasons.
	others []outage
	config quarantine.Config
	// hubs is the number of agents that collect what gateways know and pass records on. If it is
	// 0, gateways tell each other.
	hubs int
	// ownParts is the number of further parts that only one call has.
	ownParts int
	// sharedPart tells that all calls have the same first part.
	sharedPart bool
	// completion tells that gateways only report complete answers, by their end.
	completion bool
	// anyTries tells that each gateway may try a blocked part.
	anyTries bool
	// killedAt is when all gateways and hubs are killed and start again, 0 for never. Until
	// restartTime later no calls come. Unless unaware is set, they know that they have forgotten.
	killedAt time.Duration
	unaware  bool
	// later are the calls with the first harmful part from afterFifth after the restart on.
	later harm
}

// harm is a part that is requested from a time on, in a share of all calls, and crashes
// engines from another time on.
type harm struct {
	from, harmfulFrom time.Duration
	share             float64
	// clump calls come at one moment, every interval, in place of a share of all calls.
	clump    int
	interval time.Duration
}

// outage is the end of engines, one every interval.
type outage struct {
	at, interval time.Duration
	engines      int
}

// report is what was measured.
type report struct {
	// crashes is the number of ends caused by each harmful part; late the number of calls
	// with it that reached engines later than afterFifth after its fifth crash.
	crashes, late []int
	// calm is the share of sound calls of the first route that began at the first attempt
	// before any harm, during that share between the fifth crash and settled, and after the
	// share since then.
	calm, during, after share
	// victims are the sound calls that were cut before they began, and those of them that
	// were repeated.
	victims share
	// blockedRoutes is the longest time for which some gateway kept a route's first part
	// blocked.
	blockedRoutes time.Duration
	// blockedCalls is the number of sound calls that were blocked, total of all sound calls.
	blockedCalls, total int
	// stillBlocked is the number of sound parts that are blocked at the end.
	stillBlocked int
}

type share struct{ begun, sent int }

func (s share) value() float64 {
	if s.sent == 0 {
		return 1
	}
	return float64(s.begun) / float64(s.sent)
}

func (r report) String() string {
	return fmt.Sprintf("crashes %v late %v calm %.3f during %.3f after %.3f blocked routes %v blocked calls %d of %d still %d",
		r.crashes, r.late, r.calm.value(), r.during.value(), r.after.value(), r.blockedRoutes, r.blockedCalls, r.total, r.stillBlocked)
}

type simulation struct {
	scenario
	clock    *virtualtime.Clock
	start    time.Time
	random   *rand.Rand
	gateway  []*gateway
	hub      []*gateway
	engines  []*engine
	report   report
	fifthAt  []time.Duration
	firstBad time.Duration
}

type gateway struct {
	index       int
	tracker     *quarantine.Tracker
	sentVersion uint64
	lastCut     uint64
	sentAt      time.Duration
	// trials are the suspended parts of which a trial runs.
	trials map[core.PromptPart]bool
	// blockedSince is when the first part of a route was first found blocked.
	blockedSince map[core.PromptPart]time.Duration
}

type engine struct {
	id    fleet.EndpointID
	boot  int64
	up    bool
	calls []*call
}

type call struct {
	gateway  *gateway
	parts    []core.PromptPart
	harm     int // index of the harmful part, -1 for none
	lethal   bool
	trial    core.PromptPart
	heldAt   time.Duration
	sentAt   time.Duration
	attempts int
	begunAt  time.Duration // of the present attempt, as seen by the gateway
	running  bool
	begun    bool
	counted  *share // the share to which it counts, nil for none
}

func simulate(seed uint64, s scenario) report {
	start := time.Unix(0, 0)
	sim := &simulation{scenario: s, clock: virtualtime.New(start), start: start, random: rand.New(rand.NewPCG(seed, 1)), firstBad: time.Duration(s.seconds) * time.Second}
	sim.harms = slices.Clone(s.harms)
	sim.report.crashes, sim.report.late = make([]int, len(s.harms)), make([]int, len(s.harms))
	sim.fifthAt = make([]time.Duration, len(s.harms))
	for i := range s.gateways {
		g := &gateway{index: i, tracker: quarantine.New(s.config), trials: map[core.PromptPart]bool{}, blockedSince: map[core.PromptPart]time.Duration{}}
		sim.gateway = append(sim.gateway, g)
		sim.clock.After(sim.between(0, sendInterval), func() {
			sim.exchange(g)
			sim.clock.Every(sendInterval/2, func() { sim.exchange(g) })
		})
	}
	for i := range s.hubs {
		hub := &gateway{index: i, tracker: quarantine.New(s.config)}
		sim.hub = append(sim.hub, hub)
		sim.clock.Every(hubInterval, func() { sim.passOn(hub) })
	}
	for i := range engineCount {
		sim.engines = append(sim.engines, &engine{id: fleet.EndpointID(fmt.Sprint("engine-", i)), boot: 1, up: true})
	}
	for i, h := range s.harms {
		sim.firstBad = min(sim.firstBad, h.harmfulFrom)
		sim.clock.After(h.from, func() {
			if h.clump > 0 {
				sim.clumps(i)
				return
			}
			sim.arrivals(i, callsPerSecond*h.share)
		})
	}
	for _, o := range s.others {
		sim.firstBad = min(sim.firstBad, o.at)
		sim.schedule(o)
	}
	if s.killedAt > 0 {
		sim.clock.After(s.killedAt, sim.killAll)
	}
	sim.arrivals(-1, callsPerSecond)
	sim.clock.Every(100*time.Millisecond, sim.checkRoutes)
	sim.clock.RunUntil(start.Add(time.Duration(s.seconds) * time.Second))
	sim.report.stillBlocked = sim.countBlocked()
	return sim.report
}

func (s *simulation) now() time.Duration { return s.clock.Now().Sub(s.start) }

// instant is the present time on a gateway's own clock.
func (s *simulation) instant(g *gateway) boottime.Instant {
	return boottime.Instant(s.now() + time.Duration(1+g.index)*time.Hour)
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// arrivals issues calls at random times; harm is the harmful part, -1 for none.
func (s *simulation) arrivals(harm int, perSecond float64) {
	s.clock.After(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if !s.restarting() {
			s.arrive(harm)
		}
		s.arrivals(harm, perSecond)
	})
}

// clumps issues several calls with a harmful part at one moment, again and again.
func (s *simulation) clumps(harm int) {
	for range s.harms[harm].clump {
		if !s.restarting() {
			s.arrive(harm)
		}
	}
	s.clock.After(s.harms[harm].interval, func() { s.clumps(harm) })
}

func harmfulPart(i int) core.PromptPart { return core.PromptPart(fmt.Sprint("harmful-", i)) }

func routePart(i int) core.PromptPart { return core.PromptPart(fmt.Sprint("route-", i)) }

// arrive issues one call. Harmful calls belong to the first route; few calls share a
// document.
func (s *simulation) arrive(harm int) {
	route := s.random.IntN(routeCount)
	if harm >= 0 {
		route = 0
	}
	customer := int(float64(customerCount) * s.random.Float64() * s.random.Float64())
	document := int(float64(documentCount) * s.random.Float64() * s.random.Float64())
	parts := []core.PromptPart{routePart(route), core.PromptPart(fmt.Sprint("customer-", customer)), core.PromptPart(fmt.Sprint("document-", document))}
	c := &call{gateway: s.gateway[s.random.IntN(len(s.gateway))], harm: harm, sentAt: s.now()}
	if harm >= 0 {
		parts[1+s.random.IntN(2)] = harmfulPart(harm)
		c.lethal = s.now() >= s.harms[harm].harmfulFrom
	}
	for range s.ownParts {
		parts = append(parts, core.PromptPart(fmt.Sprintf("%016x", s.random.Uint64())))
	}
	if s.sharedPart {
		parts = append([]core.PromptPart{sharedPart}, parts...)
	}
	c.parts = parts
	s.offer(c)
}

// offer sends a call to an engine unless it is blocked.
func (s *simulation) offer(c *call) {
	now := s.instant(c.gateway)
	if c.attempts == 0 && c.heldAt == 0 {
		s.countSent(c)
	}
	part, blocked := c.gateway.tracker.Blocked(now, simulatedService, c.parts)
	if blocked && !c.gateway.tracker.Trial(now, simulatedService, part, s.anyTries || s.mayTry(c, part)) {
		if !c.lethal {
			s.report.blockedCalls++
		}
		return
	}
	part, suspended := c.gateway.tracker.Suspended(now, simulatedService, c.parts)
	if suspended && !blocked && !s.mayTry(c, part) {
		s.hold(c)
		return
	}
	e := s.choose()
	if e == nil {
		return
	}
	if suspended && !blocked {
		c.gateway.tracker.Trial(now, simulatedService, part, true)
		c.gateway.trials[part], c.trial = true, part
	}
	c.heldAt = 0
	c.attempts++
	c.running, c.begun = true, false
	if c.harm >= 0 && s.judged(c.harm) {
		s.report.late[c.harm]++
	}
	e.calls = append(e.calls, c)
	boot := e.boot
	s.clock.After(s.between(150*time.Millisecond, 400*time.Millisecond), func() { s.begin(e, boot, c) })
}

// mayTry reports whether a gateway may send a call as the trial of a suspended part.
func (s *simulation) mayTry(c *call, part core.PromptPart) bool {
	dueFor, due := c.gateway.tracker.TrialDue(s.instant(c.gateway), simulatedService, part)
	if !due || c.gateway.trials[part] {
		return false
	}
	turn, open := quarantine.Turn(dueFor, len(s.gateway))
	return open && turn == c.gateway.index
}

// hold offers a call again a little later, until it has been held for holdTime.
func (s *simulation) hold(c *call) {
	if c.heldAt == 0 {
		c.heldAt = s.now()
	}
	if s.now()-c.heldAt >= holdTime {
		if !c.lethal {
			s.report.blockedCalls++
		}
		return
	}
	s.clock.After(50*time.Millisecond, func() { s.offer(c) })
}

// endTrial allows the next trial of the part that a call tried.
func (c *call) endTrial() {
	if c.trial != "" {
		delete(c.gateway.trials, c.trial)
		c.trial = ""
	}
}

// choose returns the engine with the fewest calls of two that have room.
func (s *simulation) choose() *engine {
	var best *engine
	for _, i := range s.random.Perm(len(s.engines)) {
		e := s.engines[i]
		if !e.up || len(e.calls) >= engineBatch {
			continue
		}
		if best == nil {
			best = e
			continue
		}
		if len(e.calls) < len(best.calls) {
			return e
		}
		return best
	}
	return best
}

// begin starts to write the answer.
func (s *simulation) begin(e *engine, boot int64, c *call) {
	if e.boot != boot || !e.up {
		return
	}
	if c.lethal || c.harm >= 0 && s.now() >= s.harms[c.harm].harmfulFrom {
		s.clock.After(s.between(crashDelay-10*time.Millisecond, crashDelay+20*time.Millisecond), func() {
			if e.boot == boot && e.up {
				s.report.crashes[c.harm]++
				if s.report.crashes[c.harm] == 5 {
					s.fifthAt[c.harm] = s.now()
				}
				s.end(e)
			}
		})
		return
	}
	s.clock.After(eventDelay, func() {
		if c.running && !c.begun {
			c.begun, c.begunAt = true, s.now()
			s.countBegun(c)
			if !s.completion {
				s.clock.After(soundAfter, func() {
					if c.running && c.begun {
						s.sound(c)
					}
				})
			}
		}
	})
	s.clock.After(time.Duration((0.7+0.3*s.random.ExpFloat64())*float64(time.Second)), func() { s.answer(e, boot, c) })
}

// answer ends a call.
func (s *simulation) answer(e *engine, boot int64, c *call) {
	if e.boot != boot || !e.up {
		return
	}
	e.calls = slices.DeleteFunc(e.calls, func(other *call) bool { return other == c })
	s.clock.After(eventDelay, func() {
		if !c.running {
			return
		}
		c.running = false
		c.endTrial()
		switch {
		case s.completion:
			c.gateway.tracker.Answered(s.instant(c.gateway), simulatedService, c.parts)
		case s.now()-c.begunAt <= soundAfter:
			s.sound(c)
		}
	})
}

// sound tells a call's gateway that its parts were sound soon after the answer began.
func (s *simulation) sound(c *call) {
	now := s.instant(c.gateway)
	at := now.Add(c.begunAt + quarantine.HarmDelay - s.now())
	c.gateway.tracker.SoundAt(now, at, simulatedService, c.parts)
}

// end ends an engine, which cuts its calls, and starts it again later.
func (s *simulation) end(e *engine) {
	if !e.up {
		return
	}
	calls := e.calls
	crash := quarantine.Crash{Endpoint: e.id, Boot: e.boot}
	e.up, e.calls = false, nil
	s.clock.After(s.between(2*time.Second, 4*time.Second), func() { e.up, e.boot = true, e.boot+1 })
	for _, g := range s.gateway {
		cut := slices.DeleteFunc(slices.Clone(calls), func(c *call) bool { return c.gateway != g })
		if len(cut) > 0 {
			s.clock.After(s.between(time.Millisecond, 10*time.Millisecond), func() { s.cut(g, crash, cut) })
		}
	}
}

// cut tells a gateway of the end of an engine and repeats what may be repeated.
func (s *simulation) cut(g *gateway, crash quarantine.Crash, calls []*call) {
	now := s.instant(g)
	var candidates [][]core.PromptPart
	for _, c := range calls {
		c.running = false
		c.endTrial()
		if !c.begun || s.now()-c.begunAt < suspectWindow {
			candidates = append(candidates, c.parts)
		}
	}
	g.tracker.Crashed(now, simulatedService, crash, candidates)
	for _, c := range calls {
		if c.begun || c.attempts >= 2 {
			continue
		}
		repeat := g.tracker.MayRepeat(now, simulatedService, c.parts)
		if c.harm < 0 {
			s.report.victims.sent++
			if repeat {
				s.report.victims.begun++
			}
		}
		if repeat {
			s.offer(c)
		}
	}
}

// schedule ends engines for a reason other than a call.
func (s *simulation) schedule(o outage) {
	order := s.random.Perm(engineCount)
	for i := range o.engines {
		s.clock.After(o.at+time.Duration(i)*o.interval, func() { s.end(s.engines[order[i]]) })
	}
}

// exchange sends a gateway's records if they have changed or were not sent for a while.
func (s *simulation) exchange(g *gateway) {
	since := s.now() - g.sentAt
	news := g.tracker.Version() != g.sentVersion || g.tracker.Reported() != g.lastCut
	if since < sendInterval || !news && since < repeatInterval {
		return
	}
	records := g.tracker.Records(s.instant(g))
	cuts, last := g.tracker.Cuts(s.instant(g), g.lastCut)
	g.sentVersion, g.lastCut, g.sentAt = g.tracker.Version(), last, s.now()
	if s.hubs > 0 {
		s.tell(s.hub, records, cuts, 25*time.Millisecond, 200*time.Millisecond)
		return
	}
	s.tell(s.peers(g), records, nil, 50*time.Millisecond, 400*time.Millisecond)
}

// passOn sends a hub's records to all gateways if they have changed or were not sent for a while.
func (s *simulation) passOn(hub *gateway) {
	if hub.tracker.Version() == hub.sentVersion && s.now()-hub.sentAt < hubRepeatInterval {
		return
	}
	records := hub.tracker.Records(s.instant(hub))
	hub.sentVersion, hub.sentAt = hub.tracker.Version(), s.now()
	s.tell(s.gateway, records, nil, 25*time.Millisecond, 200*time.Millisecond)
}

// tell sends records and cuts to other processes.
func (s *simulation) tell(others []*gateway, records []quarantine.Record, cuts []quarantine.Cut, soonest, latest time.Duration) {
	if len(records)+len(cuts) == 0 {
		return
	}
	for _, other := range others {
		if s.random.Float64() >= s.loss {
			to := other.tracker
			s.clock.After(s.between(soonest, latest), func() {
				if other.tracker != to {
					return // killed meanwhile
				}
				other.tracker.LearnCuts(s.instant(other), cuts)
				other.tracker.Learn(s.instant(other), records)
			})
		}
	}
}

// peers returns the gateways that get a message.
func (s *simulation) peers(g *gateway) []*gateway {
	if len(s.gateway) <= fanOut {
		return slices.DeleteFunc(slices.Clone(s.gateway), func(other *gateway) bool { return other == g })
	}
	var chosen []*gateway
	for range fanOut {
		if other := s.gateway[s.random.IntN(len(s.gateway))]; other != g {
			chosen = append(chosen, other)
		}
	}
	return chosen
}

// shareOf returns the share to which a call counts, nil if to none.
func (s *simulation) shareOf(c *call) *share {
	if c.harm >= 0 || c.parts[0] != routePart(0) {
		return nil
	}
	if c.sentAt < s.firstBad-2*time.Second {
		return &s.report.calm
	}
	if len(s.fifthAt) == 0 || s.fifthAt[0] == 0 || c.sentAt > time.Duration(s.seconds)*time.Second-2*time.Second {
		return nil
	}
	if c.sentAt > s.fifthAt[0]+settled {
		return &s.report.after
	}
	return &s.report.during
}

func (s *simulation) countSent(c *call) {
	if c.harm < 0 {
		s.report.total++
	}
	if c.counted = s.shareOf(c); c.counted != nil {
		c.counted.sent++
	}
}

func (s *simulation) countBegun(c *call) {
	if c.counted != nil {
		c.counted.begun++
	}
}

// checkRoutes measures how long gateways keep the first part of a route blocked.
func (s *simulation) checkRoutes() {
	for _, g := range s.gateway[:min(len(s.gateway), 10)] {
		for i := range routeCount + 1 {
			part := routePart(i)
			if i == routeCount {
				part = sharedPart
			}
			since, known := g.blockedSince[part]
			_, blocked := g.tracker.Blocked(s.instant(g), simulatedService, []core.PromptPart{part})
			switch {
			case !blocked:
				delete(g.blockedSince, part)
			case !known:
				g.blockedSince[part] = s.now()
			default:
				s.report.blockedRoutes = max(s.report.blockedRoutes, s.now()-since)
			}
		}
	}
}

// countBlocked returns the number of sound parts that the first gateway blocks.
func (s *simulation) countBlocked() int {
	count := 0
	check := func(name string, n int) {
		for i := range n {
			part := core.PromptPart(fmt.Sprint(name, i))
			if _, blocked := s.gateway[0].tracker.Blocked(s.instant(s.gateway[0]), simulatedService, []core.PromptPart{part}); blocked {
				count++
			}
		}
	}
	check("route-", routeCount)
	if _, blocked := s.gateway[0].tracker.Blocked(s.instant(s.gateway[0]), simulatedService, []core.PromptPart{sharedPart}); blocked {
		count++
	}
	check("customer-", customerCount)
	check("document-", documentCount)
	return count
}
