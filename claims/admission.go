package claims

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// fullRetryAfter is the retry-after hint for calls rejected because the ledger is
// full.
const fullRetryAfter = time.Minute

// immediateResult is the final result of a call whose key may not be claimed: an
// answer or a refusal.
type immediateResult struct {
	answer  *Answer
	refusal *core.Refusal
}

func rejectWith(r *core.Refusal) *immediateResult { return &immediateResult{refusal: r} }

// checkClaimable returns the result of a call whose key may not be claimed, and nil if
// the key may be claimed. The head and all segments must be in memory.
func (p *partition) checkClaimable(key keyHash, keyTime int64, fingerprint uint64) *immediateResult {
	if c := p.recent.get(key); c != nil {
		return resultOfClaim(c, fingerprint)
	}
	if sealedFingerprint, ok := p.sealed.get(key); ok {
		return resultOfClaim(&claim{fingerprint: sealedFingerprint, answered: true}, fingerprint)
	}
	switch {
	case keyTime != 0 && keyTime < p.head.Floor:
		return rejectWith(core.Unknown(core.ReasonKeyExpired, 0, "the key is older than the keys that are remembered"))
	case keyTime == 0 && p.sealed.untimed >= p.config.MaxUntimed:
		return rejectWith(core.NotRun(core.ReasonOverloaded, 0, "too many keys without a time are remembered; use version 7 UUIDs as keys"))
	case keyTime != 0 && p.sealed.timed >= p.config.MaxTimed && !p.canRaiseFloor():
		return rejectWith(core.NotRun(core.ReasonOverloaded, fullRetryAfter, "too many recent keys are remembered"))
	}
	return nil
}

// resultOfClaim returns the result of a call whose key is already claimed.
func resultOfClaim(c *claim, fingerprint uint64) *immediateResult {
	switch {
	case c.fingerprint != fingerprint:
		return rejectWith(mismatchRefusal())
	case c.answer != nil:
		return &immediateResult{answer: c.answer}
	case c.answered:
		return rejectWith(core.Unknown(core.ReasonKeyUsed, 0, "the key was used before; its answer is no longer kept"))
	default:
		return rejectWith(core.Unknown(core.ReasonKeyUsed, 0, "the key was claimed before; the call may have run"))
	}
}

func mismatchRefusal() *core.Refusal {
	return core.NotRun(core.ReasonKeyMismatch, 0, "the key was used with another request")
}

// recheckQueue ends the queued calls whose keys may not be claimed.
func (p *partition) recheckQueue() {
	queue := p.queue
	p.queue = nil
	for _, a := range queue {
		result := p.checkClaimable(a.key, a.keyTime, a.fingerprint)
		if result == nil {
			p.queue = append(p.queue, a)
			continue
		}
		p.end(a, result)
	}
}

// fate returns the state of a key as known to this process.
func (p *partition) fate(key keyHash) (Fate, *Answer) {
	if a := p.attempts[key]; a != nil {
		return FateRunning, nil
	}
	if cached, ok := p.answers.Get(key); ok {
		return FateAnswered, cached.answer
	}
	if c := p.recent.get(key); c != nil {
		if c.answer != nil {
			return FateAnswered, c.answer
		}
		return FateUnknown, nil
	}
	_, isSealed := p.sealed.get(key)
	if isSealed || !p.owned {
		return FateUnknown, nil
	}
	return FateNone, nil
}
