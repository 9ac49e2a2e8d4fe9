// Package notices remembers what endpoints say about themselves in their answers: that they
// are leaving, or that they want no calls for some time. It performs no I/O.
//
// Load pattern: an endpoint leaves or is overloaded while the registry can't be read or still
// lists it as ready. Calls sent to it meanwhile are lost or rejected, and add to its load. A
// notice therefore outlives the endpoint's registry entry; only a later start of the endpoint
// ends it.
package notices

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
)

const (
	// MaxPause bounds how long an endpoint can keep calls away with one answer. A longer time
	// is taken for a fault of the endpoint.
	MaxPause = 2 * time.Minute
	// keepTime is how long a notice is kept after the endpoint was registered last.
	keepTime = 10 * time.Minute
	// maxPerAddress bounds the notices of one address.
	maxPerAddress = 8
)

// Subject identifies one start of an endpoint.
type Subject struct {
	Address string
	// ID is empty if it is unknown, Boot is 0 if it is unknown.
	ID   string
	Boot int64
}

// is reports whether two subjects may be the same start. What is unknown proves no other
// start.
func (s Subject) is(other Subject) bool {
	return s.Address == other.Address && (s.ID == other.ID || s.ID == "" || other.ID == "") &&
		(s.Boot == other.Boot || s.Boot == 0 || other.Boot == 0)
}

// State is what applies to one start of an endpoint.
type State struct {
	// Leaving is set if the endpoint stops soon.
	Leaving bool
	// ClosedUntil is the time until which the endpoint wants no calls, 0 if it has not named
	// one.
	ClosedUntil boottime.Instant
}

type notice struct {
	subject Subject
	state   State
	// seen is when the notice was received or its endpoint was registered last.
	seen boottime.Instant
}

// Book holds the notices of all endpoints. It is not safe for concurrent use.
type Book struct {
	byAddress map[string][]*notice
}

// NewBook returns a book without notices.
func NewBook() *Book { return &Book{byAddress: map[string][]*notice{}} }

// Leaving records that an endpoint has said that it is leaving.
func (b *Book) Leaving(now boottime.Instant, subject Subject) {
	b.of(now, subject).state.Leaving = true
}

// Close records that an endpoint wants no calls for a time, which is at most MaxPause. An
// earlier notice that lasts longer stays in force.
func (b *Book) Close(now boottime.Instant, subject Subject, pause time.Duration) {
	if pause <= 0 {
		return
	}
	n := b.of(now, subject)
	n.state.ClosedUntil = max(n.state.ClosedUntil, now.Add(min(pause, MaxPause)))
}

// of returns the notice of a subject and adds one if there is none.
func (b *Book) of(now boottime.Instant, subject Subject) *notice {
	list := b.byAddress[subject.Address]
	for _, n := range list {
		if n.subject == subject {
			n.seen = now
			return n
		}
	}
	if len(list) >= maxPerAddress {
		list = list[1:]
	}
	n := &notice{subject: subject, seen: now}
	b.byAddress[subject.Address] = append(list, n)
	return n
}

// Lookup returns what applies to a start of an endpoint.
func (b *Book) Lookup(subject Subject) State {
	var state State
	for _, n := range b.byAddress[subject.Address] {
		if n.subject.is(subject) {
			state.Leaving = state.Leaving || n.state.Leaving
			state.ClosedUntil = max(state.ClosedUntil, n.state.ClosedUntil)
		}
	}
	return state
}

// Forget drops notices that are out of force: those whose time is over, and those of
// endpoints that have not been registered for long.
func (b *Book) Forget(now boottime.Instant, registered func(address string) bool) {
	for address, list := range b.byAddress {
		present := registered(address)
		kept := list[:0]
		for _, n := range list {
			if present {
				n.seen = now
			}
			expired := !n.state.Leaving && !now.Before(n.state.ClosedUntil)
			if !expired && now.Sub(n.seen) <= keepTime {
				kept = append(kept, n)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(b.byAddress, address)
			continue
		}
		b.byAddress[address] = kept
	}
}

// Len returns the number of notices.
func (b *Book) Len() int {
	count := 0
	for _, list := range b.byAddress {
		count += len(list)
	}
	return count
}
