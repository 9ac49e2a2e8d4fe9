package claims

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// apply uses the head that was read: as the base of the next commit, or to resolve a
// swap whose outcome is unknown.
func (l headLoaded) apply(p *partition) {
	if !p.storeCallEnded(l.err) {
		return
	}
	h, list, err := decodeHead(l.value)
	if err != nil {
		p.storeFailed()
		p.openCircuit()
		return
	}
	if p.inFlight != nil {
		p.readBack(h, list, l)
		return
	}
	p.adopt(h, list, l.revision)
}

// adopt makes the head that was read the base of the next commit.
func (p *partition) adopt(h head, list []claim, revision uint64) {
	p.reset()
	p.head = h
	p.revision = revision
	for _, c := range list {
		p.recent.add(c)
	}
	p.stage = stageLoading
	p.nextSegment = 0
}

// loadNextSegment reads the segments one by one and then rechecks the queue.
func (p *partition) loadNextSegment() {
	if p.nextSegment < len(p.head.Segments) {
		p.openStoreCall(loadSegment{name: p.head.Segments[p.nextSegment].Name})
		return
	}
	p.stage = stageReady
	p.recheckQueue()
	p.advance()
}

// apply adds one segment. If its revision differs from the one in the head, the
// segment was replaced after the head was read, and the head is read again.
func (l segmentLoaded) apply(p *partition) {
	if !p.storeCallEnded(l.err) {
		return
	}
	if p.seal != nil {
		p.sealReadBack(l)
		return
	}
	if p.stage != stageLoading {
		return
	}
	_, list, err := decodeSegment(l.value)
	if err != nil || l.revision != p.head.Segments[p.nextSegment].Revision {
		p.reset()
		p.storeFailed()
		return
	}
	p.sealed.add(list)
	p.nextSegment++
}

// nextCommitID returns the ID of the next write of this process.
func (p *partition) nextCommitID() commitID {
	p.sequence++
	id := commitID{
		Owner: p.self, Incarnation: p.incarnation, Process: p.process,
		Epoch: p.head.Group.Epoch, Sequence: p.sequence,
	}
	if !p.owned {
		id.Epoch++
	}
	return id
}

// startCommit writes the head with the queued claims and all known outcomes.
func (p *partition) startCommit() {
	count := min(len(p.queue), p.config.MaxGroup)
	group := p.queue[:count:count]
	p.queue = p.queue[count:]
	for _, a := range group {
		a.state = attemptCommitting
		p.recent.add(claim{key: a.key, fingerprint: a.fingerprint, keyTime: a.keyTime})
	}
	p.recent.trimAnswers(p.config.KeepClaims)
	h := p.head
	h.Group = p.nextCommitID()
	h.Free = slices.Concat(h.Free, p.freed)
	p.freed = nil
	h.Released = p.closing() && len(p.attempts) == 0
	p.inFlight = &commit{head: h, value: encodeHead(h, p.recent.list), previous: p.revision, attempts: group, answers: p.delayed}
	p.delayed = nil
	p.dirtySince = time.Time{}
	p.continueCommit()
}

// continueCommit swaps the head, or reads it back after the store rejected the swap. A
// swap whose response was lost is retried against the same revision, so at most one of
// the two takes effect.
func (p *partition) continueCommit() {
	if p.inFlight.readBack {
		p.openStoreCall(loadHead{})
		return
	}
	p.openStoreCall(swapHead{value: p.inFlight.value, previous: p.inFlight.previous})
}

// apply completes the commit if the swap took effect. Otherwise the head is read back.
func (s headSwapped) apply(p *partition) {
	if !p.storeCallEnded(s.err) {
		return
	}
	if s.swapped {
		p.committed(s.revision)
		return
	}
	p.inFlight.readBack = true
}

// committed starts the calls whose claims are now known to be stored in the platform.
func (p *partition) committed(revision uint64) {
	done := p.inFlight
	p.inFlight = nil
	p.head = done.head
	p.revision = revision
	p.owned = !done.head.Released
	p.sealDone = false
	for _, answer := range done.answers {
		p.emit(answer)
	}
	for _, a := range done.attempts {
		if p.attempts[a.key] == a && a.state == attemptCommitting {
			p.start(a)
		}
	}
	if !p.owned {
		p.reset()
	}
}

// readBack resolves the commit in flight from the content of the head.
func (p *partition) readBack(h head, list []claim, l headLoaded) {
	switch {
	case h.Group == p.inFlight.head.Group:
		p.committed(l.revision)
	case p.rolledBack(h, l.revision):
		p.inFlight.previous = l.revision
		p.inFlight.readBack = false
	default:
		p.commitLost(h, list, l.revision)
	}
}

// rolledBack reports whether the store was restored to an older state that is empty or
// was written by this process. The claims in memory include everything in that state.
func (p *partition) rolledBack(h head, revision uint64) bool {
	if !p.owned || revision >= p.inFlight.previous {
		return false
	}
	return revision == 0 || h.Group.Owner == p.self && h.Group.Process == p.process
}

// commitLost ends a commit that cannot take effect any more because another process
// has written the head. None of its calls was started.
func (p *partition) commitLost(h head, list []claim, revision uint64) {
	lost := p.inFlight
	p.inFlight = nil
	for _, answer := range lost.answers {
		p.emit(answer)
	}
	p.flushDelayed()
	var requeued []*attempt
	for _, a := range lost.attempts {
		if p.attempts[a.key] == a && a.state == attemptCommitting {
			a.state = attemptQueued
			requeued = append(requeued, a)
		}
	}
	p.queue = append(requeued, p.queue...)
	owner := h.owner()
	if owner == "" || owner == p.self || h.Group.Epoch < lost.head.Group.Epoch {
		// No other process has taken the partition over: the former owner wrote once
		// more, for example to record its last outcomes before it stops.
		p.adopt(h, list, revision)
		return
	}
	p.lostTo = owner
	p.lostUntil = p.now.Add(p.config.HoldOff)
	p.rejectUnstarted(func() *core.Refusal { return p.notHomeRefusal() })
	p.reset()
}

// flushDelayed sends the delayed answers although their outcomes can no longer be
// written.
func (p *partition) flushDelayed() {
	for _, answer := range p.delayed {
		p.emit(answer)
	}
	p.delayed = nil
}
