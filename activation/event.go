package activation

import (
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

// Event is an input of a Machine.
type Event interface{ apply(m *Machine) }

// Declared announces the version declared by the active configuration. An event with
// an older revision than the last one is ignored.
type Declared struct {
	Revision uint64
	Manifest *core.Manifest
	// ChecksFence means that the engine rejects orders with an outdated number.
	ChecksFence bool
	// Role and Adapters are load settings for the version. They are sent with its
	// order, and in a separate order if only they change.
	Role     string
	Adapters []string
}

// settings returns the part of a declaration that the engine's status does not
// include.
func (d *Declared) settings() string { return d.Role + "\x00" + strings.Join(d.Adapters, "\x00") }

// StatusSeen is a successful status poll of the engine.
type StatusSeen struct {
	Status engine.Status
	// RequestedAt is when the status was requested, zero if unknown. A status that was
	// requested before the result of the last order is ignored: it may not show its effect.
	RequestedAt time.Time
}

// StatusFailed is a failed status poll of the engine.
type StatusFailed struct{}

// Staged reports that all chunks of a version are present on a boot of the engine.
type Staged struct{ Target Target }

// Verified is the result of VerifyStaging.
type Verified struct {
	Target Target
	OK     bool
	// ReadAt is when the first chunk was read. It matters only with
	// Config.MaxVerifiedAge.
	ReadAt time.Time
}

// NumbersGranted is the block of order numbers from First to Last, allocated to this
// process.
type NumbersGranted struct{ First, Last uint64 }

// NumbersFailed reports that no block could be allocated; the platform may be down.
type NumbersFailed struct{}

// HolderConfirmed is the result of ConfirmHolder. Superseded means that a later
// process holds the order numbers of this VM.
type HolderConfirmed struct{ Superseded bool }

// HolderUnknown reports that the platform did not respond to ConfirmHolder.
type HolderUnknown struct{}

// OrderResult is the result of a load order.
type OrderResult uint8

// Results of a load order.
const (
	// OrderLost means that the result is unknown: the order may have taken effect or
	// may still do so.
	OrderLost OrderResult = iota
	// OrderDone means that the engine has loaded the version.
	OrderDone
	// OrderOldNumber means that the engine has already seen a higher number.
	OrderOldNumber
	// OrderIncomplete means that the staged weights do not form the complete version.
	OrderIncomplete
	// OrderNotSent means that the order was not sent, since its verification had become
	// too old.
	OrderNotSent
	// OrderRejected means that the engine rejected the order for another reason.
	OrderRejected
	// OrderUnconfirmed means that the engine accepted the order and the result of the load
	// is unknown.
	OrderUnconfirmed
)

// OrderEnded is the result of Order.
type OrderEnded struct {
	Number uint64
	Result OrderResult
	// Boot is the boot that responded, set with OrderDone.
	Boot uint64
	// Err is why the order did not end with OrderDone, for logs.
	Err error
}

// Draining reports that the process is stopping; it sends no further orders.
type Draining struct{}

// Tick only advances the time.
type Tick struct{}

// Action is an output of a Machine.
type Action interface{ isAction() }

type (
	// VerifyStaging requests the digest of everything staged under Name.
	VerifyStaging struct {
		Manifest *core.Manifest
		Name     core.VersionID
		Boot     uint64
	}
	// AllocateNumbers requests a block of order numbers, starting at AtLeast or
	// higher, from the platform.
	AllocateNumbers struct{ AtLeast uint64 }
	// ConfirmHolder checks with the platform whether this process still holds the
	// order numbers.
	ConfirmHolder struct{}
	// Order sends a load order to the engine. With Config.MaxVerifiedAge it must not be
	// sent later than ValidFor after the step that returned it.
	Order struct {
		Order    engine.LoadOrder
		ValidFor time.Duration
	}
	// Activated reports that a version is in service.
	Activated struct{ Target Target }
	// Cold reports that the engine has restarted and holds no weights.
	Cold struct{ Boot uint64 }
	// StagingLost reports that a version must be staged again.
	StagingLost struct{ Target Target }
)

func (VerifyStaging) isAction()   {}
func (AllocateNumbers) isAction() {}
func (ConfirmHolder) isAction()   {}
func (Order) isAction()           {}
func (Activated) isAction()       {}
func (Cold) isAction()            {}
func (StagingLost) isAction()     {}
