package gate

import (
	"slices"
	"time"
)

const (
	// overdueRatio is the time to the first token, as a multiple of the baseline,
	// above which a call counts as queued inside the endpoint.
	overdueRatio = 2
	// minOverdue is the minimum time to the first token for a call to count as queued.
	minOverdue = 200 * time.Millisecond
)

// pendingCalls holds the start times of the calls without a first token, in ascending
// order. An endpoint that queues calls internally shows the same time between tokens at
// any load. Calls that wait too long for their first token reveal the queue.
type pendingCalls struct {
	starts []time.Time
	// reported is set once first tokens are reported while calls are running.
	reported bool
}

// started adds a call.
func (p *pendingCalls) started(now time.Time) { p.starts = append(p.starts, now) }

// ended removes the call whose start time is closest to at.
func (p *pendingCalls) ended(at time.Time) {
	if len(p.starts) == 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(p.starts, at, time.Time.Compare)
	if i == len(p.starts) || i > 0 && at.Sub(p.starts[i-1]) < p.starts[i].Sub(at) {
		i--
	}
	p.starts = slices.Delete(p.starts, i, i+1)
}

// overdueAfter returns how long a call may wait for its first token before it is
// overdue, or zero if first tokens are not reported while calls are running.
func (p *pendingCalls) overdueAfter(firstTokenBase float64) time.Duration {
	if !p.reported {
		return 0
	}
	return max(minOverdue, time.Duration(overdueRatio*firstTokenBase*float64(time.Second)))
}

// overdue returns the number of calls that have waited longer than the baseline allows.
func (p *pendingCalls) overdue(now time.Time, firstTokenBase float64) int {
	if !p.reported || firstTokenBase <= 0 {
		return 0
	}
	bound := p.overdueAfter(firstTokenBase)
	count, _ := slices.BinarySearchFunc(p.starts, now.Add(-bound), time.Time.Compare)
	return count
}
