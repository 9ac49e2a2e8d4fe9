package catalogue

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Deployment is what operators declare for callers that speak HTTP: routes to
// services by host and path, the services, and the teams that may call.
type Deployment struct {
	// Revision grows with each declaration.
	Revision int64
	Routes   []HTTPRoute
	Services map[core.ServiceID]Backend
	Teams    []KeyedTeam
	// KeysRequired says that calls carry a team's key, but for anonymous routes.
	KeysRequired bool
	Limits       CallLimits

	byHost map[string][]*HTTPRoute
	byKey  map[string]*KeyedTeam
}

// CallKind says what may be repeated.
type CallKind uint8

// Kinds of calls.
const (
	// KindNonIdempotent may run at most once.
	KindNonIdempotent CallKind = iota
	// KindIdempotent may run more than once.
	KindIdempotent
	// KindStream is answered by events; it may run at most once unless it can be resumed.
	KindStream
)

// HTTPRoute sends calls of a host below a path prefix to services.
type HTTPRoute struct {
	Name   string
	Host   string
	Prefix string
	Kind   CallKind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is on time.
	Objective time.Duration
	// EventGap is the longest pause between events that is on time.
	EventGap time.Duration
	// Priority is the rank, 0 the highest.
	Priority int
	// Targets are the services with their weights.
	Targets []WeightedTarget
	// MaxAttempts bounds the endpoints that one call may be sent to.
	MaxAttempts int
	Anonymous   bool
	Resumable   bool
	// AllowedRegions are the regions that may serve the route; empty allows all.
	AllowedRegions []core.RegionID
}

// Retryable reports whether a call on the route may run more than once.
func (r *HTTPRoute) Retryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// WeightedTarget is a service with its share of a route's calls.
type WeightedTarget struct {
	Service core.ServiceID
	Weight  int
}

// Target returns the service for a call; share is from 0 up to but not including 1.
func (r *HTTPRoute) Target(share float64) core.ServiceID {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := share * float64(total)
	for _, target := range r.Targets {
		left -= float64(target.Weight)
		if left < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Backend declares a service of the deployment.
type Backend struct {
	Name core.ServiceID
	// MaxConnections is how many connections one endpoint accepts from all callers.
	MaxConnections int
	// ColdTime is how long an endpoint is cold after its start.
	ColdTime time.Duration
	// ColdRate is how many calls a second a cold endpoint bears; 0 is unbounded.
	ColdRate float64
	// Engine describes model runners; nil for plain services.
	Engine *EngineProfile
	// Origin is the address of the origin of weights; empty for services that run calls.
	Origin string
	// OriginZone is where the origin stands.
	OriginZone core.ZoneID
}

// EngineProfile holds the declared figures of a model engine.
type EngineProfile struct {
	// Models are the names of the models.
	Models []string
	// BatchSlots is how many calls an engine runs at once.
	BatchSlots int
	// CacheTokens is how many tokens fit in the memory for running calls.
	CacheTokens int
	// Step is the time of one token step with an empty batch.
	Step time.Duration
	// StepPerCall is what each running call adds to a step.
	StepPerCall time.Duration
	// StepPerThousand is what 1,000 tokens of context add to a step.
	StepPerThousand time.Duration
	// StepsPerPass is how many steps follow each other before prompts are read.
	StepsPerPass int
	// PromptTokensPerSecond is how fast prompts are read.
	PromptTokensPerSecond float64
	// PromptChunk bounds the prompt tokens that are read in one pass.
	PromptChunk int
	// UsualPrompt and UsualAnswer are mean sizes in tokens.
	UsualPrompt, UsualAnswer int
	// Layers is how many layers the model has.
	Layers int
	// Chunks is how many chunks the weights have, each of ChunkBytes.
	Chunks     int
	ChunkBytes int64
	// WarmTime is how long an engine takes to load all layers.
	WarmTime time.Duration
}

// KeyedTeam is a group of callers that is known by keys.
type KeyedTeam struct {
	Name core.TeamID
	Keys []string
	// Priority goes before the route's; negative means that none is declared.
	Priority       int
	AllowedRegions []core.RegionID
}

// CallLimits bounds what callers may send.
type CallLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Prepare builds the look-up tables; the deployment must not change afterwards.
func (d *Deployment) Prepare() {
	d.byHost = map[string][]*HTTPRoute{}
	for i := range d.Routes {
		route := &d.Routes[i]
		d.byHost[route.Host] = append(d.byHost[route.Host], route)
	}
	for _, routes := range d.byHost {
		slices.SortStableFunc(routes, func(a, b *HTTPRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	d.byKey = map[string]*KeyedTeam{}
	for i := range d.Teams {
		for _, key := range d.Teams[i].Keys {
			d.byKey[key] = &d.Teams[i]
		}
	}
}

// Route returns the route with the longest prefix that begins the path, or nil.
func (d *Deployment) Route(host, path string) *HTTPRoute {
	for _, route := range d.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Team returns the team that holds a key, or nil.
func (d *Deployment) Team(key string) *KeyedTeam { return d.byKey[key] }
