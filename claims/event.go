package claims

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// event is an input of the partition state machine.
type event interface{ apply(p *partition) }

// submit is a new call.
type submit struct {
	token       uint64
	key         keyHash
	keyTime     int64
	fingerprint uint64
	deadline    time.Time
}

// abandon reports that the caller behind token no longer waits.
type abandon struct{ token uint64 }

// finished reports the end of the execution of a key. Exactly one of answer and
// refusal is set.
type finished struct {
	key     keyHash
	answer  *Answer
	refusal *core.Refusal
}

// headLoaded is the result of loadHead.
type headLoaded struct {
	value    []byte
	revision uint64
	err      error
}

// headSwapped is the result of swapHead.
type headSwapped struct {
	revision uint64
	swapped  bool
	err      error
}

// segmentLoaded is the result of loadSegment.
type segmentLoaded struct {
	value    []byte
	revision uint64
	err      error
}

// segmentSwapped is the result of swapSegment.
type segmentSwapped struct {
	revision uint64
	swapped  bool
	err      error
}

// tick only advances the time.
type tick struct{}

// drain requests that the partition write pending outcomes and release ownership.
type drain struct{}

// action is an output of the partition state machine. At most one store call is open
// at a time.
type action interface{ isAction() }

type (
	// reply ends the call behind token. Exactly one of answer and refusal is set.
	reply struct {
		token   uint64
		answer  *Answer
		refusal *core.Refusal
	}
	// start hands the call behind token to the service. The claim on key has been
	// committed.
	start struct {
		token uint64
		key   keyHash
	}
	loadHead struct{}
	swapHead struct {
		value    []byte
		previous uint64
	}
	loadSegment struct{ name uint64 }
	swapSegment struct {
		name     uint64
		value    []byte
		previous uint64
	}
)

func (reply) isAction()       {}
func (start) isAction()       {}
func (loadHead) isAction()    {}
func (swapHead) isAction()    {}
func (loadSegment) isAction() {}
func (swapSegment) isAction() {}
