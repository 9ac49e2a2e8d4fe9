package serving

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/zinniaseam/zinniaseam/virtualtime"
)

// engineShape holds the parameters of a kind of engine.
type engineShape struct {
	// warm and cold are the capacities of a warm and a just started engine, in calls
	// in flight.
	warm float64
	cold float64
	// ramp is the time from the start until the engine is warm. The capacity grows
	// linearly meanwhile.
	ramp time.Duration
	// step is the base time of a decoding step, perCall the time that each call of
	// the batch adds.
	step    time.Duration
	perCall time.Duration
	// perPromptToken is the time that each uncached prompt token adds.
	perPromptToken time.Duration
	// promptPerStep is the largest number of prompt tokens in a step.
	promptPerStep int
	// cacheTokens is the capacity of the prefix cache.
	cacheTokens int
	// queues makes calls above the capacity wait inside the engine instead of slowing
	// down the batch.
	queues bool
	// downFor is how long the engine is unreachable after a collapse or a restart.
	downFor time.Duration
}

// defaultShape is the kind of engine in most experiments.
var defaultShape = engineShape{
	warm:           16,
	cold:           3,
	ramp:           20 * time.Second,
	step:           18 * time.Millisecond,
	perCall:        600 * time.Microsecond,
	perPromptToken: 40 * time.Microsecond,
	promptPerStep:  256,
	cacheTokens:    24_000,
	downFor:        3 * time.Second,
}

const (
	// excessThreshold is the load relative to the capacity above which excess load
	// accumulates.
	excessThreshold = 1.25
	// excessLimit is the accumulated excess load, in relative load above the
	// threshold times seconds, at which an engine collapses.
	excessLimit = 0.5
	// excessDecay is how much accumulated excess load decays for each second at or
	// below the threshold.
	excessDecay = 0.5
)

// engine models continuous batching: each step generates one token for every call
// of the batch. Above the engine's capacity, steps slow down by the square of the
// relative load, and under lasting overload the engine collapses and restarts.
type engine struct {
	clock      *virtualtime.Clock
	shape      engineShape
	running    []*attempt
	stepping   bool
	down       bool
	boot       int
	bootAt     time.Time
	excessLoad float64
	collapses  int
	cache      *simplelru.LRU[uint64, int]
	cached     int
	listener   engineListener
}

// engineListener is notified of events at an engine.
type engineListener interface {
	firstToken(a *attempt)
	tokens(a *attempt, count int, over time.Duration)
	ended(a *attempt, outcome engineOutcome)
	cacheChanged(stored, evicted []uint64)
	restarted()
}

// engineOutcome is the outcome of a call at the engine.
type engineOutcome uint8

const (
	engineAnswered engineOutcome = iota
	engineFailed
	engineCanceled
)

// newEngine returns a warm engine with an empty cache.
func newEngine(c *virtualtime.Clock, shape engineShape, listener engineListener) *engine {
	e := &engine{clock: c, shape: shape, listener: listener, bootAt: c.Now().Add(-time.Hour)}
	e.clearCache()
	return e
}

// capacityNow returns the current capacity in calls in flight.
func (e *engine) capacityNow() float64 {
	age := e.clock.Now().Sub(e.bootAt)
	if age >= e.shape.ramp {
		return e.shape.warm
	}
	return e.shape.cold + (e.shape.warm-e.shape.cold)*age.Seconds()/e.shape.ramp.Seconds()
}

// start adds a call to the batch. It returns false if the engine is down.
func (e *engine) start(a *attempt) bool {
	if e.down {
		return false
	}
	a.promptLeft = a.request.promptTokens - e.cachedTokens(a)
	a.startedAt = e.clock.Now()
	a.lastReport = e.clock.Now()
	e.running = append(e.running, a)
	e.scheduleStep()
	return true
}

// restart fails all calls. The engine is down for downFor and then starts cold.
func (e *engine) restart() {
	failed := e.running
	e.running = nil
	e.down = true
	e.excessLoad = 0
	e.clearCache()
	for _, a := range failed {
		e.listener.ended(a, engineFailed)
	}
	e.clock.After(e.shape.downFor, func() {
		e.down = false
		e.boot++
		e.bootAt = e.clock.Now()
		e.listener.restarted()
	})
}

// scheduleStep starts the next step, unless one is running or there is no work.
func (e *engine) scheduleStep() {
	if e.stepping || e.down || len(e.running) == 0 {
		return
	}
	e.stepping = true
	prompt := e.assignPromptTokens()
	load := float64(len(e.running)) / e.capacityNow()
	duration := e.shape.step + time.Duration(e.batch())*e.shape.perCall
	duration += time.Duration(prompt) * e.shape.perPromptToken
	if load > 1 && !e.shape.queues {
		duration = time.Duration(float64(duration) * load * load)
	}
	boot := e.boot
	e.clock.After(duration, func() {
		e.stepping = false
		if e.down || e.boot != boot {
			e.scheduleStep()
			return
		}
		e.trackExcessLoad(load, duration)
		if !e.down {
			e.finishStep()
		}
		e.scheduleStep()
	})
}

// batch returns the number of calls that take part in a step.
func (e *engine) batch() int {
	if !e.shape.queues {
		return len(e.running)
	}
	return min(len(e.running), max(1, int(e.capacityNow())))
}

// assignPromptTokens assigns the prompt tokens of the next step to calls and returns how
// many it assigned.
func (e *engine) assignPromptTokens() int {
	left := e.shape.promptPerStep
	for _, a := range e.running[:e.batch()] {
		a.promptNow = min(left, a.promptLeft)
		left -= a.promptNow
	}
	return e.shape.promptPerStep - left
}

// trackExcessLoad adds a step to the accumulated excess load and restarts the engine
// when that exceeds the limit.
func (e *engine) trackExcessLoad(load float64, duration time.Duration) {
	if load <= excessThreshold {
		e.excessLoad = max(0, e.excessLoad-excessDecay*duration.Seconds())
		return
	}
	e.excessLoad += (load - excessThreshold) * duration.Seconds()
	if e.excessLoad > excessLimit {
		e.collapses++
		e.restart()
	}
}

// finishStep advances every call of the batch and ends those that are complete or
// past their deadline.
func (e *engine) finishStep() {
	all := e.running
	inBatch := e.batch()
	e.running = make([]*attempt, 0, len(all))
	var ended []*attempt
	for i, a := range all {
		switch {
		case a.canceled || a.request.late(e.clock.Now()):
			a.canceled = true
			ended = append(ended, a)
			continue
		case i >= inBatch:
		case a.promptLeft > 0 && a.promptLeft > a.promptNow:
			a.promptLeft -= a.promptNow
		case a.promptLeft > 0 || a.tokens == 0:
			a.promptLeft = 0
			e.cachePrefixes(a)
			e.listener.firstToken(a)
			a.tokens = 1
		default:
			e.decoded(a)
		}
		if a.tokens >= a.request.outputTokens {
			ended = append(ended, a)
			continue
		}
		e.running = append(e.running, a)
	}
	for _, a := range ended {
		outcome := engineAnswered
		if a.canceled {
			outcome = engineCanceled
		}
		e.listener.ended(a, outcome)
	}
}

// Limits after which the progress of a call is reported.
const (
	// reportTokens is the number of tokens between reports.
	reportTokens = 4
	// reportInterval is the time between reports of a call that decodes slowly.
	reportInterval = 50 * time.Millisecond
)

// decoded counts a generated token and reports the progress every reportTokens tokens
// or when the last report is older than reportInterval.
func (e *engine) decoded(a *attempt) {
	a.tokens++
	a.unreported++
	if a.unreported >= reportTokens || e.clock.Now().Sub(a.lastReport) > reportInterval {
		e.listener.tokens(a, a.unreported, e.clock.Now().Sub(a.lastReport))
		a.unreported = 0
		a.lastReport = e.clock.Now()
	}
}
