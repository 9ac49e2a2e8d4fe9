// Package placement decides where a call runs, how long it waits, and when it is
// turned away. It performs no I/O: it takes events and the time and returns
// decisions.
//
// Load pattern answered: arrivals exceed what the endpoints can start in time,
// for seconds at a stretch, while empty endpoints become ready one by one. Calls
// then wait here, where they can still be placed on the first endpoint with
// room, and not in the queue of one endpoint.
package placement

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
)

// Request is a call that is to be placed.
type Request struct {
	ID      core.RequestID
	Service core.ServiceID
	// Homes are the regions that may run it; empty allows all.
	Homes [][]core.RegionID
	// PromptTokens and OutputTokens describe a model call; 0 when not known.
	PromptTokens, OutputTokens int
	// Priority is its rank, 0 the highest.
	Priority int
	// OnTimeBy is until when its answer must begin to be on time.
	OnTimeBy boottime.Instant
	// Deadline is when the caller stops waiting.
	Deadline boottime.Instant
	// Retried says that the caller was turned away before and came back.
	Retried bool
	// Continues says that the caller has a part of the answer already.
	Continues bool
	// MayMove says that it may run more than once, and so may be taken from an
	// endpoint that does not respond.
	MayMove bool
	// Tried are the endpoints that it was sent to.
	Tried []fleet.EndpointID
}

// Verdict is what becomes of a request.
type Verdict uint8

// Verdicts.
const (
	// Wait means that the request stays in the queue.
	Wait Verdict = iota
	// Place means that it goes to an endpoint now.
	Place
	// Reject means that it is turned away and has not run.
	Reject
)

// Decision is the verdict on a request with what decided it.
type Decision struct {
	Verdict  Verdict
	Endpoint *fleet.Endpoint
	// Reason is why the request was turned away.
	Reason core.Reason
	// RetryAfter is when a rejected caller should come back.
	RetryAfter time.Duration
	// Expected is the predicted time to the first byte of the answer.
	Expected time.Duration
	// Load is the believed number of calls at the endpoint, LoadAge the age of the
	// report behind it, negative without one.
	Load    int
	LoadAge time.Duration
	// Waited is the time in the queue.
	Waited time.Duration
	// Candidates is how many endpoints could have taken the request.
	Candidates int
}

// Ticket is a request in the hands of a Placer.
type Ticket struct {
	Request  Request
	arrived  boottime.Instant
	decision Decision
	// endpoint is where the request runs, nil while it waits.
	endpoint *endpointState
	sentAt   boottime.Instant
	started  bool
	// borrowed says that the request runs in a slot of another process.
	borrowed bool
}

// Decision returns the latest decision.
func (t *Ticket) Decision() Decision { return t.decision }
