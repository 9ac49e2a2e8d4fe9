// Package claims decides whether a call that may not be repeated is handed to
// its service. A claim on the call's key is committed to the platform before
// the call is handed over, so that at most one process ever runs it.
package claims

import (
	"context"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
)

// Call is one call that may not be repeated.
type Call struct {
	Service core.ServiceID
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint is a digest of method, path and body; a key reused with
	// another fingerprint is refused.
	Fingerprint core.Digest
	Request     core.RequestID
}

// Header is one header of an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is the whole answer of a service.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// Execute hands the call to the service once. A refusal of kind OutcomeNotRun
// says that no byte of the call reached the service.
type Execute func(ctx context.Context) (*Answer, *core.Refusal)

// Fate is what a ledger knows of a key.
type Fate uint8

// Fates of a key.
const (
	FateNone Fate = iota
	FateNotRun
	FateUnknown
	FateRunning
	FateAnswered
)

// Ledger guards calls that may not be repeated. It is safe for concurrent use.
type Ledger interface {
	// Run claims the key, executes the call at most once over all processes and
	// returns the answer or a refusal whose kind is true. Concurrent and later
	// runs of the same key join the first.
	Run(ctx context.Context, call Call, execute Execute) (*Answer, *core.Refusal)
	// Lookup reports the fate of a key without running anything.
	Lookup(ctx context.Context, service core.ServiceID, key string) (Fate, *Answer)
	// Maintain commits, ages and hands over claims until ctx ends.
	Maintain(ctx context.Context) error
	// Close flushes what is not yet committed; it returns when ctx ends at the latest.
	Close(ctx context.Context) error
}

// Store is the part of the platform's key-value service that a ledger needs.
type Store interface {
	// Get returns a value and its modification revision; a missing key has revision 0.
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	// CompareAndSwap writes value when the key's revision is still previous, 0
	// meaning that the key must not exist. It reports the new revision, or
	// swapped=false with the present one. An error leaves the effect unknown.
	CompareAndSwap(ctx context.Context, key string, value []byte, previous uint64) (revision uint64, swapped bool, err error)
}

// Options configures a ledger.
type Options struct {
	// Self is the VM on which the ledger runs.
	Self core.VMID
	// Incarnation is the start number of the process.
	Incarnation uint64
	Store       Store
	// WriteRate bounds the writes of the process, in writes a second; 0 takes
	// DefaultHomeWriteRate. Ledgers that write once a call do not use it.
	WriteRate float64
	// Observe is told of decisions, for logs and the time line; nil is allowed.
	// It is called from the goroutine of a partition and must not block.
	Observe func(Observation)
}

// Observation is one decision of a ledger.
type Observation struct {
	Service core.ServiceID
	// Request is set on decisions about one call.
	Request core.RequestID
	// Text is one short sentence.
	Text string
	// Alarm says that operators should look at it.
	Alarm bool
}

// Construct builds a ledger.
type Construct func(Options) Ledger

// Ledgers holds the registered ledgers.
var Ledgers = kernel.NewRegistry[Construct]("claims ledger")
