package spread

import (
	"math"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// onFailed records the failure and schedules the next attempt.
func (p *chunkOwner) onFailed(now time.Time, e FetchFailed) {
	started := p.finish(e.Chunk)
	record := &p.chunks[e.Chunk]
	if record.state == chunkStored {
		return
	}
	record.state = chunkNeeded
	delay := p.handleFailure(now, e, now.Sub(started))
	p.delayed.add(e.Chunk, now.Add(delay))
}

// handleFailure updates the state of the chunk and its source, and returns the
// delay before the next attempt.
func (p *chunkOwner) handleFailure(now time.Time, e FetchFailed, after time.Duration) time.Duration {
	record := &p.chunks[e.Chunk]
	if e.Source.IsOrigin() {
		return p.handleOriginFailure(now, record, e.Failure)
	}
	switch e.Failure {
	case FailureLocal:
		return ownerRetry
	case FailureMissing:
		return p.handleMissing(now, e.Chunk, after)
	case FailureCorrupt:
		p.suspect(e.Source.Peer, now)
	case FailureTimeout:
		p.suspect(e.Source.Peer, now)
	default:
		increment(&record.skippedAncestors)
	}
	increment(&record.attempts)
	record.misses = 0
	return p.backOff(record.attempts)
}

// handleMissing skips a source that repeatedly does not have the chunk. A
// source that held the request for the full wait is itself about to receive
// the chunk, so it is given more attempts than one that answers at once. A
// source picked at random is given one.
func (p *chunkOwner) handleMissing(now time.Time, chunk int, after time.Duration) time.Duration {
	record := &p.chunks[chunk]
	waited := after >= p.wait(chunk)
	if !waited && !record.guess && p.originJustReturned(now) {
		return p.jitter(ownerRetry)
	}
	record.misses += ownerQuickMissWeight
	if waited {
		record.misses -= ownerQuickMissWeight - 1
	}
	limit := p.tuning.Timeouts.PeerMisses
	if record.class == classCross {
		limit = p.tuning.Timeouts.CrossMisses
	}
	if record.guess || record.misses >= limit {
		record.misses = 0
		increment(&record.attempts)
		if !record.guess {
			increment(&record.skippedAncestors)
		}
	}
	switch {
	case waited:
		return 0
	case record.guess && record.class == classPeer:
		return p.backOff(record.attempts) // the head of many chunks, which rejects all of them alike
	default:
		return p.jitter(ownerRetry)
	}
}

// originJustReturned reports whether the origin has answered this machine for less than PeerWait after
// an outage. Heads that it has not answered yet reject the requests of others at once, and will have their
// chunks soon.
func (p *chunkOwner) originJustReturned(now time.Time) bool {
	return !p.originFailed && !p.originReturnedAt.IsZero() && now.Sub(p.originReturnedAt) < p.tuning.Timeouts.PeerWait
}

func (p *chunkOwner) handleOriginFailure(now time.Time, record *chunkRecord, failure Failure) time.Duration {
	switch failure {
	case FailureTimeout:
		p.originFailed = true
		p.suspect(originSuspect, now)
		increment(&record.attempts)
	case FailureCorrupt:
		increment(&record.originFailures)
	}
	return p.backOff(record.originFailures)
}

// suspect starts or extends the hold-off of a source that failed.
func (p *chunkOwner) suspect(id core.VMID, now time.Time) {
	p.suspects.add(id, now, p.tuning.Timeouts.HoldOff, p.tuning.Timeouts.MaxHoldOff)
}

// backOff returns a delay that doubles from ownerRetry to MaxRetry; the first
// retry is almost immediate.
func (p *chunkOwner) backOff(failures uint8) time.Duration {
	if failures <= 1 {
		return p.jitter(ownerFirstRetry)
	}
	doublings := min(failures-2, ownerMaxDoublings)
	return p.jitter(min(ownerRetry<<doublings, p.tuning.Timeouts.MaxRetry))
}

// jitter returns a random duration between d/2 and d.
func (p *chunkOwner) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.random.Int64N(int64(d/2)+1))
}

// counterWrap is the value at which a full counter continues. It is above every
// attempt limit and a multiple of ownerGuessInterval, so that the cycle of
// attempts continues.
const counterWrap = 16 * ownerGuessInterval

func increment(counter *uint8) {
	if *counter == math.MaxUint8 {
		*counter = counterWrap
		return
	}
	*counter++
}
