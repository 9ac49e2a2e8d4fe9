package gate_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
)

// schedule applies random events to a gate and checks its invariants.
type schedule struct {
	t       *rapid.T
	gate    *gate.Gate
	now     time.Time
	nextID  uint64
	running map[uint64]time.Time
	waiting map[uint64]bool
	closed  bool
}

// checkActions checks the actions of one event against the limit and the expected load.
func (s *schedule) checkActions(actions gate.Actions) {
	limit := s.gate.Load(s.now).Limit
	for _, id := range actions.Admitted {
		s.recordDecision(id)
		if s.closed {
			s.t.Fatalf("closed gate admitted call %d", id)
		}
		s.running[id] = s.now
		if len(s.running) > limit {
			s.t.Fatalf("%d calls in flight after an admission, limit %d", len(s.running), limit)
		}
	}
	for _, rejection := range actions.Rejected {
		s.recordDecision(rejection.ID)
		if rejection.Refusal.Kind != core.OutcomeNotRun {
			s.t.Fatalf("refusal has outcome %s, want not_run", rejection.Refusal.Kind)
		}
		if rejection.Refusal.RetryAfter <= 0 {
			s.t.Fatalf("refusal with reason %s has no retry time", rejection.Refusal.Reason)
		}
	}
	load := s.gate.Load(s.now)
	if load.Queued != len(s.waiting) || load.InFlight != len(s.running) {
		s.t.Fatalf("gate reports %+v, want %d in flight and %d waiting", load, len(s.running), len(s.waiting))
	}
	if load.Queued > 0 && load.InFlight < load.Limit && !s.closed {
		s.t.Fatalf("calls are waiting below the limit: %+v", load)
	}
}

// recordDecision checks that a call is decided only once.
func (s *schedule) recordDecision(id uint64) {
	if !s.waiting[id] {
		s.t.Fatalf("call %d was decided twice", id)
	}
	delete(s.waiting, id)
}

// offer submits one new call.
func (s *schedule) offer() {
	s.nextID++
	ticket := gate.Ticket{ID: s.nextID}
	ticket.Priority = core.Priority(rapid.IntRange(0, 2).Draw(s.t, "priority"))
	ticket.Team = teamName(rapid.IntRange(0, 4).Draw(s.t, "team"))
	if rapid.Bool().Draw(s.t, "has deadline") {
		ticket.Deadline = s.now.Add(time.Duration(rapid.IntRange(-10, 3000).Draw(s.t, "deadline")) * time.Millisecond)
	}
	s.waiting[ticket.ID] = true
	s.checkActions(s.gate.Offer(s.now, ticket))
}

// done ends the oldest running call.
func (s *schedule) done() {
	oldest := uint64(0)
	for id := range s.running {
		if oldest == 0 || id < oldest {
			oldest = id
		}
	}
	if oldest == 0 {
		return
	}
	elapsed := s.now.Sub(s.running[oldest])
	delete(s.running, oldest)
	outcome := rapid.IntRange(0, 9).Draw(s.t, "outcome")
	result := gate.Result{Elapsed: elapsed, FirstToken: elapsed / 10, Tokens: 20}
	result.Failed = outcome == 0
	result.Canceled = outcome == 1
	result.NotStarted = outcome == 2
	result.Unreachable = outcome == 3
	result.Failed = result.Failed || result.Unreachable
	s.checkActions(s.gate.Done(s.now, oldest, result))
}

// step performs one random event.
func (s *schedule) step() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(s.t, "pause")) * time.Millisecond)
	switch event := rapid.IntRange(0, 19).Draw(s.t, "event"); {
	case event < 9:
		s.offer()
	case event < 14:
		s.done()
	case event < 16:
		s.checkActions(s.gate.Tick(s.now))
	case event == 16:
		s.checkActions(s.gate.Tokens(s.now, 4, 80*time.Millisecond))
	case event == 17:
		s.gate.Cold(s.now)
	case event == 18:
		for id := range s.waiting {
			s.gate.Cancel(id)
			delete(s.waiting, id)
			break
		}
	default:
		s.toggle()
	}
}

// toggle closes an open gate and reopens a closed one.
func (s *schedule) toggle() {
	if s.closed {
		s.closed = false
		s.gate.Reopen(s.now)
		return
	}
	s.closed = true
	s.checkActions(s.gate.Close(core.ReasonZoneOut))
	if len(s.waiting) > 0 {
		s.t.Fatalf("%d calls are waiting at a closed gate", len(s.waiting))
	}
}

var _ = Describe("Gate", func() {
	for _, limiter := range []string{"adaptive", "fixed"} {
		It("keeps to the limit and gives every call one verdict with the limiter "+limiter, func() {
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				l, err := gate.Limiters.New(limiter)
				if err != nil {
					t.Fatal(err)
				}
				capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
				s := &schedule{
					t:       t,
					gate:    gate.New(gate.Config{Limiter: l, QueueCapacity: capacity, Random: rand.New(rand.NewPCG(1, 2))}),
					now:     time.Unix(1_000_000, 0),
					running: map[uint64]time.Time{},
					waiting: map[uint64]bool{},
				}
				for range rapid.IntRange(1, 300).Draw(t, "steps") {
					s.step()
					if len(s.waiting) > capacity {
						t.Fatalf("%d calls are waiting, queue capacity %d", len(s.waiting), capacity)
					}
				}
			})
		})
	}

	It("spreads retry times and derives them from the drain time", func() {
		g := gate.New(gate.Config{Limiter: gate.NewAdaptive(gate.AdaptiveConfig{}), QueueCapacity: 4})
		now := time.Unix(1_000_000, 0)
		seen := map[time.Duration]bool{}
		for id := uint64(1); id <= 25; id++ {
			for _, rejection := range g.Offer(now, gate.Ticket{ID: id}).Rejected {
				after := rejection.Refusal.RetryAfter
				Expect(rejection.Refusal.Reason).To(Equal(core.ReasonOverloaded))
				Expect(after).To(BeNumerically("~", 2500*time.Millisecond, 1250*time.Millisecond))
				seen[after] = true
			}
		}
		Expect(len(seen)).To(Equal(20))
	})
})
