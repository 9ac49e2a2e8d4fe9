package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/quarantine"
)

const (
	start   = boottime.Instant(10 * time.Hour)
	service = core.ServiceID("pool")
	// apart is a time after which crashes count separately.
	apart = time.Second
)

func crash(i int) quarantine.Crash {
	return quarantine.Crash{Endpoint: fleet.EndpointID(fmt.Sprint("engine-", i)), Boot: 1}
}

// crashAt reports crashes that cut one call with the parts, one at each time after start.
func crashAt(t *quarantine.Tracker, first int, parts []core.PromptPart, times ...time.Duration) {
	for i, at := range times {
		t.Crashed(start.Add(at), service, crash(first+i), [][]core.PromptPart{parts})
	}
}

func blocked(t *quarantine.Tracker, at time.Duration, parts ...core.PromptPart) bool {
	_, is := t.Blocked(start.Add(at), service, parts)
	return is
}

// quarantined returns a tracker that blocks the part, with the last crash at 3 s.
func quarantined(part core.PromptPart) *quarantine.Tracker {
	t := quarantine.New(quarantine.Config{})
	crashAt(t, 0, []core.PromptPart{part}, 0, apart, 2*apart, 3*apart)
	return t
}

// Requests with a harmful part went on to engines after many crashes.
func TestAPartIsBlockedAfterFourSeparateCrashes(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantine.New(quarantine.Config{})
	crashAt(tracker, 0, []core.PromptPart{"a"}, 0, apart, 2*apart)
	g.Expect(blocked(tracker, 3*apart, "a")).To(BeFalse())
	crashAt(tracker, 3, []core.PromptPart{"a"}, 3*apart)
	g.Expect(blocked(tracker, 3*apart, "b", "a")).To(BeTrue())
	g.Expect(blocked(tracker, 3*apart, "b")).To(BeFalse())
	_, other := tracker.Blocked(start.Add(3*apart), "another", []core.PromptPart{"a"})
	g.Expect(other).To(BeFalse())
}

// A power failure that ended many engines blocked the parts of all their calls.
func TestCrashesAtOneInstantCountOnce(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantine.New(quarantine.Config{})
	for i := range 9 {
		crashAt(tracker, i, []core.PromptPart{"a"}, time.Duration(i)*time.Millisecond)
	}
	g.Expect(blocked(tracker, apart, "a")).To(BeFalse())
}

// One crash that several gateways report, late by their messages, counted several times.
func TestACrashThatSeveralProcessesReportCountsOnce(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantine.New(quarantine.Config{})
	for i := range 6 {
		other := quarantine.New(quarantine.Config{})
		crashAt(other, 0, []core.PromptPart{"a"}, 0)
		tracker.Learn(start.Add(time.Duration(i)*apart), other.Records(start))
	}
	g.Expect(blocked(tracker, 10*apart, "a")).To(BeFalse())
}

// Popular parts were blocked because a call with them was in flight at every crash.
func TestACompleteAnswerClearsEarlierCrashesOnly(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantined("a")
	tracker.Answered(start.Add(3*apart+1), service, []core.PromptPart{"a"})
	g.Expect(blocked(tracker, 4*apart, "a")).To(BeFalse())
	crashAt(tracker, 10, []core.PromptPart{"a"}, 4*apart, 5*apart, 6*apart)
	g.Expect(blocked(tracker, 6*apart, "a")).To(BeFalse())
	crashAt(tracker, 13, []core.PromptPart{"a"}, 7*apart)
	g.Expect(blocked(tracker, 7*apart, "a")).To(BeTrue())
}

// A part that turned harmful stayed sound because of answers that had begun before.
func TestAnAnswerThatBeganBeforeACrashDoesNotClearIt(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantined("a")
	tracker.SoundAt(start.Add(4*apart), start, service, []core.PromptPart{"a"})
	g.Expect(blocked(tracker, 4*apart, "a")).To(BeTrue())
	tracker.SoundAt(start.Add(4*apart), start.Add(1), service, []core.PromptPart{"a"})
	g.Expect(blocked(tracker, 4*apart, "a")).To(BeFalse())
}

// An answer that only one gateway had seen cleared a part nowhere else.
func TestAProcessThatKnowsAnAnswerClearsThePartForOthers(t *testing.T) {
	g := NewWithT(t)
	suspicious, knowing := quarantined("a"), quarantine.New(quarantine.Config{})
	knowing.Answered(start.Add(4*apart), service, []core.PromptPart{"a"})
	before := knowing.Version()
	now := start.Add(5 * apart)
	g.Expect(knowing.Learn(now, suspicious.Records(now))).To(BeTrue())
	g.Expect(blocked(knowing, 5*apart, "a")).To(BeFalse())
	g.Expect(knowing.Version()).To(BeNumerically(">", before))
	g.Expect(suspicious.Learn(now, knowing.Records(now))).To(BeTrue())
	g.Expect(blocked(suspicious, 5*apart, "a")).To(BeFalse())
	// A process whose news was lost is told again when it repeats its suspicion.
	before = knowing.Version()
	knowing.Learn(now, quarantined("a").Records(now))
	g.Expect(knowing.Version()).To(BeNumerically(">", before))
}

// An answer became younger with each message, until it cleared later crashes.
func TestAnAnswerDoesNotClearLaterCrashesWhenMessagesAreDelayed(t *testing.T) {
	g := NewWithT(t)
	a, b := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
	crashAt(a, 0, []core.PromptPart{"a"}, 0)
	a.Answered(start.Add(time.Millisecond), service, []core.PromptPart{"a"})
	crashAt(a, 1, []core.PromptPart{"a"}, apart, 2*apart, 3*apart, 4*apart)
	for i := range 20 {
		sent, received := start.Add(time.Duration(5+i)*apart), start.Add(time.Duration(5+i)*apart+400*time.Millisecond)
		b.Learn(received, a.Records(sent))
		a.Learn(received, b.Records(sent))
	}
	g.Expect(blocked(a, 30*apart, "a")).To(BeTrue())
	g.Expect(blocked(b, 30*apart, "a")).To(BeTrue())
}

// One harmful call ended a second engine.
func TestACallIsRepeatedOnlyIfItsPartsAreSoundOrTheCrashIsSingle(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantine.New(quarantine.Config{})
	may := func(at time.Duration, parts ...core.PromptPart) bool {
		return tracker.MayRepeat(start.Add(at), service, parts)
	}
	tracker.Answered(start.Add(-apart), service, []core.PromptPart{"sound"})
	crashAt(tracker, 0, []core.PromptPart{"sound", "unknown"}, 0)
	g.Expect(may(0, "sound", "unknown")).To(BeTrue())
	crashAt(tracker, 1, []core.PromptPart{"unknown"}, apart)
	g.Expect(may(apart, "sound")).To(BeTrue())
	g.Expect(may(apart)).To(BeTrue())
	g.Expect(may(apart, "sound", "unknown")).To(BeFalse())
	crashAt(tracker, 2, []core.PromptPart{"sound"}, 2*apart)
	g.Expect(may(2*apart, "sound")).To(BeFalse())
	g.Expect(may(13*apart, "unknown")).To(BeTrue())
}

// A part stayed blocked for ever after an outage, or was tried by every gateway.
func TestABlockedPartIsTriedOnceWhenATrialIsDue(t *testing.T) {
	g := NewWithT(t)
	tracker, other := quarantined("a"), quarantined("a")
	try := func(t *quarantine.Tracker, at time.Duration, self bool) bool {
		return t.Trial(start.Add(at), service, "a", self)
	}
	g.Expect(try(tracker, 22*time.Second, true)).To(BeFalse())
	g.Expect(try(tracker, 23*time.Second, false)).To(BeFalse())
	g.Expect(try(tracker, 23*time.Second, true)).To(BeTrue())
	g.Expect(try(tracker, 23*time.Second, true)).To(BeFalse())
	other.Learn(start.Add(24*time.Second), tracker.Records(start.Add(24*time.Second)))
	g.Expect(try(other, 25*time.Second, true)).To(BeFalse())
	g.Expect(try(other, 102*time.Second, true)).To(BeFalse())
	crashAt(other, 20, []core.PromptPart{"a"}, 24*time.Second)
	g.Expect(try(other, 103*time.Second, true)).To(BeFalse())
	g.Expect(try(other, 104*time.Second, true)).To(BeTrue())
	g.Expect(try(other, 403*time.Second, true)).To(BeFalse())
	g.Expect(try(other, 404*time.Second, true)).To(BeTrue())
	g.Expect(try(other, 704*time.Second, true)).To(BeTrue())
	g.Expect(blocked(other, 705*time.Second, "a")).To(BeTrue())
	other.Answered(start.Add(706*time.Second), service, []core.PromptPart{"a"})
	g.Expect(blocked(other, 707*time.Second, "a")).To(BeFalse())
	g.Expect(try(other, 2000*time.Second, true)).To(BeFalse())
}

// A part that was blocked again waited as long as if its earlier trials had failed.
func TestTrialsBeforeAnAnswerDoNotDelayThoseAfterIt(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantined("a")
	g.Expect(tracker.Trial(start.Add(30*time.Second), service, "a", true)).To(BeTrue())
	tracker.Answered(start.Add(31*time.Second), service, []core.PromptPart{"a"})
	crashAt(tracker, 10, []core.PromptPart{"a"}, 40*time.Second, 41*time.Second, 42*time.Second, 43*time.Second)
	g.Expect(tracker.Trial(start.Add(62*time.Second), service, "a", true)).To(BeFalse())
	g.Expect(tracker.Trial(start.Add(63*time.Second), service, "a", true)).To(BeTrue())
}

// The trial of one part sent a call with another one that was not due.
func TestOfTwoBlockedPartsTheOneDueLastIsReturned(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantined("a")
	crashAt(tracker, 10, []core.PromptPart{"b"}, 4*apart, 5*apart, 6*apart, 7*apart)
	for _, parts := range [][]core.PromptPart{{"a", "b"}, {"b", "a"}} {
		part, is := tracker.Blocked(start.Add(8*apart), service, parts)
		g.Expect(is).To(BeTrue())
		g.Expect(part).To(Equal(core.PromptPart("b")))
	}
}

// Many crashes within a moment displaced the earlier ones, so that none counted separately.
func TestABurstOfCrashesDoesNotDisplaceThoseThatCount(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantine.New(quarantine.Config{})
	crashAt(tracker, 0, []core.PromptPart{"a"}, 0, apart, 2*apart)
	for i := range 100 {
		crashAt(tracker, 10+i, []core.PromptPart{"a"}, 3*apart+time.Duration(i)*time.Millisecond)
	}
	g.Expect(blocked(tracker, 4*apart, "a")).To(BeTrue())
}

// A blocked part that no longer occurs was kept for ever.
func TestAPartIsForgottenAnHourAfterItsLastCrash(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantined("a")
	g.Expect(blocked(tracker, 3*apart+time.Hour, "a")).To(BeTrue())
	g.Expect(blocked(tracker, 4*apart+time.Hour, "a")).To(BeFalse())
	g.Expect(tracker.Records(start.Add(4*apart + time.Hour))).To(BeEmpty())
}

// A flood of suspects displaced the part that is blocked.
func TestABlockedPartOutlastsManySuspects(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantined("a")
	for i := range 5000 {
		crashAt(tracker, 10+i, []core.PromptPart{core.PromptPart(fmt.Sprint(i))}, 4*apart)
	}
	g.Expect(blocked(tracker, 5*apart, "a")).To(BeTrue())
	records := tracker.Records(start.Add(5 * apart))
	g.Expect(len(records)).To(BeNumerically("<=", 32))
	g.Expect(records[0].Part).To(Equal(core.PromptPart("a")))
}

// drawRecords returns records of few parts and crashes; a crash has the same age in all.
func drawRecords(t *rapid.T) []quarantine.Record {
	var records []quarantine.Record
	for range rapid.IntRange(0, 4).Draw(t, "records") {
		record := quarantine.Record{Service: service, Part: rapid.SampledFrom([]core.PromptPart{"a", "b", "c"}).Draw(t, "part")}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, 7), 0, 8).Draw(t, "crashes") {
			record.Crashes = append(record.Crashes, quarantine.CrashAge{
				Crash: crash(i), Age: time.Duration(8-i) * 140 * time.Millisecond, Cleared: rapid.IntRange(0, 3).Draw(t, "cleared") == 0,
			})
		}
		record.Trials = rapid.IntRange(0, 2).Draw(t, "trials")
		record.TrialAge = time.Duration(rapid.IntRange(0, 30).Draw(t, "age")) * time.Second
		records = append(records, record)
	}
	return records
}

// effect is what follows from a tracker's state.
func effect(t *quarantine.Tracker, now boottime.Instant) string {
	var effects []string
	for _, part := range []core.PromptPart{"a", "b", "c"} {
		_, is := t.Blocked(now, service, []core.PromptPart{part})
		effects = append(effects, fmt.Sprint(is))
	}
	for wait := range 10 {
		at := now.Add(time.Duration(wait) * 15 * time.Second)
		for _, part := range []core.PromptPart{"a", "b", "c"} {
			due, _ := t.Blocked(at, service, []core.PromptPart{part, "a", "b", "c"})
			effects = append(effects, string(due))
		}
	}
	return fmt.Sprint(effects)
}

// Processes that got the same messages in another order, or twice, blocked other parts.
func TestTheOrderAndNumberOfMessagesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := rapid.SliceOfN(rapid.Custom(drawRecords), 1, 6).Draw(t, "messages")
		a, b, c := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
		for _, message := range messages {
			a.Learn(start, message)
		}
		split := rapid.IntRange(0, len(messages)).Draw(t, "split")
		for _, message := range rapid.Permutation(append(slices.Clone(messages), messages...)).Draw(t, "order") {
			b.Learn(start, message)
		}
		d := quarantine.New(quarantine.Config{})
		for i, message := range messages {
			if i < split {
				c.Learn(start, message)
			} else {
				d.Learn(start, message)
			}
		}
		c.Learn(start, d.Records(start))
		if before := a.Records(start); a.Learn(start, before) {
			t.Fatalf("a tracker's own records were news to it: %v", before)
		}
		if want := effect(a, start); effect(b, start) != want || effect(c, start) != want {
			t.Fatalf("effects differ: %s, %s and %s", want, effect(b, start), effect(c, start))
		}
	})
}

// A crash whose report was delayed appeared later than the answer that clears it.
func TestTheEarliestReportOfACrashCounts(t *testing.T) {
	g := NewWithT(t)
	report := func(delay time.Duration) []quarantine.Record {
		record := quarantine.Record{Service: service, Part: "a"}
		for i := range 4 {
			record.Crashes = append(record.Crashes, quarantine.CrashAge{Crash: crash(i), Age: time.Duration(i)*apart + 5*time.Second - delay})
		}
		return []quarantine.Record{record}
	}
	tracker, now := quarantine.New(quarantine.Config{}), start.Add(10*time.Second)
	tracker.Learn(now, report(5*time.Second))
	tracker.Learn(now, report(0))
	g.Expect(blocked(tracker, 10*time.Second, "a")).To(BeTrue())
	tracker.SoundAt(now, start.Add(5*time.Second), service, []core.PromptPart{"a"})
	g.Expect(blocked(tracker, 10*time.Second, "a")).To(BeFalse())
}
