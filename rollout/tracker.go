package rollout

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// TrackedVersion is a declared version that is to be staged.
type TrackedVersion struct {
	Number int64
	ID     core.VersionID
	// DeclaredAt is when it was declared as far as known, KnownAt when this machine
	// learned of it.
	DeclaredAt, KnownAt time.Time
	// Manifest is nil until it was read; Reading says that it is being read.
	Manifest *core.Manifest
	Reading  bool
	// held is how many chunks there are, firstChunk and lastChunk when it grew.
	held                  int
	firstChunk, lastChunk time.Time
	// stagedSince is when the version was last chosen.
	stagedSince time.Time
}

// ChunksPresent returns how many chunks there are.
func (v *TrackedVersion) ChunksPresent() int { return v.held }

// Complete reports whether all chunks are there.
func (v *TrackedVersion) Complete() bool {
	return v.Manifest != nil && v.held == len(v.Manifest.Chunks)
}

// SetChunksPresent notes how many chunks of the version there are.
func (v *TrackedVersion) SetChunksPresent(now time.Time, held int) {
	if held == v.held {
		return
	}
	v.held, v.lastChunk = held, now
	if v.firstChunk.IsZero() {
		v.firstChunk = now
	}
}

func (v *TrackedVersion) pending() Pending {
	p := Pending{Version: v.Number, DeclaredAt: v.DeclaredAt, StagedSince: v.stagedSince, FirstChunkAt: v.firstChunk, LastChunkAt: v.lastChunk}
	if v.Manifest != nil {
		p.Share = float64(v.held) / float64(len(v.Manifest.Chunks))
	}
	return p
}

// Tracker follows the declared versions of a model on one machine. The zero
// value knows none. It is not safe for concurrent use.
type Tracker struct {
	versions []*TrackedVersion
	chosen   *TrackedVersion
}

// Declare adds a version, unless it is known or older.
func (t *Tracker) Declare(now time.Time, number int64, id core.VersionID, at time.Time) bool {
	if newest := t.Newest(); newest != nil && number <= newest.Number {
		return false
	}
	t.versions = append(t.versions, &TrackedVersion{Number: number, ID: id, DeclaredAt: at, KnownAt: now})
	return true
}

// Versions lists the versions, oldest first.
func (t *Tracker) Versions() []*TrackedVersion { return t.versions }

// Oldest returns the version that was declared first of those tracked, nil without any.
func (t *Tracker) Oldest() *TrackedVersion {
	if len(t.versions) == 0 {
		return nil
	}
	return t.versions[0]
}

// Newest returns the version that was declared last, nil without any.
func (t *Tracker) Newest() *TrackedVersion {
	if len(t.versions) == 0 {
		return nil
	}
	return t.versions[len(t.versions)-1]
}

// Chosen returns the version that Choose chose last, nil before.
func (t *Tracker) Chosen() *TrackedVersion { return t.chosen }

// RemoveUpTo drops the versions up to a number. The newest is kept, since a
// machine may lose it.
func (t *Tracker) RemoveUpTo(number int64) {
	for len(t.versions) > 1 && t.versions[0].Number <= number {
		t.versions = t.versions[1:]
	}
}

// Choose returns the version to stage and whether it is another than before; nil
// while no manifest is known. The choice's list of versions is filled in.
func (t *Tracker) Choose(choice Choice) (chosen *TrackedVersion, changed bool) {
	if len(t.versions) == 0 {
		return nil, false
	}
	for _, v := range t.versions {
		choice.Pending = append(choice.Pending, v.pending())
	}
	stage := choice.Stage()
	for _, v := range t.versions {
		if v.Number != stage || v == t.chosen || v.Manifest == nil {
			continue
		}
		t.chosen, v.stagedSince = v, choice.Now
		return v, true
	}
	return t.chosen, false
}
