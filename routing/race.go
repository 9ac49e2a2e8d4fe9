package routing

import (
	"slices"

	"github.com/zinniaseam/zinniaseam/core"
)

// Race selects the answer of one request among its attempts. The first attempt that
// delivers the head of an answer, or that ends with a complete answer, wins. Messages
// of other attempts are dropped from then on, as are late, reordered and repeated
// messages. Race performs no I/O and is not safe for concurrent use.
type Race struct {
	// ordered is set when the parts of an answer are numbered. Parts are then accepted
	// in sequence only.
	ordered bool
	newest  uint32
	winner  uint32
	next    uint32
	open    []uint32
	ended   map[uint32]*core.Refusal
}

// NewRace returns a race without attempts, for a request of which no answer was
// delivered to the caller. The parts of model calls are numbered, those of plain
// services are not.
func NewRace(ordered bool) *Race { return &Race{ordered: ordered, ended: map[uint32]*core.Refusal{}} }

// CanBegin reports whether another attempt may start: no attempt has won, and not all
// earlier ones have ended.
func (r *Race) CanBegin() bool { return r.winner == 0 && (len(r.ended) == 0 || len(r.open) > 0) }

// Begin adds an attempt. Attempt numbers are positive and ascending. It returns false
// if the attempt must not start.
func (r *Race) Begin(attempt uint32) bool {
	if attempt <= r.newest || !r.CanBegin() {
		return false
	}
	r.newest = attempt
	r.open = append(r.open, attempt)
	return true
}

// Head handles the head of an attempt's answer and reports whether to deliver it to the
// caller.
func (r *Race) Head(attempt uint32) bool {
	if r.winner != 0 || !slices.Contains(r.open, attempt) {
		return false
	}
	r.winner = attempt
	return true
}

// Data handles one part of an attempt's answer and reports whether to deliver it to the
// caller. number is the part's index in the answer, from 0.
func (r *Race) Data(attempt, number uint32) bool {
	if attempt != r.winner || !slices.Contains(r.open, attempt) || r.ordered && number != r.next {
		return false
	}
	r.next++
	return true
}

// End handles the end of an attempt. refusal is nil after a complete answer. Further
// ends of the same attempt are ignored.
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

// Winner returns the attempt whose answer is delivered to the caller, or 0 if there is
// none yet.
func (r *Race) Winner() uint32 { return r.winner }

// Losers returns the open attempts to cancel.
func (r *Race) Losers() []uint32 {
	if r.winner == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.open), func(attempt uint32) bool { return attempt == r.winner })
}

// Result returns the outcome of the request once no attempt is open: that of the winner
// or, without a winner, that of the first attempt. mayHaveRun is set if any attempt may
// have run, including canceled ones.
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
