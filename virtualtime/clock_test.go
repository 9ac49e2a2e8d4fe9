package virtualtime_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/virtualtime"
)

var start = time.Unix(1000, 0)

// Functions must run in the order of a stable sort by time.
func TestFunctionsRunInOrderOfTimeAndOfAdding(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := NewWithT(t)
		waits := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 30).Draw(r, "waits")
		clock := virtualtime.New(start)
		type run struct{ number, at int }
		var want, got []run
		for i, wait := range waits {
			want = append(want, run{i, wait})
			clock.After(time.Duration(wait)*time.Second, func() { got = append(got, run{i, int(clock.Now().Sub(start).Seconds())}) })
		}
		slices.SortStableFunc(want, func(a, b run) int { return a.at - b.at })
		clock.RunUntil(start.Add(5 * time.Second))
		g.Expect(got).To(Equal(want))
	})
}

func TestRunUntilStandsAtItsEndAndKeepsTheRest(t *testing.T) {
	g := NewWithT(t)
	clock := virtualtime.New(start)
	count := 0
	clock.Every(time.Second, func() { count++ })
	clock.RunUntil(start.Add(2500 * time.Millisecond))
	g.Expect(count).To(Equal(2))
	g.Expect(clock.Now()).To(Equal(start.Add(2500 * time.Millisecond)))
	clock.At(start, func() { g.Expect(clock.Now()).To(Equal(start.Add(2500 * time.Millisecond))) })
	g.Expect(clock.Step()).To(BeTrue())
	g.Expect(virtualtime.New(start).Step()).To(BeFalse())
}
