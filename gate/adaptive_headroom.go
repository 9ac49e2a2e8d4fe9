package gate

import (
	"math"
	"time"
)

const (
	// burstDeviations is the number of standard deviations that the headroom reaches
	// above the mean work in flight, assuming independent arrivals.
	burstDeviations = 4
	// nearLimitShare is the fraction of the limit above which work in flight counts as
	// near the limit.
	nearLimitShare = 0.75
	// plateauMaxAge is how long a limit at which growth brought no throughput is
	// remembered.
	plateauMaxAge = 2 * time.Minute
)

// headroom returns the limit that admits typical bursts above a mean work in flight.
func headroom(mean float64) int {
	return int(math.Ceil(mean + burstDeviations*math.Sqrt(mean) + 1))
}

// uncongested reports whether a window shows neither rising latency nor a queue inside
// the endpoint.
func (a *Adaptive) uncongested(w summary) bool {
	queued := w.inFlight - w.productive
	return w.gap > 0 && a.excess(w) < lowExcess && queued <= growQueueShare*w.inFlight+ignoredQueued
}

// adjustHeadroom raises or lowers a limit that only bursts reach, based on how those
// bursts changed throughput. A trial cannot evaluate such a limit, because the mean
// work in flight does not saturate it.
func (a *Adaptive) adjustHeadroom(now time.Time, w summary) {
	growth, gain, known := a.curve.compare()
	switch {
	case !known:
	case gain < a.config.MinGain*growth-noiseMargin:
		a.releaseHeadroom(now)
	case gain >= a.config.MinGain*growth && a.uncongested(w) && a.limit < headroom(w.inFlight):
		a.addHeadroom(now, w)
	}
}

// addHeadroom raises the limit by one step.
func (a *Adaptive) addHeadroom(now time.Time, w summary) {
	if a.limit >= a.config.Max || now.Before(a.nextProbe) || now.Sub(a.changedAt) < a.dwell() || a.atPlateau(now) {
		return
	}
	tested := a.testedLimit
	a.setLimit(now, min(a.limit+a.smallStep(), headroom(w.inFlight), a.config.Max))
	a.testedLimit = tested
}

// releaseHeadroom lowers the limit by one step, but not below the tested limit.
func (a *Adaptive) releaseHeadroom(now time.Time) {
	if a.limit <= a.testedLimit {
		return
	}
	tested := a.testedLimit
	a.plateau, a.plateauAt = a.limit, now
	a.setLimit(now, max(tested, a.limit-a.smallStep()))
	a.testedLimit = tested
	a.delayGrowth(now)
}

// atPlateau reports whether growth past the current limit recently brought no more
// throughput.
func (a *Adaptive) atPlateau(now time.Time) bool {
	return a.plateau > 0 && a.limit+1 >= a.plateau && now.Sub(a.plateauAt) < plateauMaxAge
}

// tryHeadroom starts a trial of headroom that is saturated for the first time. The
// trial compares it with the throughput before saturation.
func (a *Adaptive) tryHeadroom(now time.Time) {
	known := a.unsaturatedStats.windows >= minStatsWindows && now.Sub(a.unsaturatedStats.at) <= statsMaxAge
	if a.previous != nil || a.stats.windows > 0 || a.limit <= a.testedLimit || !known {
		return
	}
	previous := a.unsaturatedStats
	previous.limit = max(a.testedLimit, int(math.Ceil(previous.inFlight)))
	a.previous = &previous
	a.trialStart = now
}
