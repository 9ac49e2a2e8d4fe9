// Package explain defines the messages in which a gateway explains where a request would go and
// why. The gateway writes them, cmd/zsexplain and scripts read them. All times are in
// milliseconds; an age of -1 means that there is no value.
package explain

// Path is the path on the metrics address of a gateway that answers with an Answer or a Failure.
const Path = "/explain"

// Query parameters. A team's key is sent as bearer token in the header Authorization and never in
// the query, which programs write to logs and error messages.
const (
	ParamHost         = "host"
	ParamPath         = "path"
	ParamMethod       = "method"
	ParamTeam         = "team"
	ParamService      = "service"
	ParamPromptTokens = "prompt-tokens"
	ParamOutputTokens = "output-tokens"
	ParamTimeout      = "timeout"
)

// Limits of a query.
const (
	// MaxQueryBytes bounds the length of the query.
	MaxQueryBytes = 4096
	// MaxTokens bounds the token counts.
	MaxTokens = 10_000_000
	// MaxTimeoutMS bounds the time-out, in milliseconds.
	MaxTimeoutMS = 3_600_000
)

// Verdicts of an Answer.
const (
	VerdictPlace  = "place"
	VerdictWait   = "wait"
	VerdictReject = "reject"
)

// Codes of a Failure.
const (
	CodeBadRequest       = "bad_request"
	CodeMethodNotAllowed = "method_not_allowed"
	CodeKeyRequired      = "key_required"
	CodeUnknownRoute     = "unknown_route"
	CodeUnknownKey       = "unknown_key"
	CodeUnknownTeam      = "unknown_team"
	CodeUnknownService   = "unknown_service"
	CodeNoDeclaration    = "no_declaration"
)

// Process is the process that answers, and what it knows.
type Process struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region,omitempty"`
	View   View   `json:"view"`
	// Stopping is set while the process stops.
	Stopping bool `json:"stopping,omitempty"`
}

// View is the declaration that the process uses.
type View struct {
	// Revision is the store revision of the declaration, 0 if none is known.
	Revision int64 `json:"revision"`
	// AgeMS is how long ago the store confirmed the view.
	AgeMS float64 `json:"ageMs"`
	// Old is set if the view is too old to answer 404 or 401 by it (MaxAgeMS), CutOff if it is
	// too old to accept keys by it (MaxKeyAgeMS).
	Old         bool    `json:"old"`
	CutOff      bool    `json:"cutOff"`
	MaxAgeMS    float64 `json:"maxAgeMs"`
	MaxKeyAgeMS float64 `json:"maxKeyAgeMs"`
}

// Failure is the answer to a query that cannot be explained.
type Failure struct {
	Process Process `json:"process"`
	Code    string  `json:"code"`
	Detail  string  `json:"detail"`
}

// Answer explains the decision on a request.
type Answer struct {
	Process Process `json:"process"`
	Method  string  `json:"method"`
	Host    string  `json:"host"`
	Path    string  `json:"path"`
	Route   string  `json:"route"`
	// Service is the target that is explained, Targets are all of the route. Calls are split
	// among them at random by weight.
	Service string   `json:"service,omitempty"`
	Targets []Target `json:"targets,omitempty"`
	// Team is empty if the route needs no key.
	Team      string  `json:"team,omitempty"`
	Rank      int     `json:"rank"`
	TimeoutMS float64 `json:"timeoutMs"`

	Verdict string `json:"verdict"`
	// Reason is why the request would be rejected.
	Reason string `json:"reason,omitempty"`
	// Note is a condition that the figures do not show.
	Note string `json:"note,omitempty"`
	// Chosen are the endpoints of which one is chosen, at random if there are several.
	Chosen []string `json:"chosen,omitempty"`
	// Candidates is the number of endpoints that may run the request now or once they have room.
	Candidates int `json:"candidates"`
	// AsksPeers is set if other gateways of the zone are asked for a free slot before the request
	// waits or is rejected.
	AsksPeers  bool    `json:"asksPeers,omitempty"`
	Ahead      int     `json:"ahead"`
	StartsInMS float64 `json:"startsInMs"`
	TimeLeftMS float64 `json:"timeLeftMs"`
	// StandingMS is for how long the queue has not been short, if a call is rejected so that it
	// drains. DisplacesTeam is the team that loses a waiting call if Displaces is set.
	StandingMS    float64 `json:"standingMs,omitempty"`
	Displaces     bool    `json:"displaces,omitempty"`
	DisplacesTeam string  `json:"displacesTeam,omitempty"`
	Queues        []Queue `json:"queues,omitempty"`
	// Rejection is what a rejection would say now, also if the request would not be rejected.
	Rejection Rejection  `json:"rejection"`
	Endpoints []Endpoint `json:"endpoints,omitempty"`
}

// Target is a service with its weight among the targets of a route.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Queue is the queue of one rank.
type Queue struct {
	Rank    int `json:"rank"`
	Waiting int `json:"waiting"`
	Ahead   int `json:"ahead"`
	// Draining is set while a standing queue drains; NotShortMS is for how long no call has found
	// the queue short.
	Draining   bool    `json:"draining"`
	NotShortMS float64 `json:"notShortMs"`
}

// Rejection is the content of a rejection. RetryAfterMaxMS exceeds RetryAfterMS if the time is
// drawn at random between them.
type Rejection struct {
	Status          int     `json:"status"`
	Reason          string  `json:"reason"`
	RetryAfterMS    float64 `json:"retryAfterMs"`
	RetryAfterMaxMS float64 `json:"retryAfterMaxMs"`
}

// Endpoint is what decides for or against one endpoint.
type Endpoint struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Region string `json:"region,omitempty"`
	// Obstacle is the first reason against the endpoint, empty if it is eligible.
	Obstacle string `json:"obstacle,omitempty"`
	Chosen   bool   `json:"chosen,omitempty"`
	// LastResort is set if the endpoint would be avoided if there were another one.
	LastResort     bool    `json:"lastResort,omitempty"`
	ExpectedMS     float64 `json:"expectedMs"`
	Load           int     `json:"load"`
	LoadAgeMS      float64 `json:"loadAgeMs"`
	Slots          int     `json:"slots"`
	Granted        int     `json:"granted"`
	GrantAgeMS     float64 `json:"grantAgeMs"`
	UsedSlots      int     `json:"usedSlots"`
	PathDelayMS    float64 `json:"pathDelayMs"`
	PathAgeMS      float64 `json:"pathAgeMs"`
	Slowdown       float64 `json:"slowdown"`
	SlowdownAgeMS  float64 `json:"slowdownAgeMs"`
	Weights        int64   `json:"weights,omitempty"`
	NewestWeights  int64   `json:"newestWeights,omitempty"`
	SupersededMS   float64 `json:"supersededMs,omitempty"`
	StartLimit     int     `json:"startLimit"`
	Starts         int     `json:"starts"`
	PendingPrefill int     `json:"pendingPrefill,omitempty"`
	OpensInMS      float64 `json:"opensInMs,omitempty"`
	ClosesInMS     float64 `json:"closesInMs,omitempty"`
	Unregistered   bool    `json:"unregistered,omitempty"`
}
