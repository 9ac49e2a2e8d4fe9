package routing_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/routing"
)

// raceModel is an independent model of what a caller must receive.
type raceModel struct {
	begun, ended map[uint32]bool
	passedHead   uint32
	parts        []uint32
	answered     bool
	unknown      bool
}

func (m *raceModel) open(attempt uint32) bool { return m.begun[attempt] && !m.ended[attempt] }

func (m *raceModel) anyOpen() bool {
	for attempt := range m.begun {
		if m.open(attempt) {
			return true
		}
	}
	return false
}

// randomEnd returns a random end of an attempt.
func randomEnd(t *rapid.T) *core.Refusal {
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		return nil
	case 1:
		return core.NotRun(core.ReasonOverloaded, 0, "full")
	default:
		return core.Unknown(core.ReasonConnectionLost, 0, "cut")
	}
}

// step applies one random message of any attempt to the race and the model.
func (m *raceModel) step(t *rapid.T, race *routing.Race) {
	attempt := rapid.Uint32Range(0, 4).Draw(t, "attempt")
	switch rapid.IntRange(0, 5).Draw(t, "message") {
	case 0:
		if race.Begin(attempt) {
			if m.begun[attempt] || m.passedHead != 0 || m.answered || len(m.begun) > 0 && !m.anyOpen() {
				t.Fatalf("attempt %d began although it must not start", attempt)
			}
			m.begun[attempt] = true
		}
	case 1:
		want := m.open(attempt) && m.passedHead == 0 && !m.answered
		if race.Head(attempt) != want {
			t.Fatalf("head of attempt %d: want accepted %v", attempt, want)
		}
		if want {
			m.passedHead = attempt
		}
	case 2, 3:
		number := rapid.Uint32Range(0, 3).Draw(t, "number")
		if race.Data(attempt, number) {
			if attempt != m.passedHead || !m.open(attempt) {
				t.Fatalf("a part of attempt %d was accepted, the winner is attempt %d", attempt, m.passedHead)
			}
			m.parts = append(m.parts, number)
		} else if attempt == m.passedHead && m.open(attempt) && int(number) == len(m.parts) {
			t.Fatalf("part %d of the winner was dropped", number)
		}
	default:
		m.end(t, race, attempt)
	}
}

func (m *raceModel) end(t *rapid.T, race *routing.Race, attempt uint32) {
	refusal := randomEnd(t)
	race.End(attempt, refusal)
	if !m.open(attempt) {
		return
	}
	m.ended[attempt] = true
	m.unknown = m.unknown || refusal != nil && refusal.Kind == core.OutcomeUnknown
	m.answered = m.answered || refusal == nil && (m.passedHead == 0 || m.passedHead == attempt)
}

// check compares the race with the model.
func (m *raceModel) check(t *rapid.T, race *routing.Race) {
	for i, number := range m.parts {
		if int(number) != i {
			t.Fatalf("the caller received parts %v, want consecutive numbers from 0", m.parts)
		}
	}
	for _, loser := range race.Losers() {
		if !m.open(loser) || loser == m.passedHead || m.passedHead == 0 && !m.answered {
			t.Fatalf("attempt %d is listed as a loser without reason", loser)
		}
	}
	if len(m.begun) == 0 || m.anyOpen() {
		return
	}
	refusal, mayHaveRun := race.Result()
	if (refusal == nil) != m.answered || mayHaveRun != m.unknown {
		t.Fatalf("result %v, may have run %v; want answered %v, may have run %v", refusal, mayHaveRun, m.answered, m.unknown)
	}
}

var _ = Describe("Race", func() {
	It("passes one whole answer of one attempt, whatever comes late, crossed or twice", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			race := routing.NewRace(true)
			model := &raceModel{begun: map[uint32]bool{}, ended: map[uint32]bool{}}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				model.step(t, race)
				model.check(t, race)
			}
		})
	})

	It("cancels the slower attempt once the other has a head", func() {
		race := routing.NewRace(true)
		Expect(race.Begin(1)).To(BeTrue())
		Expect(race.Begin(2)).To(BeTrue())
		Expect(race.Losers()).To(BeEmpty())
		Expect(race.Head(2)).To(BeTrue())
		Expect(race.Losers()).To(Equal([]uint32{1}))
		Expect(race.Head(1)).To(BeFalse())
		Expect(race.Data(1, 0)).To(BeFalse())
		race.End(1, core.Unknown(core.ReasonConnectionLost, 0, "cancelled"))
		race.End(2, core.NotRun(core.ReasonIncomplete, 0, "cut"))
		refusal, mayHaveRun := race.Result()
		Expect(refusal.Reason).To(Equal(core.ReasonIncomplete))
		Expect(mayHaveRun).To(BeTrue())
	})

	It("passes the parts of a plain service without numbers", func() {
		race := routing.NewRace(false)
		Expect(race.Begin(7)).To(BeTrue())
		Expect(race.Head(7)).To(BeTrue())
		Expect(race.Data(7, 0)).To(BeTrue())
		Expect(race.Data(7, 0)).To(BeTrue())
	})
})
