// Package startquota divides the calls that one endpoint may receive within a second
// among the gateways that send to it. It performs no I/O.
//
// Load pattern: an endpoint becomes ready, or turns cold, while calls wait at all
// gateways. Each gateway has room for a call or two; together they send several times
// what a cold endpoint bears, and it crashes. The process beside the endpoint leases each
// gateway a number of calls per second. A gateway without a lease sends nothing, so that
// the sum is bounded whatever the gateways know of each other.
package startquota

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
)

const (
	// writeTime is how long after a call was counted it may be written to its connection, by
	// a gateway that waits for its share of a processor.
	writeTime = 100 * time.Millisecond
	// Window is the time over which calls are counted against a limit per second.
	Window = time.Second + writeTime
	// LeaseTime is how long a gateway may use a lease after it sent the message that the
	// lease answers. Gateways that hold one send a message about twice per second.
	LeaseTime = 3 * time.Second
	// MaxSendDelay is how long after a call was counted it may be sent, by a gateway that
	// borrowed a slot for it.
	MaxSendDelay = 250 * time.Millisecond
	// holdTime is how long calls that a gateway may have sent count against the limit: a
	// call that is counted now may be sent MaxSendDelay later and counts for a Window then.
	holdTime = Window + MaxSendDelay
)

// succeedingShare is the part of the limit, of shareDenominator, that a process leases until
// the leases of a former process have ended. Gateways drop these when their connection to it
// is reset.
const (
	succeedingShare  = 2
	shareDenominator = 5
)

// maxFormer bounds the processes that are remembered to have run before a gateway's present
// one.
const maxFormer = 8

// Lease is the number of calls that a gateway may send within any Window.
type Lease struct {
	// Number identifies the lease. Later leases have higher numbers; 0 is none.
	Number uint64
	Starts int
}

// Report is what a gateway says of itself in a message.
type Report struct {
	// Process identifies the process; a gateway that restarts has another one.
	Process uint64
	// Number is the last lease that the gateway applied on this connection, 0 for none.
	Number uint64
	// Sent is the number of calls that it sent to the endpoint in the last Window.
	Sent int
}

// Quota divides the limit of one endpoint. It is not safe for concurrent use.
type Quota struct {
	startedAt boottime.Instant
	// unprecedented is set if no former process can have leased calls to the endpoint as it
	// runs now.
	unprecedented bool
	limit, slots  int
	// last is the number of the last lease.
	last    uint64
	holders map[string]*holder
	// gateways is the number of holders with a lease.
	gateways int
	// former are calls that gateway processes which have ended may have sent.
	former []held
}

// holder is the state of one gateway.
type holder struct {
	process uint64
	// ended are processes that ran before it. Messages of theirs may still arrive.
	ended []uint64
	// seenAt is when its last message arrived.
	seenAt boottime.Instant
	// leases are the leases that it may use: the last one that it confirmed and all later
	// ones.
	leases []Lease
	// held are calls that it may have sent under leases that have ended.
	held []held
}

// held is a number of calls that count against the limit until a time.
type held struct {
	starts int
	until  boottime.Instant
}

// SetUnprecedented records that no former process can have leased calls to the endpoint as
// it runs now: a lease holds for one start of an endpoint, and only while it has weights.
func (q *Quota) SetUnprecedented() { q.unprecedented = true }

// New returns the quota of an endpoint without a limit.
func New(now boottime.Instant) *Quota {
	return &Quota{startedAt: now, holders: map[string]*holder{}}
}

// SetLimit sets how many calls all gateways together may send within a Window, 0 for no
// limit, and how many calls the endpoint runs at once. It reports whether that changed.
func (q *Quota) SetLimit(limit, slots int) bool {
	changed := limit != q.limit || slots != q.slots
	q.limit, q.slots = limit, slots
	return changed
}

// Gateways returns the number of gateways that had sent a message within LeaseTime at the
// last Divide.
func (q *Quota) Gateways() int { return q.gateways }

// Heard reports whether a gateway is among the Gateways.
func (q *Quota) Heard(gateway string) bool {
	h := q.holders[gateway]
	return h != nil && len(h.leases) > 0
}

// Seen records a message of a gateway.
func (q *Quota) Seen(now boottime.Instant, gateway string, report Report) {
	h := q.holders[gateway]
	if h == nil {
		h = &holder{process: report.Process}
		q.holders[gateway] = h
	}
	if slices.Contains(h.ended, report.Process) {
		return
	}
	if h.process != report.Process {
		q.former = append(q.former, held{starts: h.charge(now), until: now.Add(holdTime)})
		h.ended = append(h.ended[max(0, len(h.ended)+1-maxFormer):], h.process)
		h.process, h.leases, h.held = report.Process, nil, nil
	}
	h.seenAt = now
	h.confirm(now, report)
	if len(h.leases) == 0 {
		h.leases = []Lease{{Number: q.next()}}
	}
}

// confirm drops the leases before the confirmed one. What the gateway sent under them
// counts until it is older than a Window.
func (h *holder) confirm(now boottime.Instant, report Report) {
	before := h.leased()
	for len(h.leases) > 1 && h.leases[0].Number < report.Number {
		h.leases = h.leases[1:]
	}
	if after := h.leased(); after < before {
		h.hold(min(report.Sent, before), now.Add(holdTime))
	}
}

func (q *Quota) next() uint64 {
	q.last++
	return q.last
}

// leased returns the largest number of starts that the gateway may use.
func (h *holder) leased() int {
	most := 0
	for _, lease := range h.leases {
		most = max(most, lease.Starts)
	}
	return most
}

func (h *holder) newest() Lease {
	if len(h.leases) == 0 {
		return Lease{}
	}
	return h.leases[len(h.leases)-1]
}

func (h *holder) hold(starts int, until boottime.Instant) {
	if starts > 0 {
		h.held = append(h.held, held{starts: starts, until: until})
	}
}

// charge returns how many calls the gateway may send, or have sent, within one Window.
func (h *holder) charge(now boottime.Instant) int {
	h.held = current(now, h.held)
	most := h.leased()
	for _, past := range h.held {
		most = max(most, past.starts)
	}
	return most
}

// current returns the entries that still count.
func current(now boottime.Instant, entries []held) []held {
	return slices.DeleteFunc(entries, func(h held) bool { return !now.Before(h.until) })
}

// Lease returns the newest lease of a gateway.
func (q *Quota) Lease(gateway string) Lease {
	h := q.holders[gateway]
	if h == nil {
		return Lease{}
	}
	return h.newest()
}
