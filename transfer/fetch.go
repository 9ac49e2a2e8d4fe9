package transfer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/zinniaseam/zinniaseam/adapters/origin"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/spread"
)

// Errors of a fetch.
var (
	errMissing = errors.New("transfer: peer does not have the chunk")
	errCorrupt = errors.New("transfer: chunk is corrupt")
	errStalled = errors.New("transfer: no data within the timeout")
	// errNoProgress means that the source has only sent heartbeats.
	errNoProgress = errors.New("transfer: heartbeats without data")
	errLocal      = errors.New("transfer: chunk could not be staged on this machine")
)

// watchdog cancels a context when no progress is made for too long.
type watchdog struct {
	timer  *time.Timer
	allow  time.Duration
	cancel context.CancelCauseFunc
}

// newWatchdog returns a watchdog that fires after first, unless it is reset, and
// after allow from each reset on. The context then ends with the cause.
func newWatchdog(ctx context.Context, first, allow time.Duration, cause error) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{allow: allow, cancel: cancel}
	w.timer = time.AfterFunc(first, func() { cancel(cause) })
	return ctx, w
}

// heartbeatTimeouts is for how many timeouts a source may send heartbeats without data, apart
// from the wait that it was granted. A source that is itself stuck would hold the chunk for
// ever; another one may have it.
const heartbeatTimeouts = 4

func (w *watchdog) reset() { w.timer.Reset(w.allow) }
func (w *watchdog) pause() { w.timer.Stop() }
func (w *watchdog) stop()  { w.timer.Stop(); w.cancel(nil) }

// fetch carries out one fetch: it receives, checks and stages the chunk.
func (s *Spreader) fetch(r *run, fetch spread.Fetch) result {
	res := result{run: r, fetch: fetch}
	_, length := r.manifest.ChunkRange(fetch.Chunk)
	data, err := s.receive(r, fetch, length, &res)
	if data != nil {
		defer s.receiving.Release(s.weight(length))
	}
	if err == nil {
		err = s.store(r, fetch.Chunk, data)
	}
	if err != nil {
		res.err, res.failure = err, failureOf(err)
		countFailure(res.failure)
		return res
	}
	res.ok = true
	metrics.Add("chunks_staged", 1)
	return res
}

// weight is the part of the receive budget that a chunk uses. A chunk larger
// than the budget uses all of it.
func (s *Spreader) weight(length int64) int64 { return min(length, s.config.ReceiveBytes) }

func (s *Spreader) receive(r *run, fetch spread.Fetch, length int64, res *result) ([]byte, error) {
	if fetch.Source.IsOrigin() {
		return s.receiveFromOrigin(r, fetch, length, &res.bytes)
	}
	return s.receiveFromPeer(r, fetch, length, res)
}

func (s *Spreader) receiveFromOrigin(r *run, fetch spread.Fetch, length int64, received *int64) ([]byte, error) {
	if s.config.Origin == nil {
		return nil, errors.New("transfer: no origin configured")
	}
	if err := s.receiving.Acquire(r.ctx, s.weight(length)); err != nil {
		return nil, err
	}
	data := make([]byte, length)
	ctx, stall := newWatchdog(r.ctx, fetch.Timeout, fetch.Timeout, errStalled)
	defer stall.stop()
	offset, _ := r.manifest.ChunkRange(fetch.Chunk)
	err := s.config.Origin.ReadRange(ctx, r.manifest.Version, offset, data, func(n int) error {
		*received += int64(n)
		metrics.Add("origin_bytes", int64(n))
		stall.pause()
		defer stall.reset()
		if err := s.originPacer.wait(ctx, n); err != nil {
			return err
		}
		return s.download.wait(ctx, n)
	})
	return data, err
}

func (s *Spreader) receiveFromPeer(r *run, fetch spread.Fetch, length int64, res *result) ([]byte, error) {
	client, err := s.config.Dial(fetch.Source.Peer)
	if err != nil {
		return nil, err
	}
	ctx, stall := newWatchdog(r.ctx, fetch.Timeout, fetch.Timeout, errStalled)
	defer stall.stop()
	ctx, progress := newWatchdog(ctx, fetch.Wait+heartbeatTimeouts*fetch.Timeout, heartbeatTimeouts*fetch.Timeout, errNoProgress)
	defer progress.stop()
	digest := r.manifest.Chunks[fetch.Chunk]
	stream, err := client.FetchChunk(ctx, &peerpb.ChunkRequest{
		Version: string(r.manifest.Version), Index: uint32(fetch.Chunk), Digest: digest[:],
		WaitMs: uint32(fetch.Wait / time.Millisecond), Requester: string(s.config.Self.ID), RequesterRegion: string(s.config.Self.Region),
		MaxRate: uint64(s.config.FetchRate),
	})
	if err != nil {
		return nil, err
	}
	first, err := firstPart(stream, stall)
	if err != nil {
		return nil, err
	}
	stall.pause()
	progress.pause()
	if err := s.receiving.Acquire(ctx, s.weight(length)); err != nil {
		return nil, err
	}
	progress.reset()
	started := time.Now()
	defer func() { res.transfer = time.Since(started) }()
	data := make([]byte, 0, length)
	return s.readParts(ctx, stream, first, data, watchdogs{stall: stall, progress: progress}, &res.bytes)
}

// firstPart skips the empty parts that a waiting server sends as heartbeats.
func firstPart(stream grpc.ServerStreamingClient[peerpb.ChunkPart], stall *watchdog) (*peerpb.ChunkPart, error) {
	for {
		part, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return nil, errMissing
		case err != nil:
			return nil, err
		case part.GetMissing():
			return nil, errMissing
		case len(part.GetData()) > 0:
			return part, nil
		}
		stall.reset()
	}
}

// watchdogs are those of one fetch: stall is reset by any part, progress by data.
type watchdogs struct{ stall, progress *watchdog }

// readParts appends parts until the stream ends. The error wraps errCorrupt when
// the chunk exceeds its length in the manifest.
func (s *Spreader) readParts(ctx context.Context, stream grpc.ServerStreamingClient[peerpb.ChunkPart], part *peerpb.ChunkPart, data []byte, watch watchdogs, received *int64) ([]byte, error) {
	for {
		n := len(part.GetData())
		if n > partBytes || len(data)+n > cap(data) {
			return data, fmt.Errorf("%w: part of %d bytes after %d of %d", errCorrupt, n, len(data), cap(data))
		}
		data = append(data, part.GetData()...)
		*received += int64(n)
		metrics.Add("peer_bytes", int64(n))
		watch.stall.pause()
		if n > 0 {
			watch.progress.pause()
		}
		if err := s.download.wait(ctx, n); err != nil {
			return data, err
		}
		watch.stall.reset()
		if n > 0 {
			watch.progress.reset()
		}
		next, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
		part = next
	}
}

// store checks the digest and stages the chunk. It fails when another version
// has become the target version.
func (s *Spreader) store(r *run, chunk int, data []byte) error {
	digest := r.manifest.Chunks[chunk]
	if got := core.DigestOf(data); got != digest {
		return fmt.Errorf("%w: digest is %s, want %s", errCorrupt, got, digest)
	}
	ctx, cancel := context.WithTimeout(r.ctx, stagingTimeout)
	defer cancel()
	if err := s.config.Staging.Put(ctx, r.manifest.Version, chunk, data); err != nil {
		s.log.Warn("Staging a chunk failed; fetching it again.", "version", r.manifest.Version, "chunk", chunk, "err", err)
		return errLocal
	}
	s.cache.add(digest, data)
	return nil
}

func failureOf(err error) spread.Failure {
	var limited *origin.LimitedError
	switch {
	case errors.Is(err, errMissing):
		return spread.FailureMissing
	case errors.Is(err, errCorrupt):
		return spread.FailureCorrupt
	case errors.Is(err, errLocal):
		return spread.FailureLocal
	case errors.As(err, &limited), status.Code(err) == codes.ResourceExhausted:
		return spread.FailureLimited
	default:
		return spread.FailureTimeout
	}
}

func countFailure(failure spread.Failure) { metrics.Add("fetch_failed_"+failure.String(), 1) }
