package serving

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/routing"
)

var _ engineListener = (*endpoint)(nil)

// endpoint is an engine with its gate.
type endpoint struct {
	fleet    *fleet
	index    int
	id       core.VMID
	zone     core.ZoneID
	region   core.RegionID
	engine   *engine
	gate     *gate.Gate
	open     map[uint64]*attempt
	sequence uint64
	random   *rand.Rand
	// record, if set, is called with every event passed to the gate.
	record func(traceEvent)
}

// feed records an event, passes it to the gate and applies the resulting actions.
func (e *endpoint) feed(event traceEvent) {
	event.At = e.fleet.clock.Now().Sub(epoch)
	if e.record != nil {
		e.record(event)
	}
	e.apply(feed(e.gate, e.fleet.clock.Now(), event))
}

// oracle is a limiter that always returns the engine's true capacity.
type oracle struct{ engine *engine }

var _ gate.Limiter = (*oracle)(nil)

func (o *oracle) Limit(time.Time) int         { return max(1, int(o.engine.capacityNow())) }
func (o *oracle) Started(time.Time)           {}
func (o *oracle) Done(time.Time, gate.Result) {}
func (o *oracle) Cold(time.Time)              {}

// oracleLimiter is the name of the oracle limiter.
const oracleLimiter = "oracle"

// newLimiter returns the oracle or the registered limiter with the given name.
func newLimiter(name string, engine *engine) (gate.Limiter, error) {
	if name == oracleLimiter {
		return &oracle{engine: engine}, nil
	}
	return gate.Limiters.New(name)
}

// offer passes an arriving attempt to the gate.
func (e *endpoint) offer(a *attempt) {
	e.open[a.id] = a
	e.feed(traceEvent{
		Op: traceOffer, ID: a.id, Priority: a.request.priority, Team: a.request.team,
		Deadline: a.request.deadline.Sub(epoch),
	})
}

// apply replies to the rejected attempts and starts the admitted ones on the engine.
func (e *endpoint) apply(actions gate.Actions) {
	for _, rejected := range actions.Rejected {
		if a := e.remove(rejected.ID); a != nil {
			e.reply(a, rejected.Refusal)
		}
	}
	for _, id := range actions.Admitted {
		a := e.open[id]
		if !e.engine.start(a) {
			e.finish(a, gate.Result{Failed: true, Unreachable: true, Elapsed: time.Millisecond})
			e.reply(a, core.NotRun(core.ReasonBackendFailed, time.Second, "the engine can't be reached"))
		}
	}
}

// remove removes and returns an open attempt, nil if there is none with this ID.
func (e *endpoint) remove(id uint64) *attempt {
	a := e.open[id]
	delete(e.open, id)
	return a
}

// finish removes an attempt and reports its result to the gate.
func (e *endpoint) finish(a *attempt, result gate.Result) {
	e.remove(a.id)
	e.feed(traceEvent{Op: traceDone, ID: a.id, Result: &result})
}

// firstToken implements engineListener.
func (e *endpoint) firstToken(a *attempt) {
	a.firstAfter = e.fleet.clock.Now().Sub(a.startedAt)
	a.lastReport = e.fleet.clock.Now()
	e.feed(traceEvent{Op: traceFirst, Over: a.firstAfter})
	e.send(a, func() { a.entry.first(a) })
}

// tokens implements engineListener.
func (e *endpoint) tokens(_ *attempt, count int, over time.Duration) {
	e.feed(traceEvent{Op: traceTokens, Count: count, Over: over})
}

// ended implements engineListener.
func (e *endpoint) ended(a *attempt, outcome engineOutcome) {
	e.finish(a, gate.Result{
		Failed:     outcome == engineFailed,
		Canceled:   outcome == engineCanceled,
		FirstToken: a.firstAfter,
		Tokens:     a.tokens,
		Elapsed:    e.fleet.clock.Now().Sub(a.startedAt),
		Observed:   true,
	})
	switch outcome {
	case engineAnswered:
		e.reply(a, nil)
	case engineFailed:
		e.reply(a, core.Unknown(core.ReasonBackendFailed, time.Second, "the stream was cut"))
	case engineCanceled:
		e.reply(a, core.Unknown(core.ReasonDeadline, 0, "the caller's time ran out"))
	}
}

// reply sends the outcome of an attempt, with the gate's load, to its entry. A nil
// refusal means an answer.
func (e *endpoint) reply(a *attempt, refusal *core.Refusal) {
	load, at := e.gate.Load(e.fleet.clock.Now()), e.fleet.clock.Now()
	e.send(a, func() { a.entry.ended(a, refusal, load, at) })
}

// send calls run after the network latency to the attempt's entry.
func (e *endpoint) send(a *attempt, run func()) {
	e.fleet.clock.After(latency(a.entry.region, e.region), run)
}

// restarted implements engineListener. The endpoint process observes the new boot
// number at its next poll.
func (e *endpoint) restarted() {
	e.fleet.clock.After(time.Duration(e.random.Int64N(int64(bootPoll))), func() { e.feed(traceEvent{Op: traceCold}) })
	e.publish(routing.CacheEvent{Cleared: true})
}

// cacheChanged implements engineListener.
func (e *endpoint) cacheChanged(stored, evicted []uint64) {
	e.publish(routing.CacheEvent{Stored: stored, Evicted: evicted})
}

// publish sends a cache event to every entry with a random lag. It drops the event
// for an entry with probability cacheEventLoss.
func (e *endpoint) publish(event routing.CacheEvent) {
	e.sequence++
	event.ID, event.Sequence = e.id, e.sequence
	for _, entry := range e.fleet.entries {
		observer, ok := entry.picker.(routing.CacheObserver)
		if !ok || e.random.Float64() < cacheEventLoss {
			continue
		}
		lag := cacheEventLag + time.Duration(e.random.Int64N(int64(cacheEventLag)))
		e.fleet.clock.After(lag, func() { observer.ObserveCacheEvent(e.fleet.clock.Now(), event) })
	}
}

// report sends the gate's load to every entry with a random lag of 0.5 to 1.5 times
// reportLag.
func (e *endpoint) report() {
	load, at := e.gate.Load(e.fleet.clock.Now()), e.fleet.clock.Now()
	for _, entry := range e.fleet.entries {
		lag := time.Duration(float64(e.fleet.setup.reportLag) * (0.5 + e.random.Float64()))
		e.fleet.clock.After(lag, func() { entry.updateLoad(e.index, load, at) })
	}
}
