package claims

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	keysPerSchedule = 14
	// Faults occur during faultTime and the system settles during recoveryTime.
	faultTime    = 6 * time.Second
	recoveryTime = 12 * time.Second
	// After recoveryTime a new key is submitted probeCount times, probeWait apart.
	probeCount = 5
	probeWait  = 2 * time.Second
)

func simulatedKey(i int) keyHash {
	var key keyHash
	binary.BigEndian.PutUint64(key[:], uint64(i)+1)
	return key
}

// runSchedule submits every key several times to several homes under faults, ends the
// faults, waits for the system to settle and returns the violations found.
func runSchedule(s *simulation) []string {
	for i := range keysPerSchedule {
		s.planKey(i)
	}
	s.planFaults()
	s.runFor(faultTime)
	s.endFaults()
	s.runFor(recoveryTime)
	s.checkFinalState()
	s.checkService()
	return s.violations
}

// planKey submits a key one to five times during faultTime and once afterwards. Every
// third key has no key time.
func (s *simulation) planKey(i int) {
	key := simulatedKey(i)
	first := s.between(0, faultTime/2)
	var keyTime int64
	if i%3 > 0 {
		keyTime = s.clock.Now().Add(first).UnixMilli()
	}
	for n := range 1 + s.random.IntN(5) {
		at := first
		if n > 0 {
			at += s.between(0, faultTime/2)
		}
		s.after(at, func() { s.submit(s.pickHome(), key, keyTime, 7) })
	}
	s.after(faultTime+recoveryTime/2, func() { s.submit(s.pickHome(), key, keyTime, 7) })
}

// pickHome returns a live home: the first one in two of three cases, otherwise one at
// random.
func (s *simulation) pickHome() *simulatedHome {
	var live []*simulatedHome
	for _, h := range s.homes {
		if !h.dead {
			live = append(live, h)
		}
	}
	if s.random.IntN(3) > 0 {
		return live[0]
	}
	return live[s.random.IntN(len(live))]
}

func (s *simulation) planFaults() {
	for range s.random.IntN(4) {
		s.after(s.between(0, faultTime), func() {
			if h := s.pickHome(); s.liveHomes() > 1 {
				s.kill(h)
			}
		})
	}
	for range s.random.IntN(3) {
		at := s.between(0, faultTime)
		s.after(at, func() { s.outage = true })
		s.after(at+s.between(50*time.Millisecond, 2*time.Second), func() { s.outage = false })
	}
	for range s.random.IntN(4) {
		s.after(s.between(0, faultTime), func() {
			if h := s.pickHome(); !h.frozen {
				h.frozen = true
				s.after(s.between(10*time.Millisecond, 4*time.Second), func() { s.wake(h) })
			}
		})
	}
	if s.random.IntN(3) == 0 {
		s.after(s.between(0, faultTime), func() { s.deliver(s.pickHome(), drain{}) })
	}
}

func (s *simulation) liveHomes() int {
	live := 0
	for _, h := range s.homes {
		if !h.dead {
			live++
		}
	}
	return live
}

func (s *simulation) endFaults() {
	s.faults = false
	s.outage = false
	for _, h := range s.homes {
		s.wake(h)
	}
}

// checkFinalState verifies that every caller of a live home has a reply, and that the
// service did not run a key for which every caller received "not run".
func (s *simulation) checkFinalState() {
	mayHaveRun := map[keyHash]bool{}
	for token, call := range s.calls {
		if !call.replied && !call.home.dead {
			s.fail("token %d has no reply", token)
		}
		mayHaveRun[call.key] = mayHaveRun[call.key] || !call.notRun
	}
	for key, runs := range s.runs {
		if runs > 0 && !mayHaveRun[key] {
			s.fail("key %x ran although every caller received \"not run\"", key[:4])
		}
	}
}

// checkService verifies that a new key is answered after all faults have ended. A home
// that is closing is exempt.
func (s *simulation) checkService() {
	home := s.homes[len(s.homes)-1]
	for _, h := range s.homes {
		if !h.dead {
			home = h
		}
	}
	if p, ok := home.machine.(*partition); ok && p.closing() {
		return
	}
	before := s.answers
	for range probeCount {
		s.submit(home, simulatedKey(keysPerSchedule), s.clock.Now().UnixMilli(), 7)
		s.runFor(probeWait)
	}
	if s.answers == before {
		s.fail("a new key was not answered after all faults had ended")
	}
}

func describe(seed uint64, violations []string) string {
	return fmt.Sprintf("seed %d: %s (first of %d violations)", seed, violations[0], len(violations))
}

// schedules returns the number of schedules to run: the value of the environment
// variable CLAIMS_SCHEDULES, or scheduleCount if it is not set.
func schedules() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("CLAIMS_SCHEDULES"), 10, 64); err == nil {
		return n
	}
	return scheduleCount
}

func TestNoScheduleRunsAKeyTwiceOrSaysSomethingUntrue(t *testing.T) {
	var answers, unknown, notRun, executed int
	for seed := range schedules() {
		s := newSimulation(seed, buildPartition)
		if violations := runSchedule(s); len(violations) > 0 {
			t.Fatal(describe(seed, violations))
		}
		answers, unknown, notRun, executed = answers+s.answers, unknown+s.unknown, notRun+s.notRun, executed+len(s.runs)
	}
	t.Logf("%d schedules: %d keys ran once, %d answers, %d not run, %d unknown", schedules(), executed, answers, notRun, unknown)
}

func TestPropertyNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if violations := runSchedule(newSimulation(seed, buildPartition)); len(violations) > 0 {
			t.Fatal(describe(seed, violations))
		}
	})
}

// countDoubleRuns returns the number of schedules in which the given machine runs a
// key twice.
func countDoubleRuns(count uint64, build func(core.VMID, uint64, *rand.Rand) machine) int {
	found := 0
	for seed := range count {
		s := newSimulation(seed, build)
		runSchedule(s)
		for _, runs := range s.runs {
			if runs > 1 {
				found++
				break
			}
		}
	}
	return found
}

func TestNaiveMachinesRunKeysTwiceOnTheSameSchedules(t *testing.T) {
	g := NewWithT(t)
	direct := countDoubleRuns(naiveSchedules, buildDirect)
	lease := countDoubleRuns(naiveSchedules, buildLease)
	t.Logf("schedules with double runs, of %d: direct %d, lease without claims %d", naiveSchedules, direct, lease)
	g.Expect(direct).To(BeNumerically(">", naiveSchedules/2))
	g.Expect(lease).To(BeNumerically(">", naiveSchedules/10))
}

func TestSchedulesThatOnceFailed(t *testing.T) {
	for _, fault := range []struct {
		seed  uint64
		cause string
	}{
		{138, "abandoning a queued call removed the claim of another process on the same key"},
		{4046, "two processes of one VM with equal incarnations treated each other's commits as their own"},
	} {
		if violations := runSchedule(newSimulation(fault.seed, buildPartition)); len(violations) > 0 {
			t.Errorf("%s: %s", fault.cause, describe(fault.seed, violations))
		}
	}
}
