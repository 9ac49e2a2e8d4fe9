package activation

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

const (
	faultTime    = 12 * time.Second
	recoveryTime = 30 * time.Second
)

// runSchedule declares versions, replaces processes and restarts the engine under
// faults, ends the faults, waits for the system to settle and returns the violations
// found.
func runSchedule(s *simulation) []string {
	s.declare("v1")
	s.startProcess()
	s.planFaults()
	s.runFor(faultTime)
	s.endFaults()
	s.runFor(recoveryTime)
	s.checkFinalState()
	return s.violations
}

func (s *simulation) planFaults() {
	for i := range 1 + s.random.IntN(4) {
		version := core.VersionID(fmt.Sprintf("v%d", 1+(i+1)%3))
		s.after(s.between(0, faultTime), func() { s.declare(version) })
	}
	for range s.random.IntN(3) {
		s.after(s.between(0, faultTime), s.replaceProcess)
	}
	for range s.random.IntN(5) {
		s.after(s.between(0, faultTime), s.engine.restart)
	}
	for range s.random.IntN(3) {
		at := s.between(0, faultTime)
		s.after(at, func() { s.outage = true })
		s.after(at+s.between(time.Second, 6*time.Second), func() { s.outage = false })
	}
	for range s.random.IntN(3) {
		s.after(s.between(0, faultTime), func() { s.freeze(s.processes[s.random.IntN(len(s.processes))]) })
	}
}

// replaceProcess starts a successor. The old process drains, stops, freezes, overlaps
// for a while, or keeps running without receiving declarations.
func (s *simulation) replaceProcess() {
	old := s.processes[len(s.processes)-1]
	s.startProcess()
	switch s.random.IntN(5) {
	case 0:
		s.deliver(old, Draining{})
		s.after(s.between(time.Second, 4*time.Second), func() { old.dead = true })
	case 1:
		old.dead = true
	case 2:
		s.freeze(old)
		s.after(faultTime, func() { old.dead = true })
	case 3:
		s.after(faultTime, func() { old.dead = true })
	default:
		old.unreachable = true
	}
}

func (s *simulation) endFaults() {
	s.faults = false
	s.outage = false
	for _, p := range s.processes {
		s.unfreeze(p)
	}
}

// checkFinalState verifies that the latest process serves the newest declaration with
// complete weights.
func (s *simulation) checkFinalState() {
	last := s.declared[len(s.declared)-1]
	newest := last.Manifest.Version
	target, name, ok := s.processes[len(s.processes)-1].machine.Serving(s.clock.Now())
	switch {
	case !ok || target.Version != newest:
		s.violations = append(s.violations, fmt.Sprintf("at rest %q is served (%t), want %q", target.Version, ok, newest))
	// An engine that ignores numbers may execute a late order of a replaced process,
	// and its status does not include its role.
	case s.engine.checksFence && s.engine.role != last.Role:
		s.violations = append(s.violations, fmt.Sprintf("at rest the engine has role %q, want %q", s.engine.role, last.Role))
	case s.engine.status.Version != name || s.engine.partial:
		s.violations = append(s.violations, fmt.Sprintf("at rest the engine has version %q (partial %t), want %q", s.engine.status.Version, s.engine.partial, name))
	}
}

func buildMachine() machine { return New(simulatedConfig) }

func buildPlainNames() machine {
	config := simulatedConfig
	config.PlainNames = true
	return New(config)
}

// allEngines lists all kinds of engines, with the boot confirmed after the first
// token.
var allEngines = []scheduleConfig{
	{checksFence: true, loadsUnverified: false, confirm: true},
	{checksFence: false, loadsUnverified: false, confirm: true},
	{checksFence: true, loadsUnverified: true, confirm: true},
	{checksFence: false, loadsUnverified: true, confirm: true},
}

// verifyingEngines lists the engines that reject incomplete weights, without a
// confirmation of the boot.
var verifyingEngines = []scheduleConfig{{checksFence: true}, {checksFence: false}}

// schedules returns the number of seeds to run; ACTIVATION_SCHEDULES overrides the
// default.
func schedules() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("ACTIVATION_SCHEDULES"), 10, 64); err == nil {
		return n
	}
	return scheduleCount
}

// checkSchedules runs all seeds on each kind of engine.
func checkSchedules(t *testing.T, settings []scheduleConfig, build func() machine) {
	served := 0
	for seed := range schedules() {
		for _, set := range settings {
			s := newSimulation(seed, set, build)
			if violations := runSchedule(s); len(violations) > 0 {
				t.Fatalf("seed %d, %+v: %s", seed, set, violations[0])
			}
			served += s.served
		}
	}
	t.Logf("%d schedules on %d kinds of engines, %d calls served", schedules(), len(settings), served)
}

func TestNoScheduleServesPartialWeightsOrEndsOnAnOldDeclaration(t *testing.T) {
	t.Run("names with boot", func(t *testing.T) { checkSchedules(t, allEngines, buildMachine) })
	t.Run("plain names", func(t *testing.T) { checkSchedules(t, allEngines, buildPlainNames) })
	t.Run("names with boot, unconfirmed", func(t *testing.T) { checkSchedules(t, verifyingEngines, buildMachine) })
}

// An engine that loads whatever is staged can restart, execute an order meant for its
// previous boot and answer a call from a process that has not yet seen the restart.
func TestUnconfirmedAnswersOfATrustingEngineCanBePartial(t *testing.T) {
	g := NewWithT(t)
	const seed = 609
	for _, checksFence := range []bool{true, false} {
		unconfirmed := newSimulation(seed, scheduleConfig{checksFence: checksFence, loadsUnverified: true}, buildMachine)
		g.Expect(runSchedule(unconfirmed)).To(ContainElement(ContainSubstring("partial weights")))
		confirmed := newSimulation(seed, scheduleConfig{checksFence: checksFence, loadsUnverified: true, confirm: true}, buildMachine)
		g.Expect(runSchedule(confirmed)).To(BeEmpty())
	}
}

func TestPropertyActivation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		set := rapid.SampledFrom(allEngines).Draw(t, "engine")
		if violations := runSchedule(newSimulation(seed, set, buildMachine)); len(violations) > 0 {
			t.Fatalf("seed %d, %+v: %s", seed, set, violations[0])
		}
	})
}

// naiveMachine treats any report of the declared version as the result of its own
// order, verifies nothing and uses no order numbers.
type naiveMachine struct {
	declared *Declared
	status   engine.Status
	staged   bool
	ordered  core.VersionID
}

func (n *naiveMachine) Step(_ time.Time, event Event) []Action {
	switch e := event.(type) {
	case Declared:
		n.declared, n.staged = &e, false
	case StatusSeen:
		n.status = e.Status
	case Staged:
		n.staged = true
	case OrderEnded:
		n.ordered = ""
	}
	if n.declared == nil || !n.staged || n.ordered != "" || n.status.Version == n.declared.Manifest.Version {
		return nil
	}
	n.ordered = n.declared.Manifest.Version
	return []Action{Order{Order: engine.LoadOrder{Version: n.ordered, Fence: 1, Manifest: *n.declared.Manifest, Role: n.declared.Role}}}
}

func (n *naiveMachine) Serving(time.Time) (Target, core.VersionID, bool) {
	target := Target{Version: n.status.Version, Boot: n.status.Boot}
	return target, n.status.Version, n.status.State == engine.StateReady
}

func (n *naiveMachine) StagingTarget() (*core.Manifest, core.VersionID, uint64, bool) {
	if n.declared == nil || n.status.Boot == 0 {
		return nil, "", 0, false
	}
	return n.declared.Manifest, n.declared.Manifest.Version, n.status.Boot, true
}

func TestNaiveMachineFailsOnTheSameSchedules(t *testing.T) {
	g := NewWithT(t)
	for _, set := range allEngines {
		partial, old := 0, 0
		for seed := range uint64(naiveSchedules) {
			s := newSimulation(seed, set, func() machine { return &naiveMachine{} })
			s.runNaive(&partial, &old)
		}
		t.Logf("%+v: of %d schedules %d served partial weights, %d ended on an old declaration", set, naiveSchedules, partial, old)
		g.Expect(partial + old).To(BeNumerically(">", naiveSchedules/20))
	}
}

func (s *simulation) runNaive(partial, old *int) {
	runSchedule(s)
	for _, text := range s.violations {
		if text[:7] == "partial" {
			*partial++
			break
		}
	}
	for _, text := range s.violations {
		if text[:7] == "at rest" {
			*old++
			break
		}
	}
}
