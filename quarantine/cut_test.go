package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/quarantine"
)

// crashOf reports an engine that ended under calls with many parts each, of which one is given.
func crashOf(t *quarantine.Tracker, engine, calls, parts int, at time.Duration, part core.PromptPart) {
	var cut [][]core.PromptPart
	for c := range calls {
		var call []core.PromptPart
		for p := range parts {
			call = append(call, core.PromptPart(fmt.Sprintf("%04x%02x%06x", engine, c, p)))
		}
		cut = append(cut, append(call, part))
	}
	t.Crashed(start.Add(at), service, crash(engine), cut)
}

// A part of long prompts was forgotten with the next crash, which brought thousands of others.
func TestAPartOutlastsTheOtherPartsOfTheCallsThatAreCut(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantine.New(quarantine.Config{})
	for i := range 4 {
		crashOf(tracker, i, 10, 300, time.Duration(i)*apart, "harmful")
	}
	g.Expect(blocked(tracker, 4*apart, "a", "harmful")).To(BeTrue())
	records := tracker.Records(start.Add(4 * apart))
	g.Expect(records[0].Part).To(Equal(core.PromptPart("harmful")))
}

// No gateway saw two crashes of a part, and none told the others of it among hundreds of parts.
func TestPartsWithOneCrashAreCountedWhereReportsMeet(t *testing.T) {
	g := NewWithT(t)
	collector := quarantine.New(quarantine.Config{})
	for i := range 4 {
		gateway := quarantine.New(quarantine.Config{})
		crashOf(gateway, i, 10, 300, time.Duration(i)*apart, "harmful")
		at := start.Add(time.Duration(i)*apart + 200*time.Millisecond)
		cuts, last := gateway.Cuts(at, 0)
		g.Expect(last).To(Equal(gateway.Reported()))
		g.Expect(collector.LearnCuts(at, cuts)).To(BeTrue())
		g.Expect(collector.LearnCuts(at, cuts)).To(BeFalse(), "the same again")
	}
	g.Expect(collector.Records(start.Add(4 * apart))[0].Part).To(Equal(core.PromptPart("harmful")))
	g.Expect(blocked(collector, 4*apart, "harmful")).To(BeTrue())
}

// A part that a gateway had found to be sound after its crash was counted all the same.
func TestASoundPartIsReportedAfterItsCrash(t *testing.T) {
	g := NewWithT(t)
	gateway, collector := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
	last := uint64(0)
	for i := range 5 {
		at := time.Duration(i) * apart
		crashAt(gateway, i, []core.PromptPart{"sound", "harmful"}, at)
		gateway.SoundAt(start.Add(at+1), start.Add(at+1), service, []core.PromptPart{"sound"})
		var cuts []quarantine.Cut
		cuts, last = gateway.Cuts(start.Add(at+2), last)
		collector.LearnCuts(start.Add(at+2), cuts)
	}
	g.Expect(blocked(collector, 5*apart, "harmful")).To(BeTrue())
	g.Expect(blocked(collector, 5*apart, "sound")).To(BeFalse())
}

// Prompts of thousands of parts filled messages between processes without bound.
func TestTheCutsOfOneMessageAreBounded(t *testing.T) {
	g := NewWithT(t)
	gateway := quarantine.New(quarantine.Config{})
	crashOf(gateway, 0, 2, 3000, 0, "a")
	total, last := 0, uint64(0)
	for range 3 {
		cuts, next := gateway.Cuts(start.Add(1), last)
		parts := 0
		for _, cut := range cuts {
			parts += len(cut.Parts)
		}
		g.Expect(parts).To(BeNumerically("<=", 4096))
		total, last = total+parts, next
	}
	g.Expect(total).To(Equal(6001))
	g.Expect(last).To(Equal(gateway.Reported()))
	g.Expect(gateway.Cuts(start.Add(time.Minute), 0)).To(BeEmpty())
}

// Sound parts of long prompts were forgotten within a second, and their calls not repeated.
func TestCallsOfHundredsOfSoundPartsMayBeRepeated(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantine.New(quarantine.Config{})
	var first []core.PromptPart
	for call := range 200 {
		var parts []core.PromptPart
		for p := range 200 {
			parts = append(parts, core.PromptPart(fmt.Sprintf("%04x%04x", call, p)))
		}
		tracker.Answered(start, service, parts)
		if call == 0 {
			first = parts
		}
	}
	crashAt(tracker, 0, []core.PromptPart{"a"}, 0, apart)
	g.Expect(tracker.MayRepeat(start.Add(2*apart), service, first)).To(BeTrue())
	g.Expect(tracker.MayRepeat(start.Add(2*apart), service, []core.PromptPart{"unknown"})).To(BeFalse())
}

// BenchmarkLongPrompts measures the path of a call with 2,000 parts through full tables.
func BenchmarkLongPrompts(b *testing.B) {
	tracker := quarantine.New(quarantine.Config{})
	for i := range 6 {
		crashOf(tracker, i, 10, 300, time.Duration(i)*apart, "harmful")
	}
	var parts []core.PromptPart
	for p := range 2000 {
		parts = append(parts, core.PromptPart(fmt.Sprintf("%016x", p)))
	}
	for b.Loop() {
		now := start.Add(7 * apart)
		tracker.Blocked(now, service, parts)
		tracker.Suspended(now, service, parts)
		tracker.SoundAt(now, now, service, parts)
	}
}
