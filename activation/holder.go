package activation

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/zinniaseam/zinniaseam/core"
)

// Store is the subset of the platform's key-value service that order numbers need.
type Store interface {
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	CompareAndSwap(ctx context.Context, key string, value []byte, previous uint64) (revision uint64, swapped bool, err error)
}

// Holder allocates order numbers for one process from the platform.
type Holder struct {
	// VM is the endpoint VM to whose engine the numbers apply.
	VM core.VMID
	// Incarnation is the start number of the process.
	Incarnation uint64
	// Process is a random number, since overlapping processes may have the same
	// incarnation.
	Process uint64
	Store   Store
	// granted is set once the platform has recorded this process.
	granted bool
}

// maxSwaps limits the attempts of one allocation against concurrent writers.
const maxSwaps = 8

// holderRecord is the platform's record of the latest process.
type holderRecord struct {
	Next        uint64 `json:"next"`
	Incarnation uint64 `json:"incarnation"`
	Process     uint64 `json:"process"`
}

func (h *Holder) key() string { return "fences/" + string(h.VM) }

// Allocate performs AllocateNumbers and returns the event to report.
func (h *Holder) Allocate(ctx context.Context, atLeast uint64) Event {
	for range maxSwaps {
		record, revision, err := h.read(ctx)
		if err != nil {
			return NumbersFailed{}
		}
		if h.superseded(record) {
			return HolderConfirmed{Superseded: true}
		}
		first := max(record.Next, atLeast, BlockSize)
		record = holderRecord{Next: first + BlockSize, Incarnation: h.Incarnation, Process: h.Process}
		value, err := json.Marshal(record)
		if err != nil {
			return NumbersFailed{}
		}
		_, swapped, err := h.Store.CompareAndSwap(ctx, h.key(), value, revision)
		if err != nil {
			return NumbersFailed{}
		}
		if swapped {
			h.granted = true
			return NumbersGranted{First: first, Last: first + BlockSize - 1}
		}
	}
	return NumbersFailed{}
}

// Confirm performs ConfirmHolder and returns the event to report.
func (h *Holder) Confirm(ctx context.Context) Event {
	record, _, err := h.read(ctx)
	if err != nil {
		return HolderUnknown{}
	}
	return HolderConfirmed{Superseded: h.superseded(record)}
}

// superseded reports whether a later process holds the numbers: one with a higher
// incarnation, or any other process once this one has been recorded.
func (h *Holder) superseded(record holderRecord) bool {
	if record.Process == h.Process {
		h.granted = true
		return false
	}
	if record.Process == 0 {
		return false
	}
	return h.granted || record.Incarnation > h.Incarnation
}

func (h *Holder) read(ctx context.Context) (holderRecord, uint64, error) {
	value, revision, err := h.Store.Get(ctx, h.key())
	if err != nil {
		return holderRecord{}, 0, fmt.Errorf("activation: read %s: %w", h.key(), err)
	}
	var record holderRecord
	if revision == 0 {
		return record, 0, nil
	}
	if err := json.Unmarshal(value, &record); err != nil {
		return holderRecord{}, 0, fmt.Errorf("activation: decode %s: %w", h.key(), err)
	}
	return record, revision, nil
}
