package gate

import "time"

const (
	// statsWeight is the minimum weight of the latest window in the throughput of a
	// limit.
	statsWeight = 0.25
	// historySize is the maximum number of earlier limits that are remembered.
	historySize = 8
	// statsMaxAge is how long the throughput of an earlier limit is used.
	statsMaxAge = 10 * time.Second
	// minStatsWindows is the number of windows after which a throughput can be
	// compared.
	minStatsWindows = 3
	// minImprovement is the ratio by which the throughput of an earlier limit must
	// exceed the current one before the limiter returns to it.
	minImprovement = 1.06
)

// limitStats is the throughput measured at one limit.
type limitStats struct {
	limit      int
	inFlight   float64
	throughput float64
	windows    int
	at         time.Time
}

// add adds one window: a plain mean at first, then an exponentially weighted moving
// average.
func (l *limitStats) add(now time.Time, w summary) {
	l.windows++
	rate := max(statsWeight, 1/float64(l.windows))
	l.inFlight += rate * (w.inFlight - l.inFlight)
	l.throughput += rate * (w.throughput() - l.throughput)
	l.at = now
}

// limitHistory holds the statistics of the most recent earlier limits.
type limitHistory struct {
	kept []limitStats
}

// put stores statistics and replaces older ones of the same limit.
func (s *limitHistory) put(l limitStats) {
	if l.windows == 0 {
		return
	}
	kept := s.kept[:0]
	for _, old := range s.kept {
		if old.limit != l.limit {
			kept = append(kept, old)
		}
	}
	s.kept = append(kept, l)
	if len(s.kept) > historySize {
		s.kept = s.kept[1:]
	}
}

// better returns the lower limit with the highest throughput, if that clearly exceeds
// the current one.
func (s *limitHistory) better(now time.Time, current limitStats) (limitStats, bool) {
	best, found := limitStats{throughput: minImprovement * current.throughput}, false
	if current.windows < minStatsWindows {
		return best, false
	}
	for _, l := range s.kept {
		trusted := l.windows >= minStatsWindows && now.Sub(l.at) <= statsMaxAge
		if trusted && l.limit < current.limit && l.throughput > best.throughput {
			best, found = l, true
		}
	}
	return best, found
}
