package gate

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// minBackoff is how long the gate rejects calls after the endpoint could not be
	// reached. Each further failure doubles it, up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// backoff delays calls to an endpoint that cannot be reached.
type backoff struct {
	// until is when the next call may be sent; zero when the endpoint is reachable.
	until time.Time
	// wait is the length of the latest delay.
	wait time.Duration
}

// active reports whether no call may be sent yet.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// extend records that the endpoint could not be reached.
func (b *backoff) extend(now time.Time) {
	if b.active(now) {
		return
	}
	b.wait = min(maxBackoff, max(minBackoff, 2*b.wait))
	b.until = now.Add(b.wait)
}

// unreachable handles a call that could not be sent to the endpoint. It rejects the
// waiting calls and, until the backoff ends, new ones. The limiter starts over from its
// start limit.
func (g *Gate) unreachable(now time.Time, actions *Actions) {
	g.backoff.extend(now)
	g.limiter.Cold(now)
	for _, ticket := range g.queue.All() {
		g.queue.Remove(ticket.ID)
		g.rejectUnreachable(now, actions, ticket)
	}
}

// rejectUnreachable rejects a call because the endpoint cannot be reached.
func (g *Gate) rejectUnreachable(now time.Time, actions *Actions, ticket Ticket) {
	after := max(minRetryAfter, 2*g.backoff.until.Sub(now))
	g.reject(actions, ticket, core.ReasonBackendFailed, g.jitter(after), "the endpoint can't be reached")
}
