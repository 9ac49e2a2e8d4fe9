package transfer

import (
	"context"
	"errors"

	"github.com/zinniaseam/zinniaseam/core"
)

// ErrNotStaged means that the chunk is not staged.
var ErrNotStaged = errors.New("transfer: chunk is not staged")

// Staging stores chunks between their arrival and the load order, in the
// engine's host memory. It is safe for concurrent use.
type Staging interface {
	// Put stores one chunk and replaces any previous one at its index.
	Put(ctx context.Context, version core.VersionID, index int, data []byte) error
	// Get returns one chunk, or ErrNotStaged when it is not stored.
	Get(ctx context.Context, version core.VersionID, index int) ([]byte, error)
	// List returns the indices of the stored chunks of a version.
	List(ctx context.Context, version core.VersionID) ([]int, error)
	// Drop removes all chunks of a version.
	Drop(ctx context.Context, version core.VersionID) error
}
