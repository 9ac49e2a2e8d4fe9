package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// maxRecords bounds the records sent and accepted at a time.
	maxRecords = 32
	// maxIDLength bounds the identifiers accepted from other processes, in bytes.
	maxIDLength = 256
	// maxTrials bounds the number of trials that is counted.
	maxTrials = 1000
	// newsTime is how long what this process saw itself is sent before what it learned.
	newsTime = 2 * time.Second
	// topTime is how long the choice of the parts of the records is kept without a change.
	topTime = 200 * time.Millisecond
)

// Record is what a process knows of one part, with ages in place of times.
type Record struct {
	Service core.ServiceID
	Part    core.PromptPart
	// Crashes are the crashes that cut calls with the part.
	Crashes []CrashAge
	// Trials is the number of trials since the part was blocked, and TrialAge how long ago
	// the last one was.
	Trials   int
	TrialAge time.Duration
}

// CrashAge is how long ago an engine ended.
type CrashAge struct {
	Crash
	Age time.Duration
	// Cleared is set if a call with the part was answered completely after the crash.
	Cleared bool
	// Doubt is what else speaks against the part.
	Doubt Doubt
}

// ranking is a part with what orders it among others.
type ranking struct {
	key     subject
	suspect *suspect
	blocked bool
	// suspicious and relieved are parts with several crashes, and those that were found to be
	// sound lately.
	suspicious, relieved bool
	news                 bool
	count                int
}

// ranked returns the parts that have not expired, the ones that matter most to other
// processes first.
func (t *Tracker) ranked(now boottime.Instant) []ranking {
	list := make([]ranking, 0, len(t.suspects))
	for key, s := range t.suspects {
		if s.expired(now) {
			continue
		}
		e := t.evidence(now, key.service, s)
		list = append(list, ranking{
			key: key, suspect: s, count: e.moments, blocked: t.blocks(e),
			suspicious: e.moments > maxRepeatCrashes || e.clump, relieved: s.relievedAt > 0 && now.Sub(s.relievedAt) <= newsTime,
			news: s.own && now.Sub(s.changedAt) <= newsTime,
		})
	}
	slices.SortFunc(list, compareRanking)
	return list
}

func compareRanking(a, b ranking) int {
	return cmp.Or(
		compareBool(b.blocked, a.blocked),
		compareBool(b.relieved, a.relieved),
		compareBool(b.suspicious, a.suspicious),
		compareBool(b.news, a.news),
		cmp.Compare(b.count, a.count),
		cmp.Compare(b.suspect.changedAt, a.suspect.changedAt),
		cmp.Compare(a.key.service, b.key.service),
		cmp.Compare(a.key.part, b.key.part),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Records returns what other processes should know: at most 32 parts, blocked ones first.
func (t *Tracker) Records(now boottime.Instant) []Record {
	if t.topVersion != t.version || now.Sub(t.topAt) > topTime || now < t.topAt {
		ranked := t.ranked(now)
		t.top, t.topVersion, t.topAt = t.top[:0], t.version, now
		for _, r := range ranked[:min(len(ranked), maxRecords)] {
			t.top = append(t.top, r.key)
		}
	}
	records := make([]Record, 0, len(t.top))
	for _, key := range t.top {
		if s := t.suspects[key]; s != nil && !s.expired(now) {
			records = append(records, s.record(now, key))
		}
	}
	return records
}

// record returns the state of a part for other processes.
func (s *suspect) record(now boottime.Instant, key subject) Record {
	crashes := make([]CrashAge, len(s.crashes))
	for i, known := range s.crashes {
		crashes[i] = CrashAge{Crash: known.Crash, Age: now.Sub(known.at), Cleared: known.cleared, Doubt: known.doubt}
	}
	record := Record{Service: key.service, Part: key.part, Crashes: crashes, Trials: s.trials}
	if s.trials > 0 {
		record.TrialAge = now.Sub(s.triedAt)
	}
	return record
}

// Learn adds the records that another process sent, and reports whether any was news.
// Messages may be lost, repeated or reordered.
func (t *Tracker) Learn(now boottime.Instant, records []Record) (changed bool) {
	for _, record := range records[:min(len(records), maxRecords)] {
		changed = t.learn(now, record) || changed
	}
	t.evict(now)
	return changed
}

// learn adds one record.
func (t *Tracker) learn(now boottime.Instant, record Record) bool {
	if !acceptable(record) {
		return false
	}
	key := subject{record.Service, record.Part}
	s := t.suspect(now, key)
	suspicious := t.suspicious(now, record.Service, s)
	changed, valid := false, false
	for _, crash := range record.Crashes[:min(len(record.Crashes), maxCrashes)] {
		if len(crash.Endpoint) > maxIDLength || crash.Age > retention {
			continue
		}
		valid = true
		seen := crashTime{Crash: crash.Crash, at: now.Add(-clampAge(crash.Age)), learned: true, cleared: crash.Cleared, doubt: t.learnedDoubt(now, key, crash.Doubt)}
		if s.addCrash(seen, t.config.Spacing) {
			changed = true
			t.addServiceCrash(now, record.Service, seen)
		}
	}
	if len(s.crashes) == 0 {
		delete(t.suspects, key)
	}
	if !valid {
		return false
	}
	if record.Trials > 0 {
		changed = s.mergeTrials(min(record.Trials, maxTrials), now.Add(-clampAge(record.TrialAge))) || changed
	}
	if changed {
		s.changed(now, false)
		if at, known := t.answered.Peek(key); known {
			t.clear(now, key, s, at)
		}
	}
	relieved := s.knowsBetter(record)
	if relieved {
		s.changed(now, true)
	}
	if relieved || changed && suspicious && !t.suspicious(now, record.Service, s) {
		s.relievedAt = now
		t.version++
	} else if changed && s.uncleared() {
		t.version++
	}
	return changed
}

// knowsBetter reports whether a process that sent a record suspects a part more than it
// should: it knows of several crashes and not that one of them has been cleared.
func (s *suspect) knowsBetter(record Record) bool {
	suspected, outdated := 0, false
	for _, crash := range record.Crashes[:min(len(record.Crashes), maxCrashes)] {
		if crash.Cleared {
			continue
		}
		suspected++
		if i := s.find(crash.Crash); i >= 0 && s.crashes[i].cleared {
			outdated = true
		}
	}
	return outdated && suspected > maxRepeatCrashes
}

// acceptable reports whether the identifiers of a record have a plausible length.
func acceptable(record Record) bool {
	return len(record.Service) <= maxIDLength && len(record.Part) <= maxIDLength
}

// clampAge bounds an age that another process sent.
func clampAge(age time.Duration) time.Duration { return min(max(age, 0), retention) }
