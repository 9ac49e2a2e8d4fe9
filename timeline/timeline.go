// Package timeline records the decisions of a process in a ring buffer, stamped
// by a hybrid logical clock, and merges the events of several processes into one
// ordered list.
package timeline

import (
	"sort"
	"sync"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
)

// Kind is the type of a recorded decision.
type Kind string

// Kinds of recorded decisions.
const (
	KindRoute          Kind = "route"
	KindHedge          Kind = "hedge"
	KindRefuse         Kind = "refuse"
	KindAnswer         Kind = "answer"
	KindClaim          Kind = "claim"
	KindFence          Kind = "fence"
	KindLoadOrder      Kind = "load_order"
	KindVersionSwitch  Kind = "version_switch"
	KindZone           Kind = "zone"
	KindConfigActive   Kind = "config_in_force"
	KindConfigPublish  Kind = "config_publish"
	KindGateLimit      Kind = "gate_limit"
	KindColdDetected   Kind = "cold_detected"
	KindChunkRejected  Kind = "chunk_rejected"
	KindSpreadStart    Kind = "spread_start"
	KindSpreadComplete Kind = "spread_complete"
	KindProcess        Kind = "process"
)

// Event is one recorded decision.
type Event struct {
	Stamp   hlc.Stamp      `json:"stamp"`
	Process core.VMID      `json:"process"`
	Zone    core.ZoneID    `json:"zone"`
	Kind    Kind           `json:"kind"`
	Request core.RequestID `json:"request,omitempty"`
	// Object identifies the catalogue object or VM that the decision concerns.
	Object string `json:"object,omitempty"`
	// Text describes the decision in one short sentence.
	Text string `json:"text"`
}

// Recorder keeps the newest events of one process. It is safe for concurrent use.
type Recorder struct {
	clock   *hlc.Clock
	process core.VMID
	zone    core.ZoneID
	mu      sync.Mutex
	events  []Event
	next    int
	full    bool
}

// NewRecorder returns a recorder that keeps at most capacity events.
func NewRecorder(clock *hlc.Clock, process core.VMID, zone core.ZoneID, capacity int) *Recorder {
	return &Recorder{clock: clock, process: process, zone: zone, events: make([]Event, capacity)}
}

// Clock returns the clock that stamps the events.
func (r *Recorder) Clock() *hlc.Clock { return r.clock }

// Add records a decision. It overwrites the oldest event when the buffer is full.
func (r *Recorder) Add(kind Kind, request core.RequestID, object, text string) {
	event := Event{Stamp: r.clock.Now(), Process: r.process, Zone: r.zone, Kind: kind, Request: request, Object: object, Text: text}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = event
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Filter selects events. Each field that is set must match; Since is the smallest
// stamp to return.
type Filter struct {
	Request core.RequestID
	Object  string
	Zone    core.ZoneID
	Kind    Kind
	Since   hlc.Stamp
}

// Matches reports whether the filter selects e.
func (f Filter) Matches(e Event) bool {
	if f.Request != "" && f.Request != e.Request {
		return false
	}
	if f.Object != "" && f.Object != e.Object {
		return false
	}
	if f.Zone != "" && f.Zone != e.Zone {
		return false
	}
	if f.Kind != "" && f.Kind != e.Kind {
		return false
	}
	return e.Stamp >= f.Since
}

// Events returns the recorded events that match filter, oldest first.
func (r *Recorder) Events(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	ordered := r.events[:r.next]
	if r.full {
		ordered = append(append([]Event{}, r.events[r.next:]...), r.events[:r.next]...)
	}
	var matched []Event
	for _, e := range ordered {
		if filter.Matches(e) {
			matched = append(matched, e)
		}
	}
	return matched
}

// Merge merges the events of several processes into one list ordered by stamp.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, list := range lists {
		all = append(all, list...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Stamp < all[j].Stamp })
	return all
}
