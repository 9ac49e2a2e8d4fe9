package transfer

import (
	"context"
	"errors"

	"github.com/zinniaseam/zinniaseam/core"
)

// ErrNotStaged means that the staging does not hold the chunk.
var ErrNotStaged = errors.New("transfer: chunk is not staged")

// Staging holds chunks between their arrival and the load order, in the
// engine's host memory. It is safe for concurrent use.
type Staging interface {
	// Put stores one chunk and replaces what stood there.
	Put(ctx context.Context, version core.VersionID, index int, data []byte) error
	// Get reads one chunk back; ErrNotStaged when it is not held.
	Get(ctx context.Context, version core.VersionID, index int) ([]byte, error)
	// List lists the chunks that are held of a version.
	List(ctx context.Context, version core.VersionID) ([]int, error)
	// Drop frees all chunks of a version.
	Drop(ctx context.Context, version core.VersionID) error
}
