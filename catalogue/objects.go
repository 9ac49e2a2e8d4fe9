// Package catalogue defines the objects that operators declare: models, versions,
// pools, availability zones, routes, services and teams. A set of objects is
// validated as a whole before it is published. The package performs no I/O.
package catalogue

import "github.com/zinniaseam/zinniaseam/core"

// Set is the complete declaration at one revision.
type Set struct {
	Zones    []Zone    `json:"zones"`
	Models   []Model   `json:"models"`
	Versions []Version `json:"versions"`
	Pools    []Pool    `json:"pools"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes"`
	Teams    []Team    `json:"teams"`
}

// ZoneState specifies whether an availability zone accepts new work.
type ZoneState string

// States of an availability zone. In an operators' file, the empty state means
// that the current state is kept; see KeepZoneStates. In a published set, it is
// equivalent to ZoneIn.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// Zone declares an availability zone.
type Zone struct {
	Name   core.ZoneID   `json:"name"`
	Region core.RegionID `json:"region"`
	State  ZoneState     `json:"state,omitempty"`
}

// Model declares a model that callers may request.
type Model struct {
	Name core.ModelID `json:"name"`
}

// Version declares one immutable set of weights of a model.
type Version struct {
	Name  core.VersionID `json:"name"`
	Model core.ModelID   `json:"model"`
	// Digest is the SHA-256 digest of all weight bytes in hexadecimal.
	Digest string `json:"whole"`
	// SizeBytes is the total size of the weights.
	SizeBytes int64 `json:"sizeBytes"`
}

// Pool declares which version a set of endpoints serves.
type Pool struct {
	Name    core.PoolID    `json:"name"`
	Model   core.ModelID   `json:"model"`
	Version core.VersionID `json:"version"`
	Zones   []core.ZoneID  `json:"zones"`
	// MaxSwitching is the maximum number of endpoints of the pool that may
	// change version concurrently in one availability zone; zero means one
	// quarter of them, rounded up.
	MaxSwitching int `json:"maxSwitching,omitempty"`
	// Paused stops further endpoints from changing version.
	Paused bool `json:"paused,omitempty"`
	// ChecksFence reports whether the pool's engines reject orders with an outdated
	// fencing token.
	ChecksFence bool `json:"checksFence,omitempty"`
}

// Service declares a plain service.
type Service struct {
	Name  core.ServiceID `json:"name"`
	Zones []core.ZoneID  `json:"zones"`
	// Calls lists the rules by path prefix; the longest matching prefix applies.
	Calls []Call `json:"calls,omitempty"`
}

// Call is the rule for the calls of a service under one path prefix.
type Call struct {
	// Methods lists the HTTP methods to which the rule applies; empty means all.
	Methods []string `json:"methods,omitempty"`
	Prefix  string   `json:"prefix"`
	// Idempotent reports whether a call may be retried. A call without a rule may not.
	Idempotent bool   `json:"idempotent,omitempty"`
	Priority   string `json:"priority,omitempty"`
}

// Route maps requests of callers to a pool or a service. Exactly one of Pool and
// Service is set.
type Route struct {
	Name core.ModelID `json:"name"`
	// Model matches the model name of a chat-completions call.
	Model core.ModelID `json:"model,omitempty"`
	// Pool is the pool that serves the matched model.
	Pool core.PoolID `json:"pool,omitempty"`
	// Service is the service that serves paths below /services/<Service>/.
	Service core.ServiceID `json:"service,omitempty"`
	// Priority is the priority class of calls that do not specify one.
	Priority string `json:"priority,omitempty"`
}

// Team declares the capacity share of a group of callers.
type Team struct {
	Name   core.TeamID `json:"name"`
	Weight int         `json:"weight"`
}
