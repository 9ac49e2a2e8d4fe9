package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

// Suspended reports whether only one call with these shared parts may be sent to an engine at
// a time. It returns the suspended part that was answered least recently, the last of several:
// the first parts of prompts are those that most calls share.
//
// Load pattern: several calls with a harmful part come at one moment, at several gateways, and
// end as many engines before any of them is known to have ended.
func (t *Tracker) Suspended(now boottime.Instant, service core.ServiceID, parts []core.PromptPart) (part core.PromptPart, suspended bool) {
	var oldest boottime.Instant
	for _, candidate := range parts {
		key := subject{service, candidate}
		s := t.suspects[key]
		if s == nil || !t.suspended(now, service, s) {
			continue
		}
		if at, _ := t.answered.Peek(key); !suspended || at <= oldest {
			part, suspended, oldest = candidate, true, at
		}
	}
	return part, suspended
}

// suspended reports whether calls with a part are sent one at a time.
func (t *Tracker) suspended(now boottime.Instant, service core.ServiceID, s *suspect) bool {
	if len(s.crashes) == 0 || now.Sub(s.lastCrash()) > suspension {
		return false
	}
	e := t.evidence(now, service, s)
	return e.clump && !t.blocks(e)
}

// evidence is what the crashes of a part since its last answer say about it.
type evidence struct {
	// moments is the number of separate crashes.
	moments int
	// clump is set if several engines ended at one of them, or one under an unproven part.
	clump bool
	// alone is set if an engine ended under the part as the only unproven one, and none without it
	// around that time.
	alone bool
	// failedTrial is set if an engine ended after the last trial of a part that had been
	// suspended.
	failedTrial bool
}

// evidence returns what the crashes of a part say about it. Engines that end at one moment say
// nothing if as many or more ended then without the part. Under a part in doubt, that holds once
// all processes know of these: until then, the process with the part may not have reported it.
func (t *Tracker) evidence(now boottime.Instant, service core.ServiceID, s *suspect) evidence {
	var e evidence
	trials := s.currentTrials()
	for m := range s.moments(t.config.Spacing) {
		e.moments++
		settled := now
		if m.doubt != DoubtNone {
			settled = now.Add(-settleDelay)
		}
		if t.crashedWithout(service, s, m, messageDelay, settled) >= m.engines {
			continue
		}
		e.alone = e.alone || m.doubt == DoubtAlone && t.crashedWithout(service, s, m, repeatWindow, settled) == 0
		e.clump = e.clump || m.engines >= minClump || m.doubt != DoubtNone
		e.failedTrial = e.failedTrial || e.clump && trials > 0 && m.last > s.triedAt
	}
	return e
}

// crashedWithout returns the number of engines of a service that ended without a call with the part
// within a time of a moment, and before an instant. That is as far as known: a part whose list of
// crashes is full may have been in calls at any of them.
func (t *Tracker) crashedWithout(service core.ServiceID, s *suspect, m moment, within time.Duration, before boottime.Instant) int {
	if len(s.crashes) >= maxCrashes {
		return 0
	}
	list := t.crashes[service]
	from, to := m.first.Add(-within), min(m.last.Add(within), before)
	first, _ := slices.BinarySearchFunc(list, from, func(c crashTime, at boottime.Instant) int { return cmp.Compare(c.at, at) })
	count := 0
	for _, seen := range list[first:] {
		if seen.at > to {
			break
		}
		if s.find(seen.Crash) < 0 {
			count++
		}
	}
	return count
}
