package claims

import "slices"

// sealing is the write of a segment whose outcome is not yet known.
type sealing struct {
	group    commitID
	selected []claim
	timed    bool
	// merged is the index of the segment whose claims are carried over, -1 for none.
	merged   int
	content  []claim
	value    []byte
	name     uint64
	previous uint64
	// uncertain is set if an earlier write attempt may have taken effect.
	uncertain bool
	readBack  bool
}

// sealDue reports whether the head has grown enough to seal some of its claims.
func (p *partition) sealDue() bool {
	return p.owned && !p.sealDone && len(p.recent.list) >= p.config.SealClaims
}

// startSeal writes claims of one class, with or without key times, to a segment.
// Segments are immutable: the claims of the merged segment and the new ones are
// written under another name, and the old name becomes free once a head that does not
// refer to it is committed.
func (p *partition) startSeal() {
	p.raiseFloor()
	p.dropExpired()
	p.sealDone = true
	selected, timed := p.selectClaims()
	if len(selected) == 0 {
		p.advance()
		return
	}
	s := &sealing{group: p.nextCommitID(), selected: selected, timed: timed, merged: p.mergeTarget(timed, len(selected))}
	s.content = selected
	if s.merged >= 0 {
		s.content = append(p.sealed.claims(s.merged), selected...)
	}
	s.value = encodeSegment(s.group, s.content)
	p.seal = s
	p.nameSegment()
	p.continueSeal()
}

// selectClaims returns the claims to seal: the larger class among the claims that are
// neither among the latest nor part of a running call.
func (p *partition) selectClaims() (selected []claim, timed bool) {
	var withTime, without []claim
	for _, c := range p.recent.list[:max(0, len(p.recent.list)-p.config.KeepClaims)] {
		switch {
		case p.attempts[c.key] != nil:
		case c.keyTime != 0:
			withTime = append(withTime, c)
		default:
			without = append(without, c)
		}
	}
	if len(withTime) >= len(without) {
		return withTime, true
	}
	return without, false
}

// mergeTarget returns the index of the latest segment of the class if it has room, and
// -1 otherwise.
func (p *partition) mergeTarget(timed bool, more int) int {
	for i, ref := range slices.Backward(p.head.Segments) {
		if ref.Timed == timed {
			if ref.Count+more <= p.config.SegmentClaims {
				return i
			}
			return -1
		}
	}
	return -1
}

// nameSegment assigns a free name, or a new one if none is free.
func (p *partition) nameSegment() {
	if len(p.head.Free) > 0 {
		free := p.head.Free[0]
		p.head.Free = p.head.Free[1:]
		p.seal.name, p.seal.previous = free.Name, free.Revision
		return
	}
	p.seal.name, p.seal.previous = p.head.NextName, 0
	p.head.NextName++
}

// continueSeal writes the segment, or reads it back if an earlier write attempt may
// have taken effect.
func (p *partition) continueSeal() {
	if p.seal.readBack {
		p.openStoreCall(loadSegment{name: p.seal.name})
		return
	}
	p.openStoreCall(swapSegment{name: p.seal.name, value: p.seal.value, previous: p.seal.previous})
}

// apply completes the seal, retries it, or chooses another name if a former owner of
// the partition has written a segment under the current one.
func (s segmentSwapped) apply(p *partition) {
	if !p.storeCallEnded(s.err) {
		p.seal.uncertain = true
		return
	}
	switch {
	case s.swapped:
		p.sealWritten(s.revision)
	case p.seal.uncertain:
		p.seal.readBack = true
	default:
		p.nameSegment()
	}
}

// sealReadBack resolves a segment write from the content of the segment.
func (p *partition) sealReadBack(l segmentLoaded) {
	group, _, err := decodeSegment(l.value)
	if err == nil && group == p.seal.group {
		p.sealWritten(l.revision)
		return
	}
	p.seal.readBack = false
	p.seal.uncertain = false
	p.nameSegment()
}

// sealWritten moves the claims from the head to the segment in memory; the next commit
// makes the move durable.
func (p *partition) sealWritten(revision uint64) {
	s := p.seal
	p.seal = nil
	if s.merged >= 0 {
		p.dropSegment(s.merged)
	}
	ref := segmentRef{Name: s.name, Revision: revision, Count: len(s.content), Timed: s.timed}
	selected := make(map[keyHash]bool, len(s.selected))
	for _, c := range s.selected {
		selected[c.key] = true
	}
	if s.timed {
		for _, c := range s.content {
			ref.MaxTime = max(ref.MaxTime, c.keyTime)
		}
	}
	p.head.Segments = append(slices.Clone(p.head.Segments), ref)
	p.sealed.add(s.content)
	p.recent.removeAll(func(c claim) bool { return selected[c.key] })
}

// dropSegment removes the segment at index i. Its name becomes free once a head
// without it is committed.
func (p *partition) dropSegment(i int) {
	ref := p.head.Segments[i]
	p.head.Segments = slices.Delete(slices.Clone(p.head.Segments), i, i+1)
	p.freed = append(p.freed, freeName{Name: ref.Name, Revision: ref.Revision})
	p.sealed.remove(i)
}

// raiseFloor raises the floor to the horizon, and higher if too many keys are
// remembered. The horizon is measured from the latest key time or the current time,
// whichever is earlier, so that a clock running ahead does not expire the keys of all
// callers.
func (p *partition) raiseFloor() {
	from := min(p.now.UnixMilli(), p.latestKeyTime())
	p.head.Floor = max(p.head.Floor, from-p.config.Horizon.Milliseconds())
	if p.sealed.timed >= p.config.MaxTimed && p.canRaiseFloor() {
		p.head.Floor = max(p.head.Floor, p.oldestTimed().MaxTime+1)
	}
}

// latestKeyTime returns the latest time of all remembered keys, 0 if none has a time.
func (p *partition) latestKeyTime() int64 {
	var latest int64
	for _, ref := range p.head.Segments {
		latest = max(latest, ref.MaxTime)
	}
	for _, c := range p.recent.list {
		latest = max(latest, c.keyTime)
	}
	return latest
}

// canRaiseFloor reports whether the oldest segment of keys with a time is old enough
// to be dropped before the horizon.
func (p *partition) canRaiseFloor() bool {
	oldest := p.oldestTimed()
	return oldest != nil && oldest.MaxTime < p.now.Add(-p.config.MinHorizon).UnixMilli()
}

func (p *partition) oldestTimed() *segmentRef {
	var oldest *segmentRef
	for i := range p.head.Segments {
		ref := &p.head.Segments[i]
		if ref.Timed && (oldest == nil || ref.MaxTime < oldest.MaxTime) {
			oldest = ref
		}
	}
	return oldest
}

// dropExpired removes the segments and claims that lie entirely below the floor.
func (p *partition) dropExpired() {
	for i := len(p.head.Segments) - 1; i >= 0; i-- {
		if ref := p.head.Segments[i]; ref.Timed && ref.MaxTime < p.head.Floor {
			p.dropSegment(i)
		}
	}
	p.recent.removeAll(func(c claim) bool {
		return c.keyTime != 0 && c.keyTime < p.head.Floor && p.attempts[c.key] == nil
	})
}
