package rollout

import (
	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

// TrackedVersion is a declared version that is to be staged.
type TrackedVersion struct {
	Number int64
	ID     core.VersionID
	// DeclaredAt is the best known time of the declaration, KnownAt the time at which
	// this VM learned of it.
	DeclaredAt, KnownAt boottime.Instant
	// Manifest is nil until it has been read; Reading is set while it is being read.
	Manifest *core.Manifest
	Reading  bool
	// present is the number of chunks present; firstChunk and lastChunk are the times
	// of its first and latest change.
	present               int
	firstChunk, lastChunk boottime.Instant
	// chosenAt is when the version was last chosen for staging.
	chosenAt boottime.Instant
}

// ChunksPresent returns the number of chunks present.
func (v *TrackedVersion) ChunksPresent() int { return v.present }

// Complete reports whether all chunks are present.
func (v *TrackedVersion) Complete() bool {
	return v.Manifest != nil && v.present == len(v.Manifest.Chunks)
}

// SetChunksPresent updates the number of chunks present.
func (v *TrackedVersion) SetChunksPresent(now boottime.Instant, present int) {
	if present == v.present {
		return
	}
	v.present, v.lastChunk = present, now
	if v.firstChunk == 0 {
		v.firstChunk = now
	}
}

func (v *TrackedVersion) pending() Pending {
	p := Pending{Version: v.Number, DeclaredAt: v.DeclaredAt, ChosenAt: v.chosenAt, FirstChunkAt: v.firstChunk, LastChunkAt: v.lastChunk}
	if v.Manifest != nil {
		p.Share = float64(v.present) / float64(len(v.Manifest.Chunks))
	}
	return p
}

// Tracker tracks the declared versions of a model on one VM. The zero value tracks
// none. It is not safe for concurrent use.
type Tracker struct {
	versions []*TrackedVersion
	chosen   *TrackedVersion
}

// Declare adds a version and reports whether it was added. A version that is not newer
// than the newest tracked one is ignored.
func (t *Tracker) Declare(now boottime.Instant, number int64, id core.VersionID, at boottime.Instant) bool {
	if newest := t.Newest(); newest != nil && number <= newest.Number {
		return false
	}
	t.versions = append(t.versions, &TrackedVersion{Number: number, ID: id, DeclaredAt: at, KnownAt: now})
	return true
}

// Versions returns the tracked versions, oldest first.
func (t *Tracker) Versions() []*TrackedVersion { return t.versions }

// Oldest returns the tracked version that was declared first, or nil.
func (t *Tracker) Oldest() *TrackedVersion {
	if len(t.versions) == 0 {
		return nil
	}
	return t.versions[0]
}

// Newest returns the tracked version that was declared last, or nil.
func (t *Tracker) Newest() *TrackedVersion {
	if len(t.versions) == 0 {
		return nil
	}
	return t.versions[len(t.versions)-1]
}

// Chosen returns the last result of Choose, or nil.
func (t *Tracker) Chosen() *TrackedVersion { return t.chosen }

// RemoveUpTo removes the versions up to and including number. The newest version is
// always kept, since the VM may lose its weights and need to stage it again.
func (t *Tracker) RemoveUpTo(number int64) {
	for len(t.versions) > 1 && t.versions[0].Number <= number {
		t.versions = t.versions[1:]
	}
}

// Choose returns the version to stage and whether it has changed; nil while no
// manifest is known. It fills in choice.Pending.
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
		t.chosen, v.chosenAt = v, choice.Now
		return v, true
	}
	return t.chosen, false
}
