package platform

import (
	"errors"
	"fmt"
	"time"
)

// Errors of the client, to be tested with errors.Is.
var (
	// ErrRateLimited means that the call was rejected because of a rate limit and had no
	// effect. The error is a *RateLimitedError.
	ErrRateLimited = errors.New("platform: rate limited")
	// ErrOutage means that the platform is unreachable or reported that it is
	// unavailable.
	ErrOutage = errors.New("platform: outage")
	// ErrOutcomeUnknown means that a write was sent but its answer was lost. The write may
	// have been applied, or may still be applied later.
	ErrOutcomeUnknown = errors.New("platform: answer lost, outcome unknown")
	// ErrLeaseExpired means that the lease does not exist any more.
	ErrLeaseExpired = errors.New("platform: lease expired")
	// ErrTooLarge means that a value, a key or an answer exceeds its limit.
	ErrTooLarge = errors.New("platform: too large")
	// ErrBadKey means that a key cannot be used as a URL path.
	ErrBadKey = errors.New("platform: invalid key")
	// ErrProtocol means that an answer violates the protocol.
	ErrProtocol = errors.New("platform: unexpected answer")
)

// RateLimitedError is the error of a call that was rejected because of a rate limit.
type RateLimitedError struct {
	// RetryAfter is the time to wait before a retry.
	RetryAfter time.Duration
	// Local is set if the client's own token bucket rejected the call without sending it.
	Local bool
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%v, retry after %s", ErrRateLimited, e.RetryAfter)
}

// Is reports whether target is ErrRateLimited.
func (e *RateLimitedError) Is(target error) bool { return target == ErrRateLimited }
