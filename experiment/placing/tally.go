package placing

import "time"

// queuedLong is about two passes of a full engine.
const queuedLong = 150 * time.Millisecond

// window is the span over which shares are told.
const window = 2 * time.Second

// Tally is what became of the calls of a run.
type Tally struct {
	// Windows are the spans of arrival, Total all of them.
	Windows []Count
	Total   Count
	// Rejections counts calls that engines rejected.
	Rejections int
	// Borrowed counts calls that ran in slots of other gateways.
	Borrowed int
	// Begun counts calls that entered a batch, Queued those of them that waited
	// inside the engine for longer than queuedLong.
	Begun, Queued int
}

// Count is what became of a group of calls.
type Count struct {
	Asked, OnTime, Late, Refused, RefusedAgain, Failed int
	// Owed is what all calls are worth on time, Earned what callers got.
	Owed, Earned float64
	// Large are those calls of the largest tenth of their kind that were served, of LargeAsked.
	LargeAsked, LargeServed int
}

// Share is the part of the worth that callers got.
func (c *Count) Share() float64 {
	if c.Owed == 0 {
		return 1
	}
	return c.Earned / c.Owed
}

func newTally(length time.Duration) *Tally {
	return &Tally{Windows: make([]Count, int(length/window)+1)}
}

// each changes the counts that a call belongs to.
func (t *Tally) each(c *call, change func(*Count)) {
	change(&t.Windows[int(c.arrived.Sub(epoch)/window)])
	change(&t.Total)
}

func (t *Tally) arrived(c *call) {
	t.each(c, func(n *Count) {
		n.Asked++
		n.Owed += c.worth(false)
		if c.large() {
			n.LargeAsked++
		}
	})
}

// large reports whether a call is about among the largest tenth of its kind.
func (c *call) large() bool {
	return float64(c.prompt+10*c.output) > 2*(c.kind.prompt+10*c.kind.answer)
}

func (t *Tally) refused(c *call) {
	t.each(c, func(n *Count) {
		n.Refused++
		if c.returned {
			n.RefusedAgain++
		}
	})
}

func (t *Tally) ended(c *call, whole bool) {
	late := c.firstAt.Sub(c.arrived) > c.kind.objective
	t.each(c, func(n *Count) {
		switch {
		case !whole:
			n.Failed++
			return
		case late:
			n.Late++
		default:
			n.OnTime++
		}
		n.Earned += c.worth(late)
		if c.large() {
			n.LargeServed++
		}
	})
}

// begun notes that a call's first tokens were written.
func (t *Tally) begun(j *job) {
	t.Begun++
	if j.admittedAt.Sub(j.offeredAt) > queuedLong {
		t.Queued++
	}
}

// QueuedShare is the part of the calls that waited long inside an engine.
func (t *Tally) QueuedShare() float64 {
	if t.Begun == 0 {
		return 0
	}
	return float64(t.Queued) / float64(t.Begun)
}
