// Package quarantine decides which parts of prompts are kept away from engines because
// they appear to crash them. It performs no I/O and reads no clock.
//
// The load that it is for: a few of a hundred calls a second share a part on which each
// engine ends as soon as it begins to write. They arrive at all gateways, and each end
// cuts up to a full batch of sound calls that share the other parts with them. No gateway
// sees enough ends, so the processes exchange what they know. Engines also end for other
// reasons, one at a time or many at once.
package quarantine

import (
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
	// maxServiceCrashes bounds the recent crashes that are remembered for each service.
	maxServiceCrashes = 64
	// maxServices bounds the services for which recent crashes are remembered.
	maxServices = 256
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
	// crashes are the recent crashes of each service, in any order.
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
			t.clear(now, s, at)
		}
	}
}

// clear marks the crashes before an answer as cleared. A part with a single crash is not
// near a quarantine, so that others need not be told.
func (t *Tracker) clear(now boottime.Instant, s *suspect, answeredAt boottime.Instant) {
	matters := s.count(t.config.Spacing) > maxRepeatCrashes
	if s.clear(answeredAt) && matters {
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
		if s == nil || !t.quarantined(now, s) {
			continue
		}
		if due := s.trialDue(); !blocked || due > last {
			part, blocked, last = candidate, true, due
		}
	}
	return part, blocked
}

// quarantined reports whether calls with a part are blocked.
func (t *Tracker) quarantined(now boottime.Instant, s *suspect) bool {
	return !s.expired(now) && s.count(t.config.Spacing) >= t.config.Threshold
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
	return s == nil || s.count(t.config.Spacing) <= maxRepeatCrashes
}

// Trial reports whether one call with a blocked part may be sent to an engine now, and
// records the trial. self tells whether this process is the one of the fleet that tries.
func (t *Tracker) Trial(now boottime.Instant, service core.ServiceID, part core.PromptPart, self bool) bool {
	s := t.suspects[subject{service, part}]
	if !self || s == nil || !t.quarantined(now, s) || now.Before(s.trialDue()) {
		return false
	}
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
	if now.Sub(seen.at) > repeatWindow {
		return
	}
	list, known := t.crashes[service]
	if !known && len(t.crashes) >= maxServices {
		t.dropQuietServices(now)
		if len(t.crashes) >= maxServices {
			return
		}
	}
	if slices.ContainsFunc(list, func(other crashTime) bool { return other.Crash == seen.Crash }) {
		return
	}
	list = slices.DeleteFunc(list, func(other crashTime) bool { return now.Sub(other.at) > repeatWindow })
	if len(list) < maxServiceCrashes {
		list = append(list, seen)
	}
	t.crashes[service] = list
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
