// Package routing picks the endpoint for one attempt of a request. It performs
// no I/O and draws chance from an injected source.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
)

// Candidate is one endpoint that could take the attempt.
type Candidate struct {
	ID     core.VMID
	Zone   core.ZoneID
	Region core.RegionID
	// Version is the version that the endpoint last reported as loaded.
	Version core.VersionID
	// ReportedInFlight, ReportedQueued and ReportedLimit are the gate's last report.
	ReportedInFlight int
	ReportedQueued   int
	ReportedLimit    int
	// ReportedAt is when that report was made.
	ReportedAt time.Time
	// Outstanding is how many attempts this entry has open at the endpoint.
	Outstanding int
	// SentSinceReport is how many attempts this entry sent after ReportedAt.
	SentSinceReport int
}

// Query describes the attempt.
type Query struct {
	Now      time.Time
	Zone     core.ZoneID
	Region   core.RegionID
	Priority core.Priority
	// PrefixHashes are hashes of prompt prefixes, longest last.
	PrefixHashes []uint64
}

// Picker chooses among candidates. Implementations are not safe for concurrent use.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1 when none should be used.
	Pick(query Query, candidates []Candidate) int
	// Answered records that an endpoint answered an attempt with the given prefixes.
	Answered(now time.Time, id core.VMID, prefixHashes []uint64, firstToken time.Duration)
	// Failed records that an attempt at an endpoint failed or was refused.
	Failed(now time.Time, id core.VMID)
}

// Factory builds a picker that draws chance from random.
type Factory func(random *rand.Rand) Picker

// Pickers holds the registered pickers.
var Pickers = kernel.NewRegistry[Factory]("routing picker")
