// Package metastore follows a key prefix of a metadata store. The store numbers all
// changes with one revision. While the store is unavailable, the last known state stays
// in use.
package metastore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
)

// Errors of a Store, apart from connection errors.
var (
	// ErrCompacted means that the history after the revision was compacted. The caller
	// must read the complete prefix again.
	ErrCompacted = errors.New("metastore: history after the revision compacted")
	// ErrRewound means that the store continues from an older copy, so that revisions no longer
	// identify the same changes. It wraps ErrCompacted.
	ErrRewound = fmt.Errorf("%w: the store continues from an older copy", ErrCompacted)
	// ErrLargeHistory means that the history after the revision is larger than the content.
	// The caller must read the complete prefix again.
	ErrLargeHistory = errors.New("metastore: history after the revision larger than the content")
	// ErrUnavailable means that the store did not execute the call; the caller may retry
	// later.
	ErrUnavailable = errors.New("metastore: store unavailable")
	// ErrRateLimited means that the calls of the deployment exceed the store's rate limit.
	ErrRateLimited = errors.New("metastore: rate limit exceeded")
)

// Change is a write or a deletion of a key.
type Change struct {
	Key string
	// Value is nil for a deleted key.
	Value    []byte
	Revision uint64
	// Created is the revision at which the key was created, 0 for a deleted key.
	Created uint64
	Deleted bool
	// TransferTime is how long the answer with the change took to arrive after it had begun.
	TransferTime time.Duration
	// MadeAt is about when the change was made, set by the Follower. It is 0 if the change
	// may have been made long before it was read.
	MadeAt boottime.Instant
}

// Snapshot is the content under a prefix at a revision.
type Snapshot struct {
	Items []Change
	// Revision is a revision from which a watch returns every change that Items lacks. It
	// may return changes that Items contains already.
	Revision uint64
}

// Outage describes what may have happened at the store, unseen by this process, before an
// update. It is the zero value if the process has followed the store without interruption.
type Outage struct {
	// Failed is set if a call of this process has failed since the previous update.
	Failed bool
	// AtLeast is how long the store was away if it was away for all processes and not for this
	// one only: from the first failed call to the last one.
	AtLeast time.Duration
	// AtMost bounds the time for which the store was away: the time since its previous answer.
	AtMost time.Duration
	// Rewound is set if the store has continued from an older copy.
	Rewound bool
}

// Happened reports whether the process has missed anything.
func (o Outage) Happened() bool { return o != Outage{} }

// Store is the part of a metadata store that a Follower uses.
type Store interface {
	// Read returns all keys under prefix.
	Read(ctx context.Context, prefix string) (Snapshot, error)
	// Watch returns the changes under prefix after a revision, and the revision at which
	// the next watch continues. It returns as soon as there are changes, or without any
	// after wait. The error is ErrCompacted if the store lacks the history, and
	// ErrLargeHistory if reading the content takes less time.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Revision returns the revision of the latest change of any key.
	Revision(ctx context.Context) (uint64, error)
}
