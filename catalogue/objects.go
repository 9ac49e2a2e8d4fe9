// Package catalogue holds the operators' declared objects: models, versions,
// pools, availability zones, routes, services and teams. The whole set is
// checked together before it is published. The package performs no I/O.
package catalogue

import "github.com/zinniaseam/zinniaseam/core"

// Set is the whole declaration at one revision.
type Set struct {
	Zones    []Zone    `json:"zones"`
	Models   []Model   `json:"models"`
	Versions []Version `json:"versions"`
	Pools    []Pool    `json:"pools"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes"`
	Teams    []Team    `json:"teams"`
}

// ZoneState is whether an availability zone takes new work.
type ZoneState string

// States of an availability zone. In an operators' file the empty state keeps
// the present one; see KeepZoneStates. In a published set it is ZoneIn.
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

// Model declares a model that callers may ask for.
type Model struct {
	Name core.ModelID `json:"name"`
}

// Version declares one immutable set of weights of a model.
type Version struct {
	Name  core.VersionID `json:"name"`
	Model core.ModelID   `json:"model"`
	// Digest is the digest of all weight bytes in hexadecimal.
	Digest string `json:"whole"`
	// SizeBytes is the size of the weights.
	SizeBytes int64 `json:"sizeBytes"`
}

// Pool declares which version a set of endpoints serves.
type Pool struct {
	Name    core.PoolID    `json:"name"`
	Model   core.ModelID   `json:"model"`
	Version core.VersionID `json:"version"`
	Zones   []core.ZoneID  `json:"zones"`
	// MaxSwitching is how many endpoints of the pool may change version at once
	// in one availability zone; zero means one quarter, rounded up.
	MaxSwitching int `json:"maxSwitching,omitempty"`
	// Paused stops further endpoints from changing version.
	Paused bool `json:"paused,omitempty"`
	// ChecksFence says that the pool's engines refuse orders with an old fencing number.
	ChecksFence bool `json:"checksFence,omitempty"`
}

// Service declares a plain service.
type Service struct {
	Name  core.ServiceID `json:"name"`
	Zones []core.ZoneID  `json:"zones"`
	// Calls lists path prefixes with their rules; the longest match decides.
	Calls []Call `json:"calls,omitempty"`
}

// Call is the rule for the calls of a service under one path prefix.
type Call struct {
	// Methods that the rule covers; empty covers all.
	Methods []string `json:"methods,omitempty"`
	Prefix  string   `json:"prefix"`
	// Idempotent says that a call may be repeated. A call without a rule may not be.
	Idempotent bool   `json:"idempotent,omitempty"`
	Priority   string `json:"priority,omitempty"`
}

// Route maps what callers ask for to a pool or a service; exactly one of Pool and Service is set.
type Route struct {
	Name core.ModelID `json:"name"`
	// Model matches the model name of a chat-completions call.
	Model core.ModelID `json:"model,omitempty"`
	// Pool serves the matched model.
	Pool core.PoolID `json:"pool,omitempty"`
	// Service serves paths below /services/<Service>/.
	Service core.ServiceID `json:"service,omitempty"`
	// Priority is the class of calls that carry none.
	Priority string `json:"priority,omitempty"`
}

// Team declares the capacity share of a group of callers.
type Team struct {
	Name   core.TeamID `json:"name"`
	Weight int         `json:"weight"`
}
