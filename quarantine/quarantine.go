// Package quarantine decides which parts of prompts are kept away from engines because
// they appear to crash them. It performs no I/O and reads no clock.
//
// The load that it is for: a few of a hundred calls a second share a part on which each
// engine ends as soon as it begins to write. They arrive at all gateways, and each end
// cuts up to a full batch of sound calls that share the other parts with them. No gateway
// sees enough ends, so the processes exchange what they know. Engines also end for other
// reasons, one at a time or many at once.
//
// A few calls with the part may also come at one moment. Engines that end at one moment are no
// proof against a part, since a power failure ends them as well. Such a part is suspended: one
// call with it is sent at a time in the whole fleet, the others wait until it is answered or
// ends its engine.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
)

// HarmDelay is the longest time for which an engine writes on a harmful part before it
// ends.
const HarmDelay = 100 * time.Millisecond

const (
	// defaultThreshold is the number of separate crashes after which a part is blocked.
	defaultThreshold = 4
	// defaultSpacing is the time by which crashes must be apart to count separately. Crashes
	// at one instant that different processes report appear apart by the difference of the
	// delays of their messages.
	defaultSpacing = 150 * time.Millisecond
	// repeatWindow is how long a complete answer, or a crash, bears on whether a call may
	// be sent to another engine.
	repeatWindow = 10 * time.Second
	// maxRepeatCrashes is the number of separate crashes since its last answer that a part
	// of a repeated call may have.
	maxRepeatCrashes = 1
	// retention is how long a part is remembered after its last crash.
	retention = time.Hour
	// maxSuspects bounds the parts that are tracked because of a crash.
	maxSuspects = 1024
	// maxAnswered bounds the parts whose last answer is remembered. An entry takes about
	// 250 bytes, the table about 2 MB.
	maxAnswered = 8192
	// maxServiceCrashes bounds the crashes that are remembered for each service.
	maxServiceCrashes = 256
	// maxServices bounds the services for which crashes are remembered.
	maxServices = 64
	// minClump is the number of engines that end at one moment from which a part of all their
	// calls is suspended.
	minClump = 2
	// suspension is how long a part is suspended after its last crash.
	suspension = 5 * time.Minute
)

// Config holds the settings of a Tracker. Zero fields take their defaults.
type Config struct {
	// Threshold is the number of separate crashes, none of them followed by a complete
	// answer, after which a part is blocked.
	Threshold int
	// Spacing is the time by which crashes must be apart to count separately.
	Spacing time.Duration
}

// withDefaults returns the settings with defaults in place of fields that are not
// positive.
func (c Config) withDefaults() Config {
	if c.Threshold <= 0 {
		c.Threshold = defaultThreshold
	}
	if c.Spacing <= 0 {
		c.Spacing = defaultSpacing
	}
	return c
}

// Crash identifies the end of one run of an engine.
type Crash struct {
	Endpoint fleet.EndpointID
	// Boot is the start time of the run in Unix milliseconds.
	Boot int64
}

// subject is a part as used by the calls of one service.
type subject struct {
	service core.ServiceID
	part    core.PromptPart
}

// Tracker combines what several processes know about crashes of engines and the parts of
// the calls that were cut. It is not safe for concurrent use.
type Tracker struct {
	config   Config
	suspects map[subject]*suspect
	// answered is when a call with the part was last answered completely, as seen by this
	// process.
	answered *simplelru.LRU[subject, boottime.Instant]
	// crashes are the last crashes of each service, ordered by time.
	crashes map[core.ServiceID][]crashTime
	version uint64
}

// New returns a tracker that knows of no crash.
func New(config Config) *Tracker {
	answered, err := simplelru.NewLRU[subject, boottime.Instant](maxAnswered, nil)
	if err != nil {
		panic("quarantine: " + err.Error())
	}
	return &Tracker{
		config:   config.withDefaults(),
		suspects: map[subject]*suspect{},
		answered: answered,
		crashes:  map[core.ServiceID][]crashTime{},
	}
}

// Version returns a number that increases whenever Records has something that other
// processes should learn.
func (t *Tracker) Version() uint64 { return t.version }

// Crashed records that an engine ended. calls are the shared parts of each call that was
// in flight there at this process and had not begun to answer, or had begun less than
// 500 ms before.
func (t *Tracker) Crashed(now boottime.Instant, service core.ServiceID, crash Crash, calls [][]core.PromptPart) {
	seen := crashTime{Crash: crash, at: now}
	t.addServiceCrash(now, service, seen)
	for _, parts := range calls {
		for _, part := range parts {
			s := t.suspect(now, subject{service, part})
			if s.addCrash(seen, t.config.Spacing) {
				s.changed(now, true)
				t.version++
			}
		}
	}
	t.evict(now)
}

// Answered records that a call with these shared parts was answered completely. It clears
// the crashes that are known of them. SoundAt is more exact if the start of the answer is
// known.
func (t *Tracker) Answered(now boottime.Instant, service core.ServiceID, parts []core.PromptPart) {
	t.SoundAt(now, now, service, parts)
}

// SoundAt records that an engine survived a call with these shared parts: an answer that
// began HarmDelay before the instant at has gone on for well over HarmDelay, such as 250 ms,
// or was completed. It clears the crashes before that instant.
//
// An answer that began before a part turned harmful is completed after the first crashes,
// but does not clear them.
func (t *Tracker) SoundAt(now, at boottime.Instant, service core.ServiceID, parts []core.PromptPart) {
	at = min(at, now)
	for _, part := range parts {
		key := subject{service, part}
		if known, found := t.answered.Get(key); !found || at > known {
			t.answered.Add(key, at)
		}
		if s := t.suspects[key]; s != nil {
			t.clear(now, service, s, at)
		}
	}
}

// clear marks the crashes before an answer as cleared. A part with a single crash is not
// near a quarantine, so that others need not be told.
func (t *Tracker) clear(now boottime.Instant, service core.ServiceID, s *suspect, answeredAt boottime.Instant) {
	before := t.evidence(service, s)
	if s.clear(answeredAt) && (before.moments > maxRepeatCrashes || before.clump) {
		s.changed(now, true)
		t.version++
	}
}

// Blocked reports whether calls with these shared parts must not be sent to an engine. It
// returns the blocked part whose next trial is due last: when that one may be tried, all
// of them may.
func (t *Tracker) Blocked(now boottime.Instant, service core.ServiceID, parts []core.PromptPart) (part core.PromptPart, blocked bool) {
	var last boottime.Instant
	for _, candidate := range parts {
		s := t.suspects[subject{service, candidate}]
		if s == nil || !t.quarantined(now, service, s) {
			continue
		}
		if due := t.blockedTrialDue(service, s); !blocked || due > last {
			part, blocked, last = candidate, true, due
		}
	}
	return part, blocked
}

// quarantined reports whether calls with a part are blocked.
func (t *Tracker) quarantined(now boottime.Instant, service core.ServiceID, s *suspect) bool {
	return !s.expired(now) && t.blocks(t.evidence(service, s))
}

// blocks reports whether a part with some evidence is blocked.
func (t *Tracker) blocks(e evidence) bool { return e.moments >= t.config.Threshold || e.failedTrial }

// Suspended reports whether only one call with these shared parts may be sent to an engine at
// a time. It returns the suspended part that was answered least recently, which is the one of
// them that a trial tells most about.
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
		if at, _ := t.answered.Peek(key); !suspended || at < oldest {
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
	e := t.evidence(service, s)
	return e.clump && !t.blocks(e)
}

// evidence is what the crashes of a part since its last answer say about it.
type evidence struct {
	// moments is the number of separate crashes.
	moments int
	// clump is set if several engines ended at one of them.
	clump bool
	// failedTrial is set if an engine ended after the last trial of a part that had been
	// suspended.
	failedTrial bool
}

// evidence returns what the crashes of a part say about it. Engines that end at one moment say
// nothing if as many or more ended then without the part.
func (t *Tracker) evidence(service core.ServiceID, s *suspect) evidence {
	var e evidence
	trials := s.currentTrials()
	for m := range s.moments(t.config.Spacing) {
		e.moments++
		if t.crashedWithout(service, s, m) >= m.engines {
			continue
		}
		e.clump = e.clump || m.engines >= minClump
		e.failedTrial = e.failedTrial || e.clump && trials > 0 && m.last > s.triedAt
	}
	return e
}

// crashedWithout returns the number of engines of a service that ended at a moment without a
// call with the part, as far as known: a part whose list of crashes is full may have been in
// calls at any of them. Crashes that other processes report appear late by the delay of messages.
func (t *Tracker) crashedWithout(service core.ServiceID, s *suspect, m moment) int {
	if len(s.crashes) >= maxCrashes {
		return 0
	}
	list := t.crashes[service]
	from, to := m.first.Add(-messageDelay), m.last.Add(messageDelay)
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

// MayRepeat reports whether a call may be sent to another engine after the first one
// crashed. It may if its shared parts are known to be sound, or if the crash appears to be
// a single one.
func (t *Tracker) MayRepeat(now boottime.Instant, service core.ServiceID, parts []core.PromptPart) bool {
	return t.recentCrashes(now, service) <= 1 || !slices.ContainsFunc(parts, func(part core.PromptPart) bool {
		return !t.sound(now, subject{service, part})
	})
}

// sound reports whether a part was answered recently and has hardly any crash since.
func (t *Tracker) sound(now boottime.Instant, key subject) bool {
	at, known := t.answered.Get(key)
	if !known || now.Sub(at) > repeatWindow {
		return false
	}
	s := t.suspects[key]
	if s == nil {
		return true
	}
	e := t.evidence(key.service, s)
	return e.moments <= maxRepeatCrashes && !e.clump
}

// TrialDue reports whether a trial of a blocked or suspended part is due, and since when.
func (t *Tracker) TrialDue(now boottime.Instant, service core.ServiceID, part core.PromptPart) (since time.Duration, due bool) {
	s := t.suspects[subject{service, part}]
	if s == nil {
		return 0, false
	}
	var at boottime.Instant
	switch {
	case t.quarantined(now, service, s):
		at = t.blockedTrialDue(service, s)
	case t.suspended(now, service, s):
		at = s.firstTrialDue()
	default:
		return 0, false
	}
	return now.Sub(at), !now.Before(at)
}

// blockedTrialDue returns when the next trial of a blocked part is due.
func (t *Tracker) blockedTrialDue(service core.ServiceID, s *suspect) boottime.Instant {
	if t.evidence(service, s).moments < t.config.Threshold {
		return s.trialDue(1) // blocked by the trial of a suspended part
	}
	return s.trialDue(0)
}

// Trial reports whether one call with a blocked or suspended part may be sent to an engine now,
// and records the trial. self tells whether it is the turn of this process to try.
func (t *Tracker) Trial(now boottime.Instant, service core.ServiceID, part core.PromptPart, self bool) bool {
	if _, due := t.TrialDue(now, service, part); !self || !due {
		return false
	}
	s := t.suspects[subject{service, part}]
	s.addTrial(now)
	s.changed(now, true)
	t.version++
	return true
}

// suspect returns the state of a part, which is new if it had none or an expired one.
func (t *Tracker) suspect(now boottime.Instant, key subject) *suspect {
	s := t.suspects[key]
	if s == nil || s.expired(now) {
		s = &suspect{}
		t.suspects[key] = s
	}
	return s
}

// evict removes expired parts, and the least suspicious ones while there are too many.
func (t *Tracker) evict(now boottime.Instant) {
	if len(t.suspects) <= maxSuspects {
		return
	}
	ranked := t.ranked(now)
	for _, r := range ranked[min(maxSuspects*3/4, len(ranked)):] {
		delete(t.suspects, r.key)
	}
	for key, s := range t.suspects {
		if s.expired(now) {
			delete(t.suspects, key)
		}
	}
}

// addServiceCrash remembers a crash of a service.
func (t *Tracker) addServiceCrash(now boottime.Instant, service core.ServiceID, seen crashTime) {
	list, known := t.crashes[service]
	if !known && len(t.crashes) >= maxServices {
		t.dropQuietServices(now)
		if len(t.crashes) >= maxServices {
			return
		}
	}
	if i := slices.IndexFunc(list, func(other crashTime) bool { return other.Crash == seen.Crash }); i >= 0 {
		list[i].at = min(list[i].at, seen.at)
	} else {
		list = append(list, seen)
	}
	slices.SortFunc(list, compareCrashes)
	t.crashes[service] = list[max(0, len(list)-maxServiceCrashes):]
}

// dropQuietServices forgets services without a recent crash.
func (t *Tracker) dropQuietServices(now boottime.Instant) {
	for service := range t.crashes {
		if t.recentCrashes(now, service) == 0 {
			delete(t.crashes, service)
		}
	}
}

// recentCrashes returns the number of engines of a service that are known to have ended
// within repeatWindow.
func (t *Tracker) recentCrashes(now boottime.Instant, service core.ServiceID) int {
	count := 0
	for _, seen := range t.crashes[service] {
		if now.Sub(seen.at) <= repeatWindow {
			count++
		}
	}
	return count
}
