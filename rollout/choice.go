package rollout

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
)

// Pending is a declared version that an endpoint does not serve yet.
type Pending struct {
	Version int64
	// DeclaredAt is the best known time of the declaration.
	DeclaredAt boottime.Instant
	// Share is the share of the version's chunks that this VM has, staged or in
	// memory, from 0 to 1.
	Share float64
	// ChosenAt is when the version was last chosen for staging; 0 if it never was.
	ChosenAt boottime.Instant
	// FirstChunkAt and LastChunkAt are when the first and the latest chunk arrived; 0 if
	// none has.
	FirstChunkAt, LastChunkAt boottime.Instant
}

// Choice is the input for choosing the version that an endpoint stages next.
type Choice struct {
	Now boottime.Instant
	// Limit is how long after the declaration of a version calls may still be started
	// on the previous one.
	Limit time.Duration
	// Serving is set if the endpoint serves an older version.
	Serving bool
	// SwitchAt is the earliest time at which the endpoint may switch.
	SwitchAt boottime.Instant
	// Pending lists the declared versions, oldest first. It must not be empty.
	Pending []Pending
}

const (
	// finishShare is the share of a version's chunks that must be present for its
	// transfer to be completed although a newer version has been declared.
	finishShare = 0.5
	// stallTime is the time without a new chunk after which a transfer counts as
	// stalled.
	stallTime = 900 * time.Millisecond
	// spreadShare is the share of Limit that spreading a version typically takes.
	spreadShare = 0.3
	// minShareForRate is the smallest share from which the rate of a transfer is
	// estimated. It prevents a division by zero.
	minShareForRate = 0.01
	// maxWaitForNewest is how long an endpoint that may switch waits for the newest
	// version instead of switching twice. It is about the cost of one switch.
	maxWaitForNewest = 700 * time.Millisecond
)

// Stage returns the version to stage, and to load once it is complete.
//
// Load pattern: versions are declared faster than one of them spreads, while the
// origin may stop responding. If all endpoints abandoned each version for the next
// one, none would have weights that may still serve when the time limit of the first
// version ends. If all endpoints completed each version, every endpoint would wait for
// its running calls twice. An endpoint therefore completes a previous version only if
// enough of it is present or the newest one is stalled, and loads it only if it may
// switch and the newest one is not expected soon. A previous version that stalls as well
// gives way, since the origin may have dropped it.
func (c Choice) Stage() int64 {
	newest := &c.Pending[len(c.Pending)-1]
	if newest.Share >= 1 {
		return newest.Version
	}
	minShare := finishShare
	if newest.stalled(c.Now) {
		minShare = 0
	}
	previous := c.bestPrevious(minShare)
	switch {
	case previous == nil:
		return newest.Version
	case previous.Share < 1 && c.mayBeHad(previous, newest):
		return previous.Version
	case previous.Share >= 1 && c.loadsPreviousFirst(newest):
		return previous.Version
	}
	return newest.Version
}

// mayBeHad reports whether an incomplete previous version is expected to become complete. If
// the newest one stalls, each gets its turn until a chunk of it arrives.
func (c Choice) mayBeHad(previous, newest *Pending) bool {
	isStaged := newest.ChosenAt.Before(previous.ChosenAt)
	return !previous.stalled(c.Now) || newest.stalled(c.Now) && !isStaged
}

// bestPrevious returns the version before the newest with the largest share of chunks
// present, and nil if none has a share above zero and of at least minShare.
func (c Choice) bestPrevious(minShare float64) *Pending {
	var best *Pending
	for i := range c.Pending[:len(c.Pending)-1] {
		p := &c.Pending[i]
		if p.Share > 0 && p.Share >= minShare && (best == nil || p.Share >= best.Share) {
			best = p
		}
	}
	return best
}

// loadsPreviousFirst reports whether a complete previous version is loaded before the
// newest. Endpoints that may switch before the newest version is complete switch
// twice, so that not all endpoints switch in the short time left for the oldest
// version.
func (c Choice) loadsPreviousFirst(newest *Pending) bool {
	if c.Serving && c.Now.Before(c.SwitchAt) {
		return false
	}
	completion, known := newest.expectedCompletion(c.Now, time.Duration(spreadShare*float64(c.Limit)))
	return !known || c.Now.Add(maxWaitForNewest).Before(completion)
}

// stalled reports whether the version is being staged and no chunks arrive.
func (p *Pending) stalled(now boottime.Instant) bool {
	since := p.LastChunkAt
	if since.Before(p.ChosenAt) {
		since = p.ChosenAt
	}
	return p.ChosenAt != 0 && now.Sub(since) > stallTime
}

// expectedCompletion predicts when the version will be complete. It returns false if
// no chunks arrive.
func (p *Pending) expectedCompletion(now boottime.Instant, typical time.Duration) (boottime.Instant, bool) {
	switch {
	case p.Share >= 1:
		return now, true
	case p.stalled(now):
		return 0, false
	case p.FirstChunkAt == 0, now.Before(p.DeclaredAt.Add(typical)):
		// The first chunks arrive slowly, since all VMs wait for them at the same
		// time.
		return p.DeclaredAt.Add(typical), true
	}
	took := now.Sub(p.FirstChunkAt)
	return now.Add(time.Duration(float64(took) * (1 - p.Share) / max(p.Share, minShareForRate))), true
}
