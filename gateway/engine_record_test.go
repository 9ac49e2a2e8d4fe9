package gateway_test

import (
	"slices"
	"sync"
	"time"
)

// engineRecord records what happens at all engines of a test.
type engineRecord struct {
	mu   sync.Mutex
	seen map[string]bool
	// harmful are the arrivals of calls with harmfulPart. begins are the starts of answers to
	// other calls at the first engine that each reached.
	harmful, crashes, begins []time.Time
	// arrivals are the calls that reached each engine and were not misdirected, answers the
	// ends of its answers, by the engine's name.
	arrivals map[string][]arrival
	answers  map[string][]time.Time
}

// arrival is the arrival of a call at an engine.
type arrival struct {
	at time.Time
	id string
}

func newEngineRecord() *engineRecord {
	return &engineRecord{seen: map[string]bool{}, arrivals: map[string][]arrival{}, answers: map[string][]time.Time{}}
}

func (c *engineRecord) reached(engine, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[engine] = append(c.arrivals[engine], arrival{at: time.Now(), id: id})
}

func (c *engineRecord) answered(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[engine] = append(c.answers[engine], time.Now())
}

// at returns the arrivals at an engine and the ends of its answers.
func (c *engineRecord) at(engine string) (arrivals []arrival, answers []time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.arrivals[engine]), slices.Clone(c.answers[engine])
}

// arrived records an arrival and reports whether the call has not reached any engine
// before.
func (c *engineRecord) arrived(id string, harmful bool) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = !c.seen[id]
	c.seen[id] = true
	if harmful {
		c.harmful = append(c.harmful, time.Now())
	}
	return first
}

func (c *engineRecord) began(first, harmful bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first && !harmful {
		c.begins = append(c.begins, time.Now())
	}
}

func (c *engineRecord) crashed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}

// happened is a copy of what an engineRecord holds.
type happened struct{ harmful, crashes, begins []time.Time }

func (c *engineRecord) happened() happened {
	c.mu.Lock()
	defer c.mu.Unlock()
	return happened{harmful: slices.Clone(c.harmful), crashes: slices.Clone(c.crashes), begins: slices.Clone(c.begins)}
}

// countBetween counts the times in a period.
func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			count++
		}
	}
	return count
}
