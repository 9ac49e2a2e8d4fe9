package endpoint

import (
	"context"
	"errors"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/transfer"
)

var _ transfer.Staging = (*Staging)(nil)

// Staging stores chunks in the engine's host memory.
type Staging struct{ *engine.Client }

// Get reads a staged chunk. It returns transfer.ErrNotStaged if the chunk is missing.
func (s *Staging) Get(ctx context.Context, version core.VersionID, index int) ([]byte, error) {
	data, err := s.Client.Get(ctx, version, index)
	if errors.Is(err, engine.ErrNotStaged) {
		return nil, transfer.ErrNotStaged
	}
	return data, err
}
