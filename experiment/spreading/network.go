package spreading

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// One-way latencies of the platform.
const (
	zoneLatency   = 500 * time.Microsecond
	regionLatency = time.Millisecond
)

// Network holds the rates of all links in bytes a second.
type Network struct {
	// Origin is the rate of the origin's link.
	Origin float64 `json:"originBytesPerSecond"`
	// Up and Down are the rates of each machine's link.
	Up   float64 `json:"upBytesPerSecond"`
	Down float64 `json:"downBytesPerSecond"`
	// Relay is the rate of the link of each relay, each way; 0 is that of the others.
	Relay float64 `json:"relayBytesPerSecond,omitempty"`
	// Region is the rate of the link between two regions, each way.
	Region float64 `json:"regionBytesPerSecond"`
}

// link is one direction of a link; it carries one transfer after the other.
type link struct {
	free time.Duration
	sent int64
}

// carry books n bytes that are ready at start and returns when the last has passed.
func (l *link) carry(start time.Duration, n int64, rate float64) time.Duration {
	begin := max(start, l.free)
	l.free = begin + time.Duration(float64(n)/rate*float64(time.Second))
	l.sent += n
	return l.free
}

// upRate and downRate are the rates of a machine's link.
func (n Network) upRate(m *machine) float64 {
	if m.member.Relay && n.Relay > 0 {
		return n.Relay
	}
	return n.Up
}

func (n Network) downRate(m *machine) float64 {
	if m.member.Relay && n.Relay > 0 {
		return n.Relay
	}
	return n.Down
}

// machine is one VM with its policy and links.
type machine struct {
	index  int
	member spread.Member
	alive  bool
	// stalled says that the link carries nothing in either direction.
	stalled bool
	policy  spread.Policy
	// epoch numbers the wanted versions; requests of an older one are void.
	epoch     int
	manifest  *core.Manifest
	held      []bool
	heldCount int
	doneAt    time.Duration
	up, down  link
	// shares are this machine's parts of the links to other regions.
	shares    map[core.RegionID]*link
	uploading bool
	queue     []*request
	waiting   map[int][]*request
	inFlight  []*request
	tickAt    time.Duration
	// log lists the held chunks in order of arrival, told how much of it each
	// listener knows.
	log      []int
	told     map[*machine]int
	messages int64
	// maxInFlight is the most fetches in flight at once.
	maxInFlight int
}

// request is one fetch under way.
type request struct {
	from   *machine
	source *machine // nil for the origin
	fetch  spread.Fetch
	epoch  int
	bytes  int64
	done   bool
	queued bool
}

// cut says whether two machines cannot reach each other.
func (s *simulation) cut(a, b *machine) bool {
	if !a.alive || !b.alive || a.stalled || b.stalled {
		return true
	}
	return s.cutZone != "" && (a.member.Zone == s.cutZone) != (b.member.Zone == s.cutZone)
}

// cutFromOrigin says whether a machine cannot reach the origin.
func (s *simulation) cutFromOrigin(m *machine) bool {
	return !m.alive || m.stalled || s.cutZone != "" && m.member.Zone == s.cutZone
}

func (s *simulation) broken(r *request) bool {
	if r.source == nil {
		return s.cutFromOrigin(r.from)
	}
	return s.cut(r.from, r.source)
}

func latency(a, b *machine) time.Duration {
	if b == nil || a.member.Region != b.member.Region {
		return regionLatency
	}
	return zoneLatency
}

// forget removes a request from those in flight.
func (m *machine) forget(r *request) {
	for i, other := range m.inFlight {
		if other == r {
			m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
			return
		}
	}
}
