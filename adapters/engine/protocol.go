// Package engine is a client of the HTTP protocol of a model engine.
//
//	POST   /v1/chat/completions                    chat completion, streamed by server-sent events; body ChatRequest
//	POST   /v1/cancel/<request-id>                 cancels a stream
//	GET    /control/status                         200 Status
//	POST   /control/load                           body LoadOrder: 200 LoadReply; 409 if the fencing token is stale;
//	                                               412 if the staged weights are incomplete
//	PUT    /control/staging/<version>/<chunk>      stores one chunk in the engine's host memory
//	GET    /control/staging/<version>/<chunk>      returns a staged chunk; 404 if not staged
//	GET    /control/staging/<version>              200 Staged
//	DELETE /control/staging/<version>              frees the staged weights of a version
//	GET    /control/cache-events?after=N           200 CacheEvents; delayed, may have gaps
//
// The answer to a chat completion may have the header X-Engine-Boot with the engine's
// boot number. For an engine that omits it, the boot number is read from its status.
//
// Every event of a stream is "data: <StreamEvent as JSON>"; the last is "data: [DONE]".
package engine

import (
	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
)

// HeaderBoot carries the engine's boot number in the answer to a chat completion.
const HeaderBoot = "X-Engine-Boot"

// State is the engine's readiness.
type State string

// States of an engine.
const (
	// StateEmpty means that no weights are loaded.
	StateEmpty State = "empty"
	// StateLoading means that a load order is being executed.
	StateLoading State = "loading"
	// StateReady means that requests are served.
	StateReady State = "ready"
	// StateFailed means that the engine crashed and is restarting.
	StateFailed State = "failed"
)

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
	// ID identifies the stream for cancel and resume.
	ID string `json:"id,omitempty"`
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int `json:"resume_from,omitempty"`
	// Version, if set, must be the loaded version; otherwise the engine answers 412.
	Version core.VersionID `json:"version,omitempty"`
	// Priority is the request class; 0 is the highest priority.
	Priority int `json:"priority,omitempty"`
}

// Delta is the new text of a stream event.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Choice is one alternative of a stream event.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// StreamEvent is one server-sent event of a completion; one event holds one token.
type StreamEvent struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// SystemFingerprint is the version that generated the token.
	SystemFingerprint core.VersionID `json:"system_fingerprint"`
	// TokenOffset is the index of the token in the complete answer.
	TokenOffset int `json:"token_offset"`
}

// Load is the engine's report of its load, which may be stale.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// AgeMS is the age of the report, in milliseconds.
	AgeMS int64 `json:"ageMs"`
}

// Status is the status of an engine.
type Status struct {
	// Boot is the engine's boot number; it changes at every start.
	Boot    uint64         `json:"boot"`
	State   State          `json:"state"`
	Version core.VersionID `json:"version,omitempty"`
	// Fence is the highest fencing token of an accepted order; 0 on engines that ignore it.
	Fence uint64 `json:"fence"`
	Load  Load   `json:"load"`
}

// LoadOrder orders the engine to load and serve staged weights.
type LoadOrder struct {
	Version core.VersionID `json:"version"`
	// Fence is the fencing token. Engines that check it reject a token lower than the
	// highest one received.
	Fence    uint64        `json:"fence"`
	Manifest core.Manifest `json:"manifest"`
	// Role and Adapters are set only in orders that change them.
	Role     string   `json:"role,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// EngineOrders is the number of orders that the engine had accepted when this one was
	// decided. An engine that compares it rejects an order that another one has overtaken.
	// It is not part of the message of engines of this protocol, which compare Fence.
	EngineOrders int64 `json:"-"`
	// NotAfter is the latest time at which the order may be sent, 0 for no limit. It is
	// not part of the message.
	NotAfter boottime.Instant `json:"-"`
}

// LoadReply is the answer to a load order.
type LoadReply struct {
	Version core.VersionID `json:"version"`
	Boot    uint64         `json:"boot"`
}

// Staged lists the chunks of a version in the engine's host memory.
type Staged struct {
	Version core.VersionID `json:"version"`
	Chunks  []int          `json:"chunks"`
}

// CacheEvent reports that a prompt prefix was added to or evicted from the engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// CacheEvents is a page of cache events. A skipped Sequence means that events were lost.
type CacheEvents struct {
	// Boot is the engine's boot number when the page was read.
	Boot   uint64       `json:"boot"`
	Events []CacheEvent `json:"events"`
}
