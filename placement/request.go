// Package placement decides where a call runs, how long it waits, and when it is
// rejected. It performs no I/O: it takes events and the current time and returns
// decisions.
//
// Load pattern: arrivals exceed what the endpoints can start in time, for seconds at a
// stretch, while empty endpoints become ready one by one. Calls wait in this package's
// queue, where they can still be placed on the first endpoint with room, and not in the
// queue of a single endpoint.
package placement

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/startquota"
)

// Request is a call to be placed.
type Request struct {
	ID      core.RequestID
	Service core.ServiceID
	// Homes are the sets of regions that may run the request. The endpoint's region must
	// be in each set; an empty set permits all regions.
	Homes [][]core.RegionID
	// PromptTokens and OutputTokens are the token counts of a model call; 0 if unknown.
	PromptTokens, OutputTokens int
	// Team is the caller's team; empty if the call needs no key.
	Team core.TeamID
	// Priority is the rank of the call, 0 being the highest.
	Priority int
	// FirstEventBy is when the caller leaves unless it gets an event before; 0 if it waits for
	// the complete answer.
	FirstEventBy boottime.Instant
	// Deadline is when the complete answer is due.
	Deadline boottime.Instant
	// Continues is set if the caller has received part of the answer.
	Continues bool
	// MayMove is set if the call may run more than once, so that it can be moved away
	// from an unresponsive endpoint.
	MayMove bool
	// Tried are the endpoints to which the call was sent already.
	Tried []fleet.EndpointID
}

// restricted reports whether only the endpoints of some regions may run the request.
func (r *Request) restricted() bool {
	return slices.ContainsFunc(r.Homes, func(homes []core.RegionID) bool { return len(homes) > 0 })
}

// Verdict is the decision on a request.
type Verdict uint8

// Verdicts on a request.
const (
	// Wait means that the request stays in the queue.
	Wait Verdict = iota
	// Place means that the request is sent to an endpoint now.
	Place
	// Reject means that the request is rejected and has not run.
	Reject
)

// Decision is the verdict on a request, with the data that it is based on.
type Decision struct {
	Verdict  Verdict
	Endpoint *fleet.Endpoint
	// Reason is why the request was rejected.
	Reason core.Reason
	// RetryAfter is how long a rejected caller should wait before it retries.
	RetryAfter time.Duration
	// Expected is the predicted time to the first byte of the answer.
	Expected time.Duration
	// PathDelay is the part of Expected for which the call and its answer are under way, 0 if
	// that is no longer than usual.
	PathDelay time.Duration
	// Load is the estimated number of calls at the endpoint, LoadAge the age of the
	// report it is based on, negative without one.
	Load    int
	LoadAge time.Duration
	// Weights is the version of the weights that the endpoint serves as far as this process
	// knows, 0 if unknown. NewestWeights is the newest declared version, 0 if that is not
	// newer. SupersededFor is how long ago a newer version was declared, -1 if unknown.
	Weights, NewestWeights int64
	SupersededFor          time.Duration
	// StartLimit is how many calls this process could send to the endpoint within a
	// second, -1 if they are not limited, and Starts how many it had sent there in the last
	// one or was about to send. SendWithin is for how long a borrower may send the call.
	// Granted is the number of slots that the endpoint's agent had granted to
	// this process, -1 for none, as of GrantAge ago.
	StartLimit, Starts, Granted int
	GrantAge, SendWithin        time.Duration
	// ViewAge is the age of the view of the fleet, Unregistered whether the endpoint had no
	// entry in the store.
	ViewAge      time.Duration
	Unregistered bool
	// Waited is the time spent in the queue.
	Waited time.Duration
	// Candidates is the number of eligible endpoints.
	Candidates int
	// Ahead is the number of calls of the service ahead in the queue, and StartsIn how long the
	// call would wait as predicted: when it was admitted or, if it was rejected, then. TimeLeft
	// is how long a rejected call could have gone on waiting.
	Ahead              int
	StartsIn, TimeLeft time.Duration
	// StandingFor is for how long the queue had not been short when the call was rejected so
	// that it drains, 0 if it was not.
	StandingFor time.Duration
}

// Ticket tracks a request from Submit until it has ended.
type Ticket struct {
	Request Request
	arrived boottime.Instant
	// latestStart orders waiting calls of the same priority.
	latestStart boottime.Instant
	decision    Decision
	// endpoint is where the request runs, nil while it waits.
	endpoint *endpointState
	sentAt   boottime.Instant
	started  bool
	// borrowed is set if the request runs in a slot of another process. It is then sent
	// before sendBy.
	borrowed bool
	sendBy   boottime.Instant
	// sender is set from when the request is placed on an endpoint with a limit until it is
	// sent.
	sender *startquota.Sender
}

// Decision returns the latest decision.
func (t *Ticket) Decision() Decision { return t.decision }
