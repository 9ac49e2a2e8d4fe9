package platform

import (
	"errors"
	"fmt"
	"time"
)

// Errors of the client, to be tested with errors.Is.
var (
	// ErrRateLimited says that the call was refused before it took effect,
	// because a rate limit was reached. The error is a *RateLimitedError.
	ErrRateLimited = errors.New("platform: rate limited")
	// ErrOutage says that the platform could not be reached or answered that it
	// is unavailable.
	ErrOutage = errors.New("platform: outage")
	// ErrOutcomeUnknown says that a write was sent and its answer was lost, so
	// that the write may have taken effect or may still do so.
	ErrOutcomeUnknown = errors.New("platform: answer lost, effect unknown")
	// ErrLeaseExpired says that the lease does not exist any more.
	ErrLeaseExpired = errors.New("platform: lease lapsed")
	// ErrTooLarge says that a value, a key or an answer is over its bound.
	ErrTooLarge = errors.New("platform: too large")
	// ErrBadKey says that a key cannot be written as a path.
	ErrBadKey = errors.New("platform: bad key")
	// ErrProtocol says that an answer does not follow the protocol.
	ErrProtocol = errors.New("platform: unexpected answer")
)

// RateLimitedError reports a refused call and when to try again.
type RateLimitedError struct {
	// RetryAfter is how long to wait before the next try.
	RetryAfter time.Duration
	// Local says that the client's own bucket refused, without a call.
	Local bool
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%v, retry after %s", ErrRateLimited, e.RetryAfter)
}

// Is makes the error match ErrRateLimited.
func (e *RateLimitedError) Is(target error) bool { return target == ErrRateLimited }
