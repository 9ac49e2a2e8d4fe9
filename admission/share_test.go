package admission

import (
	"testing"

	"pgregory.net/rapid"
)

func TestFairLevelDividesEverythingAndNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var demands []teamDemand
		demand := 0.0
		for range rapid.IntRange(1, 12).Draw(t, "teams") {
			d := teamDemand{demand: float64(rapid.IntRange(0, 100).Draw(t, "demand")), weight: float64(rapid.IntRange(1, 8).Draw(t, "weight"))}
			demands = append(demands, d)
			demand += d.demand
		}
		total := float64(rapid.IntRange(0, 600).Draw(t, "total"))
		level := fairLevel(total, demands)
		allocated := 0.0
		for _, d := range demands {
			allocated += min(d.demand, level*d.weight)
		}
		if want := min(total, demand); allocated < want-1e-6 || allocated > want+1e-6 {
			t.Fatalf("fair level %g allocates %g of %g, want %g", level, allocated, total, want)
		}
	})
}
