package placing

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/fleet"
)

// longQueueTime is the time in an engine's queue above which a call counts as
// queued: about two passes of a full engine.
const longQueueTime = 150 * time.Millisecond

// window is the length of the time windows that calls are counted in.
const window = 2 * time.Second

// Tally counts the outcomes of the calls of a run.
type Tally struct {
	// Windows counts calls by their window of arrival, Total all calls.
	Windows []Count
	Total   Count
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
	// Refused counts rejections, RefusedAgain those of retried calls among them.
	Asked, OnTime, Late, Refused, RefusedAgain, Failed int
	// Owed is the value of all calls if answered on time, Earned the value of the
	// answers as given.
	Owed, Earned float64
	// LargeAsked counts the calls in about the largest tenth of their kind,
	// LargeServed those of them that were answered.
	LargeAsked, LargeServed int
}

// Share returns Earned as a share of Owed, 1 if there were no calls.
func (c *Count) Share() float64 {
	if c.Owed == 0 {
		return 1
	}
	return c.Earned / c.Owed
}

func newTally(length time.Duration) *Tally {
	return &Tally{Windows: make([]Count, int(length/window)+1), recent: map[fleet.EndpointID][]time.Time{}}
}

// started records that a call is sent to an engine.
func (t *Tally) started(id fleet.EndpointID, now time.Time) {
	recent := slices.DeleteFunc(t.recent[id], func(at time.Time) bool { return now.Sub(at) >= time.Second })
	t.recent[id] = append(recent, now)
	t.MaxStarts = max(t.MaxStarts, len(t.recent[id]))
}

// each applies change to the counts that a call belongs to.
func (t *Tally) each(c *call, change func(*Count)) {
	change(&t.Windows[int(c.arrived.Sub(epoch)/window)])
	change(&t.Total)
}

func (t *Tally) arrived(c *call) {
	t.each(c, func(n *Count) {
		n.Asked++
		n.Owed += c.value(false)
		if c.large() {
			n.LargeAsked++
		}
	})
}

// large reports whether a call is in about the largest tenth of its kind.
func (c *call) large() bool {
	return float64(c.prompt+10*c.output) > 2*(c.kind.prompt+10*c.kind.answer)
}

func (t *Tally) rejected(c *call) {
	t.each(c, func(n *Count) {
		n.Refused++
		if c.retried {
			n.RefusedAgain++
		}
	})
}

func (t *Tally) ended(c *call, complete bool) {
	late := c.firstAt.Sub(c.arrived) > c.kind.objective
	t.each(c, func(n *Count) {
		switch {
		case !complete:
			n.Failed++
			return
		case late:
			n.Late++
		default:
			n.OnTime++
		}
		n.Earned += c.value(late)
		if c.large() {
			n.LargeServed++
		}
	})
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
