package quarantine

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
)

// maxCrashes bounds the crashes that are remembered of a part.
const maxCrashes = 16

// messageDelay is by how much a crash that another process reports may appear late.
const messageDelay = 500 * time.Millisecond

// trialDelays are the times after the last crash or trial at which the next trial of a blocked
// part is due, by the number of trials before it. The last one repeats.
var trialDelays = [...]time.Duration{20 * time.Second, 80 * time.Second, 5 * time.Minute}

const (
	// settleDelay is the time after the last crash at which the first trial of a suspended part
	// is due: by then all processes know of the crash.
	settleDelay = time.Second
	// trialRepeat is the time after a trial without an outcome at which the next one is due.
	trialRepeat = 5 * time.Second
	// trialReplaceTime is for how long after a trial that no engine has run another call may be
	// sent in its place. It ends before other processes repeat the trial.
	trialReplaceTime = trialRepeat - time.Second
)

// crashTime is a crash and the earliest time at which it is known to have been seen.
type crashTime struct {
	Crash
	at boottime.Instant
	// learned is set if only other processes have seen the crash. at may then be late by
	// the delay of messages.
	learned bool
	// cleared is set if a call with the part was answered completely after the crash.
	cleared bool
	// doubt is the heaviest that any process has.
	doubt Doubt
}

// earliest returns the earliest time at which the crash may have been.
func (c crashTime) earliest() boottime.Instant {
	if c.learned {
		return c.at.Add(-messageDelay)
	}
	return c.at
}

// suspect is what is known of a part that was in the prompt of a call cut by a crash. Its
// state merges with that of other processes in any order: crashes by union, the time of
// each by the earliest, cleared if any process says so, trials by the largest number.
type suspect struct {
	// crashes are ordered by time.
	crashes []crashTime
	// trials is the number of trials and triedAt the time of the last one.
	trials  int
	triedAt boottime.Instant
	// changedAt is when the state last changed. own tells that this process saw what
	// changed it.
	changedAt boottime.Instant
	own       bool
	// relievedAt is when the part was last found to be sound although it had several crashes.
	relievedAt boottime.Instant
}

// changed notes that other processes should learn of the part.
func (s *suspect) changed(now boottime.Instant, own bool) { s.changedAt, s.own = now, own }

// addCrash adds a crash or what is known about one that was added before. It reports
// whether the crash is new or has been cleared.
func (s *suspect) addCrash(seen crashTime, spacing time.Duration) bool {
	if i := s.find(seen.Crash); i >= 0 {
		known := &s.crashes[i]
		changed := seen.cleared && !known.cleared || seen.doubt > known.doubt
		known.cleared = known.cleared || seen.cleared
		known.doubt = max(known.doubt, seen.doubt)
		known.learned = known.learned && seen.learned
		if seen.at < known.at {
			known.at = seen.at
			s.sort()
		}
		return changed
	}
	s.crashes = append(s.crashes, seen)
	s.sort()
	if len(s.crashes) <= maxCrashes {
		return true
	}
	removed := s.leastNeeded(spacing)
	isNew := s.crashes[removed].Crash != seen.Crash
	s.crashes = slices.Delete(s.crashes, removed, removed+1)
	return isNew
}

// leastNeeded returns the index of a crash that does not count because it is too near to
// one that does, or else the oldest one. Many crashes within a short time therefore do not
// displace those that count separately.
func (s *suspect) leastNeeded(spacing time.Duration) int {
	last := -1
	for i, known := range s.crashes {
		switch {
		case known.cleared:
		case last >= 0 && known.at.Sub(s.crashes[last].at) < spacing:
			return i
		default:
			last = i
		}
	}
	return 0
}

// find returns the index of a crash, -1 if it is not known.
func (s *suspect) find(crash Crash) int {
	return slices.IndexFunc(s.crashes, func(known crashTime) bool { return known.Crash == crash })
}

func (s *suspect) sort() { slices.SortFunc(s.crashes, compareCrashes) }

// compareCrashes orders crashes by time.
func compareCrashes(a, b crashTime) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Boot, b.Boot))
}

// clear marks the crashes that may have been before an instant as cleared and returns those that
// were not.
func (s *suspect) clear(at boottime.Instant) []crashTime {
	var cleared []crashTime
	for i := range s.crashes {
		if known := &s.crashes[i]; known.earliest() < at && !known.cleared {
			known.cleared = true
			cleared = append(cleared, *known)
		}
	}
	return cleared
}

// moment is a group of crashes that are less than the spacing after the first of them and
// that no answer has cleared.
type moment struct {
	first, last boottime.Instant
	engines     int
	// doubt is the heaviest of the crashes'.
	doubt Doubt
}

// moments returns the separate crashes since the last answer: those that are at least
// spacing apart, with the ones that are nearer.
func (s *suspect) moments(spacing time.Duration) iter.Seq[moment] {
	return func(yield func(moment) bool) {
		var current moment
		for _, known := range s.crashes {
			switch {
			case known.cleared:
			case current.engines > 0 && known.at.Sub(current.first) < spacing:
				current.engines++
				current.last = known.at
				current.doubt = max(current.doubt, known.doubt)
			case current.engines > 0 && !yield(current):
				return
			default:
				current = moment{first: known.at, last: known.at, engines: 1, doubt: known.doubt}
			}
		}
		if current.engines > 0 {
			yield(current)
		}
	}
}

// uncleared reports whether a crash is known that no answer has cleared.
func (s *suspect) uncleared() bool {
	return slices.ContainsFunc(s.crashes, func(known crashTime) bool { return !known.cleared })
}

// expired reports whether the last crash is too old to matter.
func (s *suspect) expired(now boottime.Instant) bool {
	return len(s.crashes) == 0 || now.Sub(s.lastCrash()) > retention
}

// lastCrash returns the time of the last crash.
func (s *suspect) lastCrash() boottime.Instant { return s.crashes[len(s.crashes)-1].at }

// currentTrials returns the number of trials since the part was last known to be sound.
func (s *suspect) currentTrials() int {
	for _, known := range s.crashes {
		if !known.cleared {
			if s.triedAt < known.at {
				return 0
			}
			return s.trials
		}
	}
	return 0
}

// trialDue returns when the next trial of a blocked part is due. before is the number of trials
// from before it was blocked.
func (s *suspect) trialDue(before int) boottime.Instant {
	trials := s.currentTrials()
	since := s.lastCrash()
	if trials > 0 {
		since = max(since, s.triedAt)
	}
	return since.Add(trialDelays[min(max(trials-before, 0), len(trialDelays)-1)])
}

// firstTrialDue returns when the next trial of a suspended part is due. A trial that ended
// neither in a crash nor in an answer is repeated.
func (s *suspect) firstTrialDue() boottime.Instant {
	due := s.lastCrash().Add(settleDelay)
	if s.currentTrials() > 0 {
		due = max(due, s.triedAt.Add(trialRepeat))
	}
	return due
}

// addTrial records a trial.
func (s *suspect) addTrial(now boottime.Instant) {
	s.trials, s.triedAt = min(s.currentTrials()+1, maxTrials), now
}

// mergeTrials adds what another process knows of trials and reports whether it is news.
func (s *suspect) mergeTrials(trials int, at boottime.Instant) bool {
	if trials < s.trials || trials == s.trials && (trials == 0 || at >= s.triedAt) {
		return false
	}
	news := trials > s.trials
	s.trials, s.triedAt = trials, at
	return news
}
