// Package spread decides which process fetches which weight chunk from where.
// A policy performs no I/O: it takes events and the time and returns actions.
package spread

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
)

// Member is one machine that wants the same version.
type Member struct {
	ID     core.VMID
	Zone   core.ZoneID
	Region core.RegionID
	// Relay says that the machine has a fast link and holds the chunks for others.
	// Where a region has relays, chunks come into it and go to its machines by
	// them alone while one of them answers.
	Relay bool
	// HasAllChunks says that the machine is known to hold all chunks already.
	HasAllChunks bool
}

// Start configures a policy for one version on one machine.
type Start struct {
	Now  time.Time
	Self Member
	// OriginRegion is the region in which the origin stands.
	OriginRegion core.RegionID
	Manifest     *core.Manifest
	// Stored marks chunks that the machine already holds.
	Stored []bool
	// Members are all machines that want the version, Self included.
	Members []Member
	// Seed makes the policy's choices reproducible.
	Seed uint64
}

// Event is an input of a policy: one of MembersChanged, ChunkHeld,
// FetchFailed, ChunkLost, PeerHas, Tick.
type Event interface{ spreadEvent() }

// MembersChanged replaces the member list.
type MembersChanged struct{ Members []Member }

// ChunkStored says that a chunk arrived and its digest holds.
type ChunkStored struct {
	Chunk  int
	Source Source
	// Transfer is the time from the first byte to the last; 0 when it is not known.
	Transfer time.Duration
}

// Failure is why a fetch brought nothing.
type Failure uint8

// Failures of a fetch.
const (
	// FailureMissing means that the source does not hold the chunk yet.
	FailureMissing Failure = iota
	// FailureTimeout means that no byte arrived in time, or the connection broke.
	FailureTimeout
	// FailureCorrupt means that the digest did not hold.
	FailureCorrupt
	// FailureLimited means that the source refused because its rate is spent.
	FailureLimited
	// FailureLocal means that this machine could not take the chunk; the source is not to blame.
	FailureLocal
)

// String returns the failure as written in counters.
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

// FetchFailed says that a fetch brought nothing.
type FetchFailed struct {
	Chunk   int
	Source  Source
	Failure Failure
}

// ChunkLost says that a held chunk is gone and is wanted again.
type ChunkLost struct{ Chunk int }

// PeerChunks says which chunks a neighbour holds, all or those that are new.
type PeerChunks struct {
	Peer   core.VMID
	Chunks []int
}

// Tick lets time-driven choices happen.
type Tick struct{}

func (MembersChanged) spreadEvent() {}
func (ChunkStored) spreadEvent()    {}
func (FetchFailed) spreadEvent()    {}
func (ChunkLost) spreadEvent()      {}
func (PeerChunks) spreadEvent()     {}
func (Tick) spreadEvent()           {}

// Source is where a chunk comes from; the zero value is the origin.
type Source struct{ Peer core.VMID }

// IsOrigin reports whether the source is the origin.
func (s Source) IsOrigin() bool { return s.Peer == "" }

// Fetch is the action of asking one source for one chunk.
type Fetch struct {
	Chunk  int
	Source Source
	// Wait is how long the source may hold the request until it has the chunk.
	Wait time.Duration
	// Timeout is when to give up on the source.
	Timeout time.Duration
}

// Policy drives the spread of one version on one machine. It is not safe for concurrent use.
type Policy interface {
	// Step takes one event and returns the fetches to start.
	Step(now time.Time, event Event) []Fetch
	// NextTick returns when Tick should be stepped next; zero means no need.
	NextTick() time.Time
}

// Announcer is a policy that wants to be told what its neighbours hold.
type Announcer interface {
	Policy
	// Neighbours returns the machines whose PeerHas events the policy uses.
	Neighbours() []core.VMID
}

const (
	// HeadsPerRegion is how many machines of a region take chunks in from
	// outside of it.
	HeadsPerRegion = 32
	// minGateways and maxGateways bound how many of them send to one other region.
	minGateways = 4
	maxGateways = HeadsPerRegion / 2
)

// GatewaysPerLink returns how many machines of a region send to one other
// region, and so share the budget of the link between the two. With few regions
// more machines share it, so that none spends much of its own link on it.
func GatewaysPerLink(regions int) int {
	others := max(regions-1, 1)
	return min(max(maxGateways/others, minGateways), maxGateways)
}

// Constructor builds a policy; the first fetches come from its first Tick.
type Constructor func(Start) Policy

// Policies holds the registered policies.
var Policies = kernel.NewRegistry[Constructor]("spread policy")
