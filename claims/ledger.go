// Package claims ensures that a call that must not be repeated runs at most once. A
// claim on the call's idempotency key is committed to the platform before the call is
// handed to its service, so at most one process ever runs it.
package claims

import (
	"context"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
)

// Call is a call that must not be repeated.
type Call struct {
	Service core.ServiceID
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint is a digest of method, path and body. A call that reuses a key with
	// a different fingerprint is rejected.
	Fingerprint core.Digest
	Request     core.RequestID
}

// Header is one header of an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is the complete response of a service.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// Execute hands the call to the service once. A refusal of kind OutcomeNotRun means
// that no byte of the call reached the service.
type Execute func(ctx context.Context) (*Answer, *core.Refusal)

// Fate is the state of a key as known to a ledger.
type Fate uint8

// Fates of a key.
const (
	// FateNone means that the ledger has no claim on the key.
	FateNone Fate = iota
	// FateNotRun means that the call did not run.
	FateNotRun
	// FateUnknown means that the call may have run.
	FateUnknown
	// FateRunning means that the call is in progress in this process.
	FateRunning
	// FateAnswered means that the call ran and that its answer is known.
	FateAnswered
)

// Ledger guards calls that must not be repeated. It is safe for concurrent use.
type Ledger interface {
	// Run claims the key, executes the call at most once across all processes, and
	// returns the answer or a refusal. The kind of the refusal states correctly
	// whether the call ran. A concurrent Run of the same key waits for the running
	// call; a later one returns the stored answer, or a refusal if there is none. Only
	// a key whose call did not run can be run again.
	Run(ctx context.Context, call Call, execute Execute) (*Answer, *core.Refusal)
	// Lookup returns the fate of a key, and its answer if known, without running the
	// call.
	Lookup(ctx context.Context, service core.ServiceID, key string) (Fate, *Answer)
	// Maintain commits, expires and hands over claims until ctx ends.
	Maintain(ctx context.Context) error
	// Close commits everything that is not yet committed. It returns early if ctx
	// ends.
	Close(ctx context.Context) error
}

// Store is the subset of the platform's key-value service that a ledger needs.
type Store interface {
	// Get returns a value and its modification revision. A missing key has revision 0.
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	// CompareAndSwap writes value if the key's revision still equals previous;
	// previous 0 means that the key must not exist. It returns the new revision, or
	// swapped=false with the current one. After an error it is unknown whether the
	// write took effect.
	CompareAndSwap(ctx context.Context, key string, value []byte, previous uint64) (revision uint64, swapped bool, err error)
}

// Options configures a ledger.
type Options struct {
	// Self is the VM on which the ledger runs.
	Self core.VMID
	// Incarnation is the start number of the process.
	Incarnation uint64
	Store       Store
	// WriteRate limits the writes of the process, in writes per second; 0 means
	// DefaultProcessWriteRate. Ledgers that write once per call ignore it.
	WriteRate float64
	// Observe receives decisions for logs and the timeline; it may be nil. It is
	// called from the goroutine of a partition and must not block.
	Observe func(Observation)
}

// Observation describes one decision of a ledger.
type Observation struct {
	Service core.ServiceID
	// Request is set for decisions about a single call.
	Request core.RequestID
	// Text is one short sentence.
	Text string
	// Alarm marks observations that need an operator's attention.
	Alarm bool
}

// Construct builds a ledger.
type Construct func(Options) Ledger

// Ledgers holds the registered ledger implementations.
var Ledgers = kernel.NewRegistry[Construct]("claims ledger")
