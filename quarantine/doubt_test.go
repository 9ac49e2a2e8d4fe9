package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/quarantine"
)

// newForgetful returns a tracker that may have forgotten crashes, after answers with some parts.
func newForgetful(answered ...core.PromptPart) *quarantine.Tracker {
	tracker := quarantine.New(quarantine.Config{})
	tracker.Forget(start)
	tracker.SoundAt(start, start, service, answered)
	return tracker
}

// BUDGET: after all processes had been killed, a harmful part ended as many engines as at first.
func TestAfterARestartOfAllProcessesAPartIsBlockedByTheFirstEngineThatEndsUnderItAlone(t *testing.T) {
	g := NewWithT(t)
	tracker := newForgetful("a", "b")
	crashAt(tracker, 0, []core.PromptPart{"a", "b", "x"}, time.Second)
	g.Expect(blocked(tracker, time.Second, "a", "b", "x")).To(BeTrue())
	g.Expect(blocked(tracker, time.Second, "a", "b")).To(BeFalse())
	g.Expect(tracker.MayRepeat(start.Add(time.Second), service, []core.PromptPart{"a", "x"})).To(BeFalse())
	g.Expect(tracker.MayRepeat(start.Add(time.Second), service, []core.PromptPart{"a", "b"})).To(BeTrue())

	try := func(at time.Duration) bool { return tracker.Trial(start.Add(at), service, "x", true) }
	g.Expect(try(20 * time.Second)).To(BeFalse())
	g.Expect(try(21 * time.Second)).To(BeTrue())
	crashAt(tracker, 1, []core.PromptPart{"a", "b", "x"}, 22*time.Second)
	g.Expect(blocked(tracker, 22*time.Second, "x")).To(BeTrue())
	g.Expect(try(101 * time.Second)).To(BeFalse())
	g.Expect(try(103 * time.Second)).To(BeTrue())
	tracker.SoundAt(start.Add(104*time.Second), start.Add(104*time.Second), service, []core.PromptPart{"x"})
	g.Expect(blocked(tracker, 104*time.Second, "x")).To(BeFalse())
}

// BUDGET: the second engine that a part ended released the part at the other processes, until that
// end was reported with the part as well.
func TestAPartInDoubtIsNotReleasedByAnEndThatIsReportedWithoutItFirst(t *testing.T) {
	g := NewWithT(t)
	first, second, witness, other := newForgetful("a", "b"), newForgetful("a", "b"), newForgetful("a", "b"), newForgetful("a", "b")
	learn := func(from *quarantine.Tracker, at time.Duration) {
		other.Learn(start.Add(at), from.Records(start.Add(at)))
	}
	crashAt(first, 0, []core.PromptPart{"a", "x"}, time.Second)
	learn(first, time.Second)
	crashAt(second, 1, []core.PromptPart{"a", "x"}, 1400*time.Millisecond)
	crashAt(witness, 1, []core.PromptPart{"b"}, 1400*time.Millisecond)
	learn(witness, 1450*time.Millisecond)
	g.Expect(blocked(other, 1450*time.Millisecond, "x")).To(BeTrue())
	learn(second, 1900*time.Millisecond)
	for at := 1900 * time.Millisecond; at < 20*time.Second; at += 100 * time.Millisecond {
		g.Expect(blocked(other, at, "x")).To(BeTrue(), "%s", at)
	}
}

// LOST: engines that ended one by one for another reason had sound parts blocked for 20 s and more,
// those of rare calls.
func TestAPartInDoubtIsTriedAtOnceWhenEnginesEndWithoutItToo(t *testing.T) {
	g := NewWithT(t)
	tracker := newForgetful("a", "b")
	crashAt(tracker, 0, []core.PromptPart{"a", "x"}, time.Second)
	crashAt(tracker, 1, []core.PromptPart{"a", "b"}, 4*time.Second)
	g.Expect(blocked(tracker, 4500*time.Millisecond, "x")).To(BeTrue(), "another process may have had the part there")
	g.Expect(blocked(tracker, 5*time.Second, "x")).To(BeFalse())
	g.Expect(suspended(tracker, 5*time.Second, "x")).To(Equal(core.PromptPart("x")))
	g.Expect(tracker.Trial(start.Add(5*time.Second), service, "x", true)).To(BeTrue())
	crashAt(tracker, 2, []core.PromptPart{"a", "x"}, 6*time.Second)
	g.Expect(blocked(tracker, 6*time.Second, "x")).To(BeTrue())
	g.Expect(tracker.Trial(start.Add(25*time.Second), service, "x", true)).To(BeFalse())
	g.Expect(tracker.Trial(start.Add(26*time.Second), service, "x", true)).To(BeTrue())
}

// Engines end for other reasons too, and rare parts are not proven then. They wait for an answer
// to one of their calls.
func TestAfterARestartOfAllProcessesRarePartsAreSuspendedTogetherUntilAnAnswer(t *testing.T) {
	g := NewWithT(t)
	tracker := newForgetful("a")
	crashAt(tracker, 0, []core.PromptPart{"a", "x", "y"}, time.Second)
	g.Expect(blocked(tracker, time.Second, "a", "x", "y")).To(BeFalse())
	g.Expect(suspended(tracker, time.Second, "a")).To(BeEmpty())
	g.Expect(suspended(tracker, time.Second, "x")).To(Equal(core.PromptPart("x")))
	g.Expect(suspended(tracker, time.Second, "y")).To(Equal(core.PromptPart("y")))
	tracker.SoundAt(start.Add(3*time.Second), start.Add(3*time.Second), service, []core.PromptPart{"y"})
	g.Expect(suspended(tracker, 3*time.Second, "y")).To(BeEmpty())
	g.Expect(tracker.Trial(start.Add(4*time.Second), service, "x", true)).To(BeTrue())
	crashAt(tracker, 1, []core.PromptPart{"a", "x", "y"}, 5*time.Second)
	g.Expect(blocked(tracker, 5*time.Second, "x")).To(BeTrue())
	g.Expect(blocked(tracker, 5*time.Second, "a", "y")).To(BeFalse())
}

// The first part of all prompts is not proven in the first moments, and must not be blocked.
func TestAfterARestartOfAllProcessesNothingIsBlockedBeforeTheFirstAnswer(t *testing.T) {
	g := NewWithT(t)
	tracker := newForgetful()
	crashAt(tracker, 0, []core.PromptPart{"a"}, 10*time.Millisecond)
	g.Expect(blocked(tracker, 10*time.Millisecond, "a")).To(BeFalse())
	tracker.SoundAt(start.Add(300*time.Millisecond), start.Add(300*time.Millisecond), service, []core.PromptPart{"a"})
	g.Expect(suspended(tracker, 300*time.Millisecond, "a")).To(BeEmpty())
}

func TestAProcessThatKnowsOfAllCrashesBlocksNoPartForOne(t *testing.T) {
	g := NewWithT(t)
	knowing, told := quarantine.New(quarantine.Config{}), newForgetful("a")
	g.Expect(knowing.Memory(start)).To(Equal(time.Hour))
	g.Expect(told.Memory(start.Add(time.Minute))).To(Equal(time.Minute))
	told.LearnMemory(start.Add(time.Minute), 10*time.Minute)
	g.Expect(told.Memory(start.Add(2 * time.Minute))).To(Equal(11 * time.Minute))
	told.LearnMemory(start.Add(time.Minute), time.Hour)
	for _, tracker := range []*quarantine.Tracker{knowing, told} {
		crashAt(tracker, 0, []core.PromptPart{"a", "x"}, time.Second)
		g.Expect(blocked(tracker, time.Second, "x")).To(BeFalse())
		g.Expect(suspended(tracker, time.Second, "x")).To(BeEmpty())
	}
}

func TestADoubtReachesOtherProcessesButNotThoseThatHaveSeenAnAnswer(t *testing.T) {
	g := NewWithT(t)
	tracker, hub, other, proven := newForgetful("a"), quarantine.New(quarantine.Config{}), newForgetful("a"), newForgetful("a", "x")
	crashAt(tracker, 0, []core.PromptPart{"a", "x"}, time.Second)
	at := start.Add(time.Second)
	cuts, _ := tracker.Cuts(at, 0)
	hub.LearnCuts(at, cuts)
	for _, told := range []*quarantine.Tracker{other, proven} {
		told.Learn(at, hub.Records(at))
	}
	g.Expect(blocked(other, time.Second, "x")).To(BeTrue())
	g.Expect(blocked(proven, time.Second, "x")).To(BeFalse())
}

func TestToldMemoryHoldsForTenSecondsAndIsTheLongest(t *testing.T) {
	g := NewWithT(t)
	var told quarantine.ToldMemory
	g.Expect(told.At(start)).To(BeZero())
	told.Learn(start, time.Minute)
	told.Learn(start.Add(time.Second), 2*time.Second) // a gateway that has started lately
	g.Expect(told.At(start.Add(9 * time.Second))).To(Equal(69 * time.Second))
	told.Learn(start.Add(9*time.Second), 11*time.Second)
	g.Expect(told.At(start.Add(10500*time.Millisecond))).To(BeZero(), "the gateway with the longer one is gone")
	told.Learn(start.Add(11*time.Second), time.Hour)
	told.Learn(start.Add(12*time.Second), 20*time.Second)
	g.Expect(told.At(start.Add(15 * time.Second))).To(Equal(time.Hour))
}

// killedDay is a day on which all processes are killed after a part has ended many engines at one
// moment.
func killedDay(gateways int, later harm) scenario {
	return scenario{
		gateways: gateways, seconds: 50, hubs: 3, later: later, killedAt: 6 * time.Second,
		harms: []harm{{from: 2 * time.Second, harmfulFrom: 2 * time.Second, clump: engineCount, interval: time.Hour}},
	}
}

// Load pattern: a call with a harmful part comes now and then, also long after all processes have
// been killed. The next trials of the part are due in the meantime.
func TestFewHarmfulCallsReachEnginesAfterAllProcessesWereKilled(t *testing.T) {
	playKilledDays(t, "one every 2 s", harm{clump: 1, interval: 2 * time.Second})
}

// Load pattern: several calls with a harmful part come each second, the first ones when all
// gateways have been up for seconds after they were killed.
func TestFewHarmfulCallsOfManyReachEnginesAfterAllProcessesWereKilled(t *testing.T) {
	playKilledDays(t, "a few a second", harm{share: 0.03})
}

// BUDGET: a harmful part was taken for a sound one because engines ended for another reason too.
func TestFewHarmfulCallsReachEnginesAfterAllProcessesWereKilledWhileEnginesEndOneByOne(t *testing.T) {
	const every = 2500 * time.Millisecond
	playKilledDays(t, "one every 2 s", harm{clump: 1, interval: 2 * time.Second}, outage{at: 11 * time.Second, interval: every, engines: 15})
}

func playKilledDays(t *testing.T, name string, later harm, others ...outage) {
	for _, gateways := range []int{3, 7, 38} {
		day := killedDay(gateways, later)
		day.others = others
		play(t, name, 3, day, func(g *WithT, r report) {
			g.Expect(r.crashes[0]).To(BeNumerically(">", 5))
			g.Expect(r.late[0]).To(BeNumerically("<=", 3), "calls with the harmful part")
			g.Expect(r.blockedRoutes).To(BeNumerically("<", time.Second))
			g.Expect(float64(r.blockedCalls) / float64(r.total)).To(BeNumerically("<", 0.02))
		})
	}
}

// The other direction: engines that end together for another reason, after the kill.
func TestSoundCallsAreServedWhenEnginesEndTogetherAfterAllProcessesWereKilled(t *testing.T) {
	playEndsAfterKill(t, "all at one moment", outage{at: endsKilledAt + 3*time.Second, engines: engineCount})
	playEndsAfterKill(t, "nine at one moment", outage{at: endsKilledAt + restartTime + 500*time.Millisecond, engines: 9})
}

// Engines that end one by one must leave no rare part blocked at the end of the day either.
func TestSoundCallsAreServedWhenEnginesEndOneByOneAfterAllProcessesWereKilled(t *testing.T) {
	playEndsAfterKill(t, "one every half second", outage{at: endsKilledAt + restartTime + 200*time.Millisecond, interval: 500 * time.Millisecond, engines: engineCount})
}

// endsKilledAt is when all processes are killed on a day on which engines end afterwards.
const endsKilledAt = 5 * time.Second

func playEndsAfterKill(t *testing.T, name string, o outage) {
	for _, gateways := range []int{3, 7} {
		for _, unaware := range []bool{false, true} {
			day := scenario{gateways: gateways, seconds: 30, hubs: 3, killedAt: endsKilledAt, unaware: unaware, others: []outage{o}, sharedPart: true}
			play(t, name+map[bool]string{true: ", as before"}[unaware], 3, day, func(g *WithT, r report) {
				g.Expect(r.blockedRoutes).To(BeNumerically("<", time.Second))
				g.Expect(float64(r.blockedCalls) / float64(r.total)).To(BeNumerically("<", 0.02))
				g.Expect(r.stillBlocked).To(BeZero())
			})
		}
	}
}
