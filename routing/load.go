package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// load estimates the calls at a candidate. A report counts less the older it
// is; what this entry has open and has sent since is known exactly.
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

// draw holds the candidates of one pick and their summed weights.
type draw struct {
	indexes []int
	sums    []float64
}

// newDraw weighs the candidates by their free room. Endpoints that are held off
// take part only when all are.
func (w *Weighted) newDraw(query Query, candidates []Candidate) draw {
	inSight := w.inSight(query, candidates)
	free := make([]int, 0, len(inSight))
	for _, i := range inSight {
		if !w.isHeld(query.Now, candidates[i].ID) {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		free = inSight
	}
	d := draw{indexes: free, sums: make([]float64, len(free))}
	total := 0.0
	for n, i := range free {
		room := float64(max(1, candidates[i].ReportedLimit)) - w.load(query.Now, candidates[i])
		total += max(minRoom, room)
		d.sums[n] = total
	}
	return d
}

// inSight bounds the candidates to the entry's subset.
func (w *Weighted) inSight(query Query, candidates []Candidate) []int {
	if len(candidates) <= w.config.Subset {
		return allIndexes(len(candidates))
	}
	places := make([]Location, len(candidates))
	for i, c := range candidates {
		places[i] = Location{ID: c.ID, Zone: c.Zone, Region: c.Region}
	}
	return Subset(w.salt, query.Zone, places, w.config.Subset)
}

// one draws a candidate by weight.
func (d draw) one(random *rand.Rand) int {
	target := random.Float64() * d.sums[len(d.sums)-1]
	n, _ := slices.BinarySearch(d.sums, target)
	return d.indexes[min(n, len(d.indexes)-1)]
}

// affine lists the candidates with the greatest cached shares.
func (d draw) affine(candidates []Candidate, shares map[core.VMID]float64) []int {
	if len(shares) == 0 {
		return nil
	}
	var known []int
	for _, i := range d.indexes {
		if shares[candidates[i].ID] >= minCached {
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
	return known[:min(len(known), maxAffine)]
}
