package gateway

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

// state returns how a call is treated, and the part of its prompt that decides. The caller must
// hold q.mu.
func (q *quarantineGuard) state(now boottime.Instant, s *session) (core.PromptPart, partState) {
	service, parts := s.admitted.service, s.admitted.call.SharedParts
	if part, blocked := q.tracker.Blocked(now, service, parts); blocked {
		return part, partQuarantined
	}
	if part, suspended := q.tracker.Suspended(now, service, parts); suspended {
		return part, partSuspended
	}
	return "", partFree
}

// reserveTrial makes a call the next trial of a part, if one is due and it is the turn of this
// process. The caller must hold q.mu.
func (q *quarantineGuard) reserveTrial(s *session, part core.PromptPart) bool {
	key := servicePart{s.admitted.service, part}
	if q.trials[key] != nil {
		return q.trials[key] == s
	}
	now := q.now()
	dueFor, due := q.tracker.TrialDue(now, s.admitted.service, part)
	if !q.hasUnused(now, key) && (!due || !q.mayTry(part, dueFor)) {
		return false
	}
	q.endTrial(s)
	q.trials[key], s.trialPart, s.trial = s, part, true
	return true
}

// hasUnused reports whether this process has recorded a trial of a part for which a call may still
// be sent. The caller must hold q.mu.
func (q *quarantineGuard) hasUnused(now boottime.Instant, key servicePart) bool {
	at, found := q.unused[key]
	if found && !q.tracker.MayReplaceTrial(now, key.service, key.part, at) {
		delete(q.unused, key)
		return false
	}
	return found
}

// recordTrial records that a call is sent as a trial of a part, unless no trial may be sent now.
// The caller must hold q.mu.
func (q *quarantineGuard) recordTrial(now boottime.Instant, s *session, part core.PromptPart) bool {
	key := servicePart{s.admitted.service, part}
	if q.hasUnused(now, key) {
		s.triedAt = q.unused[key]
		delete(q.unused, key)
		return true
	}
	dueFor, _ := q.tracker.TrialDue(now, key.service, part)
	s.triedAt = now
	return q.tracker.Trial(now, key.service, part, q.mayTry(part, dueFor))
}

// notRun records that no engine has run a call that was sent. If it was a trial, the trial has
// shown nothing, and this call or another one is sent in its place.
//
// Load pattern: all engines end at one moment, under calls that share a part. The first trial of
// the part is due before they are back, while calls wait for its outcome.
func (q *quarantineGuard) notRun(s *session) {
	if len(s.admitted.call.SharedParts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !s.trial {
		return
	}
	now := q.now()
	for key := range q.unused {
		q.hasUnused(now, key)
	}
	q.unused[servicePart{s.admitted.service, s.trialPart}] = s.triedAt
}

// endTrial lets another call be the trial of a part. The caller must hold q.mu.
func (q *quarantineGuard) endTrial(s *session) {
	if s.trial {
		delete(q.trials, servicePart{s.admitted.service, s.trialPart})
		s.trialPart, s.trial = "", false
	}
}

// await waits while a part of a call's prompt is suspended, until the call may be placed: the
// part is found to be sound, or the call is its next trial. It returns the rejection of a call
// that has waited for maxHold or has a quarantined part, and the part.
func (q *quarantineGuard) await(s *session) (*rejection, core.PromptPart) {
	start, before := q.now(), s.held
	for held := false; ; held = true {
		part, state, changed := q.stateOf(s)
		waited := q.now().Sub(start)
		s.held = before + waited
		if state == partSuspended && s.held < maxHold && s.ctx.Err() == nil {
			if !held {
				heldCalls.Add(1)
			}
			select {
			case <-changed:
			case <-time.After(holdPoll):
			case <-s.ctx.Done():
			}
			continue
		}
		if held {
			q.log.Info("A call has waited while a part of its prompt was suspended.", "request", s.admitted.call.ID, "waitedMs", waited.Milliseconds(), "trial", s.trial, "part", part, "state", state)
		}
		switch state {
		case partSuspended:
			return suspendedTooLong, part
		case partQuarantined:
			return quarantined, part
		default:
			return nil, part
		}
	}
}

// stateOf returns how a call is treated, the part of its prompt that decides and a channel that
// is closed when that may have changed. A call that is to be a trial is free.
func (q *quarantineGuard) stateOf(s *session) (core.PromptPart, partState, <-chan struct{}) {
	if len(s.admitted.call.SharedParts) == 0 {
		return "", partFree, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	part, state := q.state(q.now(), s)
	if state != partFree && q.reserveTrial(s, part) {
		state = partFree
	}
	return part, state, q.released
}

// maySend reports whether a call that has been placed may be sent, and records a trial. A part
// may have been suspended, or the turn to try it have passed on, while the call waited.
func (q *quarantineGuard) maySend(s *session) bool {
	if len(s.admitted.call.SharedParts) == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	part, state := q.state(now, s)
	if state == partFree {
		q.endTrial(s)
		return true
	}
	if !s.trial || s.trialPart != part || !q.recordTrial(now, s, part) {
		q.endTrial(s)
		return false
	}
	trialCalls.Add(1)
	q.log.Info("Sending one call as the trial of a part of prompts.", "request", s.admitted.call.ID, "service", s.admitted.service, "part", part, "state", state, "recordedMsAgo", now.Sub(s.triedAt).Milliseconds())
	q.publish(now)
	return true
}
