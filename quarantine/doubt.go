package quarantine

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

// Doubt is what speaks against a part beyond the number of its crashes, at the process that saw a
// crash.
//
// Load pattern: all processes of the deployment are killed at one moment after a harmful part was
// blocked. The calls with it go on, one now and then, and each would end an engine until there
// are Threshold crashes again. Nothing outlives the processes: the store may be away at that
// moment, or lack its latest changes. Instead, a process that may have forgotten crashes judges
// by the first one. A part that was answered since is as sound as ever; in steady traffic that
// are all but the rare ones within a second.
type Doubt uint8

// Doubts, in the order of their weight.
const (
	// DoubtNone is that of a part that has been answered, and of all parts at a process that
	// knows of all crashes.
	DoubtNone Doubt = iota
	// DoubtUnproven is that of a part that no answer has shown to be sound since the process
	// may have forgotten crashes. Such a part is suspended.
	DoubtUnproven
	// DoubtAlone is that of the only such part in the calls that a crash cut. It is blocked.
	DoubtAlone
)

// String returns the word for the doubt in log lines.
func (d Doubt) String() string {
	switch d {
	case DoubtUnproven:
		return "unproven"
	case DoubtAlone:
		return "alone"
	default:
		return "none"
	}
}

// Forget records that the process knows of no crashes before now. Memory of other processes ends
// that.
func (t *Tracker) Forget(now boottime.Instant) { t.forgotten, t.knowsSince = true, now }

// Memory returns for how long the process has known of all crashes, at most an hour: older ones
// matter to nobody.
func (t *Tracker) Memory(now boottime.Instant) time.Duration {
	if !t.forgotten {
		return retention
	}
	return min(max(now.Sub(t.knowsSince), 0), retention)
}

// LearnMemory records that another process, from which this one gets records, has known of all
// crashes for some time.
func (t *Tracker) LearnMemory(now boottime.Instant, memory time.Duration) {
	if memory >= retention {
		t.forgotten = false
		return
	}
	t.knowsSince = min(t.knowsSince, now.Add(-max(memory, 0)))
}

// unproven reports whether nothing shows that a part is sound, at a process that may have
// forgotten its crashes.
func (t *Tracker) unproven(now boottime.Instant, key subject) bool {
	if t.Memory(now) >= retention {
		return false
	}
	at, answered := t.answered.Peek(key)
	return !answered || now.Sub(at) > answerRetention
}

// learnedDoubt returns the doubt in a part that another process has, unless this one has seen an
// answer with it lately.
func (t *Tracker) learnedDoubt(now boottime.Instant, key subject, doubt Doubt) Doubt {
	if at, answered := t.answered.Peek(key); answered && now.Sub(at) <= answerRetention {
		return DoubtNone
	}
	return min(doubt, DoubtAlone)
}

// doubts returns the doubt in each unproven part of the calls that a crash cut.
func (t *Tracker) doubts(now boottime.Instant, service core.ServiceID, calls [][]core.PromptPart) map[core.PromptPart]Doubt {
	if t.Memory(now) >= retention {
		return nil
	}
	doubts := map[core.PromptPart]Doubt{}
	proven := false
	for _, parts := range calls {
		for _, part := range parts {
			if t.unproven(now, subject{service, part}) {
				doubts[part] = DoubtUnproven
			} else {
				proven = true
			}
		}
	}
	if len(doubts) == 1 && proven {
		for part := range doubts {
			doubts[part] = DoubtAlone
		}
	}
	return doubts
}

// toldMemoryTime is how long what others have told of their memory holds.
const toldMemoryTime = 10 * time.Second

// ToldMemory is for how long the processes that send their records to this one have known of all
// crashes, as the one with the longest memory told last.
type ToldMemory struct {
	since, toldAt boottime.Instant
}

// Learn records what a process told.
func (m *ToldMemory) Learn(now boottime.Instant, memory time.Duration) {
	if since := now.Add(-min(memory, retention)); m.At(now) == 0 || since <= m.since || memory >= retention {
		m.since, m.toldAt = since, now
		return
	}
	if now.Sub(m.since)-memory < time.Second { // told later, by the delay of a message
		m.toldAt = now
	}
}

// At returns the memory now, 0 if nobody has told it lately.
func (m *ToldMemory) At(now boottime.Instant) time.Duration {
	if m.toldAt == 0 || now.Sub(m.toldAt) > toldMemoryTime {
		return 0
	}
	return min(now.Sub(m.since), retention)
}
