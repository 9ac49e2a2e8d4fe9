package configsync

import (
	"fmt"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/hlc"
)

// OutcomeKind is the kind of result of a publish.
type OutcomeKind string

// Outcomes of a publish.
const (
	// Accepted means that the store accepted the document.
	Accepted OutcomeKind = "accepted"
	// Rejected means that the document is not in the store and will not be written.
	Rejected OutcomeKind = "refused"
	// Unknown means that the document may have been accepted or may still be.
	// Repeating the publish with the same set and base resolves it.
	Unknown OutcomeKind = "not_known_yet"
)

// Cause is the reason why a publish was not accepted.
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

// Outcome is the result of a publish. It never claims more than is known: a
// write whose response was lost is reported as Unknown.
type Outcome struct {
	Kind  OutcomeKind `json:"kind"`
	Cause Cause       `json:"cause,omitempty"`
	// Revision is the accepted revision, or the revision found in the store.
	Revision uint64 `json:"revision,omitempty"`
	// Already reports that the store already had the same set, so nothing was
	// written.
	Already bool `json:"already,omitempty"`
	// Author is, after a conflict, the author of the revision in the store.
	Author string `json:"author,omitempty"`
	// Changes lists, after a conflict, the differences between the base and the
	// set in the store. It is empty if the base set is not retained.
	Changes []catalogue.Change `json:"changes,omitempty"`
	// Problems lists the validation errors of the set.
	Problems catalogue.Problems `json:"problems,omitempty"`
	Detail   string             `json:"detail"`
}

// Observed is the result of one read of the store.
type Observed struct {
	// ModRevision is the modification revision of the key, or 0 if the key does
	// not exist.
	ModRevision uint64
	// Doc is nil if the key does not exist or its value cannot be decoded.
	Doc *Document
}

// Step is the next operation that a Publication needs.
type Step uint8

// Steps of a publication.
const (
	// StepRead requests a read of the store.
	StepRead Step = iota
	// StepSwap requests a compare-and-swap that writes Document if the key is
	// still at modification revision Previous.
	StepSwap
	// StepDone means that Outcome is final.
	StepDone
)

// Publication is the state machine of one publish. The caller performs the step
// returned by Next and reports the result with Read, Swapped or Failed, until
// Next returns StepDone or the caller ends the publish with GiveUp.
type Publication struct {
	base  uint64
	draft Draft
	stamp hlc.Stamp
	// newestKnown is the newest document known to the process at the start.
	newestKnown *Document
	// baseSet is the set of the base revision, or nil if it is not retained.
	baseSet *catalogue.Set

	step     Step
	doc      *Document
	previous uint64
	// maybeApplied is set once a swap was sent that may have been applied.
	maybeApplied bool
	outcome      Outcome
}

// NewPublication returns the state machine that publishes draft on the base
// revision. newestKnown is the newest document known to the process; baseSet is
// the set of the base revision, or nil if it is not retained.
func NewPublication(base uint64, draft Draft, stamp hlc.Stamp, newestKnown *Document, baseSet *catalogue.Set) *Publication {
	return &Publication{base: base, draft: draft, stamp: stamp, newestKnown: newestKnown, baseSet: baseSet}
}

// Next returns the step to perform.
func (p *Publication) Next() Step { return p.step }

// Document returns the document to write. It is set from the first StepSwap on.
func (p *Publication) Document() *Document { return p.doc }

// Previous returns the modification revision that the swap expects.
func (p *Publication) Previous() uint64 { return p.previous }

// Outcome returns the result. It is valid after StepDone.
func (p *Publication) Outcome() Outcome { return p.outcome }

// Read reports the result of a successful read of the store.
func (p *Publication) Read(seen Observed) {
	if p.maybeApplied {
		p.resolveSwap(seen)
		return
	}
	if Compare(seen.Doc, p.newestKnown) < 0 {
		p.finish(Outcome{Kind: Rejected, Cause: CauseStoreBehind, Revision: revisionOf(seen.Doc),
			Detail: "The store is behind the newest accepted revision; a watcher writes it back, try again in some seconds."})
		return
	}
	if revisionOf(seen.Doc) != p.base {
		p.resolveBaseMismatch(seen)
		return
	}
	p.prepare(seen)
}

// prepare builds the document to write on top of the one in the store. It
// validates the set again, because zone states may be copied from the stored
// document.
func (p *Publication) prepare(seen Observed) {
	doc := nextDocument(seen.Doc, p.draft, p.stamp)
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

// resolveBaseMismatch ends a publish whose base is not the revision in the
// store. The set may already be stored by an earlier attempt whose response was
// lost.
func (p *Publication) resolveBaseMismatch(seen Observed) {
	after, known := seen.Doc.idAt(p.base + 1)
	if known && after.Draft == p.draft.digest() && after.Author == p.draft.Author {
		p.finish(Outcome{Kind: Accepted, Revision: after.Revision, Already: true,
			Detail: "The same set was accepted on this base before."})
		return
	}
	p.rejectConflict(seen)
}

func (p *Publication) rejectConflict(seen Observed) {
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

// resolveSwap evaluates a read that follows a swap with an unknown result.
func (p *Publication) resolveSwap(seen Observed) {
	if seen.Doc.Contains(p.doc.ID) {
		p.accept()
		return
	}
	if seen.ModRevision == p.previous {
		p.step = StepSwap // not applied yet; repeating is safe, as the swap succeeds at most once
		return
	}
	_, taken := seen.Doc.idAt(p.doc.Revision)
	if taken {
		p.rejectConflict(seen)
		return
	}
	p.step = StepRead // the store lost data, or its lineage no longer covers the revision
}

// Swapped reports the response to a swap. After a failed comparison the store
// is read, because an earlier attempt may have been applied.
func (p *Publication) Swapped(swapped bool) {
	p.maybeApplied = true
	if swapped {
		p.accept()
		return
	}
	p.step = StepRead
}

// Failed reports a step that got no response. maybeApplied is false if the request
// certainly was not applied; otherwise a failed swap may have been.
func (p *Publication) Failed(maybeApplied bool) {
	if p.step == StepSwap && maybeApplied {
		p.maybeApplied = true
		p.step = StepRead
	}
}

// GiveUp ends the publish at its deadline. The outcome is Unknown if a swap may
// have been applied, otherwise Rejected.
func (p *Publication) GiveUp() {
	if p.step == StepDone {
		return
	}
	if p.maybeApplied {
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
