package activation

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/virtualtime"
)

// machine is the state machine of a simulated process, implemented by Machine.
type machine interface {
	Step(now time.Time, event Event) []Action
	Serving(now time.Time) (target Target, engineName core.VersionID, ok bool)
	StagingTarget() (manifest *core.Manifest, engineName core.VersionID, boot uint64, ok bool)
}

const (
	chunkCount   = 4
	statusPeriod = 100 * time.Millisecond
	loadTime     = 200 * time.Millisecond
	probePeriod  = 37 * time.Millisecond
)

var simulatedConfig = Config{OrderTimeout: 3 * time.Second, CallTimeout: time.Second, StatusMaxAge: 500 * time.Millisecond, MaxStepGap: 500 * time.Millisecond, RetryWait: 50 * time.Millisecond}

// sentOrder identifies an order by its process and the order in which it was sent.
type sentOrder struct {
	process  uint64
	sequence int
	number   uint64
}

// simulatedProcess is one endpoint process.
type simulatedProcess struct {
	machine machine
	// unreachable means that no more declarations arrive.
	unreachable bool
	holder      *Holder
	frozen      bool
	dead        bool
	backlog     []func()
	staging     core.VersionID
}

type simulation struct {
	random     *rand.Rand
	clock      *virtualtime.Clock
	sequence   int
	faults     bool
	confirm    bool
	outage     bool
	build      func() machine
	engine     *simulatedEngine
	processes  []*simulatedProcess
	record     []byte
	revision   uint64
	declared   []Declared
	violations []string
	served     int
}

// scheduleConfig configures one schedule.
type scheduleConfig struct {
	// checksFence means that the engine rejects outdated numbers, loadsUnverified that
	// it loads whatever is staged.
	checksFence, loadsUnverified bool
	// confirm means that the boot is confirmed after the first token.
	confirm bool
}

func newSimulation(seed uint64, set scheduleConfig, build func() machine) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 5)), clock: virtualtime.New(time.UnixMilli(1_700_000_000_000)), faults: true,
		confirm: set.confirm, build: build,
		engine: &simulatedEngine{checksFence: set.checksFence, loadsUnverified: set.loadsUnverified, staging: map[core.VersionID]map[int]bool{}},
	}
	s.engine.status = engine.Status{Boot: 1, State: engine.StateEmpty}
	return s
}

func (s *simulation) faultOccurs(percent int) bool { return s.faults && s.random.IntN(100) < percent }

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *simulation) after(wait time.Duration, do func()) { s.clock.After(wait, do) }

func (s *simulation) runFor(span time.Duration) { s.clock.RunUntil(s.clock.Now().Add(span)) }

// startProcess adds a process, which receives the newest declaration after a delay.
func (s *simulation) startProcess() *simulatedProcess {
	number := uint64(len(s.processes) + 1)
	p := &simulatedProcess{machine: s.build(), holder: &Holder{VM: "vm", Incarnation: number, Process: number, Store: s}}
	s.processes = append(s.processes, p)
	if len(s.declared) > 0 {
		s.sendDeclaration(p, s.declared[len(s.declared)-1])
	}
	s.poll(p)
	s.probe(p)
	return p
}

func (s *simulation) sendDeclaration(p *simulatedProcess, d Declared) {
	s.after(s.between(time.Millisecond, 800*time.Millisecond), func() {
		if !p.unreachable {
			s.deliver(p, d)
		}
	})
}

// declare publishes a version. Each process receives the declaration after a delay.
func (s *simulation) declare(version core.VersionID) {
	manifest := &core.Manifest{Version: version, SizeBytes: chunkCount, ChunkBytes: 1, Chunks: make([]core.Digest, chunkCount), Whole: core.DigestOf([]byte(version))}
	d := Declared{Revision: uint64(len(s.declared) + 1), Manifest: manifest, ChecksFence: s.engine.checksFence}
	d.Role = fmt.Sprintf("role-%d", len(s.declared)/2%2)
	s.declared = append(s.declared, d)
	for _, p := range s.processes {
		s.sendDeclaration(p, d)
	}
}

func (s *simulation) onProcess(p *simulatedProcess, do func()) {
	switch {
	case p.dead:
	case p.frozen:
		p.backlog = append(p.backlog, do)
	default:
		do()
	}
}

func (s *simulation) deliver(p *simulatedProcess, e Event) {
	s.onProcess(p, func() {
		for _, a := range p.machine.Step(s.clock.Now(), e) {
			if s.faultOccurs(3) {
				s.freeze(p)
			}
			s.onProcess(p, func() { s.perform(p, a) })
		}
		s.stage(p)
	})
}

func (s *simulation) freeze(p *simulatedProcess) {
	if p.frozen {
		return
	}
	p.frozen = true
	s.after(s.between(50*time.Millisecond, 5*time.Second), func() { s.unfreeze(p) })
}

func (s *simulation) unfreeze(p *simulatedProcess) {
	p.frozen = false
	backlog := p.backlog
	p.backlog = nil
	for _, do := range backlog {
		s.onProcess(p, do)
	}
}

// poll requests the engine's status periodically; a status may arrive late.
func (s *simulation) poll(p *simulatedProcess) {
	s.onProcess(p, func() {
		seen := s.engine.status
		if !s.engine.checksFence {
			seen.Fence = 0
		}
		s.after(s.between(time.Millisecond, 10*time.Millisecond), func() {
			if s.faultOccurs(10) {
				s.deliver(p, StatusFailed{})
				return
			}
			s.deliver(p, StatusSeen{Status: seen})
		})
		s.after(statusPeriod, func() { s.poll(p) })
	})
}

// probe sends a call whenever the process reports that it serves, and checks the
// weights that answer it.
func (s *simulation) probe(p *simulatedProcess) {
	s.onProcess(p, func() {
		target, name, ok := p.machine.Serving(s.clock.Now())
		if ok {
			late := 20 * time.Millisecond
			if s.faultOccurs(10) {
				late = time.Second
			}
			s.after(s.between(0, late), func() { s.serve(target, name) })
		}
		s.after(probePeriod, func() { s.probe(p) })
	})
}

// serve simulates the engine: it rejects a call for a version other than the loaded
// one. The answer is passed on if the boot is confirmed afterwards, or without a
// confirmation if the schedule does not require one.
func (s *simulation) serve(target Target, name core.VersionID) {
	if s.engine.status.State != engine.StateReady || s.engine.status.Version != name {
		return
	}
	partial := s.engine.partial
	s.after(s.between(time.Millisecond, 5*time.Millisecond), func() {
		if s.confirm && s.engine.status.Boot != target.Boot {
			return
		}
		s.served++
		if partial {
			s.violations = append(s.violations, fmt.Sprintf("partial weights of version %s were served", target.Version))
		}
	})
}

// stage copies the target version chunk by chunk to the engine's current boot.
func (s *simulation) stage(p *simulatedProcess) {
	manifest, name, boot, ok := p.machine.StagingTarget()
	if !ok || p.staging == name+core.VersionID(fmt.Sprint(boot)) {
		return
	}
	p.staging = name + core.VersionID(fmt.Sprint(boot))
	slowest := 80 * time.Millisecond
	if s.faultOccurs(30) {
		slowest = time.Second
	}
	s.stageChunk(p, Target{Version: manifest.Version, Digest: manifest.Whole, Boot: boot}, name, 0, slowest)
}

func (s *simulation) stageChunk(p *simulatedProcess, t Target, name core.VersionID, chunk int, slowest time.Duration) {
	s.after(s.between(5*time.Millisecond, slowest), func() {
		s.onProcess(p, func() {
			if s.engine.staging[name] == nil {
				s.engine.staging[name] = map[int]bool{}
			}
			if !s.engine.staging[name][chunk] {
				s.engine.staging[name][chunk] = !s.faultOccurs(5)
			}
			if chunk+1 < chunkCount {
				s.stageChunk(p, t, name, chunk+1, slowest)
				return
			}
			s.deliver(p, Staged{Target: t})
		})
	})
}

func (s *simulation) perform(p *simulatedProcess, a Action) {
	switch a := a.(type) {
	case VerifyStaging:
		intact := s.engine.status.Boot == a.Boot && s.engine.intact(a.Name)
		target := Target{Version: a.Manifest.Version, Digest: a.Manifest.Whole, Boot: a.Boot}
		s.after(s.between(5*time.Millisecond, 50*time.Millisecond), func() { s.deliver(p, Verified{Target: target, OK: intact}) })
	case AllocateNumbers:
		s.after(s.between(time.Millisecond, 5*time.Millisecond), func() {
			s.onProcess(p, func() { s.deliver(p, p.holder.Allocate(context.Background(), a.AtLeast)) })
		})
	case ConfirmHolder:
		s.after(s.between(time.Millisecond, 5*time.Millisecond), func() {
			s.onProcess(p, func() { s.deliver(p, p.holder.Confirm(context.Background())) })
		})
	case Order:
		s.sendOrder(p, a.Order)
	case StagingLost:
		p.staging = ""
	}
}

// sendOrder delivers an order to the engine, possibly late, and its result back to the
// process, possibly never.
func (s *simulation) sendOrder(p *simulatedProcess, o engine.LoadOrder) {
	delay := s.between(time.Millisecond, 5*time.Millisecond)
	if s.faultOccurs(15) {
		delay = s.between(100*time.Millisecond, 6*time.Second)
	}
	answer := func(result OrderResult, boot uint64) {
		if s.faultOccurs(20) {
			result = OrderLost
		}
		s.after(s.between(time.Millisecond, 5*time.Millisecond), func() {
			s.deliver(p, OrderEnded{Number: o.Fence, Result: result, Boot: boot})
		})
	}
	s.sequence++
	sent := sentOrder{process: p.holder.Process, sequence: s.sequence, number: o.Fence}
	s.after(delay, func() { s.engine.enqueue(s, o, sent, answer) })
}

var errOutage = errors.New("platform: outage")

// Get implements Store.
func (s *simulation) Get(context.Context, string) ([]byte, uint64, error) {
	if s.outage || s.faultOccurs(5) {
		return nil, 0, errOutage
	}
	return s.record, s.revision, nil
}

// CompareAndSwap implements Store. The response may be lost after the write took
// effect.
func (s *simulation) CompareAndSwap(_ context.Context, _ string, value []byte, previous uint64) (uint64, bool, error) {
	if s.outage {
		return 0, false, errOutage
	}
	if s.revision != previous {
		return s.revision, false, nil
	}
	s.revision++
	s.record = value
	if s.faultOccurs(10) {
		return 0, false, errOutage
	}
	return s.revision, true, nil
}
