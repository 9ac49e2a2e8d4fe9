package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
)

const (
	// maxDeclarations bounds the tracked declarations of one model; the oldest are
	// removed.
	maxDeclarations = 16
	// ageTolerance is the difference below which a larger age is ignored, so that
	// processes do not tell each other of every message that was a little faster.
	ageTolerance = 100 * time.Millisecond
)

// Declaration is a declared version of a model's weights and what is known about the time
// of its declaration. Unknown instants are 0.
type Declaration struct {
	Version int64
	// MadeAt is the earliest time at which a process is known to have read the declaration
	// without delay.
	MadeAt boottime.Instant
	// NotBefore is an instant at which the version had not been declared.
	NotBefore boottime.Instant
	// Gapless is set if no version between this one and the one tracked before it was
	// declared earlier than this one could be read.
	Gapless bool
}

// earliest returns the earliest time at which the version may have been declared. known is
// false if there is no bound.
func (d Declaration) earliest() (at boottime.Instant, known bool) {
	if d.MadeAt == 0 || d.NotBefore != 0 && d.NotBefore > d.MadeAt {
		return d.NotBefore, d.NotBefore != 0
	}
	return d.MadeAt, true
}

// Age is how long ago a version was declared.
type Age struct {
	Version int64
	Age     time.Duration
}

// Declarations combines what several processes know about the declared versions of one
// model. The zero value holds none. It is not safe for concurrent use.
//
// A process that was suspended or could not reach the store reads a declaration late. If
// it counted from that moment, it would use older weights for too long. Processes
// therefore tell each other the age of each declaration, and the largest age counts,
// since a delay makes a declaration appear younger.
type Declarations struct{ list []Declaration }

// Add adds a declaration, or what is known about a version that was added before. It
// reports whether the earliest time of any version has changed.
func (d *Declarations) Add(added Declaration) bool {
	i, found := slices.BinarySearchFunc(d.list, added.Version, func(known Declaration, version int64) int { return cmp.Compare(known.Version, version) })
	if !found {
		if len(d.list) >= maxDeclarations {
			if i == 0 {
				return false
			}
			d.list, i = d.list[1:], i-1
		}
		d.list = slices.Insert(d.list, i, added)
		return true
	}
	known := &d.list[i]
	before, _ := known.earliest()
	if added.MadeAt != 0 && (known.MadeAt == 0 || known.MadeAt.Sub(added.MadeAt) > ageTolerance) {
		known.MadeAt = added.MadeAt
	}
	known.NotBefore = max(known.NotBefore, added.NotBefore)
	known.Gapless = known.Gapless || added.Gapless
	after, _ := known.earliest()
	return before != after
}

// Learn adds the ages that another process has sent, and reports whether the earliest time
// of any version has changed.
func (d *Declarations) Learn(now boottime.Instant, ages []Age) bool {
	changed := false
	for _, age := range ages {
		changed = d.Add(Declaration{Version: age.Version, MadeAt: now.Add(-age.Age)}) || changed
	}
	return changed
}

// Newest returns the newest declared version, 0 if there is none.
func (d *Declarations) Newest() int64 {
	if len(d.list) == 0 {
		return 0
	}
	return d.list[len(d.list)-1].Version
}

// SupersededAt returns the earliest time at which a version newer than the given one may
// have been declared. known is false if there is no bound. newer is false if no newer
// version is known.
//
// If versions may be missing between the given one and the next that is known, they were
// declared at an unknown time before that.
func (d *Declarations) SupersededAt(version int64) (at boottime.Instant, known, newer bool) {
	i := slices.IndexFunc(d.list, func(declared Declaration) bool { return declared.Version > version })
	if i < 0 {
		return 0, false, false
	}
	first := d.list[i]
	if first.Version > version+1 && !first.Gapless {
		return first.NotBefore, first.NotBefore != 0, true
	}
	at, known = first.earliest()
	return at, known, true
}

// FirstAfter returns the earliest time that is known for a version newer than the given
// one; known is false if there is none.
func (d *Declarations) FirstAfter(version int64) (at boottime.Instant, known bool) {
	for _, declared := range d.list {
		if earliest, bounded := declared.earliest(); declared.Version > version && bounded && (!known || earliest < at) {
			at, known = earliest, true
		}
	}
	return at, known
}

// Ages returns the known ages, not those that are merely bounded. Of the declarations
// older than limit, only the newest is included: its age says enough about those before.
func (d *Declarations) Ages(now boottime.Instant, limit time.Duration) []Age {
	var ages []Age
	for _, declared := range d.list {
		if declared.MadeAt == 0 {
			continue
		}
		age := Age{Version: declared.Version, Age: now.Sub(declared.MadeAt)}
		if len(ages) == 1 && age.Age >= limit {
			ages = ages[:0]
		}
		ages = append(ages, age)
	}
	return ages
}
