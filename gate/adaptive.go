package gate

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

func init() {
	Limiters.Register("adaptive", func() Limiter { return NewAdaptive(AdaptiveConfig{}) })
}

var _ ProgressLimiter = (*Adaptive)(nil)

// AdaptiveConfig configures the adaptive limiter. Zero fields take defaults.
type AdaptiveConfig struct {
	// Start is the limit of a new or cold endpoint.
	Start int
	// Max is the upper bound of the limit.
	Max int
	// MinWindow is the minimum time between two changes of the limit.
	MinWindow time.Duration
	// StartDwell is the minimum time for which a limit of 1 stays in effect before it
	// grows. A limit of n stays in effect for at least StartDwell/n.
	StartDwell time.Duration
	// MaxWindow is the age at which a window with too few samples is discarded.
	MaxWindow time.Duration
	// GapTolerance is the time between tokens, as a multiple of the baseline, above
	// which the limit shrinks.
	GapTolerance float64
	// GapFloor is the time between tokens below which GapTolerance does not apply.
	GapFloor time.Duration
	// FirstTokenTolerance is the time to the first token, as a multiple of the
	// baseline, above which the limit shrinks.
	FirstTokenTolerance float64
	// FirstTokenFloor is the time to the first token below which FirstTokenTolerance
	// does not apply. It also replaces GapFloor for calls without tokens.
	FirstTokenFloor time.Duration
	// ColdFirstTokenRatio is the time to the first token, as a multiple of the
	// baseline, above which the endpoint counts as cold.
	ColdFirstTokenRatio float64
	// ColdFirstTokenFloor is the minimum time to the first token for which an endpoint
	// counts as cold.
	ColdFirstTokenFloor time.Duration
	// MinGain is the minimum relative gain of throughput, as a fraction of the
	// relative growth of the work in flight, for which a growth step is kept.
	MinGain float64
	// ColdFailures is the number of consecutive failures after which the endpoint
	// counts as cold.
	ColdFailures int
	// MinProbeDelay and MaxProbeDelay bound the wait after a failed growth step before
	// the next one.
	MinProbeDelay time.Duration
	MaxProbeDelay time.Duration
	// IdleAfter is how long at most half of the limit may be in use before the limit
	// is halved.
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
	// growFactor is the relative growth per step while no growth step has failed.
	growFactor = 0.25
	// probeFactor is the relative growth per step after a growth step has failed.
	probeFactor = 0.15
	// minShrink and maxShrink bound the factor applied to the limit after a rise of
	// latency.
	minShrink = 0.5
	maxShrink = 0.85
	// steadyShare is the throughput of a window, as a fraction of the mean at the
	// current limit, below which the limit does not grow.
	steadyShare = 0.75
	// immediateAcceptGain is the relative gain of throughput, as a fraction of the
	// growth of the work in flight, at which a step is kept at once while no growth
	// step has failed.
	immediateAcceptGain = 0.7
	// lowExcess is the fraction of the tolerated latency below which a single window
	// may decide for growth.
	lowExcess = 0.5
	// immediateRevertLoss is the relative loss of throughput at which a growth step is
	// reverted at once.
	immediateRevertLoss = 0.2
	// noiseMargin is the relative loss of throughput that may be noise.
	noiseMargin = 0.08
	// overLimitShare is the work in flight, relative to the limit, above which calls
	// admitted under an earlier, higher limit are still running.
	overLimitShare = 1.1
	// failureFactor is the factor applied to the limit after a single failure.
	failureFactor = 0.9
	// growQueueShare is the largest fraction of the calls in flight that may be queued
	// inside the endpoint while the limit grows. Above shrinkQueueShare the limit is
	// lowered.
	growQueueShare   = 0.1
	shrinkQueueShare = 0.2
	// ignoredQueued is the number of queued calls that is ignored, because calls with
	// long prompts look like queued ones.
	ignoredQueued = 0.4
	// trialGrace bounds how long after a growth step the first tokens of new calls are
	// attributed to that step.
	trialGrace = 500 * time.Millisecond
	// smallLimit is the largest limit that grows without being saturated.
	smallLimit = 3
	// smallLimitTolerance is the time between tokens, as a multiple of the baseline,
	// above which a step to a small limit is reverted. smallLimitFloor is the minimum
	// time for this.
	smallLimitTolerance = 1.6
	smallLimitFloor     = 15 * time.Millisecond
	// busyShare is the mean fraction of the limit in use above which latency is
	// attributed to the load and a small limit grows.
	busyShare = 0.4
	// saturatedShare is the mean fraction of the limit in use above which the limit
	// counts as saturated and may grow.
	saturatedShare = 0.85
	// maxFailedTrials is the number of consecutive growth steps that must fail at one
	// limit before that limit is lowered.
	maxFailedTrials = 2
)

// Adaptive bounds the calls in flight without prior knowledge of the endpoint's
// capacity. It starts at a small limit and grows in steps. Each step is a trial: it is
// kept only if throughput rises with the work in flight, and reverted otherwise. A rise
// of latency over a learned baseline shrinks the limit, and signs of a cold endpoint
// reset it to the start limit.
type Adaptive struct {
	config   AdaptiveConfig
	limit    int
	inFlight int
	window   window
	pending  pendingCalls
	base     baseline
	health   health
	// stats holds the throughput at the current limit. previous holds that of the
	// limit before a growth step while the step is on trial, and is nil otherwise.
	stats    limitStats
	previous *limitStats
	history  limitHistory
	// unsaturatedStats holds the throughput while the limit is not saturated. curve
	// compares the time between tokens during bursts with that outside of them.
	unsaturatedStats limitStats
	curve            curve
	// testedLimit is the limit without untested headroom. The part of the limit above
	// it was added for bursts and has not been on trial.
	testedLimit int
	// plateau is the latest limit at which throughput was not higher than at a lower
	// limit, zero if there is none. plateauAt is when that was observed.
	plateau   int
	plateauAt time.Time
	// trialStart and trialEnd are when the latest growth step began and when it was
	// reverted.
	trialStart time.Time
	trialEnd   time.Time
	// unsaturatedWindows is the number of consecutive windows in which the limit was
	// not saturated. failedTrials is the number of consecutive growth steps that were
	// reverted.
	unsaturatedWindows int
	failedTrials       int
	// cautious is set after a failed growth step. Later steps are smaller.
	cautious  bool
	probeWait time.Duration
	nextProbe time.Time
	coldAt    time.Time
	// changedAt is when the limit was last changed.
	changedAt time.Time
	lastBusy  time.Time
}

// NewAdaptive returns a limiter at its start limit.
func NewAdaptive(config AdaptiveConfig) *Adaptive {
	config = config.withDefaults()
	return &Adaptive{config: config, limit: config.Start, stats: limitStats{limit: config.Start}, probeWait: config.MinProbeDelay}
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
	a.pending.started(now)
	a.window.peak = max(a.window.peak, a.inFlight)
	if 2*a.inFlight > a.limit {
		a.lastBusy = now
	}
}

// FirstToken implements ProgressLimiter.
func (a *Adaptive) FirstToken(now time.Time, after time.Duration) {
	a.advance(now)
	a.pending.reported = true
	a.pending.ended(now.Add(-after))
	a.recordFirstToken(now, now.Add(-after), after)
}

// Tokens implements ProgressLimiter.
func (a *Adaptive) Tokens(now time.Time, count int, over time.Duration) {
	if count <= 0 || now.Add(-over).Before(a.window.opened) {
		return
	}
	units := float64(count) / tokensPerUnit
	a.window.addGaps(count, over, units)
	a.curve.add(units, a.inFlight, a.pending.overdue(now, a.base.firstToken), a.limit, over/time.Duration(count))
	a.evaluate(now)
}

// Done implements Limiter.
func (a *Adaptive) Done(now time.Time, result Result) {
	a.advance(now)
	a.inFlight = max(0, a.inFlight-1)
	if !result.Observed || result.FirstToken <= 0 {
		a.pending.ended(now.Add(-result.Elapsed))
	}
	if result.NotStarted {
		return
	}
	started := now.Add(-result.Elapsed)
	if started.Before(a.coldAt) {
		return
	}
	if result.Failed {
		a.recordFailure(now)
		return
	}
	if result.Canceled {
		return
	}
	a.health.succeeded()
	if !result.Observed {
		a.recordFirstToken(now, started, result.FirstToken)
		a.recordCompletion(started, result)
	}
	a.evaluate(now)
}

// Cold implements Limiter.
func (a *Adaptive) Cold(now time.Time) {
	a.limit = a.config.Start
	a.base = baseline{}
	a.health = health{}
	a.stats = limitStats{limit: a.config.Start}
	a.previous = nil
	a.history = limitHistory{}
	a.unsaturatedStats = limitStats{}
	a.curve = curve{}
	a.testedLimit = a.config.Start
	a.plateau = 0
	a.cautious = false
	a.unsaturatedWindows, a.failedTrials = 0, 0
	a.probeWait = a.config.MinProbeDelay
	a.nextProbe = now
	a.coldAt = now
	a.changedAt = now
	a.lastBusy = now
	a.window.open(now)
}

// advance adds the work in flight since the last event to the window.
func (a *Adaptive) advance(now time.Time) {
	a.window.advance(now, a.inFlight, a.pending.overdue(now, a.base.firstToken))
}

// recordFirstToken records the time to the first token of a call that started at
// started.
func (a *Adaptive) recordFirstToken(now, started time.Time, after time.Duration) {
	if after <= 0 || started.Before(a.coldAt) {
		return
	}
	if !a.onTrial(started) {
		a.health.addFirstToken(after)
	}
	if a.firstTokenJumped() {
		a.Cold(now)
		return
	}
	a.window.firstTokens = append(a.window.firstTokens, after)
}

// onTrial reports whether a call started during the latest growth step, which is still
// on trial or was reverted. The time to its first token reflects that step and not a
// cold endpoint.
func (a *Adaptive) onTrial(started time.Time) bool {
	if started.Before(a.trialStart) || started.After(a.trialStart.Add(trialGrace)) {
		return false
	}
	return a.previous != nil || started.Before(a.trialEnd)
}

// recordCompletion records the token rate of a call that did not report progress.
func (a *Adaptive) recordCompletion(started time.Time, result Result) {
	if started.Before(a.window.opened) {
		return
	}
	if result.Tokens > 1 {
		a.window.addGaps(result.Tokens-1, result.Elapsed-result.FirstToken, 1)
		return
	}
	a.window.addCall(result.Elapsed)
	a.curve.add(1, a.inFlight+1, 0, a.limit, result.Elapsed)
}

// firstTokenJumped reports whether the latest times to the first token are so long that
// the endpoint must be cold.
func (a *Adaptive) firstTokenJumped() bool {
	recent := a.health.medianFirstToken()
	if recent < a.config.ColdFirstTokenFloor || a.base.firstToken <= 0 {
		return false
	}
	return recent.Seconds() > a.config.ColdFirstTokenRatio*a.base.firstToken
}

// recordFailure handles one failed call.
func (a *Adaptive) recordFailure(now time.Time) {
	a.health.failed()
	if a.health.failureBurst(a.config.ColdFailures) {
		a.Cold(now)
		return
	}
	a.shrinkTo(now, int(float64(a.limit)*failureFactor))
}

// decayIdle halves a limit that was not used for a long time, because the endpoint's
// capacity may have changed.
func (a *Adaptive) decayIdle(now time.Time) {
	if a.lastBusy.IsZero() {
		a.lastBusy = now
	}
	for a.limit > a.config.Start && now.Sub(a.lastBusy) >= a.config.IdleAfter {
		a.setLimit(now, max(a.config.Start, a.limit/2))
		a.lastBusy = a.lastBusy.Add(a.config.IdleAfter)
		a.window.open(now)
	}
}
