package gate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/gate"
)

// pace returns the time between tokens of an engine with n calls in flight.
type pace func(n int) time.Duration

// knee returns the pace of an engine that slows down steeply above capacity.
func knee(capacity int) pace {
	return func(n int) time.Duration {
		step := 20*time.Millisecond + 500*time.Microsecond*time.Duration(n)
		if n > capacity {
			over := float64(n) / float64(capacity)
			step = time.Duration(float64(step) * over * over)
		}
		return step
	}
}

// saturate keeps the limiter saturated for the given duration and returns the largest
// limit.
func saturate(l *gate.Adaptive, now *time.Time, engine pace, duration time.Duration) int {
	peak, running, first := 0, 0, 60*time.Millisecond
	for end := now.Add(duration); now.Before(end); {
		for running < l.Limit(*now) {
			running++
			l.Started(*now)
		}
		step := engine(running)
		*now = now.Add(step)
		for range running {
			l.Tokens(*now, 1, step)
		}
		for running > l.Limit(*now) {
			running--
			l.Done(*now, gate.Result{Elapsed: 10 * step, FirstToken: first, Tokens: 10, Observed: true})
		}
		peak = max(peak, l.Limit(*now))
	}
	for range running {
		l.Done(*now, gate.Result{NotStarted: true})
	}
	return peak
}

var _ = Describe("Adaptive", func() {
	var (
		now time.Time
		l   *gate.Adaptive
	)
	BeforeEach(func() {
		now = time.Unix(1_000_000, 0)
		l = gate.NewAdaptive(gate.AdaptiveConfig{})
	})

	It("finds capacities it was not told and stays near them", func() {
		for _, capacity := range []int{2, 8, 24, 64} {
			l = gate.NewAdaptive(gate.AdaptiveConfig{})
			Expect(l.Limit(now)).To(Equal(1))
			peak := saturate(l, &now, knee(capacity), 30*time.Second)
			Expect(l.Limit(now)).To(BeNumerically(">=", 0.75*float64(capacity)), "capacity %d", capacity)
			Expect(peak).To(BeNumerically("<=", 1+int(1.35*float64(capacity))), "capacity %d", capacity)
		}
	})

	It("shrinks when the capacity falls while the endpoint stays up", func() {
		saturate(l, &now, knee(32), 20*time.Second)
		saturate(l, &now, knee(8), 5*time.Second)
		Expect(l.Limit(now)).To(BeNumerically("<=", 11))
	})

	It("falls to the start on a new boot number, an error burst and a jump of the first token", func() {
		warm := func() {
			saturate(l, &now, knee(16), 20*time.Second)
			for range 10 {
				now = now.Add(200 * time.Millisecond)
				l.FirstToken(now, 50*time.Millisecond)
			}
			saturate(l, &now, knee(16), time.Second)
			Expect(l.Limit(now)).To(BeNumerically(">", 8))
		}
		warm()
		l.Cold(now)
		Expect(l.Limit(now)).To(Equal(1))
		warm()
		now = now.Add(time.Second)
		for range 3 {
			l.Started(now)
			l.Done(now, gate.Result{Failed: true, Elapsed: 100 * time.Millisecond})
		}
		Expect(l.Limit(now)).To(Equal(1))
		warm()
		now = now.Add(time.Second)
		for range 3 {
			now = now.Add(300 * time.Millisecond)
			l.FirstToken(now, 900*time.Millisecond)
		}
		Expect(l.Limit(now)).To(Equal(1))
	})

	It("takes slower first tokens within the usual spread for no jump", func() {
		saturate(l, &now, knee(16), 20*time.Second)
		for range 10 {
			l.FirstToken(now, 90*time.Millisecond)
			now = now.Add(100 * time.Millisecond)
		}
		saturate(l, &now, knee(16), time.Second)
		for range 5 {
			l.FirstToken(now, 300*time.Millisecond)
		}
		Expect(l.Limit(now)).To(BeNumerically(">", 8))
	})

	It("does not raise a limit that only short bursts reach", func() {
		saturate(l, &now, knee(8), 10*time.Second)
		before := l.Limit(now)
		for range 400 {
			steady := 7 * before / 8
			for range steady {
				l.Started(now)
			}
			for range 10 {
				now = now.Add(20 * time.Millisecond)
				for range steady {
					l.Tokens(now, 1, 20*time.Millisecond)
				}
			}
			for l.Limit(now) > steady {
				l.Started(now)
				steady++
			}
			now = now.Add(5 * time.Millisecond)
			for range steady {
				l.Done(now, gate.Result{Elapsed: 205 * time.Millisecond, Observed: true})
			}
		}
		Expect(l.Limit(now)).To(BeNumerically("<=", before+1))
	})

	It("grows a small limit under light load, and keeps it through calls of different lengths", func() {
		for i := range 400 {
			elapsed := 5 * time.Millisecond
			if i/20%2 == 1 {
				elapsed = 120 * time.Millisecond
			}
			together := 1 + i%4
			running := 0
			for running < min(together, l.Limit(now)) {
				l.Started(now)
				running++
			}
			now = now.Add(elapsed)
			for range running {
				l.Done(now, gate.Result{Elapsed: elapsed, FirstToken: elapsed, Tokens: 1})
			}
			now = now.Add(elapsed / 4)
		}
		Expect(l.Limit(now)).To(BeNumerically(">=", 3))
	})

	It("ignores calls from before the endpoint turned cold", func() {
		saturate(l, &now, knee(16), 10*time.Second)
		l.Cold(now)
		now = now.Add(100 * time.Millisecond)
		for range 16 {
			l.Started(now)
			l.Done(now, gate.Result{Failed: true, Elapsed: time.Second})
		}
		saturate(l, &now, knee(16), 5*time.Second)
		Expect(l.Limit(now)).To(BeNumerically(">", 4))
	})

	It("gives up a limit that was not used for long", func() {
		saturate(l, &now, knee(32), 20*time.Second)
		now = now.Add(10 * time.Minute)
		Expect(l.Limit(now)).To(Equal(1))
	})

	It("keeps its limit when the caller gives up or the call was never started", func() {
		saturate(l, &now, knee(8), 10*time.Second)
		before := l.Limit(now)
		for range 20 {
			l.Started(now)
			l.Started(now)
			l.Done(now, gate.Result{Canceled: true, Elapsed: 10 * time.Millisecond})
			l.Done(now, gate.Result{NotStarted: true})
		}
		Expect(l.Limit(now)).To(Equal(before))
	})
})
