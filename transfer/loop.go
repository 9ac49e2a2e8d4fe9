package transfer

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/timeline"
)

func (s *Spreader) onCommand(ctx context.Context, c command) {
	switch c := c.(type) {
	case targetCommand:
		s.onTarget(ctx, c)
	case membersCommand:
		s.setMembers(c.members)
	case lostCommand:
		s.onLost(c)
	}
}

// onTarget starts a run, unless the version is already the target version. In
// that case it requeues the chunks that the staging has lost and updates the
// members.
func (s *Spreader) onTarget(ctx context.Context, c targetCommand) {
	if r := s.current; r != nil && r.manifest.Equal(c.manifest) {
		if lost := lostChunks(r.stored, c.stored); len(lost) > 0 {
			s.onLost(lostCommand{version: r.manifest.Version, chunks: lost})
		}
		s.setMembers(c.members)
		return
	}
	s.stopCurrent()
	s.startRun(ctx, c)
}

func (s *Spreader) setMembers(members []spread.Member) {
	if s.current == nil {
		return
	}
	s.publishMembers(s.current.manifest.Version, members)
	s.step(spread.MembersChanged{Members: members})
}

// publishMembers passes the members to the goroutines that serve chunks.
func (s *Spreader) publishMembers(version core.VersionID, members []spread.Member) {
	s.regions.setMembers(version, s.config.Self, members)
	relays := map[core.VMID]bool{}
	for _, m := range members {
		if m.Relay && m.Region == s.config.Self.Region {
			relays[m.ID] = true
		}
	}
	s.tracker.setRelays(relays)
}

func lostChunks(before, now []bool) []int {
	var lost []int
	for chunk, stored := range before {
		if stored && !now[chunk] {
			lost = append(lost, chunk)
		}
	}
	return lost
}

func (s *Spreader) startRun(ctx context.Context, c targetCommand) {
	runCtx, cancel := context.WithCancel(ctx)
	r := &run{manifest: c.manifest, ctx: runCtx, cancel: cancel, stored: c.stored, started: time.Now()}
	r.startStored = r.countStored()
	r.progress = Progress{Version: c.manifest.Version, Stored: r.startStored, Total: len(c.stored)}
	r.policy = s.construct(spread.Start{
		Now: r.started, Self: s.config.Self, OriginRegion: *s.originRegion.Load(),
		Manifest: c.manifest, Stored: append([]bool(nil), c.stored...), Members: c.members, Seed: s.config.Seed,
	})
	s.current = r
	s.publishMembers(c.manifest.Version, c.members)
	s.tracker.reset(c.manifest, c.stored)
	s.record(timeline.KindSpreadStart, string(c.manifest.Version),
		fmt.Sprintf("Spread started with %d of %d chunks stored.", r.startStored, r.progress.Total))
	s.log.Info("Spread started.", "version", c.manifest.Version, "held", r.startStored, "total", r.progress.Total)
	s.checkDone()
	s.publish()
	s.step(spread.Tick{})
}

func (s *Spreader) stopCurrent() {
	if s.current != nil {
		s.current.cancel()
		s.current = nil
	}
}

// onLost marks chunks as missing, so that they are fetched again.
func (s *Spreader) onLost(c lostCommand) {
	r := s.current
	if r == nil || r.manifest.Version != c.version {
		return
	}
	for _, chunk := range c.chunks {
		if chunk < 0 || chunk >= len(r.stored) || !r.stored[chunk] {
			continue
		}
		r.stored[chunk] = false
		r.progress.Stored--
		r.progress.Done = false
		s.tracker.set(chunk, false)
		s.step(spread.ChunkLost{Chunk: chunk})
	}
	s.publish()
}

func (s *Spreader) onResult(res result) {
	s.inFlight--
	r := res.run
	if r != s.current {
		return // its version is no longer the target version
	}
	if res.fetch.Source.IsOrigin() {
		r.progress.OriginBytes += res.bytes
		s.updateOriginState(res)
	} else {
		r.progress.PeerBytes += res.bytes
	}
	if !res.ok {
		if res.failure == spread.FailureCorrupt {
			r.progress.Rejected++
			s.record(timeline.KindChunkRejected, string(r.manifest.Version),
				fmt.Sprintf("Chunk %d from %s was rejected: its digest does not match.", res.fetch.Chunk, sourceName(res.fetch.Source)))
			s.log.Warn("Chunk does not match its digest; fetching it again.", "version", r.manifest.Version, "chunk", res.fetch.Chunk, "source", sourceName(res.fetch.Source))
		}
		s.log.Debug("Fetch failed.", "version", r.manifest.Version, "chunk", res.fetch.Chunk, "source", sourceName(res.fetch.Source), "failure", res.failure, "err", res.err)
		s.publish()
		s.step(spread.FetchFailed{Chunk: res.fetch.Chunk, Source: res.fetch.Source, Failure: res.failure})
		return
	}
	if !r.stored[res.fetch.Chunk] {
		r.stored[res.fetch.Chunk] = true
		r.progress.Stored++
		s.tracker.set(res.fetch.Chunk, true)
		s.log.Debug("Chunk staged.", "version", r.manifest.Version, "chunk", res.fetch.Chunk, "source", sourceName(res.fetch.Source), "held", r.progress.Stored)
	}
	s.checkDone()
	s.publish()
	s.step(spread.ChunkStored{Chunk: res.fetch.Chunk, Source: res.fetch.Source, Transfer: res.transfer})
}

// updateOriginState tracks whether the origin responds and logs each change.
func (s *Spreader) updateOriginState(res result) {
	failed := !res.ok && res.failure == spread.FailureTimeout
	if failed == s.originFailed {
		return
	}
	s.originFailed = failed
	s.tracker.setOriginFailed(failed)
	if failed {
		s.log.Warn("Reading from the origin failed; answering waiting relays at once.", "version", res.run.manifest.Version, "chunk", res.fetch.Chunk, "err", res.err)
		return
	}
	s.log.Info("The origin responds again.", "version", res.run.manifest.Version, "chunk", res.fetch.Chunk)
}

func (s *Spreader) checkDone() {
	r := s.current
	if r.progress.Done || r.progress.Stored < r.progress.Total {
		return
	}
	r.progress.Done = true
	s.record(timeline.KindSpreadComplete, string(r.manifest.Version), "All chunks are staged.")
	s.log.Info("All chunks are staged.", "version", r.manifest.Version, "after", time.Since(r.started).Round(time.Millisecond))
	select {
	case <-s.staged:
	default:
	}
	s.staged <- r.manifest
}

// publish makes the progress visible to other goroutines.
func (s *Spreader) publish() {
	r := s.current
	s.progressMu.Lock()
	defer s.progressMu.Unlock()
	if _, known := s.progress[r.manifest.Version]; !known && len(s.progress) >= maxProgress {
		clear(s.progress)
	}
	progress := r.progress
	progress.TimeLeft = r.timeLeft(time.Now())
	s.progress[r.manifest.Version] = progress
}

// step passes one event to the policy and starts the fetches that it returns. A
// fetch beyond MaxInFlight fails at once with FailureLocal.
func (s *Spreader) step(event spread.Event) {
	r := s.current
	if r == nil {
		return
	}
	fetches := r.policy.Step(time.Now(), event)
	for len(fetches) > 0 {
		fetch := fetches[0]
		fetches = fetches[1:]
		if s.inFlight < s.config.MaxInFlight {
			s.startFetch(r, fetch)
			continue
		}
		metrics.Add("fetch_shed", 1)
		failed := spread.FetchFailed{Chunk: fetch.Chunk, Source: fetch.Source, Failure: spread.FailureLocal}
		fetches = append(fetches, r.policy.Step(time.Now(), failed)...)
	}
}

func (s *Spreader) startFetch(r *run, fetch spread.Fetch) {
	s.inFlight++
	s.fetchers.Add(1)
	go func() {
		defer s.fetchers.Done()
		res := s.fetch(r, fetch)
		if !s.results.Offer(res) {
			panic("transfer: result ring is full although fetches in flight are limited to its size")
		}
	}()
}

func sourceName(source spread.Source) string {
	if source.IsOrigin() {
		return "origin"
	}
	return string(source.Peer)
}
