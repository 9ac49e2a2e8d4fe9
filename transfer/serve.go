package transfer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// ServeChunk serves the FetchChunk call of a peer. It waits up to the requested
// time for a chunk that has not arrived yet.
func (s *Spreader) ServeChunk(req *peerpb.ChunkRequest, stream peerpb.Endpoint_FetchChunkServer) error {
	if s.serving.Add(1) > int64(s.config.MaxServes) {
		s.serving.Add(-1)
		metrics.Add("serve_shed", 1)
		return status.Error(codes.ResourceExhausted, "too many chunk requests")
	}
	defer s.serving.Add(-1)
	if len(req.GetDigest()) != len(core.Digest{}) || req.GetIndex() >= core.MaxManifestChunks {
		return status.Error(codes.InvalidArgument, "bad chunk request")
	}
	link, mayServe := s.linkTo(core.RegionID(req.GetRequesterRegion()))
	if !mayServe {
		return sendMissing(stream)
	}
	digest := core.Digest(req.GetDigest())
	available, err := s.available(req, digest, stream)
	if err != nil {
		return err
	}
	if !available {
		return sendMissing(stream)
	}
	return s.serveAvailable(req, digest, stream, link)
}

// linkTo returns this machine's share of the link to a region; nil for its own
// region. Only gateways send across regions, so that their shares add up to the
// budget.
func (s *Spreader) linkTo(region core.RegionID) (*regionLink, bool) {
	if region == s.config.Self.Region {
		return nil, true
	}
	return s.regions.get(region)
}

// serveAvailable sends a chunk that is available, as soon as a slot is free.
func (s *Spreader) serveAvailable(req *peerpb.ChunkRequest, digest core.Digest, stream peerpb.Endpoint_FetchChunkServer, link *regionLink) error {
	slots := s.slots
	if link != nil {
		slots = link.slots
		defer s.regions.use(link, core.VMID(req.GetRequester()))()
	}
	slot, err := slots.acquire(stream)
	if err != nil {
		return err
	}
	defer slot.release()
	data, err := s.load(stream.Context(), req, digest)
	if err != nil {
		s.reportLost(req, err)
		return sendMissing(stream)
	}
	receiver := newPacer(int64(req.GetMaxRate()), s.config.PartBytes)
	return s.send(stream, data, sendPacers{upload: s.upload, receiver: receiver, link: link}, slot)
}

// sendPacers are the rate limits that apply to sending one chunk.
type sendPacers struct {
	upload, receiver *pacer
	// link is the link to the other region; nil within this region.
	link *regionLink
}

func sendMissing(stream peerpb.Endpoint_FetchChunkServer) error {
	metrics.Add("serve_missing", 1)
	return stream.Send(&peerpb.ChunkPart{Missing: true})
}

// available waits until the chunk can be read, and sends the peer heartbeats
// meanwhile. A chunk of a version that is no longer the target version may
// still be staged.
func (s *Spreader) available(req *peerpb.ChunkRequest, digest core.Digest, stream peerpb.Endpoint_FetchChunkServer) (bool, error) {
	if _, cached := s.cache.get(digest); cached {
		return true, nil
	}
	version := core.VersionID(req.GetVersion())
	chunk := int(req.GetIndex())
	if targetDigest, known := s.tracker.targetDigest(version, chunk); known && targetDigest != digest {
		return false, nil
	}
	if s.isFormerVersion(version) {
		return true, nil
	}
	s.reportUnknownVersion(version)
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxServeWait)
	ctx, cancel := context.WithTimeout(stream.Context(), wait)
	defer cancel()
	for {
		wake, state := s.tracker.lookup(version, chunk)
		if state != chunkExpected {
			return state == chunkStored, nil
		}
		if s.tracker.rejectsWaiters(core.VMID(req.GetRequester())) {
			return false, nil
		}
		if err := waitWithHeartbeat(ctx, wake, stream); err != nil {
			return false, stream.Context().Err()
		}
	}
}

// reportUnknownVersion calls OnUnknownVersion when a peer requests a version
// that is not the target version.
func (s *Spreader) reportUnknownVersion(version core.VersionID) {
	_, isTarget := s.tracker.target(version)
	if !isTarget && s.config.OnUnknownVersion != nil && s.unknownLimiter.Allow() {
		metrics.Add("version_from_peer", 1)
		s.config.OnUnknownVersion()
	}
}

// waitWithHeartbeat waits for wake and sends an empty part every
// heartbeatInterval, so that the peer can tell a waiting server from a dead
// one.
func waitWithHeartbeat(ctx context.Context, wake <-chan struct{}, stream peerpb.Endpoint_FetchChunkServer) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-wake:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if err := stream.Send(&peerpb.ChunkPart{}); err != nil {
				return err
			}
		}
	}
}

// isFormerVersion reports whether the version was the target version before the
// current one.
func (s *Spreader) isFormerVersion(version core.VersionID) bool {
	if _, isTarget := s.tracker.target(version); isTarget {
		return false
	}
	_, known := s.Progress(version)
	return known
}

// load reads a chunk from the cache or the staging and checks its digest.
func (s *Spreader) load(ctx context.Context, req *peerpb.ChunkRequest, digest core.Digest) ([]byte, error) {
	if data, ok := s.cache.get(digest); ok {
		return data, nil
	}
	ctx, cancel := context.WithTimeout(ctx, stagingTimeout)
	defer cancel()
	data, err := s.config.Staging.Get(ctx, core.VersionID(req.GetVersion()), int(req.GetIndex()))
	if err != nil {
		return nil, err
	}
	if core.DigestOf(data) != digest {
		metrics.Add("serve_bad_digest", 1)
		return nil, errCorrupt
	}
	s.cache.add(digest, data)
	return data, nil
}

// reportLost triggers another fetch of a chunk that the staging lost or
// corrupted. When the ring is full the report is dropped; the next request for
// the chunk or Verify finds the chunk again.
func (s *Spreader) reportLost(req *peerpb.ChunkRequest, err error) {
	if errors.Is(err, ErrNotStaged) || errors.Is(err, errCorrupt) {
		s.commands.Offer(lostCommand{version: core.VersionID(req.GetVersion()), chunks: []int{int(req.GetIndex())}})
	}
}

// send streams a chunk in parts, limited by the upload budget, by the
// receiver's rate and, across regions, by the budget of the link.
func (s *Spreader) send(stream peerpb.Endpoint_FetchChunkServer, data []byte, by sendPacers, slot *uploadSlot) error {
	for len(data) > 0 {
		n := min(s.config.PartBytes, len(data))
		if by.link != nil {
			n = min(regionPartBytes, n)
		}
		slot.pause()
		if err := waitForTokens(stream, by.receiver, n); err != nil {
			return err
		}
		if err := s.waitForUpload(stream, by, n); err != nil {
			return err
		}
		slot.progress()
		if err := stream.Send(&peerpb.ChunkPart{Data: data[:n]}); err != nil {
			return err
		}
		metrics.Add("upload_bytes", int64(n))
		data = data[n:]
	}
	return nil
}

// waitForUpload takes n bytes from the budget of the link to another region, or
// from this machine's upload budget.
func (s *Spreader) waitForUpload(stream peerpb.Endpoint_FetchChunkServer, by sendPacers, n int) error {
	if by.link == nil {
		return waitForTokens(stream, by.upload, n)
	}
	if err := waitForTokens(stream, by.link.pacer, n); err != nil {
		return err
	}
	metrics.Add("region_bytes", int64(n))
	// Many machines of the other region depend on this chunk, so it does not wait
	// for uploads within this region.
	by.upload.takeWithoutWaiting(n)
	return nil
}

// waitForTokens takes n tokens. While the budget is paused or exhausted, it
// sends heartbeats to the peer.
func waitForTokens(stream peerpb.Endpoint_FetchChunkServer, pacer *pacer, n int) error {
	for {
		ctx, cancel := context.WithTimeout(stream.Context(), heartbeatInterval)
		err := pacer.wait(ctx, n)
		if err != nil {
			// The limiter fails at once when the wait would exceed the deadline.
			<-ctx.Done()
		}
		cancel()
		if err == nil || stream.Context().Err() != nil {
			return err
		}
		if err := stream.Send(&peerpb.ChunkPart{}); err != nil {
			return err
		}
	}
}
