package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// load estimates the number of calls at a candidate. The weight of a report decreases
// with its age. The entry's own open attempts and those sent since the report are known
// exactly.
func (w *Weighted) load(now time.Time, c Candidate) float64 {
	own := float64(c.Outstanding)
	since := float64(min(max(0, c.SentSinceReport), max(0, c.Outstanding)))
	reported := float64(c.ReportedInFlight+c.ReportedQueued) + since
	if c.ReportedAt.IsZero() {
		return own
	}
	age := max(0, now.Sub(c.ReportedAt))
	trust := math.Exp2(-age.Seconds() / w.config.ReportHalfLife.Seconds())
	return max(own, trust*reported+(1-trust)*own)
}

// sample holds the candidates considered in one pick and the cumulative sums of their
// weights.
type sample struct {
	indexes []int
	sums    []float64
}

// newSample weights the visible candidates by their free slots. Endpoints in backoff
// are included only if all endpoints are in backoff.
func (w *Weighted) newSample(query Query, candidates []Candidate) sample {
	visible := w.visible(query, candidates)
	free := make([]int, 0, len(visible))
	for _, i := range visible {
		if !w.inBackoff(query.Now, candidates[i].ID) {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		free = visible
	}
	s := sample{indexes: free, sums: make([]float64, len(free))}
	total := 0.0
	for n, i := range free {
		freeSlots := float64(max(1, candidates[i].ReportedLimit)) - w.load(query.Now, candidates[i])
		total += max(minFreeSlots, freeSlots)
		s.sums[n] = total
	}
	return s
}

// visible returns the candidates in the entry's subset.
func (w *Weighted) visible(query Query, candidates []Candidate) []int {
	if len(candidates) <= w.config.Subset {
		return allIndexes(len(candidates))
	}
	locations := make([]Location, len(candidates))
	for i, c := range candidates {
		locations[i] = Location{ID: c.ID, Zone: c.Zone, Region: c.Region}
	}
	return Subset(w.salt, query.Zone, locations, w.config.Subset)
}

// pick returns a random candidate according to the weights.
func (s sample) pick(random *rand.Rand) int {
	target := random.Float64() * s.sums[len(s.sums)-1]
	n, _ := slices.BinarySearch(s.sums, target)
	return s.indexes[min(n, len(s.indexes)-1)]
}

// cached returns the candidates with the largest cached shares of the prompt.
func (s sample) cached(candidates []Candidate, shares map[core.VMID]float64) []int {
	if len(shares) == 0 {
		return nil
	}
	var known []int
	for _, i := range s.indexes {
		if shares[candidates[i].ID] >= minCachedShare {
			known = append(known, i)
		}
	}
	slices.SortStableFunc(known, func(a, b int) int {
		switch sa, sb := shares[candidates[a].ID], shares[candidates[b].ID]; {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		default:
			return 0
		}
	})
	return known[:min(len(known), maxCached)]
}
