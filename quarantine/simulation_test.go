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

func newGateway(index int, config quarantine.Config) *gateway {
	return &gateway{index: index, tracker: quarantine.New(config), trials: map[core.PromptPart]bool{}, blockedSince: map[core.PromptPart]time.Duration{}}
}

func simulate(seed uint64, s scenario) report {
	start := time.Unix(0, 0)
	sim := &simulation{scenario: s, clock: virtualtime.New(start), start: start, random: rand.New(rand.NewPCG(seed, 1)), firstBad: time.Duration(s.seconds) * time.Second}
	sim.harms = slices.Clone(s.harms)
	sim.report.crashes, sim.report.late = make([]int, len(s.harms)), make([]int, len(s.harms))
	sim.fifthAt = make([]time.Duration, len(s.harms))
	for i := range s.gateways {
		g := newGateway(i, s.config)
		sim.gateway = append(sim.gateway, g)
		sim.clock.After(sim.between(0, sendInterval), func() {
			sim.exchange(g)
			sim.clock.Every(sendInterval/2, func() { sim.exchange(g) })
		})
	}
	for i := range s.hubs {
		hub := newGateway(i, s.config)
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
