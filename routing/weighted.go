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

// DefaultPicker is the picker that is used if none is configured.
const DefaultPicker = "weighted"

var (
	_ Picker        = (*Weighted)(nil)
	_ CacheObserver = (*Weighted)(nil)
)

// CacheObserver is a Picker that also learns from cache events.
type CacheObserver interface {
	Picker
	// ObserveCacheEvent handles one event. Events may be delayed or missing.
	ObserveCacheEvent(now time.Time, event CacheEvent)
}

// WeightedConfig configures the weighted picker. Zero fields take defaults. Costs are
// multiples of the service time of one call.
type WeightedConfig struct {
	// Choices is the number of endpoints that are sampled and compared.
	Choices int
	// Subset is the maximum number of endpoints that are considered.
	Subset int
	// BusyCost is the cost of an endpoint at its limit compared with an idle one.
	BusyCost float64
	// WaitCost is the cost of waiting for the service time of one call.
	WaitCost float64
	// RegionCost is the cost of an endpoint in another region, ZoneCost that of one in
	// another zone of the same region.
	RegionCost float64
	ZoneCost   float64
	// PrefixGain is the cost saved if the whole prompt is cached.
	PrefixGain float64
	// Backoff is how long an endpoint is avoided after its first failure.
	Backoff time.Duration
	// MaxBackoff is the upper bound of the backoff, which doubles with each failure.
	MaxBackoff time.Duration
	// ReportHalfLife is the half-life of the weight of a load report.
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
	// maxBackoffs is the maximum number of endpoints with a tracked backoff.
	maxBackoffs = 4096
	// maxCached is the maximum number of endpoints that are added to the sample for
	// their cache.
	maxCached = 2
	// minCachedShare is the minimum cached share of the prompt for which an endpoint
	// is added.
	minCachedShare = 0.05
	// minFreeSlots is the minimum weight of an endpoint, so that full endpoints are
	// still sampled.
	minFreeSlots = 0.05
	// jitter is the size of a random cost that breaks ties between entries that see
	// the same loads.
	jitter = 0.02
)

// backoffState is the backoff of an endpoint that failed or rejected an attempt.
type backoffState struct {
	until time.Time
	next  time.Duration
}

// Weighted samples endpoints at random, weighted by their free slots, adds those with
// the prompt's prefix in their cache, and picks the one with the lowest cost by load,
// distance and cache.
type Weighted struct {
	config   WeightedConfig
	random   *rand.Rand
	salt     uint64
	prefixes *prefixTable
	backoffs *lru.Cache[core.VMID, backoffState]
}

func newWeighted(random *rand.Rand) Picker { return NewWeighted(WeightedConfig{}, random) }

// NewWeighted returns a weighted picker that uses random as its source of randomness.
func NewWeighted(config WeightedConfig, random *rand.Rand) *Weighted {
	return &Weighted{
		config:   config.withDefaults(),
		random:   random,
		salt:     random.Uint64(),
		prefixes: newPrefixTable(),
		backoffs: newCache[core.VMID, backoffState](maxBackoffs),
	}
}

// Pick implements Picker.
func (w *Weighted) Pick(query Query, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	shares := w.prefixes.match(query.Now, query.PrefixHashes)
	sample := w.newSample(query, candidates)
	best, least := -1, 0.0
	consider := func(i int) {
		cost := w.cost(query, candidates[i], shares[candidates[i].ID])
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	for range w.config.Choices {
		consider(sample.pick(w.random))
	}
	for _, i := range sample.cached(candidates, shares) {
		consider(i)
	}
	return best
}

// Answered implements Picker.
func (w *Weighted) Answered(now time.Time, id core.VMID, prefixHashes []uint64, _ time.Duration) {
	w.backoffs.Remove(id)
	w.prefixes.learn(now, id, prefixHashes)
}

// Failed implements Picker. Each consecutive failure after the end of a backoff doubles
// the next one.
func (w *Weighted) Failed(now time.Time, id core.VMID) {
	state, known := w.backoffs.Get(id)
	if !known {
		state.next = w.config.Backoff
	}
	if now.Before(state.until) {
		return
	}
	state.until = now.Add(state.next)
	state.next = min(2*state.next, w.config.MaxBackoff)
	w.backoffs.Add(id, state)
}

// ObserveCacheEvent implements CacheObserver.
func (w *Weighted) ObserveCacheEvent(now time.Time, event CacheEvent) { w.prefixes.apply(now, event) }

// inBackoff reports whether an endpoint is to be avoided at now.
func (w *Weighted) inBackoff(now time.Time, id core.VMID) bool {
	state, known := w.backoffs.Peek(id)
	return known && now.Before(state.until)
}

// cost estimates the cost of the attempt at a candidate, in service times of a call.
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

// distance returns the cost of the candidate's location.
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
