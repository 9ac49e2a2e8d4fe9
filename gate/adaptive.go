package gate

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

func init() {
	Limiters.Register("adaptive", func() Limiter { return NewAdaptive(AdaptiveConfig{}) })
}

var _ ProgressLimiter = (*Adaptive)(nil)

// AdaptiveConfig configures the adaptive limiter; zero fields take defaults.
type AdaptiveConfig struct {
	// Start is the limit of an endpoint that is fresh or cold.
	Start int
	// Max bounds the limit whatever is learnt.
	Max int
	// MinWindow is the shortest time between two changes of the limit.
	MinWindow time.Duration
	// StartDwell is how long a limit of one stays at least before it grows; a
	// limit of n stays an nth of it.
	StartDwell time.Duration
	// MaxWindow ends a window that has too little evidence to judge.
	MaxWindow time.Duration
	// GapTolerance is the time between tokens, as a multiple of the baseline, that shrinks the limit.
	GapTolerance float64
	// GapFloor is the time between tokens under which it is never too long.
	GapFloor time.Duration
	// FirstTokenTolerance is the same for the time to the first token.
	FirstTokenTolerance float64
	// FirstTokenFloor is the time to the first token, and the time of a call without
	// tokens, under which it is never too long.
	FirstTokenFloor time.Duration
	// ColdFirstTokenRatio is the time to the first token, as a multiple of the baseline, that means cold.
	ColdFirstTokenRatio float64
	// ColdFirstTokenFloor is the least time to the first token that may mean cold.
	ColdFirstTokenFloor time.Duration
	// MinGain is the least relative gain of throughput for a relative gain of work in flight.
	MinGain float64
	// ColdFailures is how many failures in a row mean cold.
	ColdFailures int
	// MinProbeDelay and ProbeMax bound the wait before growth is tried again after it failed.
	MinProbeDelay time.Duration
	MaxProbeDelay time.Duration
	// IdleAfter is how long the limit may stay half unused before it is halved.
	IdleAfter time.Duration
}

func (c AdaptiveConfig) withDefaults() AdaptiveConfig {
	core.SetDefault(&c.Start, 1)
	core.SetDefault(&c.Max, 1024)
	core.SetDefault(&c.MinWindow, 200*time.Millisecond)
	core.SetDefault(&c.StartDwell, time.Second)
	core.SetDefault(&c.MaxWindow, 5*time.Second)
	core.SetDefault(&c.GapTolerance, 3)
	core.SetDefault(&c.GapFloor, 40*time.Millisecond)
	core.SetDefault(&c.FirstTokenTolerance, 4)
	core.SetDefault(&c.FirstTokenFloor, 250*time.Millisecond)
	core.SetDefault(&c.ColdFirstTokenRatio, 10)
	core.SetDefault(&c.ColdFirstTokenFloor, 200*time.Millisecond)
	core.SetDefault(&c.MinGain, 0.6)
	core.SetDefault(&c.ColdFailures, 3)
	core.SetDefault(&c.MinProbeDelay, 500*time.Millisecond)
	core.SetDefault(&c.MaxProbeDelay, 2*time.Second)
	core.SetDefault(&c.IdleAfter, 30*time.Second)
	return c
}

const (
	// growFactor is the relative growth of one step while no limit is known.
	growFactor = 0.25
	// probeFactor is the relative growth of one step once a limit was met.
	probeFactor = 0.15
	// minShrink and maxShrink bound what remains of the limit after a rise of latency.
	minShrink = 0.5
	maxShrink = 0.85
	// steadyShare is the throughput of a window, relative to its limit's, that allows growth.
	steadyShare = 0.75
	// sureGain is the relative gain, as a share of the growth, that is accepted at once
	// while no limit was met.
	sureGain = 0.7
	// calmExcess is the part of the tolerated latency under which one window may decide for growth.
	calmExcess = 0.5
	// sureLoss is the relative loss that is taken back at once.
	sureLoss = 0.2
	// noiseMargin is the relative loss that may be chance.
	noiseMargin = 0.08
	// drainingShare is the work in flight, relative to the limit, that is left from a higher limit.
	drainingShare = 1.1
	// failureFactor is what remains of the limit after a single failure.
	failureFactor = 0.9
	// quietQueue is the part of the calls in flight that may be queued inside the
	// endpoint while the limit grows; longQueue is the part that lowers it.
	quietQueue = 0.1
	longQueue  = 0.2
	// quietCalls is how many such calls say nothing: long prompts look like a queue.
	quietCalls = 0.4
	// trialGrace bounds how long after a growth step first tokens are put down to it.
	trialGrace = 500 * time.Millisecond
	// smallLimit is up to where a limit grows without being in use all the time.
	smallLimit = 3
	// smallTolerance is the time between tokens, as a multiple of the baseline, at
	// which a step to a small limit is taken back, smallFloor the least such time.
	smallTolerance = 1.6
	smallFloor     = 15 * time.Millisecond
	// busyShare is the mean share of the limit in use from which latency is put down
	// to it, and from which a small limit grows.
	busyShare = 0.4
	// usedShare is the mean share of the limit in use that lets it grow.
	usedShare = 0.85
	// failuresToDescend is how many growth steps must fail in a row at one limit
	// until it is lowered.
	failuresToDescend = 2
)

// Adaptive bounds the calls in flight without knowledge of the endpoint's
// capacity. It starts at a small limit and grows step by step. Each step is a
// trial: it is kept only when throughput rises with the work in flight, and
// taken back otherwise. A rise of latency over a learnt baseline shrinks the
// limit, and signs of a cold endpoint reset it to the start.
type Adaptive struct {
	config   AdaptiveConfig
	limit    int
	inFlight int
	window   window
	awaiting awaiting
	base     baseline
	health   health
	// level is what the present limit brings; before is set while a growth step is on trial.
	level  level
	before *level
	levels levels
	// rest is what the endpoint brings while the limit is not in use, curve what
	// bursts do to its pace.
	rest  level
	curve curve
	// tried is the limit above which there is only headroom that was not on trial.
	tried int
	// met is the latest limit that brought no more than a lower one, zero when none
	// did, and metAt when that was seen.
	met   int
	metAt time.Time
	// trialFrom and trialTo are when the latest growth step began and was taken back.
	trialFrom time.Time
	trialTo   time.Time
	// unused counts the latest windows in which the limit was not in use, failures
	// the growth steps in a row that were taken back.
	unused   int
	failures int
	// cautious is set once a growth step failed; steps are smaller from then on.
	cautious  bool
	probeWait time.Duration
	nextProbe time.Time
	coldAt    time.Time
	// movedAt is when the limit was changed last.
	movedAt  time.Time
	lastBusy time.Time
}

// NewAdaptive returns a limiter at its start limit.
func NewAdaptive(config AdaptiveConfig) *Adaptive {
	config = config.withDefaults()
	return &Adaptive{config: config, limit: config.Start, level: level{limit: config.Start}, probeWait: config.MinProbeDelay}
}

// Limit implements Limiter.
func (a *Adaptive) Limit(now time.Time) int {
	a.decayIdle(now)
	return a.limit
}

// Started implements Limiter.
func (a *Adaptive) Started(now time.Time) {
	a.advance(now)
	a.inFlight++
	a.awaiting.started(now)
	a.window.peak = max(a.window.peak, a.inFlight)
	if 2*a.inFlight > a.limit {
		a.lastBusy = now
	}
}

// FirstToken implements ProgressLimiter.
func (a *Adaptive) FirstToken(now time.Time, after time.Duration) {
	a.advance(now)
	a.awaiting.known = true
	a.awaiting.ended(now.Add(-after))
	a.noteFirst(now, now.Add(-after), after)
}

// Tokens implements ProgressLimiter.
func (a *Adaptive) Tokens(now time.Time, count int, over time.Duration) {
	if count <= 0 || now.Add(-over).Before(a.window.opened) {
		return
	}
	units := float64(count) / tokensPerUnit
	a.window.addGaps(count, over, units)
	a.curve.add(units, a.inFlight, a.awaiting.overdue(now, a.base.first), a.limit, over/time.Duration(count))
	a.judge(now)
}

// Done implements Limiter.
func (a *Adaptive) Done(now time.Time, result Result) {
	a.advance(now)
	a.inFlight = max(0, a.inFlight-1)
	if !result.Observed || result.FirstToken <= 0 {
		a.awaiting.ended(now.Add(-result.Elapsed))
	}
	if result.NotStarted {
		return
	}
	started := now.Add(-result.Elapsed)
	if started.Before(a.coldAt) {
		return
	}
	if result.Failed {
		a.failed(now)
		return
	}
	if result.Canceled {
		return
	}
	a.health.succeeded()
	if !result.Observed {
		a.noteFirst(now, started, result.FirstToken)
		a.noteWhole(started, result)
	}
	a.judge(now)
}

// Cold implements Limiter.
func (a *Adaptive) Cold(now time.Time) {
	a.limit = a.config.Start
	a.base = baseline{}
	a.health = health{}
	a.level = level{limit: a.config.Start}
	a.before = nil
	a.levels = levels{}
	a.rest = level{}
	a.curve = curve{}
	a.tried = a.config.Start
	a.met = 0
	a.cautious = false
	a.unused, a.failures = 0, 0
	a.probeWait = a.config.MinProbeDelay
	a.nextProbe = now
	a.coldAt = now
	a.movedAt = now
	a.lastBusy = now
	a.window.open(now)
}

// advance accounts the work in flight up to now.
func (a *Adaptive) advance(now time.Time) {
	a.window.advance(now, a.inFlight, a.awaiting.overdue(now, a.base.first))
}

// noteFirst records one time to the first token of a call that started at started.
func (a *Adaptive) noteFirst(now, started time.Time, after time.Duration) {
	if after <= 0 || started.Before(a.coldAt) {
		return
	}
	if !a.onTrial(started) {
		a.health.addFirst(after)
	}
	if a.jumped() {
		a.Cold(now)
		return
	}
	a.window.firsts = append(a.window.firsts, after)
}

// onTrial reports whether a call started during the latest growth step that was
// not kept: its first token tells of that step and not of a cold endpoint.
func (a *Adaptive) onTrial(started time.Time) bool {
	if started.Before(a.trialFrom) || started.After(a.trialFrom.Add(trialGrace)) {
		return false
	}
	return a.before != nil || started.Before(a.trialTo)
}

// noteWhole records the pace of a call of which only the end is known.
func (a *Adaptive) noteWhole(started time.Time, result Result) {
	if started.Before(a.window.opened) {
		return
	}
	if result.Tokens > 1 {
		a.window.addGaps(result.Tokens-1, result.Elapsed-result.FirstToken, 1)
		return
	}
	a.window.addWhole(result.Elapsed)
	a.curve.add(1, a.inFlight+1, 0, a.limit, result.Elapsed)
}

// jumped reports whether recent first tokens took so long that the endpoint must be cold.
func (a *Adaptive) jumped() bool {
	recent := a.health.recentFirst()
	if recent < a.config.ColdFirstTokenFloor || a.base.first <= 0 {
		return false
	}
	return recent.Seconds() > a.config.ColdFirstTokenRatio*a.base.first
}

// failed handles one failed call.
func (a *Adaptive) failed(now time.Time) {
	a.health.failed()
	if a.health.burst(a.config.ColdFailures) {
		a.Cold(now)
		return
	}
	a.shrinkTo(now, int(float64(a.limit)*failureFactor))
}

// decayIdle halves a limit that was not used for long, since it may not hold any more.
func (a *Adaptive) decayIdle(now time.Time) {
	if a.lastBusy.IsZero() {
		a.lastBusy = now
	}
	for a.limit > a.config.Start && now.Sub(a.lastBusy) >= a.config.IdleAfter {
		a.moveTo(now, max(a.config.Start, a.limit/2))
		a.lastBusy = a.lastBusy.Add(a.config.IdleAfter)
		a.window.open(now)
	}
}
