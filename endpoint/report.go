package endpoint

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/peerpb"
)

const (
	// keepaliveInterval is the interval between reports without changes.
	keepaliveInterval = 2 * time.Second
	// minLimitChange is the smallest relative change of the limit that is reported
	// immediately.
	minLimitChange = 0.25
)

// reporter decides when the state of this endpoint is reported anew. Load is sent with
// every answer, so small changes of load need no report.
type reporter struct {
	last   *peerpb.EndpointState
	lastAt time.Time
}

// next returns the state to report: either state with the next sequence number, or the
// last reported state unchanged.
func (r *reporter) next(now time.Time, state *peerpb.EndpointState) *peerpb.EndpointState {
	if r.last != nil && now.Sub(r.lastAt) < keepaliveInterval && !needsReport(r.last, state) {
		return r.last
	}
	if r.last != nil {
		state.Sequence = r.last.GetSequence()
	}
	state.Sequence++
	r.last, r.lastAt = state, now
	return state
}

// needsReport reports whether the change from a to b must be sent before the next
// keepalive.
func needsReport(a, b *peerpb.EndpointState) bool {
	if capacityChanged(a.GetLoad(), b.GetLoad()) {
		return true
	}
	comparableA, comparableB := proto.CloneOf(a), proto.CloneOf(b)
	for _, state := range []*peerpb.EndpointState{comparableA, comparableB} {
		state.Sequence, state.Load, state.SecondsLeft, state.ChunksHeld = 0, nil, 0, 0
	}
	return !proto.Equal(comparableA, comparableB)
}

// capacityChanged reports whether the limit changed by more than minLimitChange, or the
// queue became empty or non-empty.
func capacityChanged(a, b *peerpb.EndpointLoad) bool {
	before, after := float64(a.GetLimit()), float64(b.GetLimit())
	return after < before*(1-minLimitChange) || after > before*(1+minLimitChange) || (a.GetQueued() == 0) != (b.GetQueued() == 0)
}
