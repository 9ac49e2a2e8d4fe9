package gate

import (
	"slices"
	"time"
)

const (
	// tokensPerUnit is the number of tokens of a running call that weigh as much as
	// one completed call.
	tokensPerUnit = 4
	// minUnits is the minimum weight of the samples in a window.
	minUnits = 3
	// firstTokenSamples is the number of times to the first token used for cold
	// detection.
	firstTokenSamples = 5
	// resultSamples is the number of results used to detect a burst of failures.
	resultSamples = 8
	// firstTokenFallRate and firstTokenRiseRate are the rates at which the baseline of
	// the time to the first token follows lower and higher values. They are low because
	// the time varies with the prompts.
	firstTokenFallRate = 0.05
	firstTokenRiseRate = 0.005
	// gapRiseRate is the rate at which the baseline of the time between tokens follows
	// a slower endpoint under light load.
	gapRiseRate = 0.05
)

// window collects samples since the last change of the limit.
type window struct {
	opened   time.Time
	advanced time.Time
	// area is the integral of the work in flight over time, in call-seconds.
	// productive is the part of it without calls that are overdue for their first
	// token.
	area       float64
	productive float64
	peak       int
	gapCount   int
	// callGaps counts the gaps that are service times of calls without tokens.
	callGaps    int
	gapTotal    time.Duration
	units       float64
	firstTokens []time.Duration
}

// summary describes a closed window. Times are in seconds.
type summary struct {
	inFlight        float64
	productive      float64
	peak            int
	gap             float64
	firstToken      float64
	firstTokenCount int
	// hasCallGaps is set when calls without tokens are among the gaps.
	hasCallGaps bool
}

// throughput returns a value proportional to tokens per second.
func (s summary) throughput() float64 {
	if s.gap <= 0 {
		return 0
	}
	return s.productive / s.gap
}

// open starts a new window at now.
func (w *window) open(now time.Time) {
	*w = window{opened: now, advanced: now, firstTokens: w.firstTokens[:0]}
}

// advance adds the work in flight up to now.
func (w *window) advance(now time.Time, inFlight, overdue int) {
	if w.opened.IsZero() {
		w.open(now)
	}
	if now.After(w.advanced) {
		passed := now.Sub(w.advanced).Seconds()
		w.area += float64(inFlight) * passed
		w.productive += float64(inFlight-overdue) * passed
		w.advanced = now
	}
	w.peak = max(w.peak, inFlight)
}

// addGaps adds count gaps between tokens with the given total time. units is their
// weight.
func (w *window) addGaps(count int, total time.Duration, units float64) {
	w.gapCount += count
	w.gapTotal += total
	w.units += units
}

// addCall adds a call without tokens. Its service time counts as one gap.
func (w *window) addCall(elapsed time.Duration) {
	w.callGaps++
	w.addGaps(1, elapsed, 1)
}

// close returns the summary of the window.
func (w *window) close(now time.Time) summary {
	s := summary{peak: w.peak, firstTokenCount: len(w.firstTokens), hasCallGaps: w.callGaps > 0}
	if span := now.Sub(w.opened).Seconds(); span > 0 {
		s.inFlight = w.area / span
		s.productive = w.productive / span
	}
	if w.gapCount > 0 {
		s.gap = w.gapTotal.Seconds() / float64(w.gapCount)
	}
	if len(w.firstTokens) > 0 {
		s.firstToken = median(w.firstTokens).Seconds()
	}
	return s
}

// baseline is the latency of the endpoint under light load, in seconds.
type baseline struct {
	gap        float64
	firstToken float64
}

// learn updates the baseline from a closed window. light is set if the endpoint was not
// busy.
func (b *baseline) learn(s summary, light bool) {
	b.gap = adjustBaseline(b.gap, s.gap, light)
	switch {
	case s.firstTokenCount == 0:
	case b.firstToken == 0:
		b.firstToken = s.firstToken
	default:
		rate := firstTokenFallRate
		if s.firstToken > b.firstToken {
			rate = firstTokenRiseRate
		}
		b.firstToken += rate * (s.firstToken - b.firstToken)
	}
}

// adjustBaseline follows lower values at once. It follows higher values slowly and only
// under light load.
func adjustBaseline(base, seen float64, light bool) float64 {
	switch {
	case seen <= 0:
		return base
	case base <= 0 || seen < base:
		return seen
	case light:
		return base + gapRiseRate*(seen-base)
	default:
		return base
	}
}

// health holds the latest results for cold detection.
type health struct {
	firstTokens         [firstTokenSamples]time.Duration
	nextFirstToken      int
	firstTokenCount     int
	results             [resultSamples]bool
	nextResult          int
	consecutiveFailures int
}

// addFirstToken records a time to the first token.
func (h *health) addFirstToken(after time.Duration) {
	h.firstTokens[h.nextFirstToken] = after
	h.nextFirstToken = (h.nextFirstToken + 1) % firstTokenSamples
	h.firstTokenCount = min(h.firstTokenCount+1, firstTokenSamples)
}

// resetFirstTokens discards the recorded times to the first token.
func (h *health) resetFirstTokens() { h.firstTokenCount, h.nextFirstToken = 0, 0 }

// medianFirstToken returns the median of the latest times to the first token, or zero
// if there are too few.
func (h *health) medianFirstToken() time.Duration {
	if h.firstTokenCount < firstTokenSamples {
		return 0
	}
	return median(h.firstTokens[:])
}

func (h *health) succeeded() { h.record(false) }
func (h *health) failed()    { h.record(true) }

// record stores one result.
func (h *health) record(failed bool) {
	h.results[h.nextResult] = failed
	h.nextResult = (h.nextResult + 1) % resultSamples
	if failed {
		h.consecutiveFailures++
		return
	}
	h.consecutiveFailures = 0
}

// failureBurst reports whether limit consecutive results, or half of the latest
// results, are failures.
func (h *health) failureBurst(limit int) bool {
	if h.consecutiveFailures >= limit {
		return true
	}
	failures := 0
	for _, failed := range h.results {
		if failed {
			failures++
		}
	}
	return 2*failures >= resultSamples
}

// median returns the median without modifying values.
func median(values []time.Duration) time.Duration {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
