package placing

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/fleet"
)

// longQueueTime is the time in an engine's queue above which a call counts as
// queued: about two passes of a full engine.
const longQueueTime = 150 * time.Millisecond

// Tally counts the outcomes of the calls of a run.
type Tally struct {
	Total Count
	// FirstEvents are the times from a caller's first attempt to its first event.
	FirstEvents []time.Duration
	// Rejections counts rejections by engines.
	Rejections int
	// Borrowed counts calls placed in slots borrowed from other gateways.
	Borrowed int
	// Begun counts calls that generated their first tokens, Queued those of them
	// that waited in the engine's queue for longer than longQueueTime.
	Begun, Queued int
	// MaxStarts is the largest number of calls that were sent to one engine within a
	// second.
	MaxStarts int
	// recent are the calls sent to each engine within the last second.
	recent map[fleet.EndpointID][]time.Time
}

// Count holds the outcomes of a group of calls.
type Count struct {
	// Asked counts callers. Answered counts those that received the complete answer in their
	// time, Left those whose answer was too late, Failed those whose engine ended, Unserved
	// those that were rejected last.
	Asked, Answered, Left, Failed, Unserved int
	// Refused counts rejections, RefusedAfterWait those of them of calls that had waited, and
	// LongestRefusedWait is the longest such wait.
	Refused, RefusedAfterWait int
	LongestRefusedWait        time.Duration
	// LargeAsked counts the calls in about the largest tenth of their kind,
	// LargeServed those of them that were answered.
	LargeAsked, LargeServed int
}

// Share returns the share of the callers that were answered in their time, 1 if there were no
// calls.
func (c *Count) Share() float64 {
	if c.Asked == 0 {
		return 1
	}
	return float64(c.Answered) / float64(c.Asked)
}

// FirstEvent returns a quantile of the times to the first event.
func (t *Tally) FirstEvent(quantile float64) time.Duration {
	if len(t.FirstEvents) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.FirstEvents))
	return sorted[int(quantile*float64(len(sorted)-1))]
}

func newTally() *Tally { return &Tally{recent: map[fleet.EndpointID][]time.Time{}} }

// started records that a call is sent to an engine.
func (t *Tally) started(id fleet.EndpointID, now time.Time) {
	recent := slices.DeleteFunc(t.recent[id], func(at time.Time) bool { return now.Sub(at) >= time.Second })
	t.recent[id] = append(recent, now)
	t.MaxStarts = max(t.MaxStarts, len(t.recent[id]))
}

func (t *Tally) arrived(c *call) {
	t.Total.Asked++
	if c.large() {
		t.Total.LargeAsked++
	}
}

// large reports whether a call is in about the largest tenth of its kind.
func (c *call) large() bool {
	return float64(c.prompt+10*c.output) > 2*(c.kind.prompt+10*c.kind.answer)
}

// rejected records a rejection after a wait. last is set if the caller does not come back.
func (t *Tally) rejected(waited time.Duration, last bool) {
	n := &t.Total
	n.Refused++
	if waited > 0 {
		n.RefusedAfterWait++
		n.LongestRefusedWait = max(n.LongestRefusedWait, waited)
	}
	if last {
		n.Unserved++
	}
}

// ended records the end of an answer.
func (t *Tally) ended(c *call, now time.Time, complete bool) {
	n := &t.Total
	switch {
	case !complete:
		n.Failed++
		return
	case c.firstAt.Sub(c.sentAt) > eventTimeout, now.Sub(c.arrived) > callerTimeout:
		n.Left++
		return
	}
	n.Answered++
	t.FirstEvents = append(t.FirstEvents, c.firstAt.Sub(c.arrived))
	if c.large() {
		n.LargeServed++
	}
}

// begun counts a call that generated its first tokens.
func (t *Tally) begun(j *job) {
	t.Begun++
	if j.admittedAt.Sub(j.offeredAt) > longQueueTime {
		t.Queued++
	}
}

// QueuedShare returns the share of begun calls that waited in an engine's queue for
// longer than longQueueTime, 0 if no call began.
func (t *Tally) QueuedShare() float64 {
	if t.Begun == 0 {
		return 0
	}
	return float64(t.Queued) / float64(t.Begun)
}
