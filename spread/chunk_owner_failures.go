package spread

import (
	"math"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// onFailed notes the failure and sets when the chunk is tried next.
func (p *chunkOwner) onFailed(now time.Time, e FetchFailed) {
	started := p.finish(e.Chunk)
	record := &p.chunks[e.Chunk]
	if record.state == chunkHeld {
		return
	}
	record.state = chunkWanted
	delay := p.noteFailure(now, e, now.Sub(started))
	p.delayed.add(e.Chunk, now.Add(delay))
}

// noteFailure returns how long to wait before the next attempt.
func (p *chunkOwner) noteFailure(now time.Time, e FetchFailed, after time.Duration) time.Duration {
	record := &p.chunks[e.Chunk]
	if e.Source.IsOrigin() {
		return p.noteOriginFailure(now, record, e.Failure)
	}
	switch e.Failure {
	case FailureLocal:
		return ownerRetry
	case FailureMissing:
		return p.noteMissing(e.Chunk, after)
	case FailureCorrupt:
		p.suspect(e.Source.Peer, now)
	case FailureTimeout:
		p.suspect(e.Source.Peer, now)
	default:
		countUp(&record.climb)
	}
	countUp(&record.attempts)
	record.misses = 0
	return p.backOff(record.attempts)
}

// noteMissing passes a source over that has nothing for long. A source that
// kept the request for the whole wait expects the chunk itself and gets more
// patience than one that answers at once; one taken by chance gets none.
func (p *chunkOwner) noteMissing(chunk int, after time.Duration) time.Duration {
	record := &p.chunks[chunk]
	waited := after >= p.wait(chunk)
	record.misses += ownerQuickMiss
	if waited {
		record.misses -= ownerQuickMiss - 1
	}
	limit := p.tuning.Timeouts.PeerMisses
	if record.class == classCross {
		limit = p.tuning.Timeouts.CrossMisses
	}
	if record.guess || record.misses >= limit {
		record.misses = 0
		countUp(&record.attempts)
		if !record.guess {
			countUp(&record.climb)
		}
	}
	if waited {
		return 0
	}
	return p.jitter(ownerRetry)
}

func (p *chunkOwner) noteOriginFailure(now time.Time, record *chunkRecord, failure Failure) time.Duration {
	switch failure {
	case FailureTimeout:
		p.suspect(originSuspect, now)
		countUp(&record.attempts)
	case FailureCorrupt:
		countUp(&record.draws)
	}
	return p.backOff(record.draws)
}

// suspect avoids a source that failed.
func (p *chunkOwner) suspect(id core.VMID, now time.Time) {
	p.suspects.add(id, now, p.tuning.Timeouts.HoldOff, p.tuning.Timeouts.MaxHoldOff)
}

// backOff doubles from ownerRetry to MaxRetry; the first retry is immediate.
func (p *chunkOwner) backOff(failures uint8) time.Duration {
	if failures <= 1 {
		return p.jitter(ownerRetry / 4)
	}
	doublings := min(failures-2, 8)
	return p.jitter(min(ownerRetry<<doublings, p.tuning.Timeouts.MaxRetry))
}

// jitter returns between half of d and d.
func (p *chunkOwner) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.chance.Int64N(int64(d/2)+1))
}

// counterWrap is where a full counter goes on: far enough for all patience to
// be over, and with room for whole rounds of ownerGuessEach.
const counterWrap = 16 * ownerGuessEach

func countUp(counter *uint8) {
	if *counter == math.MaxUint8 {
		*counter = counterWrap
		return
	}
	*counter++
}
