package gate

import "time"

// evaluate closes the window when it has enough samples and adjusts the limit.
func (a *Adaptive) evaluate(now time.Time) {
	a.advance(now)
	age := now.Sub(a.window.opened)
	if age < a.config.MinWindow {
		return
	}
	if a.window.units < float64(max(minUnits, a.limit)) {
		if age > a.config.MaxWindow {
			a.window.open(now)
		}
		return
	}
	w := a.window.close(now)
	a.window.open(now)
	a.base.learn(w, w.inFlight <= float64(a.limit)/2 || a.limit <= a.config.Start)
	a.decide(now, w)
}

// dwell returns how long the limit stays in effect before it grows. It is longer at
// small limits, where one more call is a large relative step.
func (a *Adaptive) dwell() time.Duration {
	return max(a.config.MinWindow, a.config.StartDwell/time.Duration(a.limit))
}

// decide adjusts the limit according to a closed window.
func (a *Adaptive) decide(now time.Time, w summary) {
	if w.inFlight > overLimitShare*float64(a.limit) {
		// Calls admitted before the limit was lowered are still running, so the
		// latency does not reflect the current limit.
		return
	}
	if excess := a.excess(w); excess > 1 && w.inFlight >= busyShare*float64(a.limit) {
		a.shrinkTo(now, int(float64(a.limit)*max(minShrink, min(maxShrink, 1/excess))))
		return
	}
	if !a.saturated(w) {
		a.decideUnsaturated(now, w)
		return
	}
	a.unsaturatedWindows = 0
	a.tryHeadroom(now)
	falling := w.throughput() < steadyShare*a.stats.throughput
	a.stats.add(now, w)
	queued := w.inFlight - w.productive
	switch {
	case a.previous != nil && queued > growQueueShare*w.inFlight+ignoredQueued:
		a.revertTrial(now)
		return
	case a.previous != nil:
		a.evaluateTrial(now, w)
		return
	case queued > shrinkQueueShare*w.inFlight+ignoredQueued:
		a.stepDown(now)
		a.delayGrowth(now)
		return
	}
	if better, found := a.history.better(now, a.stats); found {
		a.setLimit(now, better.limit)
		a.delayGrowth(now)
		return
	}
	if !falling && queued <= growQueueShare*w.inFlight+ignoredQueued && !now.Before(a.nextProbe) {
		a.grow(now)
	}
}

// decideUnsaturated handles a window in which the limit was not saturated. The limit
// still grows when bursts reach it, because their calls would otherwise queue behind
// each other.
func (a *Adaptive) decideUnsaturated(now time.Time, w summary) {
	a.unsaturatedWindows++
	a.unsaturatedStats.add(now, w)
	small := a.limit <= smallLimit
	switch {
	case a.previous != nil && a.unsaturatedWindows < minStatsWindows:
	case a.previous != nil && (small || a.uncongested(w) && a.limit <= headroom(w.inFlight)):
		a.testedLimit = a.previous.limit
		a.previous = nil
	case a.previous != nil:
		a.revertTrial(now)
	case a.limit < smallLimit && w.peak >= a.limit && w.inFlight >= busyShare*float64(a.limit) && !now.Before(a.nextProbe):
		a.grow(now)
	default:
		a.adjustHeadroom(now, w)
	}
}

// saturated reports whether calls in flight reached the limit during a window and used
// nearly all of it on average. Other windows provide no evidence about the limit.
func (a *Adaptive) saturated(w summary) bool {
	return w.peak >= a.limit && w.inFlight >= saturatedShare*float64(a.limit) && w.gap > 0
}

// evaluateTrial keeps or reverts a growth step, or waits for more samples.
func (a *Adaptive) evaluateTrial(now time.Time, w summary) {
	growth := a.stats.inFlight/a.previous.inFlight - 1
	gain := a.stats.throughput/a.previous.throughput - 1
	switch {
	case gain <= -immediateRevertLoss, a.overloadsSmallLimit(w):
		a.revertTrial(now)
	case now.Sub(a.changedAt) < a.pending.overdueAfter(a.base.firstToken)+a.config.MinWindow:
		// Calls admitted by the step may still turn out to be queued inside the
		// endpoint.
	case !a.cautious && a.excess(w) < lowExcess && gain >= immediateAcceptGain*growth:
		a.acceptTrial(now)
	case a.stats.windows < minStatsWindows:
	case gain >= a.config.MinGain*growth-noiseMargin:
		a.acceptTrial(now)
	default:
		a.revertTrial(now)
	}
}

// overloadsSmallLimit reports whether one additional call slowed down an endpoint that
// runs very few. At such limits the throughput estimate is too coarse for a decision,
// and a single call beyond the capacity can already overload the endpoint.
func (a *Adaptive) overloadsSmallLimit(w summary) bool {
	return a.limit <= smallLimit && w.gap >= smallLimitFloor.Seconds() && w.gap > smallLimitTolerance*a.base.gap
}

// acceptTrial keeps a growth step and tries the next one.
func (a *Adaptive) acceptTrial(now time.Time) {
	if a.limit >= a.plateau {
		a.plateau = 0
	}
	a.previous = nil
	a.failedTrials = 0
	a.probeWait = a.config.MinProbeDelay
	a.grow(now)
}

// revertTrial returns to the limit before a growth step. If growth has failed there
// repeatedly, that limit may itself be too high, so it is lowered by one step.
func (a *Adaptive) revertTrial(now time.Time) {
	previous := *a.previous
	saturated := a.unsaturatedWindows == 0
	if saturated {
		a.plateau, a.plateauAt = a.limit, now
	}
	a.trialEnd = now
	a.setLimit(now, previous.limit)
	a.stats = previous
	a.delayGrowth(now)
	if !saturated {
		return
	}
	a.failedTrials++
	if a.failedTrials >= maxFailedTrials {
		a.stepDown(now)
	}
}

// stepDown lowers the limit by one step.
func (a *Adaptive) stepDown(now time.Time) {
	a.setLimit(now, max(a.config.Start, a.limit-a.step()))
	a.failedTrials = 0
}

// delayGrowth postpones the next growth step, doubling the delay on each call up to
// MaxProbeDelay.
func (a *Adaptive) delayGrowth(now time.Time) {
	a.cautious = true
	a.nextProbe = now.Add(a.probeWait)
	a.probeWait = min(2*a.probeWait, a.config.MaxProbeDelay)
}

// setLimit changes the limit and starts to measure its throughput.
func (a *Adaptive) setLimit(now time.Time, limit int) {
	a.history.put(a.stats)
	a.limit = limit
	a.changedAt = now
	a.stats = limitStats{limit: limit}
	a.previous = nil
	a.unsaturatedWindows = 0
	a.testedLimit = limit
	a.curve.high = curveSide{}
}

// grow raises the limit by one step and starts a trial.
func (a *Adaptive) grow(now time.Time) {
	if a.limit >= a.config.Max || now.Sub(a.changedAt) < a.dwell() {
		return
	}
	previous := a.stats
	a.setLimit(now, min(a.config.Max, a.limit+a.step()))
	a.previous = &previous
	a.trialStart = now
}

// step returns the size of one change of the limit.
func (a *Adaptive) step() int {
	if a.cautious {
		return a.smallStep()
	}
	return max(1, int(growFactor*float64(a.limit)))
}

// smallStep returns the size of a cautious change of the limit.
func (a *Adaptive) smallStep() int { return max(1, int(probeFactor*float64(a.limit))) }

// shrinkTo lowers the limit, but not below the start limit, and ends any trial.
func (a *Adaptive) shrinkTo(now time.Time, limit int) {
	a.setLimit(now, max(a.config.Start, min(limit, a.limit)))
	a.health.resetFirstTokens()
	a.cautious = true
	a.nextProbe = now.Add(a.probeWait)
	a.window.open(now)
}

// excess returns the latency as a multiple of the tolerated latency.
func (a *Adaptive) excess(w summary) float64 {
	excess := 0.0
	floor := a.config.GapFloor
	if w.hasCallGaps {
		floor = a.config.FirstTokenFloor
	}
	if a.base.gap > 0 && w.gap >= floor.Seconds() {
		excess = w.gap / (a.config.GapTolerance * a.base.gap)
	}
	recent := a.health.medianFirstToken()
	if a.base.firstToken > 0 && recent >= a.config.FirstTokenFloor {
		excess = max(excess, recent.Seconds()/(a.config.FirstTokenTolerance*a.base.firstToken))
	}
	return excess
}
