package routing

import (
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/zinniaseam/zinniaseam/core"
)

func init() {
	Pickers.Register(DefaultPicker, func() Factory { return newWeighted })
}

// DefaultPicker is the picker that is used when settings name none.
const DefaultPicker = "weighted"

var (
	_ Picker        = (*Weighted)(nil)
	_ CacheObserver = (*Weighted)(nil)
)

// CacheObserver is a Picker that also learns from cache events.
type CacheObserver interface {
	Picker
	// ObserveCacheEvent takes in one event; late and missing events are expected.
	ObserveCacheEvent(now time.Time, event CacheEvent)
}

// WeightedConfig configures the weighted picker; zero fields take defaults.
// Costs are in units of the time that one call runs.
type WeightedConfig struct {
	// Choices is how many endpoints are drawn and compared.
	Choices int
	// Subset bounds the endpoints that are considered.
	Subset int
	// BusyCost is the cost of a full endpoint against an idle one.
	BusyCost float64
	// WaitCost is the cost of waiting for the time that one call runs.
	WaitCost float64
	// RegionCost and ZoneCost are the costs of another region and of another zone of the own region.
	RegionCost float64
	ZoneCost   float64
	// PrefixGain is what a fully cached prompt saves.
	PrefixGain float64
	// Backoff is how long an endpoint is avoided after its first failure.
	Backoff time.Duration
	// MaxBackoff bounds the doubling of Backoff.
	MaxBackoff time.Duration
	// ReportHalfLife is how fast trust in a load report fades.
	ReportHalfLife time.Duration
}

func (c WeightedConfig) withDefaults() WeightedConfig {
	core.SetDefault(&c.Choices, 4)
	core.SetDefault(&c.Subset, DefaultSubset)
	core.SetDefault(&c.BusyCost, 0.2)
	core.SetDefault(&c.WaitCost, 1)
	core.SetDefault(&c.RegionCost, 0.05)
	core.SetDefault(&c.ZoneCost, 0.02)
	core.SetDefault(&c.PrefixGain, 0.3)
	core.SetDefault(&c.Backoff, 100*time.Millisecond)
	core.SetDefault(&c.MaxBackoff, 5*time.Second)
	core.SetDefault(&c.ReportHalfLife, 2*time.Second)
	return c
}

const (
	// maxHeld bounds the endpoints with a remembered failure.
	maxHeld = 4096
	// maxAffine bounds the endpoints that join the draw because of their cache.
	maxAffine = 2
	// minCached is the least cached share that brings an endpoint into the draw.
	minCached = 0.05
	// minRoom keeps full endpoints in the draw.
	minRoom = 0.05
	// jitter breaks ties between entries that see the same loads.
	jitter = 0.02
)

// held is the hold-off of an endpoint that failed or refused.
type held struct {
	until time.Time
	next  time.Duration
}

// Weighted draws some endpoints by their free room, adds those that hold the
// prompt's prefix, and takes the cheapest by load, distance and cache.
type Weighted struct {
	config   WeightedConfig
	random   *rand.Rand
	salt     uint64
	prefixes *prefixTable
	held     *lru.Cache[core.VMID, held]
}

func newWeighted(random *rand.Rand) Picker { return NewWeighted(WeightedConfig{}, random) }

// NewWeighted returns a weighted picker that draws chance from random.
func NewWeighted(config WeightedConfig, random *rand.Rand) *Weighted {
	return &Weighted{
		config:   config.withDefaults(),
		random:   random,
		salt:     random.Uint64(),
		prefixes: newPrefixTable(),
		held:     newCache[core.VMID, held](maxHeld),
	}
}

// Pick implements Picker.
func (w *Weighted) Pick(query Query, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	shares := w.prefixes.match(query.Now, query.PrefixHashes)
	draw := w.newDraw(query, candidates)
	best, least := -1, 0.0
	consider := func(i int) {
		cost := w.cost(query, candidates[i], shares[candidates[i].ID])
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	for range w.config.Choices {
		consider(draw.one(w.random))
	}
	for _, i := range draw.affine(candidates, shares) {
		consider(i)
	}
	return best
}

// Answered implements Picker.
func (w *Weighted) Answered(now time.Time, id core.VMID, prefixHashes []uint64, _ time.Duration) {
	w.held.Remove(id)
	w.prefixes.learn(now, id, prefixHashes)
}

// Failed implements Picker. Each failure in a row doubles the hold-off.
func (w *Weighted) Failed(now time.Time, id core.VMID) {
	h, known := w.held.Get(id)
	if !known {
		h.next = w.config.Backoff
	}
	if now.Before(h.until) {
		return
	}
	h.until = now.Add(h.next)
	h.next = min(2*h.next, w.config.MaxBackoff)
	w.held.Add(id, h)
}

// ObserveCacheEvent implements CacheObserver.
func (w *Weighted) ObserveCacheEvent(now time.Time, event CacheEvent) { w.prefixes.take(now, event) }

// isHeld reports whether an endpoint is to be avoided at now.
func (w *Weighted) isHeld(now time.Time, id core.VMID) bool {
	h, known := w.held.Peek(id)
	return known && now.Before(h.until)
}

// cost estimates what the attempt costs at a candidate, in running times of a call.
func (w *Weighted) cost(query Query, c Candidate, cached float64) float64 {
	limit := float64(max(1, c.ReportedLimit))
	load := w.load(query.Now, c)
	cost := w.config.BusyCost * min(1, load/limit)
	if wait := load + 1 - limit; wait > 0 {
		cost += w.config.WaitCost * wait / limit
	}
	cost += w.distance(query, c)
	cost -= w.config.PrefixGain * cached
	return cost + jitter*w.random.Float64()
}

// distance is the cost of the candidate's place.
func (w *Weighted) distance(query Query, c Candidate) float64 {
	switch {
	case c.Zone == query.Zone:
		return 0
	case c.Region == query.Region:
		return w.config.ZoneCost
	default:
		return w.config.RegionCost
	}
}
