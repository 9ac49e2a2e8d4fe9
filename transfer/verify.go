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

// ErrDigestMismatch means that every chunk matches its digest but the complete
// weights do not: the manifest is inconsistent and the version must not be
// loaded.
var ErrDigestMismatch = errors.New("transfer: digest of the complete weights does not match the manifest")

// BadChunksError lists staged chunks that are missing or corrupt. They are
// fetched again if the version is still the target version.
type BadChunksError struct {
	Version core.VersionID
	Chunks  []int
}

// Error implements error.
func (e *BadChunksError) Error() string {
	return fmt.Sprintf("transfer: %d staged chunks of %s are missing or corrupt, the first is chunk %d", len(e.Chunks), e.Version, e.Chunks[0])
}

const (
	// verifyTries is the maximum number of attempts to read a chunk back.
	verifyTries = 5
	// verifyRetry is the time between two attempts.
	verifyRetry = 200 * time.Millisecond
)

// Verify reads the staged chunks back in order and checks the digest of each
// and that of the complete weights. It reads each chunk as soon as it and all
// before it are stored, so that little is left to check when the last one
// arrives. It waits for chunks of the target version that have not arrived yet;
// for a version that never becomes the target version it waits until ctx ends.
// A load order may be sent only after Verify has returned nil. The error wraps
// ErrDigestMismatch or is a *BadChunksError when the weights are invalid.
func (s *Spreader) Verify(ctx context.Context, manifest *core.Manifest) error {
	if err := manifest.Validate(); err != nil {
		return err
	}
	weightsHash := sha256.New()
	var bad []int
	for chunk := range manifest.Chunks {
		if err := s.tracker.await(ctx, manifest.Version, chunk); err != nil {
			return fmt.Errorf("verify %s chunk %d: %w", manifest.Version, chunk, err)
		}
		ok, err := s.verifyWithRetry(ctx, manifest, chunk, weightsHash)
		if err != nil {
			return err
		}
		if !ok {
			bad = append(bad, chunk)
		}
	}
	lost, err := s.missing(ctx, manifest)
	if err != nil {
		return err
	}
	if bad = union(bad, lost); len(bad) > 0 {
		metrics.Add("verify_bad_chunks", int64(len(bad)))
		if err := s.commands.Put(ctx, lostCommand{version: manifest.Version, chunks: bad}); err != nil {
			return err
		}
		return &BadChunksError{Version: manifest.Version, Chunks: bad}
	}
	if core.Digest(weightsHash.Sum(nil)) != manifest.Whole {
		return fmt.Errorf("verify %s: %w", manifest.Version, ErrDigestMismatch)
	}
	return nil
}

// missing returns the chunks that are not in the staging now, including those
// that it lost after they were read back.
func (s *Spreader) missing(ctx context.Context, manifest *core.Manifest) ([]int, error) {
	callCtx, cancel := context.WithTimeout(ctx, stagingTimeout)
	defer cancel()
	staged, err := s.config.Staging.List(callCtx, manifest.Version)
	if err != nil {
		return nil, fmt.Errorf("verify %s: %w", manifest.Version, err)
	}
	stored := make(map[int]bool, len(staged))
	for _, chunk := range staged {
		stored[chunk] = true
	}
	var lost []int
	for chunk := range manifest.Chunks {
		if !stored[chunk] {
			lost = append(lost, chunk)
		}
	}
	return lost, nil
}

// union returns the chunks of both lists, ascending.
func union(a, b []int) []int {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}

// verifyWithRetry retries verifyChunk when the staging does not answer.
func (s *Spreader) verifyWithRetry(ctx context.Context, manifest *core.Manifest, chunk int, weightsHash hash.Hash) (bool, error) {
	for try := 1; ; try++ {
		ok, err := s.verifyChunk(ctx, manifest, chunk, weightsHash)
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

// verifyChunk adds one staged chunk to weightsHash and reports whether the
// chunk matches its digest.
func (s *Spreader) verifyChunk(ctx context.Context, manifest *core.Manifest, chunk int, weightsHash hash.Hash) (bool, error) {
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
	weightsHash.Write(data)
	return true, nil
}
