package claims

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/virtualtime"
)

// machine is the state machine of a simulated home, implemented by partition.
type machine interface {
	step(now time.Time, e event) []action
	nextWake() time.Time
}

var simulationStart = time.UnixMilli(1_700_000_000_000)

// simulatedConfig makes sealing, expiry and rate limiting take effect within seconds.
var simulatedConfig = Config{
	WriteRate: 60, WriteBurst: 3, ProcessWriteRate: 200, ProcessWriteBurst: 50,
	FlushAfter: 150 * time.Millisecond, HoldOff: 200 * time.Millisecond,
	SlowAfter: 150 * time.Millisecond, StoreTimeout: 400 * time.Millisecond,
	RetryMin: 5 * time.Millisecond, RetryMax: 100 * time.Millisecond,
	SealClaims: 4, KeepClaims: 1, SegmentClaims: 6, MaxAnswers: 3,
	Horizon: 2 * time.Second, MinHorizon: time.Second,
}.withDefaults()

// simulatedHome is one process. While frozen it neither handles events nor performs
// the actions returned by its last step.
type simulatedHome struct {
	vm          core.VMID
	incarnation uint64
	machine     machine
	dead        bool
	frozen      bool
	backlog     []func()
	wakeAt      time.Time
}

// simulatedCall is one call with an idempotency key.
type simulatedCall struct {
	key         keyHash
	fingerprint uint64
	home        *simulatedHome
	replied     bool
	notRun      bool
	deadline    time.Time
}

type simulatedRecord struct {
	value    []byte
	revision uint64
}

// simulation runs several homes of one partition against one store, under injected
// faults.
type simulation struct {
	random     *rand.Rand
	clock      *virtualtime.Clock
	faults     bool
	outage     bool
	build      func(vm core.VMID, incarnation uint64, random *rand.Rand) machine
	homes      []*simulatedHome
	store      map[string]simulatedRecord
	last       uint64
	calls      map[uint64]*simulatedCall
	token      uint64
	runs       map[keyHash]int
	violations []string
	answers    int
	unknown    int
	notRun     int
}

// simulatedProcesses is the source of unique process numbers.
var simulatedProcesses atomic.Uint64

func buildPartition(vm core.VMID, incarnation uint64, random *rand.Rand) machine {
	process := rate.NewLimiter(rate.Limit(simulatedConfig.ProcessWriteRate), simulatedConfig.ProcessWriteBurst)
	options := Options{Self: vm, Incarnation: incarnation}
	return newPartition(simulatedConfig, options, simulatedProcesses.Add(1), newPacer(simulatedConfig, process), random)
}

func newSimulation(seed uint64, build func(core.VMID, uint64, *rand.Rand) machine) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 17)), clock: virtualtime.New(simulationStart), faults: true, build: build,
		store: map[string]simulatedRecord{}, calls: map[uint64]*simulatedCall{}, runs: map[keyHash]int{},
	}
	for i := range 3 {
		s.addHome(core.VMID(fmt.Sprintf("vm-%d", i)), 1)
	}
	return s
}

func (s *simulation) addHome(vm core.VMID, incarnation uint64) *simulatedHome {
	h := &simulatedHome{vm: vm, incarnation: incarnation, machine: s.build(vm, incarnation, s.random)}
	s.homes = append(s.homes, h)
	return h
}

func (s *simulation) faultOccurs(percent int) bool { return s.faults && s.random.IntN(100) < percent }

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *simulation) after(wait time.Duration, do func()) { s.clock.After(wait, do) }

// runFor runs the simulation for the given span.
func (s *simulation) runFor(span time.Duration) { s.clock.RunUntil(s.clock.Now().Add(span)) }

// deliver applies an event to a home, or queues it while the home is frozen.
func (s *simulation) deliver(h *simulatedHome, e event) {
	s.onHome(h, func() {
		actions := h.machine.step(s.clock.Now(), e)
		for _, a := range actions {
			s.maybeFreeze(h)
			s.onHome(h, func() { s.perform(h, a) })
		}
		s.scheduleTick(h)
	})
}

func (s *simulation) onHome(h *simulatedHome, do func()) {
	switch {
	case h.dead:
	case h.frozen:
		h.backlog = append(h.backlog, do)
	default:
		do()
	}
}

func (s *simulation) scheduleTick(h *simulatedHome) {
	wake := h.machine.nextWake()
	if wake.IsZero() || wake.Equal(h.wakeAt) {
		return
	}
	h.wakeAt = wake
	s.after(max(wake.Sub(s.clock.Now()), time.Millisecond), func() {
		h.wakeAt = time.Time{}
		s.deliver(h, tick{})
	})
}

// maybeFreeze freezes a home between two of its steps.
func (s *simulation) maybeFreeze(h *simulatedHome) {
	if !h.frozen && s.faultOccurs(2) {
		h.frozen = true
		s.after(s.between(10*time.Millisecond, 3*time.Second), func() { s.wake(h) })
	}
}

func (s *simulation) wake(h *simulatedHome) {
	h.frozen = false
	backlog := h.backlog
	h.backlog = nil
	for _, do := range backlog {
		s.onHome(h, do)
	}
}

// kill stops a home permanently and starts its replacement. Two replacements may have
// the same VM and incarnation, like overlapping processes of one VM.
func (s *simulation) kill(h *simulatedHome) {
	h.dead = true
	replacement := h.vm
	incarnation := h.incarnation + 1
	if s.random.IntN(2) == 0 {
		replacement, incarnation = core.VMID(fmt.Sprintf("vm-%d", len(s.homes))), 1
	}
	s.after(s.between(time.Millisecond, time.Second), func() { s.addHome(replacement, incarnation) })
}

// perform executes one action of a home.
func (s *simulation) perform(h *simulatedHome, a action) {
	switch a := a.(type) {
	case reply:
		s.checkReply(a)
	case start:
		s.execute(h, a)
	case loadHead:
		s.request(h, func() event {
			r := s.store["head"]
			return headLoaded{value: r.value, revision: r.revision}
		}, headLoaded{err: errStoreLost})
	case swapHead:
		s.request(h, func() event {
			revision, swapped := s.swap("head", a.value, a.previous)
			return headSwapped{revision: revision, swapped: swapped}
		}, headSwapped{err: errStoreLost})
	case loadSegment:
		s.request(h, func() event {
			r := s.store[segmentName(a.name)]
			return segmentLoaded{value: r.value, revision: r.revision}
		}, segmentLoaded{err: errStoreLost})
	case swapSegment:
		s.request(h, func() event {
			revision, swapped := s.swap(segmentName(a.name), a.value, a.previous)
			return segmentSwapped{revision: revision, swapped: swapped}
		}, segmentSwapped{err: errStoreLost})
	}
}

var errStoreLost = errors.New("store: no answer")

func segmentName(name uint64) string { return fmt.Sprintf("segment-%d", name) }

func (s *simulation) swap(key string, value []byte, previous uint64) (uint64, bool) {
	present := s.store[key]
	if present.revision != previous {
		return present.revision, false
	}
	s.last++
	s.store[key] = simulatedRecord{value: value, revision: s.last}
	return s.last, true
}

// request executes a store call. The call or its result may be lost or delayed. A call
// that has timed out at its home may still take effect later.
func (s *simulation) request(h *simulatedHome, effect func() event, failed event) {
	done := false
	finish := func(e event) {
		if !done {
			done = true
			s.deliver(h, e)
		}
	}
	s.after(simulatedConfig.StoreTimeout, func() { finish(failed) })
	if s.outage && s.random.IntN(4) > 0 {
		s.after(time.Millisecond, func() { finish(failed) })
		return
	}
	if s.faultOccurs(5) {
		return
	}
	s.after(s.storeDelay(), func() {
		result := effect()
		if s.faultOccurs(8) {
			s.after(time.Millisecond, func() { finish(failed) })
			return
		}
		s.after(s.storeDelay(), func() { finish(result) })
	})
}

func (s *simulation) storeDelay() time.Duration {
	if s.faultOccurs(6) {
		return s.between(50*time.Millisecond, 2*time.Second)
	}
	return s.between(200*time.Microsecond, 4*time.Millisecond)
}

// execute runs a call at the service, unless the handover to the service fails first.
func (s *simulation) execute(h *simulatedHome, a start) {
	call := s.calls[a.token]
	if call.replied {
		s.fail("token %d was started after its reply", a.token)
	}
	if s.faultOccurs(10) {
		s.deliver(h, finished{key: a.key, refusal: core.NotRun(core.ReasonBackendFailed, 0, "connection refused")})
		return
	}
	s.runs[a.key]++
	if s.runs[a.key] > 1 {
		s.fail("key %x ran %d times", a.key[:4], s.runs[a.key])
	}
	end := finished{key: a.key, answer: answerOf(a.key)}
	if s.faultOccurs(10) {
		end = finished{key: a.key, refusal: core.Unknown(core.ReasonBackendFailed, 0, "connection lost")}
	}
	s.after(s.between(time.Millisecond, 300*time.Millisecond), func() { s.deliver(h, end) })
}

func answerOf(key keyHash) *Answer { return &Answer{Status: 200, Body: []byte(fmt.Sprintf("%x", key))} }

// checkReply checks a reply against the executions so far.
func (s *simulation) checkReply(r reply) {
	call := s.calls[r.token]
	if call.replied {
		s.fail("token %d has two replies", r.token)
	}
	call.replied = true
	switch {
	case r.answer != nil:
		s.answers++
		if string(r.answer.Body) != string(answerOf(call.key).Body) || s.runs[call.key] == 0 {
			s.fail("token %d has the answer of another key, or of a key that did not run", r.token)
		}
	case r.refusal.Kind == core.OutcomeNotRun:
		s.notRun++
		call.notRun = true
	default:
		s.unknown++
	}
}

func (s *simulation) fail(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// submit sends one call to a home. Its caller gives up at its deadline.
func (s *simulation) submit(h *simulatedHome, key keyHash, keyTime int64, fingerprint uint64) *simulatedCall {
	s.token++
	token := s.token
	callerTimeout := s.between(20*time.Millisecond, 1500*time.Millisecond)
	call := &simulatedCall{key: key, fingerprint: fingerprint, home: h, deadline: s.clock.Now().Add(callerTimeout)}
	s.calls[token] = call
	s.deliver(h, submit{token: token, key: key, keyTime: keyTime, fingerprint: fingerprint, deadline: call.deadline})
	s.after(callerTimeout, func() {
		if !call.replied {
			s.deliver(h, abandon{token: token})
		}
	})
	return call
}
