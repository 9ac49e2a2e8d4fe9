package gate

import (
	"slices"
	"time"
)

const (
	// overdueRatio is the time to the first token, as a multiple of the baseline,
	// above which a call counts as queued inside the endpoint.
	overdueRatio = 2
	// minOverdue is the minimum time for this.
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
func (w *pendingCalls) started(now time.Time) { w.starts = append(w.starts, now) }

// ended removes the call whose start time is closest to at.
func (w *pendingCalls) ended(at time.Time) {
	if len(w.starts) == 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(w.starts, at, time.Time.Compare)
	if i == len(w.starts) || i > 0 && at.Sub(w.starts[i-1]) < w.starts[i].Sub(at) {
		i--
	}
	w.starts = slices.Delete(w.starts, i, i+1)
}

// overdueAfter returns how long a call may wait for its first token before it is
// overdue, or zero if first tokens are not reported while calls are running.
func (w *pendingCalls) overdueAfter(firstTokenBase float64) time.Duration {
	if !w.reported {
		return 0
	}
	return max(minOverdue, time.Duration(overdueRatio*firstTokenBase*float64(time.Second)))
}

// overdue returns the number of calls that have waited longer than the baseline allows.
func (w *pendingCalls) overdue(now time.Time, firstTokenBase float64) int {
	if !w.reported || firstTokenBase <= 0 {
		return 0
	}
	bound := w.overdueAfter(firstTokenBase)
	count, _ := slices.BinarySearchFunc(w.starts, now.Add(-bound), time.Time.Compare)
	return count
}
