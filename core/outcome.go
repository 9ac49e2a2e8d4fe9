package core

import (
	"fmt"
	"time"
)

// OutcomeKind is the known outcome of a request.
type OutcomeKind uint8

const (
	// OutcomeAnswered means that the caller received the complete answer.
	OutcomeAnswered OutcomeKind = iota
	// OutcomeNotRun means that the request never reached a back end, so a retry is safe.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run, so it must not be retried
	// unless a second run is known to be safe.
	OutcomeUnknown
)

// String returns the name used in JSON bodies and logs.
func (k OutcomeKind) String() string {
	switch k {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Reason is the machine-readable cause of a refusal.
type Reason string

// Reasons sent to callers in the body of a refusal.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonNoRoute          Reason = "no_route"
	ReasonTooLarge         Reason = "too_large"
	ReasonNoMemory         Reason = "no_memory"
	ReasonOverloaded       Reason = "overloaded"
	ReasonTeamShare        Reason = "team_over_share"
	ReasonDeadline         Reason = "deadline"
	ReasonNoEndpoint       Reason = "no_endpoint"
	ReasonZoneOut          Reason = "zone_out"
	ReasonLeaving          Reason = "leaving"
	ReasonWarming          Reason = "warming"
	ReasonQuarantined      Reason = "quarantined"
	ReasonPlatformDown     Reason = "platform_down"
	ReasonNotHome          Reason = "not_home"
	ReasonKeyUsed          Reason = "key_used"
	ReasonKeyMissing       Reason = "key_missing"
	ReasonKeyMismatch      Reason = "key_mismatch"
	ReasonKeyExpired       Reason = "key_expired"
	ReasonInProgress       Reason = "in_progress"
	ReasonConnectionLost   Reason = "connection_lost"
	ReasonBackendFailed    Reason = "backend_failed"
	ReasonIncomplete       Reason = "incomplete"
	ReasonVersionMismatch  Reason = "version_mismatch"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonCanceledByCaller Reason = "canceled"
)

// Refusal is the typed final answer to a request that was not answered.
type Refusal struct {
	// Kind is OutcomeNotRun or OutcomeUnknown.
	Kind OutcomeKind
	// Reason is the machine-readable cause.
	Reason Reason
	// Detail is a short, human-readable sentence in English.
	Detail string
	// RetryAfter is the delay before the caller should retry. Zero means that a
	// retry would not help.
	RetryAfter time.Duration
}

// Error implements error, so that functions can return a refusal as an error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Kind, r.Reason, r.Detail)
}

// NotRun returns a refusal of a request that never reached a back end.
func NotRun(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Kind: OutcomeNotRun, Reason: reason, Detail: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}

// Unknown returns a refusal of a request that may or may not have run.
func Unknown(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Kind: OutcomeUnknown, Reason: reason, Detail: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}
