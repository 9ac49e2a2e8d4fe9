package startquota

import (
	"slices"

	"github.com/zinniaseam/zinniaseam/boottime"
)

// Permit is a lease as a gateway holds it. It ends at Until, and holds for the start of the
// endpoint with the given boot time, 0 for any.
type Permit struct {
	Starts int
	Boot   int64
	Until  boottime.Instant
}

// Sender counts the calls that one gateway sends to one address against its permit. It
// outlives the endpoints that are registered there. It is not safe for concurrent use.
type Sender struct {
	permit Permit
	// sent are the calls that were sent, and placed is the number of calls that were placed
	// and not sent yet.
	sent   []boottime.Instant
	placed int
}

// SetPermit replaces the permit.
func (s *Sender) SetPermit(permit Permit) { s.permit = permit }

// Permit returns the present permit.
func (s *Sender) Permit() Permit { return s.permit }

// Limit returns how many calls may be sent to a start of the endpoint within a Window.
func (s *Sender) Limit(now boottime.Instant, boot int64) int {
	otherBoot := boot != 0 && s.permit.Boot != 0 && boot != s.permit.Boot
	if otherBoot || !now.Before(s.permit.Until) {
		return 0
	}
	return s.permit.Starts
}

// Sent returns the number of calls that were sent within the last Window.
func (s *Sender) Sent(now boottime.Instant) int {
	s.sent = slices.DeleteFunc(s.sent, func(at boottime.Instant) bool { return now.Sub(at) >= Window })
	return len(s.sent)
}

// Used returns the number of calls that were sent within the last Window or are placed.
func (s *Sender) Used(now boottime.Instant) int { return s.Sent(now) + s.placed }

// Place counts a call as placed, until Start, StartAt or Withdraw.
func (s *Sender) Place() { s.placed++ }

// Withdraw ends the count of a placed call that is not sent.
func (s *Sender) Withdraw() { s.placed-- }

// Start reports whether a placed call may be sent to a start of the endpoint now, and counts
// it as sent if so.
func (s *Sender) Start(now boottime.Instant, boot int64) bool {
	if s.Sent(now) >= s.Limit(now, boot) {
		return false
	}
	s.StartAt(now)
	return true
}

// StartAt counts a placed call as sent at a time.
func (s *Sender) StartAt(at boottime.Instant) {
	s.placed--
	s.sent = append(s.sent, at)
}
