// Package pacing determines how many calls may run at once at an engine that has just
// started or recovered. It performs no I/O.
//
// Load pattern: an engine becomes ready while calls wait at all gateways. If all of its
// slots are filled at once, an engine that bears fewer calls queues the rest; if they are
// filled by a fixed schedule, an engine that bears all of them is idle meanwhile. The
// controller begins with a part of the slots, grows while the engine's reports show that
// the calls have begun, and shrinks when they show a queue or a rising pace.
package pacing

import (
	"math"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
)

const (
	// startDivisor is the part of the declared slots with which a spell begins. A quarter
	// reaches all slots in two steps that double the limit.
	startDivisor = 4
	// passTime is the duration of a pass of a full engine. A call that has arrived begins
	// after at most that time.
	passTime = 50 * time.Millisecond
	// maxReportAge is the age up to which a report is evidence for growth.
	maxReportAge = 150 * time.Millisecond
	// maxReportGap is the longest time between two reports that are compared. Reports are
	// requested every 100 ms; one may be missing.
	maxReportGap = 350 * time.Millisecond
	// partialTime is how long half of the limit must be in use for the limit to grow by
	// one.
	partialTime = 500 * time.Millisecond
	// minHold and maxHold bound how long the limit does not grow after a shrink.
	minHold = 300 * time.Millisecond
	maxHold = 2 * time.Second
	// paceTolerance is the factor by which the pace must exceed its baseline to count as
	// raised.
	paceTolerance = 1.1
	// paceInterval is the minimum time between two shrinks because of the pace: two
	// reports, of which the second shows the effect of the first shrink.
	paceInterval = 200 * time.Millisecond
	// rebaseTime is how long the pace must be raised at the start value for it to become
	// the baseline.
	rebaseTime = time.Second
	// settleTime is the time at the declared slots, without a shrink, after which the
	// limit ends.
	settleTime = 3 * time.Second
	// maxQueuedPairs is the number of pairs of reports in a row that show a queue of a
	// single call. In a single pair it can be two calls, each of which waits for the end of
	// a pass while another call ends: with 10 calls a second that was seen about once a
	// second.
	maxQueuedPairs = 2
	// peakTime is how long a number of running calls shows that the engine has room for
	// them: about the time in which all calls are replaced by others.
	peakTime = time.Second
	// maxFailedInRow and maxFailed are the numbers of failed polls, in a row and with
	// fewer than goodPolls successful ones between them, that begin a new spell.
	maxFailedInRow = 2
	maxFailed      = 3
	goodPolls      = 5
	// maxCalls and maxPace are the largest values that a report can plausibly have.
	maxCalls = 100_000
	maxPace  = 1000
)

// Report is a status report of the engine.
type Report struct {
	// RequestedAt is when the report was requested.
	RequestedAt boottime.Instant
	// Boot identifies the run of the engine.
	Boot             int64
	Running, Waiting int
	// Pace is above 1 if the engine is slower than declared, 0 if it is not known.
	Pace    float64
	Loading bool
}

// Reason is the cause of a change of the limit.
type Reason string

// Reasons for changes of the limit.
const (
	ReasonStart       Reason = "start"
	ReasonBoot        Reason = "boot"
	ReasonLoad        Reason = "load"
	ReasonUnreachable Reason = "unreachable"
	ReasonPause       Reason = "pause"
	ReasonBegun       Reason = "begun"
	ReasonPartial     Reason = "partial"
	ReasonQueue       Reason = "queue"
	ReasonPace        Reason = "pace"
	ReasonReleased    Reason = "released"
	ReasonDeclared    Reason = "declared"
)

// Change is a change of the limit with the inputs that led to it.
type Change struct {
	From, To int
	Reason   Reason
	// Report is the last valid report, ReportAge its age; both are zero if there was none.
	Report    Report
	ReportAge time.Duration
	// Baseline is the pace above which the engine counts as slowed, and Failed the number
	// of recent failed polls.
	Baseline float64
	Failed   int
}

// Controller determines the limit of one engine. It is not safe for concurrent use.
type Controller struct {
	slots, limit int
	// released is set if the limit has ended until the next event.
	released bool
	// step is the number of calls by which the limit grows next. grownFrom is the limit
	// before the last change if that was growth, 0 otherwise.
	step, grownFrom int
	// changedAt is when the limit last changed, heldUntil when it may grow again after a
	// shrink, and hold the length of the next such time.
	changedAt, heldUntil boottime.Instant
	hold                 time.Duration
	// partialSince is when half of the limit was first seen in use without a break, 0 if
	// it is not.
	partialSince boottime.Instant
	// topSince is when the limit reached the declared slots, 0 if it is lower.
	topSince boottime.Instant
	// baseline is the lowest pace of the spell, at least 1, and 0 before the first one.
	baseline float64
	// slowSince is when the pace was first seen raised at the start value, 0 if it is not.
	slowSince boottime.Instant
	// last is the last valid report, lastKnown is set if there is one. seen is set if it
	// belongs to this spell.
	last      Report
	lastKnown bool
	seen      bool
	// peak is the largest number of running calls that was reported within peakTime, at
	// peakAt. An engine that runs fewer has room, and a single call that waits will begin.
	peak   int
	peakAt boottime.Instant
	// queuedPairs is the number of reports in a row that showed a queue together with the
	// one before.
	queuedPairs int
	// failedInRow, failed and good count polls.
	failedInRow, failed, good int
}

// New returns the controller of an engine whose slots are not known, at the start of a
// spell.
func New(now boottime.Instant) *Controller {
	c := &Controller{}
	c.begin(now)
	return c
}

// Limit returns how many calls may run at the engine, 0 if its slots are not known.
func (c *Controller) Limit() int { return c.limit }

// Released reports whether the limit has ended until the next event.
func (c *Controller) Released() bool { return c.released }

// Valid reports whether the figures of a report are plausible.
func (r Report) Valid() bool {
	return r.Running >= 0 && r.Running <= maxCalls && r.Waiting >= 0 && r.Waiting <= maxCalls &&
		!math.IsNaN(r.Pace) && r.Pace >= 0 && r.Pace <= maxPace
}

// SetSlots sets the number of calls that the engine runs at once as declared.
func (c *Controller) SetSlots(now boottime.Instant, slots int) *Change {
	if slots <= 0 || slots == c.slots {
		return nil
	}
	known := c.slots != 0
	c.slots = slots
	switch {
	case !known:
		return c.set(now, c.startLimit(), ReasonStart)
	case c.released:
		return c.set(now, slots, ReasonDeclared)
	}
	return c.set(now, c.limit, ReasonDeclared)
}

// Paused records that the process did not run for a while, because it was stopped or the
// VM suspended.
func (c *Controller) Paused(now boottime.Instant) *Change { return c.restart(now, ReasonPause) }

// Failed records a poll without a report.
func (c *Controller) Failed(now boottime.Instant) *Change {
	c.failedInRow++
	c.failed++
	c.good = 0
	c.partialSince = 0
	if c.failedInRow < maxFailedInRow && c.failed < maxFailed {
		return nil
	}
	return c.restart(now, ReasonUnreachable)
}

// Observe records a report and returns the resulting change of the limit, nil if there is
// none. An implausible report counts as a missing one, which is neither evidence for growth
// nor a failure.
func (c *Controller) Observe(now boottime.Instant, report Report) *Change {
	if !report.Valid() || c.lastKnown && report.RequestedAt.Before(c.last.RequestedAt) {
		c.partialSince = 0
		return nil
	}
	c.succeeded()
	previous, known, seen := c.last, c.lastKnown, c.seen
	c.last, c.lastKnown, c.seen = report, true, true
	switch {
	case known && previous.Boot != report.Boot:
		return c.restart(now, ReasonBoot)
	case report.Loading || known && previous.Loading:
		return c.restart(now, ReasonLoad)
	case c.released || c.slots == 0:
		return nil
	}
	c.lowerBaseline(report.Pace)
	c.raisePeak(report)
	waiting := min(previous.Waiting, report.Waiting)
	if !seen || report.RequestedAt.Sub(previous.RequestedAt) > maxReportGap || !queued(previous, report) || waiting == 1 && report.Running < c.peak {
		c.queuedPairs = 0
	} else if c.queuedPairs++; c.queuedPairs >= c.pairsNeeded(waiting) {
		return c.shrinkToRunning(now, max(previous.Running, report.Running))
	}
	if c.slowed(report.Pace) {
		return c.shrinkForPace(now)
	}
	c.slowSince = 0
	return c.grow(now, report)
}

// succeeded counts a successful poll.
func (c *Controller) succeeded() {
	c.failedInRow = 0
	c.good++
	if c.good >= goodPolls {
		c.failed = 0
	}
}

func (c *Controller) raisePeak(report Report) {
	if report.Running >= c.peak || report.RequestedAt.Sub(c.peakAt) > peakTime {
		c.peak, c.peakAt = report.Running, report.RequestedAt
	}
}

// pairsNeeded returns how many pairs of reports in a row must show a queue of a length for
// the limit to shrink. One suffices if several calls wait, or if the limit has just grown by
// a single call: a mistake then costs a single slot for a short time.
func (c *Controller) pairsNeeded(waiting int) int {
	if waiting > 1 || c.limit == c.grownFrom+1 {
		return 1
	}
	return maxQueuedPairs
}

// queued reports whether calls that waited at the first report had not begun by the
// second one, at least a pass later. A call that arrives during a pass waits in a single
// report.
func queued(first, second Report) bool {
	return first.Waiting > 0 && second.Waiting > 0 && second.Running <= first.Running &&
		second.RequestedAt.Sub(first.RequestedAt) >= passTime
}

// begin starts a spell: what earlier reports showed no longer counts.
func (c *Controller) begin(now boottime.Instant) {
	c.released, c.step = false, c.startLimit()
	c.hold, c.heldUntil = minHold, now
	c.partialSince, c.topSince, c.slowSince, c.grownFrom = 0, 0, 0, 0
	c.baseline, c.seen, c.queuedPairs, c.peak = 0, false, 0, 0
}

func (c *Controller) startLimit() int { return (c.slots + startDivisor - 1) / startDivisor }

// restart starts a spell with the start limit.
func (c *Controller) restart(now boottime.Instant, reason Reason) *Change {
	c.begin(now)
	return c.set(now, c.startLimit(), reason)
}

// set changes the limit within the declared slots.
func (c *Controller) set(now boottime.Instant, limit int, reason Reason) *Change {
	if c.slots == 0 {
		return nil
	}
	from := c.limit
	c.limit = max(1, min(limit, c.slots))
	c.step = max(1, min(c.step, c.limit))
	if c.limit < c.slots {
		c.topSince = 0
	} else if c.topSince == 0 {
		c.topSince = now
	}
	if from == c.limit {
		return nil
	}
	if reason == ReasonStart {
		c.step = c.limit
	}
	c.grownFrom = 0
	if reason == ReasonBegun || reason == ReasonPartial {
		c.grownFrom = from
	}
	c.changedAt, c.partialSince = now, 0
	return c.change(now, from, reason)
}

func (c *Controller) change(now boottime.Instant, from int, reason Reason) *Change {
	change := &Change{From: from, To: c.limit, Reason: reason, Baseline: c.baseline, Failed: c.failed}
	if c.lastKnown {
		change.Report, change.ReportAge = c.last, now.Sub(c.last.RequestedAt)
	}
	return change
}

// lowerBaseline takes a lower pace as the baseline. The baseline is at least 1, the pace of
// an engine that is as fast as declared.
func (c *Controller) lowerBaseline(pace float64) {
	if pace == 0 {
		return
	}
	if c.baseline == 0 || pace < c.baseline {
		c.baseline = max(1, pace)
	}
}

func (c *Controller) slowed(pace float64) bool { return pace > c.baseline*paceTolerance }

// shrinkToRunning lowers the limit to the number of calls that the engine runs while others
// wait.
func (c *Controller) shrinkToRunning(now boottime.Instant, running int) *Change {
	c.partialSince, c.slowSince = 0, 0
	if c.topSince != 0 {
		c.topSince = now
	}
	c.heldUntil = max(c.heldUntil, now.Add(minHold))
	if running >= c.limit {
		return nil
	}
	c.step = 1
	c.heldUntil = now.Add(c.hold)
	c.hold = min(2*c.hold, maxHold)
	return c.set(now, running, ReasonQueue)
}

// shrinkForPace lowers the limit by a quarter. If the pace stays raised at the start value,
// the calls are not its cause, and it becomes the baseline.
func (c *Controller) shrinkForPace(now boottime.Instant) *Change {
	c.partialSince = 0
	if c.topSince != 0 {
		c.topSince = now
	}
	if c.limit <= c.startLimit() {
		if c.slowSince == 0 {
			c.slowSince = now
		}
		if now.Sub(c.slowSince) >= rebaseTime {
			c.baseline, c.slowSince = c.last.Pace, 0
		}
		return nil
	}
	if now.Sub(c.changedAt) < paceInterval {
		return nil
	}
	c.step = 1
	c.heldUntil = now.Add(minHold)
	return c.set(now, max(c.limit-(c.limit+3)/4, c.startLimit()), ReasonPace)
}

// grow raises the limit if the report shows that the calls let in have begun, and ends it
// at the declared slots.
func (c *Controller) grow(now boottime.Instant, report Report) *Change {
	current := now.Sub(report.RequestedAt) <= maxReportAge && report.RequestedAt.Sub(c.changedAt) >= passTime
	if c.queuedPairs > 0 {
		c.partialSince = 0
	}
	if report.Waiting > 0 || !current || now.Before(c.heldUntil) {
		return nil
	}
	if c.limit >= c.slots {
		return c.release(now, report)
	}
	if report.Running >= c.needed() {
		step := c.step
		c.step, c.hold = 2*step, c.shorterHold()
		return c.set(now, c.limit+step, ReasonBegun)
	}
	if report.Running == 0 || 2*report.Running < c.limit {
		c.partialSince = 0
		return nil
	}
	if c.partialSince == 0 {
		c.partialSince = now
	}
	if now.Sub(c.partialSince) < partialTime {
		return nil
	}
	return c.set(now, c.limit+1, ReasonPartial)
}

// needed returns the number of running calls that shows that the calls let in have begun:
// three quarters of the limit, and half of the calls by which it last grew. Gateways learn
// of a larger limit up to 0.2 s after it, and the calls that ran before show nothing.
func (c *Controller) needed() int {
	needed := (3*c.limit + 3) / 4
	if c.grownFrom > 0 {
		needed = max(needed, c.grownFrom+(c.limit-c.grownFrom+1)/2)
	}
	return needed
}

// shorterHold returns the next time without growth after a step that the engine has borne.
// A first step after a shrink is an attempt that may fail in the same way, so that only a
// larger one resets the time.
func (c *Controller) shorterHold() time.Duration {
	if c.step > 1 {
		return minHold
	}
	return c.hold
}

// release ends the limit if the engine runs nearly all declared slots, or has been at them
// for a while without a queue.
func (c *Controller) release(now boottime.Instant, report Report) *Change {
	if report.Running < c.slots-c.slots/8 && now.Sub(c.topSince) < settleTime {
		return nil
	}
	c.released = true
	return c.change(now, c.limit, ReasonReleased)
}
