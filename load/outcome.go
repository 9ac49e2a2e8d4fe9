package load

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Outcome is how one request ended for its caller.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeAnswered is a whole and right answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun is a refusal that says so.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown is a refusal that leaves the fate open.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeIncomplete is a stream that ended before its end, said clearly or cut.
	OutcomeIncomplete Outcome = "incomplete"
	// OutcomeMixed is an answer with tokens of more than one version.
	OutcomeMixed Outcome = "mixed"
	// OutcomeWrong is an answer whose content is not the request's own.
	OutcomeWrong Outcome = "wrong"
	// OutcomeLost is a connection that gave no typed answer.
	OutcomeLost Outcome = "lost"
	// OutcomeSkipped is a request that the load tool itself could not send.
	OutcomeSkipped Outcome = "skipped"
)

// Outcomes lists every outcome in the order of tables.
var Outcomes = []Outcome{
	OutcomeAnswered, OutcomeNotRun, OutcomeUnknown, OutcomeIncomplete,
	OutcomeMixed, OutcomeWrong, OutcomeLost, OutcomeSkipped,
}

// Refusal is the JSON body of a refused request.
type Refusal struct {
	Outcome      Outcome     `json:"outcome"`
	Reason       core.Reason `json:"reason"`
	Detail       string      `json:"detail"`
	RetryAfterMS int64       `json:"retry_after_ms"`
}

// Reasons that the load tool itself gives.
const (
	// ReasonUntyped is an error answer without a refusal body.
	ReasonUntyped core.Reason = "untyped_answer"
	// ReasonDial is a connection that could not be opened.
	ReasonDial core.Reason = "dial_failed"
	// ReasonConnection is a connection that broke before an answer.
	ReasonConnection core.Reason = "connection_broke"
	// ReasonTimeout is an answer that did not come in time.
	ReasonTimeout core.Reason = "no_answer_in_time"
	// ReasonCut is a stream that broke without a word.
	ReasonCut core.Reason = "stream_cut"
)

// Attempt is one exchange with an entry.
type Attempt struct {
	Outcome Outcome
	Reason  core.Reason
	Detail  string
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	Version    core.VersionID
	// FirstToken is the time to the first token, zero without one.
	FirstToken time.Duration
	// InterToken holds the times between tokens.
	InterToken []time.Duration
	Elapsed    time.Duration
}

// Record is one finished request.
type Record struct {
	Arrival
	// Attempt is the last attempt; its times count from the arrival.
	Attempt
	Attempts int
	// MayHaveRun says that an attempt ended without its fate being known.
	MayHaveRun bool
	// History names the end of every attempt in order, with its entry and time.
	History []string
}
