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
	faultTime = 12 * time.Second
	quietTime = 30 * time.Second
)

// runSchedule declares versions, replaces processes and restarts the engine
// under faults, lets all come to rest and returns what was found broken.
func runSchedule(s *simulation) []string {
	s.declare("v1")
	s.startProcess()
	s.planFaults()
	s.runFor(faultTime)
	s.calm()
	s.runFor(quietTime)
	s.checkRest()
	return s.broken
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

// replaceProcess starts a successor; the old process drains, dies, freezes, overlaps,
// or stays for good without hearing of declarations.
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

func (s *simulation) calm() {
	s.faults = false
	s.outage = false
	for _, p := range s.processes {
		s.wake(p)
	}
}

// checkRest verifies that the latest process serves the newest declaration, whole.
func (s *simulation) checkRest() {
	last := s.declared[len(s.declared)-1]
	newest := last.Manifest.Version
	target, name, ok := s.processes[len(s.processes)-1].machine.Serving(s.clock.Now())
	switch {
	case !ok || target.Version != newest:
		s.broken = append(s.broken, fmt.Sprintf("at rest %q is served (%t), want %q", target.Version, ok, newest))
	// An engine that ignores numbers may take a late order of a replaced process,
	// and does not report its role.
	case s.engine.checks && s.engine.role != last.Role:
		s.broken = append(s.broken, fmt.Sprintf("at rest the engine has %q, want %q", s.engine.role, last.Role))
	case s.engine.status.Version != name || s.engine.partial:
		s.broken = append(s.broken, fmt.Sprintf("at rest the engine has %q (partial %t), want %q", s.engine.status.Version, s.engine.partial, name))
	}
}

func buildMachine() machine { return New(simulatedConfig) }

func buildPlain() machine {
	config := simulatedConfig
	config.PlainNames = true
	return New(config)
}

// everyEngine lists all kinds of engines, with the boot confirmed after the first token.
var everyEngine = []setting{
	{checks: true, trusting: false, confirm: true},
	{checks: false, trusting: false, confirm: true},
	{checks: true, trusting: true, confirm: true},
	{checks: false, trusting: true, confirm: true},
}

// engineThatCounts lists the engines that refuse incomplete weights, without confirmation.
var engineThatCounts = []setting{{checks: true}, {checks: false}}

// schedules is how many seeds are run, which the environment may raise.
func schedules() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("ACTIVATION_SCHEDULES"), 10, 64); err == nil {
		return n
	}
	return scheduleCount
}

// checkSchedules runs the seeds on each kind of engine.
func checkSchedules(t *testing.T, settings []setting, build func() machine) {
	served := 0
	for seed := range schedules() {
		for _, set := range settings {
			s := newSimulation(seed, set, build)
			if broken := runSchedule(s); len(broken) > 0 {
				t.Fatalf("seed %d, %+v: %s", seed, set, broken[0])
			}
			served += s.served
		}
	}
	t.Logf("%d schedules on %d kinds of engines, %d calls served", schedules(), len(settings), served)
}

func TestNoScheduleServesPartialWeightsOrEndsOnAnOldDeclaration(t *testing.T) {
	t.Run("names with boot", func(t *testing.T) { checkSchedules(t, everyEngine, buildMachine) })
	t.Run("plain names", func(t *testing.T) { checkSchedules(t, everyEngine, buildPlain) })
	t.Run("names with boot, unconfirmed", func(t *testing.T) { checkSchedules(t, engineThatCounts, buildMachine) })
}

// An engine that loads whatever is staged can restart, take an order meant for
// its former boot and answer a call of a process that has not noticed.
func TestUnconfirmedAnswersOfATrustingEngineCanBePartial(t *testing.T) {
	g := NewWithT(t)
	const seed = 609
	for _, checks := range []bool{true, false} {
		unconfirmed := newSimulation(seed, setting{checks: checks, trusting: true}, buildMachine)
		g.Expect(runSchedule(unconfirmed)).To(ContainElement(ContainSubstring("partial weights")))
		confirmed := newSimulation(seed, setting{checks: checks, trusting: true, confirm: true}, buildMachine)
		g.Expect(runSchedule(confirmed)).To(BeEmpty())
	}
}

func TestPropertyActivation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		set := rapid.SampledFrom(everyEngine).Draw(t, "engine")
		if broken := runSchedule(newSimulation(seed, set, buildMachine)); len(broken) > 0 {
			t.Fatalf("seed %d, %+v: %s", seed, set, broken[0])
		}
	})
}

// naive takes any report of the declared version for its own, verifies once and
// takes no numbers.
type naive struct {
	declared *Declared
	status   engine.Status
	staged   bool
	ordered  core.VersionID
}

func (n *naive) Step(_ time.Time, event Event) []Action {
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

func (n *naive) Serving(time.Time) (Target, core.VersionID, bool) {
	target := Target{Version: n.status.Version, Boot: n.status.Boot}
	return target, n.status.Version, n.status.State == engine.StateReady
}

func (n *naive) StagingTarget() (*core.Manifest, core.VersionID, uint64, bool) {
	if n.declared == nil || n.status.Boot == 0 {
		return nil, "", 0, false
	}
	return n.declared.Manifest, n.declared.Manifest.Version, n.status.Boot, true
}

func TestNaiveMachineFailsOnTheSameSchedules(t *testing.T) {
	g := NewWithT(t)
	for _, set := range everyEngine {
		partial, old := 0, 0
		for seed := range uint64(naiveSchedules) {
			s := newSimulation(seed, set, func() machine { return &naive{} })
			s.runNaive(&partial, &old)
		}
		t.Logf("%+v: of %d schedules %d served partial weights, %d ended on an old declaration", set, naiveSchedules, partial, old)
		g.Expect(partial + old).To(BeNumerically(">", naiveSchedules/20))
	}
}

func (s *simulation) runNaive(partial, old *int) {
	runSchedule(s)
	for _, text := range s.broken {
		if text[:7] == "partial" {
			*partial++
			break
		}
	}
	for _, text := range s.broken {
		if text[:7] == "at rest" {
			*old++
			break
		}
	}
}
