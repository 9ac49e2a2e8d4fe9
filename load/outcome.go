package load

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Outcome is the outcome of one request as its caller received it.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeAnswered is a complete and correct answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun is a rejection of a request that was certainly not executed.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown is a rejection of a request that may have been executed.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeIncomplete is a stream that ended early, with an error event or a broken
	// connection.
	OutcomeIncomplete Outcome = "incomplete"
	// OutcomeMixed is an answer with tokens of more than one version, or of other
	// weights than expected.
	OutcomeMixed Outcome = "mixed"
	// OutcomeWrong is an answer whose content does not belong to the request.
	OutcomeWrong Outcome = "wrong"
	// OutcomeLost is a request without a typed response.
	OutcomeLost Outcome = "lost"
	// OutcomeSkipped is a request that the load tool did not send, because too many
	// were in flight.
	OutcomeSkipped Outcome = "skipped"
)

// Outcomes lists every outcome in the order used in tables.
var Outcomes = []Outcome{
	OutcomeAnswered, OutcomeNotRun, OutcomeUnknown, OutcomeIncomplete,
	OutcomeMixed, OutcomeWrong, OutcomeLost, OutcomeSkipped,
}

// Refusal is the JSON body of the response to a rejected request.
type Refusal struct {
	Outcome      Outcome     `json:"outcome"`
	Reason       core.Reason `json:"reason"`
	Detail       string      `json:"detail"`
	RetryAfterMS int64       `json:"retry_after_ms"`
}

// Reasons that the load tool assigns itself.
const (
	// ReasonUntyped is an error response without a Refusal body.
	ReasonUntyped core.Reason = "untyped_answer"
	// ReasonDial is a connection that could not be opened.
	ReasonDial core.Reason = "dial_failed"
	// ReasonConnection is a connection that failed before a response.
	ReasonConnection core.Reason = "connection_broke"
	// ReasonTimeout is an answer that did not arrive before the deadline.
	ReasonTimeout core.Reason = "no_answer_in_time"
	// ReasonCut is a stream whose connection ended without an error event.
	ReasonCut core.Reason = "stream_cut"
)

// Attempt is the result of sending a request once.
type Attempt struct {
	Outcome Outcome
	Reason  core.Reason
	Detail  string
	// RetryAfter is how long a rejected caller is asked to wait before a retry.
	RetryAfter time.Duration
	Version    core.VersionID
	// FirstToken is the time to first token, zero if there was none.
	FirstToken time.Duration
	// InterToken holds the inter-token latencies.
	InterToken []time.Duration
	Elapsed    time.Duration
}

// Record is one finished request.
type Record struct {
	Arrival
	// Attempt is the last attempt; FirstToken and Elapsed are measured from the arrival.
	Attempt
	Attempts int
	// MayHaveRun is set if an attempt had an unknown outcome, or was lost for another
	// reason than a failed dial.
	MayHaveRun bool
	// History describes the outcome of each attempt in order, with its entry and time.
	History []string
}
