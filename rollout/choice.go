package rollout

import "time"

// Pending is a declared version that an endpoint does not serve yet.
type Pending struct {
	Version int64
	// DeclaredAt is when it became known.
	DeclaredAt time.Time
	// Share is the part of its chunks that this VM has, in the staging or in memory.
	Share float64
	// StagedSince is when it was last chosen for staging; zero when it never was.
	StagedSince time.Time
	// FirstChunkAt and LastChunkAt are when chunks of it came; zero for none.
	FirstChunkAt, LastChunkAt time.Time
}

// Choice is the input for what an endpoint stages next.
type Choice struct {
	Now time.Time
	// Limit is how long after a declaration the version before it may begin work.
	Limit time.Duration
	// Serving says that the endpoint serves an older version.
	Serving bool
	// SwitchAt is from when the endpoint may change.
	SwitchAt time.Time
	// Pending are the declared versions, oldest first; there is at least one.
	Pending []Pending
}

const (
	// finishShare is the part of a version that must be there for its spread to be
	// finished when a newer one is declared.
	finishShare = 0.5
	// stallTime is how long no chunk may come before a spread counts as stalled.
	stallTime = 900 * time.Millisecond
	// spreadShare is the part of the limit that a spread usually takes.
	spreadShare = 0.3
	// worthWaiting is how long an endpoint whose turn has come waits for the newest
	// version rather than to change twice: about what a change costs it.
	worthWaiting = 700 * time.Millisecond
)

// Stage returns the version to stage, and to load when it is whole.
//
// Load pattern answered: versions declared faster than one spreads, while the
// origin may fall silent. If all endpoints gave each version up for the next,
// none would hold weights that may serve when the time for the first is over; if
// all finished each, every endpoint would wait for its calls twice.
func (c Choice) Stage() int64 {
	newest := &c.Pending[len(c.Pending)-1]
	if newest.Share >= 1 {
		return newest.Version
	}
	least := finishShare
	if newest.stalled(c.Now) {
		least = 0
	}
	former := c.former(least)
	switch {
	case former == nil:
		return newest.Version
	case former.Share < 1 && (least == 0 || !former.stalled(c.Now)):
		return former.Version
	case former.Share >= 1 && c.prefers(newest):
		return former.Version
	}
	return newest.Version
}

// former returns the version before the newest of which most is there, nil when
// no more than least is there of any.
func (c Choice) former(least float64) *Pending {
	var best *Pending
	for i := range c.Pending[:len(c.Pending)-1] {
		p := &c.Pending[i]
		if p.Share > 0 && p.Share >= least && (best == nil || p.Share >= best.Share) {
			best = p
		}
	}
	return best
}

// prefers reports whether a former version that is whole is loaded first. Those
// whose turn comes before the newest version is there change twice, so that not
// all change in the little time that is left for the oldest one.
func (c Choice) prefers(newest *Pending) bool {
	if c.Serving && c.SwitchAt.After(c.Now) {
		return false
	}
	expected, known := newest.expected(c.Now, time.Duration(spreadShare*float64(c.Limit)))
	return !known || expected.After(c.Now.Add(worthWaiting))
}

// stalled reports whether the version is being staged and nothing comes.
func (p *Pending) stalled(now time.Time) bool {
	since := p.LastChunkAt
	if since.Before(p.StagedSince) {
		since = p.StagedSince
	}
	return !p.StagedSince.IsZero() && now.Sub(since) > stallTime
}

// expected predicts when the version is whole; false when nothing comes.
func (p *Pending) expected(now time.Time, usual time.Duration) (time.Time, bool) {
	switch {
	case p.Share >= 1:
		return now, true
	case p.stalled(now):
		return time.Time{}, false
	case p.FirstChunkAt.IsZero(), now.Before(p.DeclaredAt.Add(usual)):
		// The first chunks come slowly, since all machines wait for them.
		return p.DeclaredAt.Add(usual), true
	}
	took := now.Sub(p.FirstChunkAt)
	return now.Add(time.Duration(float64(took) * (1 - p.Share) / max(p.Share, 0.01))), true
}
