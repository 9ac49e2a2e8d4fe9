package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// usageTimeConstant is the time constant with which a team's usage and demand decay.
const usageTimeConstant = 4 * time.Second

// usage is the recent demand and admissions of a team at this entry. The counts decay
// with usageTimeConstant, so each is a rate times usageTimeConstant.
type usage struct {
	offered   [core.PriorityCount]float64
	admitted  [core.PriorityCount]float64
	decayedAt time.Time
	lastOffer time.Time
}

// decay ages the counts up to now.
func (u *usage) decay(now time.Time) {
	passed := now.Sub(u.decayedAt)
	if passed <= 0 {
		return
	}
	factor := math.Exp(-passed.Seconds() / usageTimeConstant.Seconds())
	for i := range u.offered {
		u.offered[i] *= factor
		u.admitted[i] *= factor
	}
	u.decayedAt = now
}

// demand returns the number of requests that the team offered.
func (u *usage) demand() float64 { return sum(u.offered[:]) }

// used returns the number of requests that were admitted.
func (u *usage) used() float64 { return sum(u.admitted[:]) }

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// teamDemand is the demand and the weight of one team.
type teamDemand struct {
	demand float64
	weight float64
}

// fairLevel divides total among teams by weight with max-min fairness: no team gets
// more than its demand. It returns the allocation of a team of weight 1 whose demand is
// not met, or infinity if all demands are met.
func fairLevel(total float64, demands []teamDemand) float64 {
	slices.SortFunc(demands, func(a, b teamDemand) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	weight := 0.0
	for _, d := range demands {
		weight += d.weight
	}
	for _, d := range demands {
		level := total / weight
		if d.demand/d.weight > level {
			return level
		}
		total -= d.demand
		weight -= d.weight
		if weight <= 0 {
			return math.Inf(1)
		}
	}
	return math.Inf(1)
}
