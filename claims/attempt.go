package claims

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Retry-after hints for rejected calls.
const (
	notHomeRetryAfter = 100 * time.Millisecond
	busyRetryAfter    = time.Second
	runningRetryAfter = time.Second
)

// apply joins the running attempt of the key, answers from the cache, rejects the
// call, or queues a claim.
func (s submit) apply(p *partition) {
	if a := p.attempts[s.key]; a != nil {
		p.join(a, s)
		return
	}
	if cached, ok := p.answers.Get(s.key); ok {
		p.replyTo(s.token, resultOfClaim(&claim{fingerprint: cached.fingerprint, answered: true, answer: cached.answer}, s.fingerprint))
		return
	}
	if refusal := p.rejectNew(); refusal != nil {
		p.replyTo(s.token, rejectWith(refusal))
		return
	}
	if p.stage == stageReady {
		if result := p.checkClaimable(s.key, s.keyTime, s.fingerprint); result != nil {
			p.replyTo(s.token, result)
			return
		}
	}
	a := &attempt{key: s.key, keyTime: s.keyTime, fingerprint: s.fingerprint}
	p.attempts[s.key] = a
	p.queue = append(p.queue, a)
	p.addWaiter(a, s)
}

// rejectNew returns why new claims are rejected at present, and nil if they are
// accepted.
func (p *partition) rejectNew() *core.Refusal {
	switch {
	case p.closing():
		return core.NotRun(core.ReasonLeaving, notHomeRetryAfter, "the process is stopping")
	case p.now.Before(p.lostUntil):
		return p.notHomeRefusal()
	case p.rejectsForOutage():
		return p.outageRefusal()
	case len(p.queue) >= p.config.MaxPending:
		return core.NotRun(core.ReasonOverloaded, busyRetryAfter+p.jitter(busyRetryAfter), "too many calls wait for their claim")
	default:
		return nil
	}
}

func (p *partition) notHomeRefusal() *core.Refusal {
	return core.NotRun(core.ReasonNotHome, notHomeRetryAfter, "the key is claimed by VM %s", p.lostTo)
}

// join adds a caller to the attempt of its key.
func (p *partition) join(a *attempt, s submit) {
	switch {
	case a.fingerprint != s.fingerprint:
		p.replyTo(s.token, rejectWith(mismatchRefusal()))
	case len(a.waiters) >= p.config.MaxWaiters:
		p.replyTo(s.token, rejectWith(core.Unknown(core.ReasonInProgress, runningRetryAfter, "the key is in progress and too many callers wait for it")))
	default:
		p.addWaiter(a, s)
	}
}

func (p *partition) addWaiter(a *attempt, s submit) {
	a.waiters = append(a.waiters, waiter{token: s.token, deadline: s.deadline})
	p.tokens[s.token] = a
}

// apply replies to the caller at once. If the call was not started, the reply is "not
// run" and the call is never started for this caller; otherwise it is "unknown".
func (e abandon) apply(p *partition) {
	a := p.tokens[e.token]
	if a == nil {
		return
	}
	a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool { return w.token == e.token })
	if a.state == attemptRunning {
		p.replyTo(e.token, rejectWith(core.Unknown(core.ReasonInProgress, runningRetryAfter, "the call was handed over and has not ended")))
		return
	}
	p.replyTo(e.token, rejectWith(core.NotRun(core.ReasonDeadline, 0, "the caller gave up before the claim was committed")))
	if len(a.waiters) == 0 {
		p.release(a)
	}
}

// start hands the call to the service if a caller still waits, and drops the claim
// otherwise.
func (p *partition) start(a *attempt) {
	late := func(w waiter) bool { return !w.deadline.IsZero() && !p.now.Before(w.deadline) }
	for _, w := range a.waiters {
		if late(w) {
			p.replyTo(w.token, rejectWith(core.NotRun(core.ReasonDeadline, 0, "the deadline passed before the claim was committed")))
		}
	}
	a.waiters = slices.DeleteFunc(a.waiters, late)
	if len(a.waiters) == 0 {
		p.release(a)
		return
	}
	a.state = attemptRunning
	p.emit(start{token: a.waiters[0].token, key: a.key})
}

// apply records the outcome and replies to all callers of the key.
func (f finished) apply(p *partition) {
	a := p.attempts[f.key]
	if a == nil || a.state != attemptRunning {
		return
	}
	switch {
	case f.answer != nil:
		p.recordAnswer(a, f.answer)
	case f.refusal.Kind == core.OutcomeNotRun:
		p.dropClaim(a)
	}
	p.end(a, &immediateResult{answer: f.answer, refusal: f.refusal})
}

// recordAnswer caches the answer and, if it is short enough to be stored, includes it
// in the next commit.
func (p *partition) recordAnswer(a *attempt, answer *Answer) {
	p.cacheAnswer(a, answer)
	c := p.recent.get(a.key)
	if c == nil {
		return
	}
	c.answered = true
	if answerBytes(answer) <= p.config.MaxStoredAnswerBytes {
		c.answer = answer
	}
	p.markDirty()
}

// cacheAnswer keeps an answer in memory, subject to the limits on count and size.
func (p *partition) cacheAnswer(a *attempt, answer *Answer) {
	size := answerBytes(answer)
	if size > p.config.MaxAnswerBytes {
		return
	}
	p.answers.Add(a.key, cachedAnswer{fingerprint: a.fingerprint, answer: answer})
	p.answersBytes += size
	for p.answersBytes > p.config.MaxAnswersBytes {
		p.answers.RemoveOldest()
	}
}

// answerBytes returns the size of an answer in memory, in bytes.
func answerBytes(answer *Answer) int {
	size := len(answer.Body)
	for _, h := range answer.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

// end replies to all callers of an attempt and removes the attempt.
func (p *partition) end(a *attempt, result *immediateResult) {
	delete(p.attempts, a.key)
	ordered := p.config.OutcomeBeforeAnswer && result.answer != nil && p.owned
	for _, w := range a.waiters {
		if ordered {
			p.delayed = append(p.delayed, reply{token: w.token, answer: result.answer})
			delete(p.tokens, w.token)
			continue
		}
		p.replyTo(w.token, result)
	}
	a.waiters = nil
}

// release removes an attempt that was not started, together with its claim.
func (p *partition) release(a *attempt) {
	delete(p.attempts, a.key)
	p.queue = slices.DeleteFunc(p.queue, func(other *attempt) bool { return other == a })
	p.dropClaim(a)
}

// dropClaim removes the claim of an attempt that was not handed to the service. A
// queued attempt has no claim yet, so a claim on its key belongs to another process.
func (p *partition) dropClaim(a *attempt) {
	if a.state == attemptQueued || p.recent.get(a.key) == nil {
		return
	}
	p.recent.removeAll(func(c claim) bool { return c.key == a.key })
	p.markDirty()
}

// rejectUnstarted ends all attempts that were not started.
func (p *partition) rejectUnstarted(refusal func() *core.Refusal) {
	waiting := slices.Clone(p.queue)
	if p.inFlight != nil {
		waiting = append(waiting, p.inFlight.attempts...)
	}
	for _, a := range waiting {
		if p.attempts[a.key] != a || a.state == attemptRunning {
			continue
		}
		p.end(a, rejectWith(refusal()))
		p.dropClaim(a)
	}
	p.queue = nil
}

func (p *partition) markDirty() {
	if p.dirtySince.IsZero() {
		p.dirtySince = p.now
	}
}

func (p *partition) replyTo(token uint64, result *immediateResult) {
	delete(p.tokens, token)
	p.emit(reply{token: token, answer: result.answer, refusal: result.refusal})
}
