package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/quarantine"
)

// crashTogether reports engines that end at one moment under calls with the parts.
func crashTogether(t *quarantine.Tracker, first, engines int, at time.Duration, parts ...core.PromptPart) {
	for i := range engines {
		crashAt(t, first+i, parts, at+time.Duration(i)*time.Millisecond)
	}
}

func suspended(t *quarantine.Tracker, at time.Duration, parts ...core.PromptPart) core.PromptPart {
	part, _ := t.Suspended(start.Add(at), service, parts)
	return part
}

// BUDGET: after engines had ended at one moment, all further calls with their part were sent.
func TestAPartIsSuspendedWhenSeveralEnginesEndAtOneMoment(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantine.New(quarantine.Config{})
	crashAt(tracker, 0, []core.PromptPart{"a"}, 0)
	g.Expect(suspended(tracker, apart, "a")).To(BeEmpty())
	crashTogether(tracker, 10, 2, apart, "a")
	g.Expect(suspended(tracker, apart, "b", "a")).To(Equal(core.PromptPart("a")))
	g.Expect(blocked(tracker, apart, "a")).To(BeFalse())
	tracker.SoundAt(start.Add(2*apart), start.Add(2*apart), service, []core.PromptPart{"a"})
	g.Expect(suspended(tracker, 2*apart, "a")).To(BeEmpty())
}

// Calls were kept away because of engines that ended at the same moment without them.
func TestAPartIsNotSuspendedWhenAsManyEnginesEndWithoutIt(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantine.New(quarantine.Config{})
	crashTogether(tracker, 0, 2, 0, "a", "b")
	g.Expect(suspended(tracker, 0, "a")).To(Equal(core.PromptPart("a")))
	crashTogether(tracker, 2, 2, 5*time.Millisecond, "b")
	g.Expect(suspended(tracker, apart, "a")).To(BeEmpty())
	g.Expect(suspended(tracker, apart, "b")).To(Equal(core.PromptPart("b")))
}

// A suspended part was tried again and again, an engine each time.
func TestAFailedTrialOfASuspendedPartBlocksIt(t *testing.T) {
	g := NewWithT(t)
	tracker, other := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
	crashTogether(tracker, 0, 5, 0, "a")
	try := func(at time.Duration, self bool) bool { return tracker.Trial(start.Add(at), service, "a", self) }
	g.Expect(try(500*time.Millisecond, true)).To(BeFalse())
	g.Expect(try(2*time.Second, false)).To(BeFalse())
	g.Expect(try(2*time.Second, true)).To(BeTrue())
	g.Expect(try(3*time.Second, true)).To(BeFalse())
	g.Expect(suspended(tracker, 3*time.Second, "a")).To(Equal(core.PromptPart("a")))
	crashAt(tracker, 10, []core.PromptPart{"a"}, 3*time.Second)
	g.Expect(blocked(tracker, 3*time.Second, "a")).To(BeTrue())
	other.Learn(start.Add(4*time.Second), tracker.Records(start.Add(4*time.Second)))
	g.Expect(blocked(other, 4*time.Second, "a")).To(BeTrue())
	g.Expect(try(22*time.Second, true)).To(BeFalse())
	g.Expect(try(23*time.Second, true)).To(BeTrue())
	crashAt(tracker, 11, []core.PromptPart{"a"}, 24*time.Second)
	g.Expect(try(103*time.Second, true)).To(BeFalse())
	g.Expect(try(104*time.Second, true)).To(BeTrue())
	crashAt(tracker, 12, []core.PromptPart{"a"}, 105*time.Second)
	g.Expect(try(404*time.Second, true)).To(BeFalse())
	g.Expect(try(405*time.Second, true)).To(BeTrue())
}

// LOST: a trial that no engine had run counted, and the calls with the part waited for the next one.
func TestATrialThatNoEngineHasRunIsReplaced(t *testing.T) {
	g := NewWithT(t)
	newTracker := func() *quarantine.Tracker {
		tracker := quarantine.New(quarantine.Config{})
		crashTogether(tracker, 0, 5, 0, "a")
		g.Expect(tracker.Trial(start.Add(2*time.Second), service, "a", true)).To(BeTrue())
		return tracker
	}
	replace := func(t *quarantine.Tracker, at time.Duration) bool {
		return t.MayReplaceTrial(start.Add(at), service, "a", start.Add(2*time.Second))
	}
	tracker := newTracker()
	g.Expect(replace(tracker, 3*time.Second)).To(BeTrue())
	g.Expect(replace(tracker, 6*time.Second)).To(BeTrue())
	g.Expect(replace(tracker, 6100*time.Millisecond)).To(BeFalse(), "others are about to send the next trial")

	crashAt(tracker, 10, []core.PromptPart{"a"}, 3*time.Second)
	g.Expect(replace(tracker, 3*time.Second)).To(BeFalse(), "an engine has ended since")

	tracker = newTracker()
	tracker.Answered(start.Add(3*time.Second), service, []core.PromptPart{"a"})
	g.Expect(replace(tracker, 3*time.Second)).To(BeFalse(), "the part is sound")

	tracker, other := newTracker(), newTracker()
	other.Trial(start.Add(7*time.Second), service, "a", true)
	tracker.Learn(start.Add(4*time.Second), other.Records(start.Add(8*time.Second)))
	g.Expect(replace(tracker, 4*time.Second)).To(BeFalse(), "another process has sent a trial since")
}

// A power failure during the trial of a sound part blocked the part.
func TestATrialThatMeetsAPowerFailureDoesNotBlockThePart(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantine.New(quarantine.Config{})
	crashTogether(tracker, 0, 5, 0, "a")
	g.Expect(tracker.Trial(start.Add(2*time.Second), service, "a", true)).To(BeTrue())
	crashAt(tracker, 10, []core.PromptPart{"a"}, 2200*time.Millisecond)
	crashTogether(tracker, 11, 4, 2201*time.Millisecond, "b")
	g.Expect(blocked(tracker, 3*time.Second, "a")).To(BeFalse())
	g.Expect(tracker.Trial(start.Add(8*time.Second), service, "a", true)).To(BeTrue())
}

// A trial of a harmful part and a sound one that all calls share blocked the sound one.
func TestOfTwoSuspendedPartsTheOneAnsweredLeastRecentlyIsTried(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantine.New(quarantine.Config{})
	tracker.Answered(start.Add(-2*apart), service, []core.PromptPart{"shared", "late"})
	tracker.Answered(start.Add(-apart), service, []core.PromptPart{"shared"})
	crashTogether(tracker, 0, 3, 0, "shared", "late", "harmful")
	g.Expect(suspended(tracker, 0, "shared", "harmful")).To(Equal(core.PromptPart("harmful")))
	g.Expect(suspended(tracker, 0, "shared", "late")).To(Equal(core.PromptPart("late")))
	g.Expect(suspended(tracker, 0, "shared")).To(Equal(core.PromptPart("shared")))
}

// A part that only gateways without calls for it, or none at all, might try was kept away.
func TestTheTurnToTryPassesToEachProcessWithoutOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := rapid.IntRange(1, 400).Draw(t, "processes")
		dueFor := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "dueFor"))
		skew := time.Duration(rapid.Int64Range(0, int64(500*time.Millisecond)).Draw(t, "skew"))
		index, open := quarantine.Turn(dueFor, processes)
		if index < 0 || index >= processes {
			t.Fatalf("turn of process %d of %d", index, processes)
		}
		if later, laterOpen := quarantine.Turn(dueFor+skew, processes); open && laterOpen && later != index {
			t.Fatalf("it is the turn of %d and of %d, %s apart", index, later, skew)
		}
	})
	g := NewWithT(t)
	for process := range 7 {
		found := false
		for dueFor := time.Duration(0); dueFor < time.Minute; dueFor += 100 * time.Millisecond {
			index, open := quarantine.Turn(dueFor, 7)
			found = found || open && index == process
		}
		g.Expect(found).To(BeTrue())
	}
	_, open := quarantine.Turn(-1, 7)
	g.Expect(open).To(BeFalse())
}
