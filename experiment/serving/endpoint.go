package serving

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/routing"
)

var _ engineListener = (*endpoint)(nil)

// endpoint is one engine with its gate.
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
	// record, when set, gets every event at the gate.
	record func(traceEvent)
}

// feed passes one event to the gate and carries out what it decides.
func (e *endpoint) feed(event traceEvent) {
	event.At = e.fleet.clock.Now().Sub(epoch)
	if e.record != nil {
		e.record(event)
	}
	e.apply(feed(e.gate, e.fleet.clock.Now(), event))
}

// oracle is a limiter that is told what the engine bears.
type oracle struct{ engine *engine }

var _ gate.Limiter = (*oracle)(nil)

func (o *oracle) Limit(time.Time) int         { return max(1, int(o.engine.bears())) }
func (o *oracle) Started(time.Time)           {}
func (o *oracle) Done(time.Time, gate.Result) {}
func (o *oracle) Cold(time.Time)              {}

// oracleLimiter names the limiter that knows the true limits.
const oracleLimiter = "oracle"

// newLimiter builds the limiter of one endpoint.
func newLimiter(name string, engine *engine) (gate.Limiter, error) {
	if name == oracleLimiter {
		return &oracle{engine: engine}, nil
	}
	return gate.Limiters.New(name)
}

// offer brings one attempt to the gate.
func (e *endpoint) offer(a *attempt) {
	e.open[a.id] = a
	e.feed(traceEvent{
		Op: traceOffer, ID: a.id, Priority: a.request.priority, Team: a.request.team,
		Deadline: a.request.deadline.Sub(epoch),
	})
}

// apply carries out what the gate decided.
func (e *endpoint) apply(actions gate.Actions) {
	for _, refused := range actions.Rejected {
		if a := e.take(refused.ID); a != nil {
			e.reply(a, refused.Refusal)
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

// take removes an attempt that ends.
func (e *endpoint) take(id uint64) *attempt {
	a := e.open[id]
	delete(e.open, id)
	return a
}

// finish frees the place of an attempt.
func (e *endpoint) finish(a *attempt, result gate.Result) {
	e.take(a.id)
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

// reply sends the end of an attempt, with the gate's load, to its entry.
func (e *endpoint) reply(a *attempt, refusal *core.Refusal) {
	load, at := e.gate.Load(e.fleet.clock.Now()), e.fleet.clock.Now()
	e.send(a, func() { a.entry.ended(a, refusal, load, at) })
}

// send runs a function at the attempt's entry.
func (e *endpoint) send(a *attempt, run func()) {
	e.fleet.clock.After(latency(a.entry.region, e.region), run)
}

// restarted implements engineListener: the process sees the new boot number at its next poll.
func (e *endpoint) restarted() {
	e.fleet.clock.After(time.Duration(e.random.Int64N(int64(bootPoll))), func() { e.feed(traceEvent{Op: traceCold}) })
	e.publish(routing.CacheEvent{Cleared: true})
}

// cacheChanged implements engineListener.
func (e *endpoint) cacheChanged(stored, evicted []uint64) {
	e.publish(routing.CacheEvent{Stored: stored, Evicted: evicted})
}

// publish sends one cache event to every entry, late, and to some not at all.
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

// report sends the gate's load to every entry, late.
func (e *endpoint) report() {
	load, at := e.gate.Load(e.fleet.clock.Now()), e.fleet.clock.Now()
	for _, entry := range e.fleet.entries {
		lag := time.Duration(float64(e.fleet.setup.reportLag) * (0.5 + e.random.Float64()))
		e.fleet.clock.After(lag, func() { entry.reported(e.index, load, at) })
	}
}
