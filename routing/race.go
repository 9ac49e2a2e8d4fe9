package routing

import (
	"slices"

	"github.com/zinniaseam/zinniaseam/core"
)

// Race matches what the attempts of one request bring. The first attempt that
// brings the head of an answer, or ends answered, wins; from then on nothing of
// another attempt passes. Late, crossed and repeated messages are dropped. It
// performs no I/O and is not safe for concurrent use.
type Race struct {
	// counted says that parts are numbered; only the next number passes.
	counted bool
	newest  uint32
	winner  uint32
	next    uint32
	open    []uint32
	ended   map[uint32]*core.Refusal
}

// NewRace returns a race without attempts for a request of which the caller has
// nothing yet. Parts of model calls are counted, parts of plain services are not.
func NewRace(counted bool) *Race { return &Race{counted: counted, ended: map[uint32]*core.Refusal{}} }

// CanBegin reports whether a further attempt may start: none has won, and not all
// earlier ones have ended.
func (r *Race) CanBegin() bool { return r.winner == 0 && (len(r.ended) == 0 || len(r.open) > 0) }

// Begin adds an attempt; numbers are positive and grow. It returns false when the
// attempt must not start.
func (r *Race) Begin(attempt uint32) bool {
	if attempt <= r.newest || !r.CanBegin() {
		return false
	}
	r.newest = attempt
	r.open = append(r.open, attempt)
	return true
}

// Head takes the start of an attempt's answer and reports whether it passes.
func (r *Race) Head(attempt uint32) bool {
	if r.winner != 0 || !slices.Contains(r.open, attempt) {
		return false
	}
	r.winner = attempt
	return true
}

// Data takes one part of an attempt's answer and reports whether it passes.
// number counts the parts of the whole answer from 0.
func (r *Race) Data(attempt, number uint32) bool {
	if attempt != r.winner || !slices.Contains(r.open, attempt) || r.counted && number != r.next {
		return false
	}
	r.next++
	return true
}

// End takes the end of an attempt; refusal is nil after a whole answer. Only the
// first end of each attempt counts.
func (r *Race) End(attempt uint32, refusal *core.Refusal) {
	at := slices.Index(r.open, attempt)
	if at < 0 {
		return
	}
	r.open = slices.Delete(r.open, at, at+1)
	r.ended[attempt] = refusal
	if refusal == nil && r.winner == 0 {
		r.winner = attempt
	}
}

// Winner returns the attempt whose answer the caller gets, 0 while there is none.
func (r *Race) Winner() uint32 { return r.winner }

// Losers lists the open attempts that are to be cancelled.
func (r *Race) Losers() []uint32 {
	if r.winner == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.open), func(attempt uint32) bool { return attempt == r.winner })
}

// Result returns how the request ended once no attempt is open: as its winner
// did, otherwise as its first attempt did. mayHaveRun is set when any attempt
// may have run, also one that was cancelled.
func (r *Race) Result() (refusal *core.Refusal, mayHaveRun bool) {
	decisive, first := r.winner, uint32(0)
	for attempt, end := range r.ended {
		mayHaveRun = mayHaveRun || end != nil && end.Kind == core.OutcomeUnknown
		if first == 0 || attempt < first {
			first = attempt
		}
	}
	if decisive == 0 {
		decisive = first
	}
	return r.ended[decisive], mayHaveRun
}
