package quarantine

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// maxCutParts bounds the parts that are sent and accepted in cuts at a time.
	maxCutParts = 4096
	// maxReports bounds the reports that are kept for senders of cuts.
	maxReports = 2 * maxCutParts
	// reportTime is how long a report is kept.
	reportTime = 2 * time.Second
)

// Cut tells of parts of the calls that one process had at an engine when it ended, or of those
// of them that were found to be sound since.
//
// Load pattern: each call has hundreds of parts and the harmful one is one of them. Records are
// for the few parts with several crashes, and no gateway sees several; cuts bring the parts with
// one crash to the processes where they are counted.
type Cut struct {
	Service core.ServiceID
	CrashAge
	Parts []core.PromptPart
}

// report is one part of a cut.
type report struct {
	number  uint64
	madeAt  boottime.Instant
	key     subject
	crash   Crash
	at      boottime.Instant
	cleared bool
	doubt   Doubt
}

// addReport keeps a crash of a part that this process saw for senders of cuts.
func (t *Tracker) addReport(now boottime.Instant, key subject, seen crashTime) {
	t.reported++
	old := 0
	for old < len(t.reports) && (now.Sub(t.reports[old].madeAt) > reportTime || len(t.reports)-old >= maxReports) {
		old++
	}
	t.reports = append(slices.Delete(t.reports, 0, old), report{
		number: t.reported, madeAt: now, key: key, crash: seen.Crash, at: seen.at, cleared: seen.cleared, doubt: seen.doubt,
	})
}

// Cuts returns the cuts that were reported after a number, 0 for all recent ones, and the number
// of the last of them. It returns at most 4,096 parts; the rest follows from that number.
func (t *Tracker) Cuts(now boottime.Instant, after uint64) (cuts []Cut, last uint64) {
	type group struct {
		service core.ServiceID
		crash   Crash
		cleared bool
		doubt   Doubt
	}
	groups := map[group]int{}
	last, parts := after, 0
	for _, r := range t.reports {
		if r.number <= after || now.Sub(r.madeAt) > reportTime {
			continue
		}
		if parts++; parts > maxCutParts {
			break
		}
		key := group{r.key.service, r.crash, r.cleared, r.doubt}
		i, known := groups[key]
		if !known {
			i = len(cuts)
			groups[key] = i
			cuts = append(cuts, Cut{Service: r.key.service, CrashAge: CrashAge{Crash: r.crash, Age: now.Sub(r.at), Cleared: r.cleared, Doubt: r.doubt}})
		}
		cuts[i].Parts, last = append(cuts[i].Parts, r.key.part), r.number
	}
	return cuts, last
}

// LearnCuts adds the cuts that another process sent, and reports whether any was news.
func (t *Tracker) LearnCuts(now boottime.Instant, cuts []Cut) (changed bool) {
	left := maxCutParts
	for _, cut := range cuts {
		for _, part := range cut.Parts[:min(len(cut.Parts), left)] {
			changed = t.learn(now, Record{Service: cut.Service, Part: part, Crashes: []CrashAge{cut.CrashAge}}) || changed
		}
		left -= min(len(cut.Parts), left)
	}
	t.evict(now)
	return changed
}
