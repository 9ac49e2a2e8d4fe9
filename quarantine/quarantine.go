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
	"slices"
	"strings"
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
	maxSuspects = 16384
	// maxAnswered bounds the parts whose last answer is remembered, for answerRetention. An
	// entry takes about 250 bytes.
	maxAnswered     = 65536
	answerRetention = time.Minute
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

// owned returns a copy that does not keep the text alive from which the part was cut.
func (k subject) owned() subject {
	k.part = core.PromptPart(strings.Clone(string(k.part)))
	return k
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
	// forgotten is set if crashes before knowsSince are not known.
	forgotten  bool
	knowsSince boottime.Instant
	version    uint64
	// reports are what this process saw lately, in the order of their numbers. reported is the
	// number of the last one.
	reports  []report
	reported uint64
	// top are the parts of the last records, which were chosen for a version at topAt.
	top        []subject
	topVersion uint64
	topAt      boottime.Instant
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

// Reported returns the number of the last report, which increases whenever Cuts has something
// new.
func (t *Tracker) Reported() uint64 { return t.reported }

// Crashed records that an engine ended. calls are the shared parts of each call that was
// in flight there at this process and had not begun to answer, or had begun less than
// 500 ms before.
func (t *Tracker) Crashed(now boottime.Instant, service core.ServiceID, crash Crash, calls [][]core.PromptPart) {
	seen := crashTime{Crash: crash, at: now}
	t.addServiceCrash(now, service, seen)
	doubts := t.doubts(now, service, calls)
	for _, parts := range calls {
		for _, part := range parts {
			key := subject{service, part}
			s := t.suspect(now, key)
			seen.doubt = doubts[part]
			if s.addCrash(seen, t.config.Spacing) {
				s.changed(now, true)
				t.addReport(now, key, seen)
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
		switch known, found := t.answered.Get(key); {
		case !found:
			t.answered.Add(key.owned(), at)
		case at > known:
			t.answered.Add(key, at)
		}
		if s := t.suspects[key]; s != nil {
			t.clear(now, key, s, at)
		}
	}
	for {
		if _, oldest, found := t.answered.GetOldest(); !found || now.Sub(oldest) <= answerRetention {
			return
		}
		t.answered.RemoveOldest()
	}
}

// clear marks the crashes before an answer as cleared, and reports those that this process had
// reported.
func (t *Tracker) clear(now boottime.Instant, key subject, s *suspect, answeredAt boottime.Instant) {
	suspicious := t.suspicious(now, key.service, s)
	cleared := s.clear(answeredAt)
	for _, known := range cleared {
		if !known.learned {
			t.addReport(now, key, known)
		}
	}
	if len(cleared) > 0 && suspicious {
		s.changed(now, true)
		s.relievedAt = now
		t.version++
	}
}

// suspicious reports whether a part has more crashes since its last answer than sound parts
// usually have.
func (t *Tracker) suspicious(now boottime.Instant, service core.ServiceID, s *suspect) bool {
	e := t.evidence(now, service, s)
	return e.moments > maxRepeatCrashes || e.clump
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
		if due := t.blockedTrialDue(now, service, s); !blocked || due > last {
			part, blocked, last = candidate, true, due
		}
	}
	return part, blocked
}

// quarantined reports whether calls with a part are blocked.
func (t *Tracker) quarantined(now boottime.Instant, service core.ServiceID, s *suspect) bool {
	return !s.expired(now) && t.blocks(t.evidence(now, service, s))
}

// blocks reports whether a part with some evidence is blocked.
func (t *Tracker) blocks(e evidence) bool {
	return e.moments >= t.config.Threshold || e.failedTrial || e.alone
}

// MayRepeat reports whether a call may be sent to another engine after the first one
// crashed. It may if its shared parts are known to be sound, or if the crash appears to be
// a single one and no crashes may have been forgotten.
func (t *Tracker) MayRepeat(now boottime.Instant, service core.ServiceID, parts []core.PromptPart) bool {
	if slices.ContainsFunc(parts, func(part core.PromptPart) bool { return t.unproven(now, subject{service, part}) }) {
		return false
	}
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
	return s == nil || !t.suspicious(now, key.service, s)
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
		at = t.blockedTrialDue(now, service, s)
	case t.suspended(now, service, s):
		at = s.firstTrialDue()
	default:
		return 0, false
	}
	return now.Sub(at), !now.Before(at)
}

// blockedTrialDue returns when the next trial of a blocked part is due.
func (t *Tracker) blockedTrialDue(now boottime.Instant, service core.ServiceID, s *suspect) boottime.Instant {
	if e := t.evidence(now, service, s); e.moments < t.config.Threshold && !e.alone {
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

// MayReplaceTrial reports whether a call may be sent in place of that of a trial at an instant,
// which no engine has run: no process knows more of the part than then, and none sends the next
// trial yet.
func (t *Tracker) MayReplaceTrial(now boottime.Instant, service core.ServiceID, part core.PromptPart, at boottime.Instant) bool {
	s := t.suspects[subject{service, part}]
	if s == nil || now.Sub(at) > trialReplaceTime {
		return false
	}
	return s.lastCrash() <= s.triedAt && s.triedAt <= at && (t.quarantined(now, service, s) || t.suspended(now, service, s))
}

// suspect returns the state of a part, which is new if it had none or an expired one.
func (t *Tracker) suspect(now boottime.Instant, key subject) *suspect {
	s := t.suspects[key]
	if s == nil || s.expired(now) {
		s = &suspect{}
		t.suspects[key.owned()] = s
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
	switch i := slices.IndexFunc(list, func(other crashTime) bool { return other.Crash == seen.Crash }); {
	case i < 0:
		list = append(list, seen)
	case list[i].at <= seen.at:
		return
	default:
		list[i].at = seen.at
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
