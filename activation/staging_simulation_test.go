package activation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/virtualtime"
)

// The settings and bounds of the agent, which package activation must not import.
const (
	stagingChunks    = 6
	stagingFaultTime = 10 * time.Second
	// stagingSettleTime is how long after the last fault the newest version must be loaded.
	stagingSettleTime = 8 * time.Second
	// stagingExcuse is how long before the acceptance of an order a chunk may have turned bad.
	stagingExcuse      = 3 * time.Second
	stagingOrderLimit  = 15 * time.Second
	stagingCallLimit   = 5 * time.Second
	stagingWriteLimit  = 2 * time.Second
	stagingAnswerLimit = 2 * time.Second
	stagingWriteSettle = time.Second
	stagingTick        = 100 * time.Millisecond
	stagingPoll        = 20 * time.Millisecond
	stagingWritePoll   = 5 * time.Millisecond
)

var stagingConfig = Config{
	PlainNames: true, OrderTimeout: stagingOrderLimit + time.Second, CallTimeout: stagingCallLimit,
	RetryWait: 100 * time.Millisecond, MaxVerifiedAge: 2 * time.Second, OrderSettle: time.Second,
}

// stagingFlaws are the protections that a schedule leaves out.
type stagingFlaws struct {
	// noVerifiedAge, noOrderSettle, ignoresUse and keepsOnDeclared concern the state
	// machine: verifications of any age, lost orders that are over at once, StagingInUse
	// ignored, staged chunks that Declared does not clear.
	noVerifiedAge, noOrderSettle, ignoresUse, keepsOnDeclared bool
	// sendsExpired, readsDuringWrites, abandonsWrites and datesFromEnd
	// concern the agent: orders sent after ValidFor, verification during writes, writes that
	// count as over when the spread of
	// their version ends, verifications dated from their end.
	sendsExpired, readsDuringWrites, abandonsWrites, datesFromEnd bool
}

// stagingFault is a kind of fault. Each schedule has some kinds and lacks others.
type stagingFault int

const (
	slowProcess stagingFault = iota
	slowWrites
	lostWrites
	slowFetches
	slowReads
	slowAnswers
	slowAcceptance
	lostOrders
	refusedOrders
	failedPolls
	suspensions
	crashes
	rottenChunks
	changedChoices
	quickVersions
	stagingFaultKinds
)

// stagedChunk is a chunk as it lies in the engine's staging area.
type stagedChunk struct {
	version int64
	// rottenAt is when it turned bad, zero if it is sound.
	rottenAt time.Time
}

// copyingEngine stages one unchecked copy of each chunk and loads what is staged when it
// accepts an order. The staged chunks survive a crash.
type copyingEngine struct {
	staged   [stagingChunks]stagedChunk
	boot     uint64
	version  int64
	loading  bool
	down     bool
	accepted int
}

func (e *copyingEngine) status() engine.Status {
	status := engine.Status{Boot: e.boot, State: engine.StateEmpty}
	if e.version > 0 {
		status.State, status.Version = engine.StateReady, stagingID(e.version)
	}
	if e.loading {
		status.State = engine.StateLoading
	}
	return status
}

func stagingID(version int64) core.VersionID { return core.VersionID(fmt.Sprintf("m/%d", version)) }

func stagingNumber(id core.VersionID) (version int64) {
	if _, err := fmt.Sscanf(string(id), "m/%d", &version); err != nil {
		panic(err)
	}
	return version
}

// stagingSimulation is one engine, the agent on its VM and their faults.
type stagingSimulation struct {
	random *rand.Rand
	// rates are how often the faults of each kind occur in this schedule, in percent of
	// their usual frequency.
	rates  [stagingFaultKinds]int
	clock  *virtualtime.Clock
	flaws  stagingFlaws
	faults bool
	engine copyingEngine
	agent  *simulatedAgent
	newest int64
	// violation is the first one found.
	violation string
	traced    bool
	trace     []string
}

// simulatedAgent stages, verifies and orders as package agent does.
type simulatedAgent struct {
	machine   *Machine
	suspended bool
	// backlog holds what is due while the VM is suspended.
	backlog []func()
	// busy is set while the updater waits for the spreader; events wait in queue.
	busy  bool
	queue []func()

	known, loaded, chosen, wish int64
	revision                    uint64
	target                      Target
	planAt                      time.Time

	// The spreader: commands are its new targets, run numbers them, stored are the chunks of the target, progress
	// is the version that counts as complete, cached are the chunks in memory.
	commands []func()
	run      int
	stored   [stagingChunks]bool
	progress int64
	cached   map[int64]*[stagingChunks]bool

	// The staging gate.
	gateVersion  int64
	gateClosed   bool
	gateWaiting  []func()
	writes       int
	unknownUntil time.Time
}

func newStagingSimulation(seed uint64, flaws stagingFlaws) *stagingSimulation {
	s := &stagingSimulation{random: rand.New(rand.NewPCG(seed, 23)), clock: virtualtime.New(time.UnixMilli(1_700_000_000_000)), flaws: flaws, faults: true}
	s.engine.boot = 1
	for kind := range s.rates {
		s.rates[kind] = []int{0, 100, 100, 300}[s.random.IntN(4)]
	}
	config := stagingConfig
	if flaws.noVerifiedAge {
		config.MaxVerifiedAge = 0
	}
	if flaws.noOrderSettle {
		config.OrderSettle = 0
	}
	s.agent = &simulatedAgent{machine: New(config), cached: map[int64]*[stagingChunks]bool{}}
	return s
}

func (s *stagingSimulation) log(format string, args ...any) {
	if s.traced {
		s.trace = append(s.trace, fmt.Sprintf("%8.3f  ", float64(s.clock.Now().UnixMilli()-1_700_000_000_000)/1000)+fmt.Sprintf(format, args...))
	}
}

// faultOccurs decides whether a fault of a kind with the usual chance occurs.
func (s *stagingSimulation) faultOccurs(kind stagingFault, percent int) bool {
	return s.faults && s.random.IntN(10_000) < percent*s.rates[kind]
}

// upTo draws the number of faults of a kind that a schedule plans.
func (s *stagingSimulation) upTo(kind stagingFault, usual int) int {
	return s.random.IntN(1 + usual*s.rates[kind]/100)
}

func (s *stagingSimulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *stagingSimulation) ms(low, high int) time.Duration {
	return s.between(time.Duration(low)*time.Millisecond, time.Duration(high)*time.Millisecond)
}

// usually returns a few milliseconds, or with a chance up to slowest.
func (s *stagingSimulation) usually(kind stagingFault, percent int, slowest time.Duration) time.Duration {
	if s.faultOccurs(kind, percent) {
		return s.between(10*time.Millisecond, slowest)
	}
	return s.ms(1, 6)
}

// step is agent.updater.step.
func (s *stagingSimulation) step(e Event) {
	m, now := s.agent.machine, s.clock.Now()
	staged, verified, verifiedAt := m.staged, m.verified, m.verifiedAt
	actions := m.Step(now, e)
	if _, declared := e.(Declared); declared && s.flaws.keepsOnDeclared {
		m.staged, m.verified, m.verifiedAt = staged, verified, verifiedAt
	}
	for _, action := range actions {
		switch a := action.(type) {
		case VerifyStaging:
			s.agent.gateClosed = !s.flaws.ignoresUse
			s.log("verification of %s begins", a.Manifest.Version)
			deadline := now.Add(stagingCallLimit)
			s.later(s.ms(0, 2), func() { s.verify(a, deadline) })
		case ConfirmHolder:
			s.step(HolderConfirmed{})
		case Order:
			s.log("order %d for %s, valid for %s", a.Order.Fence, a.Order.Version, a.ValidFor)
			s.sendOrder(a, now)
		case Cold, StagingLost:
			s.agent.target = Target{}
		}
	}
	if !m.StagingInUse() {
		s.openGate()
	}
}

// selectVersion is agent.updater.selectVersion. While there are faults, the choice goes back
// and forth among the versions that are newer than the loaded one.
func (s *stagingSimulation) selectVersion() {
	a := s.agent
	if a.known == 0 || a.machine.StagingInUse() && !s.flaws.ignoresUse {
		return
	}
	choice := a.known
	if s.faults && a.wish > a.loaded && a.wish < a.known {
		choice = a.wish
	}
	if choice != a.chosen {
		s.log("version %d is chosen after %d", choice, a.chosen)
		a.chosen, a.gateVersion = choice, choice
		a.revision++
		id := stagingID(choice)
		s.step(Declared{Revision: a.revision, Manifest: &core.Manifest{Version: id, SizeBytes: stagingChunks, ChunkBytes: 1, Chunks: make([]core.Digest, stagingChunks), Whole: core.DigestOf([]byte(id))}})
	}
	manifest, _, boot, ok := a.machine.StagingTarget()
	if !ok {
		return
	}
	target := Target{Version: manifest.Version, Digest: manifest.Whole, Boot: boot}
	if target != a.target {
		s.setTarget(target)
	}
}

// advance is agent.updater.advance.
func (s *stagingSimulation) advance() {
	a := s.agent
	if a.target == (Target{}) || a.progress != stagingNumber(a.target.Version) || a.loaded == a.progress || s.clock.Now().Before(a.planAt) {
		return
	}
	s.step(Staged{Target: a.target})
}

// setTarget is transfer.Spreader.SetTarget: it lists what is staged, puts back what is in
// memory and fetches the rest. The updater waits until the list is complete.
func (s *stagingSimulation) setTarget(target Target) {
	a := s.agent
	a.busy = true
	version := stagingNumber(target.Version)
	done := func(stored [stagingChunks]bool, err bool) {
		if !err {
			a.target, a.planAt = target, s.clock.Now().Add(s.ms(0, 400))
			a.commands = append(a.commands, func() { s.startRun(version, stored) })
			s.later(s.usually(slowProcess, 10, 100*time.Millisecond), s.runCommand)
		}
		a.busy = false
		s.pump()
	}
	deadline := s.clock.Now().Add(stagingCallLimit)
	s.list(version, deadline, func(stored [stagingChunks]bool, failed bool) {
		if failed {
			done(stored, true)
			return
		}
		s.restage(version, stored, 0, deadline, done)
	})
}

func (s *stagingSimulation) restage(version int64, stored [stagingChunks]bool, chunk int, deadline time.Time, done func([stagingChunks]bool, bool)) {
	for chunk < stagingChunks && (stored[chunk] || !s.cachedChunks(version)[chunk]) {
		chunk++
	}
	if chunk == stagingChunks {
		done(stored, false)
		return
	}
	s.put(version, chunk, func() bool { return s.clock.Now().Before(deadline) }, func(ok bool) {
		if !ok {
			done(stored, true)
			return
		}
		stored[chunk] = true
		s.restage(version, stored, chunk+1, deadline, done)
	})
}

func (s *stagingSimulation) cachedChunks(version int64) *[stagingChunks]bool {
	if s.agent.cached[version] == nil {
		s.agent.cached[version] = &[stagingChunks]bool{}
	}
	return s.agent.cached[version]
}

// runCommand runs the spreader's next command.
func (s *stagingSimulation) runCommand() {
	first := s.agent.commands[0]
	s.agent.commands = s.agent.commands[1:]
	first()
}

// startRun begins the spread of a version and ends the former one.
func (s *stagingSimulation) startRun(version int64, stored [stagingChunks]bool) {
	a := s.agent
	a.run++
	a.stored, a.progress = stored, 0
	run := a.run
	for chunk := range stagingChunks {
		if !stored[chunk] {
			s.fetch(run, version, chunk)
		}
	}
	s.noteProgress(run, version)
}

func (s *stagingSimulation) noteProgress(run int, version int64) {
	a := s.agent
	if run == a.run && !slices.Contains(a.stored[:], false) {
		a.progress = version
		s.post(func() {})
	}
}

// poll reads the engine's status; the answer may come late.
func (s *stagingSimulation) poll() {
	s.later(s.ms(1, 4), func() {
		requestedAt := s.clock.Now()
		seen, failed := s.engine.status(), s.engine.down || s.faultOccurs(failedPolls, 8)
		s.later(s.usually(slowAnswers, 10, 900*time.Millisecond), func() {
			s.post(func() {
				if failed {
					s.step(StatusFailed{})
					return
				}
				s.agent.loaded = 0
				if seen.Version != "" {
					s.agent.loaded = stagingNumber(seen.Version)
				}
				s.step(StatusSeen{Status: seen, RequestedAt: requestedAt})
			})
			s.later(stagingTick, s.poll)
		})
	})
}

func (s *stagingSimulation) tick() {
	s.postEvent(Tick{})
	s.later(stagingTick, s.tick)
}

func (s *stagingSimulation) declare() {
	s.newest++
	version := s.newest
	s.log("version %d is declared", version)
	s.later(s.ms(1, 50), func() { s.post(func() { s.agent.known = max(s.agent.known, version) }) })
}

func (s *stagingSimulation) planFaults() {
	s.declare()
	plan := func(kind stagingFault, usual int, do func()) {
		for range s.upTo(kind, usual) {
			s.clock.After(s.between(0, stagingFaultTime), do)
		}
	}
	for range 1 + s.upTo(quickVersions, 3) {
		at := s.between(0, stagingFaultTime)
		for range 1 + s.random.IntN(3) {
			s.clock.After(at, s.declare)
			at += s.ms(100, 1500)
		}
	}
	plan(changedChoices, 50, func() { s.agent.wish = 1 + s.random.Int64N(s.newest) })
	plan(rottenChunks, 40, func() { s.rot(s.random.IntN(stagingChunks)) })
	plan(crashes, 4, s.crash)
	plan(suspensions, 2, func() { s.suspend(s.ms(100, 8000)) })
}

// run plays the faults and then waits for the newest version. It returns the first
// violation, or an empty string.
func (s *stagingSimulation) run() string {
	s.planFaults()
	s.poll()
	s.tick()
	s.postEvent(NumbersGranted{First: 1, Last: 1 << 62})
	s.clock.RunUntil(s.clock.Now().Add(stagingFaultTime))
	s.faults = false
	s.log("the faults end")
	s.resume()
	for end := s.clock.Now().Add(stagingSettleTime); s.violation == "" && s.clock.Now().Before(end); {
		if s.engine.version == s.newest && !s.engine.loading {
			return ""
		}
		s.clock.RunUntil(s.clock.Now().Add(stagingTick))
	}
	if s.violation == "" {
		s.violation = fmt.Sprintf("%s after the faults the engine has version %d (loading: %t), want %d", stagingSettleTime, s.engine.version, s.engine.loading, s.newest)
	}
	return s.violation
}
