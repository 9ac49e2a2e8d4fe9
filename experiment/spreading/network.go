package spreading

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// One-way latencies within and between regions.
const (
	zoneLatency   = 500 * time.Microsecond
	regionLatency = time.Millisecond
)

// Network holds the rates of the links in bytes a second.
type Network struct {
	// Origin is the rate of the origin's link.
	Origin float64 `json:"originBytesPerSecond"`
	// Up and Down are the rates of each machine's link.
	Up   float64 `json:"upBytesPerSecond"`
	Down float64 `json:"downBytesPerSecond"`
	// Relay is the rate of each relay's link, each way; 0 means Up and Down.
	Relay float64 `json:"relayBytesPerSecond,omitempty"`
	// Region is the rate of the link between two regions, each way.
	Region float64 `json:"regionBytesPerSecond"`
}

// link is one direction of a network link. It carries one transfer at a time.
type link struct {
	freeAt time.Duration
	sent   int64
}

// transfer schedules the transfer of n bytes that are ready at start and returns when
// the last byte has passed.
func (l *link) transfer(start time.Duration, n int64, rate float64) time.Duration {
	begin := max(start, l.freeAt)
	l.freeAt = begin + time.Duration(float64(n)/rate*float64(time.Second))
	l.sent += n
	return l.freeAt
}

// upRate returns the sending rate of a machine's link.
func (n Network) upRate(m *machine) float64 {
	if m.member.Relay && n.Relay > 0 {
		return n.Relay
	}
	return n.Up
}

// downRate returns the receiving rate of a machine's link.
func (n Network) downRate(m *machine) float64 {
	if m.member.Relay && n.Relay > 0 {
		return n.Relay
	}
	return n.Down
}

// machine is a simulated VM with its policy and links.
type machine struct {
	index  int
	member spread.Member
	alive  bool
	// stalled is set when the link carries nothing in either direction.
	stalled bool
	policy  spread.Policy
	// epoch is the number of the target version. Requests with an older epoch are
	// ignored.
	epoch       int
	manifest    *core.Manifest
	stored      []bool
	storedCount int
	doneAt      time.Duration
	up, down    link
	// shares are this machine's shares of the links to other regions.
	shares    map[core.RegionID]*link
	uploading bool
	queue     []*request
	waiting   map[int][]*request
	inFlight  []*request
	tickAt    time.Duration
	// chunkLog lists the stored chunks in order of arrival. announced holds the length
	// of the prefix of chunkLog announced to each listener.
	chunkLog  []int
	announced map[*machine]int
	messages  int64
	// maxInFlight is the maximum number of fetches in flight.
	maxInFlight int
}

// request is a fetch in flight.
type request struct {
	from   *machine
	source *machine // nil for the origin
	fetch  spread.Fetch
	epoch  int
	bytes  int64
	done   bool
	queued bool
}

// unreachable reports whether two machines cannot reach each other.
func (s *simulation) unreachable(a, b *machine) bool {
	if !a.alive || !b.alive || a.stalled || b.stalled {
		return true
	}
	return s.partitionedZone != "" && (a.member.Zone == s.partitionedZone) != (b.member.Zone == s.partitionedZone)
}

// originUnreachable reports whether a machine cannot reach the origin.
func (s *simulation) originUnreachable(m *machine) bool {
	return !m.alive || m.stalled || s.partitionedZone != "" && m.member.Zone == s.partitionedZone
}

// disconnected reports whether a request's machine and source cannot reach each other.
func (s *simulation) disconnected(r *request) bool {
	if r.source == nil {
		return s.originUnreachable(r.from)
	}
	return s.unreachable(r.from, r.source)
}

// latency returns the one-way latency between two machines, or to the origin if b is
// nil.
func latency(a, b *machine) time.Duration {
	if b == nil || a.member.Region != b.member.Region {
		return regionLatency
	}
	return zoneLatency
}

// removeInFlight removes a request from the requests in flight.
func (m *machine) removeInFlight(r *request) {
	for i, other := range m.inFlight {
		if other == r {
			m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
			return
		}
	}
}
