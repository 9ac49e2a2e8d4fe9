// Package routing selects the endpoint for each attempt of a request and decides on
// retries and hedged requests. It performs no I/O and takes randomness from an injected
// source.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
)

// Candidate is an endpoint that could serve the attempt.
type Candidate struct {
	ID     core.VMID
	Zone   core.ZoneID
	Region core.RegionID
	// Version is the version that the endpoint last reported as loaded.
	Version core.VersionID
	// ReportedInFlight, ReportedQueued and ReportedLimit are from the gate's last
	// report.
	ReportedInFlight int
	ReportedQueued   int
	ReportedLimit    int
	// ReportedAt is the time of that report.
	ReportedAt time.Time
	// Outstanding is the number of attempts that this entry has open at the endpoint.
	Outstanding int
	// SentSinceReport is the number of attempts that this entry sent after ReportedAt.
	SentSinceReport int
}

// Query describes the attempt.
type Query struct {
	Now      time.Time
	Zone     core.ZoneID
	Region   core.RegionID
	Priority core.Priority
	// PrefixHashes are the hashes of the prompt's prefixes, longest last.
	PrefixHashes []uint64
}

// Picker chooses among candidates. Implementations are not safe for concurrent use.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1 if none should be used.
	Pick(query Query, candidates []Candidate) int
	// Answered records that an endpoint answered an attempt with the given prefixes.
	Answered(now time.Time, id core.VMID, prefixHashes []uint64, firstToken time.Duration)
	// Failed records that an attempt at an endpoint failed or was rejected.
	Failed(now time.Time, id core.VMID)
}

// Factory creates a picker that uses random as its source of randomness.
type Factory func(random *rand.Rand) Picker

// Pickers is the registry of pickers.
var Pickers = kernel.NewRegistry[Factory]("routing picker")
