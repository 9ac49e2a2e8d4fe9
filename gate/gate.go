// Package gate implements admission control for a single endpoint: it bounds the calls
// in flight and queues, rejects or sheds the rest. The gate runs on the endpoint's VM.
// Gate and the limiters perform no I/O: callers pass in the time and the results of
// calls. SharedGate adds locking and a timer.
package gate

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
)

// Request describes a call to be admitted.
type Request struct {
	Priority core.Priority
	Team     core.TeamID
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

// Result describes how an admitted call ended.
type Result struct {
	// Failed is set when the endpoint did not return a complete answer.
	Failed bool
	// FirstToken is the time from sending the call to the first byte of the answer.
	FirstToken time.Duration
	// Tokens is the number of events in the answer.
	Tokens int
	// Elapsed is the time from sending the call to its end.
	Elapsed time.Duration
	// Unreachable is set when the endpoint could not be reached and no part of the
	// call was sent. Failed is set as well.
	Unreachable bool
	// NotStarted is set when the call was admitted but never sent to the endpoint.
	NotStarted bool
	// Canceled is set when the caller gave up. It does not indicate the endpoint's
	// health.
	Canceled bool
	// Observed is set when progress was already reported to a ProgressLimiter.
	Observed bool
}

// Limiter bounds the calls in flight at one endpoint. Implementations are not safe for
// concurrent use; each belongs to one Gate.
type Limiter interface {
	// Limit returns the maximum number of calls in flight at now.
	Limit(now time.Time) int
	// Started records that a call was sent to the endpoint.
	Started(now time.Time)
	// Done records the end of a call that was reported to Started.
	Done(now time.Time, result Result)
	// Cold records that the endpoint lost its warm state, for example after a restart.
	Cold(now time.Time)
}

// ProgressLimiter is a Limiter that also learns from running calls.
type ProgressLimiter interface {
	Limiter
	// FirstToken records that a call received its first token after the given time.
	FirstToken(now time.Time, after time.Duration)
	// Tokens records that one call received count further tokens within over.
	Tokens(now time.Time, count int, over time.Duration)
}

// Limiters is the registry of limiters.
var Limiters = kernel.NewRegistry[Limiter]("gate limiter")
