package configsync

import (
	"fmt"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/hlc"
)

// OutcomeKind is what is known of a publish.
type OutcomeKind string

// Outcomes of a publish.
const (
	// Accepted means that the store took the document.
	Accepted OutcomeKind = "accepted"
	// Rejected means that the document is not and will not be in the store.
	Rejected OutcomeKind = "refused"
	// Unknown means that the document may yet turn out accepted; asking again
	// with the same set and base tells.
	Unknown OutcomeKind = "not_known_yet"
)

// Cause says why a publish was not accepted.
type Cause string

// Causes of outcomes other than Accepted.
const (
	CauseInvalid      Cause = "invalid"
	CauseConflict     Cause = "conflict"
	CauseStoreBehind  Cause = "store_behind"
	CausePlatformDown Cause = "platform_down"
	CauseNotReady     Cause = "not_ready"
	CauseTooLarge     Cause = "too_large"
	CauseAnswerLost   Cause = "answer_lost"
	CauseUnknownZone  Cause = "unknown_zone"
)

// Outcome is the true result of a publish.
type Outcome struct {
	Kind  OutcomeKind `json:"kind"`
	Cause Cause       `json:"cause,omitempty"`
	// Revision is the accepted one, or the one that the store holds.
	Revision uint64 `json:"revision,omitempty"`
	// Already says that the same set had been accepted on this base before.
	Already bool `json:"already,omitempty"`
	// Author wrote the revision that the store holds, after a conflict.
	Author string `json:"author,omitempty"`
	// Changes is what changed under the loser of a race since its base.
	Changes []catalogue.Change `json:"changes,omitempty"`
	// Problems is what is wrong with the set.
	Problems catalogue.Problems `json:"problems,omitempty"`
	Detail   string             `json:"detail"`
}

// Observed is what one read of the store returned.
type Observed struct {
	// ModRevision is the modification revision of the key, 0 when it does not exist.
	ModRevision uint64
	// Doc is nil when the key does not exist or cannot be read as a document.
	Doc *Document
}

// Step is what a publication needs next.
type Step uint8

// Steps of a publication.
const (
	// StepRead asks for a read of the store.
	StepRead Step = iota
	// StepSwap asks for a compare-and-swap of Document over Previous.
	StepSwap
	// StepDone says that Outcome is final.
	StepDone
)

// Publication decides one publish. The caller performs the step that Next
// names and reports the result, until StepDone or until it gives up.
type Publication struct {
	base  uint64
	draft Draft
	stamp hlc.Stamp
	// held is the newest document that the process knew at the start.
	held *Document
	// baseSet is the set of the base revision, nil when it is not known.
	baseSet *catalogue.Set

	step     Step
	doc      *Document
	previous uint64
	// sent says that a swap was tried, so that the write may take effect.
	sent    bool
	outcome Outcome
}

// NewPublication starts the publish of a draft on a base revision.
func NewPublication(base uint64, draft Draft, stamp hlc.Stamp, held *Document, baseSet *catalogue.Set) *Publication {
	return &Publication{base: base, draft: draft, stamp: stamp, held: held, baseSet: baseSet}
}

// Next returns the step to perform.
func (p *Publication) Next() Step { return p.step }

// Document returns the document to write, once a swap was asked for.
func (p *Publication) Document() *Document { return p.doc }

// Previous returns the modification revision to swap from.
func (p *Publication) Previous() uint64 { return p.previous }

// Outcome returns the result after StepDone.
func (p *Publication) Outcome() Outcome { return p.outcome }

// Read reports a successful read.
func (p *Publication) Read(seen Observed) {
	if p.sent {
		p.resolve(seen)
		return
	}
	if Compare(seen.Doc, p.held) < 0 {
		p.finish(Outcome{Kind: Rejected, Cause: CauseStoreBehind, Revision: revisionOf(seen.Doc),
			Detail: "The store is behind the newest accepted revision; a watcher writes it back, try again in some seconds."})
		return
	}
	if revisionOf(seen.Doc) != p.base {
		p.lose(seen)
		return
	}
	p.prepare(seen)
}

// prepare builds the document over the base that the store holds. The set is
// checked here, since its zone states may come from that base.
func (p *Publication) prepare(seen Observed) {
	doc := next(seen.Doc, p.draft, p.stamp)
	if problems := catalogue.Validate(&doc.Set); len(problems) > 0 {
		p.finish(invalid(problems))
		return
	}
	if seen.Doc != nil && len(p.draft.DecidedAt) == 0 && seen.Doc.Digest == doc.Digest {
		p.finish(Outcome{Kind: Accepted, Revision: seen.Doc.Revision, Already: true, Detail: "Nothing changes."})
		return
	}
	p.doc = doc
	p.previous = seen.ModRevision
	p.step = StepSwap
}

func invalid(problems catalogue.Problems) Outcome {
	return Outcome{Kind: Rejected, Cause: CauseInvalid, Problems: problems,
		Detail: fmt.Sprintf("The set has %d problems; nothing was published.", len(problems))}
}

// lose ends a publication whose base is not the store's revision. The set may
// be there already, from an earlier publish whose answer was lost.
func (p *Publication) lose(seen Observed) {
	after, known := seen.Doc.at(p.base + 1)
	if known && after.Draft == p.draft.digest() && after.Author == p.draft.Author {
		p.finish(Outcome{Kind: Accepted, Revision: after.Revision, Already: true,
			Detail: "The same set was accepted on this base before."})
		return
	}
	p.refuseConflict(seen)
}

func (p *Publication) refuseConflict(seen Observed) {
	outcome := Outcome{Kind: Rejected, Cause: CauseConflict, Revision: revisionOf(seen.Doc),
		Detail: "The store holds another revision than the base; get it and try again."}
	if seen.Doc != nil {
		outcome.Author = seen.Doc.Author
	}
	if p.baseSet != nil {
		outcome.Changes = catalogue.Diff(p.baseSet, setOf(seen.Doc))
	}
	p.finish(outcome)
}

// resolve judges a read after a swap whose result is not known.
func (p *Publication) resolve(seen Observed) {
	if seen.Doc.Contains(p.doc.ID) {
		p.accept()
		return
	}
	if seen.ModRevision == p.previous {
		p.step = StepSwap // the write has not taken effect; the same swap can only succeed once
		return
	}
	_, taken := seen.Doc.at(p.doc.Revision)
	if taken {
		p.refuseConflict(seen)
		return
	}
	p.step = StepRead // the store lost data, or moved further than the lineage tells
}

// Swapped reports the answer to a swap. A refused swap is read back, because
// an earlier try may have taken effect.
func (p *Publication) Swapped(swapped bool) {
	p.sent = true
	if swapped {
		p.accept()
		return
	}
	p.step = StepRead
}

// Failed reports a step without an answer. A failed swap may have taken
// effect, unless sent is false.
func (p *Publication) Failed(sent bool) {
	if p.step == StepSwap && sent {
		p.sent = true
		p.step = StepRead
	}
}

// GiveUp ends the publication when time is over.
func (p *Publication) GiveUp() {
	if p.step == StepDone {
		return
	}
	if p.sent {
		p.finish(Outcome{Kind: Unknown, Cause: CauseAnswerLost, Revision: p.doc.Revision,
			Detail: "The platform's answer was lost; ask again with the same set and base."})
		return
	}
	p.finish(Outcome{Kind: Rejected, Cause: CausePlatformDown, Detail: "The platform cannot be reached; nothing was published."})
}

func (p *Publication) accept() {
	p.finish(Outcome{Kind: Accepted, Revision: p.doc.Revision, Detail: "Accepted; processes take it within seconds."})
}

func (p *Publication) finish(outcome Outcome) {
	p.outcome = outcome
	p.step = StepDone
}
