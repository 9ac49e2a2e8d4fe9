// Package spread decides which machine fetches which chunk of the weights from
// which source. A policy performs no I/O: it takes events and the current time,
// and returns the fetches to start.
package spread

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
)

// Member is one machine that needs the version.
type Member struct {
	ID     core.VMID
	Zone   core.ZoneID
	Region core.RegionID
	// Relay marks a machine with a fast link that stores chunks for others. In a
	// region with relays, chunks enter the region and reach its machines only
	// through the relays while at least one of them responds.
	Relay bool
	// HasAllChunks marks a machine that is known to have all chunks already.
	HasAllChunks bool
}

// Start holds the parameters of a policy for one version on one machine.
type Start struct {
	Now  time.Time
	Self Member
	// OriginRegion is the region of the origin.
	OriginRegion core.RegionID
	Manifest     *core.Manifest
	// Stored marks the chunks that the machine already has.
	Stored []bool
	// Members are all machines that need the version, including Self.
	Members []Member
	// Seed makes the random choices of the policy reproducible.
	Seed uint64
}

// Event is an input of a policy: one of MembersChanged, ChunkStored,
// FetchFailed, ChunkLost, PeerChunks and Tick.
type Event interface{ spreadEvent() }

// MembersChanged replaces the member list.
type MembersChanged struct{ Members []Member }

// ChunkStored reports that a chunk arrived, matched its digest and was stored.
type ChunkStored struct {
	Chunk  int
	Source Source
	// Transfer is the time from the first byte to the last; 0 when unknown.
	Transfer time.Duration
}

// Failure is the reason why a fetch failed.
type Failure uint8

// Reasons why a fetch failed.
const (
	// FailureMissing means that the source does not have the chunk yet.
	FailureMissing Failure = iota
	// FailureTimeout means that no byte arrived in time, or that the connection
	// broke.
	FailureTimeout
	// FailureCorrupt means that the chunk did not match its digest.
	FailureCorrupt
	// FailureLimited means that the source rejected the fetch because its rate
	// limit was reached.
	FailureLimited
	// FailureLocal means that this machine could not fetch or store the chunk; the
	// source did not fail.
	FailureLocal
)

// String returns the failure as it appears in the names of counters.
func (f Failure) String() string {
	switch f {
	case FailureMissing:
		return "missing"
	case FailureTimeout:
		return "timeout"
	case FailureCorrupt:
		return "corrupt"
	case FailureLimited:
		return "limited"
	default:
		return "local"
	}
}

// FetchFailed reports that a fetch failed.
type FetchFailed struct {
	Chunk   int
	Source  Source
	Failure Failure
}

// ChunkLost reports that a stored chunk was lost and has to be fetched again.
type ChunkLost struct{ Chunk int }

// PeerChunks reports chunks that a neighbour has: all of them, or those that
// are new since the last report.
type PeerChunks struct {
	Peer   core.VMID
	Chunks []int
}

// Tick reports that time has passed; see Policy.NextTick.
type Tick struct{}

func (MembersChanged) spreadEvent() {}
func (ChunkStored) spreadEvent()    {}
func (FetchFailed) spreadEvent()    {}
func (ChunkLost) spreadEvent()      {}
func (PeerChunks) spreadEvent()     {}
func (Tick) spreadEvent()           {}

// Source is where a chunk is fetched from; the zero value is the origin.
type Source struct{ Peer core.VMID }

// IsOrigin reports whether the source is the origin.
func (s Source) IsOrigin() bool { return s.Peer == "" }

// Fetch is the action of requesting one chunk from one source.
type Fetch struct {
	Chunk  int
	Source Source
	// Wait is how long the source may hold the request until it has the chunk.
	Wait time.Duration
	// Timeout is how long the source may send nothing before the fetch fails.
	Timeout time.Duration
}

// Policy controls the spread of one version on one machine. It is not safe for
// concurrent use.
type Policy interface {
	// Step processes one event and returns the fetches to start.
	Step(now time.Time, event Event) []Fetch
	// NextTick returns the time at which Step must be called with Tick; the zero
	// time means that no Tick is needed.
	NextTick() time.Time
}

// Announcer is a policy that has to be notified of the chunks that its
// neighbours have.
type Announcer interface {
	Policy
	// Neighbours returns the machines whose PeerChunks events the policy uses.
	Neighbours() []core.VMID
}

const (
	// HeadsPerRegion is how many machines of a region fetch chunks from outside
	// the region.
	HeadsPerRegion = 32
	// minGateways and maxGateways limit how many of the heads send to one other
	// region.
	minGateways = 4
	maxGateways = HeadsPerRegion / 2
)

// GatewaysPerLink returns how many machines of a region send to one other
// region and share the budget of the link between the two. With few regions
// more machines share each link, so that no machine uses much of its own
// bandwidth for it.
func GatewaysPerLink(regions int) int {
	others := max(regions-1, 1)
	return min(max(maxGateways/others, minGateways), maxGateways)
}

// Constructor builds a policy. The policy returns its first fetches at its
// first Tick.
type Constructor func(Start) Policy

// Policies holds the registered policies.
var Policies = kernel.NewRegistry[Constructor]("spread policy")
