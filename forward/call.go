// Package forward sends calls to endpoints over HTTP/1.1. It pools connections,
// distinguishes calls that may have run from calls that have not, and reads complete
// answers and events.
package forward

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
)

// Call is one request of a caller.
type Call struct {
	// ID is the caller's request ID. Each attempt of the call has an ID of its own.
	ID     core.RequestID
	Method string
	Host   string
	// Path selects the route, Target is the path with its query.
	Path, Target string
	// Header contains the headers that are passed on unchanged.
	Header http.Header
	Body   Body
	// Timeout is how long the caller waits; 0 if the caller does not send it.
	Timeout time.Duration
	// Key is the team's key; empty if there is none.
	Key string
	// Model and PromptTokens describe a model call. OutputTokens is the expected length
	// of its answer, which is often far off, and MaxOutputTokens the maximum.
	Model                                       string
	PromptTokens, OutputTokens, MaxOutputTokens int
	// SharedParts are the parts of the prompt that other calls may have in common with this
	// one, in order. The last part of a prompt belongs to the call or its session alone and
	// is not among them.
	SharedParts []core.PromptPart
	// LastEvent is the ID of the last event that the caller has received.
	LastEvent string
}

// Attempt is one send of a call to an endpoint.
type Attempt struct {
	Call     *Call
	Endpoint *fleet.Endpoint
	// Team is the caller's team; empty if the call needs no key.
	Team core.TeamID
	// Remaining is the time left for the endpoint to answer.
	Remaining time.Duration
	// LastEvent is the ID of the last event that was passed on.
	LastEvent string
	// Rank is the rank of the call, 0 being the highest. The endpoint is told it if Ranked is set.
	Rank   int
	Ranked bool
	// Start is called when a connection is open, unless it is nil. It returns the time left
	// for the endpoint to answer, and whether the attempt may still be sent.
	Start func() (remaining time.Duration, permitted bool)
	// Received is called with the classification of each answer that arrives on the
	// attempt's connection, also of one to another request, unless it is nil.
	Received func(Classification)
}

// Load is the load that an endpoint reports: calls running and waiting, and slots.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes at the endpoint now, 1 being as usual, 0 if it is not
	// reported.
	Slowdown float64
}

// Classification is the meaning of the head of an answer.
type Classification struct {
	// AnswerID is the request ID that the answer bears, empty if it bears none.
	AnswerID core.RequestID
	// Mismatched is set if the answer belongs to another request, or names none.
	Mismatched bool
	// NotRun is set if the endpoint did not run the request and will not run it.
	NotRun bool
	// Misdirected is set if another endpoint answered at the address.
	Misdirected bool
	// Closing is set if the endpoint closes the connection.
	Closing bool
	// Leaving is set if the endpoint stops soon and wants no more calls.
	Leaving bool
	// Pause is how long the endpoint, which turned the request away, wants no calls from
	// this process, 0 if it did not say.
	Pause time.Duration
	// Weights is the version of the weights on which the endpoint started the call, 0 if it
	// reported none.
	Weights int64
	// Load is the load that the endpoint reported, nil if it reported none.
	Load *Load
}

// Provenance is what is known about where an answer comes from.
type Provenance struct {
	// Exchanges is the number of requests that the connection carried before this one.
	Exchanges int
	// RequestWritten is set if the complete request had been written when the head of the
	// answer had arrived.
	RequestWritten bool
}

// Dialect translates between calls and HTTP messages.
type Dialect interface {
	// Request returns the HTTP request of an attempt, with its body.
	Request(attempt Attempt) *http.Request
	// Classify interprets the head of the answer to an attempt.
	Classify(attempt Attempt, response *http.Response) Classification
}

// Errors of an attempt.
var (
	// ErrNotSent means that nothing was sent: the request has not run.
	ErrNotSent = errors.New("forward: request not sent")
	// ErrWithdrawn means that the attempt was no longer permitted when its connection was
	// open. It is an ErrNotSent.
	ErrWithdrawn = fmt.Errorf("%w: no longer permitted", ErrNotSent)
	// ErrNoAnswer means that the request was sent and no answer arrived: it may have
	// run.
	ErrNoAnswer = errors.New("forward: request sent, no answer received")
	// ErrTruncated means that an answer ended early or exceeded its size limit.
	ErrTruncated = errors.New("forward: answer truncated")
	// ErrNoEvent means that a stream has something else where an event is due.
	ErrNoEvent = errors.New("forward: not an event")
)
