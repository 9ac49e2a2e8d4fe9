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

// ServeChunk answers the FetchChunk call of a peer. It waits up to the asked
// time for a chunk that is still to come.
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
	want := core.Digest(req.GetDigest())
	available, err := s.available(req, want, stream)
	if err != nil {
		return err
	}
	if !available {
		return sendMissing(stream)
	}
	return s.serveAvailable(req, want, stream, link)
}

// linkTo returns the share of the link to a region, nil within this one. Only
// gateways send across regions, so that their shares add up to the budget.
func (s *Spreader) linkTo(region core.RegionID) (*regionLink, bool) {
	if region == s.config.Self.Region {
		return nil, true
	}
	return s.regions.get(region)
}

// serveAvailable sends a chunk that is held, when a slot is free.
func (s *Spreader) serveAvailable(req *peerpb.ChunkRequest, want core.Digest, stream peerpb.Endpoint_FetchChunkServer, link *regionLink) error {
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
	data, err := s.load(stream.Context(), req, want)
	if err != nil {
		s.reportLost(req, err)
		return sendMissing(stream)
	}
	receiver := newPacer(int64(req.GetMaxRate()), s.config.PartBytes)
	return s.send(stream, data, paces{upload: s.upload, receiver: receiver, link: link}, slot)
}

// paces are the budgets that the sending of one chunk keeps to.
type paces struct {
	upload, receiver *pacer
	// link is that of the other region, nil within this one.
	link *regionLink
}

func sendMissing(stream peerpb.Endpoint_FetchChunkServer) error {
	metrics.Add("serve_missing", 1)
	return stream.Send(&peerpb.ChunkPart{Missing: true})
}

// available waits until the chunk may be read and meanwhile tells the peer that
// it is being waited for. A chunk of a version that is not the wanted one may
// still be staged from before.
func (s *Spreader) available(req *peerpb.ChunkRequest, want core.Digest, stream peerpb.Endpoint_FetchChunkServer) (bool, error) {
	if _, cached := s.cache.get(want); cached {
		return true, nil
	}
	version := core.VersionID(req.GetVersion())
	chunk := int(req.GetIndex())
	if digest, known := s.board.knownDigest(version, chunk); known && digest != want {
		return false, nil
	}
	if s.formerVersion(version) {
		return true, nil
	}
	s.noteUnknown(version)
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxServeWait)
	ctx, cancel := context.WithTimeout(stream.Context(), wait)
	defer cancel()
	for {
		wake, state := s.board.look(version, chunk)
		if state != chunkExpected {
			return state == chunkHeld, nil
		}
		if s.board.passesOn(core.VMID(req.GetRequester())) {
			return false, nil
		}
		if err := waitWithHeartbeat(ctx, wake, stream); err != nil {
			return false, stream.Context().Err()
		}
	}
}

// noteUnknown tells of a version that a peer knows and this machine does not.
func (s *Spreader) noteUnknown(version core.VersionID) {
	_, wanted := s.board.wanted(version)
	if !wanted && s.config.OnUnknownVersion != nil && s.unknown.Allow() {
		metrics.Add("version_from_peer", 1)
		s.config.OnUnknownVersion()
	}
}

// waitWithHeartbeat waits for wake and sends an empty part each
// heartbeatInterval, so that the peer can tell a waiting server from a dead one.
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

// formerVersion reports whether the version was wanted here before the present one.
func (s *Spreader) formerVersion(version core.VersionID) bool {
	if _, wanted := s.board.wanted(version); wanted {
		return false
	}
	_, known := s.Progress(version)
	return known
}

// load reads a chunk from the cache or the staging and checks its digest.
func (s *Spreader) load(ctx context.Context, req *peerpb.ChunkRequest, want core.Digest) ([]byte, error) {
	if data, ok := s.cache.get(want); ok {
		return data, nil
	}
	ctx, cancel := context.WithTimeout(ctx, stagingTimeout)
	defer cancel()
	data, err := s.config.Staging.Get(ctx, core.VersionID(req.GetVersion()), int(req.GetIndex()))
	if err != nil {
		return nil, err
	}
	if core.DigestOf(data) != want {
		metrics.Add("serve_bad_digest", 1)
		return nil, errCorrupt
	}
	s.cache.add(want, data)
	return data, nil
}

// reportLost has a chunk fetched again that the staging lost or damaged. When
// the ring is full, the next request or the check of the whole finds it again.
func (s *Spreader) reportLost(req *peerpb.ChunkRequest, err error) {
	if errors.Is(err, ErrNotStaged) || errors.Is(err, errCorrupt) {
		s.commands.Offer(lostCommand{version: core.VersionID(req.GetVersion()), chunks: []int{int(req.GetIndex())}})
	}
}

// send streams a chunk in parts, paced by the upload budget, by what the receiver
// can take and, across regions, by the link's budget.
func (s *Spreader) send(stream peerpb.Endpoint_FetchChunkServer, data []byte, by paces, slot *uploadSlot) error {
	for len(data) > 0 {
		n := min(s.config.PartBytes, len(data))
		if by.link != nil {
			n = min(regionPartBytes, n)
		}
		slot.pause()
		if err := paceWithHeartbeat(stream, by.receiver, n); err != nil {
			return err
		}
		if err := s.paceUpload(stream, by, n); err != nil {
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

// paceUpload takes n bytes of the budget of the link to another region, or of
// this machine's.
func (s *Spreader) paceUpload(stream peerpb.Endpoint_FetchChunkServer, by paces, n int) error {
	if by.link == nil {
		return paceWithHeartbeat(stream, by.upload, n)
	}
	if err := paceWithHeartbeat(stream, by.link.pace, n); err != nil {
		return err
	}
	metrics.Add("region_bytes", int64(n))
	// What goes to another region is passed on there by many: it does not wait
	// for what goes to the own zone.
	by.upload.spend(n)
	return nil
}

// paceWithHeartbeat takes n tokens. While the budget is paused or spent for
// longer, it shows the peer that the transfer goes on.
func paceWithHeartbeat(stream peerpb.Endpoint_FetchChunkServer, pace *pacer, n int) error {
	for {
		ctx, cancel := context.WithTimeout(stream.Context(), heartbeatInterval)
		err := pace.wait(ctx, n)
		if err != nil {
			// The limiter refuses at once what would take longer.
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
