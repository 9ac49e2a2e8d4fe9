package metastore

import (
	"hash/maphash"

	"github.com/zinniaseam/zinniaseam/boottime"
)

const (
	// maxHistoryBytes is the size of the values in the answer of a watch above which the
	// content is read next instead of the history, if the answer has several values of one key.
	maxHistoryBytes = 32 << 10
	// largeValueBytes is the size above which two values exceed maxHistoryBytes. Watches
	// resume once a read finds no change of such a value.
	largeValueBytes = maxHistoryBytes / 2
)

// content identifies the value of each key, so that a read can be compared with what is known.
type content struct {
	seed    maphash.Seed
	entries map[string]entryID
	// largeAt is when a watch last returned a large value of a key.
	largeAt map[string]boottime.Instant
}

type entryID struct {
	revision, hash uint64
}

func newContent(items []Change) content {
	c := content{seed: maphash.MakeSeed(), entries: make(map[string]entryID, len(items)), largeAt: map[string]boottime.Instant{}}
	c.apply(items)
	return c
}

func (c *content) idOf(change *Change) entryID {
	return entryID{revision: change.Revision, hash: maphash.Bytes(c.seed, change.Value)}
}

func (c *content) apply(changes []Change) {
	for i := range changes {
		if changes[i].Deleted {
			delete(c.entries, changes[i].Key)
			delete(c.largeAt, changes[i].Key)
			continue
		}
		c.entries[changes[i].Key] = c.idOf(&changes[i])
	}
}

// changesTo returns the changes that lead to a snapshot. The hashes tell apart values that
// have the same revision in different eras of the store.
func (c *content) changesTo(snapshot Snapshot) []Change {
	var changes []Change
	present := make(map[string]bool, len(snapshot.Items))
	for i := range snapshot.Items {
		item := &snapshot.Items[i]
		present[item.Key] = true
		if known, ok := c.entries[item.Key]; !ok || known != c.idOf(item) {
			changes = append(changes, *item)
		}
	}
	for key := range c.entries {
		if !present[key] {
			changes = append(changes, Change{Key: key, Revision: snapshot.Revision, Deleted: true})
		}
	}
	return changes
}

// supersedesLarge reports whether an answer has several values of one key and is so large that
// reading the content takes less of the link.
func supersedesLarge(changes []Change) bool {
	bytes, repeated := 0, false
	seen := make(map[string]bool, len(changes))
	for i := range changes {
		if changes[i].Deleted {
			continue
		}
		bytes += len(changes[i].Value)
		repeated = repeated || seen[changes[i].Key]
		seen[changes[i].Key] = true
	}
	return repeated && bytes > maxHistoryBytes
}

// replacesLarge records the large values in the answer of a watch, and reports whether one of
// them replaces another that a watch returned within maxReadPause. A fast link returns each
// value of a burst in an answer of its own.
func (c *content) replacesLarge(changes []Change, now boottime.Instant) bool {
	replaces := false
	for i := range changes {
		if len(changes[i].Value) <= largeValueBytes {
			continue
		}
		last, known := c.largeAt[changes[i].Key]
		replaces = replaces || known && now.Sub(last) < maxReadPause
		c.largeAt[changes[i].Key] = now
	}
	return replaces
}

func hasLargeValue(changes []Change) bool {
	for i := range changes {
		if len(changes[i].Value) > largeValueBytes {
			return true
		}
	}
	return false
}
