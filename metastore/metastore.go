// Package metastore follows a prefix of a store of keys that counts one
// revision for all changes. It keeps what it last read while the store is away.
package metastore

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store, besides those of the connection.
var (
	// ErrCompacted means that the history after the revision is gone; read again.
	ErrCompacted = errors.New("metastore: the history after the revision is gone")
	// ErrUnavailable means that the store did nothing and may be asked again later.
	ErrUnavailable = errors.New("metastore: the store is unavailable")
	// ErrRateLimited means that the calls of the deployment exceed the store's rate.
	ErrRateLimited = errors.New("metastore: the rate of calls is spent")
)

// Change is a key as it was written, or its deletion.
type Change struct {
	Key string
	// Value is nil for a deleted key.
	Value    []byte
	Revision uint64
	// Created is the revision of the key's creation, 0 for a deleted key.
	Created uint64
	Deleted bool
}

// Snapshot is the content under a prefix at a revision.
type Snapshot struct {
	Items []Change
	// Revision is one from which a watch misses nothing.
	Revision uint64
}

// Store is the part of a metadata store that a follower needs.
type Store interface {
	// Read returns everything under prefix.
	Read(ctx context.Context, prefix string) (Snapshot, error)
	// Watch returns the changes after a revision as soon as there are any, at the
	// latest after wait, with the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}
