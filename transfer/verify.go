package transfer

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// ErrDigestMismatch means that all chunks hold but the whole does not: the
// manifest contradicts itself and the version must not be loaded.
var ErrDigestMismatch = errors.New("transfer: the digest of the whole does not hold")

// BadChunksError lists staged chunks that are gone or do not hold. They are
// fetched again when the version is still wanted.
type BadChunksError struct {
	Version core.VersionID
	Chunks  []int
}

// Error implements error.
func (e *BadChunksError) Error() string {
	return fmt.Sprintf("transfer: %d staged chunks of %s do not hold, first is chunk %d", len(e.Chunks), e.Version, e.Chunks[0])
}

const (
	// verifyTries is how often a chunk is read back before the check gives up.
	verifyTries = 5
	// verifyRetry is the time between two tries.
	verifyRetry = 200 * time.Millisecond
)

// Verify reads the staged chunks back in order, each as soon as it and all
// before it are held, and checks each digest and the digest of the whole. It
// waits for chunks of the wanted version that are still to come, so that little
// is left to check when the last arrives; for a version that is never wanted it
// waits until ctx ends. A load order may go out only after it returned nil.
func (s *Spreader) Verify(ctx context.Context, manifest *core.Manifest) error {
	if err := manifest.Validate(); err != nil {
		return err
	}
	whole := sha256.New()
	var bad []int
	for chunk := range manifest.Chunks {
		if err := s.board.await(ctx, manifest.Version, chunk); err != nil {
			return fmt.Errorf("verify %s chunk %d: %w", manifest.Version, chunk, err)
		}
		ok, err := s.verifyPatiently(ctx, manifest, chunk, whole)
		if err != nil {
			return err
		}
		if !ok {
			bad = append(bad, chunk)
		}
	}
	gone, err := s.missing(ctx, manifest)
	if err != nil {
		return err
	}
	if bad = union(bad, gone); len(bad) > 0 {
		metrics.Add("verify_bad_chunks", int64(len(bad)))
		if err := s.commands.Put(ctx, lostCommand{version: manifest.Version, chunks: bad}); err != nil {
			return err
		}
		return &BadChunksError{Version: manifest.Version, Chunks: bad}
	}
	if core.Digest(whole.Sum(nil)) != manifest.Whole {
		return ErrDigestMismatch
	}
	return nil
}

// missing lists the chunks that the staging lost since they were read back.
func (s *Spreader) missing(ctx context.Context, manifest *core.Manifest) ([]int, error) {
	callCtx, cancel := context.WithTimeout(ctx, stagingTimeout)
	defer cancel()
	staged, err := s.config.Staging.List(callCtx, manifest.Version)
	if err != nil {
		return nil, fmt.Errorf("verify %s: %w", manifest.Version, err)
	}
	held := make(map[int]bool, len(staged))
	for _, chunk := range staged {
		held[chunk] = true
	}
	var gone []int
	for chunk := range manifest.Chunks {
		if !held[chunk] {
			gone = append(gone, chunk)
		}
	}
	return gone, nil
}

// union returns the chunks of both lists, ascending.
func union(a, b []int) []int {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}

// verifyPatiently tries again while the staging does not answer.
func (s *Spreader) verifyPatiently(ctx context.Context, manifest *core.Manifest, chunk int, whole hash.Hash) (bool, error) {
	for try := 1; ; try++ {
		ok, err := s.verifyChunk(ctx, manifest, chunk, whole)
		if err == nil || try == verifyTries {
			return ok, err
		}
		select {
		case <-ctx.Done():
			return false, err
		case <-time.After(verifyRetry):
		}
	}
}

// verifyChunk adds one staged chunk to whole and reports whether it holds.
func (s *Spreader) verifyChunk(ctx context.Context, manifest *core.Manifest, chunk int, whole hash.Hash) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, stagingTimeout)
	defer cancel()
	data, err := s.config.Staging.Get(callCtx, manifest.Version, chunk)
	if errors.Is(err, ErrNotStaged) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("verify %s chunk %d: %w", manifest.Version, chunk, err)
	}
	if core.DigestOf(data) != manifest.Chunks[chunk] {
		return false, nil
	}
	whole.Write(data)
	return true, nil
}
