package startquota_test

import (
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/slotshare"
	"github.com/zinniaseam/zinniaseam/startquota"
)

// gatewayModel is one process of a gateway.
type gatewayModel struct {
	*model
	name    string
	process uint64
	// offset is the difference of its clock from the time of the schedule.
	offset          time.Duration
	sender          *startquota.Sender
	suspended, dead bool
	// cut and cutFromEngine are set while it can't reach the agent and the engine.
	cut, cutFromEngine bool
	stream             *streamModel
	// lease, granted and knownBoot are as in the last status, open and waiting are numbers
	// of calls.
	lease                  uint64
	granted, open, waiting int
	knownBoot              int64
	sentAt                 time.Time
	sentDemand             slotshare.Demand
	// busy is set while calls arrive.
	busy bool
	// held is what fell due while it was suspended.
	held []func()
}

func (m *model) startGateway(i int) {
	g := &gatewayModel{
		model: m, name: fmt.Sprint("g", i), process: m.random.Uint64(), sender: &startquota.Sender{},
		offset: m.upTo(time.Hour), busy: m.chance(50),
	}
	m.log("%s starts", g.name)
	m.gateways[i] = g
	g.after(m.upTo(modelRetry), g.connect)
	g.after(m.upTo(modelDivide), g.run)
}

// clockNow reads the gateway's clock.
func (g *gatewayModel) clockNow() boottime.Instant { return g.now().Add(g.offset) }

// after runs a timer, which stands still while the process is suspended.
func (g *gatewayModel) after(wait time.Duration, do func()) {
	g.clock.After(wait, func() {
		switch {
		case g.dead:
		case g.suspended:
			g.held = append(g.held, do)
		default:
			do()
		}
	})
}

func (g *gatewayModel) end() {
	g.log("%s ends", g.name)
	g.dead = true
	g.closeStream()
}

func (g *gatewayModel) suspend(wait time.Duration) {
	g.log("%s suspended for %s", g.name, wait)
	g.suspended = true
	g.clock.After(wait, func() {
		g.log("%s resumes", g.name)
		g.suspended = false
		for _, do := range g.held {
			g.after(g.upTo(modelWake), do)
		}
		g.held = nil
		if s := g.stream; s != nil {
			g.after(g.upTo(modelWake), s.drainAtGateway)
		}
	})
}

// closeStream ends the stream. The agent notices after the messages that are under way.
func (g *gatewayModel) closeStream() {
	s := g.stream
	if s == nil {
		return
	}
	s.closedAtGateway, g.stream = true, nil
	if s.silent || g.cut {
		g.clock.After(g.upTo(5*time.Second), func() { s.agent.leave(s) })
		return
	}
	s.toAgent(g.delay(), func() { s.agent.leave(s) })
}

// disconnect is the end of the stream as the gateway notices it.
func (g *gatewayModel) disconnect() {
	if g.stream == nil || g.dead {
		return
	}
	g.log("%s notices the end of its stream", g.name)
	g.closeStream()
	g.sender.SetPermit(startquota.Permit{})
	g.lease = 0
	g.after(modelRetry, g.connect)
}

func (g *gatewayModel) connect() {
	if g.agent.dead || g.agent.suspended || g.cut {
		g.after(modelRetry, g.connect)
		return
	}
	s := &streamModel{gateway: g, agent: g.agent, first: true}
	g.stream = s
	g.agent.streams = append(g.agent.streams, s)
	g.report()
}

// silence cuts the stream without an end that the gateway would notice.
func (g *gatewayModel) silence(wait time.Duration) {
	s := g.stream
	if s == nil {
		return
	}
	g.log("%s has a silent stream for %s", g.name, wait)
	s.silent = true
	g.after(wait, func() {
		if g.stream == s {
			g.disconnect()
		}
	})
}

func (g *gatewayModel) demand() slotshare.Demand {
	return slotshare.Demand{Calls: float64(g.open + g.waiting), Open: g.open}
}

func (g *gatewayModel) report() {
	if g.stream == nil {
		return
	}
	s := g.stream
	g.sentAt, g.sentDemand = g.clock.Now(), g.demand()
	next := message{
		report: startquota.Report{Process: g.process, Number: g.lease, Sent: g.sender.Sent(g.clockNow())},
		demand: g.sentDemand, clock: time.Duration(g.clockNow()).Milliseconds(),
	}
	s.toAgent(g.delay(), func() { s.apply(next) })
}

func (g *gatewayModel) apply(s *streamModel, status status) {
	if g.stream != s || g.dead {
		return
	}
	sent := boottime.Instant(time.Duration(status.echo) * time.Millisecond)
	g.sender.SetPermit(startquota.Permit{Starts: status.lease.Starts, Boot: status.boot, Until: sent.Add(startquota.LeaseTime)})
	if status.boot != 0 {
		g.knownBoot = status.boot
	}
	g.granted = status.granted
	if g.lease != status.lease.Number {
		g.lease = status.lease.Number
		g.log("%s has lease %d of %d", g.name, g.lease, status.lease.Starts)
		g.report()
	}
	g.place()
}

// run lets calls arrive, sends what waits and reports the demand.
func (g *gatewayModel) run() {
	if g.waiting < g.load && (g.busy || !g.faults.any()) {
		g.waiting += 1 + g.random.IntN(g.load-g.waiting)
	}
	g.place()
	if g.waiting > 0 && g.chance(g.lend) {
		g.borrow()
	}
	since := g.clock.Now().Sub(g.sentAt)
	if since >= modelRepeat || since >= modelStatusGap && g.demand() != g.sentDemand {
		g.report()
	}
	g.after(g.upTo(modelStatusGap), g.run)
}

// mayPlace reports whether a slot and a call of the permit are free.
func (g *gatewayModel) mayPlace() bool {
	now := g.clockNow()
	return g.knownBoot != 0 && g.open < g.granted && g.sender.Used(now) < g.sender.Limit(now, g.knownBoot)
}

// dial is how long it takes to open a connection to the engine.
func (g *gatewayModel) dial() time.Duration {
	if g.chance(g.slowDial) {
		return g.upTo(2500 * time.Millisecond)
	}
	return g.upTo(10 * time.Millisecond)
}

func (g *gatewayModel) place() {
	for g.waiting > 0 && g.mayPlace() {
		g.waiting--
		g.open++
		g.sender.Place()
		g.after(g.dial(), g.start)
	}
}

func (g *gatewayModel) start() {
	if g.cutFromEngine || !g.sender.Start(g.clockNow(), g.knownBoot) {
		if g.cutFromEngine {
			g.sender.Withdraw()
		} else {
			g.sender.Withdraw()
			g.waiting++
		}
		g.open--
		return
	}
	g.send(g.knownBoot, func() { g.open--; g.place() })
}

// send sends a call, which occupies a slot until ended.
func (g *gatewayModel) send(boot int64, ended func()) {
	took := time.Duration(1)
	if g.receive(boot, g.name) {
		took = g.callTime/2 + g.upTo(g.callTime)
	}
	g.after(took, ended)
}

// borrow asks another gateway for a slot.
func (g *gatewayModel) borrow() {
	from := g.gateways[g.random.IntN(len(g.gateways))]
	if from == nil || from == g || from.waiting > 0 && g.chance(80) {
		return
	}
	askedAt := g.clockNow()
	from.after(g.delay(), func() {
		if !from.mayPlace() {
			return
		}
		within := from.lendStart()
		g.after(g.delay(), func() { g.startBorrowed(from, askedAt.Add(within)) })
	})
}

// lendStart is as in package placement.
func (g *gatewayModel) lendStart() time.Duration {
	now := g.clockNow()
	g.open++
	g.after(startquota.MaxSendDelay+g.callTime, func() { g.open-- })
	g.sender.Place()
	g.sender.StartAt(now.Add(startquota.MaxSendDelay))
	return min(startquota.MaxSendDelay, g.sender.Permit().Until.Sub(now))
}

func (g *gatewayModel) startBorrowed(from *gatewayModel, sendBy boottime.Instant) {
	if g.waiting == 0 {
		return
	}
	g.waiting--
	g.after(g.dial(), func() {
		if g.cutFromEngine || !g.clockNow().Before(sendBy) {
			g.waiting++
			return
		}
		g.log("%s borrowed from %s", g.name, from.name)
		g.send(g.knownBoot, func() {})
	})
}
