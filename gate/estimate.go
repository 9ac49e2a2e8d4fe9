package gate

import (
	"math"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// serviceStats is the observed service time of the calls of one class.
type serviceStats struct {
	mean time.Duration
	// deviation is the mean absolute deviation from the mean.
	deviation time.Duration
}

// learn adds a completed call.
func (s *serviceStats) learn(elapsed time.Duration) {
	if s.mean == 0 {
		s.mean = elapsed
		return
	}
	off := elapsed - s.mean
	s.mean += time.Duration(serviceSmoothing * float64(off))
	s.deviation += time.Duration(serviceSmoothing * float64(off.Abs()-s.deviation))
}

// upperBound returns the time within which most calls end.
func (s *serviceStats) upperBound() time.Duration { return s.mean + upperDeviations*s.deviation }

// serviceTime estimates the service time of a call of a class.
func (g *Gate) serviceTime(priority core.Priority) time.Duration {
	if g.service[priority].mean > 0 {
		return g.service[priority].mean
	}
	return g.meanService()
}

// minTimeLeft returns how much time a call of a class must have before its deadline to
// be started.
func (g *Gate) minTimeLeft(priority core.Priority) time.Duration {
	if seen := &g.service[priority]; seen.mean > 0 {
		return seen.upperBound()
	}
	return time.Duration(unseenClassShare * float64(g.meanService()))
}

// meanService returns the mean over the classes with completed calls.
func (g *Gate) meanService() time.Duration {
	total, seen := time.Duration(0), 0
	for i := range g.service {
		if mean := g.service[i].mean; mean > 0 {
			total += mean
			seen++
		}
	}
	if seen == 0 {
		return g.initialService
	}
	return total / time.Duration(seen)
}

// interval returns the mean time between two completed calls.
func (g *Gate) interval(now time.Time) time.Duration {
	return g.meanService() / time.Duration(max(1, g.limiter.Limit(now)))
}

// wait estimates the queueing time of a new call. It is at least the time to drain the
// calls ahead of it, and at least the recent drain time of its own class, because calls
// of higher classes keep arriving.
func (g *Gate) wait(now time.Time, ticket Ticket) time.Duration {
	higher, own := g.queue.Ahead(ticket)
	wait := time.Duration((higher + own + 1) * float64(g.interval(now)))
	if g.queue.Waiting(ticket.Priority) == 0 {
		return wait
	}
	return max(wait, time.Duration((own+1)*float64(g.drains[ticket.Priority].interval())))
}

// observeDrains updates the drain statistics of all classes.
func (g *Gate) observeDrains(now time.Time) {
	for i := range core.PriorityCount {
		g.drains[i].observe(now, g.queue.Waiting(i) > 0)
	}
}

const (
	// drainTimeConstant is the time constant with which drain statistics decay.
	drainTimeConstant = 4 * time.Second
	// minDrainTime is how long a class must have waited before its drain statistics
	// are used.
	minDrainTime = 500 * time.Millisecond
)

// drainStats measures how fast the waiting calls of one class are served. waited is the
// time in seconds for which the class had waiting calls, served the number of calls
// served from the queue. Both decay.
type drainStats struct {
	at     time.Time
	waited float64
	served float64
}

// observe accounts for the time since the last event.
func (d *drainStats) observe(now time.Time, waiting bool) {
	passed := max(0, now.Sub(d.at))
	d.at = now
	if !waiting {
		return
	}
	decay := math.Exp(-passed.Seconds() / drainTimeConstant.Seconds())
	d.waited = d.waited*decay + min(passed, drainTimeConstant).Seconds()
	d.served *= decay
}

// interval returns the mean time between two served calls, or zero if it is not known.
func (d *drainStats) interval() time.Duration {
	if d.waited < minDrainTime.Seconds() {
		return 0
	}
	return time.Duration(d.waited / max(d.served, minServed) * float64(time.Second))
}

// minServed is the number of served calls that is assumed when fewer were served. It
// bounds the interval of a class of which no call was served.
const minServed = 0.1

// cannotMeetDeadline reports whether a call would probably miss its deadline even if it
// started now. An idle endpoint admits every call, so that the estimate keeps being
// updated.
func (g *Gate) cannotMeetDeadline(now time.Time, ticket Ticket) bool {
	if ticket.Deadline.IsZero() {
		return false
	}
	if !ticket.Deadline.After(now) {
		return true
	}
	if len(g.running) == 0 {
		return false
	}
	return ticket.dueBefore(now.Add(g.minTimeLeft(ticket.Priority)))
}

// retryAfter returns the retry time for a rejected caller: the time until the queue has
// drained, with jitter so that callers do not retry at the same moment.
func (g *Gate) retryAfter(now time.Time) time.Duration {
	drain := time.Duration(g.queue.Len()+1) * g.interval(now)
	return g.jitter(min(max(drain, minRetryAfter), maxRetryAfter))
}

// minJitter is the smallest factor of jitter, the largest is minJitter + 1.
const minJitter = 0.5

// jitter multiplies d by a random factor between 0.5 and 1.5.
func (g *Gate) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (minJitter + g.random.Float64()))
}
