package startquota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/slotshare"
	"github.com/zinniaseam/zinniaseam/startquota"
	"github.com/zinniaseam/zinniaseam/virtualtime"
)

// The intervals of packages agent and gateway, which must not be imported here.
const (
	modelDivide    = 100 * time.Millisecond
	modelPoll      = 100 * time.Millisecond
	modelStatusGap = 200 * time.Millisecond
	modelRepeat    = time.Second
	modelRetry     = 300 * time.Millisecond
	modelHold      = startquota.Window + startquota.MaxSendDelay
	// modelWake is how long after a suspension the messages that waited are read at the
	// latest. Timers run before.
	modelWake = 200 * time.Millisecond
)

var modelStart = time.Unix(1000, 0)

// model is one engine, the agent beside it and the gateways that send to it.
type model struct {
	random *rand.Rand
	clock  *virtualtime.Clock
	faults faults
	// limit and slots are the settings of the engine. Until formerUntil, calls may still be
	// sent under formerLimit; it is zero until the agent has divided by the present limit.
	limit, slots, formerLimit int
	formerUntil               time.Time
	callTime                  time.Duration
	// late and slowDial are how many of 100 messages and connections are late, lend how many
	// of 100 waits lead to a request for a slot, load how many calls wait at each gateway at
	// most.
	late, slowDial, lend, load int
	// kinds are the bits of the ordinary faults that occur, faultGap the time between two
	// draws at most.
	kinds    int
	faultGap time.Duration
	boot     int64
	agent    *agentModel
	// agents is the number of processes of the agent so far.
	agents   int
	gateways []*gatewayModel
	// sent are the calls sent to the present start of the engine within the last Window,
	// total are all calls, most is the largest number within a Window in parts of the limit.
	sent      []time.Time
	total     int
	most      float64
	violation string
	traced    bool
	trace     []string
}

func (m *model) now() boottime.Instant {
	return boottime.Instant(m.clock.Now().Sub(modelStart)) + start
}

func (m *model) upTo(most time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(most))) + 1
}

func (m *model) chance(percent int) bool { return m.random.IntN(100) < percent }

func (m *model) log(format string, values ...any) {
	if m.traced {
		m.trace = append(m.trace, fmt.Sprint(m.clock.Now().Sub(modelStart), " ", fmt.Sprintf(format, values...)))
	}
}

// delay is the time that a message takes.
func (m *model) delay() time.Duration {
	if m.chance(m.late) {
		return m.upTo(2 * time.Second)
	}
	return m.upTo(30 * time.Millisecond)
}

// allowed returns how many calls may be sent within a Window. A gateway that has not heard
// of a lower limit sends by the former one until its lease has ended.
func (m *model) allowed() int {
	if m.formerLimit > 0 && (m.formerUntil.IsZero() || m.clock.Now().Before(m.formerUntil)) {
		return max(m.limit, m.formerLimit)
	}
	return m.limit
}

// receive counts a call that carries a boot time. The engine refuses one for another start.
func (m *model) receive(boot int64, from string) bool {
	if boot != m.boot {
		return false
	}
	now := m.clock.Now()
	for len(m.sent) > 0 && now.Sub(m.sent[0]) >= startquota.Window {
		m.sent = m.sent[1:]
	}
	m.sent = append(m.sent, now)
	m.total++
	m.log("%s sends, %d in a second", from, len(m.sent))
	m.most = max(m.most, float64(len(m.sent))/float64(m.allowed()))
	if len(m.sent) > m.allowed() && m.violation == "" {
		m.violation = fmt.Sprintf("%s: %d calls within a second, limit %d", now.Sub(modelStart), len(m.sent), m.allowed())
		m.log("VIOLATION")
	}
	return true
}

func (m *model) restartEngine() {
	m.boot++
	m.sent = nil
	m.log("engine restarts, boot %d", m.boot)
}

// setLimit changes the settings, which the agent learns at once.
func (m *model) setLimit(limit, slots int) {
	m.log("limit %d, slots %d", limit, slots)
	m.formerLimit, m.formerUntil = m.allowed(), time.Time{}
	m.limit, m.slots = limit, slots
	m.agent.learnLimit()
}

// agentModel is one process of the agent.
type agentModel struct {
	*model
	quota   *startquota.Quota
	divider *slotshare.Divider
	// knownBoot is the boot time of the engine as last polled.
	knownBoot       int64
	streams         []*streamModel
	suspended, dead bool
}

func (m *model) startAgent() {
	m.log("agent starts")
	a := &agentModel{model: m, quota: startquota.New(m.now()), divider: slotshare.NewDivider("e")}
	m.agent = a
	m.agents++
	a.every(m.upTo(modelPoll), modelPoll, a.poll)
	a.every(m.upTo(modelDivide), modelDivide, a.divide)
}

// every runs a timer of the process, which stands still while it is suspended.
func (a *agentModel) every(first, wait time.Duration, do func()) {
	a.clock.After(first, func() {
		if a.dead {
			return
		}
		if !a.suspended {
			do()
		}
		a.every(wait, wait, do)
	})
}

// poll learns of a start of the engine. Its weights are loaded when it starts.
func (a *agentModel) poll() {
	if a.knownBoot != 0 && a.knownBoot != a.boot {
		a.quota.SetUnprecedented()
	}
	a.knownBoot = a.boot
}

func (a *agentModel) learnLimit() {
	a.divider.SetSlots(a.slots)
	a.quota.SetLimit(a.limit, a.slots)
}

func (a *agentModel) divide() {
	a.divider.Divide(a.now())
	a.quota.Divide(a.now(), func(gateway string) int {
		slots, _ := a.divider.Granted(gateway)
		return slots
	})
	if a.formerUntil.IsZero() {
		a.formerUntil = a.clock.Now().Add(startquota.LeaseTime + modelHold)
	}
	for _, s := range a.streams {
		s.sendStatus()
	}
}

// end closes the streams of a process that ends. The gateways notice at once, or with
// faults.unheard after the messages that are under way, if at all.
func (a *agentModel) end() {
	a.log("agent ends")
	a.dead = true
	for _, s := range a.streams {
		s.closedAtAgent = true
		if a.faults.unheard {
			s.toGateway(a.upTo(5*time.Millisecond), s.gateway.disconnect)
			continue
		}
		a.clock.After(a.upTo(5*time.Millisecond), func() {
			if s.gateway.stream == s && !s.silent {
				s.gateway.disconnect()
			}
		})
	}
}

func (a *agentModel) suspend(wait time.Duration) {
	a.log("agent suspended for %s", wait)
	a.suspended = true
	a.clock.After(wait, func() {
		a.log("agent resumes")
		a.suspended = false
		for _, s := range a.streams {
			a.clock.After(a.upTo(modelWake), s.drainAtAgent)
		}
	})
}

// leave removes a stream whose end the agent has noticed.
func (a *agentModel) leave(s *streamModel) {
	s.closedAtAgent = true
	follows := false
	var rest []*streamModel
	for _, other := range a.streams {
		if other != s {
			rest = append(rest, other)
			follows = follows || other.gateway.name == s.gateway.name && !other.first
		}
	}
	a.streams = rest
	if !follows {
		a.divider.Remove(s.gateway.name)
	}
}

// streamModel is a stream between a process of a gateway and one of the agent.
type streamModel struct {
	gateway                        *gatewayModel
	agent                          *agentModel
	silent                         bool
	closedAtAgent, closedAtGateway bool
	// The last arrivals in both directions, and what waits for a suspended process.
	atAgent, atGateway           time.Time
	waitingAtAgent, waitingAtGwy []func()
	// first is set until the first message; echo is the clock in the last one.
	first bool
	echo  int64
	// sentLease, sentGranted and sentAt are of the last status.
	sentLease   uint64
	sentGranted int
	sentAt      time.Time
}

// toAgent delivers a message after those before it.
func (s *streamModel) toAgent(delay time.Duration, do func()) {
	m := s.agent.model
	s.atAgent = later(s.atAgent, m.clock.Now().Add(delay))
	m.clock.At(s.atAgent, func() {
		if s.silent || s.closedAtAgent {
			return
		}
		s.waitingAtAgent = append(s.waitingAtAgent, do)
		if len(s.waitingAtAgent) == 1 {
			s.drainAtAgent()
		}
	})
}

func (s *streamModel) drainAtAgent() {
	if s.agent.suspended || s.agent.dead {
		return
	}
	for len(s.waitingAtAgent) > 0 {
		do := s.waitingAtAgent[0]
		s.waitingAtAgent = s.waitingAtAgent[1:]
		if !s.closedAtAgent {
			do()
		}
	}
}

func (s *streamModel) toGateway(delay time.Duration, do func()) {
	m := s.agent.model
	s.atGateway = later(s.atGateway, m.clock.Now().Add(delay))
	m.clock.At(s.atGateway, func() {
		if s.silent || s.closedAtGateway {
			return
		}
		s.waitingAtGwy = append(s.waitingAtGwy, do)
		if len(s.waitingAtGwy) == 1 {
			s.drainAtGateway()
		}
	})
}

func (s *streamModel) drainAtGateway() {
	for len(s.waitingAtGwy) > 0 && !s.gateway.suspended {
		do := s.waitingAtGwy[0]
		s.waitingAtGwy = s.waitingAtGwy[1:]
		if !s.closedAtGateway {
			do()
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// message is what a gateway sends.
type message struct {
	report startquota.Report
	demand slotshare.Demand
	clock  int64
}

func (s *streamModel) apply(message message) {
	a := s.agent
	s.echo, s.first = message.clock, false
	a.learnLimit()
	a.quota.Seen(a.now(), s.gateway.name, message.report)
	a.divider.SetDemand(a.now(), s.gateway.name, message.demand)
	s.sendStatus()
}

// status is what an agent sends.
type status struct {
	lease   startquota.Lease
	granted int
	boot    int64
	echo    int64
}

// sendStatus sends a status if one is due.
func (s *streamModel) sendStatus() {
	a, since := s.agent, s.agent.clock.Now().Sub(s.sentAt)
	granted, _ := a.divider.Granted(s.gateway.name)
	lease := a.quota.Lease(s.gateway.name)
	changed := lease.Number != s.sentLease || granted != s.sentGranted
	if s.closedAtAgent || s.first || since < modelStatusGap || !changed && since < modelRepeat {
		return
	}
	s.sentLease, s.sentGranted, s.sentAt = lease.Number, granted, a.clock.Now()
	next := status{lease: lease, granted: granted, boot: a.knownBoot, echo: s.echo}
	s.toGateway(a.delay(), func() { s.gateway.apply(s, next) })
}
