package catalogue

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Deployment is the operators' declaration for HTTP callers: routes to services
// by host and path, the services, and the teams that may call them.
type Deployment struct {
	// Revision increases with each declaration.
	Revision int64
	Routes   []HTTPRoute
	Services map[core.ServiceID]Backend
	Teams    []KeyedTeam
	// KeysRequired reports whether calls must carry a team's key, except on anonymous
	// routes.
	KeysRequired bool
	Limits       CallLimits

	byHost map[string][]*HTTPRoute
	byKey  map[string]*KeyedTeam
}

// CallKind specifies whether a call may be executed more than once.
type CallKind uint8

// Kinds of calls.
const (
	// KindNonIdempotent calls may be executed at most once.
	KindNonIdempotent CallKind = iota
	// KindIdempotent calls may be executed more than once.
	KindIdempotent
	// KindStream calls are answered by a stream of events. They may be executed
	// at most once, unless the stream is resumable.
	KindStream
)

// HTTPRoute routes the calls to one host and path prefix to services.
type HTTPRoute struct {
	Name   string
	Host   string
	Prefix string
	Kind   CallKind
	// Timeout is the maximum time that a caller waits for an answer.
	Timeout time.Duration
	// EventTimeout is how long the caller of a stream waits without an event, also for the
	// first one, before it leaves; 0 for other calls.
	EventTimeout time.Duration
	// Priority is the priority rank; 0 is the highest.
	Priority int
	// Targets lists the services among which calls are split by weight.
	Targets []WeightedTarget
	// MaxAttempts is the maximum number of endpoints to which one call may be
	// sent.
	MaxAttempts int
	Anonymous   bool
	Resumable   bool
	// AllowedRegions lists the regions that may serve the route; empty means all.
	AllowedRegions []core.RegionID
}

// Retryable reports whether a call on the route may be executed more than once.
func (r *HTTPRoute) Retryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// WeightedTarget is a service with its weight in the split of a route's calls.
type WeightedTarget struct {
	Service core.ServiceID
	Weight  int
}

// Target returns the service for a call. share, in [0, 1), selects a target in
// proportion to the weights. If the route has no targets, Target returns "".
func (r *HTTPRoute) Target(share float64) core.ServiceID {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := share * float64(total)
	for _, target := range r.Targets {
		remaining -= float64(target.Weight)
		if remaining < 0 {
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
	// MaxConnections is the maximum number of connections that one endpoint
	// accepts from all callers together.
	MaxConnections int
	// ColdTime is the length of the slow-start period after the start of an
	// endpoint.
	ColdTime time.Duration
	// ColdRate is the maximum rate of calls per second to an endpoint in slow
	// start; 0 means unlimited.
	ColdRate float64
	// Engine is the profile of the model engines; nil for plain services.
	Engine *EngineProfile
	// Origin is the address of the origin of model weights; empty for services
	// that execute calls.
	Origin string
	// OriginZone is the availability zone of the origin.
	OriginZone core.ZoneID
}

// EngineProfile is the declared performance profile of a model engine.
type EngineProfile struct {
	// Models are the names of the models.
	Models []string
	// BatchSlots is the number of calls that an engine executes concurrently.
	BatchSlots int
	// CacheTokens is the capacity of the KV cache for running calls, in tokens.
	CacheTokens int
	// Step is the duration of one decoding step with an empty batch.
	Step time.Duration
	// StepPerCall is the time that each running call adds to a step.
	StepPerCall time.Duration
	// StepPerThousand is the time that 1,000 tokens of context add to a step.
	StepPerThousand time.Duration
	// StepsPerPass is the number of consecutive steps in one pass, before prompts are
	// processed again.
	StepsPerPass int
	// PromptTokensPerSecond is the prefill rate.
	PromptTokensPerSecond float64
	// PromptChunk is the maximum number of prompt tokens processed in one pass.
	PromptChunk int
	// UsualPrompt and UsualAnswer are the mean lengths of prompts and answers in
	// tokens.
	UsualPrompt, UsualAnswer int
	// Layers is the number of layers of the model.
	Layers int
	// Chunks is the number of chunks of the weights, each of ChunkBytes bytes.
	Chunks     int
	ChunkBytes int64
	// WarmTime is the time that an engine takes to load all layers.
	WarmTime time.Duration
}

// KeyedTeam is a group of callers that is identified by API keys.
type KeyedTeam struct {
	Name core.TeamID
	Keys []string
	// Priority overrides the priority of the route; negative means unset.
	Priority       int
	AllowedRegions []core.RegionID
}

// CallLimits limits the size of calls and the time that callers take to send
// them.
type CallLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Prepare builds the lookup tables for Route and Team. The deployment must not be
// modified afterwards.
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

// Route returns the route of host with the longest prefix that matches path, or
// nil.
func (d *Deployment) Route(host, path string) *HTTPRoute {
	for _, route := range d.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Team returns the team that a key belongs to, or nil. An empty key belongs to none: it is that
// of a caller without a key.
func (d *Deployment) Team(key string) *KeyedTeam {
	if key == "" {
		return nil
	}
	return d.byKey[key]
}
